#include "JobScheduler.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;
using base::Millis;
using ledger::JobState;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const ledger::Owner kSelf{base::HostId("a"), base::Incarnation(1)};
const base::JobId kJob("job-x-1");

JobSchedulerOptions options()
{
    JobSchedulerOptions options;
    options.self = kSelf;
    options.maxRunning = 2;
    return options;
}

TakenJob taken(int attempts = 1, bool isRetrySafe = true)
{
    return {kJob, base::TeamId("t"), "{}", attempts, Millis(60'000), isRetrySafe};
}

caller::ErrorBody error(const std::string &code, caller::Outcome outcome)
{
    caller::ErrorBody error;
    error.code = code;
    error.outcome = outcome;
    return error;
}

/// Takes and fetches the job; returns the actions after the fetch.
JobActions takeAndFetch(JobScheduler &scheduler, const TakenJob &job)
{
    scheduler.onOpenJobs({{kJob, JobState::Waiting, {}}});
    scheduler.onTaken(kJob, true);
    return scheduler.onFetched(kJob, job, kStart);
}

const SendFinishJob *finished(const JobActions &actions)
{
    for (const JobAction &action : actions) {
        if (const auto *it = std::get_if<SendFinishJob>(&action))
            return it;
    }
    return nullptr;
}

} // namespace

TEST_CASE("a host takes no more jobs than it may run, and no jobs of other hosts")
{
    JobScheduler scheduler(options());
    const ledger::Owner other{base::HostId("b"), base::Incarnation(1)};
    std::vector<OpenJob> jobs{{base::JobId("job-x-r"), JobState::Running, other}};
    for (int n = 0; n < 5; ++n)
        jobs.push_back({base::JobId("job-x-" + std::to_string(n)), JobState::Waiting, {}});
    CHECK(scheduler.onOpenJobs(jobs).size() == 2);
    CHECK(scheduler.onOpenJobs(jobs).empty());
}

TEST_CASE("a job is taken, fetched, run and finished with its result")
{
    JobScheduler scheduler(options());
    const auto run = takeAndFetch(scheduler, taken());
    REQUIRE(run.size() == 1);
    CHECK(std::get<RunJob>(run[0]).deadline == kStart + Millis(60'000));
    const auto ended = scheduler.onRunCompleted(kJob, "text");
    REQUIRE(finished(ended));
    CHECK(finished(ended)->state == JobState::Done);
    CHECK(finished(ended)->result == "text");
    scheduler.onFinishRecorded(kJob);
    CHECK(scheduler.isEmpty());
}

TEST_CASE("a run that did not start backs off and is retried until the deadline of the job")
{
    JobScheduler scheduler(options());
    takeAndFetch(scheduler, taken());
    base::TimePoint now = kStart;
    int runs = 0;
    JobActions actions;
    while (!finished(actions)) {
        CHECK(scheduler.onRunFailed(kJob, error("no_upstream", caller::Outcome::NotRun), now)
                      .empty());
        do {
            now += Millis(100);
            actions = scheduler.tick(now);
        } while (actions.empty());
        ++runs;
    }
    CHECK(runs > 5);
    CHECK(now >= kStart + Millis(60'000));
    CHECK(finished(actions)->state == JobState::Failed);
    CHECK(finished(actions)->result == "out_of_time");
}

TEST_CASE("failed runs are retried a limited number of times, permanent errors are not")
{
    JobScheduler scheduler(options());
    takeAndFetch(scheduler, taken());
    base::TimePoint now = kStart;
    JobActions actions =
            scheduler.onRunFailed(kJob, error("upstream_failed", caller::Outcome::Failed), now);
    int runs = 1;
    while (!finished(actions)) {
        now += Millis(1'000);
        if (scheduler.tick(now).empty())
            continue;
        ++runs;
        actions =
                scheduler.onRunFailed(kJob, error("upstream_failed", caller::Outcome::Failed), now);
    }
    CHECK(runs == options().maxFailedRuns);
    CHECK(finished(actions)->result == "upstream_failed");

    JobScheduler permanent(options());
    takeAndFetch(permanent, taken());
    CHECK(finished(permanent.onRunFailed(kJob, error("prompt_too_large", caller::Outcome::NotRun),
                                         kStart)));
}

TEST_CASE("a job taken too often fails with a reason, and a non-repeatable job runs once")
{
    JobScheduler scheduler(options());
    const auto often = takeAndFetch(scheduler, taken(options().maxAttempts + 1));
    REQUIRE(finished(often));
    CHECK(finished(often)->state == JobState::Failed);

    JobScheduler once(options());
    const auto again = takeAndFetch(once, taken(2, false));
    REQUIRE(finished(again));
    CHECK(finished(again)->state == JobState::Failed);
}

TEST_CASE("a stop returns the jobs held to the queue and takes no more")
{
    JobScheduler scheduler(options());
    takeAndFetch(scheduler, taken());
    const auto stopped = scheduler.stop();
    REQUIRE(stopped.size() == 2);
    CHECK(std::get<CancelJob>(stopped[0]).id == kJob);
    CHECK(finished(stopped)->state == JobState::Waiting);
    CHECK(scheduler.onRunCompleted(kJob, "late").empty());
    scheduler.onFinishRecorded(kJob);
    CHECK(scheduler.isEmpty());
    CHECK(scheduler.onOpenJobs({{base::JobId("job-x-2"), JobState::Waiting, {}}}).empty());
}

TEST_CASE("a job is returned when it is unknown whether it was taken, or when it was taken late")
{
    JobScheduler scheduler(options());
    scheduler.onOpenJobs({{kJob, JobState::Waiting, {}}});
    const auto unconfirmed = scheduler.onTaken(kJob, std::nullopt);
    REQUIRE(finished(unconfirmed));
    CHECK(finished(unconfirmed)->state == JobState::Waiting);
    scheduler.onFinishRecorded(kJob);

    const auto late = scheduler.onOpenJobs({{kJob, JobState::Running, kSelf}});
    REQUIRE(finished(late));
    CHECK(finished(late)->state == JobState::Waiting);
}
