#include "fleet/Fleet.h"

#include <algorithm>

namespace hyssop::fleet {

namespace {

/// Hosts that poll by revision get departures for this long. After that they get a snapshot.
constexpr base::Millis kTombstoneRetention{60'000};
/// Announcements arrive at most this late. Later ones of upstreams without a start time may come
/// from their next start.
constexpr base::Millis kMaxAnnouncementDelay{10'000};

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
    case AnnounceResult::Conflicting:
        return "conflicting";
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

const DepartedUpstream *Directory::findDeparted(const base::UpstreamId &id) const
{
    const auto it = m_tombstones.find(id);
    return it == m_tombstones.end() ? nullptr : &it->second.departed;
}

std::vector<DepartedUpstream> Directory::departuresOf(const std::vector<Upstream> &announced) const
{
    std::vector<DepartedUpstream> departures;
    for (const Upstream &it : announced) {
        const DepartedUpstream *departed = findDeparted(it.id);
        if (departed && departed->kind == DepartureKind::Left
            && departed->incarnation >= it.incarnation)
            departures.push_back(*departed);
    }
    return departures;
}

const Directory::Tombstone *Directory::timedOutStart(const Upstream &upstream) const
{
    const auto it = m_tombstones.find(upstream.id);
    const bool isSameStart = it != m_tombstones.end()
                             && it->second.departed.kind == DepartureKind::TimedOut
                             && it->second.departed.incarnation == upstream.incarnation;
    return isSameStart ? &it->second : nullptr;
}

bool Directory::isSuperseded(const Upstream &upstream, base::TimePoint now) const
{
    const DepartedUpstream *departed = findDeparted(upstream.id);
    if (departed && departed->kind == DepartureKind::Left
        && departed->incarnation >= upstream.incarnation)
        return true;
    const Tombstone *timedOut = timedOutStart(upstream);
    if (timedOut && upstream.sequence <= timedOut->lastSequence) {
        const bool hasStartTime = upstream.incarnation > base::Incarnation();
        if (hasStartTime
            || (timedOut->wasLeaving && now < timedOut->departedAt + kMaxAnnouncementDelay))
            return true;
    }
    const auto &ids = m_addresses.at(upstream.address);
    return std::any_of(ids.begin(), ids.end(), [&](const base::UpstreamId &id) {
        return m_entries.at(id).upstream.replacesAddressOf(upstream);
    });
}

bool Directory::isAddressInUse(const Upstream &upstream, base::TimePoint now) const
{
    const auto &ids = m_addresses.at(upstream.address);
    return std::any_of(ids.begin(), ids.end(), [&](const base::UpstreamId &id) {
        const Entry &other = m_entries.at(id);
        return id != upstream.id && !upstream.replacesAddressOf(other.upstream)
               && now < other.lastAnnouncedAt + m_announceTimeout / 2;
    });
}

bool Directory::isNamed(const Upstream &upstream) const
{
    return !m_services || m_services->contains(upstream.service);
}

bool Directory::isConflicting(const Upstream &upstream) const
{
    const auto it = m_entries.find(upstream.id);
    if (it != m_entries.end() && upstream.contradicts(it->second.upstream))
        return true;
    // Without start times, an upstream that timed out may since have been started anew.
    const Tombstone *timedOut =
            upstream.incarnation > base::Incarnation() ? timedOutStart(upstream) : nullptr;
    if (timedOut && timedOut->lastAnnounced && upstream.contradicts(*timedOut->lastAnnounced))
        return true;
    if (isNamed(upstream))
        return false;
    if (it != m_entries.end() && isNamed(it->second.upstream))
        return true;
    const auto &ids = m_addresses.at(upstream.address);
    return std::any_of(ids.begin(), ids.end(), [&](const base::UpstreamId &id) {
        return id != upstream.id && isNamed(m_entries.at(id).upstream);
    });
}

void Directory::setServices(std::set<base::ServiceId> services)
{
    for (auto &[id, entry] : m_entries) {
        // Hosts that poll by revision do not know it yet.
        if (!isNamed(entry.upstream) && services.contains(entry.upstream.service))
            entry.revision = ++m_revision;
    }
    m_services = std::move(services);
}

AnnounceResult Directory::announce(const Upstream &upstream, base::TimePoint now)
{
    if (isConflicting(upstream))
        return AnnounceResult::Conflicting;
    if (isSuperseded(upstream, now))
        return AnnounceResult::Stale;
    const auto it = m_entries.find(upstream.id);
    if (it != m_entries.end()) {
        Entry &entry = it->second;
        if (!upstream.isNewerThan(entry.upstream))
            return AnnounceResult::Stale;
        const bool isSameStart = entry.upstream.incarnation == upstream.incarnation;
        entry.lastAnnouncedAt = now;
        const bool wasLeaving = isSameStart && entry.upstream.isLeaving;
        Upstream next = upstream;
        // Draining ends only with the next start.
        next.isLeaving = next.isLeaving || wasLeaving;
        const base::TimePoint coldUntil = now + next.coldRemaining;
        const bool isChange = entry.upstream.isUpdatedBy(next)
                              || isColdTimeChanged(entry.coldUntil, coldUntil, now);
        if (isChange)
            entry.coldUntil = coldUntil;
        entry.isRepeated = isSameStart;
        m_addresses.remove(entry.upstream);
        entry.upstream = next;
        m_addresses.add(next);
        if (!isChange)
            return AnnounceResult::Unchanged;
        entry.revision = ++m_revision;
        return isSameStart ? AnnounceResult::Changed : AnnounceResult::New;
    }
    // A delayed announcement may come from an upstream that has ended.
    if (isAddressInUse(upstream, now))
        return AnnounceResult::Stale;
    for (const base::UpstreamId &id : std::set(m_addresses.at(upstream.address))) {
        const bool isCertain = upstream.replacesAddressOf(m_entries.at(id).upstream);
        remove(id, isCertain ? DepartureKind::Left : DepartureKind::TimedOut, now);
    }
    const Tombstone *timedOut = timedOutStart(upstream);
    const bool wasLeaving =
            timedOut && timedOut->wasLeaving && upstream.sequence > timedOut->lastSequence;
    m_tombstones.erase(upstream.id);
    Entry &entry = m_entries[upstream.id] = {upstream, ++m_revision, now};
    entry.upstream.isLeaving = upstream.isLeaving || wasLeaving;
    entry.coldUntil = now + upstream.coldRemaining;
    m_addresses.add(upstream);
    return AnnounceResult::New;
}

AnnounceResult Directory::markLeaving(const LeavingUpstream &leaving)
{
    const auto it = m_entries.find(leaving.id);
    if (it == m_entries.end() || it->second.upstream.incarnation != leaving.incarnation)
        return AnnounceResult::Stale;
    if (std::exchange(it->second.upstream.isLeaving, true))
        return AnnounceResult::Unchanged;
    it->second.revision = ++m_revision;
    return AnnounceResult::Changed;
}

AnnounceResult Directory::leave(const base::UpstreamId &id,
                                std::optional<base::Incarnation> incarnation, base::TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        const DepartedUpstream *departed = findDeparted(id);
        const base::Incarnation known = departed ? departed->incarnation : base::Incarnation();
        if (departed && departed->kind == DepartureKind::Left
            && known >= incarnation.value_or(known))
            return AnnounceResult::Unchanged;
        // Other control hosts may know it from its announcements, so its departure is passed
        // on.
        m_tombstones[id] = {
                {id, incarnation.value_or(known), DepartureKind::Left}, ++m_revision, now};
        return AnnounceResult::Changed;
    }
    if (incarnation && *incarnation < it->second.upstream.incarnation)
        return AnnounceResult::Stale;
    const base::Incarnation departed = incarnation.value_or(it->second.upstream.incarnation);
    remove(id, DepartureKind::Left, now);
    m_tombstones.at(id).departed.incarnation = departed;
    return AnnounceResult::Changed;
}

void Directory::remove(const base::UpstreamId &id, DepartureKind departure, base::TimePoint now)
{
    const auto it = m_entries.find(id);
    const Upstream &upstream = it->second.upstream;
    m_tombstones[id] = {{id, upstream.incarnation, departure},
                        ++m_revision,
                        now,
                        upstream.sequence,
                        upstream.isLeaving,
                        it->second.isRepeated ? std::optional(upstream) : std::nullopt};
    m_addresses.remove(it->second.upstream);
    m_entries.erase(it);
}

void Directory::removeExpired(base::TimePoint now)
{
    std::vector<base::UpstreamId> timedOut;
    for (const auto &[id, entry] : m_entries) {
        if (now >= entry.lastAnnouncedAt + m_announceTimeout)
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
    if (!changes.isSnapshot && revision == m_revision)
        return changes;
    for (const auto &[id, entry] : m_entries) {
        if (isNamed(entry.upstream) && (changes.isSnapshot || entry.revision > revision))
            changes.upstreams.push_back(entry.upstream);
    }
    for (const auto &[id, tombstone] : m_tombstones) {
        if (changes.isSnapshot || tombstone.revision > revision)
            changes.departed.push_back(tombstone.departed);
    }
    return changes;
}

} // namespace hyssop::fleet
