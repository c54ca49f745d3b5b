#include "peers/Inbound.h"

#include <algorithm>

namespace hyssop::peers {

namespace {

/// Parts up to this size are the frame of a message and say nothing about who sends it.
constexpr std::size_t kFrameBytes = 16;

} // namespace

InboundAccount::Id InboundAccount::add()
{
    m_entries.emplace(++m_lastId, Entry());
    return m_lastId;
}

void InboundAccount::remove(Id id)
{
    finish(id);
    m_entries.erase(id);
}

void InboundAccount::begin(Id id, std::size_t bytes)
{
    Entry &entry = m_entries.at(id);
    m_awaited += bytes - entry.awaited;
    entry.awaited = bytes;
    entry.begunAs = ++m_lastBegin;
}

void InboundAccount::finish(Id id)
{
    Entry &entry = m_entries.at(id);
    entry.hasCompleted = entry.hasCompleted || entry.awaited > kFrameBytes;
    m_awaited -= entry.awaited;
    entry.awaited = 0;
}

std::vector<InboundAccount::Id> InboundAccount::victims(Id newest) const
{
    std::vector<Id> victims;
    const auto limit = static_cast<std::size_t>(m_limits.messages.count());
    if (limit > 0 && m_awaited > limit) {
        std::vector<std::pair<std::int64_t, Id>> begun;
        for (const auto &[id, entry] : m_entries)
            if (entry.awaited > kFrameBytes)
                begun.emplace_back(entry.begunAs, id);
        std::sort(begun.begin(), begun.end());
        std::size_t awaited = m_awaited;
        for (const auto &[order, id] : begun) {
            if (awaited <= limit)
                break;
            awaited -= m_entries.at(id).awaited;
            victims.push_back(id);
        }
    }
    if (m_limits.connections > 0 && m_entries.size() - victims.size() > m_limits.connections) {
        const auto it = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &it) {
            return it.first != newest && !it.second.hasCompleted
                   && std::find(victims.begin(), victims.end(), it.first) == victims.end();
        });
        victims.push_back(it == m_entries.end() ? newest : it->first);
    }
    return victims;
}

} // namespace hyssop::peers
