/// Account of what a process holds for its callers, and the decisions of what to give up when it
/// is more than the machine has. No I/O; the current time is an argument.
#pragma once

#include "base/Base.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hyssop::gateway {

/// Limits on what is held for all callers of a process together. 0 means no limit.
struct CallerLimits
{
    base::Bytes memory{0}; ///< Heads, bodies, unread responses and connections.
    std::size_t connections = 0;
    /// A connection without progress for this long is stalled. This only sets the order in which
    /// connections are closed above a limit; no other connection meets it.
    base::Millis stallTime{1'000};
    /// A request of which less than \c progressBytes arrive in \c progressTime is rejected. A legal
    /// caller may pause within a body, for example while its link is cut, but is not idle for
    /// longer than this.
    base::Bytes progressBytes{1'024};
    base::Millis progressTime{15'000};
};

/// What a connection does.
enum class CallerActivity {
    Idle, ///< Waits for a request.
    Reading, ///< A request has arrived in part.
    Responding, ///< A request was read whole and its response has not ended.
    Closing, ///< Its last response is being sent, or the close of the peer awaited.
};

/// Why a connection is given up. The order is that in which it happens above a limit.
enum class ShedReason {
    Stalled, ///< It sent or read nothing for some time.
    Unread, ///< Its responses are not read.
    Pipelining, ///< It sent further requests before the response.
    Unfinished, ///< Its request has not arrived whole.
    Busy, ///< Its request is being handled.
    Slow, ///< Its request arrives below the minimum rate. It is rejected below the limits, too.
};

std::string_view shedReasonName(ShedReason reason);

/// A connection in a CallerAccount.
struct CallerEntry
{
    std::int64_t id = 0;
    CallerActivity activity = CallerActivity::Idle;
    bool hasRequested = false; ///< A request was read whole on this connection.
    std::size_t bytes = 0; ///< All that is held for it.
    std::size_t unreadBytes = 0; ///< Of responses, among these.
    std::size_t pipelinedBytes = 0; ///< Of further requests, among these.
    std::size_t recentBytes = 0; ///< Sent or received since the last progress.
    base::TimePoint progressAt;
};

/// Not thread-safe.
class CallerAccount
{
public:
    struct Victim
    {
        std::int64_t id = 0;
        ShedReason reason = ShedReason::Stalled;
    };

    explicit CallerAccount(CallerLimits limits = {})
        : m_limits(limits)
    { }

    /// Adds a connection. The entry stays valid until it is removed.
    CallerEntry *add(base::TimePoint now);
    void remove(const CallerEntry *entry);
    void setBytes(CallerEntry &entry, std::size_t bytes)
    {
        m_bytes += bytes;
        m_bytes -= entry.bytes;
        entry.bytes = bytes;
    }
    void setActivity(CallerEntry &entry, CallerActivity activity, base::TimePoint now);
    /// Notes that \a n bytes were sent or received. Fewer than a least number do not count as
    /// progress, so that a connection that transfers single bytes is stalled.
    static void addTransferred(CallerEntry &entry, std::size_t n, base::TimePoint now);

    const CallerLimits &limits() const { return m_limits; }
    std::size_t bytes() const { return m_bytes; }
    std::size_t connectionCount() const { return m_entries.size(); }
    bool isOverMemory() const
    {
        return m_limits.memory.count() > 0
               && m_bytes > static_cast<std::size_t>(m_limits.memory.count());
    }
    bool isOverConnections() const
    {
        return m_limits.connections > 0 && m_entries.size() > m_limits.connections;
    }
    /// Connections to give up, in this order, so that memory is within its limit again, with some
    /// room so that the next byte does not need another decision.
    std::vector<Victim> memoryVictims(base::TimePoint now) const;
    /// Connection to close for the newest one, \a newest if there is no other.
    Victim connectionVictim(std::int64_t newest, base::TimePoint now) const;

private:
    bool isStalled(const CallerEntry &entry, base::TimePoint now) const
    {
        return now - entry.progressAt >= m_limits.stallTime;
    }
    std::optional<ShedReason> reasonToShed(const CallerEntry &entry, base::TimePoint now) const;

    CallerLimits m_limits;
    std::size_t m_bytes = 0;
    std::int64_t m_lastId = 0;
    std::unordered_map<std::int64_t, std::unique_ptr<CallerEntry>> m_entries;
};

} // namespace hyssop::gateway
