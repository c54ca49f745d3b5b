#include "LinkPlay.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::dispatch;
using base::Millis;

namespace {

/// Calls at hosts that were cut off, from which a share is taken.
constexpr int kMinCalls = 40;
constexpr std::uint64_t kMaxSeeds = 40;
/// The same while upstreams are slow, which few calls meet.
constexpr int kMinSlowCalls = 200;
constexpr std::uint64_t kMaxSlowSeeds = 400;

void add(CallCount &sum, const CallCount &count)
{
    sum.sent += count.sent;
    sum.served += count.served;
}

/// Plays a plan with one seed after the other until there are enough calls.
LinkOutcome play(LinkPlan plan)
{
    LinkOutcome sum;
    for (plan.seed = 1; plan.seed <= kMaxSeeds && sum.cutLater.sent < kMinCalls; ++plan.seed) {
        const LinkOutcome outcome = LinkPlay(plan).run();
        add(sum.cutAtFirst, outcome.cutAtFirst);
        add(sum.cutLater, outcome.cutLater);
        add(sum.afterwards, outcome.afterwards);
        add(sum.others, outcome.others);
        add(sum.slow, outcome.slow);
        sum.repeatedBookings += outcome.repeatedBookings;
        sum.falselyRefused += outcome.falselyRefused;
        sum.probes += outcome.probes;
        sum.failedUnaware += outcome.failedUnaware;
        sum.declinedRelays += outcome.declinedRelays;
        sum.deniedRetries += outcome.deniedRetries;
    }
    return sum;
}

const char *nameOf(LinkLoss loss)
{
    switch (loss) {
    case LinkLoss::Silent:
        return "silent";
    case LinkLoss::Hanging:
        return "hanging";
    case LinkLoss::Reset:
        return "reset";
    case LinkLoss::Refused:
        return "refused";
    }
    return "";
}

void check(LinkPlan plan)
{
    for (const LinkLoss loss :
         {LinkLoss::Silent, LinkLoss::Hanging, LinkLoss::Reset, LinkLoss::Refused}) {
        plan.loss = loss;
        const LinkOutcome outcome = play(plan);
        CAPTURE(plan.hosts, plan.cutShare, nameOf(loss), plan.rates.streams, plan.rates.lookups,
                plan.rates.bookings, outcome.cutAtFirst.share(), outcome.cutLater.sent,
                outcome.cutLater.served, outcome.failedUnaware, outcome.declinedRelays,
                outcome.deniedRetries);
        REQUIRE(outcome.cutLater.sent >= kMinCalls / 2);
        // The users' bound, of first attempts from a while after the cut on.
        CHECK(outcome.cutLater.share() >= outcome.others.share() * 2 / 3);
        CHECK(outcome.others.share() >= 0.99);
        CHECK(outcome.afterwards.share() >= 0.99);
        CHECK(outcome.repeatedBookings == 0);
        CHECK(outcome.falselyRefused == 0);
    }
}

void checkShares(std::size_t hosts, const CallRates &rates)
{
    for (const double share : {0.34, 0.8})
        check({hosts, share, false, LinkLoss::Silent, rates, 1});
}

void checkSizes(const CallRates &rates)
{
    for (const std::size_t hosts : {7, 30, 77})
        checkShares(hosts, rates);
}

/// Plays upstreams that are slow or silent for all hosts, which is no loss of links.
void checkSlowUpstreams(LinkPlan plan)
{
    LinkOutcome sum;
    for (; plan.seed <= kMaxSlowSeeds && sum.slow.sent < kMinSlowCalls; ++plan.seed) {
        const LinkOutcome outcome = LinkPlay(plan).run();
        add(sum.slow, outcome.slow);
        add(sum.others, outcome.others);
        sum.repeatedBookings += outcome.repeatedBookings;
        sum.falselyRefused += outcome.falselyRefused;
    }
    CAPTURE(plan.hosts, plan.rates.streams, plan.rates.lookups, plan.rates.bookings,
            plan.pause.count(), plan.delay.count(), sum.slow.sent, sum.slow.served);
    REQUIRE(sum.slow.sent >= kMinSlowCalls / 2);
    CHECK(sum.slow.share() >= 0.99);
    CHECK(sum.others.share() >= 0.99);
    CHECK(sum.repeatedBookings == 0);
    CHECK(sum.falselyRefused == 0);
}

const CallRates kMixedRates{1.03, 0.06, 0.07};

} // namespace

