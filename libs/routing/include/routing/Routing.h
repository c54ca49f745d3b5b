/// Decisions on a request's way: admission, queueing, placement, retries and stream checks.
///
/// A Router takes events and the present time and returns actions; it does no I/O and draws random
/// numbers only from its seed, so a recorded trace of events replays to the same actions. It
/// belongs to one thread.
#pragma once

#include "base/Base.h"
#include "records/Records.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hyssop::routing {

enum class UpstreamKind { Engine, Service };

/// An upstream as its announcement describes it.
struct UpstreamInfo
{
    base::UpstreamId id;
    base::Incarnation incarnation;
    UpstreamKind kind = UpstreamKind::Engine;
    base::DataCentreId dataCentre;
    std::string role;
    std::vector<std::string> models; ///< Of an engine: models loaded. Of a service: its name.
    base::Tokens kvTokens; ///< Capacity of an engine's KV cache.
    bool isLeaving = false;
};

/// An admitted or refused unit of work. Hashes in \c prefix are chained, one a whole block.
struct RequestInfo
{
    base::RequestId id;
    base::TeamId team;
    UpstreamKind kind = UpstreamKind::Engine;
    std::string target; ///< Model or service name.
    std::string role; ///< Role of upstreams wanted; empty means any.
    records::Urgency urgency = records::Urgency::Normal;
    base::Tokens prompt;
    base::Tokens maxOutput;
    std::vector<std::uint64_t> prefix;
    base::Bytes body; ///< Memory that the request holds while it is open.
    base::TimePoint deadline;
    bool mayRepeat = true;
    /// Claimed under the caller's key, so that a call which did not run may be sent again.
    bool hasClaim = false;
};

/// Why a request was refused or ended without a whole answer.
enum class Reason {
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
    OutOfTime,
    UpstreamFailed,
    StreamBroken,
    CallerGone,
    Stopping,
};

inline constexpr int kReasonCount = 15;

std::string_view reasonName(Reason reason);

/// What is known of a request that ended without an answer.
enum class Outcome {
    NotRun, ///< No part of it ran.
    Failed, ///< It may have run, in part or whole.
};

std::string_view outcomeName(Outcome outcome);

/// How an attempt failed.
enum class AttemptFault {
    ConnectFailed, ///< No byte left.
    Refused, ///< The upstream answered that it did not start.
    Timeout,
    ClosedEarly, ///< The answer broke off.
    UpstreamError, ///< The upstream answered with an error after it may have started.
    StreamMismatch, ///< An event of another attempt or offset.
    Stalled, ///< No token came for too long.
};

inline constexpr int kAttemptFaultCount = 7;

std::string_view attemptFaultName(AttemptFault fault);

/// Whether a fault proves that the upstream did not run the attempt.
bool provesNotRun(AttemptFault fault);

// Events.

struct RequestArrived
{
    RequestInfo request;
};

struct CallerGone
{
    base::RequestId request;
};

struct UpstreamSeen
{
    UpstreamInfo upstream;
};

struct UpstreamGone
{
    base::UpstreamId upstream;
};

/// Load as an engine reported it, \c age ago.
struct LoadReported
{
    base::UpstreamId upstream;
    base::Millis age{0};
    int running = 0;
    int waiting = 0;
    base::Tokens queuedPrompt;
    base::Tokens kvUsed;
};

/// Change of an engine's prefix cache; a gap in \c sequence makes what is known doubtful.
struct CacheChanged
{
    base::UpstreamId upstream;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;
};

/// What another entry host has outstanding at an upstream.
struct PeerOutstanding
{
    base::HostId host;
    base::UpstreamId upstream;
    base::Tokens prompt;
    int requests = 0;
    base::Tokens longPrompt; ///< Part of \c prompt that belongs to long prompts.
    base::Tokens kv; ///< KV cache that the requests may come to hold.
};

struct AttemptAccepted
{
    base::AttemptId attempt;
};

/// \c count tokens of the answer, the first of them at \c offset.
struct AttemptTokens
{
    base::AttemptId attempt;
    std::int64_t offset = 0;
    std::int64_t count = 0;
};

struct AttemptFinished
{
    base::AttemptId attempt;
};

struct AttemptFailed
{
    base::AttemptId attempt;
    AttemptFault fault = AttemptFault::ConnectFailed;
    base::Millis retryAfter{0};
};

struct CatalogueChanged
{
    std::shared_ptr<const records::Catalogue> catalogue;
};

/// No new requests are admitted from here on.
struct StopAnnounced
{ };

using Event = std::variant<RequestArrived, CallerGone, UpstreamSeen, UpstreamGone, LoadReported,
                           CacheChanged, PeerOutstanding, AttemptAccepted, AttemptTokens,
                           AttemptFinished, AttemptFailed, CatalogueChanged, StopAnnounced>;

// Actions.

