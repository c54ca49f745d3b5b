#include "TestFixtures.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::orders;
using namespace std::chrono_literals;

namespace {

/// A planner with simulated engines. Every read is answered immediately.
struct PlannerFixture
{
    PlannerFixture(std::vector<FakeEngine> fakeEngines, const std::vector<records::Record> &records,
                   LoadLimits limits = {8, 6'000})
        : planner(kDataCentre, limits, 1)
        , engines(std::move(fakeEngines))
    {
        planner.setCatalogue(catalogueOf(records));
        grant.firstGrantedAt = now;
    }

    FakeEngine &engine(const base::UpstreamId &id)
    {
        for (FakeEngine &it : engines) {
            if (it.engine.id == id)
                return it;
        }
        FAIL("no engine " << id.text());
        return engines.front();
    }
    /// Advances time and answers reads. Returns the orders.
    std::vector<SendOrder> step(base::Millis time = 1s)
    {
        now += time;
        grant.validUntil = now + 8s;
        std::vector<Engine> announcedEngines;
        for (const FakeEngine &it : engines)
            announcedEngines.push_back(it.engine);
        planner.setEngines(announcedEngines, now);
        std::vector<SendOrder> orders;
        for (const OrderAction &action :
             planner.nextActions(hasLease ? std::optional(grant) : std::nullopt, now))
            handleAction(action, orders);
        return orders;
    }
    /// Like step(), but also delivers each order to its engine and reports the result.
    std::vector<SendOrder> runSteps(int steps)
    {
        std::vector<SendOrder> all;
        for (int i = 0; i < steps; ++i) {
            for (const SendOrder &order : step()) {
                all.push_back(order);
                planner.onOrderDone(order.engine, engine(order.engine).receiveOrder(order), now);
            }
        }
        return all;
    }
    void handleAction(const OrderAction &action, std::vector<SendOrder> &orders)
    {
        if (const auto *read = std::get_if<ReadState>(&action))
            planner.onReadDone(read->engine, engine(read->engine).state(), now);
        else if (const auto *order = std::get_if<SendOrder>(&action))
            orders.push_back(*order);
        else if (const auto *held = std::get_if<OrderHeld>(&action))
            reportedHolds.push_back(held->hold);
        else
            ++overrideCount;
    }

    OrderPlanner planner;
    std::vector<FakeEngine> engines;
    base::TimePoint now{1h};
    LeaseGrant grant{5, {}, {}};
    bool hasLease = true;
    std::vector<Hold> reportedHolds;
    int overrideCount = 0;
};

const std::vector<records::Record> kTwoReplicasOfA{
        deploymentRecord("d", {{"model", "a"}, {"modelVersion", "2"}, {"replicas", 2}})};

} // namespace

TEST_CASE("desired state is sent, read back, and not sent again once it matches")
{
    PlannerFixture fixture({makeFakeEngine("e1", "a"), makeFakeEngine("e2", "b")}, kTwoReplicasOfA);
    const auto orders = fixture.runSteps(5);
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].fencingToken == 5);
    CHECK(orders[0].assignment.target == EngineTarget{"a", "", "2", ""});
    for (FakeEngine &engine : fixture.engines)
        engine.finishLoad();
    CHECK(fixture.runSteps(60).empty());
    const OrderReport report = fixture.planner.report();
    REQUIRE(report.deployments.size() == 1);
    CHECK(report.deployments[0].serving == 2);
}

TEST_CASE("without the lease no order is sent and no engine is read")
{
    PlannerFixture fixture({makeFakeEngine("e1", "a")}, kTwoReplicasOfA);
    fixture.hasLease = false;
    CHECK(fixture.runSteps(10).empty());
    fixture.hasLease = true;
    CHECK(fixture.runSteps(5).size() == 1);
}

TEST_CASE("an order may be sent only within the lease and its own time limit")
{
    PlannerFixture fixture({makeFakeEngine("e1", "b"), makeFakeEngine("e2", "b")}, kTwoReplicasOfA);
    fixture.step();
    const auto orders = fixture.step();
    REQUIRE_FALSE(orders.empty());
    CHECK(orders[0].sendDeadline == fixture.now + kOrderTimeout);
    CHECK(fixture.grant.validUntil > orders[0].sendDeadline);
}

TEST_CASE("an engine that checks fencing is sent a new holder's token even if its state matches")
{
    PlannerFixture fixture({makeFakeEngine("e1", "a"), makeFakeEngine("e2", "a")},
                           {deploymentRecord("d", {{"model", "a"}, {"replicas", 1}})});
    const auto first = fixture.runSteps(5);
    REQUIRE(first.size() == 1);
    FakeEngine &engine = fixture.engine(first[0].engine);
    SendOrder late = first[0];
    late.assignment.target.version = "9";
    fixture.grant = {6, fixture.now, {}};
    REQUIRE(fixture.runSteps(5).size() == 1);
    CHECK(engine.receiveOrder(late) == OrderResult::OldFencing);
    CHECK(engine.desired.version.empty());
}

