#include "Pool.h"

#include <algorithm>

namespace hyssop::routing {

void Pool::markAll()
{
    mayDispatch = true;
    mayAllHaveRoom = true;
    changed.clear();
}

void Pool::mark(UpstreamState *upstream)
{
    mayDispatch = true;
    if (!mayAllHaveRoom)
        changed.push_back(upstream);
}

bool Pool::hasQueued() const
{
    return std::any_of(lanes.begin(), lanes.end(),
                       [](const TeamQueue &lane) { return !lane.isEmpty(); });
}

std::int64_t Pool::queuedBefore(records::Urgency urgency, SizeClass size) const
{
    std::int64_t cost = 0;
    for (int u = 0; u <= static_cast<int>(urgency); ++u) {
        const int lane = laneOf(static_cast<records::Urgency>(u), size);
        cost += lanes[static_cast<std::size_t>(lane)].cost();
    }
    return cost;
}

bool Pool::takes(const UpstreamInfo &upstream) const
{
    if (upstream.kind != kind || upstream.isLeaving)
        return false;
    if (!role.empty() && upstream.role != role)
        return false;
    return std::find(upstream.models.begin(), upstream.models.end(), target)
           != upstream.models.end();
}

} // namespace hyssop::routing
