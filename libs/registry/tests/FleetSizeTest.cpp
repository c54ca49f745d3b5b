#include "PromptLoadPlayer.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hyssop;
using namespace hyssop::registry;
using base::Millis;

namespace {

constexpr int kDataCentres = 5;

fleet::EngineSpec engineSpec()
{
    fleet::EngineSpec spec;
    spec.slots = 10;
    spec.kvTokens = base::Tokens(300'000);
    spec.stepsPerPass = 80;
    spec.stepMs = 0.9;
    spec.prefillTokensPerMs = 180;
    spec.msPerMillionPairs = 0.2;
    spec.meanAnswerTokens = base::Tokens(1'900);
    return spec;
}

PromptLoad chat(double perSecond)
{
    return {"chat", perSecond, 5'000, 0.8, 24'000, Millis(400), Millis(300), Millis(10'000), 24};
}

PromptLoad summary(double perSecond)
{
    return {"summary",     perSecond,   45'000,         0.5, 110'000,
            Millis(1'500), Millis(800), Millis(10'000), 14};
}

PromptLoad review(double perSecond)
{
    return {"review",      perSecond,     200'000,        0.5, 290'000,
            Millis(4'000), Millis(1'200), Millis(15'000), 12};
}

/// Share of the prompts of \a route that are answered in time.
double shareInTime(const std::vector<PromptOutcome> &outcomes, const std::string &route)
{
    int count = 0;
    int inTime = 0;
    for (const PromptOutcome &it : outcomes) {
        count += it.route == route ? 1 : 0;
        inTime += it.route == route && it.isInTime ? 1 : 0;
    }
    return static_cast<double>(inTime) / std::max(1, count);
}

std::vector<PromptOutcome> play(int hosts, const std::vector<PromptLoad> &loads)
{
    PromptScenario scenario;
    scenario.engineCount = 60;
    scenario.dataCentreCount = kDataCentres;
    scenario.engine = engineSpec();
    scenario.engineQueue = 4;
    scenario.entryHostCount = hosts;
    scenario.loadPeerLimit = 96;
    scenario.duration = Millis(12'000);
    scenario.loads = loads;
    return PromptLoadPlayer(scenario).play();
}

/// The same load on the same engines, decided by one host that sees all of it and by many that each
/// see a part, must not differ by more than the users allow between small and large fleets.
void checkShares(const std::vector<PromptLoad> &loads)
{
    constexpr double kMinShareOfSmallFleet = 0.7;
    const auto one = play(1, loads);
    for (const int hosts : {7, 30, 100, 300}) {
        const auto many = play(hosts, loads);
        int refusals = 0;
        for (const PromptOutcome &it : many)
            refusals += it.refusals;
        for (const PromptLoad &load : loads) {
            const double wanted = shareInTime(one, load.route);
            const double share = shareInTime(many, load.route);
            CAPTURE(hosts, load.route, wanted, share, refusals);
            CHECK(share >= kMinShareOfSmallFleet * wanted);
        }
    }
}

} // namespace

TEST_CASE("a burst of short prompts is placed as well by hundreds of hosts as by a few")
{
    checkShares({chat(230), summary(3), review(1)});
}

TEST_CASE("a burst of long prompts is placed as well by hundreds of hosts as by a few")
{
    checkShares({chat(32), summary(8), review(4)});
}
