/// Decides which upstream gets each call and when, which calls are retried, rejected or failed. The
/// content of calls is opaque here.
///
/// A Dispatcher takes events and the present time and returns actions. It does no I/O, draws random
/// numbers only from its seed, and belongs to one thread.
///
/// Prompts of very different lengths share the engines of a service. The prefill of a prompt is
/// split over as many engines as it takes for each part to fit between the output tokens of
/// requests that decode there. Short prompts are packed onto as few engines as can carry them. This
/// leaves engines free for prompts whose parts stay too large however they are split. Entry hosts
/// exchange their loads, so that they choose the same engines for short and for long prompts.
#pragma once

#include "base/Base.h"
#include "dispatch/CallId.h"
#include "dispatch/Links.h"
#include "dispatch/Reasons.h"
#include "dispatch/SendScope.h"
#include "fleet/Fleet.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hyssop::dispatch {

/// A call as the dispatcher knows it.
struct CallInfo
{
    CallId id;
    base::ServiceId service;
    base::TeamId team;
    std::string route;
    int priority = 0; ///< 0 is served first.
    bool isStream = false;
    bool isRetrySafe = false; ///< May be sent again even if it may have run.
    int maxAttempts = 1; ///< Limit on the number of upstreams it is sent to.
    base::Tokens promptTokens;
    base::Tokens maxOutputTokens;
    base::TimePoint arrivedAt;
    base::TimePoint deadline;
    base::Millis latencyObjective{0}; ///< Target time to the first event or whole answer.
    base::Millis gapObjective{0}; ///< Target for the longest pause between two events.
    bool isRelayed = false; ///< Another entry host relayed it here, so it is not relayed again.
    /// Content that other calls of the service may have in common with it.
    std::vector<fleet::Fingerprint> fingerprints = {};
    fleet::RegionSet allowedRegions = {}; ///< Of its route and its team.
};

// Events.

/// A caller's request was admitted. The id must be new.
struct CallArrived
{
    CallInfo call;
};

/// The caller closed its connection before the call ended.
struct CallerDisconnected
{
    CallId call;
};

/// An upstream is new or changed.
struct UpstreamUpdated
{
    fleet::Upstream upstream;
};

/// An upstream left the fleet. Its outstanding calls continue.
struct UpstreamRemoved
{
    base::UpstreamId upstream;
};

/// Properties of a service that the configuration sets.
struct ServiceParameters
{
    base::ServiceId service;
    std::optional<fleet::EngineSpec> engine;
    base::Millis shortestGap{0}; ///< Shortest gap objective of its routes; 0 when none has one.
    base::Millis longestGap{0}; ///< Longest gap objective of its routes; 0 when none has one.
    /// Requests from all hosts together that a cold upstream bears in any one second; 0 for no
    /// bound.
    double coldRequests = 0;
};

/// A configuration came into force.
struct ServicesChanged
{
    std::vector<ServiceParameters> services;
};

/// Load that an upstream reported with an answer.
struct UpstreamLoadReported
{
    base::UpstreamId upstream;
    int running = 0;
    int waiting = 0;
};

/// Request rate that the upstream of a call stated in its answer.
struct RateLimitStated
{
    CallId call;
    fleet::RequestRate rate = fleet::kUnlimitedRate;
};

/// An upstream wants no requests from this host for some time.
struct BackOffStated
{
    base::UpstreamId upstream;
    base::Incarnation incarnation;
    base::Millis duration{0};
};

/// A relayed call was rejected or failed at the other entry host.
struct RelayRejected
{
    CallId call;
    base::Millis retryAfter{0};
    bool mayHaveRun = false;
};

/// What a control host knows of rate limits.
struct RateLimitsReceived
{
    std::vector<fleet::RateLimitReport> limits;
    base::TimePoint repliedAfter; ///< The control host replied between then and now.
};

/// This host sent a request of its own to an upstream, for which nothing was granted.
struct OrderSent
{
    base::UpstreamId upstream;
};

/// Reply to a RequestSendGrant.
struct SendGrantReceived
{
    base::ServiceId service;
    int priority = 0;
    bool isWaiting = false; ///< As in the request.
    bool isFromControl = true; ///< False when no control host could decide.
    base::TimePoint requestedAt; ///< Grants expire some time after this.
    fleet::SendGrantReply reply;
};

