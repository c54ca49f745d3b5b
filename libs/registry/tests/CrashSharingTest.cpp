// Plays calls that crash upstreams, and upstreams that crash for other reasons, with several and
// many entry hosts.

#include "CrashPlayer.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::registry;
using base::Millis;

namespace {

/// All hosts know a fact after this.
constexpr Millis kContact{3'000};
/// Crashes after which the arrivals of a part and of a whole request are counted.
constexpr std::size_t kPartCrashes = 5;
constexpr std::size_t kRequestCrashes = 3;
constexpr int kAllowedArrivals = 3;

/// The crash from which the bounds count.
base::TimePoint countedCrash(const CrashOutcome::DeadlyPart &part, std::size_t count = kPartCrashes)
{
    REQUIRE(!part.crashes.empty());
    return part.crashes[std::min(count, part.crashes.size()) - 1];
}

double servedShare(const std::vector<CrashOutcome::Call> &calls)
{
    REQUIRE(calls.size() >= 20);
    const auto served =
            std::count_if(calls.begin(), calls.end(), [](const auto &it) { return it.isServed; });
    return static_cast<double>(served) / static_cast<double>(calls.size());
}

std::ptrdiff_t quarantined(const std::vector<CrashOutcome::Call> &calls)
{
    return std::count_if(calls.begin(), calls.end(),
                         [](const auto &it) { return it.isQuarantined; });
}

CrashOutcome playBounded(const CrashScenario &scenario)
{
    const CrashOutcome outcome = CrashPlayer(scenario).play();
    INFO("hosts " << scenario.hostCount << ", seed " << scenario.seed);
    const std::size_t count = scenario.areWholeRequests ? kRequestCrashes : kPartCrashes;
    // Without a leader no fact reaches the hosts.
    base::TimePoint lastCounted = CrashPlayer::kStart + scenario.leaderLostTo;
    for (std::size_t n = 0; n < outcome.deadlyParts.size(); ++n) {
        const base::TimePoint counted = std::max(countedCrash(outcome.deadlyParts[n], count),
                                                 CrashPlayer::kStart + scenario.leaderLostTo);
        lastCounted = std::max(lastCounted, counted);
        INFO("part " << n << ": " << outcome.deadlyParts[n].crashes.size() << " crashes");
        if (outcome.deadlyParts[n].crashes.size() >= count)
            CHECK(outcome.arrivalsAfter(n, counted + kContact) <= kAllowedArrivals);
    }
    const auto sound = outcome.soundCalls(lastCounted + 2 * kContact);
    CHECK(servedShare(sound) >= 0.5);
    CHECK(quarantined(sound) == 0);
    return outcome;
}

CrashOutcome playWithoutCause(CrashScenario scenario)
{
    CrashOutcome outcome;
    for (const int hosts : {1, 7, 90}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            scenario.hostCount = hosts;
            scenario.seed = seed;
            outcome = CrashPlayer(scenario).play();
            INFO("hosts " << hosts << ", seed " << seed);
            CHECK(quarantined(outcome.calls) == 0);
            CHECK(outcome.suspects == 0);
        }
    }
    return outcome;
}

std::vector<int> firstUpstreams(int count)
{
    std::vector<int> upstreams;
    upstreams.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
        upstreams.push_back(n);
    return upstreams;
}

} // namespace

TEST_CASE(
        "a part that crashes upstreams is held back by all hosts, and the parts beside it are not")
{
    for (const int hosts : {1, 7, 90}) {
        for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) {
            CrashScenario scenario;
            scenario.hostCount = hosts;
            scenario.deadlyPerSecond = {5};
            scenario.seed = seed;
            scenario.keepsIds = seed % 2 == 0;
            playBounded(scenario);
        }
    }
}

TEST_CASE("a part that crashes upstreams is held back at any rate of its calls")
{
    for (const double perSecond : {0.3, 1.0, 15.0}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            CrashScenario scenario;
            scenario.deadlyPerSecond = {perSecond};
            scenario.duration = Millis(perSecond < 1 ? 60'000 : 20'000);
            scenario.seed = seed;
            playBounded(scenario);
        }
    }
}

TEST_CASE("a crashing part in a tenth of the load is held back without the others")
{
    for (const int hosts : {7, 90}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            CrashScenario scenario;
            scenario.hostCount = hosts;
            scenario.upstreamCount = 45;
            scenario.soundPerSecond = 72;
            scenario.deadlyPerSecond = {8};
            scenario.seed = seed;
            playBounded(scenario);
        }
    }
}

TEST_CASE("two parts that crash upstreams at the same time are both held back")
{
    for (const int hosts : {7, 90}) {
        for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) {
            CrashScenario scenario;
            scenario.hostCount = hosts;
            scenario.deadlyPerSecond = {3, 2};
            scenario.seed = seed;
            playBounded(scenario);
        }
    }
}

TEST_CASE("a request that crashes upstreams is held back however its retries spread it")
{
    for (const int hosts : {1, 7, 90}) {
        for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) {
            for (const double perSecond : {0.5, 3.5}) {
                CrashScenario scenario;
                scenario.hostCount = hosts;
                scenario.upstreamCount = 3;
                scenario.soundPerSecond = 6;
                scenario.deadlyPerSecond = {perSecond};
                scenario.areWholeRequests = true;
                scenario.duration = Millis(40'000);
                scenario.seed = seed;
                playBounded(scenario);
            }
        }
    }
}

