#include "SendGrants.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::registry;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

fleet::RateLimitReport limit(const char *upstream, std::int64_t rate, Millis age = Millis(0))
{
    return {base::UpstreamId(upstream), base::Incarnation(1), fleet::RequestRate(rate), age, age};
}

fleet::SendGrantRequest waitingRequest(std::vector<fleet::RateLimitReport> limits, int priority = 0)
{
    fleet::SendGrantRequest request;
    request.limits = std::move(limits);
    request.wanted = 1;
    request.isWaiting = true;
    request.priority = priority;
    request.maxWait = Millis(60'000);
    return request;
}

/// Requests grants and keeps the replies.
struct Fixture
{
    SendGrants grants;
    std::vector<fleet::SendGrantReply> replies;

    void request(const fleet::SendGrantRequest &request, base::TimePoint now)
    {
        grants.request(
                request, [this](const auto &reply) { replies.push_back(reply); }, now);
    }
    /// Grants to a host that always asks again, from \a from to \a to.
    int grantsBetween(const fleet::SendGrantRequest &wanted, base::TimePoint from,
                      base::TimePoint to)
    {
        int count = 0;
        for (base::TimePoint at = from; at < to; at += Millis(10)) {
            replies.clear();
            request(wanted, at);
            for (const auto &it : replies)
                count += it.count;
        }
        return count;
    }
};

} // namespace

TEST_CASE("grants of one upstream stay within its rate however many hosts ask")
{
    for (const std::int64_t rate : {200, 1'500, 2'300, 50'000}) {
        Fixture fixture;
        fleet::SendGrantRequest request = waitingRequest({limit("u", rate)});
        request.isWaiting = false;
        const double perSecond = static_cast<double>(rate) / 1e3;
        // The first seconds repay what was sent before the limit was known.
        fixture.grantsBetween(request, kStart, kStart + Millis(8'000));
        const int granted =
                fixture.grantsBetween(request, kStart + Millis(8'000), kStart + Millis(12'000));
        INFO("rate " << rate);
        CHECK(granted <= 4.25 * perSecond + 2);
        CHECK(granted >= 3.5 * perSecond - 1);
    }
}

TEST_CASE("what hosts sent before they knew of a limit counts against it")
{
    Fixture fixture;
    fleet::SendGrantRequest report;
    report.limits = {limit("u", 2'000)};
    fixture.request(report, kStart);
    const fleet::SendGrantRequest request = waitingRequest({limit("u", 2'000)});
    fixture.replies.clear();
    fixture.request(request, kStart + Millis(2'000));
    fixture.grants.tick(kStart + Millis(2'400));
    CHECK(fixture.replies.empty());
    // A limit that a former leader knew begins without a debt.
    Fixture next;
    next.request(waitingRequest({limit("u", 2'000)}), kStart);
    next.grants.tick(kStart + Millis(500));
    REQUIRE(next.replies.size() == 1);
    CHECK(next.replies.front().count == 1);
}

TEST_CASE("an upstream that accepts no requests still gets a few, so that its limit can end")
{
    Fixture fixture;
    fleet::SendGrantRequest request = waitingRequest({limit("u", 0)});
    request.isWaiting = false;
    const int granted = fixture.grantsBetween(request, kStart, kStart + Millis(40'000));
    CHECK(granted >= 4);
    CHECK(granted <= 8);
}

TEST_CASE("urgent calls get a grant before less urgent ones that have waited longer")
{
    Fixture fixture;
    fleet::SendGrantRequest later = waitingRequest({limit("u", 1'000)}, 1);
    later.waited = Millis(300);
    std::vector<int> order;
    fixture.grants.request(
            later, [&](const auto &) { order.push_back(1); }, kStart);
    fixture.grants.request(
            waitingRequest({limit("u", 1'000)}, 0), [&](const auto &) { order.push_back(0); },
            kStart + Millis(100));
    fixture.grants.tick(kStart + Millis(1'000));
    REQUIRE_FALSE(order.empty());
    CHECK(order.front() == 0);
}

TEST_CASE("calls of one priority get grants in the order of their waits, whichever host asks again")
{
    Fixture fixture;
    std::vector<int> order;
    fixture.grants.request(
            waitingRequest({limit("u", 2'000)}), [&](const auto &) { order.push_back(1); }, kStart);
    fleet::SendGrantRequest older = waitingRequest({limit("u", 2'000)});
    older.waited = Millis(700);
    fixture.grants.request(
            older, [&](const auto &) { order.push_back(0); }, kStart + Millis(10));
    fixture.grants.tick(kStart + Millis(499));
    CHECK(order.empty());
    fixture.grants.tick(kStart + Millis(500));
    REQUIRE_FALSE(order.empty());
    CHECK(order.front() == 0);
}

TEST_CASE("a call that no grant can reach in time is denied at once with a time to come back")
{
    Fixture fixture;
    fleet::SendGrantRequest request = waitingRequest({limit("u", 1'000), limit("v", 1'000)});
    request.maxWait = Millis(100);
    fixture.request(request, kStart);
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies.front().count == 0);
    // Both together admit two requests a second.
    CHECK(fixture.replies.front().retryAfter == Millis(500));
    CHECK(fixture.grants.waitingCount() == 0);
}

TEST_CASE("a limit that is reported as ended is passed on, and older reports do not revive it")
{
    Fixture fixture;
    fleet::SendGrantRequest report;
    report.limits = {limit("u", 2'000)};
    fixture.request(report, kStart);
    report.limits = {limit("u", fleet::kUnlimitedRate.count())};
    fixture.request(report, kStart + Millis(1'000));
    report.limits = {limit("u", 2'000, Millis(500))};
    fixture.request(report, kStart + Millis(1'200));
    const auto limits = fixture.grants.limits(kStart + Millis(1'300));
    REQUIRE(limits.size() == 1);
    CHECK(limits.front().rate == fleet::kUnlimitedRate);
    CHECK(limits.front().answerAge == Millis(300));
}

TEST_CASE("orders that were sent without a grant count against the limit")
{
    Fixture fixture;
    fleet::SendGrantRequest request = waitingRequest({limit("u", 1'000)});
    request.isWaiting = false;
    fixture.grantsBetween(request, kStart, kStart + Millis(5'000));
    fleet::SendGrantRequest report;
    report.limits = {limit("u", 1'000)};
    report.limits.front().unplannedRequests = 3;
    fixture.request(report, kStart + Millis(5'000));
    CHECK(fixture.grantsBetween(request, kStart + Millis(5'000), kStart + Millis(7'500)) == 0);
}

TEST_CASE("the revision of the limits grows when one is new, changes or ends, and not otherwise")
{
    Fixture fixture;
    const auto report = [&fixture](std::int64_t rate, Millis at) {
        fleet::SendGrantRequest request;
        request.limits = {limit("u", rate)};
        fixture.request(request, kStart + at);
        return fixture.grants.revision();
    };
    const std::int64_t isNew = report(2'300, Millis(0));
    CHECK(isNew > 0);
    CHECK(report(2'300, Millis(100)) == isNew);
    const std::int64_t isLowered = report(500, Millis(200));
    CHECK(isLowered > isNew);
    CHECK(report(fleet::kUnlimitedRate.count(), Millis(300)) > isLowered);
}
