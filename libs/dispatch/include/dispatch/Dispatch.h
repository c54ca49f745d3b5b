/// Decisions on calls whose bytes are opaque: which upstream gets one and when, what is sent again,
/// what is refused and what is given up.
///
/// A Dispatcher takes events and the present time and returns actions. It does no I/O, draws random
/// numbers only from its seed, and belongs to one thread.
///
/// Prompts of very unlike lengths share the engines of a service. A prompt is split over as many
/// engines as its reading needs to fit between the tokens of those who write there. Short prompts
/// are kept together on as few engines as bear them, so that prompts which no split makes small
/// enough find engines of their own. Hosts tell each other what they have where, and so agree on
/// these.
#pragma once

#include "base/Base.h"
#include "fleet/Fleet.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hyssop::dispatch {

using CallId = base::Quantity<struct DispatchCallTag>;

struct CallInfo
{
    CallId id;
    base::ServiceId service;
    base::TeamId team;
    int priority = 0; ///< 0 goes first.
    bool isStream = false;
    bool isRetrySafe = false; ///< May be sent again though it may have run.
    int maxAttempts = 1; ///< Upstreams that it may be sent to.
    base::Tokens promptTokens;
    base::Tokens maxOutputTokens;
    base::TimePoint arrivedAt;
    base::TimePoint deadline;
    base::Millis latencyObjective{0}; ///< First event, or whole answer, in time.
    base::Millis gapObjective{0}; ///< Longest pause between events in time.
};

/// Why a call ended without an upstream's answer.
enum class FailureReason {
    NoUpstream, ///< None is known, or none that may be used.
    TooLarge, ///< No engine holds the prompt.
    Overloaded, ///< No room in time.
    UpstreamRefused, ///< Upstreams did not start it.
    UpstreamLost, ///< The connection to an upstream failed after the call was sent.
    DeadlineExceeded,
    Stopping,
};

std::string_view failureReasonName(FailureReason reason);

/// How an attempt failed.
enum class AttemptFault {
    NotSent, ///< No byte reached the upstream.
    Refused, ///< The upstream says that it did not start.
    Misdirected, ///< Another upstream has the address.
    AnswerLost, ///< No whole answer came; it may have run.
    UpstreamError, ///< The upstream answered with a failure of its own; it ran.
    Stalled, ///< Nothing came for too long; it may have run.
};

std::string_view attemptFaultName(AttemptFault fault);
/// Whether a fault proves that the upstream did not run the call.
bool provesNotRun(AttemptFault fault);

// Events.

struct CallArrived
{
    CallInfo call;
};

struct CallerDisconnected
{
    CallId call;
};

struct UpstreamUpdated
{
    fleet::Upstream upstream;
};

struct UpstreamRemoved
{
    base::UpstreamId upstream;
};

/// What a configuration says of a service.
struct ServiceParameters
{
    base::ServiceId service;
    std::optional<fleet::EngineSpec> engine;
    base::Millis shortestGap{0}; ///< Of all its routes.
    base::Millis longestGap{0}; ///< Likewise.
};

struct ServicesChanged
{
    std::vector<ServiceParameters> services;
};

/// Load that an upstream told with an answer.
struct UpstreamLoadReported
{
    base::UpstreamId upstream;
    int running = 0;
    int waiting = 0;
};

/// What other entry hosts have outstanding.
struct PeerLoadSumReceived
{
    fleet::LoadReport load;
    int entryHostCount = 1; ///< Entry hosts in all.
};

/// What another entry host has outstanding, told by itself.
struct PeerLoadReceived
{
    fleet::LoadNews update;
};

/// A long prompt may be read now, or no control host says when.
struct PermitGranted
{
    CallId call;
};

/// All that ReserveMemory asked for is reserved, or some of it is not to be had.
struct ReservationDone
{
    CallId call;
    bool isReserved = false;
};

/// Answer bytes of a call came: its first event or a later one.
struct AnswerProgressed
{
    CallId call;
};

struct AttemptSucceeded
{
    CallId call;
};

struct AttemptFailed
{
    CallId call;
    AttemptFault fault = AttemptFault::AnswerLost;
    std::optional<base::Endpoint> faultyUpstream = {}; ///< Upstream at fault, if it is another one.
};

