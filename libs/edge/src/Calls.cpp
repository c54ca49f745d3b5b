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

EdgeAttempt &Edge::Impl::attemptOf(EdgeCall &call, gateway::CallId id)
{
    return call.stalled && call.stalled->id == id ? *call.stalled : call.current;
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
                call.current.reservations.begin(), call.current.reservations.end(),
                [&it](const Reservation &r) { return r.upstream.id == it.upstream.id; });
        const bool isHeld =
                it.kvTokens > base::Tokens() && reservation != call.current.reservations.end();
        context.helpers.push_back({it.upstream.address, isHeld ? reservation->id : ""});
    }
    if (action.isResume)
        context.resumeAfter = call.current.eventSplitter.lastEventId();
    gateway::Call request;
    request.upstream = action.upstream.id;
    request.to = action.upstream.address;
    request.head = m_protocol->upstreamRequest(call.exchange->head(), context);
    removeRelayFields(request.head.fields);
    request.body = call.body;
    request.echoFieldName = m_protocol->echoFieldName();
    request.connectTimeout = std::min(kConnectTimeout, action.timeLeft);
    // A kept-alive connection may close during a request, which then must not be sent again.
    // Without an id, its answer can't be told from additional bytes after an earlier response.
    request.canReuseConnection = (call.isStream || call.exchange->head().method == "GET")
                                 && !call.requestMetadata.id.isEmpty();
    request.maxIdleConnections = maxIdleConnections(call.service);
    call.attemptCount = action.attempt;
    call.current.number = action.attempt;
    call.current.upstream = action.upstream.id;
    call.current.upstreamIncarnation = action.upstream.incarnation;
    call.current.isRelayed = false;
    startAttempt(call, std::move(request));
    std::string helpers;
    for (const dispatch::Helper &it : action.helpers)
        helpers += (helpers.empty() ? "" : ",") + it.upstream.id.text();
    base::logEvent("attempt_sent", {{"request", call.requestMetadata.id},
                                    {"upstream", call.current.upstream},
                                    {"attempt", action.attempt},
                                    {"helpers", helpers},
                                    {"apart", action.isLongPrompt},
                                    {"requests_there", action.requestsAtUpstream},
                                    {"resume", action.isResume},
                                    {"time_left_ms", action.timeLeft.count()}});
}

void Edge::Impl::startAttempt(EdgeCall &call, gateway::Call request)
{
    EdgeAttempt &attempt = call.current;
    attempt.answerHead = {};
    attempt.answerMetadata = {};
    attempt.answerBody.clear();
    attempt.eventSplitter.dropPartialEvent();
    attempt.streamedBytes = 0;
    attempt.isPaused = false;
    attempt.id = m_client.start(std::move(request));
    m_attempts[attempt.id] = call.id;
}

std::size_t Edge::Impl::maxIdleConnections(const base::ServiceId &service) const
{
    const fleet::Service *it = m_routeTable->findService(service);
    if (!it || it->maxConnections <= 0)
        return gateway::Call().maxIdleConnections;
    const int share = it->maxConnections / (kIdleConnectionDivisor * m_entryHostCount);
    return static_cast<std::size_t>(std::max(1, share));
}

void Edge::Impl::dropAttempt(EdgeAttempt &attempt, bool mayFinish)
{
    if (attempt.id == gateway::CallId())
        return;
    m_attempts.erase(attempt.id);
    if (mayFinish)
        m_client.setResponseTimeout(attempt.id, kDiscardTimeout);
    else
        m_client.cancel(attempt.id);
    attempt.id = {};
}

void Edge::Impl::dropStalledAttempt(EdgeCall &call)
{
    if (!call.stalled)
        return;
    dropAttempt(*call.stalled, false);
    releaseReservations(*call.stalled);
    call.stalled.reset();
}

void Edge::Impl::executeAction(const dispatch::CancelAttempt &action, base::TimePoint)
{
    if (EdgeCall *call = findCall(action.call))
        dropAttempt(call->current, false);
}

void Edge::Impl::executeAction(const dispatch::KeepStalledAttempt &action, base::TimePoint)
{
    EdgeCall &call = *findCall(action.call);
    call.stalled = call.current;
    call.current.id = {};
    call.current.reservations.clear();
}

