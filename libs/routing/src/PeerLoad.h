#pragma once

#include "routing/Routing.h"

#include <map>

namespace hyssop::routing {

/// Outstanding work of the other entry hosts at one upstream. A host's report expires kReportTtl
/// after it arrived.
class PeerLoad
{
public:
    struct Sum
    {
        base::Tokens promptTokens;
        base::Tokens longPromptTokens;
        base::Tokens kvTokens;
        int requests = 0;
    };

    /// Replaces the report of a host.
    void update(const PeerLoadReport &report, base::TimePoint now);
    /// Drops expired reports and returns the sum of the others.
    const Sum &sum(base::TimePoint now);
    /// Number of hosts with a report.
    std::size_t hostCount() const { return m_reports.size(); }

    static constexpr base::Millis kReportTtl{1'500};

private:
    struct HostReport
    {
        PeerLoadReport report;
        base::TimePoint expires;
    };
    void add(const PeerLoadReport &report, int sign);

    std::map<base::HostId, HostReport> m_reports;
    Sum m_sum;
    base::TimePoint m_nextExpiry = base::TimePoint::max();
};

} // namespace hyssop::routing
