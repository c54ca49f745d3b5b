#include "Gossip.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;

namespace {

constexpr base::Millis kBeat{250};
constexpr int kSeconds = 20;
/// Announcements are sent as news for this long, since no host in the test reports having them.
constexpr int kSettleSeconds = 100;
/// Limit on the control traffic of a host in bytes per second, and the share of one engine's
/// reports.
constexpr std::size_t kControlBound = 23'000;
constexpr std::size_t kFeedBytes = 130;

membership::Announcement announcement(int n, std::int64_t sequence)
{
    membership::Announcement it;
    it.upstream.id = base::UpstreamId("engine-" + std::to_string(n));
    it.upstream.incarnation = base::Incarnation(1'796'331'850'099);
    it.upstream.models = {"model-" + std::to_string(n % 36)};
    it.upstream.kvTokens = base::Tokens(400'000);
    it.sequence = sequence;
    it.address = {"10.0.0.1", 9'000};
    it.ttl = base::Millis(2'000);
    return it;
}

} // namespace

TEST_CASE("a gossip body is decoded as encoded, and truncated bytes are malformed")
{
    GossipBody body;
    body.spread.sender = {base::HostId("a"), base::Incarnation(7), 3, {"127.0.0.1", 8}};
    body.spread.heartbeats = {{base::HostId("b"), base::Incarnation(8), 4, {}}};
    body.spread.announcements = {announcement(1, 2)};
    body.spread.digests = {{base::UpstreamId("engine-2"), 77, 5}};
    body.spread.requestedIds = {base::UpstreamId("engine-3")};
    body.outstanding = {{base::HostId(), base::UpstreamId("engine-1"), base::Tokens(9), 2,
                         base::Tokens(4), base::Tokens(30)}};
    body.handedOver = {{{"127.0.0.1", 9'000}, "/v1/attempts/a1"}};
    const std::string bytes = encodeGossip(body);
    const auto again = decodeGossip(bytes);
    REQUIRE(again);
    CHECK(encodeGossip(*again) == bytes);
    CHECK(again->spread.sender.address == base::Endpoint{"127.0.0.1", 8});
    CHECK(again->handedOver == body.handedOver);
    for (std::size_t n = 0; n < bytes.size(); ++n)
        CHECK_FALSE(decodeGossip(std::string_view(bytes).substr(0, n)));
}

TEST_CASE(
        "gossip and the reports of engines stay within the limit on control traffic at every size")
{
    const int hostCount = GENERATE(2, 4, 8, 20, 39);
    const int upstreams = GENERATE(16, 44, 88);
    const base::TimePoint start{std::chrono::seconds(1'000)};
    membership::HostHeartbeat self{
            base::HostId("entry-1"), base::Incarnation(1'796'331'850'099), 1, {"10.0.1.20", 8'300}};
    membership::HostTable hosts(self);
    membership::Directory directory;
    membership::GossipProtocol spread({}, &hosts, &directory);
    std::int64_t sequence = 100'000;
    std::size_t bytes = 0;
    for (base::TimePoint now = start; now < start + std::chrono::seconds(kSettleSeconds + kSeconds);
         now += kBeat) {
        ++sequence;
        for (int n = 0; n < hostCount; ++n) {
            membership::HostHeartbeat row = self;
            row.id = base::HostId("entry-" + std::to_string(n));
            row.sequence = sequence;
            row.address.port = static_cast<std::uint16_t>(8'000 + n);
            if (row.id != self.id)
                hosts.update(row, now);
        }
        for (int n = 0; n < upstreams; ++n)
            spread.announce(announcement(n, sequence), now);
        for (const auto &out : spread.runRound(now))
            bytes += now < start + std::chrono::seconds(kSettleSeconds)
                             ? 0
                             : encodeGossip({out.message, {}, {}}).size();
    }
    const std::size_t bytesPerSecond = bytes / kSeconds;
    CAPTURE(hostCount, upstreams, bytesPerSecond);
    // Incoming traffic is as large as outgoing traffic.
    CHECK(2 * bytesPerSecond + static_cast<std::size_t>(upstreams) * kFeedBytes < kControlBound);
    CHECK(bytesPerSecond > 0);
}
