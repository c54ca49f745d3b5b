#include "StartedHosts.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;

TEST_CASE("a list of started hosts is read whole or not at all")
{
    const auto started = parseStartedHosts(
            R"({"revision":4,"hosts":[{"host":"e1","incarnation":1700000000000}]})");
    REQUIRE(started);
    CHECK(started->revision == 4);
    REQUIRE(started->hosts.size() == 1);
    CHECK(started->hosts.front().host == base::HostId("e1"));
    CHECK(started->hosts.front().incarnation.count() == 1'700'000'000'000);
    const auto unchanged = parseStartedHosts(R"({"revision":4})");
    REQUIRE(unchanged);
    CHECK(unchanged->hosts.empty());
    for (const char *answer :
         {"", "4", "[]", "{}", R"({"revision":"4"})", R"({"revision":4,"hosts":{}})",
          R"({"revision":4,"hosts":[7]})", R"({"revision":4,"hosts":[{"host":"e1"}]})",
          R"({"revision":4,"hosts":[{"host":1,"incarnation":2}]})",
          R"({"revision":4,"hosts":[{"host":"e1","incarnation":"2"}]})"})
        CHECK_FALSE(parseStartedHosts(answer));
}
