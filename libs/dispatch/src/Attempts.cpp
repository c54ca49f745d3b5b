// Sending, faults and retries of attempts, and calls that end without an answer.

#include "DispatcherImpl.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// No retry is made with less time than this left.
constexpr base::Millis kMinAttemptTime{30};
/// Time within which engines must answer reservations.
constexpr base::Millis kReservationTimeout{400};
/// Limit for one call on attempts that reached no upstream.
constexpr int kMaxUnsentAttempts = 4;
/// Lower bound of stall timeouts, as engines pause during passes and prefill.
constexpr base::Millis kMinStallTimeout{1'000};
/// Stall timeouts as multiples of the latency objective and of the gap objective.
constexpr int kFirstEventStallFactor = 2;
constexpr int kGapStallFactor = 4;
/// Further multiple of the expected time to the first event.
constexpr int kExpectedTimeStallFactor = 1;
/// Stall timeout of a plain service as a multiple of its objective. Its slowest answers take five
/// times its mean.
constexpr int kPlainStallFactor = 3;
/// Time until a stalled call looks for room again.
constexpr base::Millis kStallRecheckInterval{100};
/// Part of the objective for which a call is queued. After that the caller gains more by trying
/// again later.
constexpr double kMaxQueueShare = 0.5;
constexpr base::Millis kMaxQueueTime{1'500};
/// Tenths of the time until its deadline for which a long prompt is queued. A late answer is worth
/// more than a refusal, and the queued prompt delays no other call.
constexpr int kLongQueueTenths = 4;
/// Fraction of its objective for which an oversized prompt that would block all engines waits until
/// they are idle.
constexpr int kExclusiveQueueDivisor = 8;
/// Retry-After of a rejected call is drawn between this and twice as much.
constexpr base::Millis kMinRetryAfter{400};

} // namespace

void Dispatcher::Impl::sendAttempt(ActiveCall &call, const Placement &placement,
                                   base::TimePoint now)
{
    call.stage = CallStage::Sent;
    ++call.attempts;
    if (!call.countedAt && !call.isCountedElsewhere) {
        serviceOf(call.info.service).retryBudget->recordCall(now);
        call.countedAt = now;
    }
    call.current.upstream = placement.primary->info().id;
    call.current.upstreamIncarnation = placement.primary->info().incarnation;
    call.current.sentAt = now;
    call.current.firstEventAt = {};
    call.current.isProven = false;
    call.triedUpstreams.push_back(call.current.upstream);
    SendAttempt action;
    action.requestsAtUpstream = placement.primary->requests();
    action.isLongPrompt = call.promptClass == PromptClass::Long;
    call.current.primaryKvTokens =
            placement.helperKvTokens.empty() ? call.kvTokens : placement.primaryKvTokens;
    placement.primary->useSendGrant(now);
    placement.primary->addRequest(call.current.primaryKvTokens,
                                  call.promptClass == PromptClass::Short);
    m_changedUpstreams.insert(call.current.upstream);
    action.call = call.info.id;
    action.upstream = placement.primary->info();
    call.current.prefillEngines = {call.current.upstream};
    for (UpstreamState *helper : placement.helpers) {
        const auto reservation = placement.helperKvTokens.find(helper);
        const bool holdsKv = reservation != placement.helperKvTokens.end();
        action.helpers.push_back({helper->info(), holdsKv ? reservation->second : base::Tokens()});
        call.current.prefillEngines.push_back(helper->info().id);
        if (!holdsKv)
            continue;
        helper->addKvTokens(reservation->second);
        call.current.reservations.emplace_back(helper->info().id, reservation->second);
    }
    call.current.partPrefillMs = static_cast<std::int64_t>(
            call.prefillMs / static_cast<double>(call.current.prefillEngines.size()));
    call.current.expectedFirstEvent =
            base::Millis(static_cast<std::int64_t>(placement.expectedFirstEventMs));
    for (const base::UpstreamId &id : call.current.prefillEngines) {
        findUpstream(id)->addPrefill(call.current.partPrefillMs, now);
        findUpstream(id)->recordColdRequest(now);
        m_changedUpstreams.insert(id);
    }
    action.timeLeft = std::chrono::floor<base::Millis>(call.info.deadline - now);
    action.attempt = call.attempts;
    action.isResume = call.hasForwardedEvents;
    if (!call.current.reservations.empty()) {
        call.stage = CallStage::Reserving;
        call.progressDeadline = now + kReservationTimeout;
        m_actions.emplace_back(ReserveMemory{call.info.id, action.helpers});
        call.pendingAttempt = std::move(action);
        return;
    }
    call.progressDeadline = now + firstEventTimeout(call);
    m_actions.emplace_back(std::move(action));
}

void Dispatcher::Impl::requestPermit(ActiveCall &call, base::TimePoint now)
{
    // The host may have been paused, or the prompt may have waited for engines meanwhile.
    if (call.permit == PermitState::Held && now >= call.permitExpiresAt)
        call.permit = PermitState::None;
    if (call.promptClass != PromptClass::Long || call.permit != PermitState::None)
        return;
    call.permit = PermitState::Requested;
    call.usesLocalEngines = !localLongEngines(call, serviceOf(call.info.service), now).empty();
    const auto millisUntil = [now](base::TimePoint at) {
        return std::max(base::Millis(0), std::chrono::floor<base::Millis>(at - now));
    };
    // Prefill takes a few tenths of the objective once it begins.
    const base::TimePoint lateAt = call.info.arrivedAt + call.info.latencyObjective * 4 / 5;
    m_actions.emplace_back(RequestPermit{
            call.info.id, call.info.service, static_cast<std::int64_t>(call.prefillMs),
            millisUntil(queueDeadline(call)), millisUntil(lateAt), call.isOversized,
            call.isOversized && !hasEnginesForTwo(call),
            call.info.latencyObjective / kExclusiveQueueDivisor, call.info.route,
            call.usesLocalEngines ? m_options.dataCentre : base::DataCentreId()});
}

void Dispatcher::Impl::releasePermit(ActiveCall &call, bool isPrefilled)
{
    if (std::exchange(call.isPrefillReported, true))
        return;
    call.permit = PermitState::None;
    m_actions.emplace_back(ReleasePermit{call.info.id, call.info.service, call.info.route,
                                         static_cast<std::int64_t>(call.prefillMs), isPrefilled});
}

void Dispatcher::Impl::withdrawPermit(ActiveCall &call)
{
    call.isPrefillReported = true;
    if (std::exchange(call.permit, PermitState::None) != PermitState::None)
        m_actions.emplace_back(ReleasePermit{call.info.id, call.info.service, call.info.route});
}

void Dispatcher::Impl::handle(const PermitGranted &event, base::TimePoint now)
{
    ActiveCall *call = findCall(event.call);
    if (!call || call->permit != PermitState::Requested)
        return;
    call->permit = PermitState::Held;
    call->permitExpiresAt =
            now - event.age + fleet::permitLifetime(static_cast<std::int64_t>(call->prefillMs));
}

void Dispatcher::Impl::handle(const PermitDenied &event, base::TimePoint now)
{
    ActiveCall *call = findCall(event.call);
    if (!call || call->stage != CallStage::Queued || call->permit != PermitState::Requested)
        return;
    call->blocker = QueueBlocker::Permit;
    rejectOrFail(*call, FailureReason::Overloaded, now);
}

void Dispatcher::Impl::endPrefill(ActiveCall &call, bool isPrefilled, base::TimePoint now)
{
    releasePermit(call, isPrefilled);
    releasePrefill(call.current, now);
}

void Dispatcher::Impl::releasePrefill(Attempt &attempt, base::TimePoint now)
{
    const std::int64_t partPrefillMs = std::exchange(attempt.partPrefillMs, 0);
    if (partPrefillMs == 0)
        return;
    for (const base::UpstreamId &id : attempt.prefillEngines) {
        if (UpstreamState *state = findUpstream(id))
            state->addPrefill(-partPrefillMs, now);
        m_changedUpstreams.insert(id);
    }
}

void Dispatcher::Impl::handle(const ReservationDone &event, base::TimePoint now)
{
    ActiveCall *call = findCall(event.call);
    if (!call || call->stage != CallStage::Reserving)
        return;
    // After a pause of this host the first reservations may have expired.
    if (!event.isReserved || now >= call->progressDeadline) {
        // The call itself was not sent.
        releaseAttempt(*call, now);
        --call->attempts;
        call->blocker = QueueBlocker::Reservation;
        return rejectOrFail(*call, FailureReason::Overloaded, now);
    }
    if (!maySendReserved(*call, now)) {
        withdrawPermit(*call);
        releaseAttempt(*call, now);
        --call->attempts;
        return enqueue(*call, now);
    }
    SendAttempt action = *std::exchange(call->pendingAttempt, std::nullopt);
    action.timeLeft = std::chrono::floor<base::Millis>(call->info.deadline - now);
    call->stage = CallStage::Sent;
    call->current.sentAt = now;
    call->progressDeadline = now + firstEventTimeout(*call);
    m_actions.emplace_back(std::move(action));
}

void Dispatcher::Impl::releaseLoad(Attempt &attempt, PromptClass promptClass, base::TimePoint now)
{
    if (attempt.relay)
        return;
    releasePrefill(attempt, now);
    for (const auto &[id, kv] : std::exchange(attempt.reservations, {})) {
        if (UpstreamState *state = findUpstream(id))
            state->addKvTokens(base::Tokens() - kv);
        m_changedUpstreams.insert(id);
    }
    if (UpstreamState *state = findUpstream(attempt.upstream))
        state->removeRequest(attempt.primaryKvTokens, promptClass == PromptClass::Short);
    m_changedUpstreams.insert(attempt.upstream);
}

void Dispatcher::Impl::releaseAttempt(ActiveCall &call, base::TimePoint now)
{
    call.stage = CallStage::Queued;
    if (!call.current.relay) {
        releasePermit(call, false);
        if (!call.current.reservations.empty())
            m_actions.emplace_back(ReleaseMemory{call.info.id});
        call.pendingAttempt.reset();
    }
    releaseLoad(call.current, call.promptClass, now);
    call.current = {};
}

base::Millis Dispatcher::Impl::firstEventTimeout(const ActiveCall &call) const
{
    if (!call.info.isStream) {
        // A call that must not be repeated waits until its deadline.
        return call.info.isRetrySafe ? call.info.latencyObjective * kPlainStallFactor
                                     : base::Millis(24 * 3'600'000);
    }
    return std::max(kMinStallTimeout,
                    call.info.latencyObjective * kFirstEventStallFactor + base::Millis(400))
           + call.current.expectedFirstEvent * kExpectedTimeStallFactor;
}

base::Millis Dispatcher::Impl::gapTimeout(const ActiveCall &call) const
{
    return std::max(kMinStallTimeout, call.info.gapObjective * kGapStallFactor);
}

void Dispatcher::Impl::handle(const AnswerProgressed &event, base::TimePoint now)
{
    ActiveCall *call = findCall(event.call);
    if (!call || call->stage != CallStage::Sent)
        return;
    if (const UpstreamState *state = findUpstream(call->current.upstream))
        m_reachability.recordSuccess(state->info().dataCentre);
    recordLinkAnswer(*call, now);
    call->hasForwardedEvents = true;
    call->lastProgressAt = now;
    if (call->current.firstEventAt == base::TimePoint())
        call->current.firstEventAt = now;
    if (now >= call->current.firstEventAt + kProofTime)
        recordAnswered(*call, now);
    endPrefill(*call, true, now);
    call->current.isStallRecorded = false;
    // The entry host that a call was relayed to looks for another upstream first.
    call->progressDeadline =
            now + gapTimeout(*call) + (call->current.relay ? kRelayQueueTime : base::Millis(0));
    if (call->stalled)
        cancelStalledAttempt(*call, now);
}

void Dispatcher::Impl::handle(const AnswerPaused &event, base::TimePoint now)
{
    ActiveCall *call = findCall(event.call);
    if (!call || call->stage != CallStage::Sent)
        return;
    call->current.isPaused = event.isPaused;
    call->lastProgressAt = now;
    call->progressDeadline = event.isPaused ? call->info.deadline : now + gapTimeout(*call);
}

void Dispatcher::Impl::handle(const StalledAttemptProgressed &event, base::TimePoint now)
{
    ActiveCall *call = findCall(event.call);
    if (call && call->stalled)
        reinstateStalledAttempt(*call, now);
}

void Dispatcher::Impl::handle(const StalledAttemptFailed &event, base::TimePoint now)
{
    ActiveCall *call = findCall(event.call);
    if (!call || !call->stalled)
        return;
    if (event.fault == AttemptFault::AnswerLost)
        recordLostAttempt(call->info, *call->stalled, std::nullopt, now);
    releaseLoad(*call->stalled, call->promptClass, now);
    call->stalled.reset();
}

void Dispatcher::Impl::handle(const AttemptSucceeded &event, base::TimePoint now)
{
    ActiveCall *call = findCall(event.call);
    if (!call)
        return;
    if (UpstreamState *state = findUpstream(call->current.upstream)) {
        state->recordSuccess();
        m_reachability.recordSuccess(state->info().dataCentre);
    }
    recordLinkAnswer(*call, now);
    if (event.isSuccess)
        recordAnswered(*call, now);
    endPrefill(*call, true, now);
    releaseAttempt(*call, now);
    removeCall(event.call, now);
}

void Dispatcher::Impl::handle(const AttemptFailed &event, base::TimePoint now)
{
    ActiveCall *call = findCall(event.call);
    if (!call || call->stage != CallStage::Sent)
        return;
    if (call->current.relay)
        return handleRelayFailure(*call, event.fault, now);
    recordFault(*call, event.fault, event.faultyUpstream, now);
    const bool wasTrial = call->trial == TrialState::Granted;
    const auto trial = wasTrial ? std::optional(event.call) : std::nullopt;
    if (event.fault == AttemptFault::AnswerLost
        && recordLostAttempt(call->info, call->current, trial, now) && wasTrial)
        call->trial = TrialState::None;
    // A trial that reached no upstream is not over.
    if (event.fault != AttemptFault::NotSent)
        endTrial(*call);
    releaseAttempt(*call, now);
    if (event.fault == AttemptFault::NotSent) {
        --call->attempts;
        ++call->unsentAttempts;
    }
    call->mayHaveRun = call->mayHaveRun || !provesNotRun(event.fault);
    const bool isFailedTrial = wasTrial && event.fault == AttemptFault::AnswerLost;
    if (!isFailedTrial && acquireRetry(*call, event.fault, now))
        return scheduleRetry(*call, event.fault, now);
    if (event.fault == AttemptFault::UpstreamError)
        return forwardOrFail(*call, now);
    rejectOrFail(*call,
                 provesNotRun(event.fault) ? FailureReason::UpstreamRefused
                                           : FailureReason::UpstreamLost,
                 now);
}

bool Dispatcher::Impl::isStalled(const ActiveCall &call, base::TimePoint now) const
{
    if (call.current.isPaused)
        return false;
    if (call.lastProgressAt > call.current.sentAt)
        return now >= call.lastProgressAt + gapTimeout(call);
    const base::Millis timeout = call.info.isStream
                                         ? firstEventTimeout(call)
                                         : call.info.latencyObjective * kPlainStallFactor;
    return now >= call.current.sentAt + timeout;
}

void Dispatcher::Impl::handleStall(ActiveCall &call, base::TimePoint now)
{
    // The upstream may still continue. If the call cannot be retried elsewhere, it waits until its
    // deadline, or until another upstream has room.
    call.progressDeadline = call.info.deadline;
    const bool isCutOff = serviceOf(call.info.service).links.isLost() && !m_relayPeers.isEmpty();
    if (!call.current.relay && !isCutOff && !hasRoomElsewhere(call, now)) {
        call.progressDeadline = std::min(call.info.deadline, now + kStallRecheckInterval);
        return;
    }
    // Suspect content must not run at two upstreams at once.
    if (call.attempts >= call.info.maxAttempts || !call.info.isRetrySafe
        || call.info.deadline - now < kMinAttemptTime || call.trial == TrialState::Granted
        || !suspectsIn(call).empty())
        return;
    if (!std::exchange(call.current.isStallRecorded, true))
        recordFault(call, AttemptFault::Stalled, {}, now);
    call.mayHaveRun = true;
    call.pendingRetry = AttemptFault::Stalled;
    if (call.stalled) {
        // Neither has answered since the first one stalled, and that one may have begun to.
        m_actions.emplace_back(CancelAttempt{call.info.id});
        withdrawPermit(call);
        releaseAttempt(call, now);
        return enqueue(call, now);
    }
    m_actions.emplace_back(KeepStalledAttempt{call.info.id});
    withdrawPermit(call);
    call.stalled = std::exchange(call.current, {});
    call.stage = CallStage::Queued;
    enqueue(call, now);
}

bool Dispatcher::Impl::acquirePendingRetry(ActiveCall &call, base::TimePoint now)
{
    const auto fault = std::exchange(call.pendingRetry, std::nullopt);
    if (!fault)
        return true;
    if (!takeRetry(call, *fault, now)) {
        rejectOrFail(call, FailureReason::UpstreamLost, now);
        return false;
    }
    m_actions.emplace_back(RetryScheduled{call.info.id, *fault});
    return true;
}

void Dispatcher::Impl::reinstateStalledAttempt(ActiveCall &call, base::TimePoint now)
{
    if (call.stage == CallStage::Sent)
        m_actions.emplace_back(CancelAttempt{call.info.id});
    withdrawPermit(call);
    if (call.stage != CallStage::Queued)
        releaseAttempt(call, now);
    m_queue.erase({call.info.priority, call.info.id});
    endTrial(call);
    call.pendingRetry.reset();
    call.isPrefillReported = !call.mayNeedPermit || call.hasForwardedEvents;
    call.current = *std::exchange(call.stalled, std::nullopt);
    call.stage = CallStage::Sent;
    call.progressDeadline =
            now + (call.hasForwardedEvents ? gapTimeout(call) : firstEventTimeout(call));
    m_actions.emplace_back(ReinstateAttempt{call.info.id});
}

void Dispatcher::Impl::cancelStalledAttempt(ActiveCall &call, base::TimePoint now)
{
    releaseLoad(*call.stalled, call.promptClass, now);
    call.stalled.reset();
    m_actions.emplace_back(CancelStalledAttempt{call.info.id});
}

bool Dispatcher::Impl::hasRoomElsewhere(const ActiveCall &call, base::TimePoint now)
{
    const ServiceState &service = serviceOf(call.info.service);
    const std::vector<UpstreamState *> upstreams = usableUpstreams(call, service, now);
    return std::any_of(upstreams.begin(), upstreams.end(), [&](const UpstreamState *it) {
        const int slots =
                service.parameters.engine ? service.parameters.engine->slots : it->info().slots;
        return !contains(call.triedUpstreams, it->info().id) && it->requests() < slots
               && it->maySend(now);
    });
}

void Dispatcher::Impl::enqueue(ActiveCall &call, base::TimePoint now)
{
    call.queuedAt = now;
    call.isPrefillReported = !call.mayNeedPermit;
    m_queue.emplace(std::pair(call.info.priority, call.info.id), call.info.id);
}

void Dispatcher::Impl::recordFault(const ActiveCall &call, AttemptFault fault,
                                   const std::optional<base::Endpoint> &faultyUpstream,
                                   base::TimePoint now)
{
    UpstreamState *state = findUpstream(call.current.upstream);
    if (faultyUpstream) {
        for (const auto &[id, other] : m_upstreams) {
            if (other->info().address == *faultyUpstream && other.get() != state) {
                // The fault lies with a helper, whatever the primary engine answered.
                eject(*other, now);
                return;
            }
        }
    }
    if (state && fault == AttemptFault::NotSent)
        recordConnectFailure(state->info(), now);
    // Any engine of a split prompt may have caused the stall.
    const bool isUnattributable =
            fault == AttemptFault::Stalled && call.current.prefillEngines.size() > 1;
    const bool isUnanswered = fault == AttemptFault::NotSent || fault == AttemptFault::AnswerLost
                              || fault == AttemptFault::Stalled;
    if (!isUnanswered)
        recordLinkAnswer(call, now);
    else if (state && !isUnattributable)
        recordLinkFailure(call, *state, fault, now);
    if (state && !isUnattributable && state->recordFailure(fault, meanFailureRate(*state)))
        eject(*state, now);
}

double Dispatcher::Impl::meanFailureRate(const UpstreamState &excluded)
{
    double sum = 0;
    int count = 0;
    for (const UpstreamState *upstream : serviceOf(excluded.info().service).upstreams) {
        if (upstream == &excluded)
            continue;
        sum += upstream->failureRate();
        ++count;
    }
    return count > 0 ? sum / count : 0;
}

void Dispatcher::Impl::recordConnectFailure(const fleet::Upstream &upstream, base::TimePoint now)
{
    const base::DataCentreId &dataCentre = upstream.dataCentre;
    if (dataCentre == m_options.dataCentre
        || !m_reachability.recordFailure(dataCentre, upstream.id, now))
        return;
    m_actions.emplace_back(DataCentreUnreachable{dataCentre});
}

void Dispatcher::Impl::eject(UpstreamState &state, base::TimePoint now)
{
    if (state.isEjected(now))
        return;
    const base::Millis duration = state.nextEjectionDuration();
    state.eject(duration, now);
    m_actions.emplace_back(UpstreamEjected{state.info().id, duration});
}

bool Dispatcher::Impl::acquireRetry(ActiveCall &call, AttemptFault fault, base::TimePoint now)
{
    if (call.info.deadline - now < kMinAttemptTime)
        return false;
    if (fault == AttemptFault::NotSent)
        return call.unsentAttempts < kMaxUnsentAttempts;
    if (call.attempts >= call.info.maxAttempts)
        return false;
    if (!provesNotRun(fault) && !call.info.isRetrySafe)
        return false;
    // Whether it takes a retry depends on the way that it then goes.
    if (fault == AttemptFault::AnswerLost && serviceOf(call.info.service).links.isChecking()) {
        call.pendingRetry = fault;
        return true;
    }
    return takeRetry(call, fault, now);
}

void Dispatcher::Impl::scheduleRetry(ActiveCall &call, AttemptFault fault, base::TimePoint now)
{
    if (!call.pendingRetry)
        m_actions.emplace_back(RetryScheduled{call.info.id, fault});
    enqueue(call, now);
}

bool Dispatcher::Impl::takeRetry(const ActiveCall &call, AttemptFault fault, base::TimePoint now)
{
    if (serviceOf(call.info.service).retryBudget->tryAcquire(m_sharingHosts.current(now), now))
        return true;
    m_actions.emplace_back(RetryDenied{call.info.id, fault});
    return false;
}

bool Dispatcher::Impl::hasEnginesForTwo(const ActiveCall &call) const
{
    const auto service = m_services.find(call.info.service);
    return service != m_services.end()
           && availableUpstreams(service->second) >= 2 * (kMaxHelpers + 1);
}

base::TimePoint Dispatcher::Impl::queueDeadline(const ActiveCall &call) const
{
    if (call.awaitsLinkCheck)
        return call.info.deadline;
    if (call.promptClass == PromptClass::Long)
        return call.queuedAt + (call.info.deadline - call.queuedAt) * kLongQueueTenths / 10;
    const auto objectiveShare =
            std::chrono::duration_cast<base::Millis>(call.info.latencyObjective * kMaxQueueShare);
    return std::min(call.info.deadline, call.queuedAt + std::min(objectiveShare, kMaxQueueTime));
}

base::Millis Dispatcher::Impl::drawRetryAfter(const ActiveCall &call, base::TimePoint now)
{
    if (call.statedRetryAfter > base::Millis(0))
        return call.statedRetryAfter;
    // A rejected long prompt means that many are pending, and these take long to serve.
    const base::Millis minDelay =
            call.promptClass == PromptClass::Long
                    ? std::max(kMinRetryAfter, call.info.latencyObjective / 2)
                    : std::max({kMinRetryAfter, rateLimitDelay(call), gateDelay(call, now)});
    std::uniform_int_distribution<std::int64_t> delay(minDelay.count(), 2 * minDelay.count());
    const auto remaining = std::chrono::duration_cast<base::Millis>(call.info.deadline - now);
    return std::clamp(base::Millis(delay(m_rng)), base::Millis(1),
                      std::max(base::Millis(1), remaining / 4));
}

void Dispatcher::Impl::rejectOrFail(ActiveCall &call, FailureReason reason, base::TimePoint now)
{
    if (call.stalled && now < call.info.deadline)
        return reinstateStalledAttempt(call, now);
    const CallId id = call.info.id;
    if (call.mayHaveRun || call.hasForwardedEvents)
        m_actions.emplace_back(FailCall{id, reason});
    else
        m_actions.emplace_back(RejectCall{id, reason, drawRetryAfter(call, now), call.blocker});
    removeCall(id, now);
}

void Dispatcher::Impl::forwardOrFail(ActiveCall &call, base::TimePoint now)
{
    if (call.stalled || call.hasForwardedEvents)
        return rejectOrFail(call, FailureReason::UpstreamLost, now);
    m_actions.emplace_back(ForwardUpstreamError{call.info.id});
    removeCall(call.info.id, now);
}

} // namespace hyssop::dispatch
