#include "OutstandingSelector.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;

namespace {

constexpr int kUpstreams = 88;

std::vector<routing::PeerLoadReport> reports(int count)
{
    std::vector<routing::PeerLoadReport> all;
    for (int n = 0; n < count; ++n) {
        routing::PeerLoadReport report;
        report.upstream = base::UpstreamId("engine-" + std::to_string(100 + n));
        report.promptTokens = base::Tokens(1'000);
        report.requests = 1;
        all.push_back(report);
    }
    return all;
}

bool contains(const std::vector<routing::PeerLoadReport> &chosen, const base::UpstreamId &id)
{
    return std::any_of(chosen.begin(), chosen.end(),
                       [&id](const auto &it) { return it.upstream == id; });
}

} // namespace

TEST_CASE("with few upstreams all reports are selected in every round")
{
    OutstandingSelector selector;
    for (int round = 0; round < 3; ++round)
        CHECK(selector.select(reports(OutstandingSelector::kMaxReports)).size()
              == OutstandingSelector::kMaxReports);
}

TEST_CASE("with many upstreams each report is selected regularly")
{
    OutstandingSelector selector;
    constexpr int kRoundsPerTurn =
            (kUpstreams + OutstandingSelector::kMaxReports - 1) / OutstandingSelector::kMaxReports;
    std::map<base::UpstreamId, int> timesSelected;
    for (int round = 0; round < 3 * kRoundsPerTurn; ++round) {
        const auto chosen = selector.select(reports(kUpstreams));
        CHECK(chosen.size() == OutstandingSelector::kMaxReports);
        for (const auto &report : chosen)
            ++timesSelected[report.upstream];
    }
    REQUIRE(timesSelected.size() == kUpstreams);
    for (const auto &[id, times] : timesSelected)
        CHECK(times >= 2);
}

TEST_CASE("ended work and large changes are selected in the next round")
{
    OutstandingSelector selector;
    auto all = reports(kUpstreams);
    for (int round = 0; round < 20; ++round)
        selector.select(all);
    all[40].promptTokens = base::Tokens(200'000);
    all[60].promptTokens = base::Tokens(0);
    all[60].requests = 0;
    const auto chosen = selector.select(all);
    CHECK(contains(chosen, all[40].upstream));
    CHECK(contains(chosen, all[60].upstream));
}
