#pragma once

#include "fleet/Fleet.h"

namespace hyssop::registry {

/// Aggregates the load reports of entry hosts. Does no I/O.
class LoadAggregator
{
public:
    /// Replaces the report of the host that sent \a request.
    void report(const fleet::WatchRequest &request, base::TimePoint now);
    /// Up to \a limit addresses of other hosts, those in the data centre of \a host first. Hosts
    /// form a ring ordered by id and each gets its successors, so every host sends its load to
    /// about as many hosts as send theirs to it. Empty when \a host has not reported.
    std::vector<base::Endpoint> neighbours(const base::HostId &host, std::size_t limit) const;
    /// Total outstanding load of all hosts except \a host.
    fleet::LoadReport loadOfOthers(const base::HostId &host, base::TimePoint now);
    /// Number of hosts with an unexpired report.
    std::size_t reportingHosts(base::TimePoint now);

private:
    struct Report
    {
        base::Endpoint address;
        base::DataCentreId dataCentre;
        fleet::LoadReport load;
        base::TimePoint receivedAt;
    };
    void removeExpired(base::TimePoint now);
    void updateTotals(base::TimePoint now);

    std::map<base::HostId, Report> m_reports;
    /// Sums over all hosts, recomputed at most once per kTotalsInterval.
    std::map<base::UpstreamId, fleet::UpstreamLoad> m_totals;
    std::map<base::HostId, fleet::LoadReport> m_loadInTotals; ///< Share of each host in m_totals.
    std::optional<base::TimePoint> m_totalsAt;
};

} // namespace hyssop::registry
