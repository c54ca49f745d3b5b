#include "Reachability.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Upstreams that cannot be connected to, after which the way to all of them is taken for cut.
constexpr std::size_t kUnreachableThreshold = 2;
/// Failures further apart than this are upstreams' own.
constexpr base::Millis kFailureWindow{2'000};
/// Time until one is tried again, doubled while that fails, up to the longest.
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
    // Once cut, one failure is threshold to tell that it still is.
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

} // namespace hyssop::dispatch
