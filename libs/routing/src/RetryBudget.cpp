#include "RetryBudget.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

constexpr double kRetriesPerRequest = 0.2;
constexpr double kMinRetriesPerSecond = 2;
constexpr base::Millis kInitialBackoff{25};
constexpr base::Millis kMaxBackoff{1'000};
constexpr int kMaxDoublings = 6;

} // namespace

void RetryBudget::deposit()
{
    m_balance = std::min(kMaxBalance, m_balance + kRetriesPerRequest);
}

bool RetryBudget::tryWithdraw(base::TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_lastRefill).count();
    m_balance = std::min(kMaxBalance, m_balance + seconds * kMinRetriesPerSecond);
    m_lastRefill = now;
    if (m_balance < 1)
        return false;
    m_balance -= 1;
    return true;
}

base::Millis RetryBudget::backoff(int number, base::Rng &rng)
{
    const int doublings = std::clamp(number - 1, 0, kMaxDoublings);
    const base::Millis maxDelay = std::min(kInitialBackoff * (1 << doublings), kMaxBackoff);
    // Jitter over the upper half. Uses no std distribution, so the value is the same on every
    // platform.
    const auto half = static_cast<std::uint64_t>(maxDelay.count() / 2);
    return base::Millis(static_cast<std::int64_t>(half + rng() % (half + 1)));
}

} // namespace hyssop::routing
