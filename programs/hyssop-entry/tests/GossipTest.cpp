#include "Gossip.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;

namespace {

constexpr base::Millis kRoundInterval{250};
constexpr int kSeconds = 20;
/// Each announcement is sent as new for this long, as no host in the test relays it back.
constexpr int kWarmUpSeconds = 100;
/// Limit on the control traffic of a host, and the share of one engine's reports, in bytes per
/// second.
constexpr std::size_t kMaxControlTraffic = 23'000;
constexpr std::size_t kEngineReportTraffic = 130;

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
    body.message.sender = {base::HostId("a"), base::Incarnation(7), 3, {"127.0.0.1", 8}};
    body.message.heartbeats = {{base::HostId("b"), base::Incarnation(8), 4, {}}};
    body.message.announcements = {announcement(1, 2)};
    body.message.digests = {{base::UpstreamId("engine-2"), 77, 5}};
    body.message.requestedIds = {base::UpstreamId("engine-3")};
    body.outstanding = {{base::HostId(), base::UpstreamId("engine-1"), base::Tokens(9), 2,
                         base::Tokens(4), base::Tokens(30)}};
    body.handedOver = {{{"127.0.0.1", 9'000}, "/v1/attempts/a1"}};
    const std::string bytes = encodeGossip(body);
    const auto again = decodeGossip(bytes);
    REQUIRE(again);
    CHECK(encodeGossip(*again) == bytes);
    CHECK(again->message.sender.address == base::Endpoint{"127.0.0.1", 8});
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
    membership::GossipProtocol protocol({}, &hosts, &directory);
    std::int64_t sequence = 100'000;
    std::size_t bytes = 0;
    for (base::TimePoint now = start; now < start + std::chrono::seconds(kWarmUpSeconds + kSeconds);
         now += kRoundInterval) {
        ++sequence;
        for (int n = 0; n < hostCount; ++n) {
            membership::HostHeartbeat heartbeat = self;
            heartbeat.id = base::HostId("entry-" + std::to_string(n));
            heartbeat.sequence = sequence;
            heartbeat.address.port = static_cast<std::uint16_t>(8'000 + n);
            if (heartbeat.id != self.id)
                hosts.update(heartbeat, now);
        }
        for (int n = 0; n < upstreams; ++n)
            protocol.announce(announcement(n, sequence), now);
        for (const auto &out : protocol.runRound(now))
            bytes += now < start + std::chrono::seconds(kWarmUpSeconds)
                             ? 0
                             : encodeGossip({out.message, {}, {}}).size();
    }
    const std::size_t bytesPerSecond = bytes / kSeconds;
    CAPTURE(hostCount, upstreams, bytesPerSecond);
    // Incoming traffic is as large as outgoing traffic.
    CHECK(2 * bytesPerSecond + static_cast<std::size_t>(upstreams) * kEngineReportTraffic
          < kMaxControlTraffic);
    CHECK(bytesPerSecond > 0);
}