using Event = std::variant<CallArrived, CallerDisconnected, UpstreamUpdated, UpstreamRemoved,
                           ServicesChanged, UpstreamLoadReported, PeerLoadSumReceived,
                           PeerLoadReceived, PermitGranted, ReservationDone, AnswerProgressed,
                           AttemptSucceeded, AttemptFailed>;

// Actions.

/// An engine that reads a part of a prompt, and maybe holds a part of its memory.
struct Helper
{
    fleet::Upstream upstream;
    base::Tokens kvTokens; ///< Reserved there for this call; 0 when none is.
};

/// Reserves memory at engines for a prompt that is larger than one of them holds.
struct ReserveMemory
{
    CallId call;
    std::vector<Helper> helpers; ///< Those without memory included.
};

/// Gives back what was reserved for a call, and what may have been.
struct ReleaseMemory
{
    CallId call;
};

struct SendAttempt
{
    CallId call;
    fleet::Upstream upstream;
    std::vector<Helper> helpers; ///< That read parts of the prompt.
    base::Millis timeLeft{0};
    int attempt = 1;
    bool isResume = false; ///< Goes on after the events that the caller has.
    int requestsAtUpstream = 0; ///< Known at the upstream before this one.
    bool isLongPrompt = false; ///< Sent to engines set apart for long prompts.
};

/// Closes the attempt's connection; what it may still bring is dropped.
struct CancelAttempt
{
    CallId call;
};

/// Ends a call that has not run and never will.
struct RejectCall
{
    CallId call;
    FailureReason reason = FailureReason::Overloaded;
    base::Millis retryAfter{0};
};

/// Ends a call that may have run and has no answer.
struct FailCall
{
    CallId call;
    FailureReason reason = FailureReason::UpstreamLost;
};

/// Passes the upstream's own failure on to the caller.
struct ForwardUpstreamError
{
    CallId call;
};

/// Asks a control host for the permit to read a long prompt.
struct RequestPermit
{
    CallId call;
    base::ServiceId service;
    std::int64_t prefillMs = 0; ///< Reading of the whole prompt on one engine.
    base::Millis maxWait{0}; ///< It is of no use after this.
    base::Millis lateAfter{0}; ///< With it later than this the answer is late.
    bool isOversized = false; ///< The prompt is larger than an engine holds.
};

/// Its prompt was read, or will not be.
struct ReleasePermit
{
    CallId call;
};

/// A further attempt was decided; for counting.
struct RetryScheduled
{
    CallId call;
    AttemptFault fault = AttemptFault::AnswerLost;
};

/// An upstream gets no new calls for a while; for counting.
struct UpstreamEjected
{
    base::UpstreamId upstream;
    base::Millis duration{0};
};

/// Upstreams of a data centre get no calls for a while because none there can be reached; for
/// counting.
struct DataCentreUnreachable
{
    base::DataCentreId dataCentre;
};

using Action = std::variant<ReserveMemory, ReleaseMemory, SendAttempt, CancelAttempt, RejectCall,
                            FailCall, ForwardUpstreamError, RequestPermit, ReleasePermit,
                            RetryScheduled, UpstreamEjected, DataCentreUnreachable>;
using Actions = std::vector<Action>;

struct DispatcherOptions
{
    base::HostId host;
    base::DataCentreId dataCentre;
    double retryRatio = 0.2; ///< Further attempts for each call, in a window.
    int retryExtra = 100; ///< Further attempts in a window beside these, of all entry hosts.
    base::Millis retryWindow{10'000};
    std::uint64_t seed = 1;
};

struct DispatcherStats
{
    std::size_t queued = 0;
    std::size_t active = 0;
    std::size_t upstreams = 0;
    std::size_t ejected = 0;
};

class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Actions in the order they are to be carried out.
    Actions handle(const Event &event, base::TimePoint now);
    /// To be called at nextTick() at the latest.
    Actions tick(base::TimePoint now);
    base::TimePoint nextTick() const;

    DispatcherStats stats(base::TimePoint now) const;
    /// What has changed of this host's outstanding since it was last asked for; all of it if
    /// \a isSnapshot.
    fleet::LoadNews takeLoadUpdate(bool isSnapshot);
    /// What this host has outstanding for the others.
    fleet::LoadReport ownLoad() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hyssop::dispatch
