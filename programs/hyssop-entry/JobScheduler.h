#pragma once

#include "caller/Caller.h"
#include "ledger/Ledger.h"

#include <map>
#include <variant>

namespace hyssop::entry {

/// A job that waits or runs, as the control hosts list it.
struct OpenJob
{
    base::JobId id;
    ledger::JobState state = ledger::JobState::Waiting;
    ledger::Owner owner;
};

/// A job that this host has taken, as it is to be run.
struct TakenJob
{
    base::JobId id;
    base::TeamId team;
    std::string request;
    int attempts = 0; ///< How often it was taken, this time included.
    base::Millis remaining{0};
    bool mayRepeat = true;
};

// Actions.

struct SendTakeJob
{
    base::JobId id;
};

/// Reads the job that was taken; answered with JobBoard::onFetched().
struct FetchJob
{
    base::JobId id;
};

struct RunJob
{
    base::JobId id;
    base::TimePoint deadline;
};

struct CancelJob
{
    base::JobId id;
};

/// Records the end of the job, or hands it over; sent again until it is recorded.
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
    std::size_t maxRunning = 8;
    std::size_t maxHeld = 64; ///< Running, and resting until they are tried again.
    int maxAttempts = 10; ///< How often a job may be taken.
    int maxFailedRuns = 5; ///< How often one host runs a job that fails.
    std::uint64_t seed = 1;
};

/// Decides which waiting jobs this host takes, when it runs them, and how they end. No I/O.
///
/// A job whose run did not start, for want of an upstream or room, rests and is tried again until
/// its own limit. One whose run failed is tried a bounded number of times. What cannot succeed
/// fails at once. Every job taken is ended or handed over.
class JobScheduler
{
public:
    explicit JobScheduler(JobSchedulerOptions options);

    JobActions onOpenJobs(const std::vector<OpenJob> &jobs);
    /// \a isMine is empty when the command's fate is not known.
    JobActions onTaken(const base::JobId &id, std::optional<bool> isMine);
    /// Empty when the job could not be read.
    JobActions onFetched(const base::JobId &id, const std::optional<TakenJob> &job,
                         base::TimePoint now);
    JobActions onRunCompleted(const base::JobId &id, std::string result);
    JobActions onRunFailed(const base::JobId &id, const caller::ErrorBody &error,
                           base::TimePoint now);
    /// The job's end or handing over is recorded.
    void onFinishRecorded(const base::JobId &id);
    /// Runs what has rested long enough.
    JobActions tick(base::TimePoint now);
    /// Hands over every job; none is taken from here on.
    JobActions stop();

    bool isEmpty() const { return m_heldJobs.empty(); }
    std::size_t runningCount() const;
    std::size_t heldCount() const { return m_heldJobs.size(); }
    std::vector<base::JobId> heldIds() const;
    /// How many more jobs it would take now.
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
