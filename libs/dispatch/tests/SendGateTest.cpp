// The rules of the send gate, one by one and together.

#include "SendGate.h"
#include "rules/BackOffRule.h"
#include "rules/EjectedRule.h"
#include "rules/EvacuatedRule.h"
#include "rules/LeavingRule.h"
#include "rules/RegionRule.h"
#include "rules/UnreachableRule.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::dispatch;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const base::DataCentreId kNorth("north");

UpstreamState upstreamIn(const base::DataCentreId &dataCentre, const std::string &id = "u")
{
    fleet::Upstream it;
    it.id = base::UpstreamId(id);
    it.dataCentre = dataCentre;
    it.incarnation = base::Incarnation(1);
    return UpstreamState(it);
}

} // namespace

TEST_CASE("a leaving upstream is refused without an end")
{
    UpstreamState state = upstreamIn(kNorth);
    const LeavingRule rule;
    CHECK(rule.isHard());
    CHECK_FALSE(rule.check(state, {}, kStart));
    fleet::Upstream leaving = state.info();
    leaving.isLeaving = true;
    state.setInfo(leaving);
    const auto refusal = rule.check(state, {}, kStart);
    REQUIRE(refusal);
    CHECK(refusal->reason == SendRefusalReason::Leaving);
    CHECK_FALSE(refusal->until);
}

TEST_CASE("an upstream that wants no requests is refused until the stated time")
{
    UpstreamState state = upstreamIn(kNorth);
    state.backOffUntil(kStart + Millis(300));
    const BackOffRule rule;
    CHECK(rule.isHard());
    const auto refusal = rule.check(state, {}, kStart);
    REQUIRE(refusal);
    CHECK(refusal->until == kStart + Millis(300));
    CHECK_FALSE(rule.check(state, {}, kStart + Millis(300)));
}

TEST_CASE("upstreams of an evacuated data centre are refused, whatever is sent")
{
    fleet::Evacuations evacuations;
    const EvacuatedRule rule(&evacuations);
    CHECK(rule.isHard());
    const UpstreamState state = upstreamIn(kNorth);
    CHECK_FALSE(rule.check(state, {}, kStart));
    evacuations.dataCentres.insert(kNorth);
    for (const SendKind kind : {SendKind::Call, SendKind::Probe})
        CHECK(rule.check(state, {nullptr, kind}, kStart));
    CHECK_FALSE(rule.check(upstreamIn(base::DataCentreId("south")), {}, kStart));
}

TEST_CASE("a call does not leave its regions, and a data centre without a region is outside")
{
    const RegionRule rule({{kNorth, "r1"}, {base::DataCentreId("south"), "r2"}});
    CHECK(rule.isHard());
    const fleet::RegionSet anywhere;
    const fleet::RegionSet first = std::set<std::string>{"r1"};
    const fleet::RegionSet nowhere = std::set<std::string>{};
    const auto isRefused = [&](const char *dataCentre, const fleet::RegionSet *regions) {
        const UpstreamState state = upstreamIn(base::DataCentreId(dataCentre));
        return rule.check(state, {regions}, kStart).has_value();
    };
    CHECK_FALSE(isRefused("south", &anywhere));
    CHECK_FALSE(isRefused("unknown", &anywhere));
    CHECK_FALSE(isRefused("unknown", nullptr));
    CHECK_FALSE(isRefused("north", &first));
    CHECK(isRefused("south", &first));
    CHECK(isRefused("unknown", &first));
    CHECK(isRefused("north", &nowhere));
}

TEST_CASE("an ejected upstream and one in an unreachable data centre are refused for a while")
{
    UpstreamState state = upstreamIn(kNorth);
    state.eject(Millis(700), kStart);
    const EjectedRule ejected;
    CHECK_FALSE(ejected.isHard());
    CHECK(ejected.check(state, {}, kStart));
    CHECK_FALSE(ejected.check(state, {}, kStart + Millis(700)));

    Reachability reachability;
    reachability.recordFailure(kNorth, base::UpstreamId("u"), kStart);
    reachability.recordFailure(kNorth, base::UpstreamId("v"), kStart);
    const UnreachableRule unreachable(&reachability, base::DataCentreId("south"));
    CHECK_FALSE(unreachable.isHard());
    const auto refusal = unreachable.check(state, {}, kStart);
    REQUIRE(refusal);
    CHECK(refusal->until == kStart + Millis(1'000));
    CHECK_FALSE(UnreachableRule(&reachability, kNorth).check(state, {}, kStart));
}

// A hard rule that gave way when no other upstream is left would send into an evacuation.
TEST_CASE("soft rules give way when no upstream passes, hard rules never do")
{
    fleet::Evacuations evacuations;
    evacuations.dataCentres.insert(kNorth);
    SendGate gate;
    gate.add(std::make_unique<EvacuatedRule>(&evacuations));
    gate.add(std::make_unique<EjectedRule>());
    UpstreamState north = upstreamIn(kNorth, "n");
    UpstreamState south = upstreamIn(base::DataCentreId("south"), "s");
    south.eject(Millis(700), kStart);
    CHECK(gate.select({&north, &south}, {}, kStart) == std::vector<UpstreamState *>{&south});
    CHECK(gate.select({&north}, {}, kStart).empty());
    CHECK_FALSE(gate.maySend(south, {}, kStart));
    CHECK_FALSE(gate.checkHard(south, {}, kStart));
}

TEST_CASE("the common refusal is the one that ends first, and an evacuation hides no back-off")
{
    fleet::Evacuations evacuations;
    evacuations.dataCentres.insert(kNorth);
    SendGate gate;
    gate.add(std::make_unique<LeavingRule>());
    gate.add(std::make_unique<EvacuatedRule>(&evacuations));
    gate.add(std::make_unique<BackOffRule>());
    UpstreamState north = upstreamIn(kNorth, "n");
    north.backOffUntil(kStart + Millis(50));
    UpstreamState south = upstreamIn(base::DataCentreId("south"), "s");
    south.backOffUntil(kStart + Millis(100));
    fleet::Upstream info = upstreamIn(base::DataCentreId("south"), "l").info();
    info.isLeaving = true;
    UpstreamState leaving(info);
    const auto common = gate.commonRefusal({&leaving, &north, &south}, {}, kStart);
    REQUIRE(common);
    // The end of its back-off does not bring an evacuated upstream back.
    CHECK(common->until == kStart + Millis(100));
    const auto evacuated = gate.commonRefusal({&leaving, &north}, {}, kStart);
    REQUIRE(evacuated);
    CHECK(evacuated->reason == SendRefusalReason::Evacuated);
    CHECK_FALSE(gate.commonRefusal({&south}, {}, kStart + Millis(100)));
    CHECK_FALSE(gate.commonRefusal({}, {}, kStart));
}
