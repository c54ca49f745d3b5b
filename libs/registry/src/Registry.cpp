#include "registry/Registry.h"

#include "LoadBoard.h"
#include "ReadPermits.h"
#include "WatchBoard.h"

#include <nlohmann/json.hpp>

namespace hyssop::registry {

namespace {

constexpr auto kGroup = "global";
constexpr auto kGranted = "granted";
constexpr auto kReadTopic = "configuration";

/// Entry hosts that one tells its load to directly; more would cost each of them more than their
/// calls do.
constexpr std::size_t kNeighbours = 30;

/// Time between turns of the group without an event; heartbeats are five times that apart.
constexpr base::Millis kPumpInterval{20};
/// A message to a host that does not answer is given up, and with it the connection.
constexpr base::Millis kReplicateTimeout{1'000};
/// Announcements that change nothing go to other control hosts together.
constexpr base::Millis kRelayInterval{400};
/// Longest that an announcement's answer waits for other control hosts; its sender waits a second.
constexpr base::Millis kRelayTimeout{250};
/// Operators try another control host after a second.
constexpr base::Millis kReadTimeout{800};
constexpr base::Millis kPutLimit{2'500};
/// A group that has no other leader by then is left without this host.
constexpr base::Millis kStopTimeout{2'000};

std::string encodeConfiguration(const std::optional<ledger::StoredConfiguration> &configuration)
{
    if (!configuration)
        return base::toCbor({0, ""});
    return base::toCbor({configuration->version, configuration->text});
}

std::optional<ledger::StoredConfiguration> decodeConfiguration(const std::string &bytes)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return std::nullopt;
    try {
        return ledger::StoredConfiguration{parsed->at(0), parsed->at(1), {}};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

/// As the operator sent it.
std::optional<ledger::StoredConfiguration> unpacked(
        std::optional<ledger::StoredConfiguration> configuration)
{
    if (!configuration)
        return std::nullopt;
    auto text = fleet::unpackText(configuration->text);
    if (!text) {
        base::logEvent("configuration_unreadable",
                       {{"version", configuration->version}, {"reason", "damaged"}});
        return std::nullopt;
    }
    configuration->text = *std::move(text);
    return configuration;
}

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
        , m_directory(static_cast<std::int64_t>(m_options.seed >> 1), m_options.upstreamSilence)
    { }

    tl::expected<void, RegistryError> open(peers::Service *service);
    void pump();
    void pumpGroup(base::TimePoint now);
    void schedulePump();
    void answerWatches(base::TimePoint now);
    fleet::WatchReply reply(const fleet::WatchRequest &request, base::TimePoint now);
    void answerPermit(const std::string &body, const peers::Answer<std::string> &answer,
                      base::TimePoint now);
    void readOwn(const peers::Answer<std::string> &answer, base::TimePoint now) const;
    void relay(const fleet::Relay &relay, std::function<void()> done);
    void relayRefreshed(base::TimePoint now);
    void take(const fleet::Relay &relay, base::TimePoint now);
    std::vector<base::Endpoint> otherControls() const;
    group::GroupHost &host() const { return *m_groups.at(kGroup); }
    bool isConfirmed(base::TimePoint now) const { return host().replica().hasLease(now); }
    /// Whether this host hands configurations out; one copy for each entry host is enough.
    bool givesText(base::TimePoint now) const
    {
        return isConfirmed(now) || !host().replica().hasHeardLeader(now);
    }

    RegistryOptions m_options;
    http::Loop *m_loop;
    std::function<void()> m_onFailed;
    group::OpenMembers *m_members = nullptr; ///< Owned by the group.
    group::Groups m_groups;
    std::unique_ptr<group::CommandRouter> m_router;
    fleet::Directory m_directory;
    LoadBoard m_loads;
    WatchBoard m_watches;
    ReadPermits m_permits;
    std::vector<base::UpstreamId> m_refreshed; ///< Announced since they were last relayed.
    base::TimePoint m_relayAt{};
    bool m_isPumpScheduled = false;
    bool m_hasFailed = false;
    bool m_wasConfirmed = false;
    std::int64_t m_appliedVersion = 0;
    std::function<void()> m_onStopped;
    std::optional<base::TimePoint> m_stopUntil;
    std::unique_ptr<peers::Node> m_node; ///< Last: its thread calls into what stands above.
};

tl::expected<void, RegistryError> Registry::Impl::open(peers::Service *service)
{
    const base::TimePoint now = base::monotonicNow();
    group::OpenMembersOptions members;
    members.self = base::HostId(m_options.listenPeers.text());
    members.dataCentre = m_options.dataCentre;
    members.seeds = m_options.seeds;
    members.mayFound = m_options.mayFound;
    members.voters = m_options.voters;
    group::GroupOptions options;
    options.group = replog::GroupId(kGroup);
    options.host = members.self;
    options.folder = m_options.data / kGroup;
    auto open = std::make_unique<group::OpenMembers>(members, now);
    m_members = open.get();
    options.members = std::move(open);
    options.heartbeatInterval = m_options.heartbeatInterval;
    options.electionTimeout = m_options.electionTimeout;
    options.seed = m_options.seed;
    const auto send = [this](const base::Endpoint &to, std::string body) {
        m_node->replicate(to, {kGroup, m_options.listenPeers.text(), std::move(body)},
                          kReplicateTimeout);
    };
    auto group = group::GroupHost::open(std::move(options), send, now);
    if (!group)
        return tl::unexpected(RegistryError{group.error().message});
    m_groups.emplace(kGroup, *std::move(group));
    m_router = std::make_unique<group::CommandRouter>(m_loop, &m_groups,
                                                      std::vector<group::HostAddress>());
    auto node = peers::Node::start(m_options.listenPeers, service);
    if (!node)
        return tl::unexpected(RegistryError{node.error().message});
    m_node = *std::move(node);
    m_router->start(m_node.get());
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
    // All commands of this turn of the loop share one sync.
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
    if (const auto pumped = host().pump(now); !pumped) {
        // Nothing of the batch was acknowledged; a restart reads back what is on the disk.
        base::logEvent("log_failed", {{"message", pumped.error().message}});
        m_hasFailed = true;
        m_onFailed();
        return;
    }
    m_directory.tick(now);
    m_permits.tick(now);
    relayRefreshed(now);
    const auto &configuration = host().ledger().configuration();
    if (configuration && configuration->version != m_appliedVersion) {
        m_appliedVersion = configuration->version;
        base::logEvent("configuration_applied", {{"version", m_appliedVersion},
                                                 {"term", configuration->position.term.count()},
                                                 {"index", configuration->position.index.count()}});
    }
    answerWatches(now);
    if (m_stopUntil) {
        const bool isAlone = host().replica().configuration().voters.size() < 2;
        const bool isDone = !host().hasWaiting() && (isAlone || !host().replica().isLeader());
        if ((isDone || now >= *m_stopUntil) && m_onStopped) {
            m_router->stop();
            std::exchange(m_onStopped, {})();
        }
    }
}

void Registry::Impl::answerWatches(base::TimePoint now)
{
    WatchBoard::State state;
    if (givesText(now))
        state.configuration = fleet::Version(m_appliedVersion);
    state.directoryIncarnation = m_directory.incarnation();
    state.directoryRevision = m_directory.revision();
    m_watches.answer(state, now);
}

fleet::WatchReply Registry::Impl::reply(const fleet::WatchRequest &request, base::TimePoint now)
{
    fleet::WatchReply reply;
    if (const auto &configuration = host().ledger().configuration()) {
        reply.configuration = fleet::Version(configuration->version);
        if (request.configuration < reply.configuration && givesText(now))
            reply.text = configuration->text;
    }
    reply.isConfirmed = isConfirmed(now);
    reply.directory = m_directory.since(request.directoryIncarnation, request.directoryRevision);
    reply.controls = otherControls();
    reply.controls.push_back(m_options.listenPeers);
    reply.entries = static_cast<int>(std::max<std::size_t>(1, m_loads.hosts(now)));
    // One control host's sum is enough; without a leader any will do.
    if (reply.isConfirmed)
        reply.entryAddresses = m_loads.neighbours(request.host, kNeighbours);
    if (givesText(now))
        reply.others = m_loads.others(request.host, now);
    return reply;
}

std::vector<base::Endpoint> Registry::Impl::otherControls() const
{
    std::vector<base::Endpoint> others;
    for (const group::HostAddress &it : m_members->hosts()) {
        if (it.address != m_options.listenPeers)
            others.push_back(it.address);
    }
    return others;
}

void Registry::Impl::relay(const fleet::Relay &relay, std::function<void()> done)
{
    const auto others = otherControls();
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

void Registry::Impl::relayRefreshed(base::TimePoint now)
{
    if (m_refreshed.empty() || now < m_relayAt)
        return;
    m_relayAt = now + kRelayInterval;
    fleet::Relay batch;
    for (const base::UpstreamId &id : std::exchange(m_refreshed, {})) {
        if (const fleet::Upstream *upstream = m_directory.find(id))
            batch.upstreams.push_back(*upstream);
    }
    relay(batch, [] {});
}

void Registry::Impl::take(const fleet::Relay &relay, base::TimePoint now)
{
    for (const fleet::Upstream &upstream : relay.upstreams)
        m_directory.announce(upstream, now);
    for (const fleet::Departed &it : relay.left)
        m_directory.leave(it.id, it.born, now);
    answerWatches(now);
}

void Registry::Impl::answerPermit(const std::string &body, const peers::Answer<std::string> &answer,
                                  base::TimePoint now)
{
    const auto request = fleet::decodePermitRequest(body);
    if (!request) {
        base::logEvent("bad_message", {{"topic", fleet::kPermitTopic}});
        return answer("");
    }
    if (request->isRelease) {
        m_permits.release(request->key, now);
        return answer("");
    }
    m_permits.ask(
            *request, [answer](bool isGranted) { answer(isGranted ? kGranted : ""); }, now);
}

void Registry::Impl::readOwn(const peers::Answer<std::string> &answer, base::TimePoint now) const
{
    answer(isConfirmed(now) ? encodeConfiguration(host().ledger().configuration()) : std::string());
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

void Registry::putConfiguration(fleet::Version version, std::string text,
                                std::function<void(PutOutcome)> done, base::TimePoint now)
{
    const ledger::PutConfiguration command{version.count(), fleet::packText(text)};
    const auto answered = [done](const peers::ExecuteReply &reply) {
        if (reply.status == peers::ExecuteStatus::Done)
            return done(PutOutcome::Accepted);
        done(reply.status == peers::ExecuteStatus::Unknown ? PutOutcome::Unknown
                                                           : PutOutcome::Unavailable);
    };
    m_impl->m_router->execute({kGroup, ledger::encode(command, 0)}, answered, now, kPutLimit);
    m_impl->schedulePump();
}

void Registry::readConfiguration(
        std::function<void(std::optional<ledger::StoredConfiguration>)> done, base::TimePoint now)
{
    if (m_impl->isConfirmed(now))
        return done(unpacked(m_impl->host().ledger().configuration()));
    const auto leader = m_impl->host().leaderAddress();
    if (!leader)
        return done(std::nullopt);
    m_impl->m_node->query(
            *leader, {kReadTopic, ""}, kReadTimeout,
            [loop = m_impl->m_loop, done](tl::expected<std::string, peers::PeerError> read) {
                loop->post([done, read = std::move(read)] {
                    if (!read || read->empty())
                        return done(std::nullopt);
                    done(unpacked(decodeConfiguration(*read)));
                });
            });
}

fleet::AnnounceVerdict Registry::announce(const fleet::Upstream &upstream,
                                          std::function<void()> done, base::TimePoint now)
{
    const auto verdict = m_impl->m_directory.announce(upstream, now);
    if (verdict == fleet::AnnounceVerdict::Refreshed)
        m_impl->m_refreshed.push_back(upstream.id);
    const bool isNews =
            verdict == fleet::AnnounceVerdict::New || verdict == fleet::AnnounceVerdict::Changed;
    if (!isNews) {
        done();
        return verdict;
    }
    m_impl->answerWatches(now);
    m_impl->relay({{*m_impl->m_directory.find(upstream.id)}, {}}, std::move(done));
    return verdict;
}

fleet::AnnounceVerdict Registry::leave(const base::UpstreamId &id,
                                       std::optional<base::Incarnation> born,
                                       std::function<void()> done, base::TimePoint now)
{
    const fleet::Upstream *known = m_impl->m_directory.find(id);
    const base::Incarnation start = born ? *born : known ? known->born : base::Incarnation();
    const auto verdict = m_impl->m_directory.leave(id, born, now);
    if (verdict != fleet::AnnounceVerdict::Changed) {
        done();
        return verdict;
    }
    m_impl->answerWatches(now);
    m_impl->relay({{}, {{id, start, fleet::Departure::Left}}}, std::move(done));
    return verdict;
}

void Registry::setSeeds(const std::vector<base::Endpoint> &seeds)
{
    m_impl->m_members->setSeeds(seeds);
}

void Registry::prepareStop(std::function<void()> done, base::TimePoint now)
{
    m_impl->m_onStopped = std::move(done);
    m_impl->m_stopUntil = now + kStopTimeout;
    m_impl->host().prepareStop(now);
    m_impl->schedulePump();
}

RegistryStats Registry::stats(base::TimePoint now) const
{
    RegistryStats stats;
    stats.version = m_impl->m_appliedVersion;
    stats.isLeader = m_impl->host().replica().isLeader();
    stats.hasHeardLeader = m_impl->host().replica().hasHeardLeader(now);
    stats.upstreams = m_impl->m_directory.size();
    stats.watches = m_impl->m_watches.size();
    stats.entries = m_impl->m_loads.hosts(now);
    stats.voters = m_impl->host().replica().configuration().voters.size();
    return stats;
}

void Registry::onWatch(peers::WatchRequest, peers::Answer<peers::WatchReply> answer)
{
    // Records are not kept here.
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
        m_impl->host().receive(message.body, base::monotonicNow());
        m_impl->schedulePump();
    });
}

void Registry::onGossip(peers::GossipMessage) { }

void Registry::onQuery(peers::QueryRequest request, peers::Answer<std::string> answer)
{
    m_impl->m_loop->post([this, request = std::move(request), answer = std::move(answer)] {
        const base::TimePoint now = base::monotonicNow();
        if (request.topic == kReadTopic)
            return m_impl->readOwn(answer, now);
        if (request.topic == fleet::kPermitTopic)
            return m_impl->answerPermit(request.body, answer, now);
        if (request.topic == fleet::kRelayTopic) {
            if (const auto relay = fleet::decodeRelay(request.body))
                m_impl->take(*relay, now);
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
        m_impl->m_loads.report(*watch, now);
        m_impl->m_watches.add(
                *std::move(watch),
                [this, answer](const fleet::WatchRequest &asked) {
                    answer(fleet::encode(m_impl->reply(asked, base::monotonicNow())));
                },
                now);
        m_impl->answerWatches(now);
    });
}

} // namespace hyssop::registry
