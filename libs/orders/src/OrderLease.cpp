#include "orders/Orders.h"

namespace hyssop::orders {

namespace {

/// Jitter is up to one part in so many of the renewal interval.
constexpr int kJitterDivisor = 4;

} // namespace

OrderLease::OrderLease(std::uint64_t seed, base::TimePoint now)
    : m_rng(seed)
    , m_askedAt(now)
{ }

bool OrderLease::isDue(bool isFirstInLine, base::TimePoint now) const
{
    if (m_isAsking)
        return false;
    if (m_asksAtOnce)
        return true;
    const bool asksOften = isFirstInLine || held(now);
    const base::Millis interval = asksOften ? kRenewInterval : kStandbyInterval;
    return now >= m_askedAt + interval + m_jitter;
}

void OrderLease::asked(base::TimePoint now)
{
    m_isAsking = true;
    m_asksAtOnce = false;
    m_askedAt = now;
    const auto most = kRenewInterval.count() / kJitterDivisor;
    m_jitter = base::Millis(std::uniform_int_distribution<std::int64_t>(0, most)(m_rng));
}

void OrderLease::granted(std::int64_t fencing, base::TimePoint now)
{
    m_isAsking = false;
    // What came to light after the question is not answered by it.
    if (m_asksAtOnce)
        return;
    if (fencing != m_grant.fencing)
        m_grant.since = now;
    m_grant.fencing = fencing;
    m_grant.until = m_askedAt + kLeaseDuration - kLeaseMargin;
}

void OrderLease::refused()
{
    m_isAsking = false;
    m_grant = {};
}

void OrderLease::failed()
{
    m_isAsking = false;
}

void OrderLease::stepBack()
{
    m_grant.until = {};
    m_asksAtOnce = true;
}

std::optional<Grant> OrderLease::held(base::TimePoint now) const
{
    if (m_grant.fencing == 0 || now >= m_grant.until)
        return std::nullopt;
    return m_grant;
}

} // namespace hyssop::orders
