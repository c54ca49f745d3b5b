#include "Pipe.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <sys/socket.h>

namespace hyssop::standins {

namespace {

constexpr std::size_t kMaxBuffered = std::size_t(1) << 20;
constexpr std::size_t kReadBytes = std::size_t(64) << 10;
/// A bounded direction sends its share of a second in this many portions.
constexpr std::int64_t kPortionsPerSecond = 50;

bool mayTryAgain()
{
    return errno == EAGAIN || errno == EINTR;
}

} // namespace

bool Pipe::wantsRead() const
{
    return !m_sawEnd && m_buffered < kMaxBuffered;
}

bool Pipe::wantsWrite(base::TimePoint now) const
{
    return !m_chunks.empty() && nextWrite() <= now;
}

base::TimePoint Pipe::nextWrite() const
{
    if (m_chunks.empty())
        return base::TimePoint::max();
    return std::max(m_chunks.front().due, m_allowedFrom);
}

Pipe::Result Pipe::read(const DirectionRules &rules, DirectionCounts &counts, base::TimePoint now)
{
    std::array<char, kReadBytes> buf;
    const ssize_t n = ::recv(m_from, buf.data(), buf.size(), 0);
    if (n < 0)
        return mayTryAgain() ? Result::Fine : Result::Broken;
    if (n == 0) {
        m_sawEnd = true;
        if (rules.drops)
            m_hasLost = true;
        else
            endWhenDrained();
        return Result::Fine;
    }
    counts.received += n;
    if (rules.drops || m_isEnded) {
        counts.dropped += n;
        m_hasLost = true;
        return Result::Fine;
    }
    m_chunks.push_back({now + rules.delay, std::string(buf.data(), static_cast<std::size_t>(n))});
    m_buffered += static_cast<std::size_t>(n);
    return Result::Fine;
}

Pipe::Result Pipe::write(const DirectionRules &rules, DirectionCounts &counts, base::TimePoint now)
{
    Chunk &chunk = m_chunks.front();
    if (rules.drops) {
        counts.dropped += static_cast<std::int64_t>(chunk.bytes.size());
        m_buffered -= chunk.bytes.size();
        m_chunks.pop_front();
        m_hasLost = true;
        return Result::Fine;
    }
    std::size_t portion = chunk.bytes.size();
    if (rules.bytesPerSecond > 0) {
        const std::int64_t share =
                std::max<std::int64_t>(1, rules.bytesPerSecond / kPortionsPerSecond);
        portion = std::min(portion, static_cast<std::size_t>(share));
    }
    const ssize_t n = ::send(m_to, chunk.bytes.data(), portion, MSG_NOSIGNAL);
    if (n < 0)
        return mayTryAgain() ? Result::Fine : Result::Broken;
    counts.sent += n;
    m_buffered -= static_cast<std::size_t>(n);
    chunk.bytes.erase(0, static_cast<std::size_t>(n));
    if (chunk.bytes.empty())
        m_chunks.pop_front();
    if (rules.bytesPerSecond > 0)
        m_allowedFrom = now + base::Micros(n * 1'000'000 / rules.bytesPerSecond);
    endWhenDrained();
    return Result::Fine;
}

void Pipe::halfClose()
{
    m_chunks.clear();
    m_buffered = 0;
    m_isEnded = true;
    ::shutdown(m_to, SHUT_WR);
}

void Pipe::endWhenDrained()
{
    if (!m_sawEnd || !m_chunks.empty() || m_isEnded || m_hasLost)
        return;
    m_isEnded = true;
    ::shutdown(m_to, SHUT_WR);
}

} // namespace hyssop::standins