void Edge::Impl::executeAction(const dispatch::ReinstateAttempt &action, base::TimePoint now)
{
    EdgeCall &call = *findCall(action.call);
    call.current = *std::exchange(call.stalled, std::nullopt);
    m_metrics->count("hyssop_reinstated_attempts_total");
    const auto age = std::chrono::floor<base::Millis>(now - call.exchange->arrivedAt());
    base::logEvent("attempt_reinstated", {{"request", call.requestMetadata.id},
                                          {"upstream", call.current.upstream},
                                          {"ms", age.count()}});
}

void Edge::Impl::executeAction(const dispatch::CancelStalledAttempt &action, base::TimePoint)
{
    EdgeCall *call = findCall(action.call);
    if (!call || !call->stalled)
        return;
    base::logEvent("stalled_attempt_cancelled", {{"request", call->requestMetadata.id},
                                                 {"upstream", call->stalled->upstream},
                                                 {"attempt", call->stalled->number}});
    dropStalledAttempt(*call);
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
    if (call.relayTerms && isLimitedToHost(action.reason))
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
    const int status = respondWithAnswer(call);
    endCall(call, "upstream_failure", "", status, now);
}

void Edge::Impl::executeAction(const dispatch::RequestPermit &action, base::TimePoint now)
{
    const dispatch::CallId call = action.call;
    // Without a control host to order the prompts, each host proceeds on its own.
    const auto onGranted = [this, call, isOversized = action.isOversized,
                            requestedAt = now](std::optional<base::Millis> waitedAtControl) {
        const base::TimePoint at = base::monotonicNow();
        const auto wait = std::chrono::floor<base::Millis>(at - requestedAt);
        const base::Millis age = std::max(base::Millis(0), wait - waitedAtControl.value_or(wait));
        if (const EdgeCall *it = findCall(call)) {
            base::logEvent("permit_granted", {{"request", it->requestMetadata.id},
                                              {"prompt", it->requestMetadata.promptTokens.count()},
                                              {"oversized", isOversized},
                                              {"waited_ms", wait.count()},
                                              {"age_ms", age.count()}});
        }
        execute(m_dispatcher.handle(dispatch::PermitGranted{call, age}, at), at);
        scheduleTick(at);
    };
    if (!m_leader || !m_freshness.isCurrent(now)) {
        boost::asio::post(*m_io, [onGranted] { onGranted(std::nullopt); });
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
                const fleet::PermitReply reply = answer ? fleet::decodePermitReply(*answer)
                                                        : fleet::PermitReply{true, base::Millis(0)};
                if (reply.isGranted)
                    boost::asio::post(*m_io, [onGranted, reply] { onGranted(reply.waited); });
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
                             {"upstream", call.current.upstream},
                             {"attempt", call.attemptCount},
                             {"ms", age.count()}});
}

void Edge::Impl::executeAction(const dispatch::RetryDenied &action, base::TimePoint)
{
    const auto fault = dispatch::attemptFaultName(action.fault);
    m_metrics->count("hyssop_retries_denied_total", {{"reason", std::string(fault)}});
    base::logEvent("retry_denied",
                   {{"request", findCall(action.call)->requestMetadata.id}, {"reason", fault}});
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
    if (outcome == "answered")
        m_startSteps.reach(StartStep::FirstResponse, now);
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
                    {"upstream", call.current.upstream},
                    {"attempts", call.attemptCount},
                    {"first_event_ms", hasEvents ? millis(call.firstEventAt - arrivedAt) : -1},
                    {"longest_gap_ms", millis(call.longestGap)},
                    {"ms", millis(now - arrivedAt)},
                    {"version", call.configurationVersion.count()},
                    {"confirmed_ms_before", call.confirmationAge.count()},
                    {"content", isQuarantined ? contentText(call.fingerprints) : ""}});
    dropAttempt(call.current, true);
    releaseReservations(call.current);
    dropStalledAttempt(call);
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
    EdgeAttempt &attempt = attemptOf(*call, id);
    attempt.answerHead = head;
    attempt.answerMetadata = trustedMetadata(m_protocol->parseResponse(head), head);
    if (attempt.isRelayed) {
        onRelayHead(*call, attempt, now);
        return scheduleTick(now);
    }
    const ResponseMetadata metadata = attempt.answerMetadata;
    const base::UpstreamId upstream = attempt.upstream;
    applyStatements(upstream, attempt.upstreamIncarnation, metadata, now);
    if (metadata.runningRequests)
        execute(m_dispatcher.handle(dispatch::UpstreamLoadReported{upstream,
                                                                   *metadata.runningRequests,
                                                                   metadata.waitingRequests},
                                    now),
                now);
    // These may have sent or ended queued calls, also the one whose stalled attempt this is.
    call = findCallByAttempt(id);
    if (call && !call->isStalled(attemptOf(*call, id)))
        applyRateLimit(*call, now);
    call = findCallByAttempt(id);
    if (call) {
        EdgeAttempt &answered = attemptOf(*call, id);
        if (const auto failure = failureOfHead(answered))
            failAttempt(*call, answered, *failure, now);
    }
    scheduleTick(now);
}

