#include "operators/Operators.h"

#include <algorithm>

namespace hyssop::operators {

std::string_view standingName(Standing standing)
{
    switch (standing) {
    case Standing::InForce:
        return "in force";
    case Standing::Behind:
        return "behind";
    case Standing::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

std::vector<HostStatus> newestReports(const std::vector<StatusReply> &replies)
{
    std::map<base::HostId, HostStatus> newest;
    for (const StatusReply &reply : replies) {
        for (const HostStatus &host : reply.hosts) {
            const auto [it, isNew] = newest.emplace(host.host, host);
            if (isNew)
                continue;
            // A host's position never decreases, so the highest reported one is valid.
            const std::int64_t position = std::max(it->second.position, host.position);
            if (host.ageMs < it->second.ageMs)
                it->second = host;
            it->second.position = position;
        }
    }
    std::vector<HostStatus> hosts;
    hosts.reserve(newest.size());
    for (const auto &[id, host] : newest)
        hosts.push_back(host);
    return hosts;
}

std::vector<CentreStanding> standingsOf(const std::vector<StatusReply> &replies,
                                        const std::set<base::DataCentreId> &known,
                                        std::int64_t position)
{
    std::map<base::DataCentreId, CentreStanding> dataCentres;
    for (const base::DataCentreId &id : known)
        dataCentres[id] = {id, Standing::Unreachable, 0, 0};
    for (const HostStatus &host : newestReports(replies)) {
        const auto [it, isNew] = dataCentres.try_emplace(host.dataCentre);
        CentreStanding &centre = it->second;
        Standing standing = host.position < position ? Standing::Behind : Standing::InForce;
        if (host.ageMs > kUnreachableAfterMs)
            standing = Standing::Unreachable;
        const bool isFirst = isNew || centre.hosts == 0;
        centre.dataCentre = host.dataCentre;
        centre.standing = isFirst ? standing : std::max(centre.standing, standing);
        centre.ageMs = isFirst ? host.ageMs : std::max(centre.ageMs, host.ageMs);
        ++centre.hosts;
    }
    std::vector<CentreStanding> standings;
    standings.reserve(dataCentres.size());
    for (const auto &[id, centre] : dataCentres)
        standings.push_back(centre);
    return standings;
}

} // namespace hyssop::operators
