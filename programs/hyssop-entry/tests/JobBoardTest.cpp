#include "JobBoard.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;
using base::Millis;
using ledger::JobState;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const ledger::Owner kSelf{base::HostId("a"), base::Incarnation(1)};
const base::JobId kJob("job-x-1");

JobBoardOptions options()
{
    JobBoardOptions options;
    options.self = kSelf;
    options.maxRunning = 2;
    return options;
}

TakenJob taken(int attempts = 1, bool mayRepeat = true)
{
    return {kJob, base::TeamId("t"), "{}", attempts, Millis(60'000), mayRepeat};
}

caller::ErrorBody error(const std::string &code, caller::Outcome outcome)
{
    caller::ErrorBody error;
    error.code = code;
    error.outcome = outcome;
    return error;
}

/// Brings one job to run and returns what the board did with it.
JobActions bringToRun(JobBoard &board, const TakenJob &job)
{
    board.onOpenJobs({{kJob, JobState::Waiting, {}}});
    board.onTaken(kJob, true);
    return board.onFetched(kJob, job, kStart);
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

TEST_CASE("a host takes no more jobs than it may run, and others' jobs stay theirs")
{
    JobBoard board(options());
    const ledger::Owner other{base::HostId("b"), base::Incarnation(1)};
    std::vector<OpenJob> jobs{{base::JobId("job-x-r"), JobState::Running, other}};
    for (int n = 0; n < 5; ++n)
        jobs.push_back({base::JobId("job-x-" + std::to_string(n)), JobState::Waiting, {}});
    CHECK(board.onOpenJobs(jobs).size() == 2);
    CHECK(board.onOpenJobs(jobs).empty());
}

TEST_CASE("a job is taken, read, run and ended with its answer")
{
    JobBoard board(options());
    const auto run = bringToRun(board, taken());
    REQUIRE(run.size() == 1);
    CHECK(std::get<RunJob>(run[0]).deadline == kStart + Millis(60'000));
    const auto ended = board.onAnswered(kJob, "text");
    REQUIRE(finished(ended));
    CHECK(finished(ended)->state == JobState::Done);
    CHECK(finished(ended)->result == "text");
    board.onFinished(kJob);
    CHECK(board.isEmpty());
}

TEST_CASE("a run that did not start rests and is tried again until the job's own limit")
{
    JobBoard board(options());
    bringToRun(board, taken());
    base::TimePoint now = kStart;
    int runs = 0;
    JobActions actions;
    while (!finished(actions)) {
        CHECK(board.onFailed(kJob, error("no_upstream", caller::Outcome::NotRun), now).empty());
        do {
            now += Millis(100);
            actions = board.tick(now);
        } while (actions.empty());
        ++runs;
    }
    CHECK(runs > 5);
    CHECK(now >= kStart + Millis(60'000));
    CHECK(finished(actions)->state == JobState::Failed);
    CHECK(finished(actions)->result == "out_of_time");
}

TEST_CASE("failed runs are tried a bounded number of times, hopeless ones once")
{
    JobBoard board(options());
    bringToRun(board, taken());
    base::TimePoint now = kStart;
    JobActions actions =
            board.onFailed(kJob, error("upstream_failed", caller::Outcome::Failed), now);
    int runs = 1;
    while (!finished(actions)) {
        now += Millis(1'000);
        if (board.tick(now).empty())
            continue;
        ++runs;
        actions = board.onFailed(kJob, error("upstream_failed", caller::Outcome::Failed), now);
    }
    CHECK(runs == options().maxTries);
    CHECK(finished(actions)->result == "upstream_failed");

    JobBoard hopeless(options());
    bringToRun(hopeless, taken());
    CHECK(finished(
            hopeless.onFailed(kJob, error("prompt_too_large", caller::Outcome::NotRun), kStart)));
}

TEST_CASE("a job taken too often fails with a reason, and one that may not repeat runs once")
{
    JobBoard board(options());
    const auto often = bringToRun(board, taken(options().maxAttempts + 1));
    REQUIRE(finished(often));
    CHECK(finished(often)->state == JobState::Failed);

    JobBoard once(options());
    const auto again = bringToRun(once, taken(2, false));
    REQUIRE(finished(again));
    CHECK(finished(again)->state == JobState::Failed);
}

TEST_CASE("a stop hands over what runs and rests, and takes nothing more")
{
    JobBoard board(options());
    bringToRun(board, taken());
    const auto stopped = board.stop();
    REQUIRE(stopped.size() == 2);
    CHECK(std::get<CancelJob>(stopped[0]).id == kJob);
    CHECK(finished(stopped)->state == JobState::Waiting);
    CHECK(board.onAnswered(kJob, "late").empty());
    board.onFinished(kJob);
    CHECK(board.isEmpty());
    CHECK(board.onOpenJobs({{base::JobId("job-x-2"), JobState::Waiting, {}}}).empty());
}

TEST_CASE("a job is handed back when it is not known to be taken, or was taken late")
{
    JobBoard board(options());
    board.onOpenJobs({{kJob, JobState::Waiting, {}}});
    const auto unsure = board.onTaken(kJob, std::nullopt);
    REQUIRE(finished(unsure));
    CHECK(finished(unsure)->state == JobState::Waiting);
    board.onFinished(kJob);

    const auto late = board.onOpenJobs({{kJob, JobState::Running, kSelf}});
    REQUIRE(finished(late));
    CHECK(finished(late)->state == JobState::Waiting);
}
