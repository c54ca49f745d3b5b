#pragma once

#include "base/Base.h"
#include "orders/Orders.h"

#include <string>
#include <vector>

namespace hyssop::entry {

/// Settings of an entry host, checked.
struct EntryOptions
{
    base::HostId host;
    base::Incarnation incarnation;
    base::DataCentreId dataCentre;
    base::Endpoint listenCallers;
    base::Endpoint listenUpstreams;
    base::Endpoint listenPlatform;
    base::Endpoint listenPeers;
    std::vector<base::Endpoint> controlHosts; ///< Peer addresses of control hosts.
    std::vector<base::Endpoint> peers; ///< Other entry hosts of the data centre.
    bool usesConfiguredPeersOnly = false; ///< Peers' own word on their addresses is not used.
    bool checksCallerKeys = false;
    std::size_t maxBodyBytes = 0;
    base::Bytes maxTotalBody; ///< Bodies of all requests in flight together.
    std::size_t maxUnsentBytes = 0; ///< Of one answer that its caller does not read.
    base::Millis stallLimit{0};
    base::Millis bodyTimeout{0};
    base::Millis stopNotice{0}; ///< How long new work is still taken once a stop was asked for.
    base::Millis stopLimit{0}; ///< Bound on finishing the requests in flight.
    std::string policy;
    std::size_t maxQueued = 0;
    std::int64_t maxOutstandingTokens = 0;
    orders::LoadLimits loadLimits;
};

} // namespace hyssop::entry
