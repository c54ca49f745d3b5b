#include "OutlierTracker.h"

#include <algorithm>

namespace hyssop::routing {

void OutlierTracker::succeeded()
{
    m_failures = 0;
    m_ejections = 0;
    m_isOnTrial = false;
}

bool OutlierTracker::failed(AttemptFault fault)
{
    // A refusal is an answer of a sound upstream.
    if (fault == AttemptFault::Refused)
        return false;
    ++m_failures;
    return m_isOnTrial || m_failures >= kMaxFailures;
}

base::Millis OutlierTracker::eject(base::TimePoint now)
{
    constexpr int kMaxDoublings = 6;
    const base::Millis duration = std::min(
            kFirstEjection * (1 << std::min(m_ejections, kMaxDoublings)), kLongestEjection);
    ++m_ejections;
    m_failures = 0;
    m_isOnTrial = true;
    m_until = now + duration;
    return duration;
}

} // namespace hyssop::routing
