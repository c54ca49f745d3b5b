#include "group/Group.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::group;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr std::int64_t kWall = 1'700'000'000'000;

} // namespace

TEST_CASE("log time starts from the wall clock and does not use it once an entry is applied")
{
    LogClock clock;
    CHECK(clock.read(kStart, kWall) == kWall);
    clock.onApplied(5'000, kStart);
    CHECK(clock.read(kStart, kWall) == 5'000);
    CHECK(clock.read(kStart + Millis(70), 0) == 5'070);
}

TEST_CASE("log time advances from the last timestamp and never goes back")
{
    LogClock clock;
    clock.onApplied(5'000, kStart);
    clock.onApplied(4'000, kStart + Millis(10));
    CHECK(clock.read(kStart + Millis(20), kWall) == 5'020);
    // A timestamp ahead of the local log time is adopted.
    clock.onApplied(9'000, kStart + Millis(30));
    CHECK(clock.read(kStart + Millis(31), kWall) == 9'001);
}
