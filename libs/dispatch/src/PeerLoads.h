#pragma once

#include "dispatch/Dispatch.h"

#include <map>

namespace hyssop::dispatch {

/// Loads that other entry hosts send of themselves. A load expires when its host stops sending.
class PeerLoads
{
public:
    void apply(const fleet::LoadUpdate &update, base::TimePoint now);
    /// Removes hosts that stopped sending. Returns whether there were any.
    bool removeExpired(base::TimePoint now);
    bool isEmpty() const { return m_hosts.empty(); }
    std::size_t hostCount() const { return m_hosts.size(); }
    /// Sum over all hosts.
    fleet::UpstreamLoad totalAt(const base::UpstreamId &upstream) const;

private:
    struct Host
    {
        std::map<base::UpstreamId, fleet::UpstreamLoad> upstreams;
        base::TimePoint updatedAt;
    };
    std::map<base::HostId, Host> m_hosts;
};

} // namespace hyssop::dispatch
