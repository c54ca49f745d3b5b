#pragma once

#include "base/Base.h"
#include "orders/Orders.h"

#include <string>
#include <vector>

namespace hyssop::entry {

/// Validated settings of an entry host.
struct EntryOptions
{
    base::HostId host;
    base::Incarnation incarnation;
    base::DataCentreId dataCentre;
    base::Endpoint listenCallers;
    base::Endpoint listenUpstreams;
    base::Endpoint listenPlatform;
    base::Endpoint listenPeers;
    std::vector<base::Endpoint> controlHosts; ///< Peer addresses of control hosts, nearest first.
    std::vector<base::Endpoint> peers; ///< Peer addresses of other entry hosts of the data centre.
    bool usesConfiguredPeersOnly = false; ///< Addresses learned by gossip are ignored.
    bool checksCallerKeys = false; ///< Callers authenticate by bearer keys.
    std::size_t maxBodyBytes = 0; ///< Limit on the body of one request.
    base::Bytes maxTotalBody; ///< Limit on the bodies of all requests in flight together.
    std::size_t maxUnsentBytes = 0; ///< Limit on the unread part of one response.
    base::Millis stallLimit{0}; ///< Longest wait for the next token of a stream.
    base::Millis bodyTimeout{0}; ///< Longest time for a request body to arrive.
    base::Millis stopNotice{0}; ///< How long new requests are accepted after a stop was requested.
    base::Millis stopLimit{0}; ///< Longest time for requests in flight to finish.
    std::string policy; ///< Placement policy.
    std::size_t maxQueued = 0; ///< Requests that may wait for an upstream.
    std::int64_t maxOutstandingTokens = 0; ///< Uncached prompt tokens at one engine.
    orders::LoadLimits loadLimits;
};

} // namespace hyssop::entry