/// Result of a ProbeUpstream.
struct UpstreamProbed
{
    base::UpstreamId upstream;
    base::Incarnation incarnation;
    bool isRefused = false; ///< Nothing listens at its address.
};

/// What the leader knows of content under which upstreams crashed.
struct CrashSuspectsReceived
{
    std::vector<fleet::CrashSuspect> suspects;
    base::TimePoint repliedAfter; ///< The leader replied between then and now.
    bool isComplete = true; ///< All other content is not suspect.
};

/// Reply to a RequestTrial.
struct TrialDecided
{
    CallId call;
    bool isFromControl = true; ///< False when no control host could decide.
    fleet::TrialReply reply;
};

/// Outstanding load of the entry hosts that do not send theirs directly, added up by a control
/// host.
struct PeerLoadSumReceived
{
    fleet::LoadReport load;
    int entryHostCount = 1; ///< All entry hosts, this one included.
    /// The load is that of all other hosts, not only of those that send theirs to no host.
    bool includesPeers = false;
};

/// Outstanding load and lost links that another entry host sent of itself.
struct PeerLoadReceived
{
    fleet::LoadUpdate update;
    base::Endpoint relayAddress = {}; ///< Where it takes relayed calls; empty when not known.
};

/// A long prompt may be prefilled now. Also sent when no control host can order the prompts.
struct PermitGranted
{
    CallId call;
    base::Millis age{0}; ///< At most this long ago it was granted.
};

/// A long prompt will get no permit in time.
struct PermitDenied
{
    CallId call;
};

/// All memory of a ReserveMemory action is reserved, or some of it could not be.
struct ReservationDone
{
    CallId call;
    bool isReserved = false;
};

/// Answer bytes of a call arrived, with its first event or a later one.
struct AnswerProgressed
{
    CallId call;
};

/// Reading the answer of the current attempt pauses, as the caller does not take what has arrived,
/// or goes on.
struct AnswerPaused
{
    CallId call;
    bool isPaused = true;
};

/// The whole answer arrived.
struct AttemptSucceeded
{
    CallId call;
    bool isSuccess = true; ///< The upstream ran it to a good end.
};

/// An attempt ended without an answer for the caller.
struct AttemptFailed
{
    CallId call;
    AttemptFault fault = AttemptFault::AnswerLost;
    std::optional<base::Endpoint> faultyUpstream = {}; ///< Upstream at fault, if it is another one.
};

/// The stalled attempt of a call got a part of its answer.
struct StalledAttemptProgressed
{
    CallId call;
};

/// The stalled attempt of a call ended without an answer for the caller.
struct StalledAttemptFailed
{
    CallId call;
    AttemptFault fault = AttemptFault::AnswerLost;
};

using Event = std::variant<
        CallArrived, CallerDisconnected, UpstreamUpdated, UpstreamRemoved, ServicesChanged,
        UpstreamLoadReported, BackOffStated, RateLimitStated, RateLimitsReceived, OrderSent,
        SendGrantReceived, UpstreamProbed, CrashSuspectsReceived, TrialDecided, PeerLoadSumReceived,
        PeerLoadReceived, PermitGranted, PermitDenied, ReservationDone, AnswerProgressed,
        AttemptSucceeded, AttemptFailed, RelayPeersChanged, RelayRejected, LinkProbed,
        StalledAttemptProgressed, StalledAttemptFailed, AnswerPaused, EvacuationsChanged>;

// Actions.

/// An engine that prefills a part of a prompt and may hold a part of its KV cache.
struct Helper
{
    fleet::Upstream upstream;
    base::Tokens kvTokens; ///< Reserved there for this call; 0 when it holds none.
};

/// Reserves KV memory at engines for a prompt that exceeds one engine.
struct ReserveMemory
{
    CallId call;
    std::vector<Helper> helpers; ///< Includes helpers that hold no memory.
};

/// Releases all reservations of a call, including those not yet confirmed.
struct ReleaseMemory
{
    CallId call;
};

