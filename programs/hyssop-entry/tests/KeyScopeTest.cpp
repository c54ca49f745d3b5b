#include "KeyScope.h"
#include "ClaimStateMachine.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssop;
using namespace hyssop::entry;

TEST_CASE("a key with the prefix given to a caller belongs to the home group of that scope")
{
    const base::DataCentreId here("hall-a");
    CHECK(nlohmann::json::parse(scopeQueryJson(here)).at("dataCentre") == "hall-a");
    const auto response = scopeResponse(here, R"({"incarnation":"77","confirmed":true})");
    REQUIRE(response);
    const auto body = nlohmann::json::parse(*response);
    CHECK(body.at("scope") == "77");
    const std::string key = body.at("key_prefix").get<std::string>() + "order-17";
    CHECK(groupForKey(key) == "home-hall-a");
    CHECK(ledger::parseHomeScope(key)->incarnation == 77);
}

TEST_CASE("a malformed answer gives no scope")
{
    const base::DataCentreId here("hall-a");
    for (const char *answer : {"", "[]", "{}", R"({"incarnation":77})"})
        CHECK_FALSE(scopeResponse(here, answer));
}
