#include "HostCount.h"

namespace hyssop::dispatch {

namespace {

/// Hosts assumed until their number is known; more than a small system has.
constexpr int kAssumedHostCount = 50;
/// A control host knows all entry hosts this long after its start.
constexpr base::Millis kRetention{10'000};

} // namespace

void HostCount::record(int count, base::TimePoint now)
{
    while (!m_reports.empty() && m_reports.back().count <= count)
        m_reports.pop_back();
    m_reports.push_back({count, now});
    // The last report holds until the next one, however old it is.
    while (m_reports.size() > 1 && now >= m_reports.front().at + kRetention)
        m_reports.pop_front();
}

int HostCount::current(base::TimePoint now) const
{
    if (m_reports.empty())
        return kAssumedHostCount;
    for (const Report &it : m_reports) {
        if (now < it.at + kRetention)
            return it.count;
    }
    return m_reports.back().count;
}

} // namespace hyssop::dispatch