/// Sends a call to an upstream.
struct SendAttempt
{
    CallId call;
    fleet::Upstream upstream;
    std::vector<Helper> helpers; ///< Engines that prefill parts of the prompt.
    base::Millis timeLeft{0};
    int attempt = 1;
    bool isResume = false; ///< Continues after the events that the caller already has.
    int requestsAtUpstream = 0; ///< Known requests at the upstream before this one.
    bool isLongPrompt = false; ///< Sent to engines chosen for a long prompt.
};

/// Closes the connection of the attempt and discards what still arrives on it.
struct CancelAttempt
{
    CallId call;
};

/// Keeps the connection of the current attempt, which has stalled, open beside the next attempt.
struct KeepStalledAttempt
{
    CallId call;
};

/// Makes the stalled attempt the current one again.
struct ReinstateAttempt
{
    CallId call;
};

/// Closes the connection of the stalled attempt and releases its reservations.
struct CancelStalledAttempt
{
    CallId call;
};

/// Ends a call that has not run and will not.
struct RejectCall
{
    CallId call;
    FailureReason reason = FailureReason::Overloaded;
    base::Millis retryAfter{0};
    QueueBlocker blocker = QueueBlocker::None;
};

/// Ends a call that may have run and has no answer.
struct FailCall
{
    CallId call;
    FailureReason reason = FailureReason::UpstreamLost;
};

/// Answers the caller with the error of the upstream.
struct ForwardUpstreamError
{
    CallId call;
};

/// Asks a control host for the permit to prefill a long prompt.
struct RequestPermit
{
    CallId call;
    base::ServiceId service;
    std::int64_t prefillMs = 0; ///< Prefill time of the whole prompt on one engine.
    base::Millis maxWait{0}; ///< A later grant is of no use.
    base::Millis lateAfter{0}; ///< A grant after this makes the answer miss its objective.
    bool isOversized = false; ///< The prompt exceeds the memory of one engine.
    bool isExclusive = false; ///< No other long prompt may be prefilled meanwhile.
    base::Millis idleWait{0}; ///< See fleet::PermitRequest.
    std::string route;
    base::DataCentreId dataCentre; ///< Whose engines are to prefill it; empty for all of them.
};

/// Returns a permit after the prefill, or when the prompt will not be prefilled. Also reports the
/// prefill of prompts that needed none but are of a kind that may need one.
struct ReleasePermit
{
    CallId call;
    base::ServiceId service;
    std::string route;
    std::int64_t prefillMs = 0; ///< Prefill time of the whole prompt on one engine.
    bool isPrefilled = false;
};

/// Reports a retry, for metrics and logs.
struct RetryScheduled
{
    CallId call;
    AttemptFault fault = AttemptFault::AnswerLost;
};

/// Reports that the budget of a service has no retry left for a call, for metrics and logs.
struct RetryDenied
{
    CallId call;
    AttemptFault fault = AttemptFault::AnswerLost;
};

/// Reports an upstream that gets no new calls for \c duration, for metrics and logs.
struct UpstreamEjected
{
    base::UpstreamId upstream;
    base::Millis duration{0};
};

/// Reports a data centre whose upstreams get no calls for a while because none of them can be
/// reached, for metrics and logs.
struct DataCentreUnreachable
{
    base::DataCentreId dataCentre;
};

/// Where a belief about a rate limit comes from.
enum class RateLimitSource {
    Answer, ///< An answer of the upstream to this host.
    Control, ///< A control host, to which another host reported it.
    Restart, ///< The upstream started again, so its limit ended.
};

/// Name in logs.
std::string_view rateLimitSourceName(RateLimitSource source);

/// Reports a rate limit that was stated, changed or ended, for metrics and logs.
struct RateLimitChanged
{
    base::UpstreamId upstream;
    fleet::RequestRate rate = fleet::kUnlimitedRate;
    fleet::RequestRate previousRate = fleet::kUnlimitedRate;
    RateLimitSource source = RateLimitSource::Answer;
    base::Millis age{0}; ///< Longest time since the upstream stated it.
};

