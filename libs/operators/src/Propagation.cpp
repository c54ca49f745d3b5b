#include "operators/Operators.h"

#include <algorithm>

namespace hyssop::operators {

std::string_view propagationStateName(PropagationState state)
{
    switch (state) {
    case PropagationState::InForce:
        return "in force";
    case PropagationState::Behind:
        return "behind";
    case PropagationState::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

std::vector<HostStatus> latestHostStatuses(const std::vector<StatusReply> &replies)
{
    std::map<base::HostId, HostStatus> newest;
    for (const StatusReply &reply : replies) {
        for (const HostStatus &host : reply.hosts) {
            const auto [it, isNew] = newest.emplace(host.host, host);
            if (isNew)
                continue;
            // A host's applied index never decreases, so the highest reported one is valid.
            const std::int64_t appliedIndex = std::max(it->second.appliedIndex, host.appliedIndex);
            if (host.ageMs < it->second.ageMs)
                it->second = host;
            it->second.appliedIndex = appliedIndex;
        }
    }
    std::vector<HostStatus> hosts;
    hosts.reserve(newest.size());
    for (const auto &[id, host] : newest)
        hosts.push_back(host);
    return hosts;
}

std::vector<DataCentrePropagation> propagationByDataCentre(
        const std::vector<StatusReply> &replies, const std::set<base::DataCentreId> &known,
        std::int64_t logIndex)
{
    std::map<base::DataCentreId, DataCentrePropagation> dataCentres;
    for (const base::DataCentreId &id : known)
        dataCentres[id] = {id, PropagationState::Unreachable, 0, 0};
    for (const HostStatus &host : latestHostStatuses(replies)) {
        const auto [it, isNew] = dataCentres.try_emplace(host.dataCentre);
        DataCentrePropagation &centre = it->second;
        PropagationState state =
                host.appliedIndex < logIndex ? PropagationState::Behind : PropagationState::InForce;
        if (host.ageMs > kUnreachableAfterMs)
            state = PropagationState::Unreachable;
        const bool isFirst = isNew || centre.hosts == 0;
        centre.dataCentre = host.dataCentre;
        centre.state = isFirst ? state : std::max(centre.state, state);
        centre.ageMs = isFirst ? host.ageMs : std::max(centre.ageMs, host.ageMs);
        ++centre.hosts;
    }
    std::vector<DataCentrePropagation> propagations;
    propagations.reserve(dataCentres.size());
    for (const auto &[id, centre] : dataCentres)
        propagations.push_back(centre);
    return propagations;
}

} // namespace hyssop::operators
