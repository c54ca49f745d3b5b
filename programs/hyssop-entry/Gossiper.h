#pragma once

#include "http/Http.h"
#include "membership/Membership.h"
#include "OutstandingSelector.h"
#include "peers/Peers.h"
#include "process/Process.h"
#include "upstream/Upstream.h"

#include <functional>

namespace hyssop::entry {

/// Maintains this host's view of the hosts and upstreams of the data centre and gossips it.
///
/// Belongs to the entry server's loop. membership::GossipProtocol selects the receivers and
/// contents.
class Gossiper
{
public:
    /// Callbacks for changes, and the source of this host's outstanding work.
    struct Hooks
    {
        std::function<void(const membership::DirectoryChange &)> onUpstreamChange;
        std::function<void(const membership::HostChange &)> onHostChange;
        std::function<void(const routing::PeerLoadReport &)> onOutstanding;
        std::function<std::vector<routing::PeerLoadReport>()> readOutstanding;
        std::function<void(const std::vector<upstream::DeletionQueue::Deletion> &)>
                onDeletionsHandedOver;
    };

    static constexpr base::Millis kRoundInterval{250};

    /// With \a usesSeedsOnly, addresses that other hosts report are ignored.
    Gossiper(http::Loop *loop, process::Metrics *metrics, membership::HostHeartbeat self,
             std::vector<base::Endpoint> seeds, bool usesSeedsOnly, Hooks hooks);

    /// Starts the gossip rounds. \a node must outlive the run of the loop.
    void start(peers::Node *node);
    /// Adds an announcement that an upstream sent to this host.
    void announce(const membership::Announcement &announcement);
    void receive(const peers::GossipMessage &message);
    /// Adds a host of whose start a control host tells. If it never gossips, it is found dead like
    /// one that falls silent.
    void addStartedHost(const base::HostId &host, base::Incarnation incarnation);
    /// Hands unconfirmed deletions over to live hosts and, if there are too few, to configured ones
    /// that were not seen yet. Returns false when there are none.
    bool handOverDeletions(std::vector<upstream::DeletionQueue::Deletion> deletions);

    const membership::Directory &directory() const { return m_directory; }
    const membership::HostTable &hosts() const { return m_hosts; }

private:
    void runRound();
    void apply(const std::vector<membership::DirectoryChange> &changes);
    void apply(const std::vector<membership::HostChange> &changes);

    http::Loop *m_loop;
    process::Metrics *m_metrics;
    std::vector<base::Endpoint> m_seeds;
    Hooks m_hooks;
    membership::HostTable m_hosts;
    membership::Directory m_directory;
    membership::GossipProtocol m_protocol;
    OutstandingSelector m_outstandingSelector;
    peers::Node *m_node = nullptr;
};

} // namespace hyssop::entry
