#include "ExecutePlan.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

} // namespace

TEST_CASE("a command goes to the nearest control host and to the next when nothing was recorded")
{
    ExecutePlan plan(false, {0, 1, 2}, kStart + Millis(5'000));
    CHECK(plan.first(kStart)->control == 0);
    const auto second = plan.failed(TryFault::NotSent, kStart);
    REQUIRE(second);
    CHECK(second->control == 1);
    CHECK(second->delay == Millis(0));
    CHECK(plan.failed(TryFault::Refused, kStart)->control == 2);
    const auto round = plan.failed(TryFault::Refused, kStart);
    REQUIRE(round);
    CHECK(round->control == 0);
    CHECK(round->delay > Millis(0));
}

TEST_CASE("a lost command is sent again only if the ledger takes it for the same one")
{
    ExecutePlan once(false, {0, 1}, kStart + Millis(5'000));
    once.first(kStart);
    const auto ended = once.failed(TryFault::Lost, kStart);
    REQUIRE_FALSE(ended);
    CHECK(ended.error() == ExecuteFailure::MayBeRecorded);

    ExecutePlan again(true, {0, 1}, kStart + Millis(5'000));
    again.first(kStart);
    CHECK(again.failed(TryFault::Lost, kStart)->control == 1);
}

TEST_CASE(
        "a group without a quorum ends the command at once, as not recorded unless a try was lost")
{
    ExecutePlan plan(true, {0, 1, 2}, kStart + Millis(5'000));
    plan.first(kStart);
    const auto ended = plan.failed(TryFault::NoQuorum, kStart);
    REQUIRE_FALSE(ended);
    CHECK(ended.error() == ExecuteFailure::NotRecorded);

    ExecutePlan lost(true, {0, 1, 2}, kStart + Millis(5'000));
    lost.first(kStart);
    REQUIRE(lost.failed(TryFault::Lost, kStart));
    const auto unsure = lost.failed(TryFault::NoQuorum, kStart);
    REQUIRE_FALSE(unsure);
    CHECK(unsure.error() == ExecuteFailure::MayBeRecorded);
}

TEST_CASE("refusals after a lost try do not make it unrecorded")
{
    ExecutePlan plan(true, {0}, kStart + Millis(100));
    plan.first(kStart);
    REQUIRE(plan.failed(TryFault::Lost, kStart));
    const auto ended = plan.failed(TryFault::Refused, kStart + Millis(100));
    REQUIRE_FALSE(ended);
    CHECK(ended.error() == ExecuteFailure::MayBeRecorded);
}

TEST_CASE("tries end with the limit, and none outlasts it")
{
    ExecutePlan plan(true, {0, 1}, kStart + Millis(400));
    base::TimePoint now = kStart;
    auto step = plan.first(now);
    int tries = 0;
    while (step) {
        ++tries;
        REQUIRE(now + step->delay + step->timeout <= kStart + Millis(400));
        now += step->delay + Millis(10);
        step = plan.failed(TryFault::Refused, now);
    }
    CHECK(tries > 2);
    CHECK(step.error() == ExecuteFailure::NotRecorded);
    CHECK_FALSE(ExecutePlan(true, {}, kStart + Millis(400)).first(kStart));
}

TEST_CASE("a control host that failed is asked last until it answers or time has passed")
{
    ControlOrder order(3);
    order.failed(0, kStart);
    CHECK(order.order(kStart) == std::vector<std::size_t>{1, 2, 0});
    order.answered(0);
    CHECK(order.order(kStart) == std::vector<std::size_t>{0, 1, 2});
    order.failed(1, kStart);
    CHECK(order.order(kStart + Millis(60'000)) == std::vector<std::size_t>{0, 1, 2});
}

TEST_CASE("a claim without an attempt's name is never sent twice")
{
    ledger::Claim claim{base::TeamId("t"), "k", "d", {}};
    CHECK_FALSE(ledger::mayResend(claim));
    claim.attempt = "a1";
    CHECK(ledger::mayResend(claim));
}
