#pragma once

#include "base/Base.h"

#include <set>

namespace hyssop::fleet {

/// Data centres to whose upstreams nothing is sent.
struct Evacuations
{
    std::int64_t revision = 0; ///< Grows with each order of an operator; 0 before the first one.
    std::set<base::DataCentreId> dataCentres;

    bool operator==(const Evacuations &other) const = default;
};

} // namespace hyssop::fleet
