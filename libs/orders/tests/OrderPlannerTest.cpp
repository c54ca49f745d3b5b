#include "Rig.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::orders;
using namespace std::chrono_literals;

namespace {

/// A planner beside model engines; every reading is answered at once.
struct Planned
{
    Planned(std::vector<ModelEngine> models, const std::vector<records::Record> &records,
            LoadLimits limits = {8, 6'000})
        : planner(kDataCentre, limits, 1)
        , engines(std::move(models))
    {
        planner.setCatalogue(catalogueOf(records));
        grant.since = now;
    }

    ModelEngine &engine(const base::UpstreamId &id)
    {
        for (ModelEngine &it : engines) {
            if (it.engine.id == id)
                return it;
        }
        FAIL("no engine " << id.text());
        return engines.front();
    }
    /// Lets time pass and answers readings; returns the orders.
    std::vector<GiveOrder> step(base::Millis time = 1s)
    {
        now += time;
        grant.until = now + 8s;
        std::vector<Engine> announced;
        for (const ModelEngine &it : engines)
            announced.push_back(it.engine);
        planner.setEngines(announced, now);
        std::vector<GiveOrder> orders;
        for (const Action &action : planner.next(holds ? std::optional(grant) : std::nullopt, now))
            take(action, orders);
        return orders;
    }
    /// As step(), with each order taken by its engine and answered.
    std::vector<GiveOrder> settle(int steps)
    {
        std::vector<GiveOrder> all;
        for (int i = 0; i < steps; ++i) {
            for (const GiveOrder &order : step()) {
                all.push_back(order);
                planner.orderDone(order.engine, engine(order.engine).take(order), now);
            }
        }
        return all;
    }
    void take(const Action &action, std::vector<GiveOrder> &orders)
    {
        if (const auto *read = std::get_if<ReadState>(&action))
            planner.readDone(read->engine, engine(read->engine).state(), now);
        else if (const auto *order = std::get_if<GiveOrder>(&action))
            orders.push_back(*order);
        else if (const auto *held = std::get_if<OrderHeld>(&action))
            toldHolds.push_back(held->hold);
        else
            ++overrides;
    }

    OrderPlanner planner;
    std::vector<ModelEngine> engines;
    base::TimePoint now{1h};
    Grant grant{5, {}, {}};
    bool holds = true;
    std::vector<Hold> toldHolds;
    int overrides = 0;
};

const std::vector<records::Record> kWantsA{
        deploymentRecord("d", {{"model", "a"}, {"modelVersion", "2"}, {"replicas", 2}})};

} // namespace

TEST_CASE("desired state is given, read back, and left alone once it agrees")
{
    Planned rig({modelEngine("e1", "a"), modelEngine("e2", "b")}, kWantsA);
    const auto orders = rig.settle(5);
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].fencing == 5);
    CHECK(orders[0].assignment.target == EngineTarget{"a", "", "2", ""});
    for (ModelEngine &engine : rig.engines)
        engine.finishLoad();
    CHECK(rig.settle(60).empty());
    const Report report = rig.planner.report();
    REQUIRE(report.deployments.size() == 1);
    CHECK(report.deployments[0].serving == 2);
}

TEST_CASE("without the lease no order is given and no engine is asked")
{
    Planned rig({modelEngine("e1", "a")}, kWantsA);
    rig.holds = false;
    CHECK(rig.settle(10).empty());
    rig.holds = true;
    CHECK(rig.settle(5).size() == 1);
}

TEST_CASE("an order may leave within the lease and its own limit only")
{
    Planned rig({modelEngine("e1", "b"), modelEngine("e2", "b")}, kWantsA);
    rig.step();
    const auto orders = rig.step();
    REQUIRE_FALSE(orders.empty());
    CHECK(orders[0].before == rig.now + kOrderLimit);
    CHECK(rig.grant.until > orders[0].before);
}

TEST_CASE("an engine that checks is given a new holder's number even where it agrees already")
{
    Planned rig({modelEngine("e1", "a"), modelEngine("e2", "a")},
                {deploymentRecord("d", {{"model", "a"}, {"replicas", 1}})});
    const auto first = rig.settle(5);
    REQUIRE(first.size() == 1);
    ModelEngine &engine = rig.engine(first[0].engine);
    GiveOrder late = first[0];
    late.assignment.target.version = "9";
    rig.grant = {6, rig.now, {}};
    REQUIRE(rig.settle(5).size() == 1);
    CHECK(engine.take(late) == OrderResult::OldFencing);
    CHECK(engine.desired.version.empty());
}

