#pragma once

#include "base/Base.h"

#include <map>
#include <set>

namespace hyssop::dispatch {

/// Which data centres this host reaches, as its attempts tell. No I/O.
///
/// When several upstreams of a data centre cannot be connected to one after the other, the way
/// there is cut, and trying each of the others would make calls late one by one.
class Reachability
{
public:
    void recordSuccess(const base::DataCentreId &dataCentre);
    /// True when the data centre is left out from now on.
    bool recordFailure(const base::DataCentreId &dataCentre, const base::UpstreamId &upstream,
                       base::TimePoint now);
    bool isUnreachable(const base::DataCentreId &dataCentre, base::TimePoint now) const;

private:
    struct DataCentre
    {
        std::set<base::UpstreamId> failedUpstreams; ///< Since the last success.
        base::TimePoint firstFailureAt; ///< Of those failures.
        base::TimePoint unreachableUntil{};
        int consecutiveCutoffs = 0; ///< In a row.
    };
    std::map<base::DataCentreId, DataCentre> m_dataCentres;
};

} // namespace hyssop::dispatch
