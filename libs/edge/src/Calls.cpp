// Sends attempts to upstreams and forwards their answers to callers.

#include "EdgeImpl.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace hyssop::edge {

namespace {

/// Unsent bytes of a slow caller above which reading from its upstream pauses.
constexpr std::size_t kMaxUnsentBytes = std::size_t(256) << 10;
/// Limit on answers that are buffered whole. A longer one counts as broken.
constexpr std::size_t kMaxBufferedBytes = std::size_t(8) << 20;
/// Limit on streamed answers. One of a million tokens in events of one token each stays below.
constexpr std::size_t kMaxStreamedBytes = std::size_t(128) << 20;
/// Connecting takes one round trip. A host that is down never answers.
constexpr base::Millis kConnectTimeout{400};
/// Limit on draining an answer that is no longer needed, which keeps the connection reusable.
constexpr base::Millis kDiscardTimeout{1'000};

/// Part of the connections that an upstream accepts from all hosts that may be idle. The rest is
/// for calls that open one.
constexpr int kIdleConnectionDivisor = 2;
constexpr base::Millis kPermitTimeout{500};
constexpr base::Millis kRelayTimeout{500};
constexpr int kSuccessStatus = 200;

int statusOf(dispatch::FailureReason reason)
{
    return reason == dispatch::FailureReason::DeadlineExceeded ? 504 : 502;
}

/// Whether another entry host may be able to serve a call that was rejected for \a reason.
bool isLimitedToHost(dispatch::FailureReason reason)
{
    return reason == dispatch::FailureReason::Unreachable
           || reason == dispatch::FailureReason::NoUpstream
           || reason == dispatch::FailureReason::UpstreamRefused
           || reason == dispatch::FailureReason::Stopping;
}

} // namespace

EdgeCall *Edge::Impl::findCall(dispatch::CallId id)
{
    const auto it = m_calls.find(id);
    return it == m_calls.end() ? nullptr : &it->second;
}

EdgeCall *Edge::Impl::findCallByAttempt(gateway::CallId id)
{
    const auto it = m_attempts.find(id);
    return it == m_attempts.end() ? nullptr : findCall(it->second);
}

void Edge::Impl::execute(const dispatch::Actions &actions, base::TimePoint now)
{
    for (const dispatch::Action &action : actions)
        std::visit([&](const auto &it) { executeAction(it, now); }, action);
}

void Edge::Impl::executeAction(const dispatch::SendAttempt &action, base::TimePoint)
{
    EdgeCall &call = *findCall(action.call);
    UpstreamRequestContext context;
    context.upstream = action.upstream;
    context.team = call.team;
    context.timeLeft = action.timeLeft;
    for (const dispatch::Helper &it : action.helpers) {
        const auto reservation = std::find_if(
                call.reservations.begin(), call.reservations.end(),
                [&it](const Reservation &r) { return r.upstream.id == it.upstream.id; });
        const bool isHeld = it.kvTokens > base::Tokens() && reservation != call.reservations.end();
        context.helpers.push_back({it.upstream.address, isHeld ? reservation->id : ""});
    }
    if (action.isResume)
        context.resumeAfter = call.eventSplitter.lastEventId();
    gateway::Call request;
    request.upstream = action.upstream.id;
    request.to = action.upstream.address;
    request.head = m_protocol->upstreamRequest(call.exchange->head(), context);
    removeRelayFields(request.head.fields);
    request.body = call.body;
    request.echoFieldName = m_protocol->echoFieldName();
    request.connectTimeout = std::min(kConnectTimeout, action.timeLeft);
    // A kept-alive connection may close during a request, which then must not be sent again.
    request.canReuseConnection = call.isStream || call.exchange->head().method == "GET";
    request.maxIdleConnections = maxIdleConnections(call.service);
    call.attemptCount = action.attempt;
    call.upstream = action.upstream.id;
    call.upstreamIncarnation = action.upstream.incarnation;
    call.isRelayed = false;
    startAttempt(call, std::move(request));
    std::string helpers;
    for (const dispatch::Helper &it : action.helpers)
        helpers += (helpers.empty() ? "" : ",") + it.upstream.id.text();
    base::logEvent("attempt_sent", {{"request", call.requestMetadata.id},
                                    {"upstream", call.upstream},
                                    {"attempt", action.attempt},
                                    {"helpers", helpers},
                                    {"apart", action.isLongPrompt},
                                    {"requests_there", action.requestsAtUpstream},
                                    {"resume", action.isResume},
                                    {"time_left_ms", action.timeLeft.count()}});
}

void Edge::Impl::startAttempt(EdgeCall &call, gateway::Call request)
{
    call.answerHead = {};
    call.answerMetadata = {};
    call.answerBody.clear();
    call.eventSplitter.dropPartialEvent();
    call.streamedBytes = 0;
    call.isPaused = false;
    call.attemptId = m_client.start(std::move(request));
    m_attempts[call.attemptId] = call.id;
}

std::size_t Edge::Impl::maxIdleConnections(const base::ServiceId &service) const
{
    const fleet::Service *it = m_routeTable->findService(service);
    if (!it || it->maxConnections <= 0)
        return gateway::Call().maxIdleConnections;
    const int share = it->maxConnections / (kIdleConnectionDivisor * m_entryHostCount);
    return static_cast<std::size_t>(std::max(1, share));
}

void Edge::Impl::dropAttempt(EdgeCall &call, bool mayFinish)
{
    if (call.attemptId == gateway::CallId())
        return;
    m_attempts.erase(call.attemptId);
    if (mayFinish)
        m_client.setResponseTimeout(call.attemptId, kDiscardTimeout);
    else
        m_client.cancel(call.attemptId);
    call.attemptId = {};
}

void Edge::Impl::executeAction(const dispatch::CancelAttempt &action, base::TimePoint)
{
    if (EdgeCall *call = findCall(action.call))
        dropAttempt(*call, false);
}

void Edge::Impl::executeAction(const dispatch::RejectCall &action, base::TimePoint now)
{
    EdgeCall &call = *findCall(action.call);
    const auto reason = dispatch::failureReasonName(action.reason);
    m_metrics->count("hyssop_refusals_total", {{"reason", std::string(reason)}});
    if (action.blocker == dispatch::QueueBlocker::RateLimit)
        m_metrics->count("hyssop_rate_limit_rejections_total");
    gateway::Fields fields =
            m_protocol->localResponseFields(call.exchange->head(), action.retryAfter);
    if (call.isTakenOver && isLimitedToHost(action.reason))
        fields.push_back({kDeclinedField, "1"});
    call.exchange->respond(503, fields, "");
    call.blocker = action.blocker;
    endCall(call, "not_run", reason, 503, now);
}

void Edge::Impl::executeAction(const dispatch::FailCall &action, base::TimePoint now)
{
    EdgeCall &call = *findCall(action.call);
    const auto reason = dispatch::failureReasonName(action.reason);
    const int status = statusOf(action.reason);
    m_metrics->count("hyssop_failures_total", {{"reason", std::string(reason)}});
    if (call.exchange->isStarted())
        call.exchange->abort();
    else
        call.exchange->respond(
                status, m_protocol->localResponseFields(call.exchange->head(), base::Millis(0)),
                "");
    endCall(call, "failed", reason, status, now);
}

void Edge::Impl::executeAction(const dispatch::ForwardUpstreamError &action, base::TimePoint now)
{
    EdgeCall &call = *findCall(action.call);
    call.exchange->respond(call.answerHead.status, m_protocol->forwardedFields(call.answerHead),
                           call.answerBody);
    endCall(call, "upstream_failure", "", call.answerHead.status, now);
}

void Edge::Impl::executeAction(const dispatch::RequestPermit &action, base::TimePoint now)
{
    const dispatch::CallId call = action.call;
    // Without a control host to order the prompts, each host proceeds on its own.
    const auto onGranted = [this, call, isOversized = action.isOversized, requestedAt = now] {
        const base::TimePoint at = base::monotonicNow();
        if (const EdgeCall *it = findCall(call)) {
            const auto wait = std::chrono::floor<base::Millis>(at - requestedAt);
            base::logEvent("permit_granted", {{"request", it->requestMetadata.id},
                                              {"prompt", it->requestMetadata.promptTokens.count()},
                                              {"oversized", isOversized},
                                              {"waited_ms", wait.count()}});
        }
        execute(m_dispatcher.handle(dispatch::PermitGranted{call}, at), at);
        scheduleTick(at);
    };
    if (!m_leader || !m_freshness.isCurrent(now)) {
        boost::asio::post(*m_io, onGranted);
        return;
    }
    fleet::PermitRequest request;
    request.key = {m_options.host, m_startId, call.count()};
    request.service = action.service;
    request.prefillMs = action.prefillMs;
    request.maxWait = action.maxWait;
    request.lateAfter = action.lateAfter;
    request.isOversized = action.isOversized;
    request.isExclusive = action.isExclusive;
    request.idleWait = action.idleWait;
    request.route = action.route;
    request.dataCentre = action.dataCentre;
    const auto onDenied = [this, call] {
        const base::TimePoint at = base::monotonicNow();
        execute(m_dispatcher.handle(dispatch::PermitDenied{call}, at), at);
        scheduleTick(at);
    };
    m_node->query(
            *m_leader, {fleet::kPermitTopic, fleet::encode(request)},
            action.maxWait + kPermitTimeout,
            [this, onGranted, onDenied](const tl::expected<std::string, peers::PeerError> &answer) {
                // An empty answer means that no permit will be granted in time.
                if (!answer || !answer->empty())
                    boost::asio::post(*m_io, onGranted);
                else
                    boost::asio::post(*m_io, onDenied);
            });
}

void Edge::Impl::executeAction(const dispatch::ReleasePermit &action, base::TimePoint)
{
    if (!m_leader)
        return;
    fleet::PermitRequest request;
    request.key = {m_options.host, m_startId, action.call.count()};
    request.isRelease = true;
    request.service = action.service;
    request.route = action.route;
    request.prefillMs = action.prefillMs;
    request.isPrefilled = action.isPrefilled;
    m_node->query(*m_leader, {fleet::kPermitTopic, fleet::encode(request)}, kPermitTimeout,
                  [](const auto &) {});
}

void Edge::Impl::executeAction(const dispatch::RetryScheduled &action, base::TimePoint now)
{
    const EdgeCall &call = *findCall(action.call);
    const auto fault = dispatch::attemptFaultName(action.fault);
    m_metrics->count("hyssop_retries_total", {{"reason", std::string(fault)}});
    const auto age = std::chrono::floor<base::Millis>(now - call.exchange->arrivedAt());
    base::logEvent("retry", {{"request", call.requestMetadata.id},
                             {"reason", fault},
                             {"upstream", call.upstream},
                             {"attempt", call.attemptCount},
                             {"ms", age.count()}});
}

void Edge::Impl::executeAction(const dispatch::UpstreamEjected &action, base::TimePoint)
{
    m_metrics->count("hyssop_ejections_total");
    base::logEvent("ejected", {{"upstream", action.upstream}, {"ms", action.duration.count()}});
}

void Edge::Impl::executeAction(const dispatch::DataCentreUnreachable &action, base::TimePoint)
{
    m_metrics->count("hyssop_data_centre_cuts_total");
    base::logEvent("data_centre_cut", {{"data_centre", action.dataCentre}});
}

void Edge::Impl::endCall(EdgeCall &call, std::string_view outcome, std::string_view reason,
                         int status, base::TimePoint now)
{
    const auto millis = [](base::TimePoint::duration duration) {
        return std::chrono::floor<base::Millis>(duration).count();
    };
    const auto seconds = [](base::TimePoint::duration duration) {
        return std::chrono::duration<double>(duration).count();
    };
    const base::TimePoint arrivedAt = call.exchange->arrivedAt();
    const bool hasEvents = call.firstEventAt != base::TimePoint();
    const bool isQuarantined =
            reason == dispatch::failureReasonName(dispatch::FailureReason::Quarantined);
    m_metrics->count("hyssop_requests_total", {{"outcome", std::string(outcome)}});
    m_metrics->observeSeconds("hyssop_request_seconds", seconds(now - arrivedAt));
    if (hasEvents)
        m_metrics->observeSeconds("hyssop_first_event_seconds",
                                  seconds(call.firstEventAt - arrivedAt));
    base::logEvent("call_ended",
                   {{"request", call.requestMetadata.id},
                    {"outcome", outcome},
                    {"reason", reason},
                    {"blocked_by", dispatch::queueBlockerName(call.blocker)},
                    {"status", status},
                    {"route", call.route},
                    {"service", call.service},
                    {"team", call.team},
                    {"prompt", call.requestMetadata.promptTokens.count()},
                    {"upstream", call.upstream},
                    {"attempts", call.attemptCount},
                    {"first_event_ms", hasEvents ? millis(call.firstEventAt - arrivedAt) : -1},
                    {"longest_gap_ms", millis(call.longestGap)},
                    {"ms", millis(now - arrivedAt)},
                    {"version", call.configurationVersion.count()},
                    {"confirmed_ms_before", call.confirmationAge.count()},
                    {"content", isQuarantined ? contentText(call.fingerprints) : ""}});
    dropAttempt(call, true);
    releaseReservations(call);
    m_exchanges.erase(call.exchange.get());
    m_calls.erase(call.id);
}

void Edge::Impl::onHead(gateway::CallId id, const gateway::ResponseHead &head)
{
    const base::TimePoint now = base::monotonicNow();
    if (const auto order = m_reservationRequests.find(id); order != m_reservationRequests.end()) {
        applyStatements(order->second.upstream, order->second.incarnation,
                        m_protocol->parseResponse(head), now);
        return onReservationAnswer(id, head.status == kSuccessStatus);
    }
    if (endLinkProbe(id, true))
        return;
    EdgeCall *call = findCallByAttempt(id);
    if (!call)
        return;
    call->answerHead = head;
    call->answerMetadata = m_protocol->parseResponse(head);
    if (call->isRelayed) {
        onRelayHead(*call, now);
        return scheduleTick(now);
    }
    applyStatements(call->upstream, call->upstreamIncarnation, call->answerMetadata, now);
    if (call->answerMetadata.runningRequests)
        execute(m_dispatcher.handle(
                        dispatch::UpstreamLoadReported{call->upstream,
                                                       *call->answerMetadata.runningRequests,
                                                       call->answerMetadata.waitingRequests},
                        now),
                now);
    const bool isFromUpstream =
            !call->answerMetadata.isMisdirected
            && (call->answerMetadata.isProvenRun || call->answerMetadata.isNotExecuted);
    if (isFromUpstream && call->answerMetadata.acceptedRate)
        execute(m_dispatcher.handle(
                        dispatch::RateLimitStated{call->id, *call->answerMetadata.acceptedRate},
                        now),
                now);
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (call->answerMetadata.isMisdirected) {
        dropAttempt(*call, true);
        failAttempt(*call, dispatch::AttemptFault::Misdirected, "misdirected", now);
    } else if (call->answerMetadata.isNotExecuted) {
        dropAttempt(*call, true);
        failAttempt(*call, dispatch::AttemptFault::Refused, "not_run", now);
    } else if (isSuccess && !call->answerMetadata.isProvenRun) {
        dropAttempt(*call, false);
        failAttempt(*call, dispatch::AttemptFault::AnswerLost, "not_genuine", now);
    }
    scheduleTick(now);
}

void Edge::Impl::applyStatements(const base::UpstreamId &upstream, base::Incarnation incarnation,
                                 const ResponseMetadata &metadata, base::TimePoint now)
{
    // Such an answer is of another start, or of another upstream at the same address.
    if (metadata.isMisdirected)
        return;
    if (metadata.backOff > base::Millis(0)) {
        m_metrics->count("hyssop_upstream_statements_total", {{"kind", "back_off"}});
        base::logEvent("back_off", {{"upstream", upstream}, {"ms", metadata.backOff.count()}});
        execute(m_dispatcher.handle(
                        dispatch::BackOffStated{upstream, incarnation, metadata.backOff}, now),
                now);
    }
    if (!metadata.isLeaving)
        return;
    const auto changes = m_fleetView.markLeaving({upstream, incarnation});
    if (changes.upstreams.empty())
        return;
    m_metrics->count("hyssop_upstream_statements_total", {{"kind", "leaving"}});
    base::logEvent("said_leaving", {{"upstream", upstream}, {"born", incarnation.count()}});
    applyFleet(changes, now);
    fleet::RelayedAnnouncements relay;
    relay.leaving.push_back({upstream, incarnation});
    for (const base::Endpoint &control : m_watcher->controlHosts())
        m_node->query(control, {fleet::kRelayTopic, fleet::encode(relay)}, kRelayTimeout,
                      [](const auto &) {});
}

void Edge::Impl::failAttempt(EdgeCall &call, dispatch::AttemptFault fault, std::string_view reason,
                             base::TimePoint now, std::string_view detail)
{
    m_metrics->count("hyssop_attempt_faults_total", {{"fault", std::string(reason)}});
    base::logEvent("attempt_failed", {{"request", call.requestMetadata.id},
                                      {"upstream", call.upstream},
                                      {"fault", dispatch::attemptFaultName(fault)},
                                      {"reason", reason},
                                      {"detail", detail},
                                      {"attempt", call.attemptCount},
                                      {"status", call.answerHead.status},
                                      {"content", contentText(call.fingerprints)}});
    execute(m_dispatcher.handle(
                    dispatch::AttemptFailed{call.id, fault, call.answerMetadata.faultyUpstream},
                    now),
            now);
}

void Edge::Impl::onBody(gateway::CallId id, std::string_view data)
{
    EdgeCall *call = findCallByAttempt(id);
    if (!call)
        return;
    const base::TimePoint now = base::monotonicNow();
    const bool isEventStream = call->isStream && call->answerHead.status == 200;
    if (isEventStream) {
        forwardEvents(*call, data, now);
    } else {
        call->answerBody += data;
        if (call->answerBody.size() > kMaxBufferedBytes) {
            dropAttempt(*call, false);
            failAttempt(*call, dispatch::AttemptFault::AnswerLost, "too_long", now);
        }
    }
    scheduleTick(now);
}

void Edge::Impl::forwardEvents(EdgeCall &call, std::string_view data, base::TimePoint now)
{
    const std::string events = call.eventSplitter.append(data);
    call.streamedBytes += data.size();
    if (call.eventSplitter.isEventTooLong() || call.streamedBytes > kMaxStreamedBytes) {
        dropAttempt(call, false);
        return failAttempt(call, dispatch::AttemptFault::AnswerLost, "too_long", now);
    }
    if (events.empty())
        return;
    if (call.firstEventAt == base::TimePoint())
        call.firstEventAt = now;
    else
        call.longestGap = std::max(call.longestGap, now - call.lastEventAt);
    call.lastEventAt = now;
    if (!call.exchange->isStarted())
        call.exchange->start(call.answerHead.status, m_protocol->forwardedFields(call.answerHead));
    call.exchange->send(events);
    if (call.exchange->unsentBytes() > kMaxUnsentBytes) {
        call.isPaused = true;
        m_client.setPaused(call.attemptId, true);
    }
    execute(m_dispatcher.handle(dispatch::AnswerProgressed{call.id}, now), now);
}

void Edge::Impl::onEnd(gateway::CallId id)
{
    EdgeCall *call = findCallByAttempt(id);
    if (!call)
        return;
    const base::TimePoint now = base::monotonicNow();
    m_attempts.erase(id);
    call->attemptId = {};
    if (call->isStream && call->answerHead.status == 200)
        finishStream(*call, now);
    else
        finishBuffered(*call, now);
    scheduleTick(now);
}

void Edge::Impl::finishStream(EdgeCall &call, base::TimePoint now)
{
    if (call.eventSplitter.hasPartialEvent() || !call.exchange->isStarted())
        return failAttempt(call, dispatch::AttemptFault::AnswerLost, "cut_short", now);
    call.exchange->finish();
    execute(m_dispatcher.handle(dispatch::AttemptSucceeded{call.id}, now), now);
    endCall(call, "answered", "", call.answerHead.status, now);
}

void Edge::Impl::finishBuffered(EdgeCall &call, base::TimePoint now)
{
    // The caller has the head of a stream already, whatever it is that cannot be resumed here.
    if (call.answerHead.status >= 500 || call.exchange->isStarted())
        return failAttempt(call, dispatch::AttemptFault::UpstreamError, "upstream_error", now);
    call.exchange->respond(call.answerHead.status, m_protocol->forwardedFields(call.answerHead),
                           call.answerBody);
    const bool isSuccess = call.answerHead.status >= 200 && call.answerHead.status < 300;
    execute(m_dispatcher.handle(dispatch::AttemptSucceeded{call.id, isSuccess}, now), now);
    endCall(call, "answered", "", call.answerHead.status, now);
}

void Edge::Impl::onFailed(gateway::CallId id, const gateway::CallError &error)
{
    if (m_reservationRequests.contains(id))
        return onReservationAnswer(id, false);
    if (endLinkProbe(id, false))
        return;
    EdgeCall *call = findCallByAttempt(id);
    if (!call)
        return;
    const base::TimePoint now = base::monotonicNow();
    m_attempts.erase(id);
    call->attemptId = {};
    const auto fault =
            error.wasSent ? dispatch::AttemptFault::AnswerLost : dispatch::AttemptFault::NotSent;
    failAttempt(*call, fault, gateway::callFailureName(error.failure), now, error.detail);
    scheduleTick(now);
}

} // namespace hyssop::edge
