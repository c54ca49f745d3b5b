#pragma once

#include "Admission.h"
#include "RetryBudget.h"
#include "Timers.h"
#include "UpstreamTable.h"

#include <unordered_map>

namespace hyssop::routing {

/// Where an admitted request stands.
enum class Stage {
    Queued, ///< In a lane of its pool.
    BackingOff, ///< Waits to be queued again or to resume its stream.
    Active, ///< An attempt is under way.
};

struct ActiveRequest
{
    RequestInfo info;
    Pool *pool = nullptr;
    SizeClass size = SizeClass::Short;
    Stage stage = Stage::Queued;
    // The attempt; kept over a resume.
    base::AttemptId attempt;
    std::vector<Hold> holds; ///< At each engine of a gang; else one.
    bool isAccepted = false;
    bool isResume = false; ///< The attempt has been resumed since its last progress.
    base::TimePoint boundAt;
    base::Tokens workAtBind; ///< Prompt tokens to compute before and for this request.
    base::TimePoint firstTokenAt;
    base::TimePoint lastProgress;
    base::Micros progressLimit{0};
    int resumes = 0; ///< Since the last progress.
    // The request.
    int attempts = 0;
    std::int64_t delivered = 0;
    bool mayHaveRun = false;
    base::UpstreamId avoided; ///< Where the last attempt failed.
    base::TimePoint queuedAt;
    std::optional<Timer> startTimer; ///< While queued.
    std::optional<Timer> retryTimer;
    std::optional<Timer> progressTimer;

    bool hasAttempt() const { return !attempt.isEmpty(); }
};

/// Attempts of one request, the first one included.
inline constexpr int kMaxAttempts = 4;
/// Resumes of one stream without a token between them.
inline constexpr int kMaxResumes = 3;

class Router::Impl
{
public:
    explicit Impl(RouterOptions options);

    // Events.
    void on(const RequestArrived &event, base::TimePoint now);
    void on(const CallerGone &event, base::TimePoint now);
    void on(const UpstreamSeen &event, base::TimePoint now);
    void on(const UpstreamGone &event, base::TimePoint now);
    void on(const LoadReported &event, base::TimePoint now);
    void on(const CacheChanged &event, base::TimePoint now);
    void on(const PeerOutstanding &event, base::TimePoint now);
    void on(const AttemptAccepted &event, base::TimePoint now);
    void on(const AttemptTokens &event, base::TimePoint now);
    void on(const AttemptFinished &event, base::TimePoint now);
    void on(const AttemptFailed &event, base::TimePoint now);
    void on(const CatalogueChanged &event, base::TimePoint now);
    void on(const StopAnnounced &event, base::TimePoint now);
    void tick(base::TimePoint now);
    base::TimePoint nextTick() const;

    // Queueing and placement.
    void enqueue(ActiveRequest &request, base::TimePoint now);
    /// Undoes what enqueue() did beside the lane.
    void leaveQueue(ActiveRequest &request);
    void unqueue(ActiveRequest &request);
    /// Ends a queued request that cannot end by its deadline any more.
    void giveUp(ActiveRequest &request, base::TimePoint now);
    void dispatchChanged(base::TimePoint now);
    void dispatch(Pool &pool, base::TimePoint now);
    /// True: the front of the lane of that number was taken out.
    bool serve(Pool &pool, std::size_t number, base::TimePoint now);
    /// Whether \a request was \a blocked before and no upstream that changed since has room for it.
    bool isStillBlocked(const Pool &pool, const ActiveRequest &request,
                        const base::RequestId &blocked, base::TimePoint now);
    bool place(ActiveRequest &request, base::TimePoint now);
    bool placeGang(ActiveRequest &request, base::TimePoint now);
    void bind(ActiveRequest &request, base::Micros firstToken, base::TimePoint now);
    void startAttempt(const ActiveRequest &request, base::TimePoint now);
    void markChanged(const ActiveRequest &request);

    // Attempts.
    void onFirstToken(ActiveRequest &request, base::TimePoint now);
    void onFault(ActiveRequest &request, AttemptFault fault, base::Millis retryAfter,
                 base::TimePoint now);
    void noteHealth(ActiveRequest &request, AttemptFault fault, base::TimePoint now);
    bool canResume(const ActiveRequest &request, AttemptFault fault) const;
    /// \a isClean: the fault proves that the attempt did not run.
    static bool mayRetry(const ActiveRequest &request, AttemptFault fault, bool isClean);
    void resumeLater(ActiveRequest &request, AttemptFault fault, base::TimePoint now);
    void retryLater(ActiveRequest &request, AttemptFault fault, base::Millis retryAfter,
                    base::TimePoint now);
    void release(ActiveRequest &request, base::TimePoint now);
    void armProgress(ActiveRequest &request, base::TimePoint at);
    void onProgressDue(ActiveRequest &request, base::TimePoint now);
    void onRetryDue(ActiveRequest &request, base::TimePoint now);
    void backOff(ActiveRequest &request, base::TimePoint until);

    // Ends.
    void end(ActiveRequest &request, Reason reason, base::Millis retryAfter, base::TimePoint now);
    void forget(ActiveRequest &request);
    ActiveRequest *requestOf(const base::AttemptId &attempt);
    ActiveRequest *find(const base::RequestId &id);

    RouterOptions m_options;
    Placement m_placement;
    Admission m_admission;
    UpstreamTable m_upstreams;
    RetryBudget m_budget;
    base::Rng m_rng;
    Timers m_timers;
    std::shared_ptr<const records::Catalogue> m_catalogue;
    std::unordered_map<base::RequestId, ActiveRequest> m_requests;
    std::unordered_map<base::AttemptId, base::RequestId> m_attempts;
    std::size_t m_queued = 0;
    int m_gangs = 0;
    std::int64_t m_lastAttempt = 0;
    std::uint64_t m_lastBind = 0;
    base::TimePoint m_lastNow{}; ///< Of the last event.
    base::TimePoint m_recheckAt = base::TimePoint::max();
    Actions m_actions;
};

} // namespace hyssop::routing
