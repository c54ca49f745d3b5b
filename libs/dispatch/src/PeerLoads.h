#pragma once

#include "dispatch/Dispatch.h"

#include <map>

namespace hyssop::dispatch {

/// Loads that other entry hosts tell of themselves, as long as they are heard.
class PeerLoads
{
public:
    void apply(const fleet::LoadNews &update, base::TimePoint now);
    /// Forgets hosts that fell silent; true when there were some.
    bool removeExpired(base::TimePoint now);
    bool isEmpty() const { return m_hosts.empty(); }
    std::size_t hostCount() const { return m_hosts.size(); }
    /// Of all hosts together.
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
