#include "membership/Membership.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace hyssop;
using namespace hyssop::membership;
using namespace std::chrono_literals;

namespace {

constexpr base::Millis kRoundInterval{250};

/// One simulated entry host.
struct TestHost
{
    TestHost(int n, std::uint64_t seed)
        : address{"127.0.70.1", static_cast<std::uint16_t>(1000 + n)}
        , hosts({base::HostId("entry-" + std::to_string(100 + n)), base::Incarnation(1), 0,
                 address})
        , protocol(options(seed + static_cast<std::uint64_t>(n)), &hosts, &directory)
    { }
    static GossipOptions options(std::uint64_t seed)
    {
        GossipOptions options;
        options.seeds = {{"127.0.70.1", 1000}};
        options.seed = seed;
        return options;
    }

    base::Endpoint address;
    Directory directory;
    HostTable hosts;
    GossipProtocol protocol;
    bool isUp = true;
};

/// Simulates gossiping hosts; a message is delivered one round after it was sent.
class Cluster
{
public:
    Cluster(int hosts, std::uint64_t seed)
        : m_rng(seed)
    {
        for (int n = 0; n < hosts; ++n)
            all.push_back(std::make_unique<TestHost>(n, seed));
    }
    void announce(int upstream, bool isLeaving)
    {
        Announcement it;
        it.upstream.id = base::UpstreamId("engine-" + std::to_string(upstream));
        it.upstream.incarnation = base::Incarnation(1);
        it.upstream.isLeaving = isLeaving;
        it.sequence = ++m_sequence;
        it.address = {"127.0.70.9", 9};
        it.ttl = 2'000ms;
        // An upstream announces itself to one host, chosen at random.
        const auto n = std::uniform_int_distribution<std::size_t>(0, all.size() - 1)(m_rng);
        if (all[n]->isUp)
            all[n]->protocol.announce(it, now);
    }
    void runRound()
    {
        now += kRoundInterval;
        const auto delivered = std::exchange(m_inFlight, {});
        for (const GossipProtocol::Outgoing &outgoing : delivered) {
            const auto n = static_cast<std::size_t>(outgoing.to.port - 1000);
            if (n < all.size() && all[n]->isUp)
                all[n]->protocol.receive(outgoing.message, now);
        }
        for (const auto &host : all) {
            if (!host->isUp)
                continue;
            removedCount += host->directory.tick(now).size();
            host->hosts.tick(now);
            for (GossipProtocol::Outgoing &outgoing : host->protocol.runRound(now))
                m_inFlight.push_back(std::move(outgoing));
        }
    }
    /// Runs \a rounds rounds; each of \a upstreams announces itself every other round.
    void runRounds(int rounds, int upstreams, bool firstLeaves = false)
    {
        for (int i = 0; i < rounds; ++i) {
            for (int n = 0; n < upstreams; ++n) {
                if ((n + i) % 2 == 0)
                    announce(n, firstLeaves && n == 0);
            }
            runRound();
        }
    }

    std::vector<std::unique_ptr<TestHost>> all;
    base::TimePoint now{1000s};
    std::size_t removedCount = 0;

private:
    base::Rng m_rng;
    std::vector<GossipProtocol::Outgoing> m_inFlight;
    std::int64_t m_sequence = 0;
};

std::size_t hostsKnowing(const Cluster &cluster, bool leaving)
{
    std::size_t n = 0;
    for (const auto &host : cluster.all) {
        const Announcement *it = host->directory.find(base::UpstreamId("engine-0"));
        n += host->isUp && it && it->upstream.isLeaving == leaving ? 1 : 0;
    }
    return n;
}

} // namespace

TEST_CASE("hosts that know only a seed discover each other and every upstream")
{
    for (const int hosts : {2, 7, 39}) {
        Cluster cluster(hosts, 11);
        cluster.runRounds(60, 30);
        // Before all hosts know each other, an upstream may expire at some of them.
        cluster.removedCount = 0;
        cluster.runRounds(120, 30);
        for (const auto &host : cluster.all) {
            CHECK(host->hosts.live().size() == cluster.all.size());
            CHECK(host->directory.size() == 30);
        }
        CHECK(cluster.removedCount == 0);
    }
}

