#include "Packing.h"

#include <catch2/catch.hpp>

#include <limits>
#include <vector>

using namespace hyssop::entry;

TEST_CASE("packed rows are read as they were written, at the ends of their ranges")
{
    constexpr auto kLow = std::numeric_limits<std::int64_t>::min();
    constexpr auto kHigh = std::numeric_limits<std::int64_t>::max();
    const std::vector<std::int64_t> numbers{0, 1, -1, 127, 128, kHigh, kLow, kHigh, 5, kLow, 0};
    const std::vector<std::string> names{"engine-1", "engine-12", "", "engine-2", "engine-2", "x"};
    PackWriter writer;
    std::int64_t last = 0;
    for (const std::int64_t number : numbers) {
        writer.difference(number, last);
        writer.number(static_cast<std::uint64_t>(number));
        writer.fixed(static_cast<std::uint32_t>(number));
    }
    for (const std::string &name : names)
        writer.name(name);
    const std::string bytes = writer.take();
    PackReader reader(bytes);
    last = 0;
    for (const std::int64_t number : numbers) {
        CHECK(reader.difference(last) == number);
        CHECK(reader.number() == static_cast<std::uint64_t>(number));
        CHECK(reader.fixed() == static_cast<std::uint32_t>(number));
    }
    for (const std::string &name : names)
        CHECK(reader.name() == name);
    CHECK_FALSE(reader.hasMore());
    CHECK_FALSE(reader.isFaulty());
}

TEST_CASE("bytes that end early, lengths beyond the end and endless numbers are faults")
{
    PackReader early(std::string_view("\x05"
                                      "ab",
                                      3));
    CHECK(early.text().empty());
    CHECK(early.isFaulty());
    PackReader shares(std::string_view("\x01\x00", 2));
    CHECK(shares.name().empty());
    CHECK(shares.isFaulty());
    const std::string endless(20, '\xff');
    PackReader numbers(endless);
    CHECK(numbers.number() == 0);
    CHECK(numbers.isFaulty());
    PackReader cut(std::string_view("ab", 2));
    CHECK(cut.fixed() != 0xffff'ffff);
    CHECK(cut.isFaulty());
    CHECK_FALSE(cut.hasMore());
}
