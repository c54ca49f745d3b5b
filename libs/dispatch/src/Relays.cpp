// Links to upstreams that this host has lost, and calls that it relays to other entry hosts.

#include "DispatcherImpl.h"

namespace hyssop::dispatch {

namespace {

/// Attempts of one call that reached no upstream before it is relayed.
constexpr int kUnsentBeforeRelay = 2;
/// Entry hosts that one call is relayed to at most. Those that have not noticed yet that they are
/// cut off too decline it.
constexpr std::size_t kMaxRelays = 6;
/// When so many declined a call, they reach no upstream either, and no calls of the service are
/// relayed for this time.
constexpr base::Millis kRelayPause{500};
/// No relay is made with less time than this left.
constexpr base::Millis kMinRelayTime{30};

} // namespace

void Dispatcher::Impl::recordLinkFailure(const ActiveCall &call, const UpstreamState &upstream,
                                         base::TimePoint now)
{
    ServiceState &service = serviceOf(upstream.info().service);
    const std::size_t upstreamCount = service.upstreams.size();
    const bool isLost = service.links.recordFailure(upstream.info().id, upstreamCount,
                                                    call.current.sentAt, now);
    m_actions.emplace_back(LinkFailed{call.info.id, upstream.info().service, upstream.info().id,
                                      service.links.failedUpstreams(),
                                      LinkMonitor::neededFailures(upstreamCount)});
    if (!isLost)
        return;
    m_actions.emplace_back(LinksChanged{upstream.info().service, true,
                                        service.links.failedUpstreams(), service.upstreams.size()});
    probeLinks(now);
}

void Dispatcher::Impl::recordLinkAnswer(const ActiveCall &call, base::TimePoint now)
{
    if (call.current.relay)
        return;
    ServiceState &service = serviceOf(call.info.service);
    if (service.links.recordAnswer(call.current.upstream, call.current.sentAt))
        restoreLinks(call.info.service, service, now);
}

void Dispatcher::Impl::restoreLinks(const base::ServiceId &id, ServiceState &service,
                                    base::TimePoint now)
{
    for (UpstreamState *it : service.upstreams)
        it->endEjection();
    m_actions.emplace_back(LinksChanged{id, false, 0, service.upstreams.size()});
    for (const LostAttempts::Start &it : std::exchange(service.refusedWithoutLinks, {})) {
        const UpstreamState *upstream = findUpstream(it.first);
        m_lostAttempts.discardProbe(it);
        if (upstream && upstream->info().incarnation == it.second
            && m_lostAttempts.beginProbe(it, now))
            m_actions.emplace_back(ProbeUpstream{upstream->info()});
    }
}

void Dispatcher::Impl::probeLinks(base::TimePoint now)
{
    for (auto &[id, service] : m_services) {
        if (now < service.links.nextProbeAt() || service.upstreams.empty())
            continue;
        service.links.beginProbe(now);
        std::vector<const UpstreamState *> candidates;
        for (const UpstreamState *it : service.upstreams) {
            if (!m_gate.checkHard(*it, {nullptr, SendKind::Probe}, now))
                candidates.push_back(it);
        }
        if (candidates.empty()) {
            service.links.endProbe(false);
            continue;
        }
        m_actions.emplace_back(ProbeLink{candidates[m_rng() % candidates.size()]->info()});
    }
}

void Dispatcher::Impl::handle(const LinkProbed &event, base::TimePoint now)
{
    ServiceState &service = serviceOf(event.service);
    if (service.links.endProbe(event.isAnswered))
        restoreLinks(event.service, service, now);
}

void Dispatcher::Impl::handle(const RelayPeersChanged &event, base::TimePoint)
{
    m_relayPeers.set(event.peers);
}

bool Dispatcher::Impl::relayIfCutOff(ActiveCall &call, ServiceState &service, base::TimePoint now)
{
    const bool isLost = service.links.isLost();
    if ((!isLost && call.unsentAttempts < kUnsentBeforeRelay) || call.info.isRelayed
        || now < service.relaysPausedUntil || call.triedRelays.size() >= kMaxRelays
        || call.info.deadline - now < kMinRelayTime)
        return false;
    const auto isInside = [&](const base::DataCentreId &dataCentre) {
        return isAllowed(m_options.regions, call.info.allowedRegions, dataCentre);
    };
    const auto peer =
            m_relayPeers.choose(call.info.service, call.triedRelays, isInside, m_rng, now);
    if (!peer)
        return false;
    if (acquireStallRetry(call, now))
        sendRelay(call, *peer, isLost ? RelayReason::LinksLost : RelayReason::NotSent, now);
    return true;
}

void Dispatcher::Impl::sendRelay(ActiveCall &call, const base::Endpoint &peer, RelayReason reason,
                                 base::TimePoint now)
{
    m_queue.erase({call.info.priority, call.info.id});
    endTrial(call);
    // The other host reports its prefill.
    withdrawPermit(call);
    RelayCall action;
    action.call = call.info.id;
    action.peer = peer;
    action.reason = reason;
    action.timeLeft = std::chrono::floor<base::Millis>(call.info.deadline - now);
    // If the answer of the other host gets lost, it may have used all that it was given, so one
    // attempt is kept back for this host.
    action.attemptsLeft = std::max(1, call.info.maxAttempts - call.attempts - 1);
    action.isResume = call.hasForwardedEvents;
    call.attempts += action.attemptsLeft;
    if (call.countedAt)
        serviceOf(call.info.service).retryBudget->withdrawCall(*call.countedAt);
    call.countedAt.reset();
    call.isCountedElsewhere = true;
    call.current.relayedAttempts = action.attemptsLeft;
    call.stage = CallStage::Sent;
    call.current.relay = peer;
    call.triedRelays.push_back(peer);
    call.current.upstream = {};
    call.current.prefillEngines.clear();
    call.current.sentAt = now;
    call.current.firstEventAt = {};
    call.current.isProven = false;
    call.current.expectedFirstEvent = base::Millis(0);
    call.progressDeadline = call.promptClass == PromptClass::Long
                                    ? call.info.deadline
                                    : now + firstEventTimeout(call) + kRelayQueueTime;
    m_actions.emplace_back(action);
}

void Dispatcher::Impl::handleRelayFailure(ActiveCall &call, AttemptFault fault, base::TimePoint now)
{
    const CallId id = call.info.id;
    if (fault != AttemptFault::UpstreamError)
        m_relayPeers.recordDeclined(*call.current.relay, now);
    const int relayedAttempts = call.current.relayedAttempts;
    releaseAttempt(call, now);
    if (provesNotRun(fault)) {
        call.attempts -= relayedAttempts;
        call.isCountedElsewhere = false;
        if (call.triedRelays.size() < kMaxRelays && call.info.deadline - now >= kMinRelayTime) {
            m_actions.emplace_back(RetryScheduled{id, fault});
            return enqueue(call, now);
        }
        if (call.triedRelays.size() >= kMaxRelays)
            serviceOf(call.info.service).relaysPausedUntil = now + kRelayPause;
        return rejectOrFail(call, FailureReason::Unreachable, now);
    }
    call.mayHaveRun = true;
    if (acquireRetry(call, fault, now)) {
        m_actions.emplace_back(RetryScheduled{id, fault});
        return enqueue(call, now);
    }
    if (fault == AttemptFault::UpstreamError)
        return forwardOrFail(call, now);
    rejectOrFail(call, FailureReason::UpstreamLost, now);
}

void Dispatcher::Impl::handle(const RelayRejected &event, base::TimePoint now)
{
    ActiveCall *call = findCall(event.call);
    if (!call || !call->current.relay)
        return;
    releaseAttempt(*call, now);
    call->mayHaveRun = call->mayHaveRun || event.mayHaveRun;
    call->statedRetryAfter = event.retryAfter;
    // The other host may have been given fewer attempts than the call has left.
    if (event.mayHaveRun && acquireRetry(*call, AttemptFault::AnswerLost, now)) {
        m_actions.emplace_back(RetryScheduled{event.call, AttemptFault::AnswerLost});
        return enqueue(*call, now);
    }
    rejectOrFail(*call, event.mayHaveRun ? FailureReason::UpstreamLost : FailureReason::Overloaded,
                 now);
}

} // namespace hyssop::dispatch
