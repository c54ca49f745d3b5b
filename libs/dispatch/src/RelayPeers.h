#pragma once

#include "dispatch/Dispatch.h"

#include <functional>
#include <map>

namespace hyssop::dispatch {

/// Entry hosts to which calls can be relayed.
class RelayPeers
{
public:
    using IsAllowed = std::function<bool(const base::DataCentreId &)>;

    void set(std::vector<fleet::LoadPeer> peers) { m_peers = std::move(peers); }
    bool isEmpty() const { return m_peers.empty(); }
    /// A peer in an allowed data centre that is not among \a tried and has not said that it does
    /// not reach \a service either, at random; one that declined lately only if there is no other.
    std::optional<base::Endpoint> choose(const base::ServiceId &service,
                                         const std::vector<base::Endpoint> &tried,
                                         const IsAllowed &isAllowed, base::Rng &rng,
                                         base::TimePoint now);
    /// The services whose upstreams a peer does not reach, as it says itself.
    void setUnreachable(const base::Endpoint &peer, const std::vector<base::ServiceId> &services,
                        base::TimePoint now);
    /// The peer took no call, or cannot be reached.
    void recordDeclined(const base::Endpoint &peer, base::TimePoint now);

private:
    std::vector<fleet::LoadPeer> m_peers;
    struct Statement
    {
        std::vector<base::ServiceId> unreachableServices;
        base::TimePoint expiresAt;
    };

    std::vector<std::pair<base::Endpoint, base::TimePoint>> m_avoided; ///< Each until a time.
    std::map<base::Endpoint, Statement> m_statements;
};

} // namespace hyssop::dispatch
