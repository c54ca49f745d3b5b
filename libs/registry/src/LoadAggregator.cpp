#include "LoadAggregator.h"

#include <algorithm>

namespace hyssop::registry {

namespace {

/// Hosts report every second, so one without a report for this long is down or unreachable.
constexpr base::Millis kReportLifetime{3'500};
/// With many hosts, summing for every request would dominate the CPU time.
constexpr base::Millis kTotalsInterval{50};
constexpr base::Millis kExpiryCheckInterval{100};

} // namespace

void LoadAggregator::report(const fleet::WatchRequest &request, base::TimePoint now)
{
    const auto [it, isNew] = m_reports.try_emplace(request.host);
    Report &report = it->second;
    const bool hasMoved =
            report.address != request.address || report.dataCentre != request.dataCentre;
    if (isNew || hasMoved) {
        if (!isNew)
            --m_hostsByDataCentre[report.dataCentre];
        ++m_hostsByDataCentre[request.dataCentre];
        ++m_membersRevision;
    }
    report = {request.address, request.dataCentre, request.load, now};
}

std::size_t LoadAggregator::hostsIn(const base::DataCentreId &dataCentre) const
{
    const auto it = m_hostsByDataCentre.find(dataCentre);
    return it == m_hostsByDataCentre.end() ? 0 : it->second;
}

std::vector<LoadAggregator::Reports::const_iterator> LoadAggregator::peersOf(
        Reports::const_iterator host) const
{
    const bool areAllPeers = m_reports.size() <= m_limit + 1;
    const base::DataCentreId &dataCentre = host->second.dataCentre;
    const std::size_t count =
            areAllPeers ? m_reports.size() - 1 : std::min(m_limit, hostsIn(dataCentre) - 1);
    std::vector<Reports::const_iterator> peers;
    peers.reserve(count);
    auto after = host;
    auto before = host;
    for (bool isForward = true; peers.size() < count; isForward = !isForward) {
        auto &it = isForward ? after : before;
        do {
            if (isForward)
                it = std::next(it) == m_reports.end() ? m_reports.begin() : std::next(it);
            else
                it = std::prev(it == m_reports.begin() ? m_reports.end() : it);
        } while (!areAllPeers && it->second.dataCentre != dataCentre);
        peers.push_back(it);
    }
    std::stable_partition(peers.begin(), peers.end(), [&dataCentre](const auto &it) {
        return it->second.dataCentre == dataCentre;
    });
    return peers;
}

std::vector<base::Endpoint> LoadAggregator::peers(const base::HostId &host) const
{
    const auto own = m_reports.find(host);
    if (own == m_reports.end())
        return {};
    std::vector<base::Endpoint> addresses;
    for (const auto &it : peersOf(own))
        addresses.push_back(it->second.address);
    return addresses;
}

void LoadAggregator::removeExpired(base::TimePoint now)
{
    if (now < m_nextExpiryCheckAt)
        return;
    m_nextExpiryCheckAt = now + kExpiryCheckInterval;
    const auto removed = std::erase_if(m_reports, [&](const auto &it) {
        if (now < it.second.receivedAt + kReportLifetime)
            return false;
        --m_hostsByDataCentre[it.second.dataCentre];
        return true;
    });
    if (removed > 0)
        ++m_membersRevision;
}

bool LoadAggregator::isReporting(const base::HostId &host, base::TimePoint now)
{
    removeExpired(now);
    return m_reports.contains(host);
}

std::size_t LoadAggregator::reportingHosts(base::TimePoint now)
{
    removeExpired(now);
    return m_reports.size();
}

void LoadAggregator::updateTotals(base::TimePoint now)
{
    if (m_totalsAt && now < *m_totalsAt + kTotalsInterval)
        return;
    removeExpired(now);
    m_totalsAt = now;
    m_totals.clear();
    for (const auto &[name, report] : m_reports) {
        Loads &totals = m_totals[report.dataCentre];
        for (const fleet::UpstreamLoad &it : report.load.upstreams) {
            fleet::UpstreamLoad &total = totals[it.upstream];
            total.upstream = it.upstream;
            total += it;
        }
    }
}

fleet::LoadReport LoadAggregator::distantLoad(const base::HostId &host, base::TimePoint now)
{
    updateTotals(now);
    const auto own = m_reports.find(host);
    const bool hasPeers = own != m_reports.end();
    if (hasPeers && m_reports.size() <= m_limit + 1)
        return {};
    Loads loads;
    for (const auto &[dataCentre, totals] : m_totals) {
        const bool isOwn = hasPeers && dataCentre == own->second.dataCentre;
        if (isOwn && hostsIn(dataCentre) <= m_limit + 1)
            continue;
        for (const auto &[id, total] : totals) {
            fleet::UpstreamLoad &load = loads[id];
            load.upstream = id;
            load += total;
        }
    }
    if (hasPeers && hostsIn(own->second.dataCentre) > m_limit + 1) {
        auto known = peersOf(own);
        known.emplace_back(own);
        for (const auto &it : known) {
            for (const fleet::UpstreamLoad &load : it->second.load.upstreams) {
                // The sums are older than the reports.
                if (const auto total = loads.find(load.upstream); total != loads.end())
                    total->second -= load;
            }
        }
    }
    fleet::LoadReport distant;
    for (const auto &[id, load] : loads) {
        if (load.requests > 0 || load.prefillMs > 0 || load.kvTokens.count() > 0)
            distant.upstreams.push_back(load);
    }
    return distant;
}

} // namespace hyssop::registry
