#include "UpstreamPool.h"

#include <algorithm>

namespace hyssop::routing {

void UpstreamPool::markAllChanged()
{
    needsDispatch = true;
    mustRecheckAll = true;
    changedUpstreams.clear();
}

void UpstreamPool::markChanged(UpstreamState *upstream)
{
    needsDispatch = true;
    if (!mustRecheckAll)
        changedUpstreams.push_back(upstream);
}

bool UpstreamPool::hasQueued() const
{
    return std::any_of(queues.begin(), queues.end(),
                       [](const TeamQueue &queue) { return !queue.isEmpty(); });
}

std::int64_t UpstreamPool::queuedCostAhead(records::Urgency urgency, SizeClass size) const
{
    std::int64_t cost = 0;
    for (int u = 0; u <= static_cast<int>(urgency); ++u) {
        const int index = queueIndex(static_cast<records::Urgency>(u), size);
        cost += queues[static_cast<std::size_t>(index)].cost();
    }
    return cost;
}

bool UpstreamPool::accepts(const UpstreamInfo &upstream) const
{
    if (upstream.kind != kind || upstream.isLeaving)
        return false;
    if (!role.empty() && upstream.role != role)
        return false;
    return std::find(upstream.models.begin(), upstream.models.end(), target)
           != upstream.models.end();
}

} // namespace hyssop::routing
