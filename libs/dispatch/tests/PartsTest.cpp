#include "EngineModel.h"
#include "HostCount.h"
#include "RetryBudget.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::dispatch;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

fleet::EngineSpec spec()
{
    fleet::EngineSpec it;
    it.stepsPerPass = 51;
    it.stepMs = 0.85;
    it.prefillTokensPerMs = 177;
    it.msPerMillionPairs = 0.184;
    return it;
}

} // namespace

TEST_CASE("prefill time grows quadratically for long prompts")
{
    const fleet::EngineSpec engine = spec();
    const EngineModel model(engine);
    CHECK(model.prefillMs(base::Tokens(4'960)) == Approx(30).margin(1));
    CHECK(model.prefillMs(base::Tokens(154'000)) == Approx(3'052).margin(5));
}

TEST_CASE("a prompt is split into as few parts as the limit per part allows")
{
    CHECK(partCount(30, 60, 17) == 1);
    CHECK(partCount(440, 60, 17) == 8);
    CHECK(partCount(9'000, 60, 17) == 17);
    CHECK(partCount(100, 60, 0) == 1);
}

TEST_CASE("the retry budget of one host is its share of the allowance plus a ratio of its calls")
{
    constexpr int kHosts = 10;
    RetryBudget budget(0.2, 100, Millis(10'000));
    int spent = 0;
    while (budget.tryAcquire(kHosts, kStart))
        ++spent;
    CHECK(spent == 8);
    for (int n = 0; n < 50; ++n)
        budget.recordCall(kStart);
    while (budget.tryAcquire(kHosts, kStart))
        ++spent;
    CHECK(spent == 18);
    CHECK(budget.tryAcquire(kHosts, kStart + Millis(10'000)));
}

TEST_CASE("common limits are divided among the highest number of hosts that was reported lately")
{
    HostCount count;
    CHECK(count.current(kStart) >= 50);
    count.record(90, kStart);
    count.record(3, kStart + Millis(1'000));
    count.record(40, kStart + Millis(2'000));
    CHECK(count.current(kStart + Millis(2'000)) == 90);
    CHECK(count.current(kStart + Millis(10'500)) == 40);
    // Without a control host the last number holds.
    CHECK(count.current(kStart + Millis(60'000)) == 40);
    count.record(3, kStart + Millis(61'000));
    CHECK(count.current(kStart + Millis(61'000)) == 3);
}
