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
/// Silence of an upstream that raises a doubt about the links, beyond the expected time to the
/// first event of a stream.
constexpr base::Millis kMaxSilence{400};
constexpr base::Millis kMinSilence{150};
/// The same for plain services, as a multiple of their objective.
constexpr int kSilenceObjectives = 2;
/// Silence beyond the pauses that a stream may make.
constexpr base::Millis kGapMargin{200};
/// A stall is no sign of lost links while other upstreams of the service sent something within
/// this.
constexpr base::Millis kRecentlyHeard{300};
/// After this time without a sign of any upstream, a call that may be sent only once waits until
/// the links were checked.
constexpr base::Millis kRecheckIdle{1'000};

} // namespace

void Dispatcher::Impl::recordLinkFailure(const ActiveCall &call, const UpstreamState &upstream,
                                         AttemptFault fault, base::TimePoint now)
{
    const base::ServiceId id = upstream.info().service;
    ServiceState &service = serviceOf(id);
    const std::size_t upstreamCount = service.upstreams.size();
    const bool isLost = service.links.recordFailure(upstream.info().id, upstreamCount,
                                                    call.current.sentAt, now);
    m_actions.emplace_back(LinkFailed{call.info.id, id, upstream.info().id,
                                      service.links.failedUpstreams(),
                                      LinkMonitor::neededFailures(upstreamCount)});
    if (isLost) {
        reportLostLinks(id, service, now);
        return probeLinks(now);
    }
    const bool isOthersHeard = now < service.links.heardAt() + kRecentlyHeard;
    if (fault != AttemptFault::Stalled || !isOthersHeard)
        checkLinks(id, service, LinkDoubt::Failure, now);
}

void Dispatcher::Impl::reportLostLinks(const base::ServiceId &id, ServiceState &service,
                                       base::TimePoint now)
{
    m_actions.emplace_back(
            LinksChanged{id, true, service.links.failedUpstreams(), service.upstreams.size()});
    // What is silent already need not be so for as long as at a sound link.
    for (auto &[callId, call] : m_calls) {
        if (call.info.service == id && call.stage == CallStage::Sent && !call.current.relay
            && !call.current.isPaused)
            call.progressDeadline = std::min(call.progressDeadline,
                                             std::max(call.current.sentAt, call.lastProgressAt)
                                                     + silenceLimit(call));
    }
    doubtOtherServices(id, now);
}

void Dispatcher::Impl::doubtOtherServices(const base::ServiceId &id, base::TimePoint now)
{
    for (auto &[otherId, other] : m_services) {
        if (otherId != id)
            checkLinks(otherId, other, LinkDoubt::OtherService, now);
    }
}

void Dispatcher::Impl::recordLinkAnswer(const ActiveCall &call, base::TimePoint now)
{
    if (call.current.relay)
        return;
    ServiceState &service = serviceOf(call.info.service);
    m_heardAt = now;
    service.links.hear(now);
    if (service.links.recordAnswer(call.current.upstream, call.current.sentAt))
        restoreLinks(call.info.service, service);
    reprobeRefused(service, now);
}

void Dispatcher::Impl::restoreLinks(const base::ServiceId &id, ServiceState &service)
{
    for (UpstreamState *it : service.upstreams)
        it->endEjection();
    m_actions.emplace_back(LinksChanged{id, false, 0, service.upstreams.size()});
}

void Dispatcher::Impl::reprobeRefused(ServiceState &service, base::TimePoint now)
{
    if (service.links.isLost() || service.links.isChecking())
        return;
    for (const LostAttempts::Start &it : std::exchange(service.refusedWithoutLinks, {})) {
        const UpstreamState *upstream = findUpstream(it.first);
        m_lostAttempts.discardProbe(it);
        if (upstream && upstream->info().incarnation == it.second
            && m_lostAttempts.beginProbe(it, now))
            m_actions.emplace_back(ProbeUpstream{upstream->info()});
    }
}

bool Dispatcher::Impl::checkLinks(const base::ServiceId &id, ServiceState &service, LinkDoubt doubt,
                                  base::TimePoint now)
{
    if (m_relayPeers.isEmpty() || service.upstreams.empty())
        return false;
    if (service.links.beginCheck(now)) {
        const base::TimePoint heardAt = service.links.heardAt();
        m_actions.emplace_back(LinksDoubted{
                id, doubt,
                heardAt == base::TimePoint() ? base::Millis(0)
                                             : std::chrono::floor<base::Millis>(now - heardAt)});
        probeLink(service, now);
    }
    return service.links.isChecking();
}

void Dispatcher::Impl::probeLinks(base::TimePoint now)
{
    for (auto &[id, service] : m_services) {
        const std::size_t upstreamCount = service.upstreams.size();
        if (upstreamCount == 0)
            continue;
        const std::size_t dueProbes = service.links.dueProbes(upstreamCount, now);
        for (std::size_t n = 0; n < dueProbes; ++n)
            probeLink(service, now);
        // The first probe of the check had no answer. All services share the links of this host.
        if (dueProbes > 0 && service.links.isChecking())
            doubtOtherServices(id, now);
        if (service.links.endCheck(upstreamCount, now)) {
            reportLostLinks(id, service, now);
            probeLink(service, now);
        }
    }
}

void Dispatcher::Impl::probeLink(ServiceState &service, base::TimePoint now)
{
    const SendScope scope{nullptr, SendKind::Probe};
    std::vector<const UpstreamState *> candidates;
    std::vector<const UpstreamState *> preferred;
    for (const UpstreamState *it : service.upstreams) {
        if (service.links.isProbed(it->info().id) || m_gate.checkHard(*it, scope, now))
            continue;
        candidates.push_back(it);
        if (m_gate.maySend(*it, scope, now) && !it->isRateLimited())
            preferred.push_back(it);
    }
    if (!preferred.empty())
        candidates = std::move(preferred);
    if (candidates.empty())
        return service.links.skipProbe(now);
    const fleet::Upstream &upstream = candidates[m_rng() % candidates.size()]->info();
    service.links.beginProbe(upstream.id, now);
    m_actions.emplace_back(ProbeLink{upstream});
}

