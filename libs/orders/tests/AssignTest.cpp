#include "TestFixtures.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::orders;

namespace {

std::vector<std::string> idsOf(const Assignments &assignments)
{
    std::vector<std::string> ids;
    for (const auto &[id, assignment] : assignments.engines)
        ids.push_back(id.text());
    return ids;
}

using Ids = std::vector<std::string>;

} // namespace

TEST_CASE("matching engines stay assigned, and others are chosen by the lowest replacement cost")
{
    const auto catalogue = catalogueOf({deploymentRecord("d", {{"model", "a"}, {"replicas", 2}}),
                                        routeRecord("used", {{"model", "b"}})});
    const std::vector<EngineView> engines{convergedEngine("e1", "b"), convergedEngine("e2", "b"),
                                          convergedEngine("e3", "c"), convergedEngine("e4", "a")};
    CHECK(idsOf(assign(kDataCentre, *catalogue, engines)) == Ids{"e3", "e4"});
}

TEST_CASE("deployments of another data centre get no engine")
{
    const auto catalogue =
            catalogueOf({deploymentRecord("d", {{"model", "a"}, {"dataCentre", "forde-sal"}})});
    CHECK(assign(kDataCentre, *catalogue, {convergedEngine("e1", "b")}).engines.empty());
}

TEST_CASE("the last engine of a route is taken only if the record allows it")
{
    nlohmann::json spec{{"model", "a"}, {"replicas", 2}};
    const auto route = routeRecord("used", {{"model", "b"}});
    const std::vector<EngineView> engines{convergedEngine("e1", "b"), convergedEngine("e2", "b")};
    const auto defaultAssignments =
            assign(kDataCentre, *catalogueOf({deploymentRecord("d", spec), route}), engines);
    CHECK(idsOf(defaultAssignments) == Ids{"e1"});
    CHECK(defaultAssignments.missing.at("d") == 1);
    CHECK(defaultAssignments.heldByRoutes.contains("d"));
    spec["mayUnloadLast"] = true;
    const auto lastEngineAssignments =
            assign(kDataCentre, *catalogueOf({deploymentRecord("d", spec), route}), engines);
    CHECK(idsOf(lastEngineAssignments) == Ids{"e1", "e2"});
    CHECK(lastEngineAssignments.missing.empty());
}

TEST_CASE("the last engine with the role that a route needs is not taken")
{
    EngineView onlyEngine = convergedEngine("e1", "a");
    onlyEngine.engine.role = "chat";
    onlyEngine.desired->role = onlyEngine.loaded->role = "chat";
    const auto catalogue = catalogueOf({deploymentRecord("d", {{"model", "a"}, {"role", "long"}}),
                                        routeRecord("used", {{"model", "a"}, {"role", "chat"}})});
    CHECK(assign(kDataCentre, *catalogue, {onlyEngine}).engines.empty());
}

TEST_CASE("a new version is rolled out one engine at a time, and in place on a route's only engine")
{
    const auto catalogue = catalogueOf(
            {deploymentRecord("d", {{"model", "a"}, {"modelVersion", "2"}, {"replicas", 2}}),
             routeRecord("used", {{"model", "a"}})});
    std::vector<EngineView> engines{convergedEngine("e1", "a"), convergedEngine("e2", "a")};
    CHECK(idsOf(assign(kDataCentre, *catalogue, engines)) == Ids{"e1"});
    engines[0].desired->version = "2";
    CHECK(idsOf(assign(kDataCentre, *catalogue, engines)) == Ids{"e1"});
    engines[0].loaded->version = "2";
    CHECK(idsOf(assign(kDataCentre, *catalogue, engines)) == Ids{"e1", "e2"});
    CHECK(idsOf(assign(kDataCentre, *catalogue, {convergedEngine("e1", "a")})) == Ids{"e1"});
}

TEST_CASE("only engines named in the record are used, and none that is leaving or unknown")
{
    const auto catalogue = catalogueOf({deploymentRecord(
            "d", {{"model", "a"}, {"replicas", 9}, {"upstreams", {"e2", "e3", "e4"}}})});
    std::vector<EngineView> engines{convergedEngine("e1", "b"), convergedEngine("e2", "b"),
                                    convergedEngine("e3", "b"), convergedEngine("e4", "b")};
    engines[2].engine.isLeaving = true;
    engines[3].desired.reset();
    const auto assignments = assign(kDataCentre, *catalogue, engines);
    CHECK(idsOf(assignments) == Ids{"e2"});
    CHECK(assignments.missing.at("d") == 8);
    CHECK(assignments.heldByRoutes.empty());
}
