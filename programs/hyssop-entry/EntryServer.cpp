#include "EntryServer.h"

#include "KeyScope.h"

namespace hyssop::entry {

namespace {

constexpr base::Millis kStopPollInterval{20};
/// How long upstreams have to confirm the last deletions before another host takes them over.
constexpr base::Millis kMaxConfirmationWait{1'000};
/// Wait before the loop stops, so that deletions handed over and last responses are sent.
constexpr base::Millis kHandOverFlushTime{1'000};
constexpr base::Millis kScopeRetryAfter{1'000};

routing::RouterOptions routerOptions(const EntryOptions &options)
{
    routing::RouterOptions routing;
    routing.host = options.host;
    routing.incarnation = options.incarnation;
    routing.dataCentre = options.dataCentre;
    routing.policy = options.policy;
    routing.maxQueued = options.maxQueued;
    routing.maxOpenBodyBytes = options.maxTotalBody;
    routing.maxOutstandingPromptTokens = base::Tokens(options.maxOutstandingTokens);
    routing.stallTimeout = options.stallLimit;
    routing.seed = std::hash<base::HostId>()(options.host);
    return routing;
}

/// Exchange ids are unique within a process, so they serve as request ids.
base::RequestId requestIdOf(http::ExchangeId id)
{
    return base::RequestId("call-" + std::to_string(id.count()));
}

} // namespace

EntryServer::EntryServer(EntryOptions options)
    : m_options(std::move(options))
    , m_callResolver(m_options.checksCallerKeys)
{ }

EntryServer::~EntryServer()
{
    // The peer node's thread posts to the loop, so it must end first.
    m_peerNode.reset();
}

tl::expected<std::unique_ptr<EntryServer>, StartError> EntryServer::start(EntryOptions options)
{
    std::unique_ptr<EntryServer> server(new EntryServer(std::move(options)));
    auto loop = http::Loop::create();
    if (!loop)
        return tl::unexpected(StartError{loop.error().message});
    server->m_loop = *std::move(loop);
    server->createComponents();
    if (const auto listening = server->listen(); !listening)
        return tl::unexpected(listening.error());
    return server;
}

void EntryServer::createComponents()
{
    m_callerServer = std::make_unique<caller::Server>(m_loop.get(), this, m_options.host,
                                                      m_options.incarnation);
    m_announcementServer = std::make_unique<upstream::AnnouncementServer>(
            m_loop.get(), [this](const auto &it) { onAnnouncement(it); });
    m_platformServer = std::make_unique<process::Server>(m_loop.get(), &m_metrics,
                                                         [this] { refreshGauges(); });
    m_routerDriver = std::make_unique<RouterDriver>(
            m_loop.get(), &m_metrics, upstream::OwnerId{m_options.host, m_options.incarnation},
            routerOptions(m_options),
            [this](const base::UpstreamId &id) -> std::optional<base::Endpoint> {
                const membership::Announcement *upstream = m_gossiper->directory().find(id);
                return upstream ? std::optional(upstream->address) : std::nullopt;
            });
    m_routerDriver->setMaxUnsentBytes(m_options.maxUnsentBytes);
    m_engineFeeds = std::make_unique<upstream::EngineFeeds>(
            m_loop.get(), [this](const auto &load) { m_routerDriver->feed(load); },
            [this](const auto &change) { m_routerDriver->feed(change); },
            [this](const base::UpstreamId &id, bool isQuiet) { onEngineQuiet(id, isQuiet); });
    m_controlClient =
            std::make_unique<ControlClient>(m_loop.get(), &m_metrics, m_options.controlHosts);
    m_claimRunner = std::make_unique<ClaimRunner>(
            m_loop.get(), m_controlClient.get(), &m_metrics,
            ledger::Owner{m_options.host, m_options.incarnation},
            [this](OpenRequest request) { m_routerDriver->submit(std::move(request)); });
    m_jobRunner = std::make_unique<JobRunner>(
            m_loop.get(), m_controlClient.get(), &m_metrics, m_routerDriver.get(), &m_callResolver,
            JobRunner::Options{
                    {m_options.host, m_options.incarnation},
                    m_options.dataCentre,
                    std::hash<base::HostId>()(m_options.host)
                            ^ static_cast<std::uint64_t>(m_options.incarnation.count())});
    m_recordsWatcher = std::make_unique<RecordsWatcher>(
            m_loop.get(), m_options.host, m_options.dataCentre, m_options.controlHosts,
            [this](auto catalogue) { applyCatalogue(std::move(catalogue)); });
    m_platformServer->setNote([this] { return m_recordsWatcher->staleNote(base::monotonicNow()); });
}

void EntryServer::applyCatalogue(std::shared_ptr<const records::Catalogue> catalogue)
{
    m_callResolver.setCatalogue(catalogue);
    m_orderRunner->setCatalogue(catalogue);
    m_routerDriver->feed(routing::CatalogueChanged{std::move(catalogue)});
    m_hasCatalogue = true;
    updateReadiness();
}

void EntryServer::updateReadiness()
{
    m_platformServer->setReady(m_hasCatalogue && m_startRegister->isSettled() && !m_isStopping);
}

tl::expected<void, StartError> EntryServer::listen()
{
    const auto callers = m_callerServer->listen(m_options.listenCallers, m_options.maxBodyBytes,
                                                m_options.bodyTimeout);
    if (!callers)
        return tl::unexpected(StartError{callers.error().message});
    const auto upstreams = m_announcementServer->listen(m_options.listenUpstreams);
    if (!upstreams)
        return tl::unexpected(StartError{upstreams.error().message});
    const auto platform = m_platformServer->listen(m_options.listenPlatform);
    if (!platform)
        return tl::unexpected(StartError{platform.error().message});
    auto node = peers::Node::start(m_options.listenPeers, this);
    if (!node)
        return tl::unexpected(StartError{"cannot listen on " + m_options.listenPeers.text() + ": "
                                         + node.error().message});
    m_peerNode = *std::move(node);
    m_gossiper = makeGossiper();
    m_reclaimer = std::make_unique<Reclaimer>(m_loop.get(), &m_metrics, m_gossiper.get(),
                                              m_controlClient.get(), m_options.dataCentre);
    m_orderRunner = makeOrderRunner();
    StartRegister::Hooks hooks;
    hooks.onSettled = [this] { updateReadiness(); };
    hooks.onHostStarted = [this](const ledger::Owner &it) {
        m_gossiper->addStartedHost(it.host, it.incarnation);
    };
    m_startRegister =
            std::make_unique<StartRegister>(m_loop.get(), &m_metrics, m_controlClient.get(),
                                            ledger::Owner{m_options.host, m_options.incarnation},
                                            m_options.dataCentre, std::move(hooks));
    m_controlClient->setNode(m_peerNode.get());
    base::logEvent("listening", {{"callers", callers->text()},
                                 {"upstreams", upstreams->text()},
                                 {"platform", platform->text()},
                                 {"peers", m_peerNode->address().text()}});
    return {};
}

void EntryServer::run()
{
    base::logEvent("started", {{"host", m_options.host},
                               {"data_centre", m_options.dataCentre},
                               {"incarnation", m_options.incarnation.count()}});
    m_recordsWatcher->start(m_peerNode.get());
    m_gossiper->start(m_peerNode.get());
    m_startRegister->start();
    m_jobRunner->start();
    m_reclaimer->start();
    m_orderRunner->start();
    m_loop->run();
    base::logEvent("stopped", {{"host", m_options.host}});
}

// Calls.

void EntryServer::onCall(http::ExchangeId id, caller::Call call)
{
    if (const auto *completion = std::get_if<caller::CompletionCall>(&call)) {
        onCompletion(id, *completion);
    } else if (auto *service = std::get_if<caller::ServiceCall>(&call)) {
        onService(id, std::move(*service));
    } else if (const auto *scope = std::get_if<caller::ScopeCall>(&call)) {
        onScope(id, *scope);
    } else {
        onJobCall(id, call);
    }
}

void EntryServer::onJobCall(http::ExchangeId id, const caller::Call &call)
{
    const auto team = m_callResolver.resolveTeam(std::visit(
            [](const auto &it) -> const auto & { return it.head; }, call));
    if (!team) {
        refuse(id, team.error());
        return;
    }
    const auto sink = std::make_shared<CallerResponseSink>(m_callerServer.get(), id);
    if (const auto *submitted = std::get_if<caller::SubmitJobCall>(&call))
        m_jobRunner->submit(sink, *team, *submitted);
    else if (const auto *query = std::get_if<caller::GetJobCall>(&call))
        m_jobRunner->get(sink, *team, query->job);
    else
        m_jobRunner->list(sink, *team);
}

void EntryServer::onScope(http::ExchangeId id, const caller::ScopeCall &call)
{
    if (const auto team = m_callResolver.resolveTeam(call.head); !team) {
        refuse(id, team.error());
        return;
    }
    const auto onAnswer = [this, id](const std::optional<std::string> &answer) {
        const auto response = answer ? scopeResponse(m_options.dataCentre, *answer) : std::nullopt;
        if (response)
            m_callerServer->answer(id, 200, "application/json", *response);
        else
            refuse(id, {503, "scope_unreachable", "no reachable control host serves the home group",
                        caller::Outcome::NotRun, kScopeRetryAfter});
    };
    m_controlClient->query("scope", scopeQueryJson(m_options.dataCentre), onAnswer);
}

void EntryServer::refuse(http::ExchangeId id, const caller::ErrorBody &error)
{
    m_metrics.count("hyssop_refusals_total", {{"reason", error.code}});
    m_callerServer->fail(id, error);
}

void EntryServer::onCompletion(http::ExchangeId id, const caller::CompletionCall &call)
{
    const auto resolved = m_callResolver.resolve(call, base::monotonicNow());
    if (!resolved) {
        refuse(id, resolved.error());
        return;
    }
    OpenRequest request;
    request.info = resolved->info;
    request.body = engineRequestBody(call, *resolved->route);
    submit(id, std::move(request));
}

void EntryServer::onService(http::ExchangeId id, caller::ServiceCall call)
{
    const auto resolved = m_callResolver.resolve(call, base::monotonicNow());
    if (!resolved) {
        refuse(id, resolved.error());
        return;
    }
    OpenRequest request;
    request.info = resolved->info;
    request.service = std::move(call);
    submit(id, std::move(request));
}

void EntryServer::submit(http::ExchangeId id, OpenRequest request)
{
    request.info.id = requestIdOf(id);
    request.responseSink = std::make_unique<CallerResponseSink>(m_callerServer.get(), id);
    if (ClaimRunner::needsClaim(request))
        m_claimRunner->start(std::move(request));
    else
        m_routerDriver->submit(std::move(request));
}

void EntryServer::onCallerGone(http::ExchangeId id)
{
    if (!m_claimRunner->onCallerGone(requestIdOf(id)))
        m_routerDriver->cancel(requestIdOf(id));
}

void EntryServer::onBadInput(std::string_view code)
{
    m_metrics.count("hyssop_bad_input_total", {{"code", std::string(code)}});
    base::logEvent("bad_input", {{"code", code}});
}

// Upstreams.

void EntryServer::onAnnouncement(const membership::Announcement &announcement)
{
    m_gossiper->announce(announcement);
}

void EntryServer::onUpstream(const membership::DirectoryChange &change)
{
    const base::UpstreamId &id = change.upstream.id;
    if (change.kind == membership::DirectoryChange::Kind::Removed) {
        m_engineFeeds->unsubscribe(id);
        m_routerDriver->feed(routing::UpstreamRemoved{id});
        return;
    }
    if (change.upstream.kind == routing::UpstreamKind::Engine)
        m_engineFeeds->subscribe(id, m_gossiper->directory().find(id)->address);
    if (!m_engineFeeds->isQuiet(id))
        m_routerDriver->feed(routing::UpstreamUpdated{change.upstream});
}

void EntryServer::onEngineQuiet(const base::UpstreamId &id, bool isQuiet)
{
    base::logEvent("engine_quiet", {{"upstream", id}, {"quiet", isQuiet ? "yes" : "no"}});
    if (isQuiet) {
        m_metrics.count("hyssop_quiet_engines_total", {{"upstream", id.text()}});
        m_routerDriver->feed(routing::UpstreamRemoved{id});
    } else if (const membership::Announcement *engine = m_gossiper->directory().find(id)) {
        m_routerDriver->feed(routing::UpstreamUpdated{engine->upstream});
    }
}

// Other hosts.

void EntryServer::onWatch(peers::WatchRequest, peers::Answer<peers::WatchReply> answer)
{
    answer({});
}

void EntryServer::onExecute(peers::ExecuteRequest, peers::Answer<peers::ExecuteReply> answer)
{
    answer({peers::ExecuteStatus::Unavailable, "", ""});
}

void EntryServer::onGossip(peers::GossipMessage message)
{
    m_loop->post([this, message = std::move(message)] { m_gossiper->receive(message); });
}

void EntryServer::onQuery(peers::QueryRequest, peers::Answer<std::string> answer)
{
    answer("");
}

std::unique_ptr<Gossiper> EntryServer::makeGossiper()
{
    Gossiper::Hooks hooks;
    hooks.onUpstreamChange = [this](const auto &it) { onUpstream(it); };
    hooks.onHostChange = [this](const auto &it) { m_reclaimer->onHostChange(it); };
    hooks.onOutstanding = [this](const auto &it) { m_routerDriver->feed(it); };
    hooks.readOutstanding = [this] { return m_routerDriver->outstanding(); };
    hooks.onDeletionsHandedOver = [this](const auto &it) { m_reclaimer->takeOverDeletions(it); };
    const membership::HostHeartbeat self{m_options.host, m_options.incarnation, 0,
                                         m_peerNode->address()};
    return std::make_unique<Gossiper>(m_loop.get(), &m_metrics, self, m_options.peers,
                                      m_options.usesConfiguredPeersOnly, std::move(hooks));
}

std::unique_ptr<OrderRunner> EntryServer::makeOrderRunner()
{
    const ledger::Owner self{m_options.host, m_options.incarnation};
    const std::uint64_t seed = std::hash<base::HostId>()(self.host)
                               ^ static_cast<std::uint64_t>(self.incarnation.count());
    auto orderRunner = std::make_unique<OrderRunner>(
            m_loop.get(), &m_metrics, m_gossiper.get(), m_controlClient.get(),
            OrderRunner::Options{self, m_options.dataCentre, m_options.loadLimits, seed});
    m_platformServer->addPage("/deployments",
                              [runner = orderRunner.get()] { return runner->statusJson(); });
    return orderRunner;
}

// Lifecycle.

void EntryServer::refreshGauges()
{
    m_routerDriver->refreshGauges();
    m_jobRunner->refreshGauges();
    m_orderRunner->refreshGauges();
    m_metrics.set("hyssop_records_index", static_cast<double>(m_recordsWatcher->position().index));
    m_metrics.set("hyssop_records_confirmed", m_recordsWatcher->isConfirmed() ? 1 : 0);
    const base::TimePoint now = base::monotonicNow();
    m_metrics.set("hyssop_records_age_seconds",
                  std::chrono::duration<double>(m_recordsWatcher->age(now)).count());
    m_metrics.set("hyssop_records_stale", m_recordsWatcher->staleNote(now).empty() ? 0 : 1);
}

void EntryServer::stop()
{
    m_loop->post([this] { beginStop(); });
}

void EntryServer::beginStop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    updateReadiness();
    m_jobRunner->stop();
    m_orderRunner->stop();
    base::logEvent("stopping", {{"open_requests", m_routerDriver->openRequestCount()}});
    // Requests are accepted until the load balancer has seen that the host is not ready.
    m_loop->after(m_options.stopNotice, [this] { refuseNewRequests(); });
}

void EntryServer::refuseNewRequests()
{
    m_callerServer->closeConnections();
    m_routerDriver->feed(routing::StopRequested{});
    stopWhenIdle(base::monotonicNow() + m_options.stopLimit);
}

void EntryServer::stopWhenIdle(base::TimePoint deadline)
{
    const base::TimePoint now = base::monotonicNow();
    const bool hasWork = m_routerDriver->openRequestCount() > 0 || !m_jobRunner->isIdle()
                         || m_claimRunner->openClaimCount() > 0;
    if (hasWork || !m_idleSince)
        m_idleSince = now;
    const bool isTimedOut = now >= deadline;
    const auto deletions = m_routerDriver->pendingDeletions();
    const bool isConfirmed = !hasWork && deletions.empty();
    const bool awaitsConfirmation = hasWork || now - *m_idleSince < kMaxConfirmationWait;
    const bool mayEnd = isConfirmed || isTimedOut || !awaitsConfirmation;
    if (!mayEnd
        || (!deletions.empty() && !m_gossiper->handOverDeletions(deletions) && !isTimedOut)) {
        m_loop->after(kStopPollInterval, [this, deadline] { stopWhenIdle(deadline); });
        return;
    }
    if (!deletions.empty())
        base::logEvent("handed_on", {{"orders", deletions.size()}});
    // Leaves time to send the last responses and the deletions handed over.
    m_loop->after(deletions.empty() ? kStopPollInterval : kHandOverFlushTime,
                  [this] { m_loop->stop(); });
}

} // namespace hyssop::entry
