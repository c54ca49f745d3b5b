#include "Freshness.h"

#include <algorithm>

namespace hyssop::edge {

namespace {

/// Tenths of each bound in use. The rest covers the transit time of a request and differences of
/// clock rates.
constexpr int kUsedBoundTenths = 9;

} // namespace

Freshness::Freshness(base::Millis revocationBound, base::Millis propagationBound)
    : m_keyMaxAge(revocationBound * kUsedBoundTenths / 10)
    , m_currentMaxAge(propagationBound * kUsedBoundTenths / 10)
{ }

void Freshness::confirm(base::TimePoint requestedAt)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(requestedAt), requestedAt);
}

bool Freshness::canAcceptKeys(base::TimePoint now) const
{
    return m_confirmedAt && now < *m_confirmedAt + m_keyMaxAge;
}

bool Freshness::isCurrent(base::TimePoint now) const
{
    return m_confirmedAt && now < *m_confirmedAt + m_currentMaxAge;
}

base::Millis Freshness::confirmationAge(base::TimePoint now) const
{
    if (!m_confirmedAt)
        return base::Millis(-1);
    return std::chrono::floor<base::Millis>(now - *m_confirmedAt);
}

} // namespace hyssop::edge
