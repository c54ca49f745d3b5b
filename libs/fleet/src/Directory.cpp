#include "fleet/Fleet.h"

#include <algorithm>

namespace hyssop::fleet {

namespace {

/// Hosts that poll by revision get departures for this long. After that they get a snapshot.
constexpr base::Millis kTombstoneRetention{60'000};

} // namespace

std::string_view announceResultName(AnnounceResult result)
{
    switch (result) {
    case AnnounceResult::New:
        return "new";
    case AnnounceResult::Changed:
        return "changed";
    case AnnounceResult::Unchanged:
        return "refreshed";
    case AnnounceResult::Stale:
        return "stale";
    }
    return "unknown";
}

Directory::Directory(std::int64_t incarnation, base::Millis announceTimeout)
    : m_incarnation(incarnation)
    , m_announceTimeout(announceTimeout)
{ }

const Upstream *Directory::find(const base::UpstreamId &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.upstream;
}

bool Directory::isSuperseded(const Upstream &upstream) const
{
    const auto gone = m_tombstones.find(upstream.id);
    if (gone != m_tombstones.end() && gone->second.departed.kind == DepartureKind::Left
        && gone->second.departed.incarnation >= upstream.incarnation)
        return true;
    return std::any_of(m_entries.begin(), m_entries.end(), [&upstream](const auto &it) {
        return it.second.upstream.replacesAddressOf(upstream);
    });
}

bool Directory::isAddressInUse(const Upstream &upstream, base::TimePoint now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &it) {
        const Upstream &other = it.second.upstream;
        return other.id != upstream.id && other.address == upstream.address
               && !upstream.replacesAddressOf(other)
               && now < it.second.lastAnnouncedAt + m_announceTimeout / 2;
    });
}

AnnounceResult Directory::announce(const Upstream &upstream, base::TimePoint now)
{
    if (isSuperseded(upstream))
        return AnnounceResult::Stale;
    const auto it = m_entries.find(upstream.id);
    if (it != m_entries.end()) {
        Entry &row = it->second;
        if (!upstream.isNewerThan(row.upstream))
            return AnnounceResult::Stale;
        const bool isSameStart = row.upstream.incarnation == upstream.incarnation;
        row.lastAnnouncedAt = now;
        const bool wasLeaving = isSameStart && row.upstream.isLeaving;
        Upstream next = upstream;
        // Draining ends only with the next start.
        next.isLeaving = next.isLeaving || wasLeaving;
        Upstream before = row.upstream;
        before.sequence = next.sequence;
        row.upstream = next;
        if (before == next)
            return AnnounceResult::Unchanged;
        row.revision = ++m_revision;
        return isSameStart ? AnnounceResult::Changed : AnnounceResult::New;
    }
    // A delayed announcement may come from an upstream that has ended.
    if (isAddressInUse(upstream, now))
        return AnnounceResult::Stale;
    std::vector<base::UpstreamId> replaced;
    for (const auto &[id, row] : m_entries) {
        if (row.upstream.address == upstream.address)
            replaced.push_back(id);
    }
    for (const base::UpstreamId &id : replaced) {
        const bool isCertain = upstream.replacesAddressOf(m_entries.at(id).upstream);
        remove(id, isCertain ? DepartureKind::Left : DepartureKind::TimedOut, now);
    }
    m_tombstones.erase(upstream.id);
    m_entries[upstream.id] = {upstream, ++m_revision, now};
    return AnnounceResult::New;
}

AnnounceResult Directory::leave(const base::UpstreamId &id,
                                std::optional<base::Incarnation> incarnation, base::TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        const auto gone = m_tombstones.find(id);
        const bool isKnown = gone != m_tombstones.end()
                             && gone->second.departed.kind == DepartureKind::Left
                             && (!incarnation || gone->second.departed.incarnation >= *incarnation);
        if (isKnown)
            return AnnounceResult::Unchanged;
        // Other control hosts may know it from its announcements, so that its departure is passed
        // on.
        if (!incarnation)
            return AnnounceResult::Stale;
        m_tombstones[id] = {{id, *incarnation, DepartureKind::Left}, ++m_revision, now};
        return AnnounceResult::Changed;
    }
    if (incarnation && *incarnation < it->second.upstream.incarnation)
        return AnnounceResult::Stale;
    remove(id, DepartureKind::Left, now);
    return AnnounceResult::Changed;
}

void Directory::remove(const base::UpstreamId &id, DepartureKind departure, base::TimePoint now)
{
    const auto it = m_entries.find(id);
    m_tombstones[id] = {{id, it->second.upstream.incarnation, departure}, ++m_revision, now};
    m_entries.erase(it);
}

void Directory::removeExpired(base::TimePoint now)
{
    std::vector<base::UpstreamId> timedOut;
    for (const auto &[id, row] : m_entries) {
        if (now >= row.lastAnnouncedAt + m_announceTimeout)
            timedOut.push_back(id);
    }
    for (const base::UpstreamId &id : timedOut)
        remove(id, DepartureKind::TimedOut, now);
    std::erase_if(m_tombstones, [&](const auto &it) {
        if (now < it.second.departedAt + kTombstoneRetention)
            return false;
        m_prunedRevision = std::max(m_prunedRevision, it.second.revision);
        return true;
    });
}

DirectoryChanges Directory::changesSince(std::int64_t incarnation, std::int64_t revision) const
{
    DirectoryChanges changes;
    changes.incarnation = m_incarnation;
    changes.revision = m_revision;
    changes.isSnapshot = incarnation != m_incarnation || revision < m_prunedRevision;
    for (const auto &[id, row] : m_entries) {
        if (changes.isSnapshot || row.revision > revision)
            changes.upstreams.push_back(row.upstream);
    }
    for (const auto &[id, gone] : m_tombstones) {
        if (changes.isSnapshot || gone.revision > revision)
            changes.departed.push_back(gone.departed);
    }
    return changes;
}

} // namespace hyssop::fleet
