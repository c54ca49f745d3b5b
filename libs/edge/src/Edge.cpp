// Handling of callers and fleet updates, startup and stop.

#include "EdgeImpl.h"
#include "WatchTiming.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace hyssop::edge {

namespace {

/// Interval of checks for upstreams that are no longer listed.
constexpr base::Millis kFleetTickInterval{500};
/// Retry-After while this host stops. The retry goes to another host.
constexpr base::Millis kStoppingRetryAfter{20};
/// Calls are still accepted this long after the stop request, until the load balancer has noticed
/// it.
constexpr base::Millis kStopNoticeTime{2'500};
/// Calls that arrive later than this after the stop request might not end in time.
constexpr base::Millis kStopAdmissionTime{3'000};
/// Time left before the stop limit when remaining calls are ended.
constexpr base::Millis kStopMargin{500};
/// Time for the responses of these calls to be written.
constexpr base::Millis kStopFlushTime{250};
constexpr base::Millis kStopCheckInterval{50};

/// Load changes are collected for this long before they are sent. Engine passes take several times
/// as long.
constexpr base::Millis kLoadUpdateDelay{12};

/// Entry hosts serve no requests of other hosts.
class NoService final : public peers::Service
{
public:
    void onWatch(peers::WatchRequest, peers::Answer<peers::WatchReply> answer) override
    {
        answer({});
    }
    void onExecute(peers::ExecuteRequest, peers::Answer<peers::ExecuteReply> answer) override
    {
        answer({});
    }
    void onReplicate(peers::ReplicateMessage) override { }
    void onGossip(peers::GossipMessage) override { }
    void onQuery(peers::QueryRequest, peers::Answer<std::string> answer) override { answer(""); }
};

gateway::ServerLimits serverLimits(const fleet::CallerLimits &limits)
{
    gateway::ServerLimits server;
    server.maxHeaderBytes = static_cast<std::size_t>(limits.header.count());
    server.maxBodyBytes = static_cast<std::size_t>(limits.body.count());
    server.headerTimeout = limits.headerTimeout;
    server.idleTimeout = limits.idleTimeout;
    return server;
}

/// Limits for calls of other entry hosts, which add some fields to those of the caller.
gateway::ServerLimits relayLimits(const fleet::CallerLimits &limits)
{
    constexpr std::size_t kAddedBytes = 1'024;
    gateway::ServerLimits server = serverLimits(limits);
    server.maxHeaderBytes += kAddedBytes;
    return server;
}

} // namespace

Edge::Impl::Impl(EdgeOptions options, boost::asio::io_context *io, const Protocol *protocol,
                 const fleet::ConfigurationReader *reader, process::Metrics *metrics)
    : m_options(std::move(options))
    , m_io(io)
    , m_protocol(protocol)
    , m_reader(reader)
    , m_metrics(metrics)
    , m_dispatcher(m_options.dispatch)
    , m_server(io, this, m_options.callerResources)
    , m_relayHandler(this)
    , m_relayServer(io, &m_relayHandler, m_options.callerResources)
    , m_client(io, this)
    , m_freshness(m_options.revocationBound, m_options.propagationBound)
    , m_fleetView(m_options.upstreamRetention)
    , m_rng(m_options.dispatch.seed)
    , m_dispatchTimer(*io)
    , m_fleetTimer(*io)
    , m_stopTimer(*io)
    , m_loadUpdateTimer(*io)
    , m_loadChannel(io,
                    [this](const auto &update, const auto &from) { onLoadUpdate(update, from); })
    , m_startId(static_cast<std::int64_t>(m_rng() >> 1))
    , m_startSteps(base::monotonicNow())
    , m_peerService(std::make_unique<NoService>())
{ }

tl::expected<void, EdgeError> Edge::Impl::open()
{
    auto node =
            peers::Node::start(m_options.listenPeers, m_peerService.get(), m_options.peerLimits);
    if (!node)
        return tl::unexpected(EdgeError{node.error().message});
    m_node = *std::move(node);
    if (const auto opened = m_loadChannel.open(m_options.listenPeers); !opened)
        return opened;
    const auto localState = [this] {
        FleetWatcher::LocalState state;
        state.configurationVersion =
                m_routeTable ? m_routeTable->version() : fleet::ConfigurationVersion();
        state.acceptsDelta = m_routeTable && !m_needsWholeConfiguration;
        state.load = m_dispatcher.ownLoad();
        state.evacuationsRevision = m_evacuations.state().revision;
        state.awaitsLeader =
                !m_evacuations.isConfirmed() || !m_freshness.canAcceptKeys(base::monotonicNow());
        return state;
    };
    m_watcher = std::make_unique<FleetWatcher>(
            m_options.host, m_options.dataCentre, m_options.listenPeers, m_io, m_node.get(),
            localState, [this](const auto &update) { onFleetUpdate(update); });
    if (const auto listening = m_server.listen(m_options.listenCallers); !listening)
        return tl::unexpected(EdgeError{listening.error().message});
    if (m_options.relayPort != 0) {
        const base::Endpoint listen{m_options.listenPeers.address, m_options.relayPort};
        if (const auto listening = m_relayServer.listen(listen); !listening)
            return tl::unexpected(EdgeError{listening.error().message});
    }
    m_watcher->setSeeds(m_options.controlHosts);
    tickFleet();
    return {};
}

bool Edge::Impl::isReady() const
{
    return m_routeTable && !m_stopRequestedAt && !m_fleetView.isEmpty()
           && m_evacuations.isConfirmed() && m_freshness.canAcceptKeys(base::monotonicNow());
}

void Edge::Impl::setControlHosts(const std::vector<base::Endpoint> &controlHosts)
{
    m_watcher->setSeeds(controlHosts);
}

void Edge::Impl::onRequest(const std::shared_ptr<gateway::Exchange> &exchange)
{
    const base::TimePoint now = base::monotonicNow();
    auto metadata = m_protocol->parseRequest(exchange->head());
    if (!metadata) {
        base::logEvent("bad_request", {{"reason", metadata.error().message}});
        m_metrics->count("hyssop_refusals_total", {{"reason", "bad_request"}});
        exchange->respond(400, m_protocol->localResponseFields(exchange->head(), base::Millis(0)),
                          "");
        return;
    }
    const base::RequestId id = metadata->id;
    if (const auto refusal = admit(exchange, *std::move(metadata), std::nullopt, now))
        refuse(*exchange, id, *refusal, false, now);
    scheduleTick(now);
}

bool Edge::Impl::wantsBody(const gateway::RequestHead &head)
{
    const auto metadata = m_protocol->parseRequest(head);
    return metadata && !checkHead(head, *metadata, base::monotonicNow()).refusal;
}

base::Millis Edge::Impl::bodyTimeout(const gateway::RequestHead &head, base::Millis usual)
{
    if (!m_routeTable)
        return usual;
    const auto host = gateway::fieldValue(head.fields, "host").value_or("");
    const std::string_view target = head.target;
    const fleet::Route *route = m_routeTable->findRoute(host, target.substr(0, target.find('?')));
    // A body that takes longer than the usual time is legal where its route allows that time.
    return route ? std::max(usual, route->timeout) : usual;
}

Edge::Impl::Admission Edge::Impl::checkHead(const gateway::RequestHead &head,
                                            const CallMetadata &metadata, base::TimePoint now) const
{
    if (!m_routeTable || !m_freshness.wasConfirmed())
        return {Refusal{503, "no_configuration"}};
    if (!m_evacuations.isConfirmed())
        return {Refusal{503, "evacuations_not_confirmed"}};
    if (m_stopRequestedAt && now >= *m_stopRequestedAt + kStopAdmissionTime)
        return {Refusal{503, "stopping"}};
    const auto host = gateway::fieldValue(head.fields, "host").value_or("");
    const std::string_view target = head.target;
    const fleet::Route *route = m_routeTable->findRoute(host, target.substr(0, target.find('?')));
    // A newer configuration might allow what this one does not.
    if (!route)
        return {m_freshness.isCurrent(now) ? Refusal{404, "no_route"}
                                           : Refusal{503, "configuration_not_confirmed"}};
    const bool needsKey = route->needsKey && m_routeTable->requiresKeys();
    const fleet::Team *team = nullptr;
    if (needsKey) {
        team = metadata.apiKey ? m_routeTable->findTeamByKey(*metadata.apiKey) : nullptr;
        if (!team)
            return {m_freshness.isCurrent(now) ? Refusal{401, "unknown_key"}
                                               : Refusal{503, "configuration_not_confirmed"}};
        if (!m_freshness.canAcceptKeys(now))
            return {Refusal{503, "keys_not_confirmed"}};
    }
    return {std::nullopt, route, team};
}

bool Edge::Impl::mayRunHere(const fleet::RegionSet &allowedRegions) const
{
    return dispatch::isAllowed(m_options.dispatch.regions, allowedRegions, m_options.dataCentre);
}

std::optional<Edge::Impl::Refusal> Edge::Impl::admit(
        const std::shared_ptr<gateway::Exchange> &exchange, CallMetadata metadata,
        std::optional<RelayTerms> relayTerms, base::TimePoint now)
{
    const gateway::RequestHead &head = exchange->head();
    const auto [refusal, route, team] = checkHead(head, metadata, now);
    if (refusal)
        return refusal;
    // The body was not read because of a refusal that no longer holds.
    if (exchange->isBodySkipped())
        return Refusal{503, "body_not_read"};
    const auto allowedRegions = fleet::intersection(
            route->allowedRegions, team ? team->allowedRegions : fleet::RegionSet());
    // Entry hosts of earlier builds relay calls to other regions.
    if (relayTerms && !mayRunHere(allowedRegions))
        return Refusal{503, "outside_regions"};
    std::uniform_real_distribution<double> draw(0, 1);
    dispatch::CallInfo info;
    info.id = dispatch::CallId(++m_lastCallId);
    info.service = fleet::RouteTable::pickService(*route, draw(m_rng));
    info.team = team ? team->id : base::TeamId();
    info.route = route->name;
    info.priority = team && team->priority ? *team->priority : route->priority;
    info.isStream = route->isStream;
    info.isRetrySafe = route->isRetrySafe();
    info.maxAttempts = relayTerms ? std::min(route->maxAttempts, relayTerms->attemptsLeft)
                                  : route->maxAttempts;
    info.isRelayed = relayTerms.has_value();
    info.promptTokens = metadata.promptTokens;
    info.maxOutputTokens = metadata.maxOutputTokens;
    info.arrivedAt = exchange->arrivedAt();
    info.deadline = exchange->arrivedAt()
                    + std::min(route->timeout, metadata.timeout.value_or(route->timeout));
    info.latencyObjective = route->latencyObjective;
    info.gapObjective = route->gapObjective;
    // The texts of some 1,600 parts take more memory than the head that they come from.
    for (const std::string &part : std::exchange(metadata.sharedParts, {}))
        info.fingerprints.push_back(fleet::fingerprintOf(info.service, {"part", part}));
    const auto body = std::make_shared<const std::string>(exchange->takeBody());
    info.fingerprints.push_back(fleet::fingerprintOf(
            info.service, {"request", info.team.text(), head.method, head.target, *body}));
    info.allowedRegions = allowedRegions;

    EdgeCall &call = m_calls[info.id];
    call.id = info.id;
    call.exchange = exchange;
    call.body = body;
    call.fingerprints = info.fingerprints;
    call.requestMetadata = std::move(metadata);
    call.team = info.team;
    call.route = route->name;
    call.service = info.service;
    call.isStream = route->isStream;
    call.relayTerms = relayTerms;
    call.configurationVersion = m_routeTable->version();
    call.confirmationAge = m_freshness.confirmationAge(now);
    m_exchanges[exchange.get()] = info.id;
    execute(m_dispatcher.handle(dispatch::CallArrived{info}, now), now);
    return std::nullopt;
}

void Edge::Impl::refuse(gateway::Exchange &exchange, const base::RequestId &id,
                        const Refusal &refusal, bool isTakenOver, base::TimePoint now)
{
    m_metrics->count("hyssop_refusals_total", {{"reason", std::string(refusal.reason)}});
    base::logEvent("call_refused",
                   {{"request", id},
                    {"reason", refusal.reason},
                    {"status", refusal.status},
                    {"version", m_routeTable ? m_routeTable->version().count() : 0},
                    {"confirmed_ms_ago", m_freshness.confirmationAge(now).count()}});
    base::Millis retryAfter(0);
    if (refusal.status == 503 && m_stopRequestedAt)
        retryAfter = kStoppingRetryAfter;
    else if (refusal.status == 503)
        retryAfter =
                undecidedRetryAfter(m_startSteps.elapsed(now), m_freshness.wasConfirmed(), m_rng());
    gateway::Fields fields = m_protocol->localResponseFields(exchange.head(), retryAfter);
    // Another host may hold a newer configuration, or not be stopping.
    if (isTakenOver)
        fields.push_back({kDeclinedField, "1"});
    exchange.respond(refusal.status, fields, "");
}

void Edge::Impl::onCallerDisconnected(gateway::Exchange &exchange)
{
    const auto it = m_exchanges.find(&exchange);
    if (it == m_exchanges.end())
        return;
    const base::TimePoint now = base::monotonicNow();
    const dispatch::CallId id = it->second;
    execute(m_dispatcher.handle(dispatch::CallerDisconnected{id}, now), now);
    if (EdgeCall *call = findCall(id))
        endCall(*call, "caller_left", "", 0, now);
    scheduleTick(now);
}

void Edge::Impl::onDrained(gateway::Exchange &exchange)
{
    const auto it = m_exchanges.find(&exchange);
    EdgeCall *call = it == m_exchanges.end() ? nullptr : findCall(it->second);
    if (!call || !std::exchange(call->current.isPaused, false)
        || call->current.id == gateway::CallId())
        return;
    m_client.setPaused(call->current.id, false);
    const base::TimePoint now = base::monotonicNow();
    execute(m_dispatcher.handle(dispatch::AnswerPaused{call->id, false}, now), now);
    scheduleTick(now);
}

void Edge::Impl::onRejected(int status, std::string_view reason)
{
    m_metrics->count("hyssop_bad_input_total", {{"status", std::to_string(status)}});
    base::logEvent("bad_input", {{"status", status}, {"reason", reason}});
}

void Edge::Impl::onFleetUpdate(const FleetWatcher::Update &update)
{
    const base::TimePoint now = base::monotonicNow();
    const fleet::WatchReply &reply = update.reply;
    applyEvacuations(reply, now);
    if (auto text = configurationTextFrom(reply))
        applyConfiguration(*std::move(text), reply.configurationVersion, now);
    if (reply.isConfirmed && m_routeTable && m_routeTable->version() >= reply.configurationVersion
        && reply.configurationVersion > fleet::ConfigurationVersion()) {
        if (!m_freshness.wasConfirmed())
            base::logEvent("configuration_confirmed", {{"version", m_routeTable->version().count()},
                                                       {"control", update.control}});
        m_freshness.confirm(update.requestedAt);
    }
    if (reply.isConfirmed) {
        m_leader = base::parseEndpoint(update.control.text());
        // Calls that wait for a new upstream must not be sent there with suspect content.
        applyCrashSuspects(update, now);
    }
    applyFleet(m_fleetView.apply(update.control, reply.directory, now), now);
    if (!reply.rateLimits.empty())
        execute(m_dispatcher.handle(
                        dispatch::RateLimitsReceived{reply.rateLimits,
                                                     update.requestedAt + reply.heldFor},
                        now),
                now);
    if (reply.isConfirmed) {
        if (reply.loadPeers) {
            std::vector<base::Endpoint> addresses;
            for (const fleet::LoadPeer &it : *reply.loadPeers)
                addresses.push_back(it.address);
            m_loadChannel.setPeers(addresses);
            setRelayPeers(reply, now);
            // New peers do not wait for the next change to learn this host's load.
            sendLoadUpdate(true);
        }
        m_entryHostCount = std::max(1, reply.entryHostCount);
    }
    if (reply.isConfirmed || !reply.distantLoad.upstreams.empty())
        execute(m_dispatcher.handle(dispatch::PeerLoadSumReceived{reply.distantLoad,
                                                                  reply.entryHostCount,
                                                                  reply.includesPeers},
                                    now),
                now);
    logStartSteps(reply.isConfirmed, now);
    scheduleTick(now);
}

void Edge::Impl::logStartSteps(bool isFromLeader, base::TimePoint now)
{
    if (m_startSteps.wasReached(StartStep::Ready))
        return;
    m_startSteps.reach(StartStep::FirstContact, now);
    if (isFromLeader)
        m_startSteps.reach(StartStep::LeaderKnown, now);
    if (m_freshness.wasConfirmed())
        m_startSteps.reach(StartStep::ConfigurationConfirmed, now);
    if (!m_fleetView.isEmpty())
        m_startSteps.reach(StartStep::DirectoryUsable, now);
    if (isReady())
        m_startSteps.reach(StartStep::Ready, now);
}

std::optional<std::string> Edge::Impl::configurationTextFrom(const fleet::WatchReply &reply)
{
    const fleet::ConfigurationVersion heldVersion =
            m_routeTable ? m_routeTable->version() : fleet::ConfigurationVersion();
    const fleet::ConfigurationVersion version = reply.configurationVersion;
    if (version <= heldVersion)
        return std::nullopt;
    if (reply.packedConfiguration) {
        auto text = fleet::decompressText(*reply.packedConfiguration);
        if (!text)
            base::logEvent("configuration_unreadable",
                           {{"version", version.count()}, {"reason", "corrupted packed text"}});
        return text;
    }
    // Another control host may have sent a newer version since the delta was asked for.
    if (!reply.configurationDelta || reply.deltaBase != heldVersion)
        return std::nullopt;
    auto text = fleet::applyDelta(m_configurationText, *reply.configurationDelta);
    if (!text)
        base::logEvent("configuration_delta_unfit",
                       {{"version", version.count()}, {"base", heldVersion.count()}});
    m_needsWholeConfiguration = !text;
    return text;
}

void Edge::Impl::applyConfiguration(std::string text, fleet::ConfigurationVersion version,
                                    base::TimePoint now)
{
    auto configuration = m_reader->parse(text);
    if (!configuration) {
        // Control hosts check what they accept, so this program is too old for the format.
        base::logEvent("configuration_unreadable", {{"version", version.count()},
                                                    {"where", configuration.error().subject},
                                                    {"reason", configuration.error().message}});
        return;
    }
    m_routeTable = std::make_shared<const fleet::RouteTable>(*std::move(configuration));
    m_configurationText = std::move(text);
    m_needsWholeConfiguration = false;
    dispatch::ServicesChanged changed;
    for (const fleet::Service &service : m_routeTable->configuration().services)
        changed.services.push_back(
                {service.id, service.engine, m_routeTable->shortestGapObjective(service.id),
                 m_routeTable->longestGapObjective(service.id), coldRequests(service.coldStart)});
    m_server.setLimits(serverLimits(m_routeTable->configuration().limits));
    m_relayServer.setLimits(relayLimits(m_routeTable->configuration().limits));
    base::logEvent("configuration_applied",
                   {{"version", version.count()},
                    {"routes", m_routeTable->configuration().routes.size()},
                    {"teams", m_routeTable->configuration().teams.size()}});
    execute(m_dispatcher.handle(changed, now), now);
}

double Edge::Impl::coldRequests(const fleet::ColdStart &coldStart) const
{
    return coldStart.perSecond <= 0
                   ? 0
                   : coldStart.perSecond * m_options.coldRatio + m_options.coldAllowance;
}

base::Millis Edge::Impl::coldTimeOf(const fleet::Upstream &upstream) const
{
    if (!m_routeTable)
        return upstream.coldRemaining;
    const auto &services = m_routeTable->configuration().services;
    const auto service = std::find_if(services.begin(), services.end(),
                                      [&](const auto &it) { return it.id == upstream.service; });
    const auto unixTime =
            std::chrono::floor<base::Millis>(std::chrono::system_clock::now().time_since_epoch());
    return service == services.end() ? upstream.coldRemaining
                                     : fleet::coldTimeOf(upstream, service->coldStart, unixTime);
}

void Edge::Impl::applyFleet(const fleet::FleetView::Changes &changes, base::TimePoint now)
{
    for (const base::UpstreamId &id : changes.removed) {
        base::logEvent("upstream_gone", {{"upstream", id}});
        m_client.closeIdle(id);
        m_client.closeIdle(reservationPool(id));
        execute(m_dispatcher.handle(dispatch::UpstreamRemoved{id}, now), now);
    }
    for (fleet::Upstream it : changes.upstreams) {
        it.coldRemaining = coldTimeOf(it);
        if (it.coldRemaining > base::Millis(0))
            m_metrics->count("hyssop_cold_upstreams_total");
        base::logEvent("upstream_seen", {{"upstream", it.id},
                                         {"service", it.service},
                                         {"address", it.address.text()},
                                         {"born", it.incarnation.count()},
                                         {"sequence", it.sequence},
                                         {"cold_ms", it.coldRemaining.count()},
                                         {"leaving", it.isLeaving}});
        execute(m_dispatcher.handle(dispatch::UpstreamUpdated{it}, now), now);
    }
}

void Edge::Impl::tickFleet()
{
    const base::TimePoint now = base::monotonicNow();
    applyFleet(m_fleetView.removeExpired(now), now);
    sendLoadUpdate(true);
    renewReservations();
    m_fleetTimer.expires_after(kFleetTickInterval);
    m_fleetTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            tickFleet();
    });
}

