#include "Calls.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace hyssop;
using namespace hyssop::harness;
using nlohmann::json;

namespace {

/// Covers the lease, the time until a host counts as dead, loads and readings, with room to spare.
constexpr base::Millis kTakeoverLimit{60'000};

Plan orderPlan(const std::string &fencing)
{
    Plan plan;
    plan.entriesEach = 3;
    plan.enginesEach = 3;
    plan.entryFlags = {"--stop-notice-ms",          "200", "--weight-loads-at-once", "1",
                       "--weight-loads-per-minute", "6000"};
    plan.engineFlags = {"--fencing", fencing, "--load-model-ms", "4000"};
    return plan;
}

/// Asks for two engines with a model that none of them starts with.
json deployment(std::int64_t version, const std::string &modelVersion)
{
    return {{"schema", 1},
            {"kind", "deployment"},
            {"name", "tales"},
            {"version", version},
            {"spec",
             {{"model", "tales"},
              {"modelVersion", modelVersion},
              {"dataCentre", "floro-sal"},
              {"replicas", 2},
              {"loadsPerMinute", 600}}}};
}

void putDeployment(System &system, std::int64_t version, const std::string &modelVersion)
{
    const auto reply =
            put(system, deployment(version, modelVersion), "deployment-" + std::to_string(version));
    INFO(reply.message);
    REQUIRE(reply.status == operators::PutStatus::Accepted);
}

/// Engines that have been told to serve that version, or serve it already.
int enginesWith(System &system, const std::string &modelVersion, bool isLoaded)
{
    int n = 0;
    for (const Host *engine : system.hosts(Role::Engine)) {
        json state = system.client().get(engine->serves, "/v1/desired").json();
        if (isLoaded && state.is_object())
            state = state["loaded"];
        if (state.is_object() && state.value("model", "") == "tales"
            && state.value("version", "") == modelVersion)
            ++n;
    }
    return n;
}

/// The entry host that says it holds the lease, other than \a former; null where none does.
Host *holder(System &system, const Host *former = nullptr)
{
    for (Host *entry : system.hosts(Role::Entry)) {
        if (entry == former)
            continue;
        const json status = system.client().get(entry->platform, "/deployments").json();
        if (status.is_object() && status.value("holdsLease", false))
            return entry;
    }
    return nullptr;
}

Host &awaitHolder(System &system, const Host *former = nullptr)
{
    Host *found = nullptr;
    REQUIRE(eventually(kTakeoverLimit,
                       [&] { return (found = holder(system, former)) != nullptr; }));
    return *found;
}

void awaitLoaded(System &system, const std::string &modelVersion)
{
    REQUIRE(eventually(kTakeoverLimit,
                       [&] { return enginesWith(system, modelVersion, true) == 2; }));
}

/// Freezes the holder between its orders, lets another host go on with a later record, and lets
/// the frozen host run again.
void checkFrozenHolder(const std::string &fencing)
{
    System system(orderPlan(fencing));
    bringUp(system);
    putDeployment(system, 1, "1");
    REQUIRE(eventually(kTakeoverLimit, [&] { return enginesWith(system, "1", false) == 1; }));
    Host &frozen = awaitHolder(system);
    frozen.process->signal(SIGSTOP);
    Host &next = awaitHolder(system, &frozen);
    putDeployment(system, 2, "2");
    awaitLoaded(system, "2");

    const std::int64_t applied = appliedAt(system, next);
    frozen.process->signal(SIGCONT);
    bool wasOverridden = false;
    REQUIRE(eventually(kTakeoverLimit, [&] {
        wasOverridden = wasOverridden || enginesWith(system, "1", false) > 0;
        const json status = system.client().get(frozen.platform, "/deployments").json();
        return appliedAt(system, frozen) >= applied && status.is_object()
               && !status.value("holdsLease", true);
    }));
    CHECK_FALSE(wasOverridden);
    CHECK(enginesWith(system, "2", false) == 2);
    CHECK(metric(system, next, "hyssop_order_overrides_total") == 0);
    CHECK(metric(system, frozen, "hyssop_orders_total", "result=\"old_fencing\"") == 0);
}

} // namespace

TEST_CASE("a deployment is completed by another host when the one that gives orders is killed")
{
    System system(orderPlan("check"));
    bringUp(system);
    putDeployment(system, 1, "1");
    REQUIRE(eventually(kTakeoverLimit, [&] { return enginesWith(system, "1", false) == 1; }));
    Host &killed = awaitHolder(system);
    system.kill(killed);
    Host &next = awaitHolder(system, &killed);
    awaitLoaded(system, "1");
    REQUIRE(eventually(kTakeoverLimit, [&] {
        return metric(system, next, "hyssop_deployment_engines", "state=\"serving\"") == 2;
    }));
    // The third engine is the last of the routes in force and keeps its model.
    const Completed completed = complete(system, next, Completion());
    INFO(completed.code());
    CHECK(completed.isWhole);
}

TEST_CASE("a holder that stood still overrides nothing at engines that check numbers")
{
    checkFrozenHolder("check");
}

TEST_CASE("a holder that stood still overrides nothing at engines that ignore numbers")
{
    checkFrozenHolder("ignore");
}
