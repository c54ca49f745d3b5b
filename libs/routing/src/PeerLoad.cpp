#include "PeerLoad.h"

#include <algorithm>

namespace hyssop::routing {

void PeerLoad::add(const PeerOutstanding &report, int sign)
{
    const auto signedTokens = [sign](base::Tokens n) { return base::Tokens(n.count() * sign); };
    m_sum.prompt += signedTokens(report.prompt);
    m_sum.longPrompt += signedTokens(report.longPrompt);
    m_sum.kv += signedTokens(report.kv);
    m_sum.requests += report.requests * sign;
}

void PeerLoad::set(const PeerOutstanding &report, base::TimePoint now)
{
    Item &item = m_items[report.host];
    add(item.report, -1);
    add(report, 1);
    item = {report, now + kTtl};
    m_nextExpiry = std::min(m_nextExpiry, item.expires);
}

const PeerLoad::Sum &PeerLoad::sum(base::TimePoint now)
{
    if (now < m_nextExpiry)
        return m_sum;
    m_nextExpiry = base::TimePoint::max();
    for (auto it = m_items.begin(); it != m_items.end();) {
        if (it->second.expires <= now) {
            add(it->second.report, -1);
            it = m_items.erase(it);
            continue;
        }
        m_nextExpiry = std::min(m_nextExpiry, it->second.expires);
        ++it;
    }
    return m_sum;
}

} // namespace hyssop::routing
