#include "records/Records.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::records;

TEST_CASE("a file with several documents is parsed into typed records")
{
    const auto records = readYaml("a.yaml", "schema: 1\nkind: team\nname: shop\nversion: 1\n"
                                            "spec: {weight: 3}\n---\n"
                                            "schema: 2\nkind: route\nname: chat\nversion: 1\n"
                                            "spec:\n  model: m\n  deadlinesMs: {urgent: 5000}\n");
    REQUIRE(records);
    REQUIRE(records->size() == 2);
    CHECK(readTeam(records->at(0))->weight == 3);
    CHECK(readRoute(records->at(1))->deadlineFor(Urgency::Urgent) == base::Millis(5000));
}

TEST_CASE("an error names file, line and field")
{
    const auto records = readYaml("b.yaml", "schema: 1\nkind: team\nname: shop\nversion: 1\n"
                                            "spec:\n  maxRequests: 5\n  weight: heavy\n");
    REQUIRE_FALSE(records);
    const RecordError &error = records.error().front();
    CHECK(error.file == "b.yaml");
    CHECK(error.line == 7);
    CHECK(error.field == "spec.weight");
}

TEST_CASE("unknown fields survive a JSON round trip")
{
    const auto records = readYaml("c.yaml", "schema: 1\nkind: team\nname: shop\nversion: 1\n"
                                            "spec: {weight: 3, colour: blue}\n");
    REQUIRE(records);
    const auto again = recordFromJson(toJson(records->front()));
    REQUIRE(again);
    CHECK(*again == records->front());
    CHECK(again->spec.find("colour") != std::string::npos);
}

TEST_CASE("a record with an unsupported schema leaves the last readable one in force")
{
    Record record{Kind::Team, "shop", 1, Version(1), R"({"weight":7})"};
    const auto first = Catalogue::build({record}, nullptr);
    record.schema = kNewestSchema + 1;
    record.version = Version(2);
    const auto second = Catalogue::build({record}, first.get());
    REQUIRE(second->team(base::TeamId("shop")));
    CHECK(second->team(base::TeamId("shop"))->weight == 7);
    CHECK(second->unreadableRecords() == std::vector<std::string>{"team/shop"});
}

TEST_CASE("a diff names each changed field")
{
    const Record before{Kind::Team, "shop", 1, Version(1), R"({"weight":7})"};
    const Record after{Kind::Team, "shop", 1, Version(2), R"({"weight":8})"};
    const auto changes = diff(before, after);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].field == "/spec/weight");
    CHECK(changes[0].after == "8");
}

TEST_CASE("the newest readable version of a record is in force without a previous catalogue")
{
    const Record old{Kind::Team, "shop", 1, Version(4), R"({"weight":7})"};
    const Record tooNew{Kind::Team, "shop", kNewestSchema + 1, Version(5), R"({"weight":9})"};
    const auto catalogue = Catalogue::build({old, tooNew}, nullptr);
    REQUIRE(catalogue->team(base::TeamId("shop")));
    CHECK(catalogue->team(base::TeamId("shop"))->weight == 7);
    CHECK(catalogue->unreadableRecords() == std::vector<std::string>{"team/shop"});
}

TEST_CASE("a probably misspelt field gives a warning with its line, other unknown fields do not")
{
    std::vector<RecordError> warnings;
    const auto records = readYaml("d.yaml",
                                  "schema: 1\nkind: team\nname: shop\nversion: 1\n"
                                  "spec:\n  wieght: 3\n  maxrequests: 5\n  colour: blue\n",
                                  &warnings);
    REQUIRE(records);
    REQUIRE(warnings.size() == 2);
    CHECK(warnings[0].text()
          == "d.yaml:7: spec.maxrequests: unknown field; did you mean maxRequests?");
    CHECK(warnings[1].line == 6);
}

TEST_CASE("the voters of a control group are parsed, and an error names the voter")
{
    const std::string head = "schema: 1\nkind: control-group\nname: global\nversion: 1\nspec:\n"
                             "  voters:\n"
                             "  - {host: a, address: '127.0.0.1:7100', dataCentre: x}\n";
    const auto good = readYaml("g.yaml", head);
    REQUIRE(good);
    const auto group = readControlGroup(good->front());
    REQUIRE(group);
    REQUIRE(group->voters.size() == 1);
    CHECK(group->voters[0].address == base::Endpoint{"127.0.0.1", 7100});

    const auto twice =
            readYaml("g.yaml", head + "  - {host: a, address: '127.0.0.2:7100', dataCentre: y}\n");
    REQUIRE_FALSE(twice);
    CHECK(twice.error().front().field == "spec.voters.1.host");
    CHECK(twice.error().front().line == 8);
    CHECK_FALSE(readYaml("g.yaml", head + "  - {host: b, address: nowhere, dataCentre: y}\n"));
    CHECK_FALSE(readControlGroup({Kind::ControlGroup, "global", 1, Version(1), "{}"}));
}

TEST_CASE("a deployment is parsed and validated")
{
    Record record{Kind::Deployment, "saga", 1, Version(1),
                  R"({"model":"saga","dataCentre":"x","replicas":3,"fencing":"ignored"})"};
    const auto deployment = readDeployment(record);
    REQUIRE(deployment);
    CHECK(deployment->replicas == 3);
    CHECK(deployment->fencing == Fencing::Ignored);
    CHECK(deployment->upstreams.empty());
    CHECK_FALSE(deployment->mayUnloadLast);
    record.spec = R"({"model":"saga","dataCentre":"x","fencing":"maybe"})";
    CHECK(validate(record)->field == "spec.fencing");
    record.spec = R"({"model":"saga","dataCentre":"x","upstreams":["e1"],"mayUnloadLast":true})";
    CHECK(readDeployment(record)->upstreams == std::vector{base::UpstreamId("e1")});
    CHECK(readDeployment(record)->mayUnloadLast);
    record.spec = R"({"model":"saga","dataCentre":"x","upstreams":"e1"})";
    CHECK(validate(record)->field == "spec.upstreams");
}

TEST_CASE("a record that is too large, too deeply nested or badly named is rejected")
{
    Record record{Kind::Team, "shop", 1, Version(1), "{}"};
    CHECK_FALSE(validate(record));
    record.name = "a/b";
    CHECK(validate(record)->field == "name");
    record.name = "shop";
    record.spec = R"({"x":")" + std::string(kMaxSpecBytes, 'a') + "\"}";
    CHECK(validate(record)->message == "larger than 64 KiB");
    std::string deep = "1";
    for (int n = 0; n <= kMaxSpecDepth; ++n)
        deep.insert(0, R"({"x":)").append("}");
    record.spec = deep;
    CHECK(validate(record)->message == "nested too deeply");
}

TEST_CASE("names such as no, on and y are strings; only true and false are booleans")
{
    const auto records = readYaml("n.yaml", "schema: 1\nkind: route\nname: no\nversion: 1\n"
                                            "spec: {model: y, role: on, mayRepeat: false}\n");
    REQUIRE(records);
    CHECK(records->front().name == "no");
    const auto route = readRoute(records->front());
    REQUIRE(route);
    CHECK(route->role == "on");
    CHECK_FALSE(route->isRetrySafe);
}
