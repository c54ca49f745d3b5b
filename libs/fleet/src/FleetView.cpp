#include "fleet/Fleet.h"

#include <algorithm>

namespace hyssop::fleet {

namespace {

/// Upstreams that left are remembered for this long, so that a delayed announcement does not
/// restore them. Delayed announcements are seconds old.
constexpr base::Millis kLeftRetention{120'000};

} // namespace

FleetView::FleetView(base::Millis retention)
    : m_retention(retention)
{ }

bool FleetView::isAddressTakenOver(const Upstream &upstream) const
{
    const auto &ids = m_addresses.at(upstream.address);
    return std::any_of(ids.begin(), ids.end(), [&](const base::UpstreamId &id) {
        return m_entries.at(id).upstream.replacesAddressOf(upstream);
    });
}

void FleetView::removeUpstream(const base::UpstreamId &id, Changes &changes)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    m_addresses.remove(it->second.upstream);
    m_entries.erase(it);
    changes.removed.push_back(id);
}

void FleetView::applyUpstream(const base::HostId &control, const Upstream &upstream,
                              base::TimePoint now, Changes &changes)
{
    const auto left = m_leftUpstreams.find(upstream.id);
    if (left != m_leftUpstreams.end() && left->second.first >= upstream.incarnation)
        return;
    const auto it = m_entries.find(upstream.id);
    if (it == m_entries.end()) {
        if (isAddressTakenOver(upstream))
            return;
        for (const base::UpstreamId &id : std::set(m_addresses.at(upstream.address)))
            removeUpstream(id, changes);
        m_entries[upstream.id] = {upstream, {control}, now, now + upstream.coldRemaining};
        m_addresses.add(upstream);
        changes.upstreams.push_back(upstream);
        return;
    }
    Entry &entry = it->second;
    // Directories may disagree for a moment on the service of a start; the first one holds.
    if (upstream.incarnation < entry.upstream.incarnation || upstream.contradicts(entry.upstream))
        return;
    entry.listedBy.insert(control);
    entry.lastListedAt = now;
    const bool isSameStart = upstream.incarnation == entry.upstream.incarnation;
    Upstream next = upstream.isNewerThan(entry.upstream) ? upstream : entry.upstream;
    if (isSameStart)
        next.isLeaving = entry.upstream.isLeaving || upstream.isLeaving;
    // An older statement of the same start says nothing new.
    const base::TimePoint coldUntil =
            upstream.isNewerThan(entry.upstream) ? now + upstream.coldRemaining : entry.coldUntil;
    const bool isChange =
            entry.upstream.isUpdatedBy(next) || isColdTimeChanged(entry.coldUntil, coldUntil, now);
    if (isChange)
        entry.coldUntil = coldUntil;
    m_addresses.remove(entry.upstream);
    entry.upstream = next;
    m_addresses.add(next);
    if (isChange)
        changes.upstreams.push_back(next);
}

FleetView::Changes FleetView::markLeaving(const LeavingUpstream &leaving)
{
    const auto it = m_entries.find(leaving.id);
    if (it == m_entries.end() || it->second.upstream.incarnation != leaving.incarnation
        || std::exchange(it->second.upstream.isLeaving, true))
        return {};
    return {{it->second.upstream}, {}};
}

FleetView::Changes FleetView::apply(const base::HostId &control, const DirectoryChanges &update,
                                    base::TimePoint now)
{
    Changes changes;
    if (update.isSnapshot) {
        for (auto &[id, entry] : m_entries)
            entry.listedBy.erase(control);
    }
    for (const Upstream &upstream : update.upstreams)
        applyUpstream(control, upstream, now, changes);
    for (const DepartedUpstream &it : update.departed) {
        if (it.kind == DepartureKind::Left) {
            auto &left = m_leftUpstreams[it.id];
            left = {std::max(left.first, it.incarnation), now};
        }
        const auto entry = m_entries.find(it.id);
        if (entry == m_entries.end() || entry->second.upstream.incarnation > it.incarnation)
            continue;
        entry->second.listedBy.erase(control);
        if (it.kind == DepartureKind::Left || entry->second.listedBy.empty())
            removeUpstream(it.id, changes);
    }
    for (auto &[id, entry] : m_entries) {
        if (!entry.listedBy.empty())
            entry.lastListedAt = now;
    }
    return changes;
}

FleetView::Changes FleetView::removeExpired(base::TimePoint now)
{
    Changes changes;
    std::vector<base::UpstreamId> expired;
    for (const auto &[id, entry] : m_entries) {
        if (entry.listedBy.empty() && now >= entry.lastListedAt + m_retention)
            expired.push_back(id);
    }
    for (const base::UpstreamId &id : expired)
        removeUpstream(id, changes);
    std::erase_if(m_leftUpstreams,
                  [now](const auto &it) { return now >= it.second.second + kLeftRetention; });
    return changes;
}

} // namespace hyssop::fleet
