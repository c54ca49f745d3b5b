#include "fleet/Fleet.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::fleet;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

RateLimitStatement statement(std::int64_t rate, int sentAtMs, int receivedAtMs,
                             std::int64_t incarnation = 1)
{
    return {base::Incarnation(incarnation), RequestRate(rate), kStart + base::Millis(sentAtMs),
            kStart + base::Millis(receivedAtMs)};
}

} // namespace

TEST_CASE("a newer statement of an upstream replaces its rate limit in both directions")
{
    RateLimitStatement current{base::Incarnation(1)};
    CHECK(current.update(statement(2'000, 0, 10)));
    CHECK(current.update(statement(5'000, 10, 20)));
    CHECK(current.rate == RequestRate(5'000));
    CHECK(current.update(statement(1'000, 30, 40)));
    CHECK(current.update(statement(kUnlimitedRate.count(), 50, 60)));
    CHECK(current.rate == kUnlimitedRate);
}

TEST_CASE("an answer that was overtaken does not raise or end a rate limit")
{
    RateLimitStatement current{base::Incarnation(1)};
    CHECK(current.update(statement(2'000, 100, 110)));
    CHECK_FALSE(current.update(statement(kUnlimitedRate.count(), 50, 200)));
    CHECK_FALSE(current.update(statement(9'000, 109, 210)));
    CHECK(current.rate == RequestRate(2'000));
    // A lower one may be the newer of the two.
    CHECK(current.update(statement(1'000, 50, 200)));
    CHECK(current.rate == RequestRate(1'000));
}

TEST_CASE("a statement that is known to be older is ignored even when it is lower")
{
    RateLimitStatement current{base::Incarnation(1)};
    CHECK(current.update(statement(2'000, 100, 110)));
    CHECK_FALSE(current.update(statement(1'000, 50, 90)));
    CHECK(current.rate == RequestRate(2'000));
}

TEST_CASE("statements of an earlier start do not limit the next one")
{
    RateLimitStatement current = statement(2'000, 0, 10, 1);
    CHECK(current.update(statement(kUnlimitedRate.count(), 5, 6, 2)));
    CHECK_FALSE(current.update(statement(1'000, 20, 30, 1)));
    CHECK(current.rate == kUnlimitedRate);
}
