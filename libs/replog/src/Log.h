#pragma once

#include "replog/Replog.h"

#include <deque>
#include <map>

namespace hyssop::replog {

/// Entries of one replica after its snapshot, as in memory, written through to the storage.
class Log
{
public:
    Log(Storage *storage, Recovered recovered);

    Position last() const;
    /// First entry held; entries before it are only in the snapshot.
    Index first() const { return m_precedingPosition.index + Index(1); }
    /// Term of the entry at \a index, also of the one just before the first; else empty.
    std::optional<Term> termAt(Index index) const;
    const Snapshot &snapshot() const { return m_snapshot; }
    bool isEmpty() const;

    /// Entries from \a from on, at least one when there is one, and then up to \a maxBytes.
    std::vector<Entry> entriesFrom(Index from, std::size_t maxBytes) const;
    /// Entries after \a after up to and including \a until.
    std::vector<Entry> entriesAfter(Index after, Index until) const;
    /// First index of the run of entries with the term of \a index.
    Index firstIndexOfTerm(Index index) const;

    /// Appends entries that follow the last one.
    void append(std::vector<Entry> entries);
    void truncateFrom(Index first);
    /// Takes \a state as the snapshot at \a index, which is held, and keeps \a trailing entries of
    /// at most \a trailingBytes together.
    void compact(Index index, std::string state, std::int64_t trailing, base::Bytes trailingBytes);
    /// Replaces the log by a leader's snapshot; entries that follow it are kept when they match.
    void installSnapshot(Snapshot snapshot);

    const Configuration &configuration() const { return m_configurations.rbegin()->second; }
    Index configurationIndex() const { return m_configurations.rbegin()->first; }

private:
    const Entry &at(Index index) const;
    void recordConfiguration(const Entry &entry);
    /// Forgets configurations older than the one in force at \a index.
    void dropConfigurationsBefore(Index index);

    Storage *m_storage;
    Snapshot m_snapshot;
    Position m_precedingPosition; ///< Of the entry before the first one held.
    std::deque<Entry> m_entries;
    /// Configurations by the index at which they came into force; never empty.
    std::map<Index, Configuration> m_configurations;
};

} // namespace hyssop::replog
