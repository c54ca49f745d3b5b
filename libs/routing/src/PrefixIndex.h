#pragma once

#include "routing/Routing.h"

#include <unordered_map>

namespace hyssop::routing {

/// What is thought to be in one engine's prefix cache, from its late and gappy events.
///
/// Blocks told of since the last gap are sure; those from before it, and those only expected
/// because of a request sent there, are doubtful.
class PrefixIndex
{
public:
    /// Leading blocks of a prompt found in the index.
    struct Match
    {
        std::size_t confirmed = 0;
        std::size_t unconfirmed = 0; ///< Further blocks, after the first doubtful one.
    };

    void apply(const CacheChanged &event);
    /// Takes blocks for cached until events say more.
    void addExpected(const std::vector<std::uint64_t> &blocks);
    Match match(const std::vector<std::uint64_t> &blocks) const;
    /// Bound on the blocks kept, from the engine's memory.
    void setCapacity(std::size_t blocks) { m_capacity = blocks; }
    std::size_t size() const { return m_blocks.size(); }

private:
    void evictUnconfirmed();

    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_generation = 1; ///< Rises with every gap; 0 marks expected blocks.
    std::size_t m_capacity = 4'096;
    std::unordered_map<std::uint64_t, std::uint64_t> m_blocks; ///< Generation of each.
};

} // namespace hyssop::routing
