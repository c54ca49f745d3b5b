#include "PeerLoad.h"

#include <algorithm>

namespace hyssop::routing {

void PeerLoad::add(const PeerLoadReport &report, int sign)
{
    const auto signedTokens = [sign](base::Tokens n) { return base::Tokens(n.count() * sign); };
    m_sum.promptTokens += signedTokens(report.promptTokens);
    m_sum.longPromptTokens += signedTokens(report.longPromptTokens);
    m_sum.kvTokens += signedTokens(report.kvTokens);
    m_sum.requests += report.requests * sign;
}

void PeerLoad::update(const PeerLoadReport &report, base::TimePoint now)
{
    HostReport &entry = m_reports[report.host];
    add(entry.report, -1);
    add(report, 1);
    entry = {report, now + kReportTtl};
    m_nextExpiry = std::min(m_nextExpiry, entry.expires);
}

const PeerLoad::Sum &PeerLoad::sum(base::TimePoint now)
{
    if (now < m_nextExpiry)
        return m_sum;
    m_nextExpiry = base::TimePoint::max();
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        if (it->second.expires <= now) {
            add(it->second.report, -1);
            it = m_reports.erase(it);
            continue;
        }
        m_nextExpiry = std::min(m_nextExpiry, it->second.expires);
        ++it;
    }
    return m_sum;
}

} // namespace hyssop::routing
