// Plays rate limits that several or many entry hosts share.

#include "RateLimitPlayer.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::registry;
using base::Millis;

namespace {

/// A limit binds this long after it was first stated.
constexpr Millis kContact{3'000};

double allowed(double limit)
{
    return 1.5 * 4 * limit + 5;
}

void checkWindows(const RateLimitScenario &scenario, const RateLimitOutcome &outcome)
{
    for (std::size_t n = 0; n < scenario.limits.size(); ++n) {
        if (!scenario.limits[n] || outcome.arrivals[n].empty())
            continue;
        const base::TimePoint from = outcome.arrivals[n].front() + Millis(50) + kContact;
        INFO("upstream " << n << ", hosts " << scenario.hostCount << ", seed " << scenario.seed);
        CHECK(outcome.fullestWindow(n, from) <= allowed(*scenario.limits[n]));
    }
}

} // namespace

TEST_CASE(
        "few and many entry hosts together stay within the limit of an upstream and make use of it")
{
    for (const int hosts : {1, 7, 90}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            RateLimitScenario scenario;
            scenario.hostCount = hosts;
            scenario.limits = {2.3, std::nullopt, std::nullopt};
            scenario.callsPerSecond = 24;
            scenario.duration = Millis(30'000);
            scenario.seed = seed;
            const RateLimitOutcome outcome = RateLimitPlayer(scenario).play();
            checkWindows(scenario, outcome);
            INFO("hosts " << hosts << ", seed " << seed);
            CHECK(outcome.rejected == 0);
            CHECK(outcome.served == outcome.calls);
            // With many hosts, few of them have a call while they hold a grant. A few requests must
            // get there, so that the hosts learn when the limit ends.
            const double share = hosts <= 7 ? 0.5 : 0.1;
            CHECK(static_cast<double>(outcome.arrivals[0].size()) >= share * 2.3 * 30);
        }
    }
}

TEST_CASE(
        "calls that exceed the limits of all upstreams are rejected early, and the limits are used")
{
    for (const int hosts : {1, 7, 90}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            RateLimitScenario scenario;
            scenario.hostCount = hosts;
            scenario.limits = {1.5, 1.5, 1.5};
            scenario.callsPerSecond = 9;
            scenario.duration = Millis(40'000);
            scenario.seed = seed;
            const RateLimitOutcome outcome = RateLimitPlayer(scenario).play();
            checkWindows(scenario, outcome);
            INFO("hosts " << hosts << ", seed " << seed << ", served " << outcome.served);
            CHECK(outcome.served >= 0.8 * 4.5 * 38);
            CHECK(outcome.rejected > 0);
            CHECK(outcome.served + outcome.rejected == outcome.calls);
            CHECK(outcome.longestQueueTime <= Millis(70));
            CHECK(outcome.shortestRetryAfter > Millis(0));
        }
    }
}

TEST_CASE("limits below one request a second and of none hold for many hosts")
{
    for (const int hosts : {7, 90}) {
        for (const double limit : {0.0, 0.2, 0.7}) {
            RateLimitScenario scenario;
            scenario.hostCount = hosts;
            scenario.limits = {limit, limit, std::nullopt};
            scenario.callsPerSecond = 12;
            scenario.duration = Millis(40'000);
            const RateLimitOutcome outcome = RateLimitPlayer(scenario).play();
            checkWindows(scenario, outcome);
            CHECK(outcome.rejected == 0);
        }
    }
}

TEST_CASE("hosts stay within a limit while no control host divides it and when one does again")
{
    for (const int hosts : {7, 90}) {
        for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
            RateLimitScenario scenario;
            scenario.hostCount = hosts;
            scenario.limits = {2.3, 0.5, 1.5};
            scenario.callsPerSecond = 30;
            scenario.duration = Millis(40'000);
            scenario.leaderLostFrom = Millis(10'000);
            scenario.leaderLostTo = Millis(25'000);
            scenario.seed = seed;
            const RateLimitOutcome outcome = RateLimitPlayer(scenario).play();
            checkWindows(scenario, outcome);
            // Each data centre goes on serving what it can.
            const auto lostFrom = RateLimitPlayer::kStart + Millis(12'000);
            const auto lostTo = RateLimitPlayer::kStart + Millis(25'000);
            std::ptrdiff_t arrived = 0;
            for (const auto &times : outcome.arrivals)
                arrived += std::count_if(times.begin(), times.end(), [&](base::TimePoint it) {
                    return it >= lostFrom && it < lostTo;
                });
            INFO("hosts " << hosts << ", seed " << seed);
            CHECK(arrived > 0);
        }
    }
}

TEST_CASE("hosts that were paused do not spend grants that expired meanwhile")
{
    for (const int hosts : {7, 90}) {
        RateLimitScenario scenario;
        scenario.hostCount = hosts;
        scenario.limits = {2.3, 1.5, 1.5};
        scenario.callsPerSecond = 30;
        scenario.duration = Millis(30'000);
        scenario.pausedFrom = Millis(10'000);
        scenario.pausedTo = Millis(14'000);
        const RateLimitOutcome outcome = RateLimitPlayer(scenario).play();
        checkWindows(scenario, outcome);
    }
}
