/// Regions that calls must not leave.
#pragma once

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <string>

namespace hyssop::fleet {

/// Names of regions. Not set: no restriction. An empty set allows none.
using RegionSet = std::optional<std::set<std::string>>;

/// Whether a call that is restricted to \a allowed may go to \a region, which is null where it is
/// not known.
inline bool allowsRegion(const RegionSet &allowed, const std::string *region)
{
    return !allowed || (region && allowed->contains(*region));
}

/// The regions that both sets allow.
inline RegionSet intersection(const RegionSet &a, const RegionSet &b)
{
    if (!a || !b)
        return a ? a : b;
    RegionSet both(std::in_place);
    std::set_intersection(a->begin(), a->end(), b->begin(), b->end(),
                          std::inserter(*both, both->end()));
    return both;
}

} // namespace hyssop::fleet
