#include "base/Base.h"

#include <catch2/catch.hpp>

#include <array>

using namespace hyssop::base;

namespace {

SettingsBuilder sample()
{
    SettingsBuilder builder("sample", "A sample program.");
    builder.number("queue", "Queue length", 10, 1, 100);
    builder.endpoint("listen", "Where to listen", "127.0.0.1:0");
    builder.toggle("verbose", "More lines");
    return builder;
}

const char *noEnvironment(const char *)
{
    return nullptr;
}

} // namespace

TEST_CASE("a flag goes before the environment and the environment before the default")
{
    const auto env = [](const char *name) -> const char * {
        return std::string_view(name) == "HYSSOPSPAN_QUEUE" ? "20" : nullptr;
    };
    const std::array<const char *, 1> bare{"sample"};
    const std::array<const char *, 3> flagged{"sample", "--queue", "30"};
    CHECK(sample().parse(1, bare.data(), noEnvironment)->number("queue") == 10);
    CHECK(sample().parse(1, bare.data(), env)->number("queue") == 20);
    CHECK(sample().parse(3, flagged.data(), env)->number("queue") == 30);
}

TEST_CASE("a value out of range names its flag")
{
    const std::array<const char *, 3> args{"sample", "--queue", "101"};
    const auto settings = sample().parse(3, args.data(), noEnvironment);
    REQUIRE_FALSE(settings);
    CHECK(settings.error().flag == "queue");
    const std::array<const char *, 3> address{"sample", "--listen", "nowhere"};
    CHECK(sample().parse(3, address.data(), noEnvironment).error().flag == "listen");
}

TEST_CASE("an unknown flag is refused")
{
    const std::array<const char *, 2> args{"sample", "--nonsense"};
    CHECK_FALSE(sample().parse(2, args.data(), noEnvironment));
}
