#include "WatchTiming.h"

#include <algorithm>

namespace hyssop::edge {

namespace {

/// First and longest pause after a failed query. It doubles with each failure.
constexpr base::Millis kMinRetryPause{50};
constexpr base::Millis kMaxRetryPause{800};
/// Longest pause of a host that awaits a leader. 300 such hosts send a control host 3,000 queries
/// a second, which fail at the connection while it is down.
constexpr base::Millis kMaxAwaitingPause{100};
/// A new leader takes over about a second after the last one is lost.
constexpr base::Millis kLeaderChangeRetryAfter{1'200};
/// Control hosts that start with this host confirm its configuration within half a second.
constexpr base::Millis kStartRetryAfter{250};
/// A host that is not confirmed by then waits for an election or for control hosts.
constexpr base::Millis kStartTime{1'000};

} // namespace

base::Millis retryPause(int failures, bool awaitsLeader)
{
    const int doublings = std::clamp(failures - 1, 0, 4);
    return std::min(awaitsLeader ? kMaxAwaitingPause : kMaxRetryPause,
                    kMinRetryPause * (1 << doublings));
}

base::Millis undecidedRetryAfter(base::Millis sinceStart, bool wasConfirmed, std::uint64_t random)
{
    const bool isStarting = !wasConfirmed && sinceStart < kStartTime;
    const base::Millis shortest = isStarting ? kStartRetryAfter : kLeaderChangeRetryAfter;
    return shortest
           + base::Millis(static_cast<std::int64_t>(
                   random % static_cast<std::uint64_t>(shortest.count())));
}

} // namespace hyssop::edge
