#include "ConfigurationHistory.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::registry;
using fleet::ConfigurationVersion;

namespace {

constexpr int kRoutes = 1'440;

std::string text(int version)
{
    std::string text = R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)";
    for (int n = 0; n < kRoutes; ++n)
        text += R"({"Name":"route-)" + std::to_string(n * 7'919 % 100'003) + R"(","PathPrefix":"/)"
                + std::to_string(n * 104'729 % 1'000'003) + R"(/","TimeoutMs":)"
                + std::to_string(n == version ? 900 : 800) + "},";
    return text + "{}]}";
}

} // namespace

TEST_CASE(
        "versions in quick succession do not cost the leader the whole text for each of 300 hosts")
{
    constexpr std::size_t kHosts = 300;
    ConfigurationHistory history;
    std::vector<std::string> held(kHosts);
    std::vector<int> versions(kHosts, 0);
    std::size_t sentBytes = 0;
    std::size_t wholeBytes = 0;
    for (int version = 1; version <= 25; ++version) {
        const std::string newest = text(version);
        const std::size_t packedSize = fleet::compressText(newest).size();
        history.add(ConfigurationVersion(version), newest);
        for (std::size_t host = 0; host < kHosts; ++host) {
            // Some hosts skip versions.
            if (version % static_cast<int>(host % 3 + 1) != 0)
                continue;
            wholeBytes += packedSize;
            const std::string &delta = history.deltaFrom(ConfigurationVersion(versions[host]));
            sentBytes += delta.empty() ? packedSize : delta.size();
            REQUIRE((delta.empty() || fleet::applyDelta(held[host], delta) == newest));
            held[host] = newest;
            versions[host] = version;
        }
    }
    CAPTURE(sentBytes, wholeBytes);
    // Each host gets the whole text once, and then what has changed.
    CHECK(sentBytes < wholeBytes / 8);
}

TEST_CASE("a version that is not kept any more has no delta")
{
    ConfigurationHistory history;
    CHECK(history.deltaFrom(ConfigurationVersion(1)).empty());
    for (int version = 1; version <= 60; ++version)
        history.add(ConfigurationVersion(version), "text " + std::to_string(version));
    CHECK(history.deltaFrom(ConfigurationVersion(1)).empty());
    CHECK_FALSE(history.deltaFrom(ConfigurationVersion(59)).empty());
    // After a log was reopened, an earlier version is the newest again.
    history.add(ConfigurationVersion(50), "text 50");
    CHECK(history.deltaFrom(ConfigurationVersion(59)).empty());
}
