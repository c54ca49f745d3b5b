#include "ColdShares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hyssop::dispatch {

namespace {

/// Part of the bound that the hosts divide. The rest is for requests on their way when the upstream
/// turned cold.
constexpr double kDividedPart = 0.85;
/// The number of hosts that choose an upstream has the mean m and a standard deviation of at most
/// the root of m. The bound lies this many standard deviations above the mean.
/// Above six, the bound is exceeded for fewer than one upstream in 100,000, and then only if all
/// these hosts send within the same second.
constexpr double kDeviations = 6;

/// The largest mean number of hosts for which \a bound is not reached.
double meanHosts(double bound)
{
    const double root = (std::sqrt(kDeviations * kDeviations + 4 * bound) - kDeviations) / 2;
    return root * root;
}

} // namespace

void ColdRequests::record(base::TimePoint now)
{
    while (!m_sentAt.empty() && m_sentAt.front() + kWindow <= now)
        m_sentAt.pop_front();
    m_sentAt.push_back(now);
}

int ColdRequests::count(base::TimePoint now) const
{
    return static_cast<int>(
            std::count_if(m_sentAt.begin(), m_sentAt.end(),
                          [now](base::TimePoint it) { return it + kWindow > now; }));
}

base::TimePoint ColdRequests::belowLimitAt(int limit, base::TimePoint now) const
{
    const auto excess = static_cast<std::size_t>(std::max(0, count(now) - limit + 1));
    if (excess == 0)
        return now;
    const auto first = std::find_if(m_sentAt.begin(), m_sentAt.end(),
                                    [now](base::TimePoint it) { return it + kWindow > now; });
    return *(first + static_cast<std::ptrdiff_t>(excess - 1)) + kWindow;
}

std::optional<int> ColdShares::share(const fleet::Upstream &upstream) const
{
    const auto bound = m_bounds.find(upstream.service);
    if (bound == m_bounds.end())
        return std::nullopt;
    if (bound->second >= m_hostCount)
        return std::max(1, static_cast<int>(kDividedPart * bound->second / m_hostCount));
    const auto hash = static_cast<std::uint64_t>(
            fleet::fingerprintOf(upstream.service,
                                 {"cold", upstream.id.text(),
                                  std::to_string(upstream.incarnation.count()), m_self.text()})
                    .count());
    const double drawn = static_cast<double>(hash)
                         / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return drawn * m_hostCount < meanHosts(bound->second) ? 1 : 0;
}

} // namespace hyssop::dispatch
