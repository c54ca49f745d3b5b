#include "EntryTask.h"

#include "Errors.h"

#include <nlohmann/json.hpp>

namespace hyssop::entry {

namespace {

constexpr base::Millis kStopPoll{20};

double secondsBetween(base::TimePoint from, base::TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Label of a prompt's length in the metrics.
std::string lengthClass(base::Tokens prompt)
{
    if (prompt.count() <= 4'000)
        return "4k";
    if (prompt.count() <= 32'000)
        return "32k";
    return prompt.count() <= 100'000 ? "100k" : "1m";
}

std::string engineBody(const caller::CompletionCall &call, const records::RouteSpec &route)
{
    nlohmann::json body{{"model", route.model.text()},
                        {"prompt", call.prompt},
                        {"max_tokens", call.maxTokens},
                        {"stream", true}};
    if (!route.adapter.empty())
        body["adapter"] = route.adapter;
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

EntryTask::EntryTask(EntryOptions options)
    : m_options(std::move(options))
{
    routing::RouterOptions routing;
    routing.host = m_options.host;
    routing.incarnation = m_options.incarnation;
    routing.dataCentre = m_options.dataCentre;
    routing.policy = m_options.policy;
    routing.maxQueued = m_options.maxQueued;
    routing.maxOutstanding = base::Tokens(m_options.maxOutstandingTokens);
    m_router = std::make_unique<routing::Router>(std::move(routing));
}

EntryTask::~EntryTask()
{
    // The peers' thread posts to the loop, so it ends first.
    m_peers.reset();
}

tl::expected<std::unique_ptr<EntryTask>, std::string> EntryTask::start(EntryOptions options)
{
    std::unique_ptr<EntryTask> task(new EntryTask(std::move(options)));
    auto loop = http::Loop::create();
    if (!loop)
        return tl::unexpected(loop.error().message);
    task->m_loop = *std::move(loop);
    if (const auto listening = task->listen(); !listening)
        return tl::unexpected(listening.error());
    return task;
}

tl::expected<void, std::string> EntryTask::listen()
{
    const upstream::OwnerName owner{m_options.host, m_options.incarnation};
    m_engines = std::make_unique<upstream::Engines>(m_loop.get(), owner, this);
    m_services = std::make_unique<upstream::Services>(m_loop.get(), owner, this);
    m_callers = std::make_unique<caller::Server>(m_loop.get(), this, m_options.host,
                                                 m_options.incarnation);
    m_announcements = std::make_unique<upstream::AnnouncementServer>(
            m_loop.get(), [this](const auto &it) { onAnnouncement(it); });
    m_platform = std::make_unique<platform::Server>(m_loop.get(), &m_metrics,
                                                    [this] { refreshGauges(); });
    m_control = std::make_unique<ControlClient>(m_loop.get(), &m_metrics, m_options.controls);
    m_watcher = std::make_unique<RecordsWatcher>(
            m_loop.get(), m_options.host, m_options.dataCentre, m_options.controls,
            [this](std::shared_ptr<const records::Catalogue> catalogue) {
                m_catalogue = std::move(catalogue);
                feed(routing::CatalogueChanged{m_catalogue});
                m_platform->setReady(!m_isStopping);
            });
    const auto callers = m_callers->listen(m_options.listenCallers, m_options.maxBodyBytes,
                                           m_options.bodyTimeout);
    if (!callers)
        return tl::unexpected(callers.error().message);
    const auto upstreams = m_announcements->listen(m_options.listenUpstreams);
    if (!upstreams)
        return tl::unexpected(upstreams.error().message);
    const auto platform = m_platform->listen(m_options.listenPlatform);
    if (!platform)
        return tl::unexpected(platform.error().message);
    auto node = peers::Node::start(m_options.listenPeers, this);
    if (!node)
        return tl::unexpected("cannot listen on " + m_options.listenPeers.text() + ": "
                              + node.error().message);
    m_peers = *std::move(node);
    m_gossiper = makeGossiper();
    m_reclaimer = std::make_unique<Reclaimer>(m_loop.get(), &m_metrics, m_gossiper.get(),
                                              m_control.get(), m_options.dataCentre);
    m_control->setNode(m_peers.get());
    base::logEvent("listening", {{"callers", callers->text()},
                                 {"upstreams", upstreams->text()},
                                 {"platform", platform->text()},
                                 {"peers", m_peers->address().text()}});
    return {};
}

void EntryTask::run()
{
    base::logEvent("started", {{"host", m_options.host},
                               {"data_centre", m_options.dataCentre},
                               {"incarnation", m_options.incarnation.count()}});
    m_watcher->start(m_peers.get());
    m_gossiper->start(m_peers.get());
    m_reclaimer->start();
    m_loop->run();
    base::logEvent("stopped", {{"host", m_options.host}});
}

// Calls.

void EntryTask::onCall(http::ExchangeId id, caller::Call call)
{
    if (auto *completion = std::get_if<caller::CompletionCall>(&call)) {
        onCompletion(id, std::move(*completion));
    } else if (auto *service = std::get_if<caller::ServiceCall>(&call)) {
        onService(id, std::move(*service));
    } else {
        m_callers->fail(id, {503, "jobs_unavailable", "this host takes no jobs"});
    }
}

std::optional<base::TeamId> EntryTask::teamOf(const caller::CallHead &head) const
{
    if (!m_options.checksCallerKeys)
        return base::TeamId(head.team);
    const base::TeamId *team = m_catalogue && !head.bearerKey.empty()
                                       ? m_catalogue->teamOfKey(base::sha256Hex(head.bearerKey))
                                       : nullptr;
    return team ? std::optional(*team) : std::nullopt;
}

void EntryTask::refuse(http::ExchangeId id, routing::Reason reason)
{
    m_metrics.count("hyssop_refusals_total", {{"reason", std::string(reasonName(reason))}});
    routing::EndRequest end;
    end.reason = reason;
    m_callers->fail(id, errorFor(end));
}

std::optional<routing::RequestInfo> EntryTask::admit(http::ExchangeId id,
                                                     const caller::CallHead &head,
                                                     const std::string &routeName,
                                                     routing::UpstreamKind kind)
{
    const auto team = teamOf(head);
    if (!team || !m_catalogue || !m_catalogue->team(*team)) {
        refuse(id, routing::Reason::UnknownTeam);
        return std::nullopt;
    }
    const records::RouteSpec *route = m_catalogue->route(routeName);
    const bool isService = kind == routing::UpstreamKind::Service;
    if (!route || isService == route->service.isEmpty()) {
        refuse(id, routing::Reason::UnknownRoute);
        return std::nullopt;
    }
    const auto &teams = route->teams;
    if (!teams.empty() && std::find(teams.begin(), teams.end(), *team) == teams.end()) {
        refuse(id, routing::Reason::TeamNotAllowed);
        return std::nullopt;
    }
    routing::RequestInfo info;
    info.id = base::RequestId(std::to_string(id.count()));
    info.team = *team;
    info.kind = kind;
    info.target = isService ? route->service.text() : route->model.text();
    info.role = route->role;
    info.urgency = head.urgency.value_or(route->urgency);
    const base::Millis bound = route->deadlineFor(info.urgency);
    info.deadline = base::monotonicNow() + std::min(bound, head.deadline.value_or(bound));
    info.mayRepeat = route->mayRepeat;
    return info;
}

void EntryTask::onCompletion(http::ExchangeId id, caller::CompletionCall call)
{
    auto info = admit(id, call.head, call.model, routing::UpstreamKind::Engine);
    if (!info)
        return;
    info->prompt = upstream::countTokens(call.prompt);
    info->maxOutput = base::Tokens(call.maxTokens);
    info->prefix = upstream::prefixBlocks(call.prompt);
    OpenRequest request;
    request.exchange = id;
    request.body = engineBody(call, *m_catalogue->route(call.model));
    info->body = base::Bytes(static_cast<std::int64_t>(request.body.size()));
    request.info = *std::move(info);
    submit(std::move(request));
}

void EntryTask::onService(http::ExchangeId id, caller::ServiceCall call)
{
    auto info = admit(id, call.head, call.service, routing::UpstreamKind::Service);
    if (!info)
        return;
    info->body = base::Bytes(static_cast<std::int64_t>(call.body.size()));
    OpenRequest request;
    request.exchange = id;
    request.info = *std::move(info);
    request.service = std::move(call);
    submit(std::move(request));
}

void EntryTask::submit(OpenRequest request)
{
    request.arrived = base::monotonicNow();
    const routing::RequestInfo info = request.info;
    m_exchanges.emplace(request.exchange, info.id);
    m_requests.emplace(info.id, std::move(request));
    feed(routing::RequestArrived{info});
}

void EntryTask::onCallerGone(http::ExchangeId id)
{
    const auto it = m_exchanges.find(id);
    if (it != m_exchanges.end())
        feed(routing::CallerGone{it->second});
}

void EntryTask::onBadInput(std::string_view code)
{
    m_metrics.count("hyssop_bad_input_total", {{"code", std::string(code)}});
    base::logEvent("bad_input", {{"code", code}});
}

// Router.

void EntryTask::feed(const routing::Event &event)
{
    perform(m_router->handle(event, base::monotonicNow()));
    scheduleTick();
}

void EntryTask::perform(const routing::Actions &actions)
{
    for (const routing::Action &action : actions)
        std::visit([this](const auto &it) { perform(it); }, action);
}

void EntryTask::scheduleTick()
{
    const base::TimePoint next = m_router->nextTick();
    if (next == m_tickAt)
        return;
    if (m_tickTimer)
        m_loop->cancelTimer(*m_tickTimer);
    m_tickTimer.reset();
    m_tickAt = next;
    if (next == base::TimePoint::max())
        return;
    const auto delay = std::chrono::ceil<base::Millis>(next - base::monotonicNow());
    m_tickTimer = m_loop->after(std::max(delay, base::Millis(0)), [this] {
        m_tickTimer.reset();
        m_tickAt = base::TimePoint::max();
        perform(m_router->tick(base::monotonicNow()));
        scheduleTick();
    });
}

void EntryTask::perform(const routing::StartAttempt &action)
{
    const membership::Announcement *upstream = m_gossiper->directory().find(action.upstream);
    const OpenRequest &request = m_requests.at(action.request);
    OpenAttempt &open = m_attempts[action.attempt];
    open.request = action.request;
    open.isService = request.service.has_value();
    open.isResume = action.resumesStream;
    if (upstream)
        open.address = upstream->address;
    const base::Endpoint address = open.address;
    m_metrics.count("hyssop_attempts_total", {{"upstream", action.upstream.text()}});
    if (request.service) {
        upstream::ServiceCall call;
        call.id = action.attempt;
        call.to = address;
        call.method = request.service->method;
        call.path = request.service->path;
        call.contentType = request.service->contentType;
        call.body = request.service->body;
        call.idempotencyKey = request.service->head.idempotencyKey;
        call.remaining = action.remaining;
        m_services->start(std::move(call));
        return;
    }
    upstream::EngineAttempt attempt;
    attempt.id = action.attempt;
    attempt.to = address;
    attempt.body = request.body;
    attempt.remaining = action.remaining;
    attempt.urgency = action.urgency;
    attempt.priority = action.priority;
    attempt.resumeOffset = action.resumeOffset;
    attempt.resumesStream = action.resumesStream;
    m_engines->start(std::move(attempt));
}

void EntryTask::perform(const routing::CancelAttempt &action)
{
    const auto it = m_attempts.find(action.attempt);
    if (it == m_attempts.end())
        return;
    const OpenAttempt attempt = it->second;
    m_attempts.erase(it);
    if (attempt.isService)
        m_services->cancel(action.attempt);
    else
        m_engines->cancel(action.attempt, attempt.address);
}

void EntryTask::perform(const routing::ForwardTokens &action)
{
    OpenRequest &request = m_requests.at(action.request);
    const base::TimePoint now = base::monotonicNow();
    if (!request.hasFirstToken)
        m_metrics.observeSeconds("hyssop_first_token_seconds", secondsBetween(request.arrived, now),
                                 {{"length", lengthClass(request.info.prompt)}});
    request.hasFirstToken = true;
    request.lastToken = now;
    m_pendingTokens.erase(m_pendingTokens.begin(), m_pendingTokens.begin() + action.skip);
    m_callers->addTokens(request.exchange, m_pendingTokens);
}

void EntryTask::perform(const routing::CompleteRequest &action)
{
    const auto it = m_requests.find(action.request);
    m_metrics.count("hyssop_requests_total", {{"outcome", "answered"}});
    if (!it->second.service)
        m_callers->complete(it->second.exchange);
    m_exchanges.erase(it->second.exchange);
    m_requests.erase(it);
}

void EntryTask::perform(const routing::EndRequest &action)
{
    const auto it = m_requests.find(action.request);
    const std::string reason(reasonName(action.reason));
    const std::string outcome(outcomeName(action.outcome));
    m_metrics.count("hyssop_refusals_total", {{"reason", reason}});
    m_metrics.count("hyssop_requests_total", {{"outcome", outcome}});
    base::logEvent("request_ended", {{"team", it->second.info.team},
                                     {"target", it->second.info.target},
                                     {"reason", reason},
                                     {"outcome", outcome}});
    m_callers->fail(it->second.exchange, errorFor(action));
    m_exchanges.erase(it->second.exchange);
    m_requests.erase(it);
}

void EntryTask::perform(const routing::RetryNoted &action)
{
    const std::string fault(attemptFaultName(action.fault));
    m_metrics.count("hyssop_retries_total", {{"reason", fault}});
    base::logEvent("retry", {{"request", action.request}, {"reason", fault}});
}

void EntryTask::perform(const routing::StallNoted &action)
{
    m_metrics.count("hyssop_stalls_total", {{"upstream", action.upstream.text()}});
    base::logEvent("stalled", {{"request", action.request}, {"upstream", action.upstream}});
}

void EntryTask::perform(const routing::EjectionNoted &action)
{
    m_metrics.count("hyssop_ejections_total", {{"upstream", action.upstream.text()}});
    base::logEvent("ejected",
                   {{"upstream", action.upstream}, {"duration_ms", action.duration.count()}});
}

// Upstreams.

void EntryTask::onAccepted(const base::AttemptId &id)
{
    feed(routing::AttemptAccepted{id});
}

void EntryTask::onTokens(const base::AttemptId &id, std::int64_t offset,
                         const std::vector<std::string> &tokens)
{
    m_pendingTokens = tokens;
    feed(routing::AttemptTokens{id, offset, static_cast<std::int64_t>(tokens.size())});
    m_pendingTokens.clear();
}

void EntryTask::onFinished(const base::AttemptId &id)
{
    m_attempts.erase(id);
    feed(routing::AttemptFinished{id});
}

void EntryTask::onFailed(const base::AttemptId &id, routing::AttemptFault fault,
                         base::Millis retryAfter)
{
    const auto it = m_attempts.find(id);
    // Others may still run at their engine: the router resumes or cancels them.
    if (it != m_attempts.end() && routing::provesNotRun(fault) && !it->second.isResume)
        m_attempts.erase(it);
    m_metrics.count("hyssop_attempt_faults_total",
                    {{"reason", std::string(attemptFaultName(fault))}});
    feed(routing::AttemptFailed{id, fault, retryAfter});
}

void EntryTask::onStrayEvent(const base::AttemptId &)
{
    m_metrics.count("hyssop_stray_events_total");
}

void EntryTask::onAnswer(const base::AttemptId &id, upstream::ServiceAnswer answer)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const auto request = m_requests.find(it->second.request);
    m_attempts.erase(it);
    if (request != m_requests.end())
        m_callers->answer(request->second.exchange, answer.status, answer.contentType, answer.body);
    feed(routing::AttemptFinished{id});
}

void EntryTask::onFailed(const base::AttemptId &id, routing::AttemptFault fault)
{
    m_attempts.erase(id);
    m_metrics.count("hyssop_attempt_faults_total",
                    {{"reason", std::string(attemptFaultName(fault))}});
    feed(routing::AttemptFailed{id, fault, base::Millis(0)});
}

void EntryTask::onAnnouncement(const membership::Announcement &announcement)
{
    m_gossiper->announce(announcement);
}

void EntryTask::onUpstream(const membership::DirectoryChange &change)
{
    if (change.kind == membership::DirectoryChange::Kind::Seen)
        feed(routing::UpstreamSeen{change.upstream});
    else
        feed(routing::UpstreamGone{change.upstream.id});
}

// Other hosts.

void EntryTask::onWatch(peers::WatchRequest, peers::Answer<peers::WatchReply> answer)
{
    answer({});
}

void EntryTask::onExecute(peers::ExecuteRequest, peers::Answer<peers::ExecuteReply> answer)
{
    answer({peers::ExecuteStatus::Unavailable, "", ""});
}

void EntryTask::onGossip(peers::GossipMessage message)
{
    m_loop->post([this, message = std::move(message)] { m_gossiper->receive(message); });
}

void EntryTask::onQuery(peers::QueryRequest, peers::Answer<std::string> answer)
{
    answer("");
}

std::unique_ptr<Gossiper> EntryTask::makeGossiper()
{
    Gossiper::Hooks hooks;
    hooks.onUpstream = [this](const auto &it) { onUpstream(it); };
    hooks.onHost = [this](const auto &it) { m_reclaimer->onHost(it); };
    hooks.onOutstanding = [this](const auto &it) { feed(it); };
    hooks.readOutstanding = [this] { return m_router->outstanding(); };
    const membership::HostRow self{m_options.host, m_options.incarnation, 0, m_peers->address()};
    return std::make_unique<Gossiper>(m_loop.get(), &m_metrics, self, m_options.peers,
                                      m_options.usesPeersOfSettingsOnly, std::move(hooks));
}

// Life of the host.

void EntryTask::refreshGauges()
{
    const routing::RouterStats stats = m_router->stats();
    m_metrics.set("hyssop_queued_requests", static_cast<double>(stats.queued));
    m_metrics.set("hyssop_active_requests", static_cast<double>(stats.active));
    m_metrics.set("hyssop_outstanding_prompt_tokens",
                  static_cast<double>(stats.outstanding.count()));
    m_metrics.set("hyssop_upstreams", static_cast<double>(stats.upstreams));
    m_metrics.set("hyssop_ejected_upstreams", static_cast<double>(stats.ejected));
    m_metrics.set("hyssop_open_body_bytes", static_cast<double>(stats.body.count()));
    m_metrics.set("hyssop_records_index", static_cast<double>(m_watcher->position().index));
    m_metrics.set("hyssop_records_confirmed", m_watcher->isConfirmed() ? 1 : 0);
    m_metrics.set("hyssop_unconfirmed_cancels",
                  static_cast<double>(m_engines->unconfirmedCancels()));
}

void EntryTask::stop()
{
    m_loop->post([this] { beginStop(); });
}

void EntryTask::beginStop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_platform->setReady(false);
    base::logEvent("stopping", {{"open_requests", m_requests.size()}});
    // Requests are still taken until the balancer has noticed.
    m_loop->after(m_options.stopNotice, [this] {
        feed(routing::StopAnnounced{});
        endWhenIdle(base::monotonicNow() + m_options.stopLimit);
    });
}

void EntryTask::endWhenIdle(base::TimePoint until)
{
    const bool isIdle = m_requests.empty() && m_engines->unconfirmedCancels() == 0;
    if (isIdle || base::monotonicNow() >= until) {
        // One more turn lets the last answers leave.
        m_loop->after(kStopPoll, [this] { m_loop->stop(); });
        return;
    }
    m_loop->after(kStopPoll, [this, until] { endWhenIdle(until); });
}

} // namespace hyssop::entry
