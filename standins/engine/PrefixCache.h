#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace hyssop::standins {

/// Blocks of prompts kept in memory that nothing else needs, least recently used first out.
class PrefixCache
{
public:
    /// What changed since the last call of takeChanges().
    struct Changes
    {
        std::vector<std::uint64_t> added;
        std::vector<std::uint64_t> removed;
    };

    std::int64_t tokens() const;
    /// Tokens of the leading blocks that are cached.
    std::int64_t prefixOf(const std::vector<std::uint64_t> &blocks) const;
    /// Caches the blocks as far as \a room tokens reach, evicting older ones.
    void remember(const std::vector<std::uint64_t> &blocks, std::int64_t room);
    /// Evicts until at most \a room tokens are cached.
    void shrinkTo(std::int64_t room);
    Changes takeChanges();

private:
    void evictOldest();

    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    Changes m_changes;
};

} // namespace hyssop::standins
