#include "PeerLoads.h"

namespace hyssop::dispatch {

namespace {

/// Hosts with outstanding load send it at least twice in this time. One that does not has stopped
/// or cannot be reached.
constexpr base::Millis kPeerTimeout{1'500};

bool isIdle(const fleet::UpstreamLoad &load)
{
    return load == fleet::UpstreamLoad{load.upstream, 0, {}, 0, 0};
}

} // namespace

void PeerLoads::subtract(const fleet::UpstreamLoad &load)
{
    const auto it = m_totals.find(load.upstream);
    it->second -= load;
    if (isIdle(it->second))
        m_totals.erase(it);
}

std::set<base::UpstreamId> PeerLoads::apply(const fleet::LoadUpdate &update, base::TimePoint now)
{
    Host &host = m_hosts[update.host];
    const bool isNewStart = update.startId != host.startId;
    // What a new start has outstanding is only known from its snapshot.
    if (isNewStart ? !update.isSnapshot && host.startId != 0
                   : update.sequence != 0 && update.sequence <= host.sequence)
        return {};
    host.startId = update.startId;
    host.sequence = update.sequence;
    host.updatedAt = now;
    std::set<base::UpstreamId> changed;
    if (update.isSnapshot) {
        for (const auto &[id, load] : std::exchange(host.upstreams, {})) {
            subtract(load);
            changed.insert(id);
        }
    }
    for (const fleet::UpstreamLoad &load : update.upstreams) {
        if (const auto held = host.upstreams.find(load.upstream); held != host.upstreams.end()) {
            subtract(held->second);
            host.upstreams.erase(held);
        }
        changed.insert(load.upstream);
        if (isIdle(load))
            continue;
        host.upstreams[load.upstream] = load;
        fleet::UpstreamLoad &total = m_totals[load.upstream];
        total.upstream = load.upstream;
        total += load;
    }
    return changed;
}

std::set<base::UpstreamId> PeerLoads::removeExpired(base::TimePoint now)
{
    std::set<base::UpstreamId> changed;
    std::erase_if(m_hosts, [&](const auto &it) {
        if (now < it.second.updatedAt + kPeerTimeout)
            return false;
        for (const auto &[id, load] : it.second.upstreams) {
            subtract(load);
            changed.insert(id);
        }
        return true;
    });
    return changed;
}

fleet::UpstreamLoad PeerLoads::totalAt(const base::UpstreamId &upstream) const
{
    const auto it = m_totals.find(upstream);
    if (it != m_totals.end())
        return it->second;
    fleet::UpstreamLoad none;
    none.upstream = upstream;
    return none;
}

} // namespace hyssop::dispatch
