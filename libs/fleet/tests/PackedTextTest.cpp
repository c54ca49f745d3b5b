#include "fleet/Fleet.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::fleet;

namespace {

/// A source text with \a routes routes, as operators send them.
std::string sourceText(int routes)
{
    std::string text = R"({"Version":7,"Routes":[)";
    for (int n = 0; n < routes; ++n)
        text += R"({"Name":"r-)" + std::to_string(n * 7'919)
                + R"(","Host":"site.example","PathPrefix":"/p)" + std::to_string(n * 104'729)
                + R"(/","Kind":"idempotent","TimeoutMs":2000,"TargetLatencyMs":100},)";
    return text + "]}";
}

} // namespace

TEST_CASE("a packed source text unpacks to the same text")
{
    for (const int routes : {0, 1, 2'000}) {
        const std::string text = sourceText(routes);
        const std::string packed = compressText(text);
        const auto unpacked = decompressText(packed);
        REQUIRE(unpacked);
        CHECK(*unpacked == text);
    }
    CHECK(decompressText(compressText("")) == "");
}

TEST_CASE("a large packed configuration fits the bandwidth for a hundred hosts")
{
    // One control host sends 170 Mbit/s for 2 s. Heartbeats and answers need bandwidth as well.
    constexpr std::size_t kMaxSentBytes = std::size_t(170) * 1'000'000 / 8 * 2;
    CHECK(compressText(sourceText(2'000)).size() * 100 < kMaxSentBytes / 4);
}

TEST_CASE("an unpacked source text is returned unchanged")
{
    CHECK(decompressText(R"({"Version":1})") == R"({"Version":1})");
    CHECK(decompressText("") == "");
}

TEST_CASE("corrupted bytes do not unpack to the source text")
{
    const std::string packed = compressText(sourceText(50));
    CHECK_FALSE(decompressText(packed.substr(0, packed.size() / 2)));
    std::string changed = packed;
    changed[packed.size() / 2] = static_cast<char>(changed[packed.size() / 2] ^ 0x55);
    const auto unpacked = decompressText(changed);
    CHECK((!unpacked || *unpacked != sourceText(50)));
    CHECK_FALSE(decompressText("\x78"));
}
