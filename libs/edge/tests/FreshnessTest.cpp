#include "Freshness.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using base::Millis;
using edge::Freshness;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

} // namespace

TEST_CASE("keys are refused before the revocation bound is over")
{
    Freshness freshness(Millis(5'000), Millis(2'000));
    CHECK_FALSE(freshness.canAcceptKeys(kStart));
    freshness.confirm(kStart);
    CHECK(freshness.canAcceptKeys(kStart + Millis(4'400)));
    CHECK_FALSE(freshness.canAcceptKeys(kStart + Millis(4'500)));
    CHECK(freshness.isCurrent(kStart + Millis(1'700)));
    CHECK_FALSE(freshness.isCurrent(kStart + Millis(1'800)));
}

TEST_CASE("a delayed older confirmation does not reduce freshness")
{
    Freshness freshness(Millis(5'000), Millis(2'000));
    freshness.confirm(kStart + Millis(1'000));
    freshness.confirm(kStart);
    CHECK(freshness.confirmationAge(kStart + Millis(1'500)) == Millis(500));
}
