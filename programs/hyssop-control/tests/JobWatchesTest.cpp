#include "JobWatches.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::control;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint kStart{1h};
constexpr base::Millis kWait{4'000};

ledger::Job job(int n, const std::string &host = "")
{
    ledger::Job job;
    job.id = base::JobId("job-x-" + std::to_string(n));
    job.owner.host = base::HostId(host);
    return job;
}

struct Rig
{
    JobWatches::WatchId add(const std::string &host, std::size_t room,
                            std::set<base::JobId> held = {})
    {
        JobWatch watch;
        watch.owner.host = base::HostId(host);
        watch.room = room;
        watch.held = std::move(held);
        watch.until = now + kWait;
        return watches.add(std::move(watch));
    }

    /// What is told; a log entry has been applied first if \a hasChanged.
    std::map<JobWatches::WatchId, std::size_t> pump(bool hasChanged = true)
    {
        if (hasChanged)
            position = {replog::Term(1), replog::Index(position.index.count() + 1)};
        std::map<JobWatches::WatchId, std::size_t> told;
        if (!watches.isDue(position, now))
            return told;
        std::vector<const ledger::Job *> open;
        for (const ledger::Job &it : waiting)
            open.push_back(&it);
        std::vector<const ledger::Job *> owned;
        for (const ledger::Job &it : running)
            owned.push_back(&it);
        for (const auto &one : watches.pump(open, owned, position, now))
            told[one.watch] = one.jobs.size();
        return told;
    }

    JobWatches watches;
    std::vector<ledger::Job> waiting;
    std::vector<ledger::Job> running;
    replog::Position position;
    base::TimePoint now = kStart;
};

} // namespace

TEST_CASE("a watch is held while there is no job and answered with nothing at its time")
{
    Rig rig;
    const auto watch = rig.add("a", 8);
    CHECK(rig.pump().empty());
    rig.now += kWait - 1ms;
    CHECK_FALSE(rig.watches.isDue(rig.position, rig.now));
    rig.now += 1ms;
    CHECK(rig.pump(false) == std::map<JobWatches::WatchId, std::size_t>{{watch, 0}});
    CHECK(rig.watches.size() == 0);
}

TEST_CASE("one of many watching hosts is told of a job at once, the next one when it is not taken")
{
    Rig rig;
    const auto first = rig.add("a", 8);
    const auto second = rig.add("b", 8);
    rig.pump();
    rig.waiting = {job(1)};
    CHECK(rig.pump() == std::map<JobWatches::WatchId, std::size_t>{{first, 1}});
    rig.now += JobWatches::kOfferTime - 1ms;
    CHECK(rig.pump(false).empty());
    rig.now += 1ms;
    CHECK(rig.pump(false) == std::map<JobWatches::WatchId, std::size_t>{{second, 1}});
}

TEST_CASE("many jobs go round the hosts, to none more than it has room for")
{
    Rig rig;
    const auto a = rig.add("a", 1);
    const auto b = rig.add("b", 3);
    rig.add("full", 0);
    for (int n = 0; n < 9; ++n)
        rig.waiting.push_back(job(n));
    CHECK(rig.pump() == std::map<JobWatches::WatchId, std::size_t>{{a, 1}, {b, 3}});
    CHECK(rig.watches.size() == 1);
    // A host that comes later gets what is left.
    const auto c = rig.add("c", 8);
    CHECK(rig.pump(false) == std::map<JobWatches::WatchId, std::size_t>{{c, 5}});
}

TEST_CASE("a host is told of jobs that it runs by the log and does not hold, also without room")
{
    Rig rig;
    rig.running = {job(1, "a"), job(2, "a")};
    const auto watch = rig.add("a", 0, {job(1).id});
    CHECK(rig.pump() == std::map<JobWatches::WatchId, std::size_t>{{watch, 1}});
    rig.add("a", 0, {job(1).id, job(2).id});
    CHECK(rig.pump().empty());
}

TEST_CASE("a new watch of a host ends the old one, which is offered nothing more")
{
    Rig rig;
    const auto old = rig.add("a", 8);
    rig.pump();
    const auto fresh = rig.add("a", 8);
    rig.waiting = {job(1)};
    CHECK(rig.pump() == std::map<JobWatches::WatchId, std::size_t>{{old, 0}, {fresh, 1}});
}
