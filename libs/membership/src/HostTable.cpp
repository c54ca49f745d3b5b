#include "membership/Membership.h"

#include <algorithm>
#include <cassert>

namespace hyssop::membership {

HostTable::HostTable(HostHeartbeat self)
    : m_self(std::move(self))
{
    assert(!m_self.id.isEmpty() && "the host id is empty");
}

std::vector<HostChange> HostTable::update(const HostHeartbeat &heartbeat, base::TimePoint now)
{
    if (heartbeat.id == m_self.id || heartbeat.id.isEmpty())
        return {};
    const auto [it, isFirst] = m_entries.try_emplace(heartbeat.id);
    Entry &entry = it->second;
    const auto order = std::pair(heartbeat.incarnation, heartbeat.sequence);
    if (!isFirst && order <= std::pair(entry.heartbeat.incarnation, entry.heartbeat.sequence)) {
        // A stale heartbeat may still provide a missing address.
        if (entry.heartbeat.address.port == 0
            && heartbeat.incarnation == entry.heartbeat.incarnation)
            entry.heartbeat.address = heartbeat.address;
        return {};
    }
    std::vector<HostChange> changes;
    const bool isReplaced = !isFirst && heartbeat.incarnation > entry.heartbeat.incarnation;
    if (isReplaced)
        changes.push_back({HostChange::Kind::Restarted, heartbeat.id, entry.heartbeat.incarnation});
    if (isFirst || isReplaced || entry.state == State::Dead) {
        changes.push_back({HostChange::Kind::Alive, heartbeat.id, heartbeat.incarnation});
        entry.upSince = now;
    }
    const base::Endpoint known = isReplaced ? base::Endpoint() : entry.heartbeat.address;
    entry.heartbeat = heartbeat;
    if (heartbeat.address.port == 0)
        entry.heartbeat.address = known;
    entry.state = State::Live;
    entry.lastUpdateAt = now;
    return changes;
}

std::vector<HostChange> HostTable::tick(base::TimePoint now)
{
    std::vector<HostChange> changes;
    for (auto &[id, entry] : m_entries) {
        const base::TimePoint::duration silence = now - entry.lastUpdateAt;
        if (entry.state == State::Live && silence >= kSuspectAfter + m_propagationDelay) {
            entry.state = State::Suspected;
            changes.push_back({HostChange::Kind::Suspected, id, entry.heartbeat.incarnation});
        }
        if (entry.state == State::Suspected && silence >= kDeadAfter + m_propagationDelay) {
            entry.state = State::Dead;
            changes.push_back({HostChange::Kind::Dead, id, entry.heartbeat.incarnation});
        }
    }
    std::erase_if(m_entries, [now](const auto &it) {
        return now - it.second.lastUpdateAt >= kDeadHostRetention;
    });
    return changes;
}

const HostHeartbeat *HostTable::find(const base::HostId &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.heartbeat;
}

bool HostTable::isDead(const base::HostId &id) const
{
    const auto it = m_entries.find(id);
    return it != m_entries.end() && it->second.state == State::Dead;
}

bool HostTable::isNew(const base::HostId &id, base::Millis span, base::TimePoint now) const
{
    const auto it = m_entries.find(id);
    return it != m_entries.end() && now - it->second.upSince < span;
}

std::vector<HostHeartbeat> HostTable::live() const
{
    std::vector<HostHeartbeat> live;
    for (const auto &[id, entry] : m_entries) {
        if (entry.state != State::Dead)
            live.push_back(entry.heartbeat);
    }
    const auto at = std::find_if(live.begin(), live.end(),
                                 [this](const HostHeartbeat &it) { return m_self.id < it.id; });
    live.insert(at, m_self);
    return live;
}

} // namespace hyssop::membership
