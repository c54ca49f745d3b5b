#pragma once

#include "routing/Routing.h"

#include <map>

namespace hyssop::routing {

/// What the other entry hosts have outstanding at one upstream. What a host said counts until it
/// has been silent for kTtl.
class PeerLoad
{
public:
    struct Sum
    {
        base::Tokens prompt;
        base::Tokens longPrompt;
        base::Tokens kv;
        int requests = 0;
    };

    void update(const PeerOutstanding &report, base::TimePoint now);
    const Sum &sum(base::TimePoint now);
    /// Hosts that have something to say of the upstream.
    std::size_t hostCount() const { return m_reports.size(); }

    static constexpr base::Millis kReportTtl{1'500};

private:
    struct HostReport
    {
        PeerOutstanding report;
        base::TimePoint expires;
    };
    void add(const PeerOutstanding &report, int sign);

    std::map<base::HostId, HostReport> m_reports;
    Sum m_sum;
    base::TimePoint m_nextExpiry = base::TimePoint::max();
};

} // namespace hyssop::routing
