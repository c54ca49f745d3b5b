#include "AnsweredContent.h"

namespace hyssop::dispatch {

void AnsweredContent::record(fleet::Fingerprint content, base::TimePoint now)
{
    if (const auto it = m_times.find(content.count()); it != m_times.end()) {
        it->second->first = now;
        m_order.splice(m_order.end(), m_order, it->second);
        return;
    }
    m_times.emplace(content.count(), m_order.emplace(m_order.end(), now, content.count()));
    if (m_order.size() <= kMaxSize)
        return;
    m_times.erase(m_order.front().second);
    m_order.pop_front();
}

std::optional<base::TimePoint> AnsweredContent::lastAnswered(fleet::Fingerprint content) const
{
    const auto it = m_times.find(content.count());
    return it == m_times.end() ? std::nullopt : std::optional(it->second->first);
}

std::vector<fleet::Fingerprint> AnsweredContent::answeredAfter(base::TimePoint from,
                                                               std::size_t limit) const
{
    std::vector<fleet::Fingerprint> contents;
    for (auto it = m_order.rbegin();
         it != m_order.rend() && it->first > from && contents.size() < limit; ++it)
        contents.emplace_back(it->second);
    return contents;
}

} // namespace hyssop::dispatch
