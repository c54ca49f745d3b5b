#pragma once

#include "base/Base.h"

namespace hyssop::routing {

/// Bounds retries to a share of the requests and a floor, so that they cannot multiply a failure.
class RetryBudget
{
public:
    /// A request was admitted.
    void earn();
    /// True: a retry may be made now, and is charged.
    bool spend(base::TimePoint now);

    /// Wait before retry \a number (from 1): doubling, with jitter.
    static base::Millis backoff(int number, base::Rng &rng);

private:
    double m_credit = kMaxCredit;
    base::TimePoint m_refilled{};

    static constexpr double kMaxCredit = 50;
};

} // namespace hyssop::routing
