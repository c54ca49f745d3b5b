#include "fleet/Fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssop;
using namespace hyssop::fleet;
using base::Millis;

TEST_CASE("a permit request keeps all fields on its way")
{
    PermitRequest request;
    request.key = {base::HostId("e"), 7, 9};
    request.service = base::ServiceId("s");
    request.route = "route";
    request.prefillMs = 900;
    request.maxWait = Millis(2'000);
    request.lateAfter = Millis(1'500);
    request.isOversized = true;
    request.isRelease = true;
    request.isPrefilled = true;
    request.engineCount = 40;
    request.withoutPermit = {3, 5};
    const auto decoded = decodePermitRequest(encode(request));
    REQUIRE(decoded);
    CHECK(decoded->key == request.key);
    CHECK(decoded->service == request.service);
    CHECK(decoded->route == "route");
    CHECK(decoded->prefillMs == 900);
    CHECK(decoded->maxWait == Millis(2'000));
    CHECK(decoded->lateAfter == Millis(1'500));
    CHECK(decoded->isOversized);
    CHECK(decoded->isRelease);
    CHECK(decoded->isPrefilled);
    CHECK(decoded->engineCount == 40);
    CHECK(decoded->withoutPermit.served == 3);
    CHECK(decoded->withoutPermit.ended == 5);
}

TEST_CASE("a permit request of a host of an older version is understood")
{
    const std::string bytes =
            base::toCbor(nlohmann::json::array({"e", 7, 9, "s", 900, 2'000, 1'500, false, true}));
    const auto decoded = decodePermitRequest(bytes);
    REQUIRE(decoded);
    CHECK(decoded->prefillMs == 900);
    CHECK(decoded->isOversized);
    CHECK(decoded->route.empty());
    CHECK(decoded->engineCount == 0);
    CHECK(decoded->withoutPermit.ended == 0);
}
