#include "RetryBudget.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

constexpr double kShareOfRequests = 0.2;
constexpr double kFloorPerSecond = 2;
constexpr base::Millis kFirstBackoff{25};
constexpr base::Millis kLongestBackoff{1'000};
constexpr int kMaxDoublings = 6;

} // namespace

void RetryBudget::earn()
{
    m_credit = std::min(kMaxCredit, m_credit + kShareOfRequests);
}

bool RetryBudget::spend(base::TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_refilled).count();
    m_credit = std::min(kMaxCredit, m_credit + seconds * kFloorPerSecond);
    m_refilled = now;
    if (m_credit < 1)
        return false;
    m_credit -= 1;
    return true;
}

base::Millis RetryBudget::backoff(int number, base::Rng &rng)
{
    const int doublings = std::clamp(number - 1, 0, kMaxDoublings);
    const base::Millis most = std::min(kFirstBackoff * (1 << doublings), kLongestBackoff);
    // Full jitter over the upper half, the same on every platform.
    const auto half = static_cast<std::uint64_t>(most.count() / 2);
    return base::Millis(static_cast<std::int64_t>(half + rng() % (half + 1)));
}

} // namespace hyssop::routing
