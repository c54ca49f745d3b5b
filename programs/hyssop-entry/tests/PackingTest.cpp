#include "Packing.h"

#include <catch2/catch.hpp>

#include <limits>
#include <vector>

using namespace hyssop::entry;

TEST_CASE("packed values are read back as written, including the limits of their ranges")
{
    constexpr auto kLow = std::numeric_limits<std::int64_t>::min();
    constexpr auto kHigh = std::numeric_limits<std::int64_t>::max();
    const std::vector<std::int64_t> numbers{0, 1, -1, 127, 128, kHigh, kLow, kHigh, 5, kLow, 0};
    const std::vector<std::string> names{"engine-1", "engine-12", "", "engine-2", "engine-2", "x"};
    PackWriter writer;
    std::int64_t last = 0;
    for (const std::int64_t number : numbers) {
        writer.delta(number, last);
        writer.varint(static_cast<std::uint64_t>(number));
        writer.fixed32(static_cast<std::uint32_t>(number));
    }
    for (const std::string &name : names)
        writer.prefixCompressed(name);
    const std::string bytes = writer.take();
    PackReader reader(bytes);
    last = 0;
    for (const std::int64_t number : numbers) {
        CHECK(reader.delta(last) == number);
        CHECK(reader.varint() == static_cast<std::uint64_t>(number));
        CHECK(reader.fixed32() == static_cast<std::uint32_t>(number));
    }
    for (const std::string &name : names)
        CHECK(reader.prefixCompressed() == name);
    CHECK_FALSE(reader.hasMore());
    CHECK_FALSE(reader.isMalformed());
}

TEST_CASE("truncated bytes, lengths beyond the end and unterminated numbers are malformed")
{
    PackReader truncated(std::string_view("\x05"
                                          "ab",
                                          3));
    CHECK(truncated.string().empty());
    CHECK(truncated.isMalformed());
    PackReader badPrefix(std::string_view("\x01\x00", 2));
    CHECK(badPrefix.prefixCompressed().empty());
    CHECK(badPrefix.isMalformed());
    const std::string endless(20, '\xff');
    PackReader numbers(endless);
    CHECK(numbers.varint() == 0);
    CHECK(numbers.isMalformed());
    PackReader cut(std::string_view("ab", 2));
    CHECK(cut.fixed32() != 0xffff'ffff);
    CHECK(cut.isMalformed());
    CHECK_FALSE(cut.hasMore());
}
