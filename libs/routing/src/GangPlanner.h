#pragma once

#include "UpstreamPool.h"

namespace hyssop::routing {

/// Chooses engines that hold a prompt together when none can hold it alone.
class GangPlanner
{
public:
    /// Whether idle engines of the pool's own data centre could hold \a need.
    static bool isPossible(const UpstreamPool &pool, base::Tokens need);
    /// Members in id order with equal shares of \a need as their \c kv, as few as will do; empty
    /// when there is no room at present.
    static std::vector<Reservation> plan(UpstreamPool &pool, base::Tokens need,
                                         base::TimePoint now);
};

} // namespace hyssop::routing