TEST_CASE("hosts with few streams that lose their links serve as many of them as others",
          "[.][link-loss]")
{
    checkSizes({0.33, 0, 0});
    checkSizes({0.1, 0, 0});
}

TEST_CASE("hosts with a stream a second that lose their links serve as many of them as others",
          "[.][link-loss]")
{
    checkSizes({1.03, 0, 0});
}

TEST_CASE("hosts with few repeatable calls that lose their links serve as many as others",
          "[.][link-loss]")
{
    checkSizes({0, 0.13, 0});
    checkSizes({0, 1.15, 0});
}

TEST_CASE("hosts with few calls that must run once that lose their links serve as many as others",
          "[.][link-loss]")
{
    checkSizes({0, 0, 0.13});
    checkSizes({0, 0, 1.15});
}

TEST_CASE("hosts with streams and few plain calls that lose their links serve as many as others",
          "[.][link-loss]")
{
    checkSizes(kMixedRates);
    checkShares(300, kMixedRates);
}

TEST_CASE("hosts with many calls that lose their links serve as many as others")
{
    check({7, 0.4, false, LinkLoss::Silent, {10, 5, 5}, 1});
}

TEST_CASE("one host of many that loses its links serves as many calls as others")
{
    for (const std::size_t hosts : {7, 77})
        check({hosts, 0.01, false, LinkLoss::Silent, kMixedRates, 1});
}

TEST_CASE("a data centre whose hosts all lose their links is served by others")
{
    for (const std::size_t hosts : {7, 30, 77, 300})
        check({hosts, 0, true, LinkLoss::Silent, kMixedRates, 1});
}

TEST_CASE("calls that come while all upstreams are silent for up to a second are served after it")
{
    for (const std::size_t hosts : {7, 77}) {
        for (const CallRates &rates : {CallRates{0, 0, 0.13}, CallRates{0, 0, 1.15},
                                       CallRates{0, 0.13, 0}, CallRates{1.03, 0, 0}, kMixedRates}) {
            for (const Millis pause : {Millis(500), Millis(1'000)})
                checkSlowUpstreams({hosts, 0, false, LinkLoss::Silent, rates, 1, pause});
        }
    }
}

TEST_CASE("calls that must run once are served where all upstreams take longer than a probe may",
          "[.][slow-upstreams]")
{
    for (const std::size_t hosts : {7, 77}) {
        for (const CallRates &rates : {CallRates{0, 0, 0.13}, CallRates{0, 0, 1.15}})
            checkSlowUpstreams(
                    {hosts, 0, false, LinkLoss::Silent, rates, 1, Millis(0), Millis(700)});
    }
}

TEST_CASE("calls that must run once are served where all upstreams of hundreds of hosts are slow",
          "[.][slow-upstreams]")
{
    checkSlowUpstreams({300, 0, false, LinkLoss::Silent, {0, 0, 0.13}, 1, Millis(0), Millis(700)});
}

// Takes minutes.
TEST_CASE("hundreds of hosts with few calls of one kind that lose their links serve as many as "
          "others",
          "[.long]")
{
    for (const CallRates &rates :
         {CallRates{0.1, 0, 0}, CallRates{0.33, 0, 0}, CallRates{1.03, 0, 0}, CallRates{0, 0.13, 0},
          CallRates{0, 1.15, 0}, CallRates{0, 0, 0.13}, CallRates{0, 0, 1.15}})
        checkShares(300, rates);
}
