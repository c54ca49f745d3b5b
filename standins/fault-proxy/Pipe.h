#pragma once

#include "base/Base.h"

#include <deque>
#include <string>

namespace hyssop::standins {

/// What is done to the bytes of one direction.
struct DirectionRules
{
    base::Millis delay{0};
    bool drops = false; ///< Swallows bytes and the end of the stream without a sign.
    std::int64_t bytesPerSecond = 0; ///< 0: unbounded.
};

struct DirectionCounts
{
    std::int64_t received = 0;
    std::int64_t sent = 0;
    std::int64_t dropped = 0;
};

/// One direction of a connection: reads from one socket and writes to the other.
class Pipe
{
public:
    enum class Result { Fine, Broken };

    Pipe(int from, int to)
        : m_from(from)
        , m_to(to)
    { }

    int from() const { return m_from; }
    int to() const { return m_to; }
    bool wantsRead() const;
    bool wantsWrite(base::TimePoint now) const;
    /// When wantsWrite() next becomes true by time alone.
    base::TimePoint nextWrite() const;
    Result read(const DirectionRules &rules, DirectionCounts &counts, base::TimePoint now);
    Result write(const DirectionRules &rules, DirectionCounts &counts, base::TimePoint now);
    /// Ends the direction towards its receiver; later bytes are dropped.
    void halfClose();
    bool isEnded() const { return m_isEnded; }
    /// Whether bytes were swallowed, so that the stream cannot go on unharmed.
    bool hasLost() const { return m_hasLost; }

private:
    struct Chunk
    {
        base::TimePoint due;
        std::string bytes;
    };

    void endWhenDrained();

    int m_from;
    int m_to;
    std::deque<Chunk> m_chunks;
    std::size_t m_buffered = 0;
    base::TimePoint m_allowedFrom{};
    bool m_sawEnd = false;
    bool m_isEnded = false;
    bool m_hasLost = false;
};

} // namespace hyssop::standins
