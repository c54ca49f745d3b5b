#include "membership/Membership.h"

#include <algorithm>
#include <cassert>

namespace hyssop::membership {

HostTable::HostTable(HostRow self)
    : m_self(std::move(self))
{
    assert(!m_self.id.isEmpty() && "a host without a name was given");
}

std::vector<HostChange> HostTable::hear(const HostRow &row, base::TimePoint now)
{
    if (row.id == m_self.id || row.id.isEmpty())
        return {};
    const auto [it, isFirst] = m_items.try_emplace(row.id);
    Item &item = it->second;
    const auto order = std::pair(row.incarnation, row.sequence);
    if (!isFirst && order <= std::pair(item.row.incarnation, item.row.sequence)) {
        // An old row may still tell the address.
        if (item.row.address.port == 0 && row.incarnation == item.row.incarnation)
            item.row.address = row.address;
        return {};
    }
    std::vector<HostChange> changes;
    const bool isReplaced = !isFirst && row.incarnation > item.row.incarnation;
    if (isReplaced)
        changes.push_back({HostChange::Kind::Replaced, row.id, item.row.incarnation});
    if (isFirst || isReplaced || item.state == State::Dead) {
        changes.push_back({HostChange::Kind::Seen, row.id, row.incarnation});
        item.since = now;
    }
    const base::Endpoint known = isReplaced ? base::Endpoint() : item.row.address;
    item.row = row;
    if (row.address.port == 0)
        item.row.address = known;
    item.state = State::Live;
    item.heard = now;
    return changes;
}

std::vector<HostChange> HostTable::tick(base::TimePoint now)
{
    std::vector<HostChange> changes;
    for (auto &[id, item] : m_items) {
        const base::TimePoint::duration silence = now - item.heard;
        if (item.state == State::Live && silence >= kSuspectAfter + m_allowance) {
            item.state = State::Suspected;
            changes.push_back({HostChange::Kind::Suspected, id, item.row.incarnation});
        }
        if (item.state == State::Suspected && silence >= kDeadAfter + m_allowance) {
            item.state = State::Dead;
            changes.push_back({HostChange::Kind::Dead, id, item.row.incarnation});
        }
    }
    std::erase_if(m_items, [now](const auto &it) { return now - it.second.heard >= kForgetAfter; });
    return changes;
}

const HostRow *HostTable::find(const base::HostId &id) const
{
    const auto it = m_items.find(id);
    return it == m_items.end() ? nullptr : &it->second.row;
}

bool HostTable::isDead(const base::HostId &id) const
{
    const auto it = m_items.find(id);
    return it != m_items.end() && it->second.state == State::Dead;
}

bool HostTable::isNew(const base::HostId &id, base::Millis span, base::TimePoint now) const
{
    const auto it = m_items.find(id);
    return it != m_items.end() && now - it->second.since < span;
}

std::vector<HostRow> HostTable::live() const
{
    std::vector<HostRow> live;
    for (const auto &[id, item] : m_items) {
        if (item.state != State::Dead)
            live.push_back(item.row);
    }
    const auto at = std::find_if(live.begin(), live.end(),
                                 [this](const HostRow &it) { return m_self.id < it.id; });
    live.insert(at, m_self);
    return live;
}

} // namespace hyssop::membership
