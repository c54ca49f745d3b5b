/// What strangers may hold of a process at its RPC port, and whose connection ends first. No I/O.
#pragma once

#include "base/Base.h"

#include <map>
#include <vector>

namespace hyssop::peers {

/// Limits on accepted connections. 0 means no limit.
struct InboundLimits
{
    base::Bytes messages{0}; ///< Of all messages together that have not arrived whole.
    std::size_t connections = 0;
};

/// Connections that were accepted, in the order of their age. Not thread-safe.
class InboundAccount
{
public:
    using Id = std::int64_t;

    explicit InboundAccount(InboundLimits limits)
        : m_limits(limits)
    { }

    /// Adds a connection.
    Id add();
    void remove(Id id);
    /// A part of a message of \a bytes is awaited, which has been allocated.
    void begin(Id id, std::size_t bytes);
    /// It has arrived.
    void finish(Id id);
    /// Connections to close so that the limits hold again: of those with an unfinished message, the
    /// one that began first, and of all the oldest one that never completed a message. Connections
    /// of peers, which complete their messages at once, are last. \a newest is closed if there is
    /// no other.
    std::vector<Id> victims(Id newest) const;

private:
    struct Entry
    {
        std::size_t awaited = 0;
        std::int64_t begunAs = 0; ///< Position in the order of begun messages.
        bool hasCompleted = false;
    };

    InboundLimits m_limits;
    Id m_lastId = 0;
    std::int64_t m_lastBegin = 0;
    std::size_t m_awaited = 0;
    std::map<Id, Entry> m_entries;
};

} // namespace hyssop::peers
