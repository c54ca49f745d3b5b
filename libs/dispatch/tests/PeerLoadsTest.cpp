#include "PeerLoads.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::dispatch;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const base::UpstreamId kFirst{"a"};
const base::UpstreamId kSecond{"b"};

fleet::LoadUpdate update(const std::string &host, std::int64_t startId, std::int64_t sequence,
                         bool isSnapshot, std::vector<fleet::UpstreamLoad> upstreams)
{
    return {base::HostId(host), isSnapshot, std::move(upstreams), startId, sequence};
}

} // namespace

TEST_CASE(
        "an update does not touch upstreams that it does not concern, however many hosts there are")
{
    PeerLoads loads;
    for (int n = 0; n < 300; ++n)
        loads.apply(update("h" + std::to_string(n), 1, 1, true,
                           {{base::UpstreamId("u" + std::to_string(n)), 1, {}, 0, 0}}),
                    kStart);
    CHECK(loads.apply(update("h7", 1, 2, true, {{kFirst, 2, {}, 0, 0}}), kStart)
          == std::set{kFirst, base::UpstreamId("u7")});
    CHECK(loads.totalAt(kFirst).requests == 2);
    CHECK(loads.totalAt(base::UpstreamId("u7")).requests == 0);
    CHECK(loads.totalAt(base::UpstreamId("u8")).requests == 1);
    CHECK(loads.removeExpired(kStart + Millis(100)).empty());
}

TEST_CASE("an update that a later one has overtaken changes nothing")
{
    PeerLoads loads;
    loads.apply(update("h", 1, 5, false, {{kFirst, 3, {}, 0, 0}}), kStart);
    loads.apply(update("h", 1, 4, false, {{kFirst, 9, {}, 0, 0}}), kStart);
    loads.apply(update("h", 1, 4, true, {}), kStart);
    loads.apply(update("h", 1, 5, false, {{kFirst, 9, {}, 0, 0}}), kStart);
    CHECK(loads.totalAt(kFirst).requests == 3);
}

TEST_CASE("a restarted host's earlier load does not stay, nor does a late update bring it back")
{
    PeerLoads loads;
    loads.apply(update("h", 1, 50, true, {{kFirst, 3, {}, 0, 0}}), kStart);
    loads.apply(update("h", 2, 1, true, {{kSecond, 1, {}, 0, 0}}), kStart);
    CHECK(loads.totalAt(kFirst).requests == 0);
    loads.apply(update("h", 1, 51, false, {{kFirst, 4, {}, 0, 0}}), kStart);
    CHECK(loads.totalAt(kFirst).requests == 0);
    CHECK(loads.totalAt(kSecond).requests == 1);
}

TEST_CASE("memory held for others at an engine without requests counts until it is given back")
{
    PeerLoads loads;
    loads.apply(update("h", 1, 1, false, {{kFirst, 0, base::Tokens(70), 0, 0}}), kStart);
    CHECK(loads.totalAt(kFirst).kvTokens.count() == 70);
    loads.apply(update("h", 1, 2, false, {{kFirst, 0, {}, 0, 0}}), kStart);
    CHECK(loads.totalAt(kFirst).kvTokens.count() == 0);
}
