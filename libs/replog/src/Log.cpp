#include "Log.h"

#include <algorithm>
#include <cassert>

namespace hyssop::replog {

Log::Log(Storage *storage, RecoveredState recovered)
    : m_storage(storage)
    , m_snapshot(std::move(recovered.snapshot))
    , m_precedingPosition(m_snapshot.position)
{
    m_configurations.emplace(m_precedingPosition.index, m_snapshot.configuration);
    for (Entry &entry : recovered.entries) {
        recordConfiguration(entry);
        m_entries.push_back(std::move(entry));
    }
}

Position Log::lastPosition() const
{
    return m_entries.empty() ? m_precedingPosition : m_entries.back().position;
}

bool Log::isEmpty() const
{
    return lastPosition().index == Index(0);
}

const Entry &Log::at(Index index) const
{
    assert(index >= first() && index <= lastPosition().index && "the entry is not in memory");
    return m_entries[static_cast<std::size_t>((index - first()).count())];
}

std::optional<Term> Log::termAt(Index index) const
{
    if (index == m_precedingPosition.index)
        return m_precedingPosition.term;
    if (index < first() || index > lastPosition().index)
        return std::nullopt;
    return at(index).position.term;
}

std::vector<Entry> Log::entriesFrom(Index from, std::size_t maxBytes) const
{
    std::vector<Entry> entries;
    std::size_t bytes = 0;
    for (Index it = from; it <= lastPosition().index && (entries.empty() || bytes < maxBytes);
         it += Index(1)) {
        entries.push_back(at(it));
        bytes += entries.back().payload.size();
    }
    return entries;
}

std::vector<Entry> Log::entriesAfter(Index after, Index until) const
{
    std::vector<Entry> entries;
    for (Index it = after + Index(1); it <= until; it += Index(1))
        entries.push_back(at(it));
    return entries;
}

Index Log::firstIndexOfTerm(Index index) const
{
    const Term term = at(index).position.term;
    while (index > first() && at(index - Index(1)).position.term == term)
        index -= Index(1);
    return index;
}

void Log::recordConfiguration(const Entry &entry)
{
    if (entry.kind != EntryKind::Voters)
        return;
    const auto configuration = decodeConfiguration(entry.payload);
    assert(configuration && "an entry of kind Voters holds no configuration");
    m_configurations[entry.position.index] = *configuration;
}

void Log::append(std::vector<Entry> entries)
{
    if (entries.empty())
        return;
    m_storage->append(entries);
    for (Entry &entry : entries) {
        assert(entry.position.index == lastPosition().index + Index(1)
               && "the entries are not consecutive");
        recordConfiguration(entry);
        m_entries.push_back(std::move(entry));
    }
}

void Log::truncateFrom(Index first)
{
    assert(first > m_snapshot.position.index && "entries covered by the snapshot are committed");
    m_storage->truncateFrom(first);
    while (!m_entries.empty() && m_entries.back().position.index >= first)
        m_entries.pop_back();
    m_configurations.erase(m_configurations.lower_bound(first), m_configurations.end());
}

void Log::dropConfigurationsBefore(Index index)
{
    const auto active = std::prev(m_configurations.upper_bound(index));
    m_configurations.erase(m_configurations.begin(), active);
}

void Log::compact(Index index, std::string state, std::int64_t trailing, base::Bytes trailingBytes)
{
    assert(termAt(index) && "the position of the snapshot is not in memory");
    const auto active = std::prev(m_configurations.upper_bound(index));
    m_snapshot = {{*termAt(index), index}, active->second, std::move(state)};
    m_storage->saveSnapshot(m_snapshot);
    dropConfigurationsBefore(index);
    std::int64_t bytes = 0;
    for (const Entry &entry : m_entries) {
        if (entry.position.index <= index)
            bytes += static_cast<std::int64_t>(entry.payload.size());
    }
    while (!m_entries.empty() && m_entries.front().position.index <= index
           && (m_entries.front().position.index.count() + trailing <= index.count()
               || bytes > trailingBytes.count())) {
        bytes -= static_cast<std::int64_t>(m_entries.front().payload.size());
        m_precedingPosition = m_entries.front().position;
        m_entries.pop_front();
    }
}

void Log::installSnapshot(Snapshot snapshot)
{
    const Position position = snapshot.position;
    const bool hasPosition = termAt(position.index) == position.term;
    if (!hasPosition) {
        m_storage->truncateFrom(m_snapshot.position.index + Index(1));
        m_entries.clear();
        m_configurations.clear();
    }
    m_storage->saveSnapshot(snapshot);
    while (!m_entries.empty() && m_entries.front().position.index <= position.index)
        m_entries.pop_front();
    m_configurations[position.index] = snapshot.configuration;
    dropConfigurationsBefore(position.index);
    m_precedingPosition = position;
    m_snapshot = std::move(snapshot);
}

} // namespace hyssop::replog
