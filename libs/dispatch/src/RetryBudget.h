#pragma once

#include "base/Base.h"

#include <deque>

namespace hyssop::dispatch {

/// Hosts assumed until their number is known; more than a small system has.
inline constexpr int kAssumedHostCount = 50;

/// Limits the retries of a service in any window to a ratio of its calls plus this host's share of
/// a common allowance. The shares of all hosts add up to at most the allowance.
class RetryBudget
{
public:
    RetryBudget(double ratio, int allowance, base::Millis window);

    /// Number of hosts that share the allowance.
    void setHostCount(int hosts) { m_hostCount = hosts; }
    void recordCall(base::TimePoint now);
    /// Takes one retry from the budget. Returns false if none is left.
    bool tryAcquire(base::TimePoint now);

private:
    void removeExpired(base::TimePoint now);

    double m_ratio;
    int m_allowance;
    base::Millis m_window;
    int m_hostCount = 0; ///< 0 while unknown.
    std::deque<base::TimePoint> m_callTimes;
    std::deque<base::TimePoint> m_retryTimes;
};

} // namespace hyssop::dispatch
