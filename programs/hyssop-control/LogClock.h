#pragma once

#include "base/Base.h"

namespace hyssop::control {

/// Time of a group's log, in milliseconds, as a leader stamps it on commands.
///
/// It goes on from the last applied stamp by the monotonic clock, so that it never falls and never
/// leaps when leadership moves between hosts whose wall clocks differ; a lease granted by one
/// leader ends no earlier under the next. It stands still while the whole group is down.
class LogClock
{
public:
    /// Notes that an entry stamped \a logTimeMs was applied; \a wallMs starts an empty log.
    void onApplied(std::int64_t logTimeMs, base::TimePoint now)
    {
        if (logTimeMs <= m_baseMs)
            return;
        m_baseMs = logTimeMs;
        m_baseAt = now;
    }
    std::int64_t read(base::TimePoint now, std::int64_t wallMs) const
    {
        if (m_baseMs == 0)
            return wallMs;
        return m_baseMs + std::chrono::duration_cast<base::Millis>(now - m_baseAt).count();
    }

private:
    std::int64_t m_baseMs = 0;
    base::TimePoint m_baseAt;
};

} // namespace hyssop::control
