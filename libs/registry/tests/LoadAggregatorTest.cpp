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

TEST_CASE("a host hears of the others' load without its own, while they report")
{
    LoadAggregator board;
    board.report(report("x", "d", 1), kStart);
    board.report(report("y", "d", 2), kStart);
    board.report(report("z", "d", 4), kStart);
    const fleet::LoadReport others = board.loadOfOthers(base::HostId("y"), kStart);
    REQUIRE(others.upstreams.size() == 1);
    CHECK(others.upstreams.front().requests == 5);
    CHECK(others.upstreams.front().kv.count() == 50);
    CHECK(others.upstreams.front().shorts == 5);
    board.report(report("y", "d", 2), kStart + Millis(3'000));
    CHECK(board.loadOfOthers(base::HostId("y"), kStart + Millis(4'000)).upstreams.empty());
    CHECK(board.reportingHosts(kStart + Millis(4'000)) == 1);
}

TEST_CASE("each host has as many neighbours as are wanted, itself never among them")
{
    LoadAggregator board;
    for (const char *host : {"x", "y", "z"})
        board.report(report(host, "d", 1), kStart);
    CHECK(board.neighbours(base::HostId("y"), 1) == std::vector{at("z")});
    CHECK(board.neighbours(base::HostId("z"), 9) == std::vector{at("x"), at("y")});
    CHECK(board.neighbours(base::HostId("q"), 9).empty());
}

TEST_CASE("neighbours of the same data centre come first")
{
    LoadAggregator board;
    board.report(report("a", "near", 1), kStart);
    board.report(report("b", "far", 1), kStart);
    board.report(report("c", "near", 1), kStart);
    CHECK(board.neighbours(base::HostId("a"), 1) == std::vector{at("c")});
    CHECK(board.neighbours(base::HostId("a"), 2) == std::vector{at("c"), at("b")});
}
