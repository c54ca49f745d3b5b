#pragma once

#include "fleet/Fleet.h"

namespace hyssop::registry {

/// Packs the changes of the directory once for all entry hosts that are at the same revision. After
/// a start all of them ask for everything within a second.
class PackedDirectory
{
public:
    struct Changes
    {
        fleet::DirectoryChanges header; ///< Without its lists.
        std::string packed; ///< The lists; empty if there are no changes.
    };
    /// What \a read returns for a host at \a revision of \a incarnation, while the directory is at
    /// \a state.
    template <typename Read>
    const Changes &changesSince(std::pair<std::int64_t, std::int64_t> state,
                                std::int64_t incarnation, std::int64_t revision, const Read &read)
    {
        if (state != m_state)
            m_changes.clear();
        m_state = state;
        const auto [it, isNew] = m_changes.try_emplace({incarnation, revision});
        if (isNew)
            it->second = pack(read());
        return it->second;
    }

private:
    static Changes pack(fleet::DirectoryChanges changes)
    {
        Changes packed;
        if (!changes.upstreams.empty() || !changes.departed.empty())
            packed.packed = fleet::packDirectory(changes);
        changes.upstreams.clear();
        changes.departed.clear();
        packed.header = std::move(changes);
        return packed;
    }

    std::pair<std::int64_t, std::int64_t> m_state; ///< Incarnation and revision that are packed.
    std::map<std::pair<std::int64_t, std::int64_t>, Changes> m_changes;
};

} // namespace hyssop::registry
