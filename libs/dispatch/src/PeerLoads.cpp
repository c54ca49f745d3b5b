#include "PeerLoads.h"

namespace hyssop::dispatch {

namespace {

/// Hosts send their load at least twice in this time. A host that does not has stopped or cannot be
/// reached.
constexpr base::Millis kPeerTimeout{1'500};

} // namespace

void PeerLoads::apply(const fleet::LoadUpdate &update, base::TimePoint now)
{
    Host &host = m_hosts[update.host];
    host.updatedAt = now;
    if (update.isSnapshot)
        host.upstreams.clear();
    for (const fleet::UpstreamLoad &it : update.upstreams) {
        if (it.requests == 0 && it.prefillMs == 0)
            host.upstreams.erase(it.upstream);
        else
            host.upstreams[it.upstream] = it;
    }
}

bool PeerLoads::removeExpired(base::TimePoint now)
{
    return std::erase_if(
                   m_hosts,
                   [now](const auto &it) { return now >= it.second.updatedAt + kPeerTimeout; })
           > 0;
}

fleet::UpstreamLoad PeerLoads::totalAt(const base::UpstreamId &upstream) const
{
    fleet::UpstreamLoad total;
    total.upstream = upstream;
    for (const auto &[name, host] : m_hosts) {
        const auto it = host.upstreams.find(upstream);
        if (it == host.upstreams.end())
            continue;
        total.requests += it->second.requests;
        total.kvTokens += it->second.kvTokens;
        total.shortRequests += it->second.shortRequests;
        total.prefillMs += it->second.prefillMs;
    }
    return total;
}

} // namespace hyssop::dispatch
