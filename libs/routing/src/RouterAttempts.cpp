// What becomes of attempts: tokens, faults, resumes and retries.

#include "RouterImpl.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

/// With less time than this left no further attempt is made; an attempt's own bound, rounded to
/// milliseconds, may end it this much before the deadline.
constexpr base::Millis kLeastAttempt{10};

} // namespace

void Router::Impl::on(const AttemptAccepted &event, base::TimePoint now)
{
    if (ActiveRequest *request = requestOf(event.attempt)) {
        request->isAccepted = true;
        request->lastProgress = now;
    }
}

void Router::Impl::on(const AttemptTokens &event, base::TimePoint now)
{
    ActiveRequest *request = requestOf(event.attempt);
    if (!request || request->stage != Stage::Active)
        return;
    request->isAccepted = true;
    if (event.offset > request->delivered) {
        // Tokens between are lost on this connection.
        onFault(*request, AttemptFault::StreamMismatch, base::Millis(0), now);
        return;
    }
    const std::int64_t skip = std::min(request->delivered - event.offset, event.count);
    if (skip == event.count)
        return;
    if (request->delivered == 0)
        onFirstToken(*request, now);
    request->delivered = event.offset + event.count;
    request->lastProgress = now;
    request->progressLimit = m_options.stallLimit;
    request->isResume = false;
    request->resumes = 0;
    m_actions.emplace_back(ForwardTokens{request->info.id, skip});
}

void Router::Impl::onFirstToken(ActiveRequest &request, base::TimePoint now)
{
    request.firstTokenAt = now;
    markChanged(request);
    for (Hold &hold : request.holds)
        m_upstreams.releasePrompt(hold, now);
    UpstreamState *state = m_upstreams.find(request.holds.front());
    if (!state)
        return;
    state->outliers.succeeded();
    if (request.size == SizeClass::Gang)
        return;
    state->cache.expect(request.info.prefix);
    const auto elapsed = std::chrono::duration_cast<base::Micros>(now - request.boundAt);
    if (request.resumes == 0)
        state->rate.observe(request.workAtBind, elapsed);
}

void Router::Impl::on(const AttemptFinished &event, base::TimePoint now)
{
    ActiveRequest *request = requestOf(event.attempt);
    if (!request)
        return;
    if (UpstreamState *state = m_upstreams.find(request->holds.front()))
        state->outliers.succeeded();
    if (request->delivered > 0) {
        const auto duration = std::chrono::duration_cast<base::Micros>(now - request->firstTokenAt);
        request->pool->answers.observe(request->delivered, request->info.maxOutput, duration);
    }
    release(*request, now);
    m_actions.emplace_back(CompleteRequest{request->info.id});
    forget(*request);
}

void Router::Impl::on(const AttemptFailed &event, base::TimePoint now)
{
    ActiveRequest *request = requestOf(event.attempt);
    if (request && request->stage == Stage::Active)
        onFault(*request, event.fault, event.retryAfter, now);
}

void Router::Impl::onFault(ActiveRequest &request, AttemptFault fault, base::Millis retryAfter,
                           base::TimePoint now)
{
    noteHealth(request, fault, now);
    const bool isOutOfTime = request.info.deadline - now < kLeastAttempt;
    if (!isOutOfTime && canResume(request, fault)) {
        resumeLater(request, fault, now);
        return;
    }
    // A refusal to resume says nothing of the attempt itself.
    const bool isClean = provesNotRun(fault) && !request.isAccepted;
    if (!isClean) {
        request.mayHaveRun = true;
        m_actions.emplace_back(CancelAttempt{request.attempt, request.holds.front().upstream});
    }
    request.avoided = request.holds.front().upstream;
    release(request, now);
    if (isOutOfTime)
        end(request, Reason::OutOfTime, base::Millis(0), now);
    else if (mayRetry(request, fault, isClean))
        retryLater(request, fault, retryAfter, now);
    else
        end(request, request.delivered > 0 ? Reason::StreamBroken : Reason::UpstreamFailed,
            request.info.mayRepeat || !request.mayHaveRun
                    ? boundedRetry(std::chrono::duration_cast<base::Micros>(retryAfter))
                    : base::Millis(0),
            now);
}

