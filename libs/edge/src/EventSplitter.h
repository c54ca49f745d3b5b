#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hyssop::edge {

/// Cuts a stream of server-sent events into whole events. No I/O.
class EventSplitter
{
public:
    /// Takes bytes in and returns the whole events that they complete, as sent.
    std::string append(std::string_view data);
    /// Whether an event has begun and not ended.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    /// Id of the last whole event that had one.
    const std::optional<std::string> &lastEventId() const { return m_lastEventId; }
    /// Drops an event that has begun, to go on with another source of the stream.
    void dropPartialEvent() { m_partialEvent.clear(); }

private:
    void recordId(std::string_view event);

    std::string m_partialEvent;
    std::optional<std::string> m_lastEventId;
};

} // namespace hyssop::edge
