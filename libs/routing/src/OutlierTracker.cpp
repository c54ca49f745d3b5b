#include "OutlierTracker.h"

#include <algorithm>

namespace hyssop::routing {

void OutlierTracker::recordSuccess()
{
    m_consecutiveFailures = 0;
    m_consecutiveEjections = 0;
    m_isProbing = false;
}

bool OutlierTracker::recordFailure(AttemptFault fault)
{
    // An upstream that refuses an attempt is healthy.
    if (fault == AttemptFault::Refused)
        return false;
    ++m_consecutiveFailures;
    return m_isProbing || m_consecutiveFailures >= kMaxConsecutiveFailures;
}

base::Millis OutlierTracker::eject(base::TimePoint now)
{
    constexpr int kMaxDoublings = 6;
    const base::Millis duration =
            std::min(kInitialEjection * (1 << std::min(m_consecutiveEjections, kMaxDoublings)),
                     kMaxEjection);
    ++m_consecutiveEjections;
    m_consecutiveFailures = 0;
    m_isProbing = true;
    m_ejectedUntil = now + duration;
    return duration;
}

} // namespace hyssop::routing
