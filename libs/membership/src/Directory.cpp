#include "membership/Membership.h"

#include <tuple>

namespace hyssop::membership {

namespace {

constexpr std::size_t kTagDigits = 8;

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

/// Tag of what an announcement says, whenever it says it.
std::uint32_t tagOf(Announcement announcement)
{
    announcement.sequence = 0;
    announcement.ttl = base::Millis(0);
    const std::string digest = base::sha256Hex(toJson(announcement));
    return static_cast<std::uint32_t>(std::stoul(digest.substr(0, kTagDigits), nullptr, 16));
}

} // namespace

bool Directory::isOld(const Announcement &announcement) const
{
    const auto order = std::pair(announcement.upstream.incarnation, announcement.sequence);
    if (const auto it = m_items.find(announcement.upstream.id); it != m_items.end()) {
        const Announcement &held = it->second.announcement;
        return order <= std::pair(held.upstream.incarnation, held.sequence);
    }
    const auto ended = m_ended.find(announcement.upstream.id);
    return ended != m_ended.end()
           && order <= std::pair(ended->second.incarnation, ended->second.sequence);
}

std::vector<DirectoryChange> Directory::announce(const Announcement &announcement,
                                                 base::TimePoint now)
{
    if (isOld(announcement))
        return {};
    const base::UpstreamId &id = announcement.upstream.id;
    const base::TimePoint expires = now + announcement.ttl + m_allowance;
    const auto it = m_items.find(id);
    if (it != m_items.end() && hasSameContent(it->second.announcement, announcement)) {
        it->second.announcement = announcement;
        it->second.expires = expires;
        return {};
    }
    m_items[id] = {announcement, tagOf(announcement), expires};
    m_ended.erase(id);
    return {{DirectoryChange::Kind::Seen, announcement.upstream}};
}

Directory::Refresh Directory::refresh(const UpstreamRow &row, base::TimePoint now)
{
    if (const auto it = m_items.find(row.id); it != m_items.end()) {
        Item &item = it->second;
        if (item.contentTag != row.contentTag)
            return Refresh::Unknown;
        if (row.sequence <= item.announcement.sequence)
            return Refresh::Old;
        item.announcement.sequence = row.sequence;
        item.expires = now + item.announcement.ttl + m_allowance;
        return Refresh::Renewed;
    }
    const auto ended = m_ended.find(row.id);
    const bool isOld = ended != m_ended.end() && ended->second.contentTag == row.contentTag
                       && row.sequence <= ended->second.sequence;
    return isOld ? Refresh::Old : Refresh::Unknown;
}

std::vector<DirectoryChange> Directory::tick(base::TimePoint now)
{
    std::vector<DirectoryChange> changes;
    for (auto it = m_items.begin(); it != m_items.end();) {
        const Item &item = it->second;
        if (item.expires > now) {
            ++it;
            continue;
        }
        const routing::UpstreamInfo &upstream = item.announcement.upstream;
        m_ended[it->first] = {upstream.incarnation, item.announcement.sequence, item.contentTag,
                              now + kRememberEnded};
        changes.push_back({DirectoryChange::Kind::Gone, upstream});
        it = m_items.erase(it);
    }
    std::erase_if(m_ended, [now](const auto &it) { return it.second.until <= now; });
    return changes;
}

const Announcement *Directory::find(const base::UpstreamId &id) const
{
    const auto it = m_items.find(id);
    return it == m_items.end() ? nullptr : &it->second.announcement;
}

std::vector<Announcement> Directory::all() const
{
    std::vector<Announcement> all;
    for (const auto &[id, item] : m_items)
        all.push_back(item.announcement);
    return all;
}

std::vector<UpstreamRow> Directory::rows() const
{
    std::vector<UpstreamRow> rows;
    for (const auto &[id, item] : m_items)
        rows.push_back({id, item.contentTag, item.announcement.sequence});
    return rows;
}

} // namespace hyssop::membership