void Edge::Impl::scheduleLoadUpdate()
{
    if (m_isLoadUpdateScheduled)
        return;
    m_isLoadUpdateScheduled = true;
    m_loadUpdateTimer.expires_after(kLoadUpdateDelay);
    m_loadUpdateTimer.async_wait([this](boost::system::error_code ec) {
        m_isLoadUpdateScheduled = false;
        if (!ec)
            sendLoadUpdate(false);
    });
}

void Edge::Impl::sendLoadUpdate(bool isSnapshot)
{
    fleet::LoadUpdate update = m_dispatcher.takeLoadUpdate(isSnapshot);
    // Idle hosts are silent, so that they cost their peers nothing. The last snapshot before that
    // is empty, in case the update before it was lost.
    const bool isEmpty = update.upstreams.empty() && update.unreachableServices.empty();
    const bool wasIdle = std::exchange(m_isIdle, isSnapshot && isEmpty);
    if (isEmpty && (!isSnapshot || wasIdle))
        return;
    update.startId = m_startId;
    m_loadChannel.send(std::move(update), base::monotonicNow());
}

void Edge::Impl::onLoadUpdate(const fleet::LoadUpdate &update, const std::string &from)
{
    const base::TimePoint now = base::monotonicNow();
    execute(m_dispatcher.handle(dispatch::PeerLoadReceived{update, {from, m_options.relayPort}},
                                now),
            now);
}

