#include "LinkMonitor.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Upstreams that must fail before the links count as lost, or all if there are fewer.
constexpr std::size_t kFailedUpstreams = 3;
/// Failures further apart than this are attributed to the upstreams.
constexpr base::Millis kFailureWindow{5'000};
/// Upstreams that a check probes, or all if there are fewer. One more than calls must show, as any
/// of them may be down at the same time.
constexpr std::size_t kCheckedUpstreams = 4;
/// A sound upstream answers a health request within this even while it is busy.
constexpr base::Millis kProbeSilence{300};
/// The first probe of a check is mostly answered within this, and no further one is needed.
constexpr base::Millis kFirstProbeLead{100};
/// From one check to the next. Upstreams that fail while the links are sound must not cause one
/// after the other.
constexpr base::Millis kCheckPause{1'000};
/// Between probes of lost links.
constexpr base::Millis kProbeInterval{300};

} // namespace

std::size_t LinkMonitor::neededFailures(std::size_t upstreamCount)
{
    return std::min(kFailedUpstreams, upstreamCount);
}

void LinkMonitor::setSound()
{
    m_state = State::Sound;
    m_failures.clear();
    m_probes.clear();
}

void LinkMonitor::setLost(base::TimePoint now)
{
    m_state = State::Lost;
    m_probes.clear();
    m_isProbing = false;
    m_firstProbed.reset();
    m_isLossConfirmed = false;
    m_nextProbeAt = now;
}

bool LinkMonitor::recordFailure(const base::UpstreamId &upstream, std::size_t upstreamCount,
                                base::TimePoint sentAt, base::TimePoint now)
{
    m_failures[upstream] = now;
    m_lastFailureSentAt = std::max(m_lastFailureSentAt, sentAt);
    std::erase_if(m_failures, [now](const auto &it) { return now >= it.second + kFailureWindow; });
    if (isLost() || m_failures.size() < neededFailures(upstreamCount))
        return false;
    setLost(now);
    return true;
}

bool LinkMonitor::recordAnswer(const base::UpstreamId &upstream, base::TimePoint sentAt)
{
    // Connections that were open before may go on while new ones fail.
    if (sentAt < m_lastFailureSentAt) {
        m_failures.erase(upstream);
        return false;
    }
    const bool wasLost = isLost();
    setSound();
    return wasLost;
}

base::TimePoint LinkMonitor::nextCheckAt() const
{
    if (m_state != State::Sound)
        return base::TimePoint::max();
    return m_checkedAt == base::TimePoint() ? m_checkedAt : m_checkedAt + kCheckPause;
}

bool LinkMonitor::beginCheck(base::TimePoint now)
{
    if (now < nextCheckAt())
        return false;
    m_state = State::Checking;
    m_checkedAt = now;
    m_probes.clear();
    m_isExhausted = false;
    return true;
}

std::size_t LinkMonitor::missingProbes(std::size_t upstreamCount) const
{
    const std::size_t wanted = std::min(kCheckedUpstreams, upstreamCount);
    return m_isExhausted || m_probes.size() >= wanted ? 0 : wanted - m_probes.size();
}

std::size_t LinkMonitor::dueProbes(std::size_t upstreamCount, base::TimePoint now) const
{
    if (isLost())
        return !m_isProbing && now >= m_nextProbeAt ? 1 : 0;
    if (!isChecking())
        return 0;
    if (m_probes.empty())
        return 1;
    const bool isFirstLate = std::any_of(m_probes.begin(), m_probes.end(), [now](const auto &it) {
        return it.second.isFailed || now >= it.second.sentAt + kFirstProbeLead;
    });
    return isFirstLate ? missingProbes(upstreamCount) : 0;
}

base::TimePoint LinkMonitor::nextStepAt(std::size_t upstreamCount) const
{
    if (isLost())
        return m_isProbing ? base::TimePoint::max() : m_nextProbeAt;
    if (!isChecking())
        return base::TimePoint::max();
    if (m_probes.empty())
        return m_checkedAt;
    const bool needsMore = missingProbes(upstreamCount) > 0;
    base::TimePoint next = m_checkedAt;
    for (const auto &[upstream, probe] : m_probes) {
        if (!probe.isFailed)
            next = std::max(next, probe.sentAt + (needsMore ? kFirstProbeLead : kProbeSilence));
    }
    return next;
}

void LinkMonitor::beginProbe(const base::UpstreamId &upstream, base::TimePoint now)
{
    if (isChecking()) {
        m_probes[upstream] = {now, false};
        return;
    }
    m_isProbing = true;
    if (!m_firstProbed)
        m_firstProbed = upstream;
    m_nextProbeAt = now + kProbeInterval;
}

void LinkMonitor::skipProbe(base::TimePoint now)
{
    if (isLost()) {
        m_nextProbeAt = now + kProbeInterval;
        m_isLossConfirmed = true;
    } else if (m_probes.empty()) {
        setSound();
    } else {
        m_isExhausted = true;
    }
}

bool LinkMonitor::endProbe(const base::UpstreamId &upstream, bool isAnswered, base::TimePoint now)
{
    m_isProbing = false;
    if (isAnswered) {
        m_heardAt = now;
        const bool wasLost = isLost();
        setSound();
        return wasLost;
    }
    m_isLossConfirmed = m_isLossConfirmed || m_firstProbed == upstream;
    if (const auto it = m_probes.find(upstream); it != m_probes.end())
        it->second.isFailed = true;
    return false;
}

bool LinkMonitor::endCheck(std::size_t upstreamCount, base::TimePoint now)
{
    if (!isChecking() || m_probes.empty() || missingProbes(upstreamCount) > 0)
        return false;
    for (const auto &[upstream, probe] : m_probes) {
        if (!probe.isFailed && now < probe.sentAt + kProbeSilence)
            return false;
    }
    for (const auto &[upstream, probe] : m_probes)
        m_failures[upstream] = now;
    m_lastFailureSentAt = std::max(m_lastFailureSentAt, m_checkedAt);
    setLost(now);
    return true;
}

} // namespace hyssop::dispatch
