#include "LoadAggregator.h"

#include <algorithm>

namespace hyssop::registry {

namespace {

/// Hosts report every second, so one without a report for this long is down or unreachable.
constexpr base::Millis kReportLifetime{3'500};
/// With many hosts, summing for every request would dominate the CPU time.
constexpr base::Millis kTotalsInterval{50};

} // namespace

void LoadAggregator::report(const fleet::WatchRequest &request, base::TimePoint now)
{
    m_reports[request.host] = {request.address, request.dataCentre, request.load, now};
}

std::vector<base::Endpoint> LoadAggregator::neighbours(const base::HostId &host,
                                                       std::size_t limit) const
{
    const auto ownReport = m_reports.find(host);
    if (ownReport == m_reports.end())
        return {};
    std::vector<base::Endpoint> sameDataCentre;
    std::vector<base::Endpoint> otherDataCentres;
    auto it = std::next(ownReport);
    for (std::size_t n = 1; n < m_reports.size(); ++n) {
        if (it == m_reports.end())
            it = m_reports.begin();
        const bool isSameDataCentre = it->second.dataCentre == ownReport->second.dataCentre;
        (isSameDataCentre ? sameDataCentre : otherDataCentres).push_back(it->second.address);
        ++it;
    }
    sameDataCentre.insert(sameDataCentre.end(), otherDataCentres.begin(), otherDataCentres.end());
    sameDataCentre.resize(std::min(sameDataCentre.size(), limit));
    return sameDataCentre;
}

void LoadAggregator::removeExpired(base::TimePoint now)
{
    std::erase_if(m_reports,
                  [now](const auto &it) { return now >= it.second.receivedAt + kReportLifetime; });
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
    m_loadInTotals.clear();
    std::vector<fleet::LoadReport> all;
    for (const auto &[name, report] : m_reports) {
        all.push_back(report.load);
        m_loadInTotals[name] = report.load;
    }
    const fleet::LoadReport total = fleet::sumLoads(all);
    for (const fleet::UpstreamLoad &it : total.upstreams)
        m_totals[it.upstream] = it;
}

fleet::LoadReport LoadAggregator::loadOfOthers(const base::HostId &host, base::TimePoint now)
{
    updateTotals(now);
    auto upstreams = m_totals;
    if (const auto own = m_loadInTotals.find(host); own != m_loadInTotals.end()) {
        for (const fleet::UpstreamLoad &it : own->second.upstreams) {
            upstreams[it.upstream].requests -= it.requests;
            upstreams[it.upstream].kvTokens -= it.kvTokens;
            upstreams[it.upstream].shortRequests -= it.shortRequests;
            upstreams[it.upstream].prefillMs -= it.prefillMs;
        }
    }
    fleet::LoadReport others;
    for (const auto &[id, load] : upstreams) {
        if (load.requests > 0 || load.prefillMs > 0)
            others.upstreams.push_back(load);
    }
    return others;
}

} // namespace hyssop::registry
