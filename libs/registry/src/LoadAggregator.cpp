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
    const Report previous = std::exchange(report, {request.address, request.dataCentre,
                                                   request.load, request.exchangesLoad, now});
    if (!isNew && previous.address == report.address && groupOf(previous) == groupOf(report))
        return;
    if (!isNew)
        --m_hostsByGroup[groupOf(previous)];
    ++m_hostsByGroup[groupOf(report)];
    ++m_membersRevision;
}

std::size_t LoadAggregator::hostsIn(const Group &group) const
{
    const auto it = m_hostsByGroup.find(group);
    return it == m_hostsByGroup.end() ? 0 : it->second;
}

std::size_t LoadAggregator::hostsLike(const Report &report) const
{
    std::size_t count = 0;
    for (const auto &[group, hosts] : m_hostsByGroup)
        count += group.first == report.exchangesLoad ? hosts : 0;
    return count;
}

std::vector<LoadAggregator::Reports::const_iterator> LoadAggregator::peersOf(
        Reports::const_iterator host) const
{
    const Group group = groupOf(host->second);
    const bool areAllPeers = hostsLike(host->second) <= m_limit + 1;
    const std::size_t count =
            areAllPeers ? hostsLike(host->second) - 1 : std::min(m_limit, hostsIn(group) - 1);
    const auto mayBePeer = [&group, areAllPeers](const Report &report) {
        return report.exchangesLoad == group.first
               && (areAllPeers || report.dataCentre == group.second);
    };
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
        } while (!mayBePeer(it->second));
        peers.push_back(it);
    }
    std::stable_partition(peers.begin(), peers.end(), [&group](const auto &it) {
        return it->second.dataCentre == group.second;
    });
    return peers;
}

std::vector<fleet::LoadPeer> LoadAggregator::peers(const base::HostId &host) const
{
    const auto own = m_reports.find(host);
    if (own == m_reports.end())
        return {};
    std::vector<fleet::LoadPeer> peers;
    for (const auto &it : peersOf(own))
        peers.push_back({it->second.address, it->second.dataCentre});
    return peers;
}

std::vector<fleet::LoadPeer> LoadAggregator::distantPeers(const base::HostId &host,
                                                          std::size_t limit) const
{
    const auto own = m_reports.find(host);
    if (own == m_reports.end() || hostsLike(own->second) <= m_limit + 1)
        return {};
    std::vector<const Report *> others;
    for (const auto &[id, report] : m_reports) {
        if (report.dataCentre != own->second.dataCentre)
            others.push_back(&report);
    }
    std::vector<fleet::LoadPeer> peers;
    const std::size_t count = std::min(limit, others.size());
    const std::size_t first = base::stableHash(host.text());
    for (std::size_t n = 0; n < count; ++n) {
        const Report &it = *others[(first + n * others.size() / count) % others.size()];
        peers.push_back({it.address, it.dataCentre});
    }
    return peers;
}

void LoadAggregator::removeExpired(base::TimePoint now)
{
    if (now < m_nextExpiryCheckAt)
        return;
    m_nextExpiryCheckAt = now + kExpiryCheckInterval;
    const auto removed = std::erase_if(m_reports, [&](const auto &it) {
        if (now < it.second.receivedAt + kReportLifetime)
            return false;
        --m_hostsByGroup[groupOf(it.second)];
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
        Loads &totals = m_totals[groupOf(report)];
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
    // A host that does not exchange its load takes the sum for that of all others.
    const bool hasPeers = own != m_reports.end() && own->second.exchangesLoad;
    const bool knowsOwnKind = hasPeers && hostsLike(own->second) <= m_limit + 1;
    const bool knowsOwnGroup =
            knowsOwnKind || (hasPeers && hostsIn(groupOf(own->second)) <= m_limit + 1);
    Loads loads;
    for (const auto &[group, totals] : m_totals) {
        if ((knowsOwnKind && group.first) || (knowsOwnGroup && group == groupOf(own->second)))
            continue;
        for (const auto &[id, total] : totals) {
            fleet::UpstreamLoad &load = loads[id];
            load.upstream = id;
            load += total;
        }
    }
    if (own != m_reports.end() && !knowsOwnGroup) {
        auto known = hasPeers ? peersOf(own) : std::vector<Reports::const_iterator>();
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
