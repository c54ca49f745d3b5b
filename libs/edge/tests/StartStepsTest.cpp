#include "StartSteps.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::edge;

// Replies arrive all the time; a line for each would hide the time of the first.
TEST_CASE("each step of a start is logged once")
{
    constexpr base::TimePoint kStart{std::chrono::hours(1)};
    StartSteps steps(kStart);
    CHECK_FALSE(steps.wasReached(StartStep::Ready));
    CHECK(steps.reach(StartStep::Ready, kStart + base::Millis(300)));
    CHECK_FALSE(steps.reach(StartStep::Ready, kStart + base::Millis(900)));
    CHECK(steps.wasReached(StartStep::Ready));
    CHECK_FALSE(steps.wasReached(StartStep::FirstResponse));
}
