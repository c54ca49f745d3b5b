#include "PrefixCache.h"

#include "upstream/Upstream.h"

namespace hyssop::standins {

using upstream::kBlockTokens;

std::int64_t PrefixCache::tokens() const
{
    return static_cast<std::int64_t>(m_order.size()) * kBlockTokens;
}

std::int64_t PrefixCache::prefixOf(const std::vector<std::uint64_t> &blocks) const
{
    std::int64_t tokens = 0;
    for (const std::uint64_t block : blocks) {
        if (!m_blocks.contains(block))
            break;
        tokens += kBlockTokens;
    }
    return tokens;
}

void PrefixCache::remember(const std::vector<std::uint64_t> &blocks, std::int64_t room)
{
    for (const std::uint64_t block : blocks) {
        if (const auto it = m_blocks.find(block); it != m_blocks.end()) {
            m_order.splice(m_order.end(), m_order, it->second);
            continue;
        }
        if (room < kBlockTokens)
            return;
        shrinkTo(room - kBlockTokens);
        m_order.push_back(block);
        m_blocks.emplace(block, std::prev(m_order.end()));
        m_changes.added.push_back(block);
    }
}

void PrefixCache::shrinkTo(std::int64_t room)
{
    while (!m_order.empty() && tokens() > room)
        evictOldest();
}

void PrefixCache::evictOldest()
{
    m_changes.removed.push_back(m_order.front());
    m_blocks.erase(m_order.front());
    m_order.pop_front();
}

PrefixCache::Changes PrefixCache::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace hyssop::standins
