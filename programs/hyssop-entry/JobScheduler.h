#pragma once

#include "caller/Caller.h"
#include "ledger/Ledger.h"

#include <map>
#include <variant>

namespace hyssop::entry {

/// A waiting or running job as listed by the control hosts.
struct OpenJob
{
    base::JobId id;
    ledger::JobState state = ledger::JobState::Waiting;
    ledger::Owner owner;
};

/// A job that this host has taken, with what is needed to run it.
struct TakenJob
{
    base::JobId id;
    base::TeamId team;
    std::string request;
    int attempts = 0; ///< How often it was taken, including this time.
    base::Millis remaining{0};
    bool isRetrySafe = true;
};

// Actions.

/// Takes a waiting job in the log; answered by JobScheduler::onTaken().
struct SendTakeJob
{
    base::JobId id;
};

/// Reads a job that was taken; answered by JobScheduler::onFetched().
struct FetchJob
{
    base::JobId id;
};

/// Runs the job; answered by JobScheduler::onRunCompleted() or onRunFailed().
struct RunJob
{
    base::JobId id;
    base::TimePoint deadline;
};

/// Cancels the run of a job; not answered.
struct CancelJob
{
    base::JobId id;
};

/// Records the end of the job, or returns it to the queue in state Waiting. Retried until it is
/// recorded; answered by JobScheduler::onFinishRecorded().
struct SendFinishJob
{
    base::JobId id;
    ledger::JobState state = ledger::JobState::Waiting;
    std::string result;
};

using JobAction = std::variant<SendTakeJob, FetchJob, RunJob, CancelJob, SendFinishJob>;
using JobActions = std::vector<JobAction>;

struct JobSchedulerOptions
{
    ledger::Owner self;
    std::size_t maxRunning = 8; ///< Jobs not in backoff.
    std::size_t maxHeld = 64; ///< Jobs that run or wait for their next run.
    int maxAttempts = 10; ///< How often a job may be taken by all hosts.
    int maxFailedRuns = 5; ///< How often this host runs a job that fails.
    std::uint64_t seed = 1;
};

/// Decides which waiting jobs this host takes, when it runs them, and how they end. No I/O.
///
/// A job whose run did not start, because no upstream or capacity was available, backs off and is
/// retried until its deadline. A job whose run failed is retried a limited number of times. A job
/// with a permanent error fails at once. Every job taken is finished or returned to the queue.
class JobScheduler
{
public:
    explicit JobScheduler(JobSchedulerOptions options);

    /// Takes waiting jobs, as far as there are free slots.
    JobActions onOpenJobs(const std::vector<OpenJob> &jobs);
    /// \a isMine is empty when it is unknown whether the command took effect.
    JobActions onTaken(const base::JobId &id, std::optional<bool> isMine);
    /// \a job is empty when it could not be read.
    JobActions onFetched(const base::JobId &id, const std::optional<TakenJob> &job,
                         base::TimePoint now);
    JobActions onRunCompleted(const base::JobId &id, std::string result);
    JobActions onRunFailed(const base::JobId &id, const caller::ErrorBody &error,
                           base::TimePoint now);
    /// The end of the job or its return to the queue is recorded, or its retries have ended.
    void onFinishRecorded(const base::JobId &id);
    /// Runs jobs whose backoff is over, and fails those past their deadline.
    JobActions tick(base::TimePoint now);
    /// Cancels the runs and returns the jobs to the queue. Takes no jobs afterwards.
    JobActions stop();

    bool isEmpty() const { return m_heldJobs.empty(); }
    /// Jobs held that are not in backoff.
    std::size_t runningCount() const;
    std::size_t heldCount() const { return m_heldJobs.size(); }
    std::vector<base::JobId> heldIds() const;
    /// How many more jobs it can take now.
    std::size_t freeSlots() const;

private:
    enum class State { Taking, Fetching, Running, BackingOff, Finishing };
    struct HeldJob
    {
        State state = State::Taking;
        TakenJob job;
        base::TimePoint deadline;
        base::TimePoint retryAt;
        int failedRuns = 0;
        int backoffs = 0;
    };

    JobActions finish(const base::JobId &id, ledger::JobState state, std::string result);
    JobActions backOff(HeldJob &held, base::Millis retryAfter, base::TimePoint now);

    JobSchedulerOptions m_options;
    base::Rng m_rng;
    bool m_isStopping = false;
    std::map<base::JobId, HeldJob> m_heldJobs;
};

} // namespace hyssop::entry
