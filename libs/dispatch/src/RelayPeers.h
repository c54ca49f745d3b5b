#pragma once

#include "dispatch/Dispatch.h"

#include <functional>

namespace hyssop::dispatch {

/// Entry hosts to which calls can be relayed.
class RelayPeers
{
public:
    using IsAllowed = std::function<bool(const base::DataCentreId &)>;

    void set(std::vector<fleet::LoadPeer> peers) { m_peers = std::move(peers); }
    bool isEmpty() const { return m_peers.empty(); }
    /// A peer in an allowed data centre that is not among \a tried, at random; one that declined
    /// lately only if there is no other.
    std::optional<base::Endpoint> choose(const std::vector<base::Endpoint> &tried,
                                         const IsAllowed &isAllowed, base::Rng &rng,
                                         base::TimePoint now);
    /// The peer took no call, or cannot be reached.
    void recordDeclined(const base::Endpoint &peer, base::TimePoint now);

private:
    std::vector<fleet::LoadPeer> m_peers;
    std::vector<std::pair<base::Endpoint, base::TimePoint>> m_avoided; ///< Each until a time.
};

} // namespace hyssop::dispatch
