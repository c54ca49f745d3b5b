#include "registry/Registry.h"

#include "ConfigurationHistory.h"
#include "CrashSuspects.h"
#include "GroupEvacuationLink.h"
#include "ListedDirectory.h"
#include "LoadAggregator.h"
#include "PendingWatches.h"
#include "PrefillPermits.h"
#include "PublishedRevision.h"
#include "SendGrants.h"
#include "StoredText.h"
#include "SuspectRecord.h"

#include <cmath>

namespace hyssop::registry {

namespace {

constexpr auto kGroupName = "global";
constexpr auto kAccepted = "accepted";
constexpr auto kReadConfigurationTopic = "configuration";
const std::string kNoDelta;

/// Peers with which an entry host exchanges its load directly. With more, the load messages would
/// cost a host more than its calls do.
constexpr std::size_t kMaxLoadPeers = 96;
/// Entry hosts of other data centres that a host is told for relays when not all hosts are its
/// peers. If its own data centre reaches no upstreams, it spreads its calls over these.
constexpr std::size_t kMaxDistantPeers = 8;

/// Interval at which the group is pumped without an event; a fifth of the heartbeat interval.
constexpr base::Millis kPumpInterval{20};
/// After this time an unanswered message is dropped and its connection is closed.
constexpr base::Millis kReplicateTimeout{1'000};
/// Announcements that only refresh an upstream are relayed to other control hosts in batches.
constexpr base::Millis kRelayInterval{400};
/// Shared facts that change within this time after others are sent to entry hosts together.
constexpr base::Millis kFactsInterval{50};
/// Likewise for upstreams. After a restart of the control hosts all upstreams announce themselves
/// within a heartbeat interval, and each entry host would get an answer for each of them.
constexpr base::Millis kDirectoryInterval{100};
/// Limits how long the answer to an announcement waits for other control hosts. The sender times
/// out after 1 s.
constexpr base::Millis kRelayTimeout{250};
/// Operators try another control host after 1 s.
constexpr base::Millis kReadTimeout{800};
constexpr base::Millis kPutTimeout{2'500};
/// A new leader answers the pending watches within this time.
constexpr base::Millis kLeaderAnnounceTime{500};
/// The host stops after this time even when no other leader was elected.
constexpr base::Millis kStopTimeout{2'000};

} // namespace

std::string_view putOutcomeName(PutOutcome outcome)
{
    switch (outcome) {
    case PutOutcome::Accepted:
        return "accepted";
    case PutOutcome::Unavailable:
        return "unavailable";
    case PutOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

class Registry::Impl
{
public:
    Impl(RegistryOptions options, http::Loop *loop, std::function<void()> onFailed)
        : m_options(std::move(options))
        , m_loop(loop)
        , m_onFailed(std::move(onFailed))
        , m_directory(static_cast<std::int64_t>(m_options.seed >> 1), m_options.upstreamTimeout)
        // Hosts compare revisions with those of an earlier start of this control host.
        , m_entryLoads(kMaxLoadPeers, static_cast<std::int64_t>(m_options.seed >> 2) + 1)
        , m_evacuationLink({m_loop, &m_groups, &m_router, &m_node, [this] { schedulePump(); }},
                           kGroupName)
        , m_evacuations(&m_evacuationLink, static_cast<std::int64_t>(m_options.seed >> 3))
    { }

    tl::expected<void, RegistryError> open(peers::Service *service);
    void pump();
    void pumpGroup(base::TimePoint now);
    void schedulePump();
    void answerWatches(base::TimePoint now);
    void useServicesOf(const std::string &configurationText);
    fleet::WatchReply makeWatchReply(const fleet::WatchRequest &request, base::TimePoint now);
    void handlePermitRequest(const std::string &body, const peers::Answer<std::string> &answer,
                             base::TimePoint now);
    void handleCrashEvidence(const std::string &body, const peers::Answer<std::string> &answer,
                             base::TimePoint now);
    void handleTrialRequest(const std::string &body, const peers::Answer<std::string> &answer,
                            base::TimePoint now);
    void handleSendGrantRequest(const std::string &body, const peers::Answer<std::string> &answer,
                                base::TimePoint now);
    void answerConfigurationRead(const peers::Answer<std::string> &answer,
                                 base::TimePoint now) const;
    void relayToControlHosts(const fleet::RelayedAnnouncements &relay, std::function<void()> done);
    /// Passes changes on with the next pump. Many may come at once.
    void relayLater(const fleet::RelayedAnnouncements &relay, std::function<void()> done);
    void sendPendingRelay();
    void relayRefreshedUpstreams(base::TimePoint now);
    void applyRelay(const fleet::RelayedAnnouncements &relay, base::TimePoint now);
    std::vector<base::Endpoint> otherControlHosts() const;
    group::GroupHost &groupHost() const { return *m_groups.at(kGroupName); }
    /// Of what entry hosts share through the leader.
    std::int64_t factsRevision() const
    {
        return m_sendGrants.revision() + m_crashSuspects.revision();
    }
    /// Answers watches when shared facts have changed since the last time.
    void publishFacts(base::TimePoint now);
    bool hasLease(base::TimePoint now) const
    {
        const replog::Replica &replica = groupHost().replica();
        return replica.hasLease(now) && m_suspectRecord.isRestored(replica.term());
    }
    /// Whether replies carry the configuration text and the load of other hosts. Only the leader
    /// sends them, so that an entry host receives one copy; without a leader every host does.
    bool servesConfiguration(base::TimePoint now) const
    {
        return hasLease(now) || !groupHost().replica().hasRecentLeader(now);
    }

    RegistryOptions m_options;
    http::Loop *m_loop;
    std::function<void()> m_onFailed;
    group::DynamicMembers *m_members = nullptr; ///< Owned by the GroupHost.
    group::Groups m_groups;
    std::unique_ptr<group::CommandRouter> m_router;
    fleet::Directory m_directory;
    LoadAggregator m_entryLoads;
    PendingWatches m_watches;
    PrefillPermits m_prefillPermits;
    SendGrants m_sendGrants;
    CrashSuspects m_crashSuspects;
    SuspectRecord m_suspectRecord;
    GroupEvacuationLink m_evacuationLink;
    EvacuationOrders m_evacuations;
    ListedDirectory m_listedDirectory;
    std::vector<base::UpstreamId> m_refreshedUpstreams; ///< Refreshed since the last relay.
    fleet::RelayedAnnouncements m_pendingRelay;
    std::vector<std::function<void()>> m_relayDone; ///< For the announcements in m_pendingRelay.
    base::TimePoint m_nextRelayAt{};
    PublishedRevision m_publishedFacts{kFactsInterval};
    PublishedRevision m_publishedDirectory{kDirectoryInterval};
    bool m_isPumpScheduled = false;
    bool m_hasFailed = false;
    bool m_hadLease = false;
    std::int64_t m_appliedVersion = 0;
    ConfigurationHistory m_history;
    std::function<void()> m_onStopped;
    std::optional<base::TimePoint> m_stopDeadline;
    std::unique_ptr<peers::Node> m_node; ///< Declared last: its thread uses the members above.
};

tl::expected<void, RegistryError> Registry::Impl::open(peers::Service *service)
{
    const base::TimePoint now = base::monotonicNow();
    group::DynamicMembersOptions members;
    members.self = base::HostId(m_options.listenPeers.text());
    members.dataCentre = m_options.dataCentre;
    members.seeds = m_options.seeds;
    members.canBootstrap = m_options.canBootstrap;
    members.voterCount = m_options.voterCount;
    group::GroupOptions options;
    options.group = replog::GroupId(kGroupName);
    options.host = members.self;
    options.folder = m_options.dataDirectory / kGroupName;
    auto dynamicMembers = std::make_unique<group::DynamicMembers>(members, now);
    m_members = dynamicMembers.get();
    options.members = std::move(dynamicMembers);
    options.heartbeatInterval = m_options.heartbeatInterval;
    options.electionTimeout = m_options.electionTimeout;
    options.seed = m_options.seed;
    const auto send = [this](const base::Endpoint &to, std::string body) {
        m_node->replicate(to, {kGroupName, m_options.listenPeers.text(), std::move(body)},
                          kReplicateTimeout);
    };
    auto group = group::GroupHost::open(std::move(options), send, now);
    if (!group)
        return tl::unexpected(RegistryError{group.error().message});
    m_groups.emplace(kGroupName, *std::move(group));
    m_router = std::make_unique<group::CommandRouter>(m_loop, &m_groups,
                                                      std::vector<group::HostAddress>());
    auto node = peers::Node::start(m_options.listenPeers, service, m_options.peerLimits);
    if (!node)
        return tl::unexpected(RegistryError{node.error().message});
    m_node = *std::move(node);
    m_router->setNode(m_node.get());
    pump();
    return {};
}

void Registry::Impl::pump()
{
    pumpGroup(base::monotonicNow());
    m_loop->after(kPumpInterval, [this] { pump(); });
}

void Registry::Impl::schedulePump()
{
    if (m_isPumpScheduled)
        return;
    m_isPumpScheduled = true;
    // Commands of the same event loop iteration share one disk sync.
    m_loop->after(base::Millis(0), [this] {
        m_isPumpScheduled = false;
        pumpGroup(base::monotonicNow());
    });
}

void Registry::Impl::pumpGroup(base::TimePoint now)
{
    if (m_hasFailed)
        return;
    m_router->pump(now);
    if (const auto pumped = groupHost().pump(now); !pumped) {
        // Nothing of the batch was acknowledged; a restart recovers the state on disk.
        base::logEvent("log_failed", {{"message", pumped.error().message}});
        m_hasFailed = true;
        m_onFailed();
        return;
    }
    m_suspectRecord.update(groupHost(), m_crashSuspects, now);
    // Entry hosts wait longer at control hosts that do not lead, and do not know that this one
    // does.
    const bool hadLease = std::exchange(m_hadLease, hasLease(now));
    if (m_hadLease && !hadLease)
        m_watches.answerWithin(kLeaderAnnounceTime, now);
    m_directory.removeExpired(now);
    m_prefillPermits.dropLostHosts(
            [&](const base::HostId &host) { return !m_entryLoads.isReporting(host, now); }, now);
    m_prefillPermits.tick(now);
    if (hasLease(now)) {
        m_sendGrants.tick(now);
        m_crashSuspects.tick(now);
    }
    m_evacuations.apply(groupHost().ledger().evacuations());
    m_evacuations.tick();
    sendPendingRelay();
    relayRefreshedUpstreams(now);
    const auto &configuration = groupHost().ledger().configuration();
    if (configuration && configuration->version != m_appliedVersion) {
        m_appliedVersion = configuration->version;
        if (const auto unpacked = withUnpackedText(configuration)) {
            m_history.add(fleet::ConfigurationVersion(m_appliedVersion), unpacked->text);
            useServicesOf(unpacked->text);
        }
        base::logEvent("configuration_applied", {{"version", m_appliedVersion},
                                                 {"term", configuration->position.term.count()},
                                                 {"index", configuration->position.index.count()}});
    }
    answerWatches(now);
    if (m_stopDeadline) {
        const bool isAlone = groupHost().replica().configuration().voters.size() < 2;
        const bool isDone =
                !groupHost().hasPendingCommands() && (isAlone || !groupHost().replica().isLeader());
        if ((isDone || now >= *m_stopDeadline) && m_onStopped) {
            m_router->stop();
            std::exchange(m_onStopped, {})();
        }
    }
}

void Registry::Impl::answerWatches(base::TimePoint now)
{
    PendingWatches::Revisions state;
    if (servesConfiguration(now))
        state.configuration = fleet::ConfigurationVersion(m_appliedVersion);
    state.directoryIncarnation = m_directory.incarnation();
    state.directoryRevision = m_publishedDirectory.read(m_directory.revision(), now);
    if (hasLease(now))
        state.factsRevision = m_publishedFacts.read(factsRevision(), now);
    state.evacuationsRevision = m_evacuations.state().revision;
    m_watches.answerReady(state, now);
}

fleet::WatchReply Registry::Impl::makeWatchReply(const fleet::WatchRequest &request,
                                                 base::TimePoint now)
{
    fleet::WatchReply reply;
    if (const auto &configuration = groupHost().ledger().configuration()) {
        reply.configurationVersion = fleet::ConfigurationVersion(configuration->version);
        if (request.configurationVersion < reply.configurationVersion && servesConfiguration(now)) {
            const std::string &delta = request.acceptsDelta
                                               ? m_history.deltaFrom(request.configurationVersion)
                                               : kNoDelta;
            if (!delta.empty() && delta.size() < configuration->text.size()) {
                reply.configurationDelta = delta;
                reply.deltaBase = request.configurationVersion;
            } else {
                reply.packedConfiguration = configuration->text;
            }
        }
    }
    reply.isConfirmed = hasLease(now);
    reply.evacuations = m_evacuations.state();
    m_listedDirectory.list(m_directory, *reply.evacuations, request, reply);
    reply.controlHosts = otherControlHosts();
    reply.controlHosts.push_back(m_options.listenPeers);
    reply.entryHostCount =
            static_cast<int>(std::max<std::size_t>(1, m_entryLoads.reportingHosts(now)));
    if (reply.isConfirmed) {
        reply.loadPeersRevision = m_entryLoads.membersRevision();
        if (request.loadPeersRevision != reply.loadPeersRevision) {
            reply.loadPeers = m_entryLoads.peers(request.host);
            reply.distantPeers = m_entryLoads.distantPeers(request.host, kMaxDistantPeers);
        }
        reply.rateLimits = m_sendGrants.limits(now);
        reply.crashSuspects = m_crashSuspects.suspects(now);
        reply.factsRevision = factsRevision();
    }
    // The sum of one control host is enough; without a leader, that of any host serves.
    if (servesConfiguration(now))
        reply.distantLoad = m_entryLoads.distantLoad(request.host, now);
    return reply;
}

std::vector<base::Endpoint> Registry::Impl::otherControlHosts() const
{
    std::vector<base::Endpoint> others;
    for (const group::HostAddress &it : m_members->hosts()) {
        if (it.address != m_options.listenPeers)
            others.push_back(it.address);
    }
    return others;
}

void Registry::Impl::relayToControlHosts(const fleet::RelayedAnnouncements &relay,
                                         std::function<void()> done)
{
    const auto others = otherControlHosts();
    if (others.empty()) {
        done();
        return;
    }
    const auto pending = std::make_shared<std::size_t>(others.size());
    const std::string body = fleet::encode(relay);
    for (const base::Endpoint &it : others) {
        m_node->query(it, {fleet::kRelayTopic, body}, kRelayTimeout, [this, pending, done](auto) {
            m_loop->post([pending, done] {
                if (--*pending == 0)
                    done();
            });
        });
    }
}

void Registry::Impl::relayLater(const fleet::RelayedAnnouncements &relay,
                                std::function<void()> done)
{
    m_pendingRelay.upstreams.insert(m_pendingRelay.upstreams.end(), relay.upstreams.begin(),
                                    relay.upstreams.end());
    m_pendingRelay.departed.insert(m_pendingRelay.departed.end(), relay.departed.begin(),
                                   relay.departed.end());
    m_relayDone.push_back(std::move(done));
}

void Registry::Impl::sendPendingRelay()
{
    if (m_relayDone.empty())
        return;
    relayToControlHosts(std::exchange(m_pendingRelay, {}),
                        [callbacks = std::exchange(m_relayDone, {})] {
                            for (const auto &done : callbacks)
                                done();
                        });
}

void Registry::Impl::useServicesOf(const std::string &configurationText)
{
    if (!m_options.configurationReader)
        return;
    const auto configuration = m_options.configurationReader->parse(configurationText);
    if (!configuration) {
        base::logEvent("configuration_unreadable", {{"where", configuration.error().subject},
                                                    {"reason", configuration.error().message}});
        return;
    }
    std::set<base::ServiceId> services;
    for (const fleet::Service &it : configuration->services)
        services.insert(it.id);
    m_directory.setServices(std::move(services));
}

void Registry::Impl::relayRefreshedUpstreams(base::TimePoint now)
{
    if (m_refreshedUpstreams.empty() || now < m_nextRelayAt)
        return;
    m_nextRelayAt = now + kRelayInterval;
    fleet::RelayedAnnouncements batch;
    for (const base::UpstreamId &id : std::exchange(m_refreshedUpstreams, {})) {
        if (const fleet::Upstream *upstream = m_directory.find(id))
            batch.upstreams.push_back(*upstream);
    }
    relayToControlHosts(batch, [] {});
}

void Registry::Impl::applyRelay(const fleet::RelayedAnnouncements &relay, base::TimePoint now)
{
    for (const fleet::Upstream &upstream : relay.upstreams)
        m_directory.announce(upstream, now);
    // The sender, or a host that it relays to, may have started after these departures.
    auto departures = m_directory.departuresOf(relay.upstreams);
    if (!departures.empty())
        relayLater({{}, std::move(departures)}, [] {});
    for (const fleet::DepartedUpstream &it : relay.departed)
        m_directory.leave(it.id, it.incarnation, now);
    for (const fleet::LeavingUpstream &it : relay.leaving) {
        const auto result = m_directory.markLeaving(it);
        base::logEvent("said_leaving", {{"upstream", it.id},
                                        {"born", it.incarnation.count()},
                                        {"verdict", fleet::announceResultName(result)}});
    }
    answerWatches(now);
}

void Registry::Impl::handlePermitRequest(const std::string &body,
                                         const peers::Answer<std::string> &answer,
                                         base::TimePoint now)
{
    const auto request = fleet::decodePermitRequest(body);
    if (!request) {
        base::logEvent("bad_message", {{"topic", fleet::kPermitTopic}});
        return answer("");
    }
    if (request->isRelease) {
        m_prefillPermits.release(*request, now);
        return answer("");
    }
    const auto onDecided = [this, answer, request = *request, now](bool isGranted) {
        const base::TimePoint decidedAt = base::monotonicNow();
        const auto wait = std::chrono::floor<base::Millis>(decidedAt - now);
        const auto standing = m_prefillPermits.standingOf(request, decidedAt);
        base::logEvent("prefill_permit",
                       {{"host", request.key.host},
                        {"call", request.key.call},
                        {"outcome", isGranted ? "granted" : "expired"},
                        {"prefill_ms", request.prefillMs},
                        {"oversized", request.isOversized},
                        {"route", request.route},
                        {"size_rank", sizeRankName(standing.rank)},
                        {"relative_percent", std::lround(standing.relativeShare * 100)},
                        {"passed_over", standing.isPassedOver},
                        {"waited_ms", wait.count()},
                        {"held", m_prefillPermits.heldCount()},
                        {"waiting", m_prefillPermits.waitingCount()}});
        answer(fleet::encode(fleet::PermitReply{isGranted, wait}));
    };
    m_prefillPermits.acquire(*request, onDecided, now);
}

void Registry::Impl::handleSendGrantRequest(const std::string &body,
                                            const peers::Answer<std::string> &answer,
                                            base::TimePoint now)
{
    const auto request = fleet::decodeSendGrantRequest(body);
    if (!request) {
        base::logEvent("bad_message", {{"topic", fleet::kRateLimitTopic}});
        return answer("");
    }
    // Two hosts that both grant would exceed the limits together.
    if (!hasLease(now))
        return answer("");
    const auto onDecided = [answer](const fleet::SendGrantReply &reply) {
        answer(fleet::encode(reply));
    };
    m_sendGrants.request(*request, onDecided, now);
    publishFacts(now);
}

void Registry::Impl::publishFacts(base::TimePoint now)
{
    // Until they know a new fact, the other hosts go on as before.
    if (m_publishedFacts.isBehind(factsRevision()))
        answerWatches(now);
}

void Registry::Impl::handleCrashEvidence(const std::string &body,
                                         const peers::Answer<std::string> &answer,
                                         base::TimePoint now)
{
    const auto evidence = fleet::decodeCrashEvidence(body);
    if (!evidence) {
        base::logEvent("bad_message", {{"topic", fleet::kCrashTopic}});
        return answer("");
    }
    // The host sends it again to the leader.
    if (!hasLease(now))
        return answer("");
    m_crashSuspects.report(*evidence, now);
    answer(kAccepted);
    publishFacts(now);
}

void Registry::Impl::handleTrialRequest(const std::string &body,
                                        const peers::Answer<std::string> &answer,
                                        base::TimePoint now)
{
    const auto request = fleet::decodeTrialRequest(body);
    if (!request) {
        base::logEvent("bad_message", {{"topic", fleet::kTrialTopic}});
        return answer("");
    }
    // Two hosts that both grant would run suspects beside each other.
    if (!hasLease(now))
        return answer("");
    const auto onDecided = [answer](const fleet::TrialReply &reply) {
        answer(fleet::encode(reply));
    };
    m_crashSuspects.requestTrial(*request, onDecided, now);
    publishFacts(now);
}

void Registry::Impl::answerConfigurationRead(const peers::Answer<std::string> &answer,
                                             base::TimePoint now) const
{
    answer(hasLease(now) ? encodeConfiguration(groupHost().ledger().configuration())
                         : std::string());
}

Registry::Registry(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{ }

Registry::~Registry() = default;

tl::expected<std::unique_ptr<Registry>, RegistryError> Registry::start(
        RegistryOptions options, http::Loop *loop, std::function<void()> onFailed)
{
    auto impl = std::make_unique<Impl>(std::move(options), loop, std::move(onFailed));
    std::unique_ptr<Registry> registry(new Registry(std::move(impl)));
    if (const auto opened = registry->m_impl->open(registry.get()); !opened)
        return tl::unexpected(opened.error());
    return registry;
}

void Registry::putConfiguration(fleet::ConfigurationVersion version, std::string text,
                                std::function<void(PutOutcome)> done, base::TimePoint now)
{
    const ledger::PutConfiguration command{version.count(), fleet::compressText(text)};
    const auto onReply = [done](const auto &reply) { done(toPutOutcome(reply)); };
    m_impl->m_router->execute({kGroupName, ledger::encode(command, 0)}, onReply, now, kPutTimeout);
    m_impl->schedulePump();
}

void Registry::setEvacuation(const base::DataCentreId &dataCentre, bool isEvacuated,
                             std::function<void(PutOutcome)> done)
{
    m_impl->m_evacuations.submit({dataCentre, isEvacuated}, std::move(done));
}

void Registry::readConfiguration(
        std::function<void(std::optional<ledger::StoredConfiguration>)> done, base::TimePoint now)
{
    if (m_impl->hasLease(now))
        return done(withUnpackedText(m_impl->groupHost().ledger().configuration()));
    const auto leader = m_impl->groupHost().leaderAddress();
    if (!leader)
        return done(std::nullopt);
    m_impl->m_node->query(
            *leader, {kReadConfigurationTopic, ""}, kReadTimeout,
            [loop = m_impl->m_loop, done](tl::expected<std::string, peers::PeerError> read) {
                loop->post([done, read = std::move(read)] {
                    if (!read || read->empty())
                        return done(std::nullopt);
                    done(withUnpackedText(decodeConfiguration(*read)));
                });
            });
}

fleet::AnnounceResult Registry::announce(const fleet::Upstream &upstream,
                                         std::function<void()> done, base::TimePoint now)
{
    const auto result = m_impl->m_directory.announce(upstream, now);
    if (result == fleet::AnnounceResult::Unchanged)
        m_impl->m_refreshedUpstreams.push_back(upstream.id);
    const bool isChange =
            result == fleet::AnnounceResult::New || result == fleet::AnnounceResult::Changed;
    if (!isChange) {
        done();
        return result;
    }
    m_impl->answerWatches(now);
    m_impl->relayLater({{*m_impl->m_directory.find(upstream.id)}, {}}, std::move(done));
    return result;
}

fleet::AnnounceResult Registry::withdraw(const base::UpstreamId &id,
                                         std::optional<base::Incarnation> incarnation,
                                         std::function<void()> done, base::TimePoint now)
{
    const auto result = m_impl->m_directory.leave(id, incarnation, now);
    if (result != fleet::AnnounceResult::Changed) {
        done();
        return result;
    }
    m_impl->answerWatches(now);
    m_impl->relayLater({{}, {*m_impl->m_directory.findDeparted(id)}}, std::move(done));
    return result;
}

void Registry::setSeeds(const std::vector<base::Endpoint> &seeds)
{
    m_impl->m_members->setSeeds(seeds);
}

void Registry::prepareStop(std::function<void()> done, base::TimePoint now)
{
    m_impl->m_onStopped = std::move(done);
    m_impl->m_stopDeadline = now + kStopTimeout;
    m_impl->groupHost().prepareStop(now);
    m_impl->schedulePump();
}

RegistryStats Registry::stats(base::TimePoint now) const
{
    RegistryStats stats;
    stats.configurationVersion = m_impl->m_appliedVersion;
    stats.isLeader = m_impl->groupHost().replica().isLeader();
    stats.hasRecentLeader = m_impl->groupHost().replica().hasRecentLeader(now);
    stats.evacuatedDataCentres = m_impl->m_evacuations.state().dataCentres.size();
    stats.upstreams = m_impl->m_directory.size();
    stats.pendingWatches = m_impl->m_watches.size();
    stats.entryHosts = m_impl->m_entryLoads.reportingHosts(now);
    stats.voters = m_impl->groupHost().replica().configuration().voters.size();
    for (const auto &[kind, shares] : m_impl->m_prefillPermits.shares(now)) {
        for (const SizeRank rank : {SizeRank::Rest, SizeRank::NextFifth, SizeRank::LargestTenth})
            stats.sizeShares.push_back(
                    {kind.service, kind.route, sizeRankName(rank), shares.relativeShare(rank)});
    }
    return stats;
}

void Registry::onWatch(peers::WatchRequest, peers::Answer<peers::WatchReply> answer)
{
    // Only hyssop-control stores records.
    answer({});
}

void Registry::onExecute(peers::ExecuteRequest request, peers::Answer<peers::ExecuteReply> answer)
{
    m_impl->m_loop->post([this, request = std::move(request), answer = std::move(answer)] {
        m_impl->m_router->execute(request, answer, base::monotonicNow());
        m_impl->schedulePump();
    });
}

void Registry::onReplicate(peers::ReplicateMessage message)
{
    m_impl->m_loop->post([this, message = std::move(message)] {
        m_impl->groupHost().receive(message.body, base::monotonicNow());
        m_impl->schedulePump();
    });
}

void Registry::onGossip(peers::GossipMessage) { }

void Registry::onQuery(peers::QueryRequest request, peers::Answer<std::string> answer)
{
    m_impl->m_loop->post([this, request = std::move(request), answer = std::move(answer)] {
        const base::TimePoint now = base::monotonicNow();
        if (request.topic == kReadConfigurationTopic)
            return m_impl->answerConfigurationRead(answer, now);
        if (request.topic == fleet::kPermitTopic)
            return m_impl->handlePermitRequest(request.body, answer, now);
        if (request.topic == fleet::kRateLimitTopic)
            return m_impl->handleSendGrantRequest(request.body, answer, now);
        if (request.topic == fleet::kCrashTopic)
            return m_impl->handleCrashEvidence(request.body, answer, now);
        if (request.topic == fleet::kTrialTopic)
            return m_impl->handleTrialRequest(request.body, answer, now);
        if (request.topic == kEvacuationTopic)
            return m_impl->m_evacuations.answer(request.body, answer);
        if (request.topic == fleet::kRelayTopic) {
            if (const auto relay = fleet::decodeRelayedAnnouncements(request.body))
                m_impl->applyRelay(*relay, now);
            else
                base::logEvent("bad_message", {{"topic", request.topic}});
            return answer("{}");
        }
        auto watch = request.topic == fleet::kWatchTopic ? fleet::decodeWatchRequest(request.body)
                                                         : std::nullopt;
        if (!watch) {
            base::logEvent("bad_message", {{"topic", request.topic}});
            return answer("");
        }
        m_impl->m_entryLoads.report(*watch, now);
        m_impl->m_watches.add(
                *std::move(watch),
                [this, answer, now](const fleet::WatchRequest &heldRequest) {
                    const base::TimePoint repliedAt = base::monotonicNow();
                    fleet::WatchReply reply = m_impl->makeWatchReply(heldRequest, repliedAt);
                    reply.heldFor = std::chrono::floor<base::Millis>(repliedAt - now);
                    answer(fleet::encode(reply));
                },
                now);
        m_impl->answerWatches(now);
    });
}

} // namespace hyssop::registry
