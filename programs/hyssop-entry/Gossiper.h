#pragma once

#include "http/Http.h"
#include "membership/Membership.h"
#include "OutstandingSelector.h"
#include "peers/Peers.h"
#include "process/Process.h"
#include "upstream/Upstream.h"

#include <functional>

namespace hyssop::entry {

/// Keeps this host's view of the data centre's hosts and upstreams, and shares it.
///
/// Belongs to the entry task's loop. What is told to whom is decided by membership::Spread.
class Gossiper
{
public:
    /// Receives what has changed, and reads what this host has outstanding.
    struct Hooks
    {
        std::function<void(const membership::DirectoryChange &)> onUpstreamChange;
        std::function<void(const membership::HostChange &)> onHostChange;
        std::function<void(const routing::PeerOutstanding &)> onOutstanding;
        std::function<std::vector<routing::PeerOutstanding>()> readOutstanding;
        std::function<void(const std::vector<upstream::Deletions::Order> &)> onDeletionsHandedOver;
    };

    static constexpr base::Millis kRoundInterval{250};

    Gossiper(http::Loop *loop, process::Metrics *metrics, membership::HostRow self,
             std::vector<base::Endpoint> seeds, bool usesSeedsOnly, Hooks hooks);

    /// Starts to beat; \a node must outlive the loop's run.
    void start(peers::Node *node);
    void announce(const membership::Announcement &announcement);
    void receive(const peers::GossipMessage &message);
    /// Gives orders to upstreams over to other hosts; false when none is in reach.
    bool handOverDeletions(std::vector<upstream::Deletions::Order> deletions);

    const membership::Directory &directory() const { return m_directory; }
    const membership::HostTable &hosts() const { return m_hosts; }

private:
    void runRound();
    void apply(const std::vector<membership::DirectoryChange> &changes);
    void apply(const std::vector<membership::HostChange> &changes);

    http::Loop *m_loop;
    process::Metrics *m_metrics;
    Hooks m_hooks;
    membership::HostTable m_hosts;
    membership::Directory m_directory;
    membership::Spread m_spread;
    OutstandingSelector m_outstandingSelector;
    peers::Node *m_node = nullptr;
};

} // namespace hyssop::entry
