#include "membership/Membership.h"

namespace hyssop::membership {

std::vector<DirectoryChange> Directory::announce(const Announcement &announcement,
                                                 base::TimePoint now)
{
    const auto it = m_items.find(announcement.upstream.id);
    if (it != m_items.end()) {
        const Announcement &held = it->second.announcement;
        const auto heldOrder = std::pair(held.upstream.incarnation, held.sequence);
        if (std::pair(announcement.upstream.incarnation, announcement.sequence) <= heldOrder)
            return {};
    }
    m_items[announcement.upstream.id] = {announcement, now + announcement.ttl};
    return {{DirectoryChange::Kind::Seen, announcement.upstream}};
}

std::vector<DirectoryChange> Directory::tick(base::TimePoint now)
{
    std::vector<DirectoryChange> changes;
    for (auto it = m_items.begin(); it != m_items.end();) {
        if (it->second.expires > now) {
            ++it;
            continue;
        }
        changes.push_back({DirectoryChange::Kind::Gone, it->second.announcement.upstream});
        it = m_items.erase(it);
    }
    return changes;
}

const Announcement *Directory::find(const base::UpstreamId &id) const
{
    const auto it = m_items.find(id);
    return it == m_items.end() ? nullptr : &it->second.announcement;
}

std::vector<Announcement> Directory::live(base::TimePoint now) const
{
    std::vector<Announcement> all;
    for (const auto &[id, item] : m_items) {
        if (item.expires <= now)
            continue;
        all.push_back(item.announcement);
        all.back().ttl = std::chrono::ceil<base::Millis>(item.expires - now);
    }
    return all;
}

} // namespace hyssop::membership
