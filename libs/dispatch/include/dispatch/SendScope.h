/// Where calls may be sent, as far as configuration and operators decide it.
#pragma once

#include "base/Base.h"
#include "fleet/Evacuations.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace hyssop::dispatch {

/// Regions that a call must not leave; not set where it may go anywhere. An empty set allows none.
using AllowedRegions = std::optional<std::set<std::string>>;
/// Region of each data centre.
using Regions = std::map<base::DataCentreId, std::string>;

/// Why the gate keeps a request from an upstream.
enum class SendRefusalReason {
    Leaving, ///< It announced that it stops.
    Evacuated, ///< Its data centre is evacuated.
    OutsideRegions, ///< It is outside the regions that the call must not leave.
    BackOff, ///< It wants no requests for some time.
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
