#pragma once

#include "base/Base.h"

#include <deque>

namespace hyssop::dispatch {

/// Limits the retries of a service in any window to a ratio of its calls plus this host's share of
/// a common allowance. The shares of all hosts add up to at most the allowance.
class RetryBudget
{
public:
    RetryBudget(double ratio, int allowance, base::Millis window);

    void recordCall(base::TimePoint now);
    /// Forgets a call that was recorded at \a time, because another host counts it.
    void withdrawCall(base::TimePoint time);
    /// Takes one retry from the budget, of whose allowance \a hostCount hosts have a share each.
    /// Returns false if none is left.
    bool tryAcquire(int hostCount, base::TimePoint now);

private:
    void removeExpired(base::TimePoint now);

    double m_ratio;
    int m_allowance;
    base::Millis m_window;
    std::deque<base::TimePoint> m_callTimes;
    std::deque<base::TimePoint> m_retryTimes;
};

} // namespace hyssop::dispatch
