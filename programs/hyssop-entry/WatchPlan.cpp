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

WatchPlan::WatchPlan(std::size_t controls, base::TimePoint now)
    : m_controls(controls)
    , m_notBefore(now)
    , m_confirmedAt(now)
{ }

void WatchPlan::moveOn(std::size_t from)
{
    if (m_preferred == from)
        m_preferred = (m_preferred + 1) % m_controls;
}

std::optional<WatchPlan::Ask> WatchPlan::step(base::TimePoint now)
{
    if (m_controls == 0)
        return std::nullopt;
    for (Open &open : m_open) {
        if (open.isOverdue || now - open.sent < kWait + kOverdueAfter)
            continue;
        open.isOverdue = true;
        m_isConfirmed = false;
        m_reason = "overdue";
        moveOn(open.ask.control);
    }
    const bool isWaiting =
            std::any_of(m_open.begin(), m_open.end(), [](const Open &it) { return !it.isOverdue; });
    if (isWaiting || now < m_notBefore)
        return std::nullopt;
    // A host that is overdue is not asked again before its question has ended.
    for (std::size_t n = 0; n < m_controls; ++n) {
        const std::size_t control = (m_preferred + n) % m_controls;
        const bool isOpen = std::any_of(m_open.begin(), m_open.end(), [control](const Open &it) {
            return it.ask.control == control;
        });
        if (isOpen)
            continue;
        m_preferred = control;
        m_open.push_back({{control, ++m_lastQuestion}, now, false});
        return m_open.back().ask;
    }
    return std::nullopt;
}

base::TimePoint WatchPlan::nextTime() const
{
    base::TimePoint next = base::TimePoint::max();
    bool isWaiting = false;
    for (const Open &open : m_open) {
        if (open.isOverdue)
            continue;
        isWaiting = true;
        next = std::min(next, open.sent + kWait + kOverdueAfter);
    }
    const bool canAsk = !isWaiting && m_open.size() < m_controls;
    return canAsk ? std::min(next, m_notBefore) : next;
}

void WatchPlan::answered(std::int64_t question, Result result, base::TimePoint now)
{
    const auto it = std::find_if(m_open.begin(), m_open.end(), [question](const Open &open) {
        return open.ask.question == question;
    });
    if (it == m_open.end())
        return;
    const Open open = *it;
    m_open.erase(it);
    if (result == Result::Confirmed) {
        m_isConfirmed = true;
        m_reason = "";
        m_confirmedAt = now;
        m_preferred = open.ask.control;
        m_notBefore = now;
        return;
    }
    // Of a host that was given up already, nothing more is learned.
    if (open.isOverdue)
        return;
    m_isConfirmed = false;
    m_reason = resultName(result);
    moveOn(open.ask.control);
    m_notBefore = now + kRetryDelay;
}

base::Millis WatchPlan::age(base::TimePoint now) const
{
    return std::chrono::duration_cast<base::Millis>(now - m_confirmedAt);
}

} // namespace hyssop::entry