TEST_CASE("an engine that ignores fencing gets no order while a former holder's may arrive")
{
    PlannerFixture fixture({makeFakeEngine("e1", "a", false)}, kTwoReplicasOfA);
    const base::TimePoint granted = fixture.now;
    while (fixture.now < granted + kOrderTimeout - 250ms)
        CHECK(fixture.step(250ms).empty());
    CHECK(fixture.reportedHolds == std::vector{Hold::FormerHolder});
    CHECK(fixture.step(250ms).size() == 1);
}

TEST_CASE("a record can declare that its engines ignore fencing")
{
    auto records = std::vector{
            deploymentRecord("d", {{"model", "a"}, {"modelVersion", "2"}, {"fencing", "ignored"}})};
    PlannerFixture fixture({makeFakeEngine("e1", "a")}, records);
    fixture.step(250ms);
    CHECK(fixture.step(250ms).empty());
    CHECK(fixture.reportedHolds == std::vector{Hold::FormerHolder});
}

TEST_CASE("an overridden order is sent again and reported")
{
    PlannerFixture fixture({makeFakeEngine("e1", "a", false)}, kTwoReplicasOfA);
    fixture.runSteps(5);
    fixture.engines[0].finishLoad();
    fixture.runSteps(5);
    fixture.engines[0].desired.version = "1";
    const auto again = fixture.runSteps(30);
    CHECK(again.size() == 1);
    CHECK(fixture.overrideCount == 1);
    CHECK(fixture.engines[0].desired.version == "2");
}

TEST_CASE("failed orders are retried with growing backoff after the engine is read again")
{
    PlannerFixture fixture({makeFakeEngine("e1", "a")}, kTwoReplicasOfA);
    std::vector<base::TimePoint> times;
    for (int i = 0; i < 4'000 && times.size() < 7; ++i) {
        for (const SendOrder &order : fixture.step(50ms)) {
            times.push_back(fixture.now);
            fixture.planner.onOrderDone(order.engine, OrderResult::Failed, fixture.now);
        }
    }
    REQUIRE(times.size() == 7);
    for (std::size_t i = 2; i < times.size(); ++i)
        CHECK(times[i] - times[i - 1] > times[i - 1] - times[i - 2]);
    CHECK(times[1] - times[0] >= OrderPlanner::kFirstBackoff);
}

TEST_CASE("concurrent loads are bounded, including those ordered by the former holder")
{
    std::vector<FakeEngine> engines;
    for (const char *id : {"e1", "e2", "e3", "e4"})
        engines.push_back(makeFakeEngine(id, "b"));
    engines[3].desired.version = "7";
    PlannerFixture fixture(engines, {deploymentRecord("d", {{"model", "a"}, {"replicas", 3}})},
                           {2, 6'000});
    CHECK(fixture.runSteps(10).size() == 1);
    CHECK(fixture.reportedHolds.front() == Hold::LoadsAtOnce);
    fixture.engines[0].finishLoad();
    CHECK(fixture.runSteps(10).size() == 1);
}

TEST_CASE("loads per minute are bounded for the data centre and for each deployment")
{
    constexpr int kEngines = 60;
    std::vector<FakeEngine> engines;
    engines.reserve(kEngines);
    for (int i = 0; i < kEngines; ++i)
        engines.push_back(makeFakeEngine("e" + std::to_string(i), "b"));
    const auto ordersIn = [&](base::Millis time, int dataCentre, int deployment) {
        PlannerFixture fixture(engines,
                               {deploymentRecord("d", {{"model", "a"},
                                                       {"replicas", kEngines},
                                                       {"loadsPerMinute", deployment}})},
                               {1, dataCentre});
        std::size_t n = 0;
        const base::TimePoint end = fixture.now + time;
        while (fixture.now < end) {
            n += fixture.runSteps(1).size();
            for (FakeEngine &engine : fixture.engines)
                engine.finishLoad();
        }
        return n;
    };
    CHECK(ordersIn(120s, 12, 600) >= 22);
    CHECK(ordersIn(120s, 12, 600) <= 24);
    CHECK(ordersIn(120s, 600, 6) >= 11);
    CHECK(ordersIn(120s, 600, 6) <= 12);
}

TEST_CASE("a restarted engine is read and ordered again")
{
    PlannerFixture fixture({makeFakeEngine("e1", "a")}, kTwoReplicasOfA);
    fixture.runSteps(5);
    fixture.engines[0].finishLoad();
    fixture.runSteps(5);
    fixture.engines[0] = makeFakeEngine("e1", "a");
    fixture.engines[0].engine.incarnation = base::Incarnation(2);
    CHECK(fixture.runSteps(5).size() == 1);
}

TEST_CASE("the result of an order from an earlier grant is ignored")
{
    PlannerFixture fixture({makeFakeEngine("e1", "a")}, kTwoReplicasOfA);
    fixture.step();
    const auto order = fixture.step();
    REQUIRE(order.size() == 1);
    fixture.grant = {6, fixture.now, {}};
    CHECK(fixture.step().empty());
    fixture.planner.onOrderDone(order[0].engine, OrderResult::Accepted, fixture.now);
    const auto again = fixture.runSteps(5);
    REQUIRE(again.size() == 1);
    CHECK(again[0].fencingToken == 6);
}
