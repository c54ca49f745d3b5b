#pragma once

#include "base/Base.h"

namespace hyssop::routing {

/// Bounds retries to a share of the requests and a floor, so that they cannot multiply a failure.
class RetryBudget
{
public:
    /// A request was admitted.
    void deposit();
    /// True: a retry may be made now, and is charged.
    bool tryWithdraw(base::TimePoint now);

    /// Wait before retry \a number (from 1): doubling, with jitter.
    static base::Millis backoff(int number, base::Rng &rng);

private:
    double m_balance = kMaxBalance;
    base::TimePoint m_lastRefill{};

    static constexpr double kMaxBalance = 50;
};

} // namespace hyssop::routing
