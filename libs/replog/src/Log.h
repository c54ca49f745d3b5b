#pragma once

#include "replog/Replog.h"

#include <deque>
#include <map>

namespace hyssop::replog {

/// Snapshot and later entries of one replica, cached in memory and written through to storage.
class Log
{
public:
    Log(Storage *storage, RecoveredState recovered);

    Position lastPosition() const;
    /// First entry in memory; earlier ones are only in the snapshot.
    Index first() const { return m_precedingPosition.index + Index(1); }
    /// Term of the entry at \a index, which may also be the one before first(); else empty.
    std::optional<Term> termAt(Index index) const;
    const Snapshot &snapshot() const { return m_snapshot; }
    bool isEmpty() const;

    /// Entries from \a from on until their payloads reach \a maxBytes, at least one if any exists.
    std::vector<Entry> entriesFrom(Index from, std::size_t maxBytes) const;
    /// Entries after \a after, up to and including \a until.
    std::vector<Entry> entriesAfter(Index after, Index until) const;
    /// First index in memory with the same term as the entry at \a index.
    Index firstIndexOfTerm(Index index) const;

    /// Appends entries that directly follow the last one.
    void append(std::vector<Entry> entries);
    void truncateFrom(Index first);
    /// Stores \a state as the snapshot at \a index, which must be in memory. Keeps up to
    /// \a trailing of the entries it covers, with at most \a trailingBytes of payload in total.
    void compact(Index index, std::string state, std::int64_t trailing, base::Bytes trailingBytes);
    /// Installs a snapshot sent by the leader. Later entries are kept only if the log holds the
    /// snapshot's position.
    void installSnapshot(Snapshot snapshot);

    const Configuration &configuration() const { return m_configurations.rbegin()->second; }
    Index configurationIndex() const { return m_configurations.rbegin()->first; }

private:
    const Entry &at(Index index) const;
    void recordConfiguration(const Entry &entry);
    /// Drops configurations older than the one active at \a index.
    void dropConfigurationsBefore(Index index);

    Storage *m_storage;
    Snapshot m_snapshot;
    Position m_precedingPosition; ///< Of the entry before first().
    std::deque<Entry> m_entries;
    /// Configurations by the index from which they are active; never empty.
    std::map<Index, Configuration> m_configurations;
};

} // namespace hyssop::replog
