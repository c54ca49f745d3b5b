#include "WatchPlan.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;
using namespace std::chrono_literals;
using Result = WatchPlan::Result;

namespace {

constexpr base::TimePoint kStart{1h};
constexpr base::Millis kOverdue = WatchPlan::kWait + WatchPlan::kOverdueAfter;

} // namespace

TEST_CASE("one control host is asked at a time, again at once after it has answered")
{
    WatchPlan plan(3, kStart);
    const auto first = plan.step(kStart);
    REQUIRE(first);
    CHECK(first->control == 0);
    CHECK_FALSE(plan.step(kStart));
    CHECK(plan.nextTime() == kStart + kOverdue);
    plan.answered(first->question, Result::Confirmed, kStart + 1s);
    CHECK(plan.isConfirmed());
    CHECK(plan.step(kStart + 1s)->control == 0);
}

TEST_CASE("a control host that does not answer is not waited for, nor asked before it has ended")
{
    WatchPlan plan(3, kStart);
    const auto frozen = plan.step(kStart);
    CHECK_FALSE(plan.step(kStart + kOverdue - 1ms));
    auto now = kStart + kOverdue;
    const auto second = plan.step(now);
    REQUIRE(second);
    CHECK(second->control == 1);
    CHECK_FALSE(plan.isConfirmed());
    CHECK(plan.reason() == "overdue");
    plan.answered(second->question, Result::Confirmed, now);
    const auto third = plan.step(now);
    CHECK(third->control == 1);
    // The end of the first question changes nothing.
    plan.answered(frozen->question, Result::Failed, now + 1s);
    CHECK(plan.isConfirmed());
    CHECK_FALSE(plan.step(now + 1s));
}

TEST_CASE("with every control host frozen each is asked once, and again when its question ended")
{
    WatchPlan plan(2, kStart);
    const auto first = plan.step(kStart);
    const auto second = plan.step(kStart + kOverdue);
    CHECK(second->control == 1);
    CHECK_FALSE(plan.step(kStart + 2 * kOverdue));
    CHECK(plan.nextTime() == base::TimePoint::max());
    plan.answered(first->question, Result::Failed, kStart + 2 * kOverdue);
    CHECK(plan.step(kStart + 2 * kOverdue)->control == 0);
}

TEST_CASE("a host that cannot confirm or fails makes way for the next after a short while")
{
    const Result result = GENERATE(Result::Unconfirmed, Result::Failed);
    WatchPlan plan(2, kStart);
    plan.answered(plan.step(kStart)->question, result, kStart);
    CHECK(plan.reason() == WatchPlan::resultName(result));
    CHECK_FALSE(plan.step(kStart));
    CHECK(plan.nextTime() == kStart + WatchPlan::kRetryDelay);
    CHECK(plan.step(kStart + WatchPlan::kRetryDelay)->control == 1);
}

TEST_CASE("records are stale when they were not confirmed for half of what a change may take")
{
    WatchPlan plan(1, kStart);
    plan.answered(plan.step(kStart)->question, Result::Confirmed, kStart + 1s);
    const auto limit = kStart + 1s + WatchPlan::kStaleAfter;
    CHECK_FALSE(plan.isStale(limit));
    CHECK(plan.isStale(limit + 1ms));
    CHECK(plan.age(limit) == WatchPlan::kStaleAfter);
    // A held answer, and a second host asked in its stead, are no reason yet.
    CHECK(WatchPlan::kStaleAfter > 2 * WatchPlan::kWait + WatchPlan::kOverdueAfter);
}

TEST_CASE("a change reaches a host within its bound although the control host it asks is frozen")
{
    constexpr base::Millis kInForce{18'000};
    CHECK(kOverdue + WatchPlan::kRetryDelay + kOverdue < kInForce);
}

TEST_CASE("without control hosts nothing is asked")
{
    WatchPlan plan(0, kStart);
    CHECK_FALSE(plan.step(kStart));
}
