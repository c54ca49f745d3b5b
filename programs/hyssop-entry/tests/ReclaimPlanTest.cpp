#include "ReclaimPlan.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint kStart{1000s};
using Result = ReclaimPlan::Result;

EndedOwner owner(const std::string &host, std::int64_t incarnation)
{
    return {base::HostId(host), base::Incarnation(incarnation)};
}

std::vector<base::HostId> hosts(const std::vector<std::string> &names)
{
    std::vector<base::HostId> ids;
    ids.reserve(names.size());
    for (const std::string &name : names)
        ids.emplace_back(name);
    return ids;
}

std::vector<base::UpstreamId> engines(int n)
{
    std::vector<base::UpstreamId> ids;
    ids.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
        ids.emplace_back("engine-" + std::to_string(i));
    return ids;
}

/// Carries out all steps that are due at \a now, each with the same result.
std::multiset<ReclaimPlan::Step> runDueSteps(ReclaimPlan &plan, int n,
                                             const std::vector<base::HostId> &live, Result result,
                                             base::TimePoint now)
{
    std::multiset<ReclaimPlan::Step> all;
    for (;;) {
        const auto steps = plan.nextSteps(engines(n), live, now);
        if (steps.empty())
            return all;
        CHECK(steps.size() <= ReclaimPlan::kMaxOpenSteps);
        for (const auto &step : steps) {
            all.insert(step);
            plan.onStepDone(step, result, now);
        }
    }
}

} // namespace

TEST_CASE("each engine and the log of a dead host are assigned to exactly one live host")
{
    const auto live = hosts({"a", "b", "c"});
    std::multiset<ReclaimPlan::Step> all;
    for (const base::HostId &host : live) {
        ReclaimPlan plan(host);
        plan.onOwnerEnded(owner("d", 1), false, kStart);
        const auto mine = runDueSteps(plan, 30, live, Result::Empty, kStart);
        CHECK(mine.size() > 3);
        all.insert(mine.begin(), mine.end());
    }
    CHECK(all.size() == 31);
    CHECK(std::set(all.begin(), all.end()).size() == 31);
}

TEST_CASE("unfinished work of a host is assigned to other hosts when it dies too")
{
    ReclaimPlan plan(base::HostId("a"));
    plan.onOwnerEnded(owner("d", 1), false, kStart);
    const auto before = runDueSteps(plan, 30, hosts({"a", "b"}), Result::Empty, kStart);
    const auto after = runDueSteps(plan, 30, hosts({"a"}), Result::Empty, kStart);
    CHECK(before.size() + after.size() == 31);
    CHECK_FALSE(after.empty());
}

TEST_CASE("an engine is done after two empty listings in a row")
{
    ReclaimPlan plan(base::HostId("a"));
    const auto live = hosts({"a"});
    plan.onOwnerEnded(owner("d", 1), false, kStart);
    CHECK(runDueSteps(plan, 1, live, Result::Empty, kStart).size() == 2);
    CHECK(runDueSteps(plan, 1, live, Result::Leftovers, kStart + 5s).size() == 1);
    CHECK(runDueSteps(plan, 1, live, Result::Empty, kStart + 7s).size() == 1);
    CHECK(runDueSteps(plan, 1, live, Result::Empty, kStart + 11s).empty());
    CHECK(runDueSteps(plan, 1, live, Result::Empty, kStart + 12s).size() == 1);
    CHECK(runDueSteps(plan, 1, live, Result::Empty, kStart + 60s).empty());
}

TEST_CASE("a step that fails is retried with backoff until the reclaim period ends, then it is "
          "counted")
{
    ReclaimPlan plan(base::HostId("a"));
    const auto live = hosts({"a"});
    plan.onOwnerEnded(owner("d", 1), false, kStart);
    std::size_t tries = 0;
    for (base::TimePoint now = kStart; now < kStart + ReclaimPlan::kReclaimPeriod; now += 100ms)
        tries += runDueSteps(plan, 1, live, Result::Failed, now).size();
    CHECK(tries > 100);
    CHECK(tries < 140);
    CHECK(runDueSteps(plan, 1, live, Result::Failed, kStart + ReclaimPlan::kReclaimPeriod).empty());
    CHECK(plan.ownerCount() == 0);
    CHECK(plan.givenUpCount() == 1);
}

TEST_CASE("nothing of a host that returns is reclaimed")
{
    ReclaimPlan plan(base::HostId("a"));
    plan.onOwnerEnded(owner("d", 1), false, kStart);
    plan.onOwnerReturned(owner("d", 1));
    CHECK(runDueSteps(plan, 3, hosts({"a"}), Result::Empty, kStart).empty());
}

TEST_CASE("an ended owner covers itself and earlier processes of its host, and nothing else")
{
    CHECK(covers(owner("d", 5), "d/5"));
    CHECK(covers(owner("d", 5), "d/4"));
    CHECK_FALSE(covers(owner("d", 5), "d/6"));
    CHECK_FALSE(covers(owner("d", 5), "dd/5"));
    CHECK_FALSE(covers(owner("d", 5), "d/"));
    CHECK_FALSE(covers(owner("d", 5), "d"));
    CHECK_FALSE(covers(owner("d", 5), "d/5x"));
}