/// Asks a control host for the right to send requests to one of several upstreams with rate limits.
struct RequestSendGrant
{
    base::ServiceId service;
    int priority = 0; ///< Of the call that waits.
    bool isWaiting = false; ///< False when the grant is for calls to come.
    base::Millis waited{0};
    base::Millis maxWait{0};
    std::vector<fleet::RateLimitReport> limits;
};

/// Reports a rate limit and requests that count against it to a control host.
struct ReportRateLimit
{
    fleet::RateLimitReport limit;
};

/// Checks whether a connection to an upstream is refused.
struct ProbeUpstream
{
    fleet::Upstream upstream;
};

/// How a crash became known.
enum class CrashSource {
    Refused, ///< It lost calls, and connections to it are refused.
    Restart, ///< It lost calls, and a later start has its id or address.
};

/// Name in logs.
std::string_view crashSourceName(CrashSource source);

/// Reports the crash of an upstream to the leader.
struct ReportCrash
{
    fleet::CrashReport report;
    CrashSource source = CrashSource::Refused;
    std::optional<CallId> trial; ///< Ends this trial.
};

/// Reports to the leader that requests with suspect content were answered.
struct ReportAnswered
{
    std::vector<fleet::Fingerprint> fingerprints;
};

/// Asks the leader for the right to send a call with suspect content.
struct RequestTrial
{
    CallId call;
    base::ServiceId service;
    std::vector<fleet::Fingerprint> fingerprints; ///< Of all its content.
    base::Millis maxWait{0}; ///< A later grant is of no use.
};

/// Ends a trial or the wait for it, whatever came of it.
struct EndTrial
{
    CallId call;
};

/// Reports a change of what this host believes of some content, for metrics and logs.
struct CrashSuspectChanged
{
    fleet::CrashSuspect suspect;
    bool isCleared = false;
};

using Action =
        std::variant<ReserveMemory, ReleaseMemory, SendAttempt, CancelAttempt, RejectCall, FailCall,
                     ForwardUpstreamError, RequestPermit, ReleasePermit, RetryScheduled,
                     UpstreamEjected, DataCentreUnreachable, RateLimitChanged, RequestSendGrant,
                     ReportRateLimit, ProbeUpstream, ReportCrash, ReportAnswered, RequestTrial,
                     EndTrial, CrashSuspectChanged, RelayCall, ProbeLink, LinksChanged,
                     KeepStalledAttempt, ReinstateAttempt, CancelStalledAttempt, LinkFailed,
                     LinksDoubted, RetryDenied>;
using Actions = std::vector<Action>;

/// Settings of a Dispatcher.
struct DispatcherOptions
{
    base::HostId host;
    base::DataCentreId dataCentre;
    double retryRatio = 0.2; ///< Retries per call in a window.
    int retryAllowance = 100; ///< Further retries in a window, shared by all entry hosts.
    base::Millis retryWindow{10'000};
    std::uint64_t seed = 1;
    Regions regions = {};
};

/// Current numbers, for gauges.
struct DispatcherStats
{
    std::size_t queued = 0;
    std::size_t active = 0;
    std::size_t upstreams = 0;
    std::size_t ejected = 0;
    std::size_t rateLimited = 0; ///< Upstreams with a limit on their requests.
    std::size_t crashSuspects = 0; ///< Content under which upstreams crashed.
    std::size_t lostServices = 0; ///< Services whose upstreams this host cannot reach.
    std::map<SendRefusalReason, std::size_t> refused; ///< Upstreams that get no calls now.
};

class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Returns actions in the order in which they must be executed.
    Actions handle(const Event &event, base::TimePoint now);
    /// Must be called at nextTick() at the latest.
    Actions tick(base::TimePoint now);
    base::TimePoint nextTick() const;

    DispatcherStats stats(base::TimePoint now) const;
    /// Returns the changes of this host's outstanding load since the last call, or all of its load
    /// if \a isSnapshot, and the services whose upstreams it does not reach.
    fleet::LoadUpdate takeLoadUpdate(bool isSnapshot);
    /// Outstanding load of this host, for the other entry hosts.
    fleet::LoadReport ownLoad() const;
    /// Content that this host takes for suspect, for a new leader.
    std::vector<fleet::CrashSuspect> crashSuspects(base::TimePoint now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hyssop::dispatch
