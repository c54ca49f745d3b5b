#include "LoadAggregator.h"

#include <catch2/catch.hpp>

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

} // namespace

TEST_CASE("the load of other hosts excludes the host's own and expires")
{
    LoadAggregator aggregator;
    aggregator.report(report("x", "d", 1), kStart);
    aggregator.report(report("y", "d", 2), kStart);
    aggregator.report(report("z", "d", 4), kStart);
    const fleet::LoadReport others = aggregator.loadOfOthers(base::HostId("y"), kStart);
    REQUIRE(others.upstreams.size() == 1);
    CHECK(others.upstreams.front().requests == 5);
    CHECK(others.upstreams.front().kvTokens.count() == 50);
    CHECK(others.upstreams.front().shortRequests == 5);
    aggregator.report(report("y", "d", 2), kStart + Millis(3'000));
    CHECK(aggregator.loadOfOthers(base::HostId("y"), kStart + Millis(4'000)).upstreams.empty());
    CHECK(aggregator.reportingHosts(kStart + Millis(4'000)) == 1);
}

TEST_CASE("a host gets at most the requested number of neighbours and never itself")
{
    LoadAggregator aggregator;
    for (const char *host : {"x", "y", "z"})
        aggregator.report(report(host, "d", 1), kStart);
    CHECK(aggregator.neighbours(base::HostId("y"), 1) == std::vector{at("z")});
    CHECK(aggregator.neighbours(base::HostId("z"), 9) == std::vector{at("x"), at("y")});
    CHECK(aggregator.neighbours(base::HostId("q"), 9).empty());
}

TEST_CASE("neighbours in the same data centre come first")
{
    LoadAggregator aggregator;
    aggregator.report(report("a", "near", 1), kStart);
    aggregator.report(report("b", "far", 1), kStart);
    aggregator.report(report("c", "near", 1), kStart);
    CHECK(aggregator.neighbours(base::HostId("a"), 1) == std::vector{at("c")});
    CHECK(aggregator.neighbours(base::HostId("a"), 2) == std::vector{at("c"), at("b")});
}
