#include "upstream/Upstream.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hyssop::upstream;

namespace {

std::vector<std::string> parse(const std::string &bytes, std::size_t step)
{
    SseParser parser;
    std::vector<std::string> events;
    for (std::size_t i = 0; i < bytes.size(); i += step)
        parser.feed(std::string_view(bytes).substr(i, step),
                    [&](std::string_view event) { events.emplace_back(event); });
    return events;
}

} // namespace

TEST_CASE("events do not depend on how the bytes are split")
{
    const std::string bytes =
            "data: one\n\n: comment\n\ndata: two\r\ndata: lines\r\n\r\ndata:[DONE]\n\n";
    const std::vector<std::string> expected{"one", "two\nlines", "[DONE]"};
    for (std::size_t step = 1; step <= bytes.size(); ++step)
        CHECK(parse(bytes, step) == expected);
}

TEST_CASE("arbitrary bytes give the same events in one piece and byte by byte")
{
    CHECK(rc::check([](const std::string &bytes) {
        RC_ASSERT(parse(bytes, 1) == parse(bytes, bytes.size() + 1));
    }));
}

TEST_CASE("an event above the size limit is rejected")
{
    SseParser parser;
    const std::string endless(SseParser::kMaxEventBytes + 1, 'x');
    CHECK_FALSE(parser.feed(endless, [](std::string_view) {}));
}
