#include "membership/Membership.h"

#include <tuple>

namespace hyssop::membership {

namespace {

constexpr std::size_t kContentHashDigits = 8;

bool hasSameContent(const Announcement &a, const Announcement &b)
{
    const auto content = [](const Announcement &it) {
        const routing::UpstreamInfo &upstream = it.upstream;
        return std::tie(upstream.incarnation, upstream.kind, upstream.dataCentre, upstream.role,
                        upstream.models, upstream.kvTokens, upstream.isLeaving, it.address,
                        it.checksFencing);
    };
    return content(a) == content(b);
}

/// Hash of an announcement without its sequence and ttl.
std::uint32_t contentHash(Announcement announcement)
{
    announcement.sequence = 0;
    announcement.ttl = base::Millis(0);
    const std::string digest = base::sha256Hex(toJson(announcement));
    return static_cast<std::uint32_t>(
            std::stoul(digest.substr(0, kContentHashDigits), nullptr, 16));
}

} // namespace

bool Directory::isStale(const Announcement &announcement) const
{
    const auto order = std::pair(announcement.upstream.incarnation, announcement.sequence);
    if (const auto it = m_entries.find(announcement.upstream.id); it != m_entries.end()) {
        const Announcement &current = it->second.announcement;
        return order <= std::pair(current.upstream.incarnation, current.sequence);
    }
    const auto tombstone = m_tombstones.find(announcement.upstream.id);
    return tombstone != m_tombstones.end()
           && order <= std::pair(tombstone->second.incarnation, tombstone->second.sequence);
}

std::vector<DirectoryChange> Directory::announce(const Announcement &announcement,
                                                 base::TimePoint now)
{
    if (isStale(announcement))
        return {};
    const base::UpstreamId &id = announcement.upstream.id;
    const base::TimePoint expiresAt = now + announcement.ttl + m_propagationDelay;
    const auto it = m_entries.find(id);
    if (it != m_entries.end() && hasSameContent(it->second.announcement, announcement)) {
        it->second.announcement = announcement;
        it->second.expiresAt = expiresAt;
        return {};
    }
    m_entries[id] = {announcement, contentHash(announcement), expiresAt};
    m_tombstones.erase(id);
    return {{DirectoryChange::Kind::Updated, announcement.upstream}};
}

Directory::RenewResult Directory::renew(const UpstreamDigest &digest, base::TimePoint now)
{
    if (const auto it = m_entries.find(digest.id); it != m_entries.end()) {
        Entry &entry = it->second;
        if (entry.contentHash != digest.contentHash)
            return RenewResult::Unknown;
        if (digest.sequence <= entry.announcement.sequence)
            return RenewResult::Stale;
        entry.announcement.sequence = digest.sequence;
        entry.expiresAt = now + entry.announcement.ttl + m_propagationDelay;
        return RenewResult::Renewed;
    }
    const auto tombstone = m_tombstones.find(digest.id);
    const bool isEnded = tombstone != m_tombstones.end()
                         && tombstone->second.contentHash == digest.contentHash
                         && digest.sequence <= tombstone->second.sequence;
    return isEnded ? RenewResult::Stale : RenewResult::Unknown;
}

std::vector<DirectoryChange> Directory::tick(base::TimePoint now)
{
    std::vector<DirectoryChange> changes;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const Entry &entry = it->second;
        if (entry.expiresAt > now) {
            ++it;
            continue;
        }
        const routing::UpstreamInfo &upstream = entry.announcement.upstream;
        m_tombstones[it->first] = {upstream.incarnation, entry.announcement.sequence,
                                   entry.contentHash, now + kTombstoneTtl};
        changes.push_back({DirectoryChange::Kind::Removed, upstream});
        it = m_entries.erase(it);
    }
    std::erase_if(m_tombstones, [now](const auto &it) { return it.second.expiresAt <= now; });
    return changes;
}

const Announcement *Directory::find(const base::UpstreamId &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.announcement;
}

std::vector<Announcement> Directory::all() const
{
    std::vector<Announcement> all;
    for (const auto &[id, entry] : m_entries)
        all.push_back(entry.announcement);
    return all;
}

std::vector<UpstreamDigest> Directory::digests() const
{
    std::vector<UpstreamDigest> digests;
    for (const auto &[id, entry] : m_entries)
        digests.push_back({id, entry.contentHash, entry.announcement.sequence});
    return digests;
}

} // namespace hyssop::membership
