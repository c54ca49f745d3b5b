#include "RetryBudget.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Share of the allowance in use. The rest covers a number of hosts that is slightly out of date.
constexpr double kUsedAllowanceShare = 0.8;

} // namespace

RetryBudget::RetryBudget(double ratio, int allowance, base::Millis window)
    : m_ratio(ratio)
    , m_allowance(allowance)
    , m_window(window)
{ }

void RetryBudget::removeExpired(base::TimePoint now)
{
    while (!m_callTimes.empty() && m_callTimes.front() + m_window <= now)
        m_callTimes.pop_front();
    while (!m_retryTimes.empty() && m_retryTimes.front() + m_window <= now)
        m_retryTimes.pop_front();
}

void RetryBudget::recordCall(base::TimePoint now)
{
    removeExpired(now);
    m_callTimes.push_back(now);
}

void RetryBudget::withdrawCall(base::TimePoint time)
{
    const auto it = std::lower_bound(m_callTimes.begin(), m_callTimes.end(), time);
    if (it != m_callTimes.end() && *it == time)
        m_callTimes.erase(it);
}

bool RetryBudget::tryAcquire(int hostCount, base::TimePoint now)
{
    removeExpired(now);
    const double hostAllowance = kUsedAllowanceShare * m_allowance / hostCount;
    const double limit = m_ratio * static_cast<double>(m_callTimes.size()) + hostAllowance;
    if (static_cast<double>(m_retryTimes.size()) + 1 > limit)
        return false;
    m_retryTimes.push_back(now);
    return true;
}

} // namespace hyssop::dispatch
