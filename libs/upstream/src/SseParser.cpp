#include "upstream/Upstream.h"

namespace hyssop::upstream {

namespace {

/// Returns the values of the data lines of an event, joined by newlines.
std::string joinDataLines(std::string_view event)
{
    std::string data;
    while (!event.empty()) {
        const auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? "" : event.substr(end + 1);
        if (!line.starts_with("data:"))
            continue;
        line.remove_prefix(5);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (!data.empty())
            data += '\n';
        data += line;
    }
    return data;
}

} // namespace

bool SseParser::feed(std::string_view bytes, const std::function<void(std::string_view)> &onEvent)
{
    // Carriage returns are optional in the format, and JSON text never contains them.
    for (const char c : bytes) {
        if (c != '\r')
            m_buffer += c;
    }
    std::size_t start = 0;
    for (;;) {
        const auto end = m_buffer.find("\n\n", start);
        if (end == std::string::npos)
            break;
        const std::string data =
                joinDataLines(std::string_view(m_buffer).substr(start, end - start));
        start = end + 2;
        if (!data.empty())
            onEvent(data);
    }
    m_buffer.erase(0, start);
    return m_buffer.size() <= kMaxEventBytes;
}

} // namespace hyssop::upstream
