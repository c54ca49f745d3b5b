#pragma once

#include "UpstreamPool.h"

namespace hyssop::routing {

/// Selects a gang of engines for a prompt that exceeds the KV cache of each single engine.
class GangPlanner
{
public:
    /// Whether the engines of the pool's own data centre could hold \a need tokens if idle.
    static bool isPossible(const UpstreamPool &pool, base::Tokens need);
    /// Returns the smallest gang that fits, in id order, with equal shares of \a need as \c
    /// kvTokens. Empty if there is no room now. Does not reserve anything.
    static std::vector<Reservation> plan(UpstreamPool &pool, base::Tokens need,
                                         base::TimePoint now);
};

} // namespace hyssop::routing
