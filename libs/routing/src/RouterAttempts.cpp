// Attempt handling of the router: tokens, faults, resumes and retries.

#include "RouterImpl.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

/// No further attempt is made with less time left. An attempt's own timeout is rounded to
/// milliseconds and may end it this long before the deadline.
constexpr base::Millis kMinAttemptTime{10};

} // namespace

void Router::Impl::on(const AttemptAccepted &event, base::TimePoint now)
{
    if (ActiveRequest *request = findByAttempt(event.attempt)) {
        request->isAccepted = true;
        request->lastProgressAt = now;
    }
}

void Router::Impl::on(const AttemptTokens &event, base::TimePoint now)
{
    ActiveRequest *request = findByAttempt(event.attempt);
    if (!request)
        return;
    // Its connection stays open until the stream is resumed, and its engine goes on.
    if (request->stage == Stage::BackingOff)
        endBackOff(*request, now);
    request->isAccepted = true;
    if (event.offset > request->deliveredTokens) {
        // The tokens in between were lost on this connection.
        onFault(*request, AttemptFault::StreamMismatch, base::Millis(0), now);
        return;
    }
    const std::int64_t skip = std::min(request->deliveredTokens - event.offset, event.count);
    if (skip == event.count)
        return;
    if (request->deliveredTokens == 0)
        onFirstToken(*request, now);
    request->deliveredTokens = event.offset + event.count;
    request->lastProgressAt = now;
    request->progressTimeout = m_options.stallTimeout;
    request->isResuming = false;
    request->resumeCount = 0;
    m_actions.emplace_back(ForwardTokens{request->info.id, skip});
}

void Router::Impl::onFirstToken(ActiveRequest &request, base::TimePoint now)
{
    request.firstTokenAt = now;
    markUpstreamsChanged(request);
    for (Reservation &reservation : request.reservations)
        m_upstreams.releasePrefill(reservation, now);
    UpstreamState *state = m_upstreams.find(request.reservations.front());
    if (!state)
        return;
    state->outlierTracker.recordSuccess();
    if (request.sizeClass == SizeClass::Gang)
        return;
    state->prefixIndex.addExpected(request.info.prefixHashes);
    const auto elapsed = std::chrono::duration_cast<base::Micros>(now - request.assignedAt);
    if (request.resumeCount == 0)
        state->prefillRate.observe(request.prefillAtAssignment, elapsed);
}

void Router::Impl::on(const AttemptFinished &event, base::TimePoint now)
{
    ActiveRequest *request = findByAttempt(event.attempt);
    if (!request)
        return;
    if (UpstreamState *state = m_upstreams.find(request->reservations.front()))
        state->outlierTracker.recordSuccess();
    if (request->deliveredTokens > 0) {
        const auto duration = std::chrono::duration_cast<base::Micros>(now - request->firstTokenAt);
        request->pool->decodeTimeEstimator.observe(request->deliveredTokens,
                                                   request->info.maxOutputTokens, duration);
    }
    releaseAttempt(*request, now);
    m_actions.emplace_back(CompleteRequest{request->info.id});
    eraseRequest(*request);
}

void Router::Impl::on(const AttemptFailed &event, base::TimePoint now)
{
    ActiveRequest *request = findByAttempt(event.attempt);
    if (request && request->stage == Stage::Active)
        onFault(*request, event.fault, event.retryAfter, now);
}

void Router::Impl::onFault(ActiveRequest &request, AttemptFault fault, base::Millis retryAfter,
                           base::TimePoint now)
{
    recordFailure(request, fault, now);
    const bool isOutOfTime = request.info.deadline - now < kMinAttemptTime;
    if (!isOutOfTime && canResume(request, fault)) {
        scheduleResume(request, fault, now);
        return;
    }
    // A refused resume does not prove that the attempt did not run.
    const bool isProvenNotRun = provesNotRun(fault) && !request.isAccepted;
    if (!isProvenNotRun) {
        request.mayHaveRun = true;
        m_actions.emplace_back(
                CancelAttempt{request.attempt, request.reservations.front().upstream});
    }
    request.avoidedUpstream = request.reservations.front().upstream;
    releaseAttempt(request, now);
    if (isOutOfTime)
        failRequest(request, EndReason::DeadlineExceeded, base::Millis(0), now);
    else if (canRetry(request, fault, isProvenNotRun))
        scheduleRetry(request, fault, retryAfter, now);
    else
        failRequest(request,
                    request.deliveredTokens > 0 ? EndReason::StreamBroken
                                                : EndReason::UpstreamFailed,
                    request.info.isRetrySafe || !request.mayHaveRun
                            ? clampRetryAfter(std::chrono::duration_cast<base::Micros>(retryAfter))
                            : base::Millis(0),
                    now);
}

bool Router::Impl::canRetry(const ActiveRequest &request, AttemptFault fault, bool isProvenNotRun)
{
    if (request.deliveredTokens > 0)
        return false;
    if (request.info.isRetrySafe)
        return true;
    // Without a claim, only the upstream's own statement that it did not start the call would
    // prevent a second run.
    return isProvenNotRun
           && (request.info.hasIdempotencyClaim || fault == AttemptFault::ConnectFailed);
}

