#include "RelayPeers.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Time for which a peer that declined a call gets no further ones.
constexpr base::Millis kAvoidTime{1'000};
/// Hosts without links say so each half second.
constexpr base::Millis kStatementLifetime{1'500};

} // namespace

std::optional<base::Endpoint> RelayPeers::choose(const base::ServiceId &service,
                                                 const std::vector<base::Endpoint> &tried,
                                                 const IsAllowed &isAllowed, base::Rng &rng,
                                                 base::TimePoint now)
{
    std::erase_if(m_avoided, [now](const auto &it) { return now >= it.second; });
    const auto isAvoided = [this](const base::Endpoint &peer) {
        return std::any_of(m_avoided.begin(), m_avoided.end(),
                           [&peer](const auto &it) { return it.first == peer; });
    };
    std::erase_if(m_statements, [now](const auto &it) { return now >= it.second.expiresAt; });
    const auto isUnreachableFor = [&](const base::Endpoint &peer) {
        const auto it = m_statements.find(peer);
        if (it == m_statements.end())
            return false;
        const auto &services = it->second.unreachableServices;
        return std::find(services.begin(), services.end(), service) != services.end();
    };
    std::vector<base::Endpoint> candidates;
    for (const fleet::LoadPeer &it : m_peers) {
        const bool isTried = std::find(tried.begin(), tried.end(), it.address) != tried.end();
        if (!isTried && isAllowed(it.dataCentre) && !isUnreachableFor(it.address))
            candidates.push_back(it.address);
    }
    if (std::any_of(candidates.begin(), candidates.end(),
                    [&](const auto &it) { return !isAvoided(it); }))
        std::erase_if(candidates, isAvoided);
    if (candidates.empty())
        return std::nullopt;
    return candidates[rng() % candidates.size()];
}

void RelayPeers::setUnreachable(const base::Endpoint &peer,
                                const std::vector<base::ServiceId> &services, base::TimePoint now)
{
    if (services.empty())
        m_statements.erase(peer);
    else
        m_statements[peer] = {services, now + kStatementLifetime};
}

void RelayPeers::recordDeclined(const base::Endpoint &peer, base::TimePoint now)
{
    m_avoided.emplace_back(peer, now + kAvoidTime);
}

} // namespace hyssop::dispatch
