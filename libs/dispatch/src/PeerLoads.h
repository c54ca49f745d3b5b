#pragma once

#include "dispatch/Dispatch.h"

#include <map>
#include <set>

namespace hyssop::dispatch {

/// Loads that other entry hosts send of themselves. A load expires when its host stops sending.
/// The cost of an update depends on its size only, not on the number of hosts.
class PeerLoads
{
public:
    /// Both return the upstreams whose sum may have changed. An update that an earlier one has
    /// overtaken on its way changes nothing.
    std::set<base::UpstreamId> apply(const fleet::LoadUpdate &update, base::TimePoint now);
    /// Drops the loads of hosts that stopped sending.
    std::set<base::UpstreamId> removeExpired(base::TimePoint now);
    /// Sum over all hosts.
    fleet::UpstreamLoad totalAt(const base::UpstreamId &upstream) const;

private:
    struct Host
    {
        std::map<base::UpstreamId, fleet::UpstreamLoad> upstreams;
        std::int64_t startId = 0;
        std::int64_t sequence = 0;
        base::TimePoint updatedAt;
    };
    void subtract(const fleet::UpstreamLoad &load);

    std::map<base::HostId, Host> m_hosts;
    std::map<base::UpstreamId, fleet::UpstreamLoad> m_totals;
};

} // namespace hyssop::dispatch
