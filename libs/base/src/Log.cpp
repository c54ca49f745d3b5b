#include "base/Base.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace hyssop::base {

namespace {

/// Lines a second over a longer time, and at once; a busy host writes a few lines a request.
constexpr double kLinesPerSecond = 300;
constexpr double kBurstLines = 2'000;

std::atomic<int> logOutput{STDERR_FILENO};
std::atomic<std::int64_t> droppedLines{0};

/// Bounds the rate of lines of all threads.
class LineBudget
{
public:
    bool take(TimePoint now)
    {
        const std::lock_guard guard(m_mutex);
        const double seconds = std::chrono::duration<double>(now - m_at).count();
        m_at = now;
        m_lines = std::min(kBurstLines, m_lines + seconds * kLinesPerSecond);
        if (m_lines < 1)
            return false;
        m_lines -= 1;
        return true;
    }

private:
    std::mutex m_mutex;
    double m_lines = kBurstLines;
    TimePoint m_at = monotonicNow();
};

/// Whether a line can be written without waiting for the reader of \a fd.
bool hasRoom(int fd)
{
    pollfd poll{fd, POLLOUT, 0};
    return ::poll(&poll, 1, 0) == 1 && (poll.revents & POLLOUT) != 0;
}

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

void setLogOutput(int fd)
{
    logOutput = fd;
}

std::int64_t droppedLogLines()
{
    return droppedLines;
}

void logEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    static LineBudget budget;
    static std::atomic<std::int64_t> toldDropped{0};
    const int fd = logOutput;
    if (!budget.take(monotonicNow()) || !hasRoom(fd)) {
        ++droppedLines;
        return;
    }
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
    const std::int64_t dropped = droppedLines;
    if (const std::int64_t told = toldDropped.exchange(dropped); told != dropped)
        fmt::format_to(std::back_inserter(buf), " dropped_before={}", dropped - told);
    buf.push_back('\n');
    // One write a line keeps lines of different threads apart.
    [[maybe_unused]] const auto n = ::write(fd, buf.data(), buf.size());
}

} // namespace hyssop::base
