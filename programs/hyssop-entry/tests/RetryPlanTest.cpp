#include "RetryPlan.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

} // namespace

TEST_CASE(
        "a command goes to the nearest control host first, and to the next if nothing was recorded")
{
    RetryPlan plan(false, {0, 1, 2}, kStart + Millis(5'000));
    CHECK(plan.start(kStart)->hostIndex == 0);
    const auto second = plan.onFailure(TryFault::NotSent, kStart);
    REQUIRE(second);
    CHECK(second->hostIndex == 1);
    CHECK(second->delay == Millis(0));
    CHECK(plan.onFailure(TryFault::Refused, kStart)->hostIndex == 2);
    const auto round = plan.onFailure(TryFault::Refused, kStart);
    REQUIRE(round);
    CHECK(round->hostIndex == 0);
    CHECK(round->delay > Millis(0));
}

TEST_CASE("a lost command is sent again only if the ledger recognizes the copy")
{
    RetryPlan once(false, {0, 1}, kStart + Millis(5'000));
    once.start(kStart);
    const auto ended = once.onFailure(TryFault::Lost, kStart);
    REQUIRE_FALSE(ended);
    CHECK(ended.error() == ExecuteFailure::MayBeRecorded);

    RetryPlan again(true, {0, 1}, kStart + Millis(5'000));
    again.start(kStart);
    CHECK(again.onFailure(TryFault::Lost, kStart)->hostIndex == 1);
}

TEST_CASE("without a quorum a command fails at once, as not recorded unless a try was lost")
{
    RetryPlan plan(true, {0, 1, 2}, kStart + Millis(5'000));
    plan.start(kStart);
    const auto ended = plan.onFailure(TryFault::NoQuorum, kStart);
    REQUIRE_FALSE(ended);
    CHECK(ended.error() == ExecuteFailure::NotRecorded);

    RetryPlan lost(true, {0, 1, 2}, kStart + Millis(5'000));
    lost.start(kStart);
    REQUIRE(lost.onFailure(TryFault::Lost, kStart));
    const auto unconfirmed = lost.onFailure(TryFault::NoQuorum, kStart);
    REQUIRE_FALSE(unconfirmed);
    CHECK(unconfirmed.error() == ExecuteFailure::MayBeRecorded);
}

TEST_CASE("after a lost try a refusal does not make the command unrecorded")
{
    RetryPlan plan(true, {0}, kStart + Millis(100));
    plan.start(kStart);
    REQUIRE(plan.onFailure(TryFault::Lost, kStart));
    const auto ended = plan.onFailure(TryFault::Refused, kStart + Millis(100));
    REQUIRE_FALSE(ended);
    CHECK(ended.error() == ExecuteFailure::MayBeRecorded);
}

TEST_CASE("no try starts or ends after the deadline")
{
    RetryPlan plan(true, {0, 1}, kStart + Millis(400));
    base::TimePoint now = kStart;
    auto step = plan.start(now);
    int tries = 0;
    while (step) {
        ++tries;
        REQUIRE(now + step->delay + step->timeout <= kStart + Millis(400));
        now += step->delay + Millis(10);
        step = plan.onFailure(TryFault::Refused, now);
    }
    CHECK(tries > 2);
    CHECK(step.error() == ExecuteFailure::NotRecorded);
    CHECK_FALSE(RetryPlan(true, {}, kStart + Millis(400)).start(kStart));
}

TEST_CASE("a control host that failed is tried last until it responds or some time has passed")
{
    ControlHostOrder order(3);
    order.onFailure(0, kStart);
    CHECK(order.order(kStart) == std::vector<std::size_t>{1, 2, 0});
    order.onAnswer(0);
    CHECK(order.order(kStart) == std::vector<std::size_t>{0, 1, 2});
    order.onFailure(1, kStart);
    CHECK(order.order(kStart + Millis(60'000)) == std::vector<std::size_t>{0, 1, 2});
}

TEST_CASE("a claim without an attempt is never sent twice")
{
    ledger::Claim claim{base::TeamId("t"), "k", "d", {}};
    CHECK_FALSE(ledger::isSafeToResend(claim));
    claim.attemptId = "a1";
    CHECK(ledger::isSafeToResend(claim));
}
