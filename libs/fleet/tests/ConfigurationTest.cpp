#include "fleet/Fleet.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::fleet;

namespace {

Route route(const char *host, const char *prefix)
{
    Route it;
    it.name = prefix;
    it.host = host;
    it.pathPrefix = prefix;
    it.timeout = base::Millis(100);
    it.services = {{base::ServiceId("s"), 1}};
    return it;
}

Configuration valid()
{
    Configuration it;
    it.services = {{base::ServiceId("s"), "/health", 4, {}}};
    it.routes = {route("h", "/"), route("h", "/a/")};
    it.teams = {{base::TeamId("t"), {"k1", "k2"}, {}}, {base::TeamId("u"), {"k3"}, {}}};
    return it;
}

} // namespace

TEST_CASE("a valid configuration passes and invalid ones are rejected")
{
    CHECK(validate(valid()));
    Configuration it = valid();
    it.routes[0].services = {{base::ServiceId("other"), 1}};
    CHECK(validate(it).error().message.find("other") != std::string::npos);
    it = valid();
    it.routes[1].pathPrefix = "/";
    CHECK_FALSE(validate(it));
    it = valid();
    it.routes[0].services[0].weight = 0;
    CHECK_FALSE(validate(it));
    it = valid();
    it.routes[0].timeout = base::Millis(0);
    CHECK_FALSE(validate(it));
    it = valid();
    it.teams[1].keys = {"k1"};
    CHECK_FALSE(validate(it));
}

TEST_CASE("a request matches the route with the longest prefix of its host")
{
    const RouteTable table(valid());
    CHECK(table.findRoute("H:80", "/a/b")->pathPrefix == "/a/");
    CHECK(table.findRoute("h", "/ab")->pathPrefix == "/");
    CHECK_FALSE(table.findRoute("other", "/a/b"));
    CHECK(table.findTeamByKey("k3")->id.text() == "u");
    CHECK_FALSE(table.findTeamByKey("k4"));
}

TEST_CASE("services are picked in proportion to their weights")
{
    Route it = route("h", "/");
    it.services = {
            {base::ServiceId("a"), 3}, {base::ServiceId("none"), 0}, {base::ServiceId("b"), 1}};
    CHECK(RouteTable::pickService(it, 0.0).text() == "a");
    CHECK(RouteTable::pickService(it, 0.74).text() == "a");
    CHECK(RouteTable::pickService(it, 0.76).text() == "b");
    CHECK(RouteTable::pickService(it, 1.0).text() == "b");
}

TEST_CASE("a call may go to the regions that both its route and its team allow")
{
    const RegionSet none;
    const RegionSet first = std::set<std::string>{"r1"};
    const RegionSet both = std::set<std::string>{"r1", "r2"};
    const RegionSet second = std::set<std::string>{"r2"};
    CHECK_FALSE(intersection(none, none));
    CHECK(intersection(first, none) == first);
    CHECK(intersection(none, second) == second);
    CHECK(intersection(first, both) == first);
    // Two lists without a common region allow no region; they are not the same as no list.
    CHECK(intersection(first, second) == RegionSet(std::set<std::string>()));
    const std::string region = "r1";
    CHECK(allowsRegion(none, nullptr));
    CHECK(allowsRegion(first, &region));
    CHECK_FALSE(allowsRegion(second, &region));
    CHECK_FALSE(allowsRegion(first, nullptr));
    CHECK_FALSE(allowsRegion(intersection(first, second), &region));
}
