/// What the dispatcher finds out about the links of this host to upstreams.
#pragma once

#include "base/Base.h"
#include "dispatch/CallId.h"
#include "fleet/Fleet.h"

#include <string_view>
#include <vector>

namespace hyssop::dispatch {

/// The entry hosts to which calls can be relayed.
struct RelayPeersChanged
{
    std::vector<fleet::LoadPeer> peers; ///< With the addresses that take relayed calls.
};

/// Result of a ProbeLink.
struct LinkProbed
{
    base::ServiceId service;
    bool isAnswered = false;
    base::UpstreamId upstream = {};
};

/// Why a call is relayed.
enum class RelayReason {
    LinksLost, ///< This host reaches no upstream of the service.
    NotSent, ///< Its attempts reached no upstream.
};

/// Name in logs.
std::string_view relayReasonName(RelayReason reason);

/// Sends a call to another entry host, which serves it as if its caller had sent it there. It ends
/// like an attempt at an upstream, or with RelayRejected.
struct RelayCall
{
    CallId call;
    base::Endpoint peer;
    RelayReason reason = RelayReason::LinksLost;
    base::Millis timeLeft{0};
    int attemptsLeft = 1; ///< Upstreams that it may still be sent to.
    bool isResume = false; ///< Continues after the events that the caller already has.
};

/// Checks whether an upstream answers a request of this host.
struct ProbeLink
{
    fleet::Upstream upstream;
};

/// Why the links to the upstreams of a service are checked.
enum class LinkDoubt {
    Failure, ///< An attempt got no answer.
    Silence, ///< A call waits for an answer longer than usual.
    Idle, ///< No upstream has sent anything lately, and a call comes that may be sent only once.
    OtherService, ///< The links of another service seem to be lost.
};

/// Name in logs and metrics.
std::string_view linkDoubtName(LinkDoubt doubt);

/// Reports that the links of a service are being checked, for metrics and logs.
struct LinksDoubted
{
    base::ServiceId service;
    LinkDoubt doubt = LinkDoubt::Failure;
    base::Millis silence{0}; ///< Since an upstream of the service sent something last.
};

/// Reports that the links to the upstreams of a service were lost or are back, for metrics and
/// logs.
struct LinksChanged
{
    base::ServiceId service;
    bool isLost = false;
    std::size_t failedUpstreams = 0; ///< That showed it.
    std::size_t upstreams = 0;
};

/// Reports an attempt without an answer, which counts against the links of its service, for logs.
struct LinkFailed
{
    CallId call;
    base::ServiceId service;
    base::UpstreamId upstream;
    std::size_t failedUpstreams = 0; ///< Lately, this one included.
    std::size_t neededUpstreams = 0; ///< With so many the links count as lost.
};

} // namespace hyssop::dispatch
