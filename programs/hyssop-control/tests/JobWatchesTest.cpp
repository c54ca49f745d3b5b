#include "JobWatches.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::control;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint kStart{1h};
constexpr base::Millis kMaxWait{4'000};

ledger::Job job(int n, const std::string &host = "")
{
    ledger::Job job;
    job.id = base::JobId("job-x-" + std::to_string(n));
    job.owner.host = base::HostId(host);
    return job;
}

struct Fixture
{
    JobWatches::WatchId add(const std::string &host, std::size_t capacity,
                            std::set<base::JobId> knownJobs = {})
    {
        JobWatch watch;
        watch.owner.host = base::HostId(host);
        watch.capacity = capacity;
        watch.knownJobs = std::move(knownJobs);
        watch.deadline = now + kMaxWait;
        return watches.add(std::move(watch));
    }

    /// Returns the number of jobs for each due watch. If \a hasChanged, first advances the log
    /// position.
    std::map<JobWatches::WatchId, std::size_t> takeDue(bool hasChanged = true)
    {
        if (hasChanged)
            position = {replog::Term(1), replog::Index(position.index.count() + 1)};
        std::map<JobWatches::WatchId, std::size_t> due;
        if (!watches.isDue(position, now))
            return due;
        std::vector<const ledger::Job *> waitingList;
        for (const ledger::Job &it : waiting)
            waitingList.push_back(&it);
        std::vector<const ledger::Job *> runningList;
        for (const ledger::Job &it : running)
            runningList.push_back(&it);
        for (const auto &dueWatch : watches.takeDue(waitingList, runningList, position, now))
            due[dueWatch.id] = dueWatch.jobs.size();
        return due;
    }

    JobWatches watches;
    std::vector<ledger::Job> waiting;
    std::vector<ledger::Job> running;
    replog::Position position;
    base::TimePoint now = kStart;
};

} // namespace

TEST_CASE("a watch without a job is answered empty at its deadline")
{
    Fixture fixture;
    const auto watch = fixture.add("a", 8);
    CHECK(fixture.takeDue().empty());
    fixture.now += kMaxWait - 1ms;
    CHECK_FALSE(fixture.watches.isDue(fixture.position, fixture.now));
    fixture.now += 1ms;
    CHECK(fixture.takeDue(false) == std::map<JobWatches::WatchId, std::size_t>{{watch, 0}});
    CHECK(fixture.watches.size() == 0);
}

TEST_CASE("a job is offered to one watching host at once and to the next when the offer expires")
{
    Fixture fixture;
    const auto first = fixture.add("a", 8);
    const auto second = fixture.add("b", 8);
    fixture.takeDue();
    fixture.waiting = {job(1)};
    CHECK(fixture.takeDue() == std::map<JobWatches::WatchId, std::size_t>{{first, 1}});
    fixture.now += JobWatches::kOfferTimeout - 1ms;
    CHECK(fixture.takeDue(false).empty());
    fixture.now += 1ms;
    CHECK(fixture.takeDue(false) == std::map<JobWatches::WatchId, std::size_t>{{second, 1}});
}

TEST_CASE("jobs are offered round-robin and never beyond a host's capacity")
{
    Fixture fixture;
    const auto a = fixture.add("a", 1);
    const auto b = fixture.add("b", 3);
    fixture.add("full", 0);
    for (int n = 0; n < 9; ++n)
        fixture.waiting.push_back(job(n));
    CHECK(fixture.takeDue() == std::map<JobWatches::WatchId, std::size_t>{{a, 1}, {b, 3}});
    CHECK(fixture.watches.size() == 1);
    // A host whose watch arrives later gets the remaining jobs.
    const auto c = fixture.add("c", 8);
    CHECK(fixture.takeDue(false) == std::map<JobWatches::WatchId, std::size_t>{{c, 5}});
}

TEST_CASE("a host gets unknown jobs that the log assigns to it, even without capacity")
{
    Fixture fixture;
    fixture.running = {job(1, "a"), job(2, "a")};
    const auto watch = fixture.add("a", 0, {job(1).id});
    CHECK(fixture.takeDue() == std::map<JobWatches::WatchId, std::size_t>{{watch, 1}});
    fixture.add("a", 0, {job(1).id, job(2).id});
    CHECK(fixture.takeDue().empty());
}

TEST_CASE("a new watch of a host ends the previous one, which gets no further offers")
{
    Fixture fixture;
    const auto replaced = fixture.add("a", 8);
    fixture.takeDue();
    const auto replacement = fixture.add("a", 8);
    fixture.waiting = {job(1)};
    CHECK(fixture.takeDue()
          == std::map<JobWatches::WatchId, std::size_t>{{replaced, 0}, {replacement, 1}});
}