void Edge::Impl::scheduleTick(base::TimePoint now)
{
    if (m_loadChannel.hasPeers())
        scheduleLoadUpdate();
    /// A wake-up costs more than a delay of a few milliseconds.
    constexpr base::Millis kMinTickDelay{4};
    const base::TimePoint next = m_dispatcher.nextTick();
    if (next == base::TimePoint::max() || (next >= m_dispatchTimerAt && m_dispatchTimerAt > now))
        return;
    const base::TimePoint at = std::max(next, now + kMinTickDelay);
    m_dispatchTimerAt = at;
    m_dispatchTimer.expires_after(at - now);
    m_dispatchTimer.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        m_dispatchTimerAt = base::TimePoint::max();
        const base::TimePoint due = base::monotonicNow();
        execute(m_dispatcher.tick(due), due);
        scheduleTick(due);
    });
}

void Edge::Impl::drain(std::function<void()> done)
{
    base::logEvent("stopping", {{"calls", m_calls.size()}});
    m_stopRequestedAt = base::monotonicNow();
    m_onStopped = std::move(done);
    m_server.announceClose();
    m_relayServer.announceClose();
    checkStop();
}

void Edge::Impl::checkStop()
{
    const base::TimePoint now = base::monotonicNow();
    const base::TimePoint timeUpAt = *m_stopRequestedAt + m_options.stopTimeout - kStopMargin;
    const bool isNoticeOver = now >= *m_stopRequestedAt + kStopNoticeTime;
    if (now >= timeUpAt)
        endRemainingCalls(now);
    if (now >= timeUpAt + kStopFlushTime || (isNoticeOver && finishServing()))
        return finishStop();
    m_stopTimer.expires_after(kStopCheckInterval);
    m_stopTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            checkStop();
    });
}

