/// Request routing: admission control, queueing, placement, retries and stream checks.
///
/// A Router is a deterministic state machine: it takes events with the current time and returns
/// actions. It does no I/O and draws random numbers only from its seed, so replaying a recorded
/// trace of events gives the same actions. Not thread-safe; use a Router from one thread only.
#pragma once

#include "base/Base.h"
#include "records/Records.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hyssop::routing {

/// Engine: runs models and streams tokens. Service: a plain service without prompts.
enum class UpstreamKind { Engine, Service };

/// Properties of an upstream, taken from its announcement.
struct UpstreamInfo
{
    base::UpstreamId id;
    base::Incarnation incarnation;
    UpstreamKind kind = UpstreamKind::Engine;
    base::DataCentreId dataCentre;
    std::string role;
    std::vector<std::string> models; ///< Engine: loaded models. Service: its name.
    base::Tokens kvTokens; ///< Capacity of an engine's KV cache.
    bool isLeaving = false;
};

/// A request to be admitted or refused.
struct RequestInfo
{
    base::RequestId id;
    base::TeamId team;
    UpstreamKind kind = UpstreamKind::Engine;
    std::string modelOrService; ///< Model or service name.
    std::string role; ///< Required upstream role; empty accepts any.
    records::Urgency urgency = records::Urgency::Normal;
    base::Tokens promptTokens;
    base::Tokens maxOutputTokens;
    /// Chained hashes of the prompt, one for each whole block.
    std::vector<std::uint64_t> prefixHashes;
    base::Bytes bodyBytes; ///< Memory used by the request while it is open.
    base::TimePoint deadline;
    /// Whether the request may run more than once.
    bool isRetrySafe = true;
    /// Claimed under the caller's idempotency key. A call that provably did not run may then be
    /// sent again even if \c isRetrySafe is false.
    bool hasIdempotencyClaim = false;
};

/// Why a request was refused or ended without a complete response.
enum class EndReason {
    UnknownTeam,
    UnknownRoute,
    TeamNotAllowed,
    TeamRequestLimit,
    TeamTokenLimit,
    TeamLongPromptLimit,
    QueueFull,
    DeadlineTooShort,
    NoUpstream,
    PromptTooLarge,
    DeadlineExceeded,
    UpstreamFailed,
    StreamBroken,
    CallerDisconnected,
    Stopping,
};

inline constexpr int kReasonCount = 15;

/// Name of \a reason in responses, logs and metrics.
std::string_view endReasonName(EndReason reason);

/// Whether a request that ended without a complete response may have run.
enum class Outcome {
    NotRun, ///< Provably no part of it ran.
    Failed, ///< It may have run, partly or completely.
};

/// Name of \a outcome in responses, logs and metrics.
std::string_view outcomeName(Outcome outcome);

/// How an attempt failed.
enum class AttemptFault {
    ConnectFailed, ///< No byte was sent.
    Refused, ///< The upstream responded that it did not start the request.
    Timeout,
    ConnectionClosed, ///< The connection closed before the response was complete.
    UpstreamError, ///< The upstream responded with an error and may have started the request.
    StreamMismatch, ///< An event had an unexpected attempt id or offset.
    Stalled, ///< No token arrived in time.
};

inline constexpr int kAttemptFaultCount = 7;

/// Name of \a fault in logs and metrics.
std::string_view attemptFaultName(AttemptFault fault);

/// Whether a fault proves that the upstream did not run the attempt.
bool provesNotRun(AttemptFault fault);

// Events.

/// A caller sent a request. No open request may have the same id.
struct RequestArrived
{
    RequestInfo request;
};

/// The caller disconnected; its request is cancelled.
struct CallerDisconnected
{
    base::RequestId request;
};

/// An upstream is new or its properties changed. A different incarnation replaces all state of the
/// old one.
struct UpstreamUpdated
{
    UpstreamInfo upstream;
};

/// An upstream was removed from the directory.
struct UpstreamRemoved
{
    base::UpstreamId upstream;
};

