#include "GangPlanner.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

/// Part of an engine's memory that a gang may take, in percent; the rest is left to short prompts.
constexpr std::int64_t kMaxPercent = 90;
constexpr std::size_t kMinMembers = 2;

struct Place
{
    UpstreamState *state = nullptr;
    base::Tokens free;
};

base::Tokens usable(const UpstreamState &state)
{
    return base::Tokens(state.info().kvTokens.count() * kMaxPercent / 100);
}

/// Least number of the most free places that hold \a need in equal shares; 0 when none does.
std::size_t membersFor(std::vector<Place> &places, base::Tokens need)
{
    std::stable_sort(places.begin(), places.end(),
                     [](const Place &a, const Place &b) { return a.free > b.free; });
    for (std::size_t n = kMinMembers; n <= places.size(); ++n) {
        if (places[n - 1].free.count() * static_cast<std::int64_t>(n) >= need.count())
            return n;
    }
    return 0;
}

} // namespace

bool GangPlanner::isPossible(const Pool &pool, base::Tokens need)
{
    std::vector<Place> places;
    for (UpstreamState *state : pool.own)
        places.push_back({state, usable(*state)});
    return membersFor(places, need) > 0;
}

std::vector<Hold> GangPlanner::plan(Pool &pool, base::Tokens need, base::TimePoint now)
{
    std::vector<Place> places;
    for (UpstreamState *state : pool.own) {
        if (!state->outliers.isEjected(now))
            places.push_back({state, usable(*state) - state->kv(now)});
    }
    const std::size_t members = membersFor(places, need);
    std::vector<Hold> holds;
    const auto count = static_cast<std::int64_t>(members);
    for (std::size_t n = 0; n < members; ++n) {
        Hold hold;
        hold.upstream = places[n].state->info().id;
        hold.serial = places[n].state->serial();
        hold.isLong = true;
        hold.kv = base::Tokens((need.count() + count - 1) / count);
        holds.push_back(std::move(hold));
    }
    std::sort(holds.begin(), holds.end(),
              [](const Hold &a, const Hold &b) { return a.upstream < b.upstream; });
    return holds;
}

} // namespace hyssop::routing
