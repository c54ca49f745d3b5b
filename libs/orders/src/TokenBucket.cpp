#include "orders/Orders.h"

#include <algorithm>

namespace hyssop::orders {

namespace {

constexpr double kSecondsAMinute = 60;

} // namespace

TokenBucket::TokenBucket(int perMinute, int burst, int level, base::TimePoint now)
    : m_perMinute(perMinute)
    , m_burst(burst)
    , m_level(level)
    , m_at(now)
{ }

double TokenBucket::level(base::TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - m_at).count();
    return std::min(m_burst, m_level + seconds * m_perMinute / kSecondsAMinute);
}

bool TokenBucket::hasToken(base::TimePoint now) const
{
    return level(now) >= 1;
}

void TokenBucket::take(base::TimePoint now)
{
    m_level = level(now) - 1;
    m_at = now;
}

} // namespace hyssop::orders