TEST_CASE("an engine that ignores numbers gets its first order after the former holder's last")
{
    Planned rig({modelEngine("e1", "a", false)}, kWantsA);
    const base::TimePoint granted = rig.now;
    while (rig.now < granted + kOrderLimit - 250ms)
        CHECK(rig.step(250ms).empty());
    CHECK(rig.toldHolds == std::vector{Hold::FormerHolder});
    CHECK(rig.step(250ms).size() == 1);
}

TEST_CASE("a record that says so makes an engine count as one that ignores numbers")
{
    auto records = std::vector{
            deploymentRecord("d", {{"model", "a"}, {"modelVersion", "2"}, {"fencing", "ignored"}})};
    Planned rig({modelEngine("e1", "a")}, records);
    rig.step(250ms);
    CHECK(rig.step(250ms).empty());
    CHECK(rig.toldHolds == std::vector{Hold::FormerHolder});
}

TEST_CASE("what overrides an accepted order is put right and counted")
{
    Planned rig({modelEngine("e1", "a", false)}, kWantsA);
    rig.settle(5);
    rig.engines[0].finishLoad();
    rig.settle(5);
    rig.engines[0].desired.version = "1";
    const auto again = rig.settle(30);
    CHECK(again.size() == 1);
    CHECK(rig.overrides == 1);
    CHECK(rig.engines[0].desired.version == "2");
}

TEST_CASE("failed orders are repeated with growing waits, after the engine was read again")
{
    Planned rig({modelEngine("e1", "a")}, kWantsA);
    std::vector<base::TimePoint> times;
    for (int i = 0; i < 4'000 && times.size() < 7; ++i) {
        for (const GiveOrder &order : rig.step(50ms)) {
            times.push_back(rig.now);
            rig.planner.orderDone(order.engine, OrderResult::Failed, rig.now);
        }
    }
    REQUIRE(times.size() == 7);
    for (std::size_t i = 2; i < times.size(); ++i)
        CHECK(times[i] - times[i - 1] > times[i - 1] - times[i - 2]);
    CHECK(times[1] - times[0] >= OrderPlanner::kFirstBackoff);
}

TEST_CASE("loads at once are bounded, those of the former holder counted")
{
    std::vector<ModelEngine> engines;
    for (const char *id : {"e1", "e2", "e3", "e4"})
        engines.push_back(modelEngine(id, "b"));
    engines[3].desired.version = "7";
    Planned rig(engines, {deploymentRecord("d", {{"model", "a"}, {"replicas", 3}})}, {2, 6'000});
    CHECK(rig.settle(10).size() == 1);
    CHECK(rig.toldHolds.front() == Hold::LoadsAtOnce);
    rig.engines[0].finishLoad();
    CHECK(rig.settle(10).size() == 1);
}

TEST_CASE("loads a minute are bounded for the data centre and for each deployment")
{
    constexpr int kEngines = 60;
    std::vector<ModelEngine> engines;
    engines.reserve(kEngines);
    for (int i = 0; i < kEngines; ++i)
        engines.push_back(modelEngine("e" + std::to_string(i), "b"));
    const auto ordersIn = [&](base::Millis time, int dataCentre, int deployment) {
        Planned rig(engines,
                    {deploymentRecord("d", {{"model", "a"},
                                            {"replicas", kEngines},
                                            {"loadsPerMinute", deployment}})},
                    {1, dataCentre});
        std::size_t n = 0;
        const base::TimePoint end = rig.now + time;
        while (rig.now < end) {
            n += rig.settle(1).size();
            for (ModelEngine &engine : rig.engines)
                engine.finishLoad();
        }
        return n;
    };
    CHECK(ordersIn(120s, 12, 600) >= 22);
    CHECK(ordersIn(120s, 12, 600) <= 24);
    CHECK(ordersIn(120s, 600, 6) >= 11);
    CHECK(ordersIn(120s, 600, 6) <= 12);
}

TEST_CASE("a restarted engine is read and told again")
{
    Planned rig({modelEngine("e1", "a")}, kWantsA);
    rig.settle(5);
    rig.engines[0].finishLoad();
    rig.settle(5);
    rig.engines[0] = modelEngine("e1", "a");
    rig.engines[0].engine.incarnation = base::Incarnation(2);
    CHECK(rig.settle(5).size() == 1);
}

TEST_CASE("an answer that belongs to an earlier grant changes nothing")
{
    Planned rig({modelEngine("e1", "a")}, kWantsA);
    rig.step();
    const auto order = rig.step();
    REQUIRE(order.size() == 1);
    rig.grant = {6, rig.now, {}};
    CHECK(rig.step().empty());
    rig.planner.orderDone(order[0].engine, OrderResult::Accepted, rig.now);
    const auto again = rig.settle(5);
    REQUIRE(again.size() == 1);
    CHECK(again[0].fencing == 6);
}
