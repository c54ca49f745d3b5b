#include "DispatcherImpl.h"
#include "rules/BackOffRule.h"
#include "rules/ColdRule.h"
#include "rules/EjectedRule.h"
#include "rules/EvacuatedRule.h"
#include "rules/LeavingRule.h"
#include "rules/RegionRule.h"
#include "rules/UnreachableRule.h"

#include <algorithm>
#include <cassert>

namespace hyssop::dispatch {

namespace {

/// Capacity can become free without an event, as when an ejection or a call of another host ends.
constexpr base::Millis kQueueRecheckInterval{40};
/// Sums arrive each half second. After this time without one, no control host is in reach, and what
/// the last one said of distant hosts is over.
constexpr base::Millis kDistantLoadLifetime{3'500};

} // namespace

std::string_view failureReasonName(FailureReason reason)
{
    switch (reason) {
    case FailureReason::NoUpstream:
        return "no_upstream";
    case FailureReason::TooLarge:
        return "too_large";
    case FailureReason::Overloaded:
        return "overloaded";
    case FailureReason::UpstreamRefused:
        return "upstream_refused";
    case FailureReason::UpstreamLost:
        return "upstream_lost";
    case FailureReason::DeadlineExceeded:
        return "out_of_time";
    case FailureReason::Stopping:
        return "stopping";
    case FailureReason::Quarantined:
        return "quarantined";
    case FailureReason::Unreachable:
        return "unreachable";
    case FailureReason::Evacuated:
        return "evacuated";
    case FailureReason::OutsideRegions:
        return "outside_regions";
    }
    return "unknown";
}

std::string_view queueBlockerName(QueueBlocker blocker)
{
    switch (blocker) {
    case QueueBlocker::None:
        return "";
    case QueueBlocker::Capacity:
        return "capacity";
    case QueueBlocker::Permit:
        return "permit";
    case QueueBlocker::Engines:
        return "engines";
    case QueueBlocker::Memory:
        return "memory";
    case QueueBlocker::Reservation:
        return "reservation";
    case QueueBlocker::RateLimit:
        return "rate_limit";
    case QueueBlocker::BackOff:
        return "back_off";
    case QueueBlocker::Trial:
        return "trial";
    case QueueBlocker::Evacuated:
        return "evacuated";
    case QueueBlocker::OutsideRegions:
        return "outside_regions";
    case QueueBlocker::Cold:
        return "cold";
    }
    return "unknown";
}

std::string_view attemptFaultName(AttemptFault fault)
{
    switch (fault) {
    case AttemptFault::NotSent:
        return "not_sent";
    case AttemptFault::Refused:
        return "refused";
    case AttemptFault::Misdirected:
        return "misdirected";
    case AttemptFault::AnswerLost:
        return "lost";
    case AttemptFault::UpstreamError:
        return "failed";
    case AttemptFault::Stalled:
        return "stalled";
    }
    return "unknown";
}

bool provesNotRun(AttemptFault fault)
{
    return fault == AttemptFault::NotSent || fault == AttemptFault::Refused
           || fault == AttemptFault::Misdirected;
}

std::string_view relayReasonName(RelayReason reason)
{
    switch (reason) {
    case RelayReason::LinksLost:
        return "links_lost";
    case RelayReason::NotSent:
        return "not_sent";
    }
    return "unknown";
}

std::string_view linkDoubtName(LinkDoubt doubt)
{
    switch (doubt) {
    case LinkDoubt::Failure:
        return "failure";
    case LinkDoubt::Silence:
        return "silence";
    case LinkDoubt::Idle:
        return "idle";
    case LinkDoubt::OtherService:
        return "other_service";
    }
    return "unknown";
}

std::string_view rateLimitSourceName(RateLimitSource source)
{
    switch (source) {
    case RateLimitSource::Answer:
        return "answer";
    case RateLimitSource::Control:
        return "control";
    case RateLimitSource::Restart:
        return "restart";
    }
    return "unknown";
}

Dispatcher::Impl::Impl(DispatcherOptions options)
    : m_options(std::move(options))
    , m_rng(m_options.seed)
    , m_coldShares(m_options.host)
{
    m_gate.add(std::make_unique<LeavingRule>());
    m_gate.add(std::make_unique<EvacuatedRule>(&m_evacuations));
    m_gate.add(std::make_unique<RegionRule>(m_options.regions));
    m_gate.add(std::make_unique<BackOffRule>());
    m_gate.add(std::make_unique<ColdRule>(&m_coldShares));
    m_gate.add(std::make_unique<EjectedRule>());
    m_gate.add(std::make_unique<UnreachableRule>(&m_reachability, m_options.dataCentre));
}

ServiceState &Dispatcher::Impl::serviceOf(const base::ServiceId &id)
{
    ServiceState &service = m_services[id];
    if (!service.retryBudget) {
        service.parameters.service = id;
        service.retryBudget = std::make_unique<RetryBudget>(
                m_options.retryRatio, m_options.retryAllowance, m_options.retryWindow);
    }
    return service;
}

ActiveCall *Dispatcher::Impl::findCall(CallId id)
{
    const auto it = m_calls.find(id);
    return it == m_calls.end() ? nullptr : &it->second;
}

UpstreamState *Dispatcher::Impl::findUpstream(const base::UpstreamId &id)
{
    const auto it = m_upstreams.find(id);
    return it == m_upstreams.end() ? nullptr : it->second.get();
}

void Dispatcher::Impl::handle(const CallArrived &event, base::TimePoint now)
{
    assert(!findCall(event.call.id) && "duplicate call id");
    ActiveCall &call = m_calls[event.call.id];
    call.info = event.call;
    call.queuedAt = now;
    if (!m_distantLoads.empty() && now >= m_distantLoadsAt + kDistantLoadLifetime)
        setDistantLoads({}, false, now);
    ServiceState &service = serviceOf(call.info.service);
    classifyPrompt(call, service, now);
    if (service.upstreams.empty())
        return rejectOrFail(call, FailureReason::NoUpstream, now);
    if (isUnservable(call, service, now))
        return rejectOrFail(call, FailureReason::TooLarge, now);
    enqueue(call, now);
    prefetchSendGrant(service, now);
}

void Dispatcher::Impl::handle(const CallerDisconnected &event, base::TimePoint now)
{
    ActiveCall *call = findCall(event.call);
    if (!call)
        return;
    if (call->stage == CallStage::Sent)
        m_actions.emplace_back(CancelAttempt{event.call});
    if (call->stage != CallStage::Queued)
        releaseAttempt(*call, now);
    removeCall(event.call, now);
}

void Dispatcher::Impl::handle(const UpstreamUpdated &event, base::TimePoint now)
{
    const auto it = m_upstreams.find(event.upstream.id);
    if (it != m_upstreams.end()) {
        const bool isSameService = it->second->info().service == event.upstream.service;
        if (event.upstream.incarnation != it->second->info().incarnation)
            m_backOffs.erase(event.upstream.id);
        it->second->setInfo(event.upstream);
        const base::Incarnation incarnation = event.upstream.incarnation;
        reportCrashesBefore(event.upstream, now);
        if (incarnation > it->second->rateLimit().incarnation)
            updateRateLimit(*it->second, {incarnation, fleet::kUnlimitedRate, now, now},
                            RateLimitSource::Restart, now);
        it->second->setColdUntil(now + event.upstream.coldRemaining);
        if (isSameService)
            return;
    } else {
        auto &state = m_upstreams[event.upstream.id];
        state = std::make_unique<UpstreamState>(event.upstream);
        state->setColdUntil(now + event.upstream.coldRemaining);
        restoreBackOff(*state, now);
        restoreLoad(*state, now);
        reportCrashesBefore(event.upstream, now);
    }
    m_areServicesOutdated = true;
    if (m_heardAt == base::TimePoint())
        m_heardAt = now;
}

void Dispatcher::Impl::restoreLoad(UpstreamState &state, base::TimePoint now)
{
    const base::UpstreamId &id = state.info().id;
    for (const auto &[callId, call] : m_calls) {
        for (const Attempt *attempt : {&call.current, call.stalled ? &*call.stalled : nullptr}) {
            if (!attempt)
                continue;
            if (attempt->upstream == id)
                state.addRequest(attempt->primaryKvTokens, call.promptClass == PromptClass::Short);
            for (const auto &[helper, kv] : attempt->reservations) {
                if (helper == id)
                    state.addKvTokens(kv);
            }
            if (attempt->partPrefillMs > 0 && contains(attempt->prefillEngines, id))
                state.addPrefill(attempt->partPrefillMs, now);
        }
    }
    if (state.requests() > 0 || state.prefillBacklogMs(now) > 0)
        m_changedUpstreams.insert(id);
    state.setPeerLoad(peerLoadAt(id), now);
}

void Dispatcher::Impl::handle(const UpstreamRemoved &event, base::TimePoint)
{
    // Outstanding calls continue until their connections end.
    if (m_upstreams.erase(event.upstream) > 0)
        m_areServicesOutdated = true;
}

void Dispatcher::Impl::updateServices()
{
    if (!std::exchange(m_areServicesOutdated, false))
        return;
    for (auto &[id, service] : m_services)
        service.upstreams.clear();
    for (const auto &[id, state] : m_upstreams)
        serviceOf(state->info().service).upstreams.push_back(state.get());
    for (auto &[id, service] : m_services) {
        std::sort(service.upstreams.begin(), service.upstreams.end(),
                  [](const UpstreamState *a, const UpstreamState *b) {
                      return a->orderKey() < b->orderKey();
                  });
    }
}

void Dispatcher::Impl::handle(const ServicesChanged &event, base::TimePoint)
{
    std::map<base::ServiceId, double> coldBounds;
    for (const ServiceParameters &parameters : event.services) {
        serviceOf(parameters.service).parameters = parameters;
        if (parameters.coldRequests > 0)
            coldBounds[parameters.service] = parameters.coldRequests;
    }
    m_coldShares.setBounds(std::move(coldBounds));
}

fleet::UpstreamLoad Dispatcher::Impl::peerLoadAt(const base::UpstreamId &upstream) const
{
    fleet::UpstreamLoad load = m_peerLoads.totalAt(upstream);
    const auto distant = m_distantLoads.find(upstream);
    if (distant == m_distantLoads.end())
        return load;
    if (!m_distantLoadsIncludePeers)
        return load += distant->second;
    // The sum may be older or newer than what the peers sent.
    const fleet::UpstreamLoad &sum = distant->second;
    load.requests = std::max(load.requests, sum.requests);
    load.kvTokens = std::max(load.kvTokens, sum.kvTokens);
    load.shortRequests = std::max(load.shortRequests, sum.shortRequests);
    load.prefillMs = std::max(load.prefillMs, sum.prefillMs);
    return load;
}

void Dispatcher::Impl::applyPeerLoads(const std::set<base::UpstreamId> &upstreams,
                                      base::TimePoint now)
{
    for (const base::UpstreamId &id : upstreams) {
        if (UpstreamState *state = findUpstream(id))
            state->setPeerLoad(peerLoadAt(id), now);
    }
}

void Dispatcher::Impl::handle(const PeerLoadReceived &event, base::TimePoint now)
{
    applyPeerLoads(m_peerLoads.apply(event.update, now), now);
    applyPeerLoads(m_peerLoads.removeExpired(now), now);
    m_relayPeers.setUnreachable(event.relayAddress, event.update.unreachableServices, now);
}

fleet::LoadUpdate Dispatcher::Impl::takeLoadUpdate(bool isSnapshot)
{
    fleet::LoadUpdate update;
    update.host = m_options.host;
    update.isSnapshot = isSnapshot;
    for (const auto &[id, service] : m_services) {
        if (service.links.isLost())
            update.unreachableServices.push_back(id);
    }
    if (isSnapshot) {
        update.upstreams = ownLoad().upstreams;
        m_changedUpstreams.clear();
        return update;
    }
    for (const base::UpstreamId &id : std::exchange(m_changedUpstreams, {})) {
        const UpstreamState *state = findUpstream(id);
        update.upstreams.push_back(state ? state->ownLoad() : fleet::UpstreamLoad{id, 0, {}, 0, 0});
    }
    return update;
}

void Dispatcher::Impl::handle(const UpstreamLoadReported &event, base::TimePoint)
{
    // The loads that hosts send are newer than those in answer headers.
    if (m_entryHostCount > 1)
        return;
    if (UpstreamState *state = findUpstream(event.upstream))
        state->setReportedLoad(event.running, event.waiting);
}

void Dispatcher::Impl::handle(const PeerLoadSumReceived &event, base::TimePoint now)
{
    m_entryHostCount = event.entryHostCount;
    m_sharingHosts.record(std::max(1, event.entryHostCount), now);
    m_coldShares.setHostCount(m_sharingHosts.current(now));
    applyPeerLoads(m_peerLoads.removeExpired(now), now);
    setDistantLoads(event.load, event.includesPeers, now);
}

void Dispatcher::Impl::setDistantLoads(const fleet::LoadReport &load, bool includesPeers,
                                       base::TimePoint now)
{
    m_distantLoadsAt = now;
    std::set<base::UpstreamId> changed;
    if (std::exchange(m_distantLoadsIncludePeers, includesPeers) != includesPeers) {
        for (const auto &[id, state] : m_upstreams)
            changed.insert(id);
    }
    for (const auto &[id, previous] : std::exchange(m_distantLoads, {}))
        changed.insert(id);
    for (const fleet::UpstreamLoad &it : load.upstreams) {
        m_distantLoads[it.upstream] = it;
        changed.insert(it.upstream);
    }
    applyPeerLoads(changed, now);
}

fleet::LoadReport Dispatcher::Impl::ownLoad() const
{
    fleet::LoadReport report;
    for (const auto &[id, state] : m_upstreams) {
        const fleet::UpstreamLoad &load = state->ownLoad();
        if (load.requests > 0 || load.prefillMs > 0 || load.kvTokens.count() > 0)
            report.upstreams.push_back(state->ownLoad());
    }
    return report;
}

void Dispatcher::Impl::removeCall(CallId id, base::TimePoint now)
{
    const auto it = m_calls.find(id);
    if (it->second.stalled)
        releaseLoad(*it->second.stalled, it->second.promptClass, now);
    releasePermit(it->second, false);
    endTrial(it->second);
    m_queue.erase({it->second.info.priority, id});
    m_calls.erase(it);
}

void Dispatcher::Impl::dispatchQueued(base::TimePoint now)
{
    if (m_queue.empty())
        return;
    updateServices();
    // A call that cannot be placed does not block calls of other services or sizes.
    std::vector<CallId> queuedIds;
    queuedIds.reserve(m_queue.size());
    for (const auto &[key, id] : m_queue)
        queuedIds.push_back(id);
    for (const CallId id : queuedIds) {
        ActiveCall &call = *findCall(id);
        ServiceState &service = serviceOf(call.info.service);
        if (relayIfCutOff(call, service, now) || rejectIfCutOff(call, service, now))
            continue;
        const bool wasWaiting = call.awaitsLinkCheck;
        call.awaitsLinkCheck = mustAwaitLinkCheck(call, service, now);
        if (call.awaitsLinkCheck)
            continue;
        if (wasWaiting)
            call.queuedAt = now;
        requestPermit(call, now);
        if (!mayRun(call, now))
            continue;
        if (const auto placement = place(call, service, now)) {
            if (!acquirePendingRetry(call, now))
                continue;
            m_queue.erase({call.info.priority, id});
            sendAttempt(call, *placement, now);
        } else if (call.blocker == QueueBlocker::RateLimit) {
            waitForSendGrant(call, service, now);
        } else if (call.blocker == QueueBlocker::BackOff || call.blocker == QueueBlocker::Evacuated
                   || call.blocker == QueueBlocker::OutsideRegions
                   || call.blocker == QueueBlocker::Cold) {
            rejectIfRefused(call, service, now);
        }
    }
}

void Dispatcher::Impl::tick(base::TimePoint now)
{
    updateServices();
    probeLinks(now);
    std::vector<CallId> due;
    for (const auto &[id, call] : m_calls) {
        const base::TimePoint dueAt = call.stage == CallStage::Queued
                                              ? queueDeadline(call)
                                              : std::min(call.progressDeadline, call.info.deadline);
        if (now >= dueAt)
            due.push_back(id);
        if (now >= doubtAt(call))
            checkLinks(call.info.service, serviceOf(call.info.service), LinkDoubt::Silence, now);
    }
    for (const CallId id : due) {
        ActiveCall &call = *findCall(id);
        if (call.stage == CallStage::Queued) {
            rejectOrFail(call,
                         call.info.deadline <= now ? FailureReason::DeadlineExceeded
                                                   : FailureReason::Overloaded,
                         now);
        } else if (call.stage == CallStage::Reserving) {
            handle(ReservationDone{id, false}, now);
        } else if (now >= call.info.deadline) {
            m_actions.emplace_back(CancelAttempt{id});
            if (isStalled(call, now))
                recordFault(call, AttemptFault::Stalled, {}, now);
            releaseAttempt(call, now);
            call.mayHaveRun = true;
            rejectOrFail(call, FailureReason::DeadlineExceeded, now);
        } else {
            handleStall(call, now);
        }
    }
}

base::TimePoint Dispatcher::Impl::nextTick() const
{
    base::TimePoint next = base::TimePoint::max();
    for (const auto &[id, call] : m_calls) {
        base::TimePoint dueAt = call.stage == CallStage::Queued
                                        ? queueDeadline(call)
                                        : std::min(call.progressDeadline, call.info.deadline);
        // The steps of a check wake up what waits for it.
        if (call.stage == CallStage::Queued && !call.awaitsLinkCheck)
            dueAt = std::min(dueAt, call.queuedAt + kQueueRecheckInterval);
        next = std::min({next, dueAt, doubtAt(call)});
    }
    for (const auto &[id, service] : m_services) {
        if (!service.upstreams.empty())
            next = std::min(next, service.links.nextStepAt(service.upstreams.size()));
    }
    return next;
}

DispatcherStats Dispatcher::Impl::stats(base::TimePoint now) const
{
    DispatcherStats stats;
    stats.queued = m_queue.size();
    stats.active = m_calls.size() - m_queue.size();
    stats.upstreams = m_upstreams.size();
    stats.ejected = static_cast<std::size_t>(
            std::count_if(m_upstreams.begin(), m_upstreams.end(),
                          [now](const auto &it) { return it.second->isEjected(now); }));
    stats.rateLimited = static_cast<std::size_t>(
            std::count_if(m_upstreams.begin(), m_upstreams.end(), [](const auto &it) {
                return it.second->rateLimit().rate != fleet::kUnlimitedRate;
            }));
    stats.crashSuspects = m_suspects.size();
    for (const auto &[id, state] : m_upstreams) {
        if (const auto refusal = m_gate.check(*state, {}, now))
            ++stats.refused[refusal->reason];
    }
    stats.lostServices = static_cast<std::size_t>(
            std::count_if(m_services.begin(), m_services.end(),
                          [](const auto &it) { return it.second.links.isLost(); }));
    return stats;
}

Dispatcher::Dispatcher(DispatcherOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{ }

Dispatcher::~Dispatcher() = default;

Actions Dispatcher::handle(const Event &event, base::TimePoint now)
{
    // Hundreds of upstreams may be added or removed in succession.
    if (!std::holds_alternative<UpstreamUpdated>(event)
        && !std::holds_alternative<UpstreamRemoved>(event))
        m_impl->updateServices();
    std::visit([&](const auto &it) { m_impl->handle(it, now); }, event);
    m_impl->dispatchQueued(now);
    return m_impl->takeActions();
}

Actions Dispatcher::tick(base::TimePoint now)
{
    m_impl->tick(now);
    m_impl->dispatchQueued(now);
    return m_impl->takeActions();
}

base::TimePoint Dispatcher::nextTick() const
{
    return m_impl->nextTick();
}

DispatcherStats Dispatcher::stats(base::TimePoint now) const
{
    return m_impl->stats(now);
}

fleet::LoadUpdate Dispatcher::takeLoadUpdate(bool isSnapshot)
{
    return m_impl->takeLoadUpdate(isSnapshot);
}

std::vector<fleet::CrashSuspect> Dispatcher::crashSuspects(base::TimePoint now) const
{
    return m_impl->crashSuspects(now);
}

fleet::LoadReport Dispatcher::ownLoad() const
{
    return m_impl->ownLoad();
}

} // namespace hyssop::dispatch
