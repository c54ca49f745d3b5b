#pragma once

#include "fleet/Fleet.h"

#include <deque>

namespace hyssop::registry {

/// The texts of the latest configurations, from which entry hosts that hold one of them get only
/// what has changed since.
class ConfigurationHistory
{
public:
    /// Adds the configuration that is in force from now on. Earlier ones are kept up to a limit.
    void add(fleet::ConfigurationVersion version, std::string text);
    /// Delta from the text of \a version to the newest one; empty if that version is not kept. It
    /// is computed once for all hosts that hold the version.
    const std::string &deltaFrom(fleet::ConfigurationVersion version);

private:
    struct Entry
    {
        fleet::ConfigurationVersion version;
        std::string text;
        std::optional<std::string> delta; ///< To the newest text.
    };
    std::deque<Entry> m_entries; ///< Oldest first.
    std::size_t m_bytes = 0;
};

} // namespace hyssop::registry
