#include "base/Base.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>
#include <unistd.h>

namespace hyssop::base {

namespace {

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

void appendValue(fmt::memory_buffer &buf, std::string_view value)
{
    if (!needsQuotes(value)) {
        buf.append(value);
        return;
    }
    buf.push_back('"');
    for (const char c : value) {
        if (c == '"' || c == '\\')
            buf.push_back('\\');
        buf.push_back(c == '\n' || c == '\r' ? ' ' : c);
    }
    buf.push_back('"');
}

} // namespace

void logEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    const auto now = std::chrono::floor<Millis>(std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    fmt::memory_buffer buf;
    fmt::format_to(std::back_inserter(buf), "ts={:%Y-%m-%dT%H:%M:%S}.{:03}Z event={}",
                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis, event);
    for (const LogField &field : fields) {
        buf.push_back(' ');
        buf.append(field.key);
        buf.push_back('=');
        appendValue(buf, field.value);
    }
    buf.push_back('\n');
    // One write a line keeps lines of different threads apart.
    [[maybe_unused]] const auto n = ::write(STDERR_FILENO, buf.data(), buf.size());
}

} // namespace hyssop::base