TEST_CASE("content stays held back when the leader is lost between the crashes")
{
    for (const int hosts : {7, 90}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            for (const int lostAfter : {200, 400, 700}) {
                CrashScenario scenario;
                scenario.hostCount = hosts;
                scenario.deadlyPerSecond = {5};
                scenario.leaderLostFrom = scenario.deadlyFrom + Millis(lostAfter);
                scenario.leaderLostTo = scenario.leaderLostFrom + Millis(1'500);
                scenario.seed = seed;
                playBounded(scenario);
            }
        }
    }
}

TEST_CASE("a host that starts later holds back what crashed upstreams before")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CrashScenario scenario;
        scenario.deadlyPerSecond = {5};
        scenario.lateHostAt = Millis(12'000);
        scenario.seed = seed;
        const CrashOutcome outcome = playBounded(scenario);
        CHECK(outcome.arrivalsAfter(0, CrashPlayer::kStart + *scenario.lateHostAt) == 0);
    }
}

TEST_CASE("a quarantine ends with a trial that is answered, and lasts while trials crash")
{
    CrashScenario scenario;
    scenario.deadlyPerSecond = {5};
    scenario.duration = Millis(100'000);
    const CrashOutcome lasting = CrashPlayer(scenario).play();
    const base::TimePoint boundFrom = countedCrash(lasting.deadlyParts[0]) + kContact;
    CHECK(lasting.arrivalsAfter(0, CrashPlayer::kStart + Millis(30'000)) >= 1);
    CHECK(lasting.arrivalsAfter(0, boundFrom) <= kAllowedArrivals);
    CHECK(lasting.suspects == 1);
    scenario.deadlyTo = Millis(30'000);
    const CrashOutcome ended = CrashPlayer(scenario).play();
    CHECK(ended.suspects == 0);
    CHECK(std::any_of(ended.calls.begin(), ended.calls.end(),
                      [](const auto &it) { return it.deadlyPart && it.isServed; }));
}

TEST_CASE("a service whose upstreams are all killed at once serves all content when it is back")
{
    CrashScenario scenario;
    scenario.kills = {{Millis(3'000), firstUpstreams(14)}, {Millis(9'000), firstUpstreams(14)}};
    playWithoutCause(scenario);
}

TEST_CASE("half of the upstreams killed twice holds no content back")
{
    CrashScenario scenario;
    scenario.kills = {{Millis(3'000), firstUpstreams(7)},
                      {Millis(4'000), {7, 8, 9}},
                      {Millis(9'000), firstUpstreams(7)}};
    playWithoutCause(scenario);
}

TEST_CASE("upstreams that are killed one after the other hold no content back")
{
    CrashScenario scenario;
    for (int n = 0; n < 14; ++n)
        scenario.kills.push_back({Millis(3'000 + 500 * n), {n}});
    playWithoutCause(scenario);
}

TEST_CASE("an upstream that crashes by itself again and again holds no content back")
{
    CrashScenario scenario;
    scenario.duration = Millis(60'000);
    for (int n = 0; n < 5; ++n)
        scenario.kills.push_back({Millis(3'000 + 10'000 * n), {0}});
    playWithoutCause(scenario);
}

TEST_CASE("connections that are reset hold no content back")
{
    CrashScenario scenario;
    scenario.resetShare = 0.5;
    playWithoutCause(scenario);
}

// The part may stand behind any number of others that fit into a header section.
TEST_CASE("a part that crashes upstreams is found among 1,600 that sound calls share")
{
    for (const int hosts : {1, 7, 40}) {
        for (const std::uint64_t seed : {1, 2}) {
            CrashScenario scenario;
            scenario.hostCount = hosts;
            scenario.deadlyPerSecond = {2};
            scenario.sharedPartCount = 1'600;
            scenario.seed = seed;
            const CrashOutcome outcome = playBounded(scenario);
            CHECK(outcome.largestReport <= 4'096);
        }
    }
}

// Reports can't hold all content that was in flight.
TEST_CASE("a part that crashes upstreams is found among hundreds that each call has alone")
{
    for (const int hosts : {1, 3, 12}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            CrashScenario scenario;
            scenario.hostCount = hosts;
            scenario.upstreamCount = 6;
            scenario.soundPerSecond = 40;
            scenario.deadlyPerSecond = {1};
            scenario.ownPartCount = 1'200;
            scenario.seed = seed;
            const CrashOutcome outcome = playBounded(scenario);
            CHECK(outcome.largestReport <= 4'096);
        }
    }
}

// Without a record in the log, five more upstreams would crash after each loss of all processes.
TEST_CASE("a part stays held back when all processes are killed at once")
{
    for (const int hosts : {1, 7}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            CrashScenario scenario;
            scenario.hostCount = hosts;
            scenario.deadlyPerSecond = {5};
            scenario.allKilledAt = Millis(12'000);
            scenario.duration = Millis(30'000);
            scenario.seed = seed;
            playBounded(scenario);
        }
    }
}
