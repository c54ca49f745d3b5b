#include "fleet/Fleet.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace hyssop;
using namespace hyssop::fleet;

namespace {

std::string routeText(int n, int timeoutMs)
{
    return R"({"Name":"r)" + std::to_string(n) + R"(","Host":"h)" + std::to_string(n % 7)
           + R"(.example","PathPrefix":"/p)" + std::to_string(n) + R"(/","TimeoutMs":)"
           + std::to_string(timeoutMs) + "}";
}

std::string configurationText(int version, int routes, int changedRoute = -1)
{
    std::string text = R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)";
    for (int n = 0; n < routes; ++n)
        text += (n > 0 ? "," : "") + routeText(n, n == changedRoute ? 77 : 1'000);
    return text + "]}";
}

} // namespace

TEST_CASE("a change of one route of hundreds costs few bytes, however many routes there are")
{
    for (const int routes : {200, 1'700}) {
        const std::string base = configurationText(1, routes);
        for (const std::string &target :
             {configurationText(2, routes, 50), configurationText(2, routes + 1),
              configurationText(2, routes - 1)}) {
            const std::string delta = makeDelta(base, target);
            CHECK(delta.size() < 400);
            CHECK(applyDelta(base, delta) == target);
        }
    }
}

TEST_CASE("a delta for another base or with damaged bytes gives no text")
{
    const std::string base = configurationText(1, 50);
    const std::string delta = makeDelta(base, configurationText(2, 50, 3));
    CHECK_FALSE(applyDelta(configurationText(1, 50, 4), delta));
    CHECK_FALSE(applyDelta("", delta));
    CHECK_FALSE(applyDelta(base, ""));
    CHECK_FALSE(applyDelta(base, delta.substr(0, delta.size() / 2)));
    using nlohmann::json;
    CHECK_FALSE(applyDelta(base, base::toCbor(json::array({"x", json::array()}))));
    const json outside = json::array({1, std::numeric_limits<std::size_t>::max()});
    CHECK_FALSE(applyDelta(base, base::toCbor(json::array({0, json::array({outside})}))));
}

TEST_CASE("a delta and the packed form keep absent, empty and null lists apart")
{
    const std::string start = R"({"Version":2,"Routes":[])";
    const std::vector<std::string> texts = {start + "}", start + R"(,"Tenants":[]})",
                                            start + R"(,"Tenants":null})",
                                            start + R"(,"Tenants":[{"Name":"t"}]})"};
    for (const std::string &target : texts) {
        CHECK(decompressText(compressText(target)) == target);
        for (const std::string &base : texts)
            CHECK(applyDelta(base, makeDelta(base, target)) == target);
    }
}

TEST_CASE("a delta restores any text")
{
    rc::prop("applyDelta() undoes makeDelta()", [] {
        const auto words = rc::gen::container<std::vector<std::string>>(
                rc::gen::element<std::string>("{a", "},", "b", "}", ",", "{c},", "{d},"));
        const auto join = [](const std::vector<std::string> &list) {
            std::string text;
            for (const std::string &it : list)
                text += it;
            return text;
        };
        const std::string base = join(*words);
        const std::string target = join(*words);
        RC_ASSERT(applyDelta(base, makeDelta(base, target)) == target);
    });
}
