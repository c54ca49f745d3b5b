/// Where calls may be sent, as far as configuration and operators decide it.
#pragma once

#include "base/Base.h"
#include "fleet/Evacuations.h"
#include "fleet/Regions.h"

#include <map>
#include <string>

namespace hyssop::dispatch {

/// Region of each data centre.
using Regions = std::map<base::DataCentreId, std::string>;

/// Whether a call that is restricted to \a allowed may go to \a dataCentre.
inline bool isAllowed(const Regions &regions, const fleet::RegionSet &allowed,
                      const base::DataCentreId &dataCentre)
{
    const auto region = regions.find(dataCentre);
    return fleet::allowsRegion(allowed, region == regions.end() ? nullptr : &region->second);
}

/// Why the gate keeps a request from an upstream.
enum class SendRefusalReason {
    Leaving, ///< It announced that it stops.
    Evacuated, ///< Its data centre is evacuated.
    OutsideRegions, ///< It is outside the regions that the call must not leave.
    BackOff, ///< It wants no requests for some time.
    Cold, ///< It is cold, and this host has sent its share there.
    Ejected, ///< It failed too often.
    Unreachable, ///< Its data centre cannot be reached.
};

/// Name in metrics and logs.
std::string_view sendRefusalReasonName(SendRefusalReason reason);

/// The evacuated data centres changed.
struct EvacuationsChanged
{
    fleet::Evacuations evacuations;
};

} // namespace hyssop::dispatch
