#include "GangPlanner.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

/// Percentage of an engine's KV cache that a gang may use; the rest is left to short prompts.
constexpr std::int64_t kMaxGangKvPercent = 90;
constexpr std::size_t kMinMembers = 2;

struct EngineCapacity
{
    UpstreamState *upstream = nullptr;
    base::Tokens freeKv;
};

base::Tokens usableKv(const UpstreamState &state)
{
    return base::Tokens(state.info().kvTokens.count() * kMaxGangKvPercent / 100);
}

/// Smallest number of engines that can hold \a need in equal shares, or 0. Sorts \a engines by free
/// KV cache, largest first.
std::size_t minMembersFor(std::vector<EngineCapacity> &engines, base::Tokens need)
{
    std::stable_sort(
            engines.begin(), engines.end(),
            [](const EngineCapacity &a, const EngineCapacity &b) { return a.freeKv > b.freeKv; });
    for (std::size_t n = kMinMembers; n <= engines.size(); ++n) {
        if (engines[n - 1].freeKv.count() * static_cast<std::int64_t>(n) >= need.count())
            return n;
    }
    return 0;
}

} // namespace

bool GangPlanner::isPossible(const UpstreamPool &pool, base::Tokens need)
{
    std::vector<EngineCapacity> engines;
    for (UpstreamState *state : pool.localUpstreams)
        engines.push_back({state, usableKv(*state)});
    return minMembersFor(engines, need) > 0;
}

std::vector<Reservation> GangPlanner::plan(UpstreamPool &pool, base::Tokens need,
                                           base::TimePoint now)
{
    std::vector<EngineCapacity> engines;
    for (UpstreamState *state : pool.localUpstreams) {
        if (!state->outlierTracker.isEjected(now))
            engines.push_back({state, usableKv(*state) - state->reservedKv(now)});
    }
    const std::size_t members = minMembersFor(engines, need);
    std::vector<Reservation> reservations;
    const auto count = static_cast<std::int64_t>(members);
    for (std::size_t n = 0; n < members; ++n) {
        Reservation reservation;
        reservation.upstream = engines[n].upstream->info().id;
        reservation.serial = engines[n].upstream->serial();
        reservation.isLong = true;
        reservation.kvTokens = base::Tokens((need.count() + count - 1) / count);
        reservations.push_back(std::move(reservation));
    }
    std::sort(reservations.begin(), reservations.end(),
              [](const Reservation &a, const Reservation &b) { return a.upstream < b.upstream; });
    return reservations;
}

} // namespace hyssop::routing
