// Calls that entry hosts which reach no upstream relay to others.

#include "EdgeImpl.h"

#include <algorithm>

namespace hyssop::edge {

namespace {

/// In relayed calls: the terms of the relay.
constexpr auto kTermsField = "Hyssop-Attempts-Left";
constexpr base::Millis kRelayConnectTimeout{200};
constexpr base::Millis kLinkProbeTimeout{600};
/// Idle connections kept to each of the other entry hosts.
constexpr std::size_t kMaxIdleRelayConnections = 16;

} // namespace

void removeRelayFields(gateway::Fields &fields)
{
    std::erase_if(fields, [](const gateway::Field &it) {
        return gateway::equalsIgnoreCase(it.name, kTermsField)
               || gateway::equalsIgnoreCase(it.name, kDeclinedField);
    });
}

void Edge::Impl::setRelayPeers(const fleet::WatchReply &reply, base::TimePoint now)
{
    if (m_options.relayPort == 0)
        return;
    dispatch::RelayPeersChanged event;
    for (const auto *peers : {&*reply.loadPeers, &reply.distantPeers}) {
        for (const fleet::LoadPeer &it : *peers)
            event.peers.push_back({{it.address.address, m_options.relayPort}, it.dataCentre});
    }
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
    request.head.fields.push_back({kTermsField, encodeRelayTerms({action.attemptsLeft, true})});
    request.body = call.body;
    request.echoFieldName = m_protocol->echoFieldName();
    request.connectTimeout = std::min(kRelayConnectTimeout, action.timeLeft);
    // A kept-alive connection may close during a request, which then must not be sent again.
    // Without an id, its answer can't be told from that to another call.
    request.canReuseConnection = (call.isStream || call.exchange->head().method == "GET")
                                 && !call.requestMetadata.id.isEmpty();
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
    const RelayTerms terms = decodeRelayTerms(
            gateway::fieldValue(exchange->head().fields, kTermsField).value_or(""));
    m_metrics->count("hyssop_taken_over_calls_total");
    base::logEvent("call_taken_over", {{"request", id}, {"attempts_left", terms.attemptsLeft}});
    if (const auto refusal = admit(exchange, *std::move(metadata), terms, now))
        refuse(*exchange, id, *refusal, true, now);
    scheduleTick(now);
}

void Edge::Impl::onRelayHead(EdgeCall &call, EdgeAttempt &attempt, base::TimePoint now)
{
    const RelayAnswer answer = classifyRelayAnswer(attempt.answerHead, attempt.answerMetadata);
    switch (answer) {
    case RelayAnswer::Answer:
        return;
    case RelayAnswer::Declined:
        return failAttempt(call, attempt, {dispatch::AttemptFault::Refused, "declined", {}, true},
                           now);
    case RelayAnswer::NotGenuine:
        return failAttempt(call, attempt, {dispatch::AttemptFault::AnswerLost, "not_genuine"}, now);
    case RelayAnswer::Rejected:
    case RelayAnswer::Failed:
        break;
    }
    const bool isRejected = answer == RelayAnswer::Rejected;
    if (call.isStalled(attempt))
        return failAttempt(call, attempt,
                           {isRejected ? dispatch::AttemptFault::Refused
                                       : dispatch::AttemptFault::UpstreamError,
                            "relay_rejected"},
                           now);
    dropAttempt(attempt, isRejected);
    base::logEvent("relay_rejected", {{"request", call.requestMetadata.id},
                                      {"by", attempt.upstream},
                                      {"status", attempt.answerHead.status}});
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
    m_metrics->count("hyssop_link_probes_total");
    m_linkProbes[m_client.start(std::move(request))] = {service, action.upstream.id};
}

bool Edge::Impl::endLinkProbe(gateway::CallId id, bool isAnswered)
{
    const auto probe = m_linkProbes.find(id);
    if (probe == m_linkProbes.end())
        return false;
    const dispatch::LinkProbed event{probe->second.service, isAnswered, probe->second.upstream};
    m_linkProbes.erase(probe);
    if (isAnswered)
        m_client.cancel(id);
    const base::TimePoint now = base::monotonicNow();
    execute(m_dispatcher.handle(event, now), now);
    scheduleTick(now);
    return true;
}

void Edge::Impl::executeAction(const dispatch::LinkFailed &action, base::TimePoint)
{
    base::logEvent("link_failed", {{"request", findCall(action.call)->requestMetadata.id},
                                   {"service", action.service},
                                   {"upstream", action.upstream},
                                   {"failed_upstreams", action.failedUpstreams},
                                   {"needed", action.neededUpstreams}});
}

void Edge::Impl::executeAction(const dispatch::LinksDoubted &action, base::TimePoint)
{
    const auto doubt = dispatch::linkDoubtName(action.doubt);
    m_metrics->count("hyssop_link_checks_total", {{"reason", std::string(doubt)}});
    base::logEvent("links_doubted", {{"service", action.service},
                                     {"reason", doubt},
                                     {"silent_ms", action.silence.count()}});
}

void Edge::Impl::executeAction(const dispatch::LinksChanged &action, base::TimePoint)
{
    // Others must not relay calls of this service to here.
    if (m_loadChannel.hasPeers())
        scheduleLoadUpdate();
    if (action.isLost)
        m_metrics->count("hyssop_link_losses_total");
    base::logEvent(action.isLost ? "links_lost" : "links_restored",
                   {{"service", action.service},
                    {"failed_upstreams", action.failedUpstreams},
                    {"upstreams", action.upstreams}});
}

} // namespace hyssop::edge
