#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hyssop::edge {

/// Splits a stream of server-sent events into complete events. No I/O.
class EventSplitter
{
public:
    /// Appends bytes and returns the events that they complete, as sent.
    std::string append(std::string_view data);
    /// Whether an incomplete event is buffered.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    /// Id of the last complete event that had one.
    const std::optional<std::string> &lastEventId() const { return m_lastEventId; }
    /// Discards an incomplete event, before another upstream continues the stream.
    void dropPartialEvent() { m_partialEvent.clear(); }

private:
    void recordId(std::string_view event);

    std::string m_partialEvent;
    std::optional<std::string> m_lastEventId;
};

} // namespace hyssop::edge
