#include "base/Base.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssop::base;

namespace {

constexpr int kMaxJsonDepth = 64;

std::string nested(int depth)
{
    const auto n = static_cast<std::size_t>(depth);
    return std::string(n, '[') + std::string(n, ']');
}

} // namespace

TEST_CASE("JSON is read up to a bound of levels, so that it can be written out again")
{
    const auto deepest = parseJson(nested(kMaxJsonDepth));
    REQUIRE(deepest);
    CHECK(deepest->dump() == nested(kMaxJsonDepth));
    CHECK_FALSE(parseJson(nested(kMaxJsonDepth + 1)));
    CHECK_FALSE(parseJson("{\"a\":" + nested(500'000) + "}"));
}

TEST_CASE("brackets within text are not levels")
{
    const std::string text = "\"\\\"" + std::string(1'000, '[') + "\"";
    CHECK(parseJson(text));
    const std::string flat = "[[],{}" + std::string(1'000, ' ') + ",\"[[\"]";
    CHECK(parseJson(flat));
    std::string wide = "[[]";
    for (int i = 0; i < 1'000; ++i)
        wide += ",[]";
    CHECK(parseJson(wide + "]"));
}
