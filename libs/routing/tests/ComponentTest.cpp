// Unit tests of the router's components.

#include "PrefillRateEstimator.h"
#include "PrefixIndex.h"
#include "ReportedLoad.h"
#include "RouterFixture.h"
#include "TeamQueue.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace hyssop;
using namespace hyssop::routing;
using namespace std::chrono_literals;

namespace {

QueueItem makeItem(const std::string &team, int number, std::int64_t cost, int weight = 1)
{
    return {base::TeamId(team), base::RequestId(team + std::to_string(number)),
            kStart + std::chrono::seconds(number), cost, weight};
}

} // namespace

TEST_CASE("a flooding team does not delay another team's request by more than one request")
{
    TeamQueue queue;
    for (int n = 0; n < 1'000; ++n)
        queue.push(makeItem("flood", n, 30'000));
    for (int n = 0; n < 50; ++n)
        queue.pop();
    queue.push(makeItem("small", 0, 1'000));
    int before = 0;
    for (; queue.front()->team != base::TeamId("small"); ++before)
        queue.pop();
    CHECK(before <= 1);
}

TEST_CASE("teams are served in proportion to their weights")
{
    TeamQueue queue;
    for (int n = 0; n < 400; ++n) {
        queue.push(makeItem("a", n, 100, 3));
        queue.push(makeItem("b", n, 100, 1));
    }
    int servedOfA = 0;
    for (int n = 0; n < 200; ++n) {
        servedOfA += queue.front()->team == base::TeamId("a") ? 1 : 0;
        queue.pop();
    }
    CHECK(servedOfA >= 148);
    CHECK(servedOfA <= 152);
}

TEST_CASE("TeamQueue serves each item once under random removals")
{
    rc::prop("size and cost match the queued items", [](const std::vector<std::uint8_t> &steps) {
        TeamQueue queue;
        std::map<base::RequestId, QueueItem> expected;
        std::int64_t cost = 0;
        int number = 0;
        for (const std::uint8_t step : steps) {
            if (step % 3 < 2) {
                const QueueItem item = makeItem(std::string(1, static_cast<char>('a' + step % 5)),
                                                ++number, 1 + step);
                queue.push(item);
                expected.emplace(item.request, item);
                cost += item.cost;
                continue;
            }
            if (expected.empty())
                continue;
            const QueueItem item = step % 2 ? *queue.front() : expected.begin()->second;
            if (step % 2)
                queue.pop();
            else
                queue.remove(item.team, item.request, item.deadline);
            RC_ASSERT(expected.erase(item.request) == 1U);
            cost -= item.cost;
        }
        RC_ASSERT(queue.size() == expected.size());
        RC_ASSERT(queue.cost() == cost);
        RC_ASSERT((queue.front() == nullptr) == expected.empty());
    });
}

TEST_CASE("lost cache events never leave an evicted block confirmed")
{
    rc::prop("confirmed blocks are cached", [](const std::vector<std::uint16_t> &steps) {
        PrefixIndex index;
        std::set<std::uint64_t> cache;
        std::uint64_t epoch = 1;
        std::uint64_t sequence = 0;
        for (const std::uint16_t step : steps) {
            CacheChanged event;
            const std::uint64_t block = step / 16 % 8;
            if (step % 16 == 15) {
                // The engine restarts with an empty cache.
                ++epoch;
                sequence = 0;
                cache.clear();
            }
            event.epoch = epoch;
            event.sequence = ++sequence;
            if (cache.erase(block) > 0)
                event.removed = {block};
            else if (cache.insert(block).second)
                event.added = {block};
            const bool isLost = step % 4 == 0;
            if (isLost)
                continue;
            index.apply(event);
            for (std::uint64_t hash = 0; hash < 8; ++hash)
                RC_ASSERT(index.match({hash}).confirmed <= cache.count(hash));
        }
    });
}

TEST_CASE("the prefill rate is the initial rate until there are enough samples, then follows them")
{
    PrefillRateEstimator slower;
    for (int n = 1; n < PrefillRateEstimator::kMinSamples; ++n)
        slower.observe(base::Tokens(10'000), 1'000ms);
    CHECK(slower.rate() == PrefillRateEstimator::kInitialRate);
    slower.observe(base::Tokens(10'000), 1'000ms);
    CHECK(slower.rate() == Approx(10'000));
    for (int n = 0; n < 40; ++n)
        slower.observe(base::Tokens(10'000), 500ms);
    CHECK(slower.rate() == Approx(20'000).epsilon(0.05));
}

TEST_CASE("one sample changes a measured prefill rate by at most a tenth of the difference")
{
    PrefillRateEstimator steady;
    for (int n = 0; n < 40; ++n)
        steady.observe(base::Tokens(10'000), 500ms);
    steady.observe(base::Tokens(10'000), 250ms);
    CHECK(steady.rate() == Approx(22'000));
    // The fixed cost of a call dominates a small sample, so it is ignored.
    steady.observe(base::Tokens(1'000), 500ms);
    CHECK(steady.rate() == Approx(22'000));
}

TEST_CASE("a delayed load report does not count known or finished work as unattributed")
{
    ReportedLoad load;
    load.recordKnown(base::Tokens(50'000), kStart);
    LoadReported report;
    report.age = 200ms;
    report.queuedPromptTokens = base::Tokens(50'000);
    load.update(report, base::Tokens(), kStart + 300ms);
    CHECK(load.unattributed(1'000, kStart + 300ms).count() == 0);
    report.queuedPromptTokens = base::Tokens(80'000);
    load.update(report, base::Tokens(), kStart + 400ms);
    CHECK(load.unattributed(10'000, kStart + 400ms).count() == 28'000);
    CHECK(load.unattributed(10'000, kStart + 5s).count() == 0);
}
