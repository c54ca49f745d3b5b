#pragma once

#include "routing/Routing.h"

#include <unordered_map>

namespace hyssop::routing {

/// Approximate contents of one engine's prefix cache. Cache events arrive late and may be lost.
///
/// Blocks reported since the last gap in the events are confirmed. Blocks reported before it, and
/// blocks expected only because a request was sent there, are unconfirmed.
class PrefixIndex
{
public:
    /// Leading blocks of a prompt found in the index.
    struct Match
    {
        std::size_t confirmed = 0;
        std::size_t unconfirmed = 0; ///< Further blocks, from the first unconfirmed one on.
    };

    void apply(const CacheChanged &event);
    /// Adds \a blocks as unconfirmed until events confirm or remove them.
    void addExpected(const std::vector<std::uint64_t> &blocks);
    /// Matches the chained hashes \a blocks from the start, up to the first unknown block.
    Match match(const std::vector<std::uint64_t> &blocks) const;
    /// Limit on stored blocks, from the engine's KV cache size. Confirmed blocks may exceed it.
    void setCapacity(std::size_t blocks) { m_capacity = blocks; }
    std::size_t size() const { return m_blocks.size(); }

private:
    /// Removes all unconfirmed blocks if the index is over its capacity.
    void evictUnconfirmed();

    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_generation = 1; ///< Incremented at every gap; 0 marks expected blocks.
    std::size_t m_capacity = 4'096;
    std::unordered_map<std::uint64_t, std::uint64_t> m_blocks; ///< Block hash to generation.
};

} // namespace hyssop::routing
