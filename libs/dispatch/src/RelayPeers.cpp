#include "RelayPeers.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Time for which a peer that declined a call gets no further ones.
constexpr base::Millis kAvoidTime{1'000};

} // namespace

std::optional<base::Endpoint> RelayPeers::choose(const std::vector<base::Endpoint> &tried,
                                                 const IsAllowed &isAllowed, base::Rng &rng,
                                                 base::TimePoint now)
{
    std::erase_if(m_avoided, [now](const auto &it) { return now >= it.second; });
    const auto isAvoided = [this](const base::Endpoint &peer) {
        return std::any_of(m_avoided.begin(), m_avoided.end(),
                           [&peer](const auto &it) { return it.first == peer; });
    };
    std::vector<base::Endpoint> candidates;
    for (const fleet::LoadPeer &it : m_peers) {
        const bool isTried = std::find(tried.begin(), tried.end(), it.address) != tried.end();
        if (!isTried && isAllowed(it.dataCentre))
            candidates.push_back(it.address);
    }
    if (std::any_of(candidates.begin(), candidates.end(),
                    [&](const auto &it) { return !isAvoided(it); }))
        std::erase_if(candidates, isAvoided);
    if (candidates.empty())
        return std::nullopt;
    return candidates[rng() % candidates.size()];
}

void RelayPeers::recordDeclined(const base::Endpoint &peer, base::TimePoint now)
{
    m_avoided.emplace_back(peer, now + kAvoidTime);
}

} // namespace hyssop::dispatch