/// Sends a request to an upstream, or to several that hold its prompt together.
struct StartAttempt
{
    base::AttemptId attempt;
    base::RequestId request;
    base::UpstreamId upstream;
    std::vector<base::UpstreamId> gang; ///< Further engines of a gang, in id order.
    records::Urgency urgency = records::Urgency::Normal;
    int priority = 0; ///< For the engine; lower goes first.
    base::Millis remaining{0};
    base::Tokens gangShare; ///< KV cache to reserve at each engine of a gang.
    std::int64_t resumeOffset = 0; ///< Tokens already delivered.
    bool resumesStream = false; ///< Continue the attempt of the same id at its upstream.
};

struct CancelAttempt
{
    base::AttemptId attempt;
    base::UpstreamId upstream;
};

/// Delivers the last \c AttemptTokens to the caller, without its first \c skip tokens.
struct ForwardTokens
{
    base::RequestId request;
    std::int64_t skip = 0;
};

struct CompleteRequest
{
    base::RequestId request;
};

/// Ends a request without a whole answer.
struct EndRequest
{
    base::RequestId request;
    Reason reason = Reason::NoUpstream;
    Outcome outcome = Outcome::NotRun;
    base::Millis retryAfter{0}; ///< When a new try may do better; 0 when none would.
};

/// A retry was decided; for counting.
struct RetryNoted
{
    base::RequestId request;
    AttemptFault fault = AttemptFault::ConnectFailed;
};

/// A stream was given up because no token came; for counting.
struct StallNoted
{
    base::RequestId request;
    base::UpstreamId upstream;
};

/// An upstream gets no new work for a while because attempts there fail; for counting.
struct EjectionNoted
{
    base::UpstreamId upstream;
    base::Millis duration{0};
};

using Action = std::variant<StartAttempt, CancelAttempt, ForwardTokens, CompleteRequest, EndRequest,
                            RetryNoted, StallNoted, EjectionNoted>;
using Actions = std::vector<Action>;

/// An upstream as a policy sees it.
struct Candidate
{
    const UpstreamInfo *info = nullptr;
    base::Tokens
            tokensAhead; ///< Uncached prompt tokens that the engine computes before this request's.
    base::Tokens uncachedTokens; ///< Prompt tokens of this request that it has to compute.
    int outstandingRequests = 0;
    base::Micros timeToFirstToken{0}; ///< Estimated time to the first token.
    std::uint64_t lastAssigned = 0; ///< Order in which upstreams last got a request.
};

/// Chooses among upstreams that may take a request now.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;
    /// Index into \a candidates, which is not empty.
    virtual std::size_t choose(const RequestInfo &request, const std::vector<Candidate> &candidates,
                               base::TimePoint now) = 0;
    /// True: requests go to an upstream as they arrive, whatever is outstanding there, as an
    /// ordinary balancer sends them. False: they wait here until an upstream has room.
    virtual bool assignsOnArrival() const { return true; }
};

std::unique_ptr<PlacementPolicy> makeRoundRobinPolicy();
std::unique_ptr<PlacementPolicy> makeLeastOutstandingPolicy();
/// The product's own policy.
std::unique_ptr<PlacementPolicy> makeAdaptivePolicy();
/// By name as in the setting: "adaptive", "least-outstanding" or "round-robin".
std::unique_ptr<PlacementPolicy> makePolicy(std::string_view name);

struct RouterOptions
{
    base::HostId host;
    base::Incarnation incarnation;
    base::DataCentreId dataCentre;
    std::string policy = "adaptive";
    std::size_t maxQueued = 10'000;
    base::Bytes maxBody{std::int64_t(512) << 20}; ///< Bodies of all open requests together.
    base::Tokens maxOutstanding{
            32'768}; ///< Bound on uncached prompt tokens at one engine; its rate may lower it.
    base::Tokens longPrompt{32'768}; ///< Prompts above are long.
    base::Millis stallLimit{10'000}; ///< Wait between tokens after which a stream is given up.
    base::Tokens prefixBlockTokens{1'024}; ///< Of a block in RequestInfo::prefix.
    int maxOutstandingServiceCalls = 32; ///< Calls outstanding at one plain service.
    int maxConcurrentGangs = 1; ///< Gangs at a time.
    std::uint64_t seed = 1;
};

/// Figures for gauges.
struct RouterStats
{
    std::size_t queued = 0;
    std::size_t active = 0;
    base::Tokens outstanding;
    std::size_t upstreams = 0;
    std::size_t ejected = 0;
    base::Bytes body;
};

class Router
{
public:
    explicit Router(RouterOptions options);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Actions in the order they are to be carried out.
    Actions handle(const Event &event, base::TimePoint now);
    /// To be called at nextTick() at the latest.
    Actions tick(base::TimePoint now);
    base::TimePoint nextTick() const;

    RouterStats stats() const;
    /// What this host has outstanding at each upstream where that is anything, for its peers.
    std::vector<PeerOutstanding> outstanding() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hyssop::routing