bool Edge::Impl::finishServing()
{
    m_server.stopListening();
    m_server.closeIdle();
    if (!m_calls.empty() || m_server.connectionCount() > 0)
        return false;
    // Other entry hosts may send a call on an idle connection as it closes, so these close last.
    m_relayServer.stopListening();
    m_relayServer.closeIdle();
    return m_relayServer.connectionCount() == 0;
}

void Edge::Impl::endRemainingCalls(base::TimePoint now)
{
    const auto mayHaveRun = [](const EdgeCall &call) {
        return call.attemptCount > 0 || call.current.isRelayed;
    };
    // Those that wait come first, as the end of the others would make room for them.
    std::vector<dispatch::CallId> ids;
    for (const auto &[id, call] : m_calls)
        ids.push_back(id);
    std::stable_partition(ids.begin(), ids.end(),
                          [&](dispatch::CallId id) { return !mayHaveRun(*findCall(id)); });
    for (const dispatch::CallId id : ids) {
        execute(m_dispatcher.handle(dispatch::CallerDisconnected{id}, now), now);
        EdgeCall *call = findCall(id);
        if (!call)
            continue;
        const int status = mayHaveRun(*call) ? 504 : 503;
        const base::Millis retryAfter = mayHaveRun(*call) ? base::Millis(0) : kStoppingRetryAfter;
        if (call->exchange->isStarted())
            call->exchange->abort();
        else
            call->exchange->respond(
                    status, m_protocol->localResponseFields(call->exchange->head(), retryAfter),
                    "");
        endCall(*call, mayHaveRun(*call) ? "failed" : "not_run", "stopping", status, now);
    }
}

