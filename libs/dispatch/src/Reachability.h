#pragma once

#include "base/Base.h"

#include <map>
#include <optional>
#include <set>

namespace hyssop::dispatch {

/// Tracks which data centres this host can reach, from the results of its attempts. No I/O.
///
/// When connections to several upstreams of a data centre fail in succession, the whole data centre
/// counts as unreachable. Trying its other upstreams would delay the calls one by one.
class Reachability
{
public:
    void recordSuccess(const base::DataCentreId &dataCentre);
    /// Returns whether the data centre counts as unreachable from now on.
    bool recordFailure(const base::DataCentreId &dataCentre, const base::UpstreamId &upstream,
                       base::TimePoint now);
    bool isUnreachable(const base::DataCentreId &dataCentre, base::TimePoint now) const;
    /// Until when it counts as unreachable, also if that is over; empty if it never did.
    std::optional<base::TimePoint> unreachableUntil(const base::DataCentreId &dataCentre) const;

private:
    struct DataCentre
    {
        std::set<base::UpstreamId> failedUpstreams; ///< Since the last success.
        base::TimePoint firstFailureAt; ///< First of these failures.
        base::TimePoint unreachableUntil{};
        int consecutiveCutoffs = 0; ///< Times in succession that it became unreachable.
    };
    std::map<base::DataCentreId, DataCentre> m_dataCentres;
};

} // namespace hyssop::dispatch
