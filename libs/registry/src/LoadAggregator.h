#pragma once

#include "fleet/Fleet.h"

namespace hyssop::registry {

/// Loads that entry hosts report, summed up for each of the others. No I/O.
class LoadAggregator
{
public:
    void report(const fleet::WatchRequest &request, base::TimePoint now);
    /// Up to \a most addresses of hosts other than \a host, those of its data centre first. They
    /// follow it in the order of names, so that each host tells about as many others as tell it.
    std::vector<base::Endpoint> neighbours(const base::HostId &host, std::size_t limit) const;
    /// What all hosts but \a host have outstanding.
    fleet::LoadReport loadOfOthers(const base::HostId &host, base::TimePoint now);
    /// Hosts that reported lately.
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
    /// Of all hosts; made anew at most every kSumInterval.
    std::map<base::UpstreamId, fleet::UpstreamLoad> m_totals;
    std::map<base::HostId, fleet::LoadReport> m_loadInTotals; ///< What each host added to it.
    std::optional<base::TimePoint> m_totalsAt;
};

} // namespace hyssop::registry
