#include "ConfigurationHistory.h"

#include <algorithm>

namespace hyssop::registry {

namespace {

/// Versions may follow each other faster than hosts apply them.
constexpr std::size_t kMaxVersions = 32;
/// Limit on all texts together, a fraction of a control host's memory.
constexpr std::size_t kMaxBytes = std::size_t(16) << 20;

} // namespace

void ConfigurationHistory::add(fleet::ConfigurationVersion version, std::string text)
{
    // After its log was reopened, a control host applies earlier versions again.
    if (!m_entries.empty() && version <= m_entries.back().version) {
        m_entries.clear();
        m_bytes = 0;
    }
    for (Entry &it : m_entries)
        it.delta.reset();
    m_bytes += text.size();
    m_entries.push_back({version, std::move(text), {}});
    while (m_entries.size() > 1 && (m_entries.size() > kMaxVersions || m_bytes > kMaxBytes)) {
        m_bytes -= m_entries.front().text.size();
        m_entries.pop_front();
    }
}

const std::string &ConfigurationHistory::deltaFrom(fleet::ConfigurationVersion version)
{
    static const std::string kNone;
    const auto it = std::find_if(m_entries.begin(), m_entries.end(), [version](const Entry &entry) {
        return entry.version == version;
    });
    if (it == m_entries.end())
        return kNone;
    if (!it->delta)
        it->delta = fleet::makeDelta(it->text, m_entries.back().text);
    return *it->delta;
}

} // namespace hyssop::registry
