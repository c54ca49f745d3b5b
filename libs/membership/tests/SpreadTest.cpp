#include "membership/Membership.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace hyssop;
using namespace hyssop::membership;
using namespace std::chrono_literals;

namespace {

constexpr base::Millis kBeat{250};

/// One entry host of the model.
struct Host
{
    Host(int n, std::uint64_t seed)
        : address{"127.0.70.1", static_cast<std::uint16_t>(1000 + n)}
        , hosts({base::HostId("entry-" + std::to_string(100 + n)), base::Incarnation(1), 0,
                 address})
        , spread(options(seed + static_cast<std::uint64_t>(n)), &hosts, &directory)
    { }
    static SpreadOptions options(std::uint64_t seed)
    {
        SpreadOptions options;
        options.seeds = {{"127.0.70.1", 1000}};
        options.seed = seed;
        return options;
    }

    base::Endpoint address;
    Directory directory;
    HostTable hosts;
    Spread spread;
    bool isUp = true;
};

/// Hosts that tell each other what their spreads decide; a message takes one beat.
class Fleet
{
public:
    Fleet(int hosts, std::uint64_t seed)
        : m_rng(seed)
    {
        for (int n = 0; n < hosts; ++n)
            all.push_back(std::make_unique<Host>(n, seed));
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
        // An upstream tells one host, whichever answers.
        const auto n = std::uniform_int_distribution<std::size_t>(0, all.size() - 1)(m_rng);
        if (all[n]->isUp)
            all[n]->spread.announce(it, now);
    }
    void beat()
    {
        now += kBeat;
        const auto arriving = std::exchange(m_underWay, {});
        for (const Spread::Outgoing &one : arriving) {
            const auto n = static_cast<std::size_t>(one.to.port - 1000);
            if (n < all.size() && all[n]->isUp)
                all[n]->spread.receive(one.message, now);
        }
        for (const auto &host : all) {
            if (!host->isUp)
                continue;
            gone += host->directory.tick(now).size();
            host->hosts.tick(now);
            for (Spread::Outgoing &one : host->spread.beat(now))
                m_underWay.push_back(std::move(one));
        }
    }
    /// Beats on, with \a upstreams announcing themselves every other beat.
    void run(int beats, int upstreams, bool firstLeaves = false)
    {
        for (int i = 0; i < beats; ++i) {
            for (int n = 0; n < upstreams; ++n) {
                if ((n + i) % 2 == 0)
                    announce(n, firstLeaves && n == 0);
            }
            beat();
        }
    }

    std::vector<std::unique_ptr<Host>> all;
    base::TimePoint now{1000s};
    std::size_t gone = 0;

private:
    base::Rng m_rng;
    std::vector<Spread::Outgoing> m_underWay;
    std::int64_t m_sequence = 0;
};

std::size_t knowing(const Fleet &fleet, bool leaving)
{
    std::size_t n = 0;
    for (const auto &host : fleet.all) {
        const Announcement *it = host->directory.find(base::UpstreamId("engine-0"));
        n += host->isUp && it && it->upstream.isLeaving == leaving ? 1 : 0;
    }
    return n;
}

} // namespace

TEST_CASE("hosts that know only a seed learn of each other and of every upstream")
{
    for (const int hosts : {2, 7, 39}) {
        Fleet fleet(hosts, 11);
        fleet.run(60, 30);
        // Until they know each other, hosts may lose what they heard of once.
        fleet.gone = 0;
        fleet.run(120, 30);
        for (const auto &host : fleet.all) {
            CHECK(host->hosts.live().size() == fleet.all.size());
            CHECK(host->directory.size() == 30);
        }
        CHECK(fleet.gone == 0);
    }
}

TEST_CASE("hosts that may use their settings only send to their seeds alone, contents included")
{
    HostTable hosts({base::HostId("a"), base::Incarnation(1), 0, {"127.0.70.1", 1}});
    Directory directory;
    SpreadOptions options;
    options.seeds = {{"127.0.70.1", 7}};
    options.usesSeedsOnly = true;
    Spread spread(options, &hosts, &directory);
    SpreadMessage message;
    message.from = {base::HostId("b"), base::Incarnation(1), 1, {"127.0.70.1", 2}};
    message.seen = {{base::UpstreamId("e"), 1, 1}};
    spread.receive(message, base::TimePoint(1000s));
    bool hasAsked = false;
    for (const Spread::Outgoing &out : spread.beat(base::TimePoint(1000s))) {
        CHECK(out.to == options.seeds[0]);
        hasAsked = hasAsked || !out.message.wanted.empty();
    }
    CHECK(hasAsked);
}

TEST_CASE("a leaving upstream is known as such at every host within 3 seconds")
{
    const int hosts = GENERATE(2, 4, 8, 9, 20, 39);
    for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        INFO("seed " << seed << " hosts " << hosts);
        Fleet fleet(hosts, seed);
        fleet.run(120, 88);
        REQUIRE(knowing(fleet, false) == static_cast<std::size_t>(hosts));
        fleet.announce(0, true);
        fleet.run(12, 88, true);
        CHECK(knowing(fleet, true) == static_cast<std::size_t>(hosts));
    }
}

TEST_CASE("a leaving upstream is known within 3 seconds while every upstream's content changes")
{
    const int hosts = GENERATE(2, 8, 39);
    Fleet fleet(hosts, 3);
    fleet.run(120, 88);
    for (int n = 1; n < 88; ++n)
        fleet.announce(n, true);
    fleet.announce(0, true);
    fleet.run(12, 88, true);
    CHECK(knowing(fleet, true) == static_cast<std::size_t>(hosts));
}

TEST_CASE("in a small data centre each host is told itself at least once a second")
{
    Fleet fleet(8, 5);
    fleet.run(60, 16);
    std::map<std::uint16_t, base::TimePoint> told;
    for (int beat = 0; beat < 100; ++beat) {
        fleet.now += kBeat;
        for (const Spread::Outgoing &out : fleet.all[0]->spread.beat(fleet.now)) {
            CHECK((told[out.to.port] == base::TimePoint()
                   || fleet.now - told[out.to.port] <= 1'250ms));
            told[out.to.port] = fleet.now;
        }
    }
    // The seed, which is the host itself here, is tried as well.
    CHECK(told.size() == 7 + 1);
}

TEST_CASE("no upstream that goes on announcing itself is lost while hosts die")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        INFO("seed " << seed);
        Fleet fleet(39, seed);
        fleet.run(120, 88);
        fleet.gone = 0;
        // Announcements to dead hosts are lost; so is what those would have passed on.
        for (std::size_t n = 5; n < 9; ++n)
            fleet.all[n]->isUp = false;
        fleet.run(120, 88);
        CHECK(fleet.gone == 0);
        CHECK(fleet.all[0]->hosts.live().size() == 35);
    }
}

TEST_CASE("an upstream that has ended stays gone although hosts still pass its last words on")
{
    Fleet fleet(39, 7);
    fleet.run(120, 10);
    fleet.gone = 0;
    // Engine 9 falls silent.
    fleet.run(200, 9);
    for (const auto &host : fleet.all)
        CHECK_FALSE(host->directory.find(base::UpstreamId("engine-9")));
    CHECK(fleet.gone == 39);
}
