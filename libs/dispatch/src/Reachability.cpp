#include "Reachability.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Upstreams of a data centre that must fail to connect before all of it counts as unreachable.
constexpr std::size_t kUnreachableThreshold = 2;
/// Failures further apart than this are attributed to the upstreams.
constexpr base::Millis kFailureWindow{2'000};
/// Time until an upstream there is tried again. It doubles with each further failure up to the
/// maximum.
constexpr base::Millis kMinUnreachableTime{1'000};
constexpr base::Millis kMaxUnreachableTime{2'000};

} // namespace

void Reachability::recordSuccess(const base::DataCentreId &dataCentre)
{
    m_dataCentres.erase(dataCentre);
}

bool Reachability::recordFailure(const base::DataCentreId &dataCentre,
                                 const base::UpstreamId &upstream, base::TimePoint now)
{
    DataCentre &state = m_dataCentres[dataCentre];
    if (state.failedUpstreams.empty() || now >= state.firstFailureAt + kFailureWindow) {
        state.failedUpstreams.clear();
        state.firstFailureAt = now;
    }
    state.failedUpstreams.insert(upstream);
    // After the first time, a single failure shows that the data centre is still unreachable.
    const std::size_t threshold = state.consecutiveCutoffs > 0 ? 1 : kUnreachableThreshold;
    if (state.failedUpstreams.size() < threshold)
        return false;
    state.unreachableUntil =
            now
            + std::min(kMaxUnreachableTime,
                       kMinUnreachableTime * (1 << std::min(state.consecutiveCutoffs, 4)));
    ++state.consecutiveCutoffs;
    state.failedUpstreams.clear();
    return true;
}

bool Reachability::isUnreachable(const base::DataCentreId &dataCentre, base::TimePoint now) const
{
    const auto it = m_dataCentres.find(dataCentre);
    return it != m_dataCentres.end() && now < it->second.unreachableUntil;
}

std::optional<base::TimePoint> Reachability::unreachableUntil(
        const base::DataCentreId &dataCentre) const
{
    const auto it = m_dataCentres.find(dataCentre);
    return it == m_dataCentres.end() ? std::nullopt : std::optional(it->second.unreachableUntil);
}

} // namespace hyssop::dispatch
