#include "Gossiper.h"

#include "Gossip.h"

namespace hyssop::entry {

namespace {

constexpr base::Millis kSendTimeout{1'000};
constexpr std::size_t kHandOverReceivers = 2;

membership::GossipOptions protocolOptions(const membership::HostHeartbeat &self,
                                          std::vector<base::Endpoint> seeds, bool usesSeedsOnly)
{
    membership::GossipOptions options;
    options.seeds = std::move(seeds);
    options.usesSeedsOnly = usesSeedsOnly;
    options.roundInterval = Gossiper::kRoundInterval;
    // Hosts that start together need different random sequences.
    options.seed = std::hash<base::HostId>()(self.id)
                   ^ static_cast<std::uint64_t>(self.incarnation.count());
    return options;
}

std::string_view kindName(membership::HostChange::Kind kind)
{
    switch (kind) {
    case membership::HostChange::Kind::Alive:
        return "seen";
    case membership::HostChange::Kind::Suspected:
        return "suspected";
    case membership::HostChange::Kind::Dead:
        return "dead";
    case membership::HostChange::Kind::Restarted:
        return "replaced";
    }
    return "";
}

} // namespace

Gossiper::Gossiper(http::Loop *loop, process::Metrics *metrics, membership::HostHeartbeat self,
                   std::vector<base::Endpoint> seeds, bool usesSeedsOnly, Hooks hooks)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_seeds(seeds)
    , m_hooks(std::move(hooks))
    , m_hosts(self)
    , m_protocol(protocolOptions(self, std::move(seeds), usesSeedsOnly), &m_hosts, &m_directory)
{ }

void Gossiper::start(peers::Node *node)
{
    m_node = node;
    runRound();
}

void Gossiper::runRound()
{
    const base::TimePoint now = base::monotonicNow();
    apply(m_directory.tick(now));
    apply(m_hosts.tick(now));
    // With many hosts, reports from each would arrive too rarely to be useful.
    std::vector<routing::PeerLoadReport> outstanding;
    if (m_protocol.isFullMesh())
        outstanding = m_outstandingSelector.select(m_hooks.readOutstanding());
    std::size_t bytes = 0;
    for (membership::GossipProtocol::Outgoing &out : m_protocol.runRound(now)) {
        const std::string body = encodeGossip({std::move(out.message), outstanding, {}});
        bytes += body.size();
        m_node->gossip(out.to, {m_hosts.self().id, body}, kSendTimeout);
    }
    m_metrics->count("hyssop_gossip_bytes_total", {{"way", "out"}}, static_cast<double>(bytes));
    m_metrics->set("hyssop_live_hosts", static_cast<double>(m_hosts.live().size()));
    m_loop->after(kRoundInterval, [this] { runRound(); });
}

void Gossiper::announce(const membership::Announcement &announcement)
{
    apply(m_protocol.announce(announcement, base::monotonicNow()));
}

void Gossiper::receive(const peers::GossipMessage &message)
{
    m_metrics->count("hyssop_gossip_bytes_total", {{"way", "in"}},
                     static_cast<double>(message.body.size()));
    const auto body = decodeGossip(message.body);
    if (!body) {
        m_metrics->count("hyssop_malformed_gossip_total");
        return;
    }
    const membership::GossipProtocol::MembershipChanges changes =
            m_protocol.receive(body->message, base::monotonicNow());
    apply(changes.hosts);
    apply(changes.upstreams);
    for (routing::PeerLoadReport report : body->outstanding) {
        report.host = message.from;
        m_hooks.onOutstanding(report);
    }
    if (!body->handedOver.empty())
        m_hooks.onDeletionsHandedOver(body->handedOver);
}

void Gossiper::addStartedHost(const base::HostId &host, base::Incarnation incarnation)
{
    apply(m_hosts.update({host, incarnation, 0, {}}, base::monotonicNow()));
}

bool Gossiper::handOverDeletions(std::vector<upstream::DeletionQueue::Deletion> deletions)
{
    deletions.resize(std::min(deletions.size(), kMaxHandedOverDeletions));
    GossipBody body;
    body.message.sender = m_hosts.self();
    body.handedOver = std::move(deletions);
    const std::string bytes = encodeGossip(body);
    // Two receivers, as one may be stopping as well. Repeated deletions are harmless.
    std::vector<base::Endpoint> receivers;
    const auto add = [&](const base::Endpoint &address) {
        const bool isKnown =
                std::find(receivers.begin(), receivers.end(), address) != receivers.end();
        if (address.port != 0 && address != m_hosts.self().address && !isKnown
            && receivers.size() < kHandOverReceivers)
            receivers.push_back(address);
    };
    for (const membership::HostHeartbeat &heartbeat : m_hosts.live()) {
        if (heartbeat.id != m_hosts.self().id)
            add(heartbeat.address);
    }
    // A host that stops soon after its start may not have heard from any other.
    for (const base::Endpoint &seed : m_seeds)
        add(seed);
    for (const base::Endpoint &it : receivers)
        m_node->gossip(it, {m_hosts.self().id, bytes}, kSendTimeout);
    return !receivers.empty();
}

void Gossiper::apply(const std::vector<membership::DirectoryChange> &changes)
{
    for (const membership::DirectoryChange &change : changes)
        m_hooks.onUpstreamChange(change);
}

void Gossiper::apply(const std::vector<membership::HostChange> &changes)
{
    for (const membership::HostChange &change : changes) {
        const std::string_view kind = kindName(change.kind);
        m_metrics->count("hyssop_host_changes_total", {{"kind", std::string(kind)}});
        base::logEvent("host", {{"host", change.host},
                                {"incarnation", change.incarnation.count()},
                                {"change", kind}});
        m_hooks.onHostChange(change);
    }
}

} // namespace hyssop::entry