void Dispatcher::Impl::handle(const LinkProbed &event, base::TimePoint now)
{
    ServiceState &service = serviceOf(event.service);
    if (event.isAnswered)
        m_heardAt = now;
    if (service.links.endProbe(event.upstream, event.isAnswered, now))
        restoreLinks(event.service, service);
    reprobeRefused(service, now);
    if (service.links.isChecking())
        probeLinks(now);
}

base::Millis Dispatcher::Impl::silenceLimit(const ActiveCall &call)
{
    if (call.hasForwardedEvents)
        return std::max(kMaxSilence, call.info.gapObjective + kGapMargin);
    if (call.info.isStream)
        return kMaxSilence + call.current.expectedFirstEvent;
    return std::clamp(call.info.latencyObjective * kSilenceObjectives, kMinSilence, kMaxSilence);
}

base::TimePoint Dispatcher::Impl::doubtAt(const ActiveCall &call) const
{
    const auto service = m_services.find(call.info.service);
    if (call.stage != CallStage::Sent || call.current.relay || call.current.isPaused
        || m_relayPeers.isEmpty() || service == m_services.end()
        || service->second.upstreams.empty())
        return base::TimePoint::max();
    const LinkMonitor &links = service->second.links;
    return std::max(links.nextCheckAt(),
                    std::max({call.current.sentAt, call.lastProgressAt, links.heardAt()})
                            + silenceLimit(call));
}

bool Dispatcher::Impl::isLastChance(const ActiveCall &call)
{
    return !call.info.isRetrySafe || call.info.isRelayed
           || call.attempts + 1 >= call.info.maxAttempts;
}

bool Dispatcher::Impl::areRelaysDeclined(const ActiveCall &call, const ServiceState &service,
                                         base::TimePoint now)
{
    return call.triedRelays.size() >= kMaxRelays || now < service.relaysPausedUntil;
}

bool Dispatcher::Impl::needsSoundLinks(const ActiveCall &call)
{
    return isLastChance(call) || call.triedRelays.size() >= kMaxRelays;
}

bool Dispatcher::Impl::mustAwaitLinkCheck(const ActiveCall &call, ServiceState &service,
                                          base::TimePoint now)
{
    if (service.upstreams.empty())
        return false;
    if (service.links.isLost())
        return areRelaysDeclined(call, service, now) && needsSoundLinks(call)
               && !service.links.isLossConfirmed();
    // A call that is not sent for want of a connection goes on to the next upstream.
    if (!isLastChance(call) || call.unsentAttempts > 0)
        return false;
    if (service.links.isChecking())
        return true;
    const bool isIdle = now >= std::max(m_heardAt, service.links.heardAt()) + kRecheckIdle;
    return isIdle && checkLinks(call.info.service, service, LinkDoubt::Idle, now);
}

bool Dispatcher::Impl::rejectIfCutOff(ActiveCall &call, const ServiceState &service,
                                      base::TimePoint now)
{
    // The host that relayed a call knows others. What no other host reaches either is slow or down
    // for all, and gets the calls as if there were no other host.
    const bool isLost = call.info.isRelayed ? service.links.isLost()
                                            : service.links.isLossConfirmed()
                                                      && areRelaysDeclined(call, service, now);
    if (!isLost || !needsSoundLinks(call))
        return false;
    rejectOrFail(call, FailureReason::Unreachable, now);
    return true;
}

void Dispatcher::Impl::handle(const RelayPeersChanged &event, base::TimePoint)
{
    m_relayPeers.set(event.peers);
}

bool Dispatcher::Impl::relayIfCutOff(ActiveCall &call, ServiceState &service, base::TimePoint now)
{
    const bool isLost = service.links.isLost();
    if ((!isLost && call.unsentAttempts < kUnsentBeforeRelay) || call.info.isRelayed
        || areRelaysDeclined(call, service, now) || call.info.deadline - now < kMinRelayTime)
        return false;
    const auto isInside = [&](const base::DataCentreId &dataCentre) {
        return isAllowed(m_options.regions, call.info.allowedRegions, dataCentre);
    };
    const auto peer =
            m_relayPeers.choose(call.info.service, call.triedRelays, isInside, m_rng, now);
    if (!peer)
        return false;
    // What was sent over lost links reached no upstream, so that the relay repeats nothing there.
    if (const auto fault = call.pendingRetry; isLost && fault) {
        call.pendingRetry.reset();
        m_actions.emplace_back(RetryScheduled{call.info.id, *fault});
    }
    if (acquirePendingRetry(call, now))
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
        if (call.triedRelays.size() >= kMaxRelays)
            serviceOf(call.info.service).relaysPausedUntil = now + kRelayPause;
        if (call.info.deadline - now < kMinRelayTime)
            return rejectOrFail(call, FailureReason::Unreachable, now);
        m_actions.emplace_back(RetryScheduled{id, fault});
        return enqueue(call, now);
    }
    call.mayHaveRun = true;
    if (acquireRetry(call, fault, now))
        return scheduleRetry(call, fault, now);
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
    if (event.mayHaveRun && acquireRetry(*call, AttemptFault::AnswerLost, now))
        return scheduleRetry(*call, AttemptFault::AnswerLost, now);
    rejectOrFail(*call, event.mayHaveRun ? FailureReason::UpstreamLost : FailureReason::Overloaded,
                 now);
}

} // namespace hyssop::dispatch
