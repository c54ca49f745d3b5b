#pragma once

#include "base/Base.h"

#include <deque>

namespace hyssop::dispatch {

/// Bounds the further attempts of a service in any window: a share of its calls, and this host's
/// part of a common allowance. The hosts' budgets add up to no more than the common bound.
class RetryBudget
{
public:
    RetryBudget(double ratio, int allowance, base::Millis window);

    /// Number of hosts that share the allowance.
    void setHostCount(int hosts) { m_hostCount = hosts; }
    void recordCall(base::TimePoint now);
    /// Takes one further attempt; false when the budget is spent.
    bool tryAcquire(base::TimePoint now);

private:
    void removeExpired(base::TimePoint now);

    double m_ratio;
    int m_allowance;
    base::Millis m_window;
    int m_hostCount = 0; ///< 0: not known yet.
    std::deque<base::TimePoint> m_callTimes;
    std::deque<base::TimePoint> m_retryTimes;
};

} // namespace hyssop::dispatch
