#include "membership/Membership.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hyssop;
using namespace hyssop::membership;

namespace {

const std::string kValidAnnouncement =
        R"({"id":"e1","incarnation":3,"sequence":4,"kind":"engine",)"
        R"("address":"127.0.0.1:9","dataCentre":"a","role":"","models":["m"],)"
        R"("kvTokens":1000,"checksFencing":true,"state":"serving","ttlMs":500})";

} // namespace

TEST_CASE("a mutated announcement is either rejected with an error or parsed completely")
{
    REQUIRE(parseAnnouncement(kValidAnnouncement));
    const auto holds = rc::check("mutated announcements", [] {
        std::string text = kValidAnnouncement;
        const auto changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        }
        text.resize(*rc::gen::inRange<std::size_t>(text.size() / 2, text.size() + 1));
        const auto parsed = parseAnnouncement(text);
        if (!parsed)
            return !parsed.error().message.empty();
        const bool isBounded = parsed->ttl.count() >= 1 && parsed->sequence >= 0;
        const auto again = parseAnnouncement(toJson(*parsed));
        return isBounded && !parsed->upstream.id.isEmpty() && again
               && toJson(*again) == toJson(*parsed);
    });
    CHECK(holds);
}
