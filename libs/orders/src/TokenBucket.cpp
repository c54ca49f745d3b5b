#include "orders/Orders.h"

#include <algorithm>

namespace hyssop::orders {

namespace {

constexpr double kSecondsPerMinute = 60;

} // namespace

TokenBucket::TokenBucket(int perMinute, int burst, int initialTokens, base::TimePoint now)
    : m_perMinute(perMinute)
    , m_burst(burst)
    , m_tokens(initialTokens)
    , m_updatedAt(now)
{ }

double TokenBucket::tokensAt(base::TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    return std::min(m_burst, m_tokens + seconds * m_perMinute / kSecondsPerMinute);
}

bool TokenBucket::hasToken(base::TimePoint now) const
{
    return tokensAt(now) >= 1;
}

void TokenBucket::take(base::TimePoint now)
{
    m_tokens = tokensAt(now) - 1;
    m_updatedAt = now;
}

} // namespace hyssop::orders
