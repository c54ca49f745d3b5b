#include "EngineModel.h"
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
    it.readPerMs = 177;
    it.pairsPerMillionMs = 0.184;
    return it;
}

} // namespace

TEST_CASE("reading grows with the square of a long prompt")
{
    const fleet::EngineSpec engine = spec();
    const EngineModel model(engine);
    CHECK(model.prefillMs(base::Tokens(4'960)) == Approx(30).margin(1));
    CHECK(model.prefillMs(base::Tokens(154'000)) == Approx(3'052).margin(5));
}

TEST_CASE("a prompt is split until its parts are small enough")
{
    CHECK(partCount(30, 60, 17) == 1);
    CHECK(partCount(440, 60, 17) == 8);
    CHECK(partCount(9'000, 60, 17) == 17);
    CHECK(partCount(100, 60, 0) == 1);
}

TEST_CASE("the budgets of all hosts stay below the common bound")
{
    RetryBudget budget(0.2, 100, Millis(10'000));
    budget.setHostCount(10);
    int spent = 0;
    while (budget.tryAcquire(kStart))
        ++spent;
    CHECK(spent == 8);
    for (int n = 0; n < 50; ++n)
        budget.recordCall(kStart);
    while (budget.tryAcquire(kStart))
        ++spent;
    CHECK(spent == 18);
    CHECK(budget.tryAcquire(kStart + Millis(10'000)));
}
