#include "LoadAggregator.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace hyssop;
using namespace hyssop::registry;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

fleet::WatchRequest report(const char *host, const char *dataCentre, int requests)
{
    fleet::WatchRequest request;
    request.host = base::HostId(host);
    request.dataCentre = base::DataCentreId(dataCentre);
    request.address = {host, 1};
    request.load.upstreams = {
            {base::UpstreamId("a"), requests, base::Tokens(10 * requests), requests, 0}};
    return request;
}

base::Endpoint at(const char *host)
{
    return {host, 1};
}

std::vector<base::Endpoint> addressesOfPeers(const LoadAggregator &aggregator,
                                             const std::string &host)
{
    std::vector<base::Endpoint> addresses;
    for (const fleet::LoadPeer &it : aggregator.peers(base::HostId(host)))
        addresses.push_back(it.address);
    return addresses;
}

} // namespace

TEST_CASE("the distant load excludes the host's own and expires")
{
    LoadAggregator aggregator(0);
    aggregator.report(report("x", "d", 1), kStart);
    aggregator.report(report("y", "d", 2), kStart);
    aggregator.report(report("z", "d", 4), kStart);
    const fleet::LoadReport others = aggregator.distantLoad(base::HostId("y"), kStart);
    REQUIRE(others.upstreams.size() == 1);
    CHECK(others.upstreams.front().requests == 5);
    CHECK(others.upstreams.front().kvTokens.count() == 50);
    CHECK(others.upstreams.front().shortRequests == 5);
    aggregator.report(report("y", "d", 2), kStart + Millis(3'000));
    CHECK(aggregator.distantLoad(base::HostId("y"), kStart + Millis(4'000)).upstreams.empty());
    CHECK(aggregator.reportingHosts(kStart + Millis(4'000)) == 1);
}

TEST_CASE("a load that a host learns from its peers is not counted again as distant")
{
    const auto distantRequests = [](LoadAggregator &aggregator, const char *host) {
        const auto load = aggregator.distantLoad(base::HostId(host), kStart);
        return load.upstreams.empty() ? 0 : load.upstreams.front().requests;
    };
    for (const std::size_t limit :
         {std::size_t(0), std::size_t(2), std::size_t(4), std::size_t(8)}) {
        LoadAggregator aggregator(limit);
        std::map<std::string, int> requests;
        for (const char *host : {"a", "b", "c", "d", "e", "f"}) {
            const char *dataCentre = *host < 'd' ? "near" : "far";
            requests[host] = 1 << requests.size();
            aggregator.report(report(host, dataCentre, requests[host]), kStart);
        }
        for (const auto &[host, own] : requests) {
            int known = own;
            for (const base::Endpoint &peer : addressesOfPeers(aggregator, host))
                known += requests.at(peer.address);
            CAPTURE(limit, host);
            CHECK(known + distantRequests(aggregator, host.c_str()) == 63);
        }
    }
}

TEST_CASE("hosts send their load to those that send theirs to them")
{
    for (const std::size_t limit : {2, 4, 6, 40}) {
        LoadAggregator aggregator(limit);
        for (char host = 'a'; host < 'u'; ++host)
            aggregator.report(report(std::string(1, host).c_str(), host % 2 == 0 ? "p" : "q", 1),
                              kStart);
        const auto sendsTo = [&aggregator](char from, char to) {
            const auto peers = addressesOfPeers(aggregator, std::string(1, from));
            return std::find(peers.begin(), peers.end(), at(std::string(1, to).c_str()))
                   != peers.end();
        };
        for (char from = 'a'; from < 'u'; ++from) {
            for (char to = 'a'; to < 'u'; ++to) {
                CAPTURE(limit, from, to);
                CHECK(sendsTo(from, to) == sendsTo(to, from));
            }
        }
    }
}

TEST_CASE("the load of hosts that exchange none directly is neither lost nor counted twice")
{
    for (const std::size_t limit : {std::size_t(0), std::size_t(2), std::size_t(8)}) {
        LoadAggregator aggregator(limit);
        std::map<std::string, int> requests;
        const auto isEarlier = [](const std::string &host) { return host == "b" || host > "d"; };
        for (const char *host : {"a", "b", "c", "d", "e", "f"}) {
            requests[host] = 1 << requests.size();
            fleet::WatchRequest request =
                    report(host, *host < 'd' ? "near" : "far", requests[host]);
            request.exchangesLoad = !isEarlier(host);
            aggregator.report(request, kStart);
        }
        for (const auto &[host, own] : requests) {
            CAPTURE(limit, host);
            int known = own;
            for (const base::Endpoint &peer : addressesOfPeers(aggregator, host)) {
                CHECK(isEarlier(peer.address) == isEarlier(host));
                known += isEarlier(host) ? 0 : requests.at(peer.address);
            }
            const auto distant = aggregator.distantLoad(base::HostId(host), kStart);
            CHECK(known + (distant.upstreams.empty() ? 0 : distant.upstreams.front().requests)
                  == 63);
        }
    }
}

TEST_CASE("peers are told anew when a host begins to exchange its load")
{
    LoadAggregator aggregator(8);
    fleet::WatchRequest earlier = report("a", "d", 1);
    earlier.exchangesLoad = false;
    aggregator.report(earlier, kStart);
    aggregator.report(report("b", "d", 1), kStart);
    CHECK(addressesOfPeers(aggregator, "b").empty());
    const std::int64_t revision = aggregator.membersRevision();
    aggregator.report(report("a", "d", 1), kStart + Millis(500));
    CHECK(aggregator.membersRevision() > revision);
    CHECK(addressesOfPeers(aggregator, "b") == std::vector{at("a")});
}

TEST_CASE("a host gets at most the requested number of peers and never itself")
{
    LoadAggregator one(1);
    LoadAggregator nine(9);
    for (const char *host : {"x", "y", "z"}) {
        one.report(report(host, "d", 1), kStart);
        nine.report(report(host, "d", 1), kStart);
    }
    CHECK(addressesOfPeers(one, "y") == std::vector{at("z")});
    CHECK(addressesOfPeers(nine, "z") == std::vector{at("x"), at("y")});
    CHECK(addressesOfPeers(nine, "q").empty());
}

TEST_CASE("peers in the same data centre come first")
{
    LoadAggregator one(1);
    LoadAggregator two(2);
    for (LoadAggregator *it : {&one, &two}) {
        it->report(report("a", "near", 1), kStart);
        it->report(report("b", "far", 1), kStart);
        it->report(report("c", "near", 1), kStart);
    }
    CHECK(addressesOfPeers(one, "a") == std::vector{at("c")});
    CHECK(addressesOfPeers(two, "a") == std::vector{at("c"), at("b")});
    CHECK(two.peers(base::HostId("a")).back().dataCentre == base::DataCentreId("far"));
}

TEST_CASE("the revision of members changes when a host comes, moves or leaves, and not otherwise")
{
    LoadAggregator aggregator(8, 100);
    aggregator.report(report("a", "d", 1), kStart);
    const std::int64_t one = aggregator.membersRevision();
    CHECK(one > 100);
    aggregator.report(report("a", "d", 5), kStart + Millis(500));
    CHECK(aggregator.membersRevision() == one);
    aggregator.report(report("a", "e", 5), kStart + Millis(600));
    const std::int64_t moved = aggregator.membersRevision();
    CHECK(moved > one);
    CHECK(aggregator.reportingHosts(kStart + Millis(9'000)) == 0);
    CHECK(aggregator.membersRevision() > moved);
}

TEST_CASE("hosts that are no peers of all others know different hosts of other data centres")
{
    LoadAggregator aggregator(4);
    for (const char *dataCentre : {"a", "b", "c"}) {
        for (int n = 10; n < 30; ++n)
            aggregator.report(report((dataCentre + std::to_string(n)).c_str(), dataCentre, 0),
                              kStart);
    }
    std::map<base::Endpoint, int> users;
    for (int n = 10; n < 30; ++n) {
        const auto peers = aggregator.distantPeers(base::HostId("a" + std::to_string(n)), 4);
        std::set<base::Endpoint> addresses;
        for (const fleet::LoadPeer &it : peers) {
            CHECK_FALSE(it.dataCentre == base::DataCentreId("a"));
            addresses.insert(it.address);
            ++users[it.address];
        }
        CHECK(addresses.size() == 4);
    }
    for (const auto &[address, count] : users)
        CHECK(count <= 8);
}

TEST_CASE("hosts that are peers of all others need no further hosts of other data centres")
{
    LoadAggregator aggregator(8);
    for (const char *host : {"a1", "a2", "b1", "b2"})
        aggregator.report(report(host, std::string(host).substr(0, 1).c_str(), 0), kStart);
    CHECK(aggregator.distantPeers(base::HostId("a1"), 4).empty());
    CHECK(aggregator.distantPeers(base::HostId("unknown"), 4).empty());
}
