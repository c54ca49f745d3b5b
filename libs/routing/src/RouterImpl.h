#pragma once

#include "Admission.h"
#include "RetryBudget.h"
#include "Timers.h"
#include "UpstreamTable.h"

#include <unordered_map>

namespace hyssop::routing {

/// State of an admitted request.
enum class Stage {
    Queued, ///< In a queue of its pool.
    BackingOff, ///< Waits before it is queued again or its stream is resumed.
    Active, ///< An attempt is running.
};

/// An admitted request that has not ended, with its current attempt if any.
struct ActiveRequest
{
    RequestInfo info;
    UpstreamPool *pool = nullptr;
    SizeClass sizeClass = SizeClass::Short;
    Stage stage = Stage::Queued;
    // State of the current attempt; kept when its stream is resumed.
    base::AttemptId attempt;
    /// One for each engine of a gang; otherwise a single one.
    std::vector<Reservation> reservations;
    bool isAccepted = false;
    bool isResuming = false; ///< The attempt has been resumed since its last progress.
    base::TimePoint assignedAt;
    base::Tokens prefillAtAssignment; ///< Prompt tokens to prefill before and for this request.
    base::TimePoint firstTokenAt;
    base::TimePoint lastProgressAt;
    base::Micros progressTimeout{0};
    int resumeCount = 0; ///< Since the last progress.
    // State of the request across attempts.
    int attemptCount = 0;
    std::int64_t deliveredTokens = 0;
    bool mayHaveRun = false;
    base::UpstreamId avoidedUpstream; ///< Upstream of the last failed attempt.
    base::TimePoint queuedAt;
    std::optional<Timer> latestStartTimer; ///< While queued.
    std::optional<Timer> retryTimer;
    std::optional<Timer> progressTimer;

    bool hasAttempt() const { return !attempt.isEmpty(); }
};

/// Limit on attempts of one request, including the first.
inline constexpr int kMaxAttempts = 4;
/// Limit on consecutive resumes of a stream without a new token.
inline constexpr int kMaxResumes = 3;

class Router::Impl
{
public:
    explicit Impl(RouterOptions options);

    // Events.
    void on(const RequestArrived &event, base::TimePoint now);
    void on(const CallerDisconnected &event, base::TimePoint now);
    void on(const UpstreamUpdated &event, base::TimePoint now);
    void on(const UpstreamRemoved &event, base::TimePoint now);
    void on(const LoadReported &event, base::TimePoint now);
    void on(const CacheChanged &event, base::TimePoint now);
    void on(const PeerLoadReport &event, base::TimePoint now);
    void on(const AttemptAccepted &event, base::TimePoint now);
    void on(const AttemptTokens &event, base::TimePoint now);
    void on(const AttemptFinished &event, base::TimePoint now);
    void on(const AttemptFailed &event, base::TimePoint now);
    void on(const CatalogueChanged &event, base::TimePoint now);
    void on(const StopRequested &event, base::TimePoint now);
    void tick(base::TimePoint now);
    base::TimePoint nextTick() const;

    // Queueing and placement.
    void enqueue(ActiveRequest &request, base::TimePoint now);
    /// Clears the timer and count that enqueue() set; does not touch the queue itself.
    void clearQueueState(ActiveRequest &request);
    void removeFromQueue(ActiveRequest &request);
    /// Fails a queued request that can no longer meet its deadline.
    void rejectAsTooLate(ActiveRequest &request, base::TimePoint now);
    void dispatchChangedPools(base::TimePoint now);
    void dispatch(UpstreamPool &pool, base::TimePoint now);
    /// Tries to place the front request of queue \a index. Returns true if it left the queue.
    bool serveQueue(UpstreamPool &pool, std::size_t index, base::TimePoint now);
    /// Whether \a request is \a blockedFront and no upstream that changed since then has room for
    /// it.
    bool isStillBlocked(const UpstreamPool &pool, const ActiveRequest &request,
                        const base::RequestId &blockedFront, base::TimePoint now);
    /// Returns false if no upstream has room. Returns true without an attempt if the deadline can
    /// no longer be met.
    bool tryPlace(ActiveRequest &request, base::TimePoint now);
    /// Returns false if no gang has room or the limit on concurrent gangs is reached.
    bool tryPlaceGang(ActiveRequest &request, base::TimePoint now);
    /// Reserves the capacity of request.reservations and starts the attempt; \a firstToken is its
    /// estimated time to first token.
    void assign(ActiveRequest &request, base::Micros firstToken, base::TimePoint now);
    void startAttempt(const ActiveRequest &request, base::TimePoint now);
    void markUpstreamsChanged(const ActiveRequest &request);

    // Attempts.
    void onFirstToken(ActiveRequest &request, base::TimePoint now);
    void onFault(ActiveRequest &request, AttemptFault fault, base::Millis retryAfter,
                 base::TimePoint now);
    void recordFailure(ActiveRequest &request, AttemptFault fault, base::TimePoint now);
    bool canResume(const ActiveRequest &request, AttemptFault fault) const;
    /// \a isProvenNotRun is true if the fault proves that the attempt did not run.
    static bool canRetry(const ActiveRequest &request, AttemptFault fault, bool isProvenNotRun);
    void scheduleResume(ActiveRequest &request, AttemptFault fault, base::TimePoint now);
    void scheduleRetry(ActiveRequest &request, AttemptFault fault, base::Millis retryAfter,
                       base::TimePoint now);
    void releaseAttempt(ActiveRequest &request, base::TimePoint now);
    void armProgressTimer(ActiveRequest &request, base::TimePoint at);
    void onProgressTimer(ActiveRequest &request, base::TimePoint now);
    void onRetryTimer(ActiveRequest &request, base::TimePoint now);
    /// Goes on with the attempt that was to be resumed.
    void endBackOff(ActiveRequest &request, base::TimePoint now);
    void backOff(ActiveRequest &request, base::TimePoint until);

    // Completion and lookup.
    void failRequest(ActiveRequest &request, EndReason reason, base::Millis retryAfter,
                     base::TimePoint now);
    void eraseRequest(ActiveRequest &request);
    ActiveRequest *findByAttempt(const base::AttemptId &attempt);
    ActiveRequest *findRequest(const base::RequestId &id);

    RouterOptions m_options;
    Placement m_placement;
    Admission m_admission;
    UpstreamTable m_upstreams;
    RetryBudget m_retryBudget;
    base::Rng m_rng;
    Timers m_timers;
    std::shared_ptr<const records::Catalogue> m_catalogue;
    std::unordered_map<base::RequestId, ActiveRequest> m_requests;
    std::unordered_map<base::AttemptId, base::RequestId> m_attempts;
    std::size_t m_queuedCount = 0;
    int m_activeGangs = 0;
    std::int64_t m_lastAttemptNumber = 0;
    std::uint64_t m_lastAssignment = 0;
    base::TimePoint m_lastEventAt{}; ///< Time of the last event.
    base::TimePoint m_recheckAt = base::TimePoint::max();
    Actions m_actions;
};

} // namespace hyssop::routing