TEST_CASE("with usesSeedsOnly, hosts send only to their seeds, requests included")
{
    HostTable hosts({base::HostId("a"), base::Incarnation(1), 0, {"127.0.70.1", 1}});
    Directory directory;
    GossipOptions options;
    options.seeds = {{"127.0.70.1", 7}};
    options.usesSeedsOnly = true;
    GossipProtocol protocol(options, &hosts, &directory);
    MembershipMessage message;
    message.sender = {base::HostId("b"), base::Incarnation(1), 1, {"127.0.70.1", 2}};
    message.digests = {{base::UpstreamId("e"), 1, 1}};
    protocol.receive(message, base::TimePoint(1000s));
    bool hasRequest = false;
    for (const GossipProtocol::Outgoing &out : protocol.runRound(base::TimePoint(1000s))) {
        CHECK(out.to == options.seeds[0]);
        hasRequest = hasRequest || !out.message.requestedIds.empty();
    }
    CHECK(hasRequest);
}

TEST_CASE("every host knows within 3 seconds that an upstream is leaving")
{
    const int hosts = GENERATE(2, 4, 8, 9, 20, 39);
    for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        INFO("seed " << seed << " hosts " << hosts);
        Cluster cluster(hosts, seed);
        cluster.runRounds(120, 88);
        REQUIRE(hostsKnowing(cluster, false) == static_cast<std::size_t>(hosts));
        cluster.announce(0, true);
        cluster.runRounds(12, 88, true);
        CHECK(hostsKnowing(cluster, true) == static_cast<std::size_t>(hosts));
    }
}

TEST_CASE("a leaving upstream is known everywhere within 3 seconds while all upstreams change")
{
    const int hosts = GENERATE(2, 8, 39);
    Cluster cluster(hosts, 3);
    cluster.runRounds(120, 88);
    for (int n = 1; n < 88; ++n)
        cluster.announce(n, true);
    cluster.announce(0, true);
    cluster.runRounds(12, 88, true);
    CHECK(hostsKnowing(cluster, true) == static_cast<std::size_t>(hosts));
}

TEST_CASE("in a small data centre each host is sent to directly at least once per second")
{
    Cluster cluster(8, 5);
    cluster.runRounds(60, 16);
    std::map<std::uint16_t, base::TimePoint> lastSentAt;
    for (int round = 0; round < 100; ++round) {
        cluster.now += kRoundInterval;
        for (const GossipProtocol::Outgoing &out : cluster.all[0]->protocol.runRound(cluster.now)) {
            CHECK((lastSentAt[out.to.port] == base::TimePoint()
                   || cluster.now - lastSentAt[out.to.port] <= 1'250ms));
            lastSentAt[out.to.port] = cluster.now;
        }
    }
    // The seed is counted too; here it is the sending host itself.
    CHECK(lastSentAt.size() == 7 + 1);
}

TEST_CASE("an upstream that keeps announcing itself is not removed while hosts die")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        INFO("seed " << seed);
        Cluster cluster(39, seed);
        cluster.runRounds(120, 88);
        cluster.removedCount = 0;
        // Announcements to dead hosts are lost, and so is their gossip.
        for (std::size_t n = 5; n < 9; ++n)
            cluster.all[n]->isUp = false;
        cluster.runRounds(120, 88);
        CHECK(cluster.removedCount == 0);
        CHECK(cluster.all[0]->hosts.live().size() == 35);
    }
}

TEST_CASE("a removed upstream stays removed although hosts still relay its last announcements")
{
    Cluster cluster(39, 7);
    cluster.runRounds(120, 10);
    cluster.removedCount = 0;
    // Engine 9 stops announcing itself.
    cluster.runRounds(200, 9);
    for (const auto &host : cluster.all)
        CHECK_FALSE(host->directory.find(base::UpstreamId("engine-9")));
    CHECK(cluster.removedCount == 39);
}
