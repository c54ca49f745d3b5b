#include "PrefixIndex.h"

namespace hyssop::routing {

void PrefixIndex::apply(const CacheChanged &event)
{
    if (event.epoch < m_epoch)
        return;
    if (event.epoch > m_epoch) {
        // A new epoch starts with an empty cache.
        m_blocks.clear();
        m_epoch = event.epoch;
        m_sequence = event.sequence > 0 ? event.sequence - 1 : 0;
        ++m_generation;
    }
    if (event.sequence <= m_sequence)
        return;
    if (event.sequence > m_sequence + 1)
        ++m_generation;
    m_sequence = event.sequence;
    for (const std::uint64_t block : event.removed)
        m_blocks.erase(block);
    for (const std::uint64_t block : event.added)
        m_blocks[block] = m_generation;
    evictUnconfirmed();
}

void PrefixIndex::addExpected(const std::vector<std::uint64_t> &blocks)
{
    for (const std::uint64_t block : blocks)
        m_blocks.try_emplace(block, 0);
    evictUnconfirmed();
}

void PrefixIndex::evictUnconfirmed()
{
    if (m_blocks.size() <= m_capacity)
        return;
    std::erase_if(m_blocks, [this](const auto &it) { return it.second < m_generation; });
}

PrefixIndex::Match PrefixIndex::match(const std::vector<std::uint64_t> &blocks) const
{
    Match match;
    if (m_blocks.empty())
        return match;
    for (const std::uint64_t block : blocks) {
        const auto it = m_blocks.find(block);
        if (it == m_blocks.end())
            break;
        if (it->second == m_generation && match.unconfirmed == 0)
            ++match.confirmed;
        else
            ++match.unconfirmed;
    }
    return match;
}

} // namespace hyssop::routing
