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
    /// What a host at that revision of \a directory has to learn.
    const Changes &changesSince(const fleet::Directory &directory, std::int64_t incarnation,
                                std::int64_t revision)
    {
        if (directory.revision() != m_revision)
            m_changes.clear();
        m_revision = directory.revision();
        const auto [it, isNew] = m_changes.try_emplace({incarnation, revision});
        if (isNew)
            it->second = pack(directory.changesSince(incarnation, revision));
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

    std::int64_t m_revision = 0; ///< Up to which changes are packed.
    std::map<std::pair<std::int64_t, std::int64_t>, Changes> m_changes;
};

} // namespace hyssop::registry
