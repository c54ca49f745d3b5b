#include "OutstandingTurns.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;

namespace {

constexpr int kUpstreams = 88;

std::vector<routing::PeerOutstanding> reports(int count)
{
    std::vector<routing::PeerOutstanding> all;
    for (int n = 0; n < count; ++n) {
        routing::PeerOutstanding one;
        one.upstream = base::UpstreamId("engine-" + std::to_string(100 + n));
        one.prompt = base::Tokens(1'000);
        one.requests = 1;
        all.push_back(one);
    }
    return all;
}

bool holds(const std::vector<routing::PeerOutstanding> &chosen, const base::UpstreamId &id)
{
    return std::any_of(chosen.begin(), chosen.end(),
                       [&id](const auto &it) { return it.upstream == id; });
}

} // namespace

TEST_CASE("with few upstreams everything is told on every beat")
{
    OutstandingTurns turns;
    for (int beat = 0; beat < 3; ++beat)
        CHECK(turns.choose(reports(OutstandingTurns::kMaxRows)).size()
              == OutstandingTurns::kMaxRows);
}

TEST_CASE("with many upstreams each is told in turn, within the beats that one round takes")
{
    OutstandingTurns turns;
    constexpr int kRound =
            (kUpstreams + OutstandingTurns::kMaxRows - 1) / OutstandingTurns::kMaxRows;
    std::map<base::UpstreamId, int> told;
    for (int beat = 0; beat < 3 * kRound; ++beat) {
        const auto chosen = turns.choose(reports(kUpstreams));
        CHECK(chosen.size() == OutstandingTurns::kMaxRows);
        for (const auto &one : chosen)
            ++told[one.upstream];
    }
    REQUIRE(told.size() == kUpstreams);
    for (const auto &[id, times] : told)
        CHECK(times >= 2);
}

TEST_CASE("work that has ended and large changes are told on the next beat")
{
    OutstandingTurns turns;
    auto all = reports(kUpstreams);
    for (int beat = 0; beat < 20; ++beat)
        turns.choose(all);
    all[40].prompt = base::Tokens(200'000);
    all[60].prompt = base::Tokens(0);
    all[60].requests = 0;
    const auto chosen = turns.choose(all);
    CHECK(holds(chosen, all[40].upstream));
    CHECK(holds(chosen, all[60].upstream));
}
