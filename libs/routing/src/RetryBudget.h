#pragma once

#include "base/Base.h"

namespace hyssop::routing {

/// Limits retries to a share of the requests plus a minimum rate, so that retries cannot amplify an
/// overload.
class RetryBudget
{
public:
    /// Credits the budget for an admitted request.
    void deposit();
    /// Charges one retry and returns true, or returns false if the budget is exhausted.
    bool tryWithdraw(base::TimePoint now);

    /// Delay before retry \a number, counted from 1: exponential backoff with jitter.
    static base::Millis backoff(int number, base::Rng &rng);

private:
    double m_balance = kMaxBalance;
    base::TimePoint m_lastRefill{};

    static constexpr double kMaxBalance = 50;
};

} // namespace hyssop::routing
