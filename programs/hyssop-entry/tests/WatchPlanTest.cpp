#include "WatchPlan.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;
using namespace std::chrono_literals;
using Result = WatchPlan::Result;

namespace {

constexpr base::TimePoint kStart{1h};
constexpr base::Millis kOverdue = WatchPlan::kHoldTime + WatchPlan::kOverdueMargin;

} // namespace

TEST_CASE("one control host is polled at a time, and again at once after its reply")
{
    WatchPlan plan(3, kStart);
    const auto first = plan.step(kStart);
    REQUIRE(first);
    CHECK(first->hostIndex == 0);
    CHECK_FALSE(plan.step(kStart));
    CHECK(plan.nextStepTime() == kStart + kOverdue);
    plan.onResult(first->id, Result::Confirmed, kStart + 1s);
    CHECK(plan.isConfirmed());
    CHECK(plan.step(kStart + 1s)->hostIndex == 0);
}

TEST_CASE("another control host is polled when a reply is overdue, and the first not before its "
          "poll ends")
{
    WatchPlan plan(3, kStart);
    const auto unanswered = plan.step(kStart);
    CHECK_FALSE(plan.step(kStart + kOverdue - 1ms));
    auto now = kStart + kOverdue;
    const auto second = plan.step(now);
    REQUIRE(second);
    CHECK(second->hostIndex == 1);
    CHECK_FALSE(plan.isConfirmed());
    CHECK(plan.reason() == "overdue");
    plan.onResult(second->id, Result::Confirmed, now);
    const auto third = plan.step(now);
    CHECK(third->hostIndex == 1);
    // The end of the first poll changes nothing.
    plan.onResult(unanswered->id, Result::Failed, now + 1s);
    CHECK(plan.isConfirmed());
    CHECK_FALSE(plan.step(now + 1s));
}

TEST_CASE("with all control hosts unresponsive each is polled once, and again when its poll ended")
{
    WatchPlan plan(2, kStart);
    const auto first = plan.step(kStart);
    const auto second = plan.step(kStart + kOverdue);
    CHECK(second->hostIndex == 1);
    CHECK_FALSE(plan.step(kStart + 2 * kOverdue));
    CHECK(plan.nextStepTime() == base::TimePoint::max());
    plan.onResult(first->id, Result::Failed, kStart + 2 * kOverdue);
    CHECK(plan.step(kStart + 2 * kOverdue)->hostIndex == 0);
}

TEST_CASE("after an unconfirmed or failed poll the next host is polled after a short delay")
{
    const Result result = GENERATE(Result::Unconfirmed, Result::Failed);
    WatchPlan plan(2, kStart);
    plan.onResult(plan.step(kStart)->id, result, kStart);
    CHECK(plan.reason() == WatchPlan::resultName(result));
    CHECK_FALSE(plan.step(kStart));
    CHECK(plan.nextStepTime() == kStart + WatchPlan::kRetryDelay);
    CHECK(plan.step(kStart + WatchPlan::kRetryDelay)->hostIndex == 1);
}

TEST_CASE("records are stale when not confirmed for half of the time in which a change must arrive")
{
    WatchPlan plan(1, kStart);
    plan.onResult(plan.step(kStart)->id, Result::Confirmed, kStart + 1s);
    const auto limit = kStart + 1s + WatchPlan::kStaleAfter;
    CHECK_FALSE(plan.isStale(limit));
    CHECK(plan.isStale(limit + 1ms));
    CHECK(plan.age(limit) == WatchPlan::kStaleAfter);
    // A held reply and a poll of a second host alone do not make records stale.
    CHECK(WatchPlan::kStaleAfter > 2 * WatchPlan::kHoldTime + WatchPlan::kOverdueMargin);
}

TEST_CASE("a change reaches a host in time although the control host that it polls is unresponsive")
{
    constexpr base::Millis kChangeBound{18'000};
    CHECK(kOverdue + WatchPlan::kRetryDelay + kOverdue < kChangeBound);
}

TEST_CASE("without control hosts nothing is polled")
{
    WatchPlan plan(0, kStart);
    CHECK_FALSE(plan.step(kStart));
}