/// Load of an engine, sampled \c age before the event.
struct LoadReported
{
    base::UpstreamId upstream;
    base::Millis age{0};
    int running = 0;
    int queued = 0;
    base::Tokens queuedPromptTokens;
    base::Tokens usedKvTokens;
};

/// Blocks added to and removed from an engine's prefix cache. A new \c epoch starts with an empty
/// cache. A gap in \c sequence means lost events; blocks known before it become unconfirmed.
struct CacheChanged
{
    base::UpstreamId upstream;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;
};

/// Outstanding work of one entry host at one upstream. As an event, the report of another host;
/// Router::outstanding() returns this host's own reports.
struct PeerLoadReport
{
    base::HostId host;
    base::UpstreamId upstream;
    base::Tokens promptTokens;
    int requests = 0;
    base::Tokens longPromptTokens; ///< The part of \c promptTokens that belongs to long prompts.
    base::Tokens kvTokens; ///< KV cache that the requests may use, in tokens.
};

/// The upstream accepted the attempt, so a broken stream may be resumed.
struct AttemptAccepted
{
    base::AttemptId attempt;
};

/// \c count tokens of the response, starting at \c offset.
struct AttemptTokens
{
    base::AttemptId attempt;
    std::int64_t offset = 0;
    std::int64_t count = 0;
};

/// The response of the attempt is complete.
struct AttemptFinished
{
    base::AttemptId attempt;
};

/// The attempt failed. A non-zero \c retryAfter is the delay that the upstream asked for.
struct AttemptFailed
{
    base::AttemptId attempt;
    AttemptFault fault = AttemptFault::ConnectFailed;
    base::Millis retryAfter{0};
};

/// Replaces the catalogue of teams and their limits.
struct CatalogueChanged
{
    std::shared_ptr<const records::Catalogue> catalogue;
};

/// Shutdown has started; the router admits no further requests.
struct StopRequested
{ };

using Event =
        std::variant<RequestArrived, CallerDisconnected, UpstreamUpdated, UpstreamRemoved,
                     LoadReported, CacheChanged, PeerLoadReport, AttemptAccepted, AttemptTokens,
                     AttemptFinished, AttemptFailed, CatalogueChanged, StopRequested>;

// Actions.

/// Sends a request to an upstream, or to a gang of engines whose combined KV cache holds its
/// prompt.
struct StartAttempt
{
    base::AttemptId attempt;
    base::RequestId request;
    base::UpstreamId upstream;
    /// Other engines of the gang, in id order; empty without a gang.
    std::vector<base::UpstreamId> otherGangMembers;
    records::Urgency urgency = records::Urgency::Normal;
    int priority = 0; ///< Engine priority; lower values run first.
    base::Millis timeRemaining{0};
    base::Tokens kvTokensPerEngine; ///< KV cache to reserve at each engine of the gang.
    std::int64_t resumeOffset = 0; ///< Number of tokens already delivered.
    bool isResume = false; ///< Resumes the stream of the attempt with this id at its upstream.
};

/// Cancels an attempt at its upstream.
struct CancelAttempt
{
    base::AttemptId attempt;
    base::UpstreamId upstream;
};

/// Forwards the last \c AttemptTokens to the caller, without its first \c skippedTokens tokens.
struct ForwardTokens
{
    base::RequestId request;
    std::int64_t skippedTokens = 0;
};

/// The response is complete; the request is closed.
struct CompleteRequest
{
    base::RequestId request;
};

/// Ends a request without a complete response.
struct FailRequest
{
    base::RequestId request;
    EndReason reason = EndReason::NoUpstream;
    Outcome outcome = Outcome::NotRun;
    /// Delay before a retry by the caller may succeed; 0 if a retry is pointless.
    base::Millis retryAfter{0};
};

/// A retry or a stream resume was scheduled. For metrics only.
struct RetryScheduled
{
    base::RequestId request;
    AttemptFault fault = AttemptFault::ConnectFailed;
};

/// A stream timed out without a token. For metrics only.
struct StreamStalled
{
    base::RequestId request;
    base::UpstreamId upstream;
};

