#include "RouterDriver.h"

#include "Errors.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hyssop::entry {

namespace {

/// Timeout of the reservation of a gang. The router then tries another gang.
constexpr base::Millis kGangReservationTimeout{5'000};

double secondsBetween(base::TimePoint from, base::TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Metric label for the length of a prompt.
std::string promptLengthLabel(base::Tokens prompt)
{
    if (prompt.count() <= 4'000)
        return "4k";
    if (prompt.count() <= 32'000)
        return "32k";
    return prompt.count() <= 100'000 ? "100k" : "1m";
}

} // namespace

RouterDriver::RouterDriver(http::Loop *loop, process::Metrics *metrics, upstream::OwnerId owner,
                           routing::RouterOptions options, FindAddress findAddress)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_findAddress(std::move(findAddress))
    , m_router(std::move(options))
    , m_engines(loop, owner, this)
    , m_services(loop, owner, this)
    , m_gangs(loop, owner, [this](const base::AttemptId &id) { onGangLost(id); })
{ }

void RouterDriver::submit(OpenRequest request)
{
    assert(!request.info.id.isEmpty() && "a request needs an id");
    assert(request.responseSink && "a request needs a response sink");
    request.arrivedAt = base::monotonicNow();
    const routing::RequestInfo info = request.info;
    m_openRequests.add(std::move(request));
    feed(routing::RequestArrived{info});
}

void RouterDriver::feed(const routing::Event &event)
{
    perform(m_router.handle(event, base::monotonicNow()));
    scheduleTick();
}

void RouterDriver::perform(const routing::Actions &actions)
{
    for (const routing::Action &action : actions)
        std::visit([this](const auto &it) { perform(it); }, action);
}

void RouterDriver::scheduleTick()
{
    const base::TimePoint next = m_router.nextTick();
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
        perform(m_router.tick(base::monotonicNow()));
        scheduleTick();
    });
}

// Attempts.

void RouterDriver::perform(const routing::StartAttempt &action)
{
    const OpenRequest &request = *m_openRequests.find(action.request);
    OpenAttempt &openAttempt = m_openRequests.attempt(action.attempt);
    openAttempt.request = action.request;
    openAttempt.isService = request.service.has_value();
    openAttempt.isResume = action.isResume;
    // A resume goes to the upstream where the attempt runs, even if it is no longer announced.
    if (const auto address = m_findAddress(action.upstream))
        openAttempt.address = *address;
    m_metrics->count("hyssop_attempts_total", {{"upstream", action.upstream.text()}});
    if (request.service) {
        startService(action, request, openAttempt.address);
    } else if (!action.otherGangMembers.empty() && !action.isResume) {
        openAttempt.gang = action.otherGangMembers;
        openAttempt.gang.insert(openAttempt.gang.begin(), action.upstream);
        reserveGang(action);
    } else {
        startEngine(action, openAttempt);
    }
}

void RouterDriver::startService(const routing::StartAttempt &action, const OpenRequest &request,
                                const base::Endpoint &address)
{
    upstream::ServiceCall call;
    call.id = action.attempt;
    call.to = address;
    call.method = request.service->method;
    call.path = request.service->path;
    call.contentType = request.service->contentType;
    call.body = request.service->body;
    call.idempotencyKey = request.service->head.idempotencyKey;
    call.remaining = action.timeRemaining;
    m_services.start(std::move(call));
}

void RouterDriver::startEngine(const routing::StartAttempt &action, const OpenAttempt &openAttempt)
{
    upstream::EngineAttempt attempt;
    attempt.id = action.attempt;
    attempt.to = openAttempt.address;
    attempt.body = m_openRequests.find(action.request)->body;
    attempt.timeRemaining = action.timeRemaining;
    attempt.urgency = action.urgency;
    attempt.priority = action.priority;
    attempt.resumeOffset = action.resumeOffset;
    attempt.isResume = action.isResume;
    attempt.gangMembers = openAttempt.gang;
    m_engines.start(std::move(attempt));
}

void RouterDriver::reserveGang(const routing::StartAttempt &action)
{
    upstream::GangRequest order;
    order.id = action.attempt;
    order.timeout = std::min(kGangReservationTimeout, action.timeRemaining);
    for (const base::UpstreamId &id : m_openRequests.attempt(action.attempt).gang)
        order.members.push_back(
                {id, m_findAddress(id).value_or(base::Endpoint()), action.kvTokensPerEngine});
    m_gangs.reserve(std::move(order),
                    [this, action](bool isReserved) { onGangReserved(action, isReserved); });
}

void RouterDriver::onGangReserved(const routing::StartAttempt &action, bool isReserved)
{
    const OpenAttempt *openAttempt = m_openRequests.findAttempt(action.attempt);
    if (!openAttempt)
        return;
    m_metrics->count("hyssop_gangs_total", {{"outcome", isReserved ? "reserved" : "refused"}});
    if (isReserved) {
        startEngine(action, *openAttempt);
        return;
    }
    m_openRequests.eraseAttempt(action.attempt);
    feed(routing::AttemptFailed{action.attempt, routing::AttemptFault::Refused, base::Millis(0)});
}

void RouterDriver::onGangLost(const base::AttemptId &id)
{
    m_metrics->count("hyssop_gangs_total", {{"outcome", "lost"}});
    base::logEvent("gang_lost", {{"attempt", id}});
    // The attempt at the first engine has lost the memory reserved at the others.
    if (m_openRequests.findAttempt(id))
        onFailed(id, routing::AttemptFault::UpstreamError, base::Millis(0));
}

void RouterDriver::releaseGang(const base::AttemptId &id)
{
    const OpenAttempt *openAttempt = m_openRequests.findAttempt(id);
    if (openAttempt && !openAttempt->gang.empty())
        m_gangs.release(id);
}

void RouterDriver::perform(const routing::CancelAttempt &action)
{
    const OpenAttempt *openAttempt = m_openRequests.findAttempt(action.attempt);
    if (!openAttempt)
        return;
    if (openAttempt->isService)
        m_services.cancel(action.attempt);
    else
        m_engines.cancel(action.attempt, openAttempt->address);
    releaseGang(action.attempt);
    m_openRequests.eraseAttempt(action.attempt);
}

void RouterDriver::onAccepted(const base::AttemptId &id)
{
    feed(routing::AttemptAccepted{id});
}

void RouterDriver::onTokens(const base::AttemptId &id, std::int64_t offset,
                            const std::vector<std::string> &tokens)
{
    m_eventTokens = tokens;
    feed(routing::AttemptTokens{id, offset, static_cast<std::int64_t>(tokens.size())});
    m_eventTokens.clear();
}

void RouterDriver::onFinished(const base::AttemptId &id)
{
    releaseGang(id);
    m_openRequests.eraseAttempt(id);
    feed(routing::AttemptFinished{id});
}

void RouterDriver::onFailed(const base::AttemptId &id, routing::AttemptFault fault,
                            base::Millis retryAfter)
{
    m_metrics->count("hyssop_attempt_faults_total",
                     {{"reason", std::string(attemptFaultName(fault))}});
    // Any other attempt may still run at its engine, so the router resumes or cancels it.
    const OpenAttempt *openAttempt = m_openRequests.findAttempt(id);
    if (openAttempt && routing::provesNotRun(fault) && !openAttempt->isResume) {
        releaseGang(id);
        m_openRequests.eraseAttempt(id);
    }
    feed(routing::AttemptFailed{id, fault, retryAfter});
}

void RouterDriver::onStrayEvent(const base::AttemptId &)
{
    m_metrics->count("hyssop_stray_events_total");
}

void RouterDriver::onResponse(const base::AttemptId &id, upstream::ServiceResponse answer)
{
    const OpenAttempt *openAttempt = m_openRequests.findAttempt(id);
    if (!openAttempt)
        return;
    if (OpenRequest *request = m_openRequests.find(openAttempt->request))
        request->responseSink->respond(answer);
    m_openRequests.eraseAttempt(id);
    feed(routing::AttemptFinished{id});
}

void RouterDriver::onFailed(const base::AttemptId &id, routing::AttemptFault fault)
{
    m_metrics->count("hyssop_attempt_faults_total",
                     {{"reason", std::string(attemptFaultName(fault))}});
    m_openRequests.eraseAttempt(id);
    feed(routing::AttemptFailed{id, fault, base::Millis(0)});
}

// Requests.

void RouterDriver::perform(const routing::ForwardTokens &action)
{
    OpenRequest &request = *m_openRequests.find(action.request);
    const base::TimePoint now = base::monotonicNow();
    const std::string length = promptLengthLabel(request.info.promptTokens);
    if (request.hasFirstToken)
        m_metrics->observeSeconds("hyssop_token_gap_seconds",
                                  secondsBetween(request.lastTokenAt, now));
    else
        m_metrics->observeSeconds("hyssop_first_token_seconds",
                                  secondsBetween(request.arrivedAt, now), {{"length", length}});
    request.hasFirstToken = true;
    request.lastTokenAt = now;
    m_eventTokens.erase(m_eventTokens.begin(), m_eventTokens.begin() + action.skippedTokens);
    request.responseSink->addTokens(m_eventTokens);
    if (request.responseSink->unsentBytes() > m_maxUnsentBytes)
        dropSlowCaller(request);
}

void RouterDriver::dropSlowCaller(OpenRequest &request)
{
    if (std::exchange(request.isDropped, true))
        return;
    m_metrics->count("hyssop_slow_callers_total");
    base::logEvent("slow_caller", {{"team", request.info.team}});
    // Posted, as the actions of the router are still being carried out.
    m_loop->post([this, id = request.info.id] { cancel(id); });
}

void RouterDriver::perform(const routing::CompleteRequest &action)
{
    OpenRequest &request = *m_openRequests.find(action.request);
    m_metrics->count("hyssop_requests_total", {{"outcome", "answered"}});
    if (!request.service)
        request.responseSink->complete();
    m_openRequests.erase(action.request);
}

void RouterDriver::perform(const routing::FailRequest &action)
{
    OpenRequest &request = *m_openRequests.find(action.request);
    const std::string reason(endReasonName(action.reason));
    const std::string outcome(outcomeName(action.outcome));
    m_metrics->count("hyssop_refusals_total", {{"reason", reason}});
    m_metrics->count("hyssop_requests_total", {{"outcome", outcome}});
    base::logEvent("request_ended", {{"team", request.info.team},
                                     {"target", request.info.modelOrService},
                                     {"reason", reason},
                                     {"outcome", outcome},
                                     {"retry_after_ms", action.retryAfter.count()}});
    request.responseSink->fail(errorFor(action));
    m_openRequests.erase(action.request);
}

void RouterDriver::perform(const routing::RetryScheduled &action)
{
    const std::string fault(attemptFaultName(action.fault));
    m_metrics->count("hyssop_retries_total", {{"reason", fault}});
    base::logEvent("retry", {{"request", action.request}, {"reason", fault}});
}

void RouterDriver::perform(const routing::StreamStalled &action)
{
    m_metrics->count("hyssop_stalls_total", {{"upstream", action.upstream.text()}});
    base::logEvent("stalled", {{"request", action.request}, {"upstream", action.upstream}});
}

void RouterDriver::perform(const routing::UpstreamEjected &action)
{
    m_metrics->count("hyssop_ejections_total", {{"upstream", action.upstream.text()}});
    base::logEvent("ejected",
                   {{"upstream", action.upstream}, {"duration_ms", action.duration.count()}});
}

std::vector<upstream::DeletionQueue::Deletion> RouterDriver::pendingDeletions() const
{
    std::vector<upstream::DeletionQueue::Deletion> deletions = m_engines.pendingCancels();
    const auto releases = m_gangs.pendingReleases();
    deletions.insert(deletions.end(), releases.begin(), releases.end());
    return deletions;
}

void RouterDriver::refreshGauges()
{
    const routing::RouterStats stats = m_router.stats();
    m_metrics->set("hyssop_queued_requests", static_cast<double>(stats.queuedRequests));
    m_metrics->set("hyssop_active_requests", static_cast<double>(stats.activeRequests));
    m_metrics->set("hyssop_outstanding_prompt_tokens",
                   static_cast<double>(stats.outstandingPromptTokens.count()));
    m_metrics->set("hyssop_upstreams", static_cast<double>(stats.upstreamCount));
    m_metrics->set("hyssop_ejected_upstreams", static_cast<double>(stats.ejectedUpstreams));
    m_metrics->set("hyssop_open_body_bytes", static_cast<double>(stats.openBodyBytes.count()));
    m_metrics->set("hyssop_gangs", static_cast<double>(m_gangs.gangCount()));
    m_metrics->set("hyssop_unconfirmed_cancels",
                   static_cast<double>(m_engines.unconfirmedCancels()));
}

} // namespace hyssop::entry
