#include "orders/Orders.h"

namespace hyssop::orders {

namespace {

/// Jitter is at most the renewal interval divided by this.
constexpr int kJitterDivisor = 4;

} // namespace

OrderLease::OrderLease(std::uint64_t seed, base::TimePoint now)
    : m_rng(seed)
    , m_requestedAt(now)
{ }

bool OrderLease::isRequestDue(bool isFirstInLine, base::TimePoint now) const
{
    if (m_isRequestPending)
        return false;
    if (m_isRequestDueNow)
        return true;
    const bool asksOften = isFirstInLine || grantAt(now);
    const base::Millis interval = asksOften ? kRenewRequestInterval : kStandbyRequestInterval;
    return now >= m_requestedAt + interval + m_jitter;
}

void OrderLease::onRequestSent(base::TimePoint now)
{
    m_isRequestPending = true;
    m_isRequestDueNow = false;
    m_requestedAt = now;
    const auto maxJitter = kRenewRequestInterval.count() / kJitterDivisor;
    m_jitter = base::Millis(std::uniform_int_distribution<std::int64_t>(0, maxJitter)(m_rng));
}

void OrderLease::onGranted(std::int64_t fencingToken, base::TimePoint now)
{
    m_isRequestPending = false;
    // The request was sent before invalidate(), so this reply is outdated.
    if (m_isRequestDueNow)
        return;
    if (fencingToken != m_grant.fencingToken)
        m_grant.firstGrantedAt = now;
    m_grant.fencingToken = fencingToken;
    m_grant.validUntil = m_requestedAt + kLeaseDuration - kLeaseMargin;
}

void OrderLease::onRefused()
{
    m_isRequestPending = false;
    m_grant = {};
}

void OrderLease::onRequestFailed()
{
    m_isRequestPending = false;
}

void OrderLease::invalidate()
{
    m_grant.validUntil = {};
    m_isRequestDueNow = true;
}

std::optional<LeaseGrant> OrderLease::grantAt(base::TimePoint now) const
{
    if (m_grant.fencingToken == 0 || now >= m_grant.validUntil)
        return std::nullopt;
    return m_grant;
}

} // namespace hyssop::orders
