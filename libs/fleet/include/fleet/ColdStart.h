/// Upstreams that are cold after a start. Part of fleet/Fleet.h.
#pragma once

#include "base/Base.h"
#include "fleet/Upstream.h"

namespace hyssop::fleet {

/// What upstreams of a service bear while they are cold.
struct ColdStart
{
    base::Millis duration{0}; ///< From the start of an upstream.
    double perSecond = 0; ///< Requests from all entry hosts together; 0 for no bound.
};

/// Returns how long \a upstream stays cold: as long as it stated, and at least for the duration of
/// a cold start where it is known when it started. \a unixTime is the present time.
inline base::Millis coldTimeOf(const Upstream &upstream, const ColdStart &coldStart,
                               base::Millis unixTime)
{
    if (coldStart.perSecond <= 0)
        return base::Millis(0);
    const base::Millis age = unixTime - base::Millis(upstream.incarnation.count());
    const bool isAgeKnown = upstream.incarnation.count() > 0 && age >= base::Millis(0);
    return std::max(upstream.coldRemaining,
                    isAgeKnown ? coldStart.duration - age : base::Millis(0));
}

/// Differences of the end of a cold time below this are delays of announcements.
inline constexpr base::Millis kColdTimeTolerance{500};

/// Whether a statement that an upstream is cold until \a next replaces one until \a known.
inline bool isColdTimeChanged(base::TimePoint known, base::TimePoint next, base::TimePoint now)
{
    const auto distance = known > next ? known - next : next - known;
    return std::max(known, next) > now && distance > kColdTimeTolerance;
}

} // namespace hyssop::fleet
