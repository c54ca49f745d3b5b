#include "LinkMonitor.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Upstreams that must fail before the links count as lost, or all if there are fewer.
constexpr std::size_t kFailedUpstreams = 3;
/// Failures further apart than this are attributed to the upstreams.
constexpr base::Millis kFailureWindow{5'000};
constexpr base::Millis kProbeInterval{300};

} // namespace

std::size_t LinkMonitor::neededFailures(std::size_t upstreamCount)
{
    return std::min(kFailedUpstreams, upstreamCount);
}

bool LinkMonitor::recordFailure(const base::UpstreamId &upstream, std::size_t upstreamCount,
                                base::TimePoint sentAt, base::TimePoint now)
{
    m_failures[upstream] = now;
    m_lastFailureSentAt = std::max(m_lastFailureSentAt, sentAt);
    std::erase_if(m_failures, [now](const auto &it) { return now >= it.second + kFailureWindow; });
    if (m_isLost || m_failures.size() < neededFailures(upstreamCount))
        return false;
    m_isLost = true;
    m_nextProbeAt = now;
    return true;
}

bool LinkMonitor::recordAnswer(const base::UpstreamId &upstream, base::TimePoint sentAt)
{
    // Connections that were open before may go on while new ones fail.
    if (sentAt < m_lastFailureSentAt) {
        m_failures.erase(upstream);
        return false;
    }
    m_failures.clear();
    return std::exchange(m_isLost, false);
}

base::TimePoint LinkMonitor::nextProbeAt() const
{
    return m_isLost && !m_isProbing ? m_nextProbeAt : base::TimePoint::max();
}

void LinkMonitor::beginProbe(base::TimePoint now)
{
    m_isProbing = true;
    m_nextProbeAt = now + kProbeInterval;
}

bool LinkMonitor::endProbe(bool isAnswered)
{
    m_isProbing = false;
    if (!isAnswered)
        return false;
    m_failures.clear();
    return std::exchange(m_isLost, false);
}

} // namespace hyssop::dispatch
