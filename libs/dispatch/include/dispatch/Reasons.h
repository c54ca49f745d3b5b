/// Reasons why calls wait, are rejected or fail.
#pragma once

#include <string_view>

namespace hyssop::dispatch {

/// Why a call ended without an answer from an upstream.
enum class FailureReason {
    NoUpstream, ///< No upstream is known, or none may be used.
    TooLarge, ///< The engines of the service cannot hold the prompt.
    Overloaded, ///< No capacity became free in time.
    UpstreamRefused, ///< The upstreams that were tried did not start it.
    UpstreamLost, ///< The connection to an upstream failed after the call was sent.
    DeadlineExceeded, ///< The deadline of the call passed.
    Stopping, ///< This host is stopping.
    Quarantined, ///< It has content under which upstreams crashed.
    Unreachable, ///< This host has lost its links to the upstreams of the service.
    Evacuated, ///< All data centres with upstreams that it may use are evacuated.
    OutsideRegions, ///< All upstreams are outside the regions that it must not leave.
};

/// Name in metrics and logs.
std::string_view failureReasonName(FailureReason reason);

/// What a queued call lacked when it was last considered.
enum class QueueBlocker {
    None,
    Capacity, ///< No upstream had a free place.
    Permit, ///< It had no prefill permit.
    Engines, ///< No engines were free enough for its prefill.
    Memory, ///< The engines chosen for its prefill had too little free memory.
    Reservation, ///< An engine did not reserve memory for it in time.
    RateLimit, ///< The upstreams with a free place accept no more requests now.
    BackOff, ///< All upstreams want no requests from this host for some time.
    Trial, ///< It has suspect content and other suspects are tried before it.
    Evacuated, ///< The data centres of all upstreams that would do are evacuated.
    OutsideRegions, ///< All upstreams are outside the regions that it must not leave.
    Cold, ///< All upstreams are cold and take no more requests of this host for now.
};

/// Name in logs.
std::string_view queueBlockerName(QueueBlocker blocker);

/// How an attempt failed.
enum class AttemptFault {
    NotSent, ///< No byte reached the upstream.
    Refused, ///< The upstream states that it did not start the call.
    Misdirected, ///< The address belongs to another upstream now.
    AnswerLost, ///< No complete answer arrived. The upstream may have run the call.
    UpstreamError, ///< The upstream ran the call and answered with an error.
    Stalled, ///< No data arrived for too long. The upstream may have run the call.
};

/// Name in metrics and logs.
std::string_view attemptFaultName(AttemptFault fault);
/// Whether a fault proves that the upstream did not run the call.
bool provesNotRun(AttemptFault fault);

} // namespace hyssop::dispatch