void Router::Impl::recordFailure(ActiveRequest &request, AttemptFault fault, base::TimePoint now)
{
    UpstreamState *state = m_upstreams.find(request.reservations.front());
    if (!state || request.sizeClass == SizeClass::Gang
        || !state->outlierTracker.recordFailure(fault))
        return;
    if (!m_upstreams.canEject(*state, now))
        return;
    const base::Millis duration = m_upstreams.eject(*state, now);
    m_actions.emplace_back(UpstreamEjected{state->info().id, duration});
}

bool Router::Impl::canResume(const ActiveRequest &request, AttemptFault fault) const
{
    if (request.info.kind != UpstreamKind::Engine || !request.isAccepted)
        return false;
    const bool isLostConnection =
            fault == AttemptFault::ConnectionClosed || fault == AttemptFault::StreamMismatch
            || fault == AttemptFault::Stalled || fault == AttemptFault::ConnectFailed;
    const int maxResumes = fault == AttemptFault::Stalled ? 1 : kMaxResumes;
    return isLostConnection && request.resumeCount < maxResumes;
}

void Router::Impl::scheduleResume(ActiveRequest &request, AttemptFault fault, base::TimePoint now)
{
    m_actions.emplace_back(RetryScheduled{request.info.id, fault});
    ++request.resumeCount;
    request.isResuming = true;
    backOff(request, now + RetryBudget::backoff(request.resumeCount, m_rng));
}

void Router::Impl::scheduleRetry(ActiveRequest &request, AttemptFault fault,
                                 base::Millis retryAfter, base::TimePoint now)
{
    // Gangs of different hosts compete for the same engines and refuse each other. Nothing ran, so
    // these retries are limited only by the deadline.
    const bool isContention =
            request.sizeClass == SizeClass::Gang && fault == AttemptFault::Refused;
    const base::Millis wait =
            std::max(retryAfter, RetryBudget::backoff(request.attemptCount, m_rng));
    const bool isLate = now + wait >= request.info.deadline;
    const bool hasRetriesLeft =
            isContention || (request.attemptCount < kMaxAttempts && m_retryBudget.tryWithdraw(now));
    if (isLate || !hasRetriesLeft) {
        failRequest(request, EndReason::UpstreamFailed, clampRetryAfter(wait), now);
        return;
    }
    m_actions.emplace_back(RetryScheduled{request.info.id, fault});
    backOff(request, now + wait);
}

void Router::Impl::backOff(ActiveRequest &request, base::TimePoint until)
{
    request.stage = Stage::BackingOff;
    if (request.progressTimer)
        m_timers.remove(*request.progressTimer);
    request.progressTimer.reset();
    request.retryTimer = Timer{until, TimerKind::Retry, request.info.id};
    m_timers.add(*request.retryTimer);
}

void Router::Impl::endBackOff(ActiveRequest &request, base::TimePoint now)
{
    m_timers.remove(*request.retryTimer);
    request.retryTimer.reset();
    request.stage = Stage::Active;
    armProgressTimer(request, now + request.progressTimeout);
}

void Router::Impl::onRetryTimer(ActiveRequest &request, base::TimePoint now)
{
    request.retryTimer.reset();
    if (!request.hasAttempt()) {
        enqueue(request, now);
        return;
    }
    request.stage = Stage::Active;
    request.lastProgressAt = now;
    armProgressTimer(request, now + request.progressTimeout);
    startAttempt(request, now);
}

void Router::Impl::armProgressTimer(ActiveRequest &request, base::TimePoint at)
{
    request.progressTimer = Timer{at, TimerKind::Progress, request.info.id};
    m_timers.add(*request.progressTimer);
}

void Router::Impl::onProgressTimer(ActiveRequest &request, base::TimePoint now)
{
    request.progressTimer.reset();
    const base::TimePoint due = request.lastProgressAt + request.progressTimeout;
    if (now < due) {
        armProgressTimer(request, due);
        return;
    }
    m_actions.emplace_back(StreamStalled{request.info.id, request.reservations.front().upstream});
    onFault(request, AttemptFault::Stalled, base::Millis(0), now);
}

void Router::Impl::releaseAttempt(ActiveRequest &request, base::TimePoint now)
{
    if (!request.hasAttempt())
        return;
    markUpstreamsChanged(request);
    for (Reservation &reservation : request.reservations)
        m_upstreams.release(reservation, now);
    if (request.progressTimer)
        m_timers.remove(*request.progressTimer);
    request.progressTimer.reset();
    if (request.sizeClass == SizeClass::Gang)
        --m_activeGangs;
    m_attempts.erase(request.attempt);
    request.attempt = {};
    request.reservations.clear();
    request.isAccepted = false;
    request.isResuming = false;
}

} // namespace hyssop::routing