void Edge::Impl::finishStop()
{
    const gateway::Server::Stats &stats = m_server.stats();
    base::logEvent("stopped", {{"connections", m_server.connectionCount()},
                               {"requests", stats.requests},
                               {"answered", stats.answered},
                               {"broken_off", stats.brokenOff},
                               {"abandoned", stats.abandoned},
                               {"caller_left", stats.disconnected},
                               {"open", stats.open()}});
    m_watcher->stop();
    m_onStopped();
}

void Edge::Impl::updateGauges()
{
    const base::TimePoint now = base::monotonicNow();
    const auto stats = m_dispatcher.stats(now);
    m_metrics->set("hyssop_queued_requests", static_cast<double>(stats.queued));
    m_metrics->set("hyssop_active_requests", static_cast<double>(stats.active));
    m_metrics->set("hyssop_upstreams", static_cast<double>(stats.upstreams));
    m_metrics->set("hyssop_ejected_upstreams", static_cast<double>(stats.ejected));
    m_metrics->set("hyssop_lost_services", static_cast<double>(stats.lostServices));
    m_metrics->set("hyssop_crash_suspects", static_cast<double>(stats.crashSuspects));
    updateGateGauges(stats);
    m_metrics->set("hyssop_rate_limited_upstreams", static_cast<double>(stats.rateLimited));
    m_metrics->set("hyssop_caller_connections", static_cast<double>(m_server.connectionCount()));
    m_metrics->set("hyssop_configuration_version",
                   m_routeTable ? static_cast<double>(m_routeTable->version().count()) : 0);
    m_metrics->set("hyssop_configuration_age_seconds",
                   static_cast<double>(m_freshness.confirmationAge(now).count()) / 1e3);
    const gateway::Server::Stats &requests = m_server.stats();
    m_metrics->set("hyssop_caller_requests", static_cast<double>(requests.requests));
    m_metrics->set("hyssop_caller_requests_answered", static_cast<double>(requests.answered));
    m_metrics->set("hyssop_caller_requests_broken_off", static_cast<double>(requests.brokenOff));
    m_metrics->set("hyssop_caller_requests_abandoned", static_cast<double>(requests.abandoned));
    m_metrics->set("hyssop_relayed_requests_abandoned",
                   static_cast<double>(m_relayServer.stats().abandoned));
    m_metrics->set("hyssop_caller_requests_left", static_cast<double>(requests.disconnected));
    m_metrics->set("hyssop_caller_requests_open", static_cast<double>(requests.open()));
    if (const auto &callers = m_options.callerResources) {
        m_metrics->set("hyssop_caller_held_bytes", static_cast<double>(callers->account().bytes()));
        for (const auto reason : {gateway::ShedReason::Stalled, gateway::ShedReason::Unread,
                                  gateway::ShedReason::Pipelining, gateway::ShedReason::Unfinished,
                                  gateway::ShedReason::Busy, gateway::ShedReason::Slow})
            m_metrics->set("hyssop_callers_shed", static_cast<double>(callers->shedCount(reason)),
                           {{"reason", std::string(gateway::shedReasonName(reason))}});
    }
    const auto &client = m_client.stats();
    m_metrics->set("hyssop_upstream_connects", static_cast<double>(client.connects));
    m_metrics->set("hyssop_upstream_reuses", static_cast<double>(client.reuses));
    m_metrics->set("hyssop_stray_answers", static_cast<double>(client.strayResponses));
    m_metrics->set("hyssop_unidentified_answers",
                   static_cast<double>(client.unidentifiedResponses));
}

Edge::Edge(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{ }

Edge::~Edge() = default;

tl::expected<std::unique_ptr<Edge>, EdgeError> Edge::start(EdgeOptions options,
                                                           boost::asio::io_context *io,
                                                           const Protocol *protocol,
                                                           const fleet::ConfigurationReader *reader,
                                                           process::Metrics *metrics)
{
    auto impl = std::make_unique<Impl>(std::move(options), io, protocol, reader, metrics);
    if (const auto opened = impl->open(); !opened)
        return tl::unexpected(opened.error());
    return std::unique_ptr<Edge>(new Edge(std::move(impl)));
}

bool Edge::isReady() const
{
    return m_impl->isReady();
}

void Edge::setControlHosts(const std::vector<base::Endpoint> &controlHosts)
{
    m_impl->setControlHosts(controlHosts);
}

void Edge::drain(std::function<void()> done)
{
    m_impl->drain(std::move(done));
}

void Edge::updateGauges()
{
    m_impl->updateGauges();
}

} // namespace hyssop::edge
