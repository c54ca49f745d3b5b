#include "EventSplitter.h"

namespace hyssop::edge {

namespace {

/// Offset behind the empty line that ends the first event in \a text; 0 when no event is complete.
std::size_t firstEventEnd(std::string_view text)
{
    std::size_t lineStart = 0;
    for (std::size_t pos = 0; pos < text.size(); ++pos) {
        if (text[pos] != '\n')
            continue;
        std::size_t lineEnd = pos;
        if (lineEnd > lineStart && text[lineEnd - 1] == '\r')
            --lineEnd;
        if (lineEnd == lineStart)
            return pos + 1;
        lineStart = pos + 1;
    }
    return 0;
}

} // namespace

void EventSplitter::recordId(std::string_view event)
{
    while (!event.empty()) {
        const auto newline = event.find('\n');
        std::string_view line = event.substr(0, newline);
        event = newline == std::string_view::npos ? "" : event.substr(newline + 1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        m_lastEventId = std::string(line);
    }
}

std::string EventSplitter::append(std::string_view data)
{
    m_partialEvent += data;
    std::size_t consumed = 0;
    for (;;) {
        const std::string_view unparsed = std::string_view(m_partialEvent).substr(consumed);
        const std::size_t eventEnd = firstEventEnd(unparsed);
        if (eventEnd == 0)
            break;
        recordId(unparsed.substr(0, eventEnd));
        consumed += eventEnd;
    }
    std::string events = m_partialEvent.substr(0, consumed);
    m_partialEvent.erase(0, consumed);
    return events;
}

} // namespace hyssop::edge
