#include "WatchPlan.h"

#include <algorithm>

namespace hyssop::entry {

std::string_view WatchPlan::resultName(Result result)
{
    switch (result) {
    case Result::Confirmed:
        return "confirmed";
    case Result::Unconfirmed:
        return "unconfirmed";
    case Result::Failed:
        return "failed";
    }
    return "";
}

WatchPlan::WatchPlan(std::size_t hostCount, base::TimePoint now)
    : m_hostCount(hostCount)
    , m_notBefore(now)
    , m_confirmedAt(now)
{ }

void WatchPlan::preferNextAfter(std::size_t hostIndex)
{
    if (m_preferredHost == hostIndex)
        m_preferredHost = (m_preferredHost + 1) % m_hostCount;
}

std::optional<WatchPlan::Poll> WatchPlan::step(base::TimePoint now)
{
    if (m_hostCount == 0)
        return std::nullopt;
    for (OpenPoll &openPoll : m_openPolls) {
        if (openPoll.isOverdue || now - openPoll.sentAt < kHoldTime + kOverdueMargin)
            continue;
        openPoll.isOverdue = true;
        m_isConfirmed = false;
        m_reason = "overdue";
        preferNextAfter(openPoll.poll.hostIndex);
    }
    const bool isWaiting = std::any_of(m_openPolls.begin(), m_openPolls.end(),
                                       [](const OpenPoll &it) { return !it.isOverdue; });
    if (isWaiting || now < m_notBefore)
        return std::nullopt;
    // A host with an overdue reply is not polled again before that poll has ended.
    for (std::size_t n = 0; n < m_hostCount; ++n) {
        const std::size_t hostIndex = (m_preferredHost + n) % m_hostCount;
        const bool isOpen = std::any_of(
                m_openPolls.begin(), m_openPolls.end(),
                [hostIndex](const OpenPoll &it) { return it.poll.hostIndex == hostIndex; });
        if (isOpen)
            continue;
        m_preferredHost = hostIndex;
        m_openPolls.push_back({{hostIndex, ++m_lastPollId}, now, false});
        return m_openPolls.back().poll;
    }
    return std::nullopt;
}

base::TimePoint WatchPlan::nextStepTime() const
{
    base::TimePoint next = base::TimePoint::max();
    bool isWaiting = false;
    for (const OpenPoll &openPoll : m_openPolls) {
        if (openPoll.isOverdue)
            continue;
        isWaiting = true;
        next = std::min(next, openPoll.sentAt + kHoldTime + kOverdueMargin);
    }
    const bool canPoll = !isWaiting && m_openPolls.size() < m_hostCount;
    return canPoll ? std::min(next, m_notBefore) : next;
}

void WatchPlan::onResult(std::int64_t pollId, Result result, base::TimePoint now)
{
    const auto it =
            std::find_if(m_openPolls.begin(), m_openPolls.end(),
                         [pollId](const OpenPoll &openPoll) { return openPoll.poll.id == pollId; });
    if (it == m_openPolls.end())
        return;
    const OpenPoll openPoll = *it;
    m_openPolls.erase(it);
    if (result == Result::Confirmed) {
        m_isConfirmed = true;
        m_reason = "";
        m_confirmedAt = now;
        m_preferredHost = openPoll.poll.hostIndex;
        m_notBefore = now;
        return;
    }
    // The result of an overdue poll adds nothing new; the next host is preferred already.
    if (openPoll.isOverdue)
        return;
    m_isConfirmed = false;
    m_reason = resultName(result);
    preferNextAfter(openPoll.poll.hostIndex);
    m_notBefore = now + kRetryDelay;
}

base::Millis WatchPlan::age(base::TimePoint now) const
{
    return std::chrono::duration_cast<base::Millis>(now - m_confirmedAt);
}

} // namespace hyssop::entry
