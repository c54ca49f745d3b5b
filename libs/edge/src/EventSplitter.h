#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hyssop::edge {

/// Splits a stream of server-sent events into complete events. No I/O.
class EventSplitter
{
public:
    /// Limit on one event. Events hold some tokens each.
    static constexpr std::size_t kMaxEventBytes = std::size_t(1) << 20;

    /// Appends bytes and returns the events that they complete, as sent.
    std::string append(std::string_view data);
    /// Whether an incomplete event is buffered.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    /// Whether the incomplete event exceeds the limit on one event. It will not be completed.
    bool isEventTooLong() const { return m_partialEvent.size() > kMaxEventBytes; }
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