void Edge::Impl::applyRateLimit(EdgeCall &call, base::TimePoint now)
{
    const ResponseMetadata &metadata = call.current.answerMetadata;
    const bool isFromUpstream =
            !metadata.isMisdirected && (metadata.isProvenRun || metadata.isNotExecuted);
    if (isFromUpstream && metadata.acceptedRate)
        execute(m_dispatcher.handle(dispatch::RateLimitStated{call.id, *metadata.acceptedRate},
                                    now),
                now);
}

std::optional<Edge::Impl::AttemptFailure> Edge::Impl::failureOfHead(const EdgeAttempt &attempt)
{
    const ResponseMetadata &metadata = attempt.answerMetadata;
    if (metadata.isMisdirected)
        return AttemptFailure{dispatch::AttemptFault::Misdirected, "misdirected", {}, true};
    if (metadata.isNotExecuted)
        return AttemptFailure{dispatch::AttemptFault::Refused, "not_run", {}, true};
    const int status = attempt.answerHead.status;
    if (!attempt.answerHead.isIdentified && promisesNotRun(status))
        return AttemptFailure{dispatch::AttemptFault::AnswerLost, "unidentified"};
    if (status >= 200 && status < 300 && !metadata.isProvenRun)
        return AttemptFailure{dispatch::AttemptFault::AnswerLost, "not_genuine"};
    return std::nullopt;
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

void Edge::Impl::failAttempt(EdgeCall &call, EdgeAttempt &attempt, const AttemptFailure &failure,
                             base::TimePoint now)
{
    const bool isStalled = call.isStalled(attempt);
    m_metrics->count("hyssop_attempt_faults_total", {{"fault", std::string(failure.reason)}});
    base::logEvent("attempt_failed", {{"request", call.requestMetadata.id},
                                      {"upstream", attempt.upstream},
                                      {"fault", dispatch::attemptFaultName(failure.fault)},
                                      {"reason", failure.reason},
                                      {"detail", failure.detail},
                                      {"attempt", attempt.number},
                                      {"stalled", isStalled},
                                      {"status", attempt.answerHead.status},
                                      {"content", contentText(call.fingerprints)}});
    dropAttempt(attempt, failure.mayFinish);
    if (isStalled) {
        dropStalledAttempt(call);
        return execute(
                m_dispatcher.handle(dispatch::StalledAttemptFailed{call.id, failure.fault}, now),
                now);
    }
    execute(m_dispatcher.handle(dispatch::AttemptFailed{call.id, failure.fault,
                                                        attempt.answerMetadata.faultyUpstream},
                                now),
            now);
}

void Edge::Impl::onBody(gateway::CallId id, std::string_view data)
{
    EdgeCall *call = findCallByAttempt(id);
    if (!call)
        return;
    const base::TimePoint now = base::monotonicNow();
    EdgeAttempt &attempt = attemptOf(*call, id);
    if (call->isEventStream(attempt)) {
        receiveEvents(*call, attempt, data, now);
    } else {
        attempt.answerBody += data;
        call->exchange->setBuffered(attempt.answerBody.capacity());
        if (attempt.answerBody.size() > kMaxBufferedBytes)
            failAttempt(*call, attempt, {dispatch::AttemptFault::AnswerLost, "too_long"}, now);
    }
    scheduleTick(now);
}

void Edge::Impl::receiveEvents(EdgeCall &call, EdgeAttempt &attempt, std::string_view data,
                               base::TimePoint now)
{
    const std::string events = attempt.eventSplitter.append(data);
    attempt.streamedBytes += data.size();
    if (attempt.eventSplitter.isEventTooLong() || attempt.streamedBytes > kMaxStreamedBytes)
        return failAttempt(call, attempt, {dispatch::AttemptFault::AnswerLost, "too_long"}, now);
    if (events.empty())
        return;
    if (call.isStalled(attempt))
        reinstateStalledAttempt(call, now);
    forwardEvents(call, events, now);
}

void Edge::Impl::reinstateStalledAttempt(EdgeCall &call, base::TimePoint now)
{
    execute(m_dispatcher.handle(dispatch::StalledAttemptProgressed{call.id}, now), now);
    applyRateLimit(call, now);
}

void Edge::Impl::forwardEvents(EdgeCall &call, std::string_view events, base::TimePoint now)
{
    if (call.firstEventAt == base::TimePoint())
        call.firstEventAt = now;
    else
        call.longestGap = std::max(call.longestGap, now - call.lastEventAt);
    call.lastEventAt = now;
    if (!call.exchange->isStarted())
        call.exchange->start(call.current.answerHead.status,
                             forwardedFields(call.current.answerHead));
    call.exchange->send(events);
    execute(m_dispatcher.handle(dispatch::AnswerProgressed{call.id}, now), now);
    if (call.exchange->unsentBytes() > kMaxUnsentBytes && call.current.id != gateway::CallId()) {
        call.current.isPaused = true;
        m_client.setPaused(call.current.id, true);
        execute(m_dispatcher.handle(dispatch::AnswerPaused{call.id, true}, now), now);
    }
}

void Edge::Impl::onEnd(gateway::CallId id)
{
    EdgeCall *call = findCallByAttempt(id);
    if (!call)
        return;
    const base::TimePoint now = base::monotonicNow();
    EdgeAttempt &attempt = attemptOf(*call, id);
    m_attempts.erase(id);
    attempt.id = {};
    if (const auto failure = failureAtEnd(*call, attempt)) {
        failAttempt(*call, attempt, *failure, now);
    } else {
        if (call->isStalled(attempt))
            reinstateStalledAttempt(*call, now);
        finishCall(*call, now);
    }
    scheduleTick(now);
}

std::optional<Edge::Impl::AttemptFailure> Edge::Impl::failureAtEnd(const EdgeCall &call,
                                                                   const EdgeAttempt &attempt)
{
    if (call.isEventStream(attempt)) {
        if (attempt.eventSplitter.hasPartialEvent() || !call.exchange->isStarted())
            return AttemptFailure{dispatch::AttemptFault::AnswerLost, "cut_short"};
        return std::nullopt;
    }
    // Nothing but the rest of its events can follow a stream that has begun.
    if (attempt.answerHead.status >= 500 || call.exchange->isStarted())
        return AttemptFailure{dispatch::AttemptFault::UpstreamError, "upstream_error"};
    return std::nullopt;
}

gateway::Fields Edge::Impl::forwardedFields(const gateway::ResponseHead &head) const
{
    gateway::Fields fields = m_protocol->forwardedFields(head);
    removeRelayFields(fields);
    return fields;
}

int Edge::Impl::respondWithAnswer(EdgeCall &call)
{
    const EdgeAttempt &attempt = call.current;
    const int answered = attempt.answerHead.status;
    const int status =
            call.relayTerms
                    ? statusForRelay(answered, attempt.answerMetadata.isProvenRun, *call.relayTerms)
                    : statusForCaller(answered);
    if (status != answered) {
        m_metrics->count("hyssop_replaced_statuses_total", {{"status", std::to_string(answered)}});
        base::logEvent("status_replaced", {{"request", call.requestMetadata.id},
                                           {"upstream", attempt.upstream},
                                           {"status", answered},
                                           {"by", status}});
        // The seal of the upstream vouches for its own status, so the answer is this host's.
        call.exchange->respond(
                status, m_protocol->localResponseFields(call.exchange->head(), base::Millis(0)),
                "");
        return status;
    }
    call.exchange->respond(status, forwardedFields(attempt.answerHead), attempt.answerBody);
    return status;
}

void Edge::Impl::finishCall(EdgeCall &call, base::TimePoint now)
{
    int status = call.current.answerHead.status;
    if (call.isEventStream(call.current))
        call.exchange->finish();
    else
        status = respondWithAnswer(call);
    const bool isSuccess = status >= 200 && status < 300;
    execute(m_dispatcher.handle(dispatch::AttemptSucceeded{call.id, isSuccess}, now), now);
    endCall(call, "answered", "", status, now);
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
    EdgeAttempt &attempt = attemptOf(*call, id);
    m_attempts.erase(id);
    attempt.id = {};
    const auto fault =
            error.wasSent ? dispatch::AttemptFault::AnswerLost : dispatch::AttemptFault::NotSent;
    failAttempt(*call, attempt, {fault, gateway::callFailureName(error.failure), error.detail},
                now);
    scheduleTick(now);
}

} // namespace hyssop::edge
