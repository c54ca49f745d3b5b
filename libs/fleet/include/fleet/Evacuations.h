#pragma once

#include "base/Base.h"

#include <limits>
#include <set>

namespace hyssop::fleet {

/// Data centres to whose upstreams nothing is sent.
struct Evacuations
{
    std::int64_t revision = 0; ///< Grows with each order of an operator; 0 before the first one.
    std::set<base::DataCentreId> dataCentres;

    bool operator==(const Evacuations &other) const = default;
};

/// Revision in watch requests of entry hosts whose builds do not know evacuations. They wait for
/// none.
inline constexpr std::int64_t kEvacuationsUnread = std::numeric_limits<std::int64_t>::max();

} // namespace hyssop::fleet
