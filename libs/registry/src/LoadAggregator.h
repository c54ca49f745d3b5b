#pragma once

#include "fleet/Fleet.h"

namespace hyssop::registry {

/// Aggregates the load reports of entry hosts. Does no I/O.
class LoadAggregator
{
public:
    /// Replaces the report of the host that sent \a request.
    void report(const fleet::WatchRequest &request, base::TimePoint now);
    /// \a limit is the number of peers with which a host can exchange its load directly.
    /// The revisions of members begin at \a firstRevision.
    explicit LoadAggregator(std::size_t limit, std::int64_t firstRevision = 1)
        : m_limit(limit)
        , m_membersRevision(firstRevision)
    { }
    /// The peers of \a host: all other hosts if the limit allows, else those in its
    /// data centre, else the nearest of these in a ring ordered by id, so that (for an even limit)
    /// a host sends its load to those that send theirs to it. Those in its data centre come first.
    /// Hosts that exchange their loads have only such peers, and the others only others.
    /// Empty when \a host has not reported.
    std::vector<fleet::LoadPeer> peers(const base::HostId &host) const;
    /// Hosts of other data centres that are no peers of \a host, at most \a limit, chosen so that
    /// the hosts of a data centre get different ones. Empty when \a host has not reported.
    std::vector<fleet::LoadPeer> distantPeers(const base::HostId &host, std::size_t limit) const;
    /// Changes with each host that begins or ends to report, or moves.
    std::int64_t membersRevision() const { return m_membersRevision; }
    /// Total outstanding load of all hosts except \a host and its peers, or of all others if \a
    /// host does not exchange its load.
    fleet::LoadReport distantLoad(const base::HostId &host, base::TimePoint now);
    /// Whether a host has an unexpired report.
    bool isReporting(const base::HostId &host, base::TimePoint now);
    /// Number of hosts with an unexpired report.
    std::size_t reportingHosts(base::TimePoint now);

private:
    struct Report
    {
        base::Endpoint address;
        base::DataCentreId dataCentre;
        fleet::LoadReport load;
        bool exchangesLoad = true;
        base::TimePoint receivedAt;
    };
    using Loads = std::map<base::UpstreamId, fleet::UpstreamLoad>;
    using Reports = std::map<base::HostId, Report>;
    /// Hosts that exchange their loads or do not, of a data centre.
    using Group = std::pair<bool, base::DataCentreId>;
    static Group groupOf(const Report &report) { return {report.exchangesLoad, report.dataCentre}; }

    void removeExpired(base::TimePoint now);
    void updateTotals(base::TimePoint now);
    std::vector<Reports::const_iterator> peersOf(Reports::const_iterator host) const;
    std::size_t hostsIn(const Group &group) const;
    /// Hosts that exchange their loads, or do not.
    std::size_t hostsLike(const Report &report) const;

    std::size_t m_limit;
    Reports m_reports;
    std::map<Group, std::size_t> m_hostsByGroup;
    std::int64_t m_membersRevision;
    base::TimePoint m_nextExpiryCheckAt{};
    /// Sums over the hosts of each group, recomputed at most once per kTotalsInterval.
    std::map<Group, Loads> m_totals;
    std::optional<base::TimePoint> m_totalsAt;
};

} // namespace hyssop::registry
