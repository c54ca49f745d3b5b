// Calls that entry hosts which reach no upstream relay to others.

#include "EdgeImpl.h"

#include <algorithm>
#include <charconv>

namespace hyssop::edge {

namespace {

/// In relayed calls: upstreams that the call may still be sent to.
constexpr auto kAttemptsLeftField = "Hyssop-Attempts-Left";
constexpr base::Millis kRelayConnectTimeout{200};
constexpr base::Millis kLinkProbeTimeout{600};
/// Idle connections kept to each of the other entry hosts.
constexpr std::size_t kMaxIdleRelayConnections = 16;

/// Attempts that a relayed call may still make; 1 if the field is missing or unreadable.
int attemptsLeft(const gateway::RequestHead &head)
{
    const std::string_view text =
            gateway::fieldValue(head.fields, kAttemptsLeftField).value_or("1");
    int n = 1;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return std::max(1, n);
}

} // namespace

void removeRelayFields(gateway::Fields &fields)
{
    std::erase_if(fields, [](const gateway::Field &it) {
        return gateway::equalsIgnoreCase(it.name, kAttemptsLeftField);
    });
}

void Edge::Impl::setRelayPeers(const std::vector<base::Endpoint> &peers, base::TimePoint now)
{
    if (m_options.relayPort == 0)
        return;
    dispatch::RelayPeersChanged event;
    for (const base::Endpoint &it : peers)
        event.peers.push_back({it.address, m_options.relayPort});
    execute(m_dispatcher.handle(event, now), now);
}

void Edge::Impl::executeAction(const dispatch::RelayCall &action, base::TimePoint)
{
    EdgeCall &call = *findCall(action.call);
    std::optional<std::string> resumeAfter;
    if (action.isResume)
        resumeAfter = call.current.eventSplitter.lastEventId();
    gateway::Call request;
    request.upstream = base::UpstreamId(action.peer.text());
    request.to = action.peer;
    request.head = m_protocol->relayRequest(call.exchange->head(), action.timeLeft, resumeAfter);
    removeRelayFields(request.head.fields);
    request.head.fields.push_back({kAttemptsLeftField, std::to_string(action.attemptsLeft)});
    request.body = call.body;
    request.echoFieldName = m_protocol->echoFieldName();
    request.connectTimeout = std::min(kRelayConnectTimeout, action.timeLeft);
    // A kept-alive connection may close during a request, which then must not be sent again.
    request.canReuseConnection = call.isStream || call.exchange->head().method == "GET";
    request.maxIdleConnections = kMaxIdleRelayConnections;
    call.current.upstream = request.upstream;
    call.current.isRelayed = true;
    startAttempt(call, std::move(request));
    m_metrics->count("hyssop_relayed_calls_total");
    base::logEvent("call_relayed", {{"request", call.requestMetadata.id},
                                    {"to", action.peer.text()},
                                    {"reason", dispatch::relayReasonName(action.reason)},
                                    {"attempts_left", action.attemptsLeft},
                                    {"resume", action.isResume},
                                    {"time_left_ms", action.timeLeft.count()}});
}

void Edge::Impl::takeOver(const std::shared_ptr<gateway::Exchange> &exchange)
{
    const base::TimePoint now = base::monotonicNow();
    auto metadata = m_protocol->parseRequest(exchange->head());
    if (!metadata) {
        m_metrics->count("hyssop_refusals_total", {{"reason", "bad_request"}});
        exchange->respond(400, m_protocol->localResponseFields(exchange->head(), base::Millis(0)),
                          "");
        return;
    }
    const base::RequestId id = metadata->id;
    const int maxAttempts = attemptsLeft(exchange->head());
    m_metrics->count("hyssop_taken_over_calls_total");
    base::logEvent("call_taken_over", {{"request", id}, {"attempts_left", maxAttempts}});
    if (const auto refusal = admit(exchange, *std::move(metadata), maxAttempts, now))
        refuse(*exchange, id, *refusal, true, now);
    scheduleTick(now);
}

void Edge::Impl::onRelayHead(EdgeCall &call, EdgeAttempt &attempt, base::TimePoint now)
{
    if (attempt.answerMetadata.isProvenRun)
        return;
    const int status = attempt.answerHead.status;
    const bool isDeclined =
            gateway::fieldValue(attempt.answerHead.fields, kDeclinedField).has_value()
            || (status >= 400 && status < 500 && status != 429);
    if (isDeclined)
        return failAttempt(call, attempt, {dispatch::AttemptFault::Refused, "declined", {}, true},
                           now);
    if (status < 400)
        return failAttempt(call, attempt, {dispatch::AttemptFault::AnswerLost, "not_genuine"}, now);
    const bool isRejected = status == 429 || status == 503;
    if (call.isStalled(attempt))
        return failAttempt(call, attempt,
                           {isRejected ? dispatch::AttemptFault::Refused
                                       : dispatch::AttemptFault::UpstreamError,
                            "relay_rejected"},
                           now);
    dropAttempt(attempt, isRejected);
    base::logEvent(
            "relay_rejected",
            {{"request", call.requestMetadata.id}, {"by", attempt.upstream}, {"status", status}});
    execute(m_dispatcher.handle(
                    dispatch::RelayRejected{call.id, attempt.answerMetadata.backOff, !isRejected},
                    now),
            now);
}

void Edge::Impl::executeAction(const dispatch::ProbeLink &action, base::TimePoint)
{
    const base::ServiceId &service = action.upstream.service;
    const auto &services = m_routeTable->configuration().services;
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&service](const auto &it) { return it.id == service; });
    gateway::Call request;
    request.upstream = action.upstream.id;
    request.to = action.upstream.address;
    request.head = {"GET",
                    found == services.end() || found->healthPath.empty() ? "/" : found->healthPath,
                    {{"Host", "upstream"}}};
    request.connectTimeout = kLinkProbeTimeout;
    request.responseTimeout = kLinkProbeTimeout;
    // A connection that was open before may go on while new ones fail.
    request.canReuseConnection = false;
    request.maxIdleConnections = 0;
    m_linkProbes[m_client.start(std::move(request))] = service;
}

bool Edge::Impl::endLinkProbe(gateway::CallId id, bool isAnswered)
{
    const auto probe = m_linkProbes.find(id);
    if (probe == m_linkProbes.end())
        return false;
    const dispatch::LinkProbed event{probe->second, isAnswered};
    m_linkProbes.erase(probe);
    if (isAnswered)
        m_client.cancel(id);
    const base::TimePoint now = base::monotonicNow();
    execute(m_dispatcher.handle(event, now), now);
    scheduleTick(now);
    return true;
}

void Edge::Impl::executeAction(const dispatch::LinksChanged &action, base::TimePoint)
{
    if (action.isLost)
        m_metrics->count("hyssop_link_losses_total");
    base::logEvent(action.isLost ? "links_lost" : "links_restored",
                   {{"service", action.service},
                    {"failed_upstreams", action.failedUpstreams},
                    {"upstreams", action.upstreams}});
}

} // namespace hyssop::edge