/// An upstream was ejected for \c duration because attempts failed there. For metrics only.
struct UpstreamEjected
{
    base::UpstreamId upstream;
    base::Millis duration{0};
};

using Action = std::variant<StartAttempt, CancelAttempt, ForwardTokens, CompleteRequest,
                            FailRequest, RetryScheduled, StreamStalled, UpstreamEjected>;
using Actions = std::vector<Action>;

/// An upstream with room for a request, as input to a PlacementPolicy.
struct Candidate
{
    const UpstreamInfo *info = nullptr;
    base::Tokens tokensAhead; ///< Uncached prompt tokens to prefill before this request.
    base::Tokens
            uncachedTokens; ///< Prompt tokens of this request that are not in the prefix cache.
    int outstandingRequests = 0;
    base::Micros timeToFirstToken{0}; ///< Estimate.
    std::uint64_t lastAssigned = 0; ///< Sequence number of the last assignment to this upstream.
};

/// Selects one of the upstreams that have room for a request.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;
    /// Returns an index into \a candidates, which is not empty.
    virtual std::size_t choose(const RequestInfo &request, const std::vector<Candidate> &candidates,
                               base::TimePoint now) = 0;
    /// If true, requests are assigned on arrival regardless of the load of the upstream, as in an
    /// ordinary load balancer. If false, they are queued in the router until an upstream has room.
    virtual bool assignsOnArrival() const { return true; }
};

/// Takes the candidates in turn.
std::unique_ptr<PlacementPolicy> makeRoundRobinPolicy();
/// Takes the candidate with the fewest outstanding requests of this host.
std::unique_ptr<PlacementPolicy> makeLeastOutstandingPolicy();
/// Lowest estimated time to first token; the default policy.
std::unique_ptr<PlacementPolicy> makeAdaptivePolicy();
/// Creates the policy named by the setting: "adaptive", "least-outstanding" or "round-robin". Any
/// other name gives the adaptive policy.
std::unique_ptr<PlacementPolicy> makePolicy(std::string_view name);

/// Configuration of a Router.
struct RouterOptions
{
    base::HostId host;
    base::Incarnation incarnation;
    base::DataCentreId dataCentre;
    std::string policy = "adaptive";
    std::size_t maxQueued = 10'000;
    /// Limit on the total size of the bodies of open requests.
    base::Bytes maxOpenBodyBytes{std::int64_t(512) << 20};
    /// Limit on outstanding uncached prompt tokens at one engine; a low prefill rate lowers it.
    base::Tokens maxOutstandingPromptTokens{32'768};
    base::Tokens longPromptThreshold{32'768}; ///< Prompts above this length are long.
    /// Longest wait between tokens before a stream counts as stalled.
    base::Millis stallTimeout{10'000};
    base::Tokens prefixBlockTokens{1'024}; ///< Size of a block in RequestInfo::prefixHashes.
    int maxOutstandingServiceCalls = 32; ///< Limit on outstanding calls at one plain service.
    int maxConcurrentGangs = 1; ///< Limit on gangs running at the same time.
    std::uint64_t seed = 1;
};

/// Values for gauge metrics.
struct RouterStats
{
    std::size_t queuedRequests = 0;
    std::size_t activeRequests = 0;
    base::Tokens outstandingPromptTokens;
    std::size_t upstreamCount = 0;
    std::size_t ejectedUpstreams = 0;
    base::Bytes openBodyBytes;
};

/// Routes requests to upstreams by consuming events and producing actions.
class Router
{
public:
    explicit Router(RouterOptions options);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Processes an event. The returned actions must be executed in order.
    Actions handle(const Event &event, base::TimePoint now);
    /// Processes due timers. Must be called no later than nextTick().
    Actions tick(base::TimePoint now);
    /// Time of the next due timer; TimePoint::max() if there is none.
    base::TimePoint nextTick() const;

    RouterStats stats() const;
    /// Outstanding work of this host by upstream, for its peers. Includes an upstream for a few
    /// more calls after its work has ended.
    std::vector<PeerLoadReport> outstanding() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hyssop::routing
