#include "SizeFairness.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::registry;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

class Fixture
{
public:
    fleet::PermitRequest request(std::int64_t prefillMs, const std::string &route = "route")
    {
        fleet::PermitRequest request;
        request.key = {base::HostId("e"), 1, ++lastCall};
        request.service = base::ServiceId("s");
        request.route = route;
        request.prefillMs = prefillMs;
        return request;
    }

    void add(std::int64_t prefillMs, bool isServed, base::TimePoint now = kStart)
    {
        const fleet::PermitRequest added = request(prefillMs);
        fairness.add(added, now);
        fairness.setOutcome(added.key, isServed);
    }

    SizeFairness fairness;
    std::int64_t lastCall = 0;
};

} // namespace

TEST_CASE("the largest prompts of a route count as underserved when only smaller ones are served")
{
    Fixture fixture;
    for (int n = 1; n <= 100; ++n)
        fixture.add(n * 100, n <= 70);
    CHECK(fixture.fairness.isUnderserved(fixture.request(9'900)));
    CHECK(fixture.fairness.isUnderserved(fixture.request(8'000)));
    CHECK_FALSE(fixture.fairness.isUnderserved(fixture.request(6'000)));
}

TEST_CASE("a served largest tenth does not hide that the prompts below it are not served")
{
    Fixture fixture;
    for (int n = 1; n <= 100; ++n)
        fixture.add(n * 100, n <= 70 || n > 90);
    CHECK_FALSE(fixture.fairness.isUnderserved(fixture.request(9'900)));
    CHECK(fixture.fairness.isUnderserved(fixture.request(8'000)));
}

TEST_CASE("sizes that are served alike get no preference, however few are served")
{
    Fixture fixture;
    for (int n = 1; n <= 100; ++n)
        fixture.add(n * 100, n % 3 == 0);
    CHECK_FALSE(fixture.fairness.isUnderserved(fixture.request(9'900)));
    CHECK_FALSE(fixture.fairness.isUnderserved(fixture.request(8'000)));
}

TEST_CASE("prompts that need no permit count for the served share of their route")
{
    Fixture fixture;
    for (int n = 1; n <= 20; ++n)
        fixture.add(n * 100, n % 2 == 0);
    fleet::PermitRequest request = fixture.request(2'000);
    CHECK_FALSE(fixture.fairness.isUnderserved(request));
    request.withoutPermit = {180, 180};
    fixture.fairness.add(request, kStart);
    CHECK(fixture.fairness.isUnderserved(request));
}

TEST_CASE("a prompt of another route is not compared")
{
    Fixture fixture;
    for (int n = 1; n <= 100; ++n)
        fixture.add(n * 100, n <= 70);
    CHECK_FALSE(fixture.fairness.isUnderserved(fixture.request(9'900, "other")));
}

TEST_CASE("outcomes of minutes ago are forgotten")
{
    Fixture fixture;
    for (int n = 1; n <= 100; ++n)
        fixture.add(n * 100, n <= 70);
    const base::TimePoint later = kStart + std::chrono::minutes(3);
    for (int n = 1; n <= 100; ++n)
        fixture.add(n * 100, true, later);
    CHECK_FALSE(fixture.fairness.isUnderserved(fixture.request(9'900)));
}