bool Router::Impl::mayRetry(const ActiveRequest &request, AttemptFault fault, bool isClean)
{
    if (request.delivered > 0)
        return false;
    if (request.info.mayRepeat)
        return true;
    // Without a claim nothing but the upstream's word would stand between the call and a second
    // run.
    return isClean && (request.info.hasClaim || fault == AttemptFault::ConnectFailed);
}

void Router::Impl::noteHealth(ActiveRequest &request, AttemptFault fault, base::TimePoint now)
{
    UpstreamState *state = m_upstreams.find(request.holds.front());
    if (!state || request.size == SizeClass::Gang || !state->outliers.failed(fault))
        return;
    if (!m_upstreams.mayEject(*state, now))
        return;
    const base::Millis duration = m_upstreams.eject(*state, now);
    m_actions.emplace_back(EjectionNoted{state->info().id, duration});
}

bool Router::Impl::canResume(const ActiveRequest &request, AttemptFault fault) const
{
    if (request.info.kind != UpstreamKind::Engine || !request.isAccepted)
        return false;
    const bool isLostConnection =
            fault == AttemptFault::ClosedEarly || fault == AttemptFault::StreamMismatch
            || fault == AttemptFault::Stalled || fault == AttemptFault::ConnectFailed;
    const int most = fault == AttemptFault::Stalled ? 1 : kMaxResumes;
    return isLostConnection && request.resumes < most;
}

void Router::Impl::resumeLater(ActiveRequest &request, AttemptFault fault, base::TimePoint now)
{
    m_actions.emplace_back(RetryNoted{request.info.id, fault});
    ++request.resumes;
    request.isResume = true;
    backOff(request, now + RetryBudget::backoff(request.resumes, m_rng));
}

void Router::Impl::retryLater(ActiveRequest &request, AttemptFault fault, base::Millis retryAfter,
                              base::TimePoint now)
{
    // Gangs of other hosts hold each other off; nothing ran, so only time bounds these tries.
    const bool isContention = request.size == SizeClass::Gang && fault == AttemptFault::Refused;
    const base::Millis wait = std::max(retryAfter, RetryBudget::backoff(request.attempts, m_rng));
    const bool isLate = now + wait >= request.info.deadline;
    const bool hasTries = isContention || (request.attempts < kMaxAttempts && m_budget.spend(now));
    if (isLate || !hasTries) {
        end(request, Reason::UpstreamFailed, boundedRetry(wait), now);
        return;
    }
    m_actions.emplace_back(RetryNoted{request.info.id, fault});
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

void Router::Impl::onRetryDue(ActiveRequest &request, base::TimePoint now)
{
    request.retryTimer.reset();
    if (!request.hasAttempt()) {
        enqueue(request, now);
        return;
    }
    request.stage = Stage::Active;
    request.lastProgress = now;
    armProgress(request, now + request.progressLimit);
    startAttempt(request, now);
}

void Router::Impl::armProgress(ActiveRequest &request, base::TimePoint at)
{
    request.progressTimer = Timer{at, TimerKind::Progress, request.info.id};
    m_timers.add(*request.progressTimer);
}

void Router::Impl::onProgressDue(ActiveRequest &request, base::TimePoint now)
{
    request.progressTimer.reset();
    const base::TimePoint due = request.lastProgress + request.progressLimit;
    if (now < due) {
        armProgress(request, due);
        return;
    }
    m_actions.emplace_back(StallNoted{request.info.id, request.holds.front().upstream});
    onFault(request, AttemptFault::Stalled, base::Millis(0), now);
}

void Router::Impl::release(ActiveRequest &request, base::TimePoint now)
{
    if (!request.hasAttempt())
        return;
    markChanged(request);
    for (Hold &hold : request.holds)
        m_upstreams.release(hold, now);
    if (request.progressTimer)
        m_timers.remove(*request.progressTimer);
    request.progressTimer.reset();
    if (request.size == SizeClass::Gang)
        --m_gangs;
    m_attempts.erase(request.attempt);
    request.attempt = {};
    request.holds.clear();
    request.isAccepted = false;
    request.isResume = false;
}

} // namespace hyssop::routing
