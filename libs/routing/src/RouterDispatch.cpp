// Admission, queueing and placement in the router.

#include "GangPlanner.h"
#include "RouterImpl.h"

#include <algorithm>
#include <cassert>

namespace hyssop::routing {

namespace {

/// One request in this many is taken in reverse queue order, so that low-urgency and long requests
/// are not starved.
constexpr std::int64_t kReverseOrderInterval = 8;
/// Room may appear without an event, for example when a peer's report expires or an ejection ends.
constexpr base::Millis kRecheckInterval{100};

std::int64_t costOf(const RequestInfo &request)
{
    return std::max<std::int64_t>(1, request.promptTokens.count());
}

} // namespace

void Router::Impl::on(const RequestArrived &event, base::TimePoint now)
{
    const RequestInfo &info = event.request;
    assert(!m_requests.contains(info.id) && "the request id is already in use");
    UpstreamPool *pool = m_upstreams.poolFor(info);
    const bool isLong = m_placement.isLong(info);
    if (pool)
        pool->longPromptShare.observe(info.promptTokens, isLong);
    if (const auto refusal =
                m_admission.check(info, m_catalogue.get(), pool, m_placement, m_queuedCount, now)) {
        m_actions.emplace_back(
                FailRequest{info.id, refusal->reason, Outcome::NotRun, refusal->retryAfter});
        return;
    }
    m_admission.add(info, isLong);
    m_retryBudget.deposit();
    ActiveRequest &request = m_requests[info.id];
    request.info = info;
    request.pool = pool;
    if (!m_placement.fitsAnyUpstream(*pool, info))
        request.sizeClass = SizeClass::Gang;
    else if (isLong)
        request.sizeClass = SizeClass::Long;
    m_timers.add({info.deadline, TimerKind::Deadline, info.id});
    enqueue(request, now);
}

void Router::Impl::enqueue(ActiveRequest &request, base::TimePoint now)
{
    const records::TeamSpec *team = m_catalogue->team(request.info.team);
    QueueItem item;
    item.team = request.info.team;
    item.request = request.info.id;
    item.deadline = request.info.deadline;
    item.cost = costOf(request.info);
    item.weight = team ? team->weight : 1;
    const int index = queueIndex(request.info.urgency, request.sizeClass);
    request.pool->queues[static_cast<std::size_t>(index)].push(std::move(item));
    request.pool->needsDispatch = true;
    request.stage = Stage::Queued;
    request.queuedAt = now;
    ++m_queuedCount;
    if (m_placement.assignsOnArrival() || request.sizeClass == SizeClass::Gang)
        return;
    const base::TimePoint latest = m_placement.latestStart(*request.pool, request.info);
    request.latestStartTimer = Timer{latest, TimerKind::LatestStart, request.info.id};
    m_timers.add(*request.latestStartTimer);
}

void Router::Impl::clearQueueState(ActiveRequest &request)
{
    if (request.latestStartTimer)
        m_timers.remove(*request.latestStartTimer);
    request.latestStartTimer.reset();
    --m_queuedCount;
}

void Router::Impl::removeFromQueue(ActiveRequest &request)
{
    const int index = queueIndex(request.info.urgency, request.sizeClass);
    request.pool->queues[static_cast<std::size_t>(index)].remove(request.info.team, request.info.id,
                                                                 request.info.deadline);
    request.pool->needsDispatch = true;
    clearQueueState(request);
}

void Router::Impl::rejectAsTooLate(ActiveRequest &request, base::TimePoint now)
{
    const LatencyEstimate estimate = m_placement.estimateLatency(*request.pool, request.info, now);
    const EndReason reason =
            request.mayHaveRun ? EndReason::DeadlineExceeded : EndReason::DeadlineTooShort;
    failRequest(request, reason, clampRetryAfter(estimate.queueTime + estimate.timeToFirstToken),
                now);
}

void Router::Impl::dispatchChangedPools(base::TimePoint now)
{
    m_lastEventAt = now;
    for (const auto &[key, pool] : m_upstreams.pools()) {
        if (!std::exchange(pool->needsDispatch, false))
            continue;
        dispatch(*pool, now);
        pool->mustRecheckAll = false;
        pool->changedUpstreams.clear();
    }
    if (m_queuedCount == 0)
        m_recheckAt = base::TimePoint::max();
    else if (m_recheckAt <= now || m_recheckAt == base::TimePoint::max())
        m_recheckAt = now + kRecheckInterval;
}

void Router::Impl::dispatch(UpstreamPool &pool, base::TimePoint now)
{
    std::array<bool, kQueueCount> isBlocked{};
    for (;;) {
        const bool isReversed =
                pool.dispatchedCount % kReverseOrderInterval == kReverseOrderInterval - 1;
        std::size_t next = kQueueCount;
        for (std::size_t n = 0; n < kQueueCount && next == kQueueCount; ++n) {
            const std::size_t index = isReversed ? kQueueCount - 1 - n : n;
            if (!isBlocked[index] && !pool.queues[index].isEmpty())
                next = index;
        }
        if (next == kQueueCount)
            return;
        if (serveQueue(pool, next, now))
            ++pool.dispatchedCount;
        else
            isBlocked[next] = true;
    }
}

bool Router::Impl::isStillBlocked(const UpstreamPool &pool, const ActiveRequest &request,
                                  const base::RequestId &blockedFront, base::TimePoint now)
{
    const bool isKnown = blockedFront == request.info.id && request.sizeClass != SizeClass::Gang
                         && !pool.mustRecheckAll && pool.remoteUpstreams.empty();
    return isKnown
           && std::none_of(
                   pool.changedUpstreams.begin(), pool.changedUpstreams.end(),
                   [&](auto *state) { return m_placement.hasRoomFor(*state, request.info, now); });
}

bool Router::Impl::serveQueue(UpstreamPool &pool, std::size_t index, base::TimePoint now)
{
    TeamQueue &queue = pool.queues[index];
    base::RequestId &blockedFront = pool.blockedFronts[index];
    ActiveRequest &request = m_requests.at(queue.front()->request);
    if (isStillBlocked(pool, request, blockedFront, now))
        return false;
    const bool isPlaced = request.sizeClass == SizeClass::Gang ? tryPlaceGang(request, now)
                                                               : tryPlace(request, now);
    blockedFront = isPlaced ? base::RequestId() : request.info.id;
    if (!isPlaced)
        return false;
    // Either an attempt was started or the deadline can no longer be met.
    if (request.hasAttempt()) {
        queue.pop();
        clearQueueState(request);
        return true;
    }
    rejectAsTooLate(request, now);
    return true;
}

bool Router::Impl::tryPlace(ActiveRequest &request, base::TimePoint now)
{
    const auto choice =
            m_placement.choose(*request.pool, request.info, request.avoidedUpstream, now);
    if (!choice)
        return false;
    const base::Micros firstToken = choice->candidate.timeToFirstToken;
    // Admission accepts a new request for an idle upstream whatever the estimate, so the deadline
    // is not checked again here.
    const bool isJustAdmitted =
            choice->candidate.tokensAhead.count() == 0 && request.queuedAt == now;
    if (!m_placement.assignsOnArrival() && !isJustAdmitted
        && !m_placement.canMeetDeadline(*request.pool, *choice, request.info, now))
        return true;
    request.reservations = {m_placement.makeReservation(*choice, request.info)};
    request.prefillAtAssignment = choice->candidate.tokensAhead + choice->candidate.uncachedTokens;
    assign(request, firstToken, now);
    return true;
}

bool Router::Impl::tryPlaceGang(ActiveRequest &request, base::TimePoint now)
{
    if (m_activeGangs >= m_options.maxConcurrentGangs)
        return false;
    const base::Tokens need = request.info.promptTokens + request.info.maxOutputTokens;
    auto reservations = GangPlanner::plan(*request.pool, need, now);
    if (reservations.empty())
        return false;
    const auto members = static_cast<std::int64_t>(reservations.size());
    for (Reservation &reservation : reservations) {
        reservation.priority = m_placement.priorityOf(request.info);
        reservation.uncachedTokens = base::Tokens(request.info.promptTokens.count() / members);
    }
    const PrefillRateEstimator &rate = m_upstreams.find(reservations.front())->prefillRate;
    const base::Micros firstToken = rate.timeFor(request.info.promptTokens);
    request.reservations = std::move(reservations);
    ++m_activeGangs;
    assign(request, firstToken, now);
    return true;
}

void Router::Impl::assign(ActiveRequest &request, base::Micros firstToken, base::TimePoint now)
{
    constexpr int kSlowerThanEstimated = 4;
    ++m_lastAssignment;
    for (const Reservation &reservation : request.reservations)
        m_upstreams.reserve(reservation, m_lastAssignment, now);
    request.attempt = base::AttemptId(m_options.host.text() + "-"
                                      + std::to_string(m_options.incarnation.count()) + "-"
                                      + std::to_string(++m_lastAttemptNumber));
    m_attempts.emplace(request.attempt, request.info.id);
    request.stage = Stage::Active;
    request.isAccepted = false;
    request.isResuming = false;
    request.resumeCount = 0;
    request.assignedAt = now;
    request.lastProgressAt = now;
    request.progressTimeout =
            std::max<base::Micros>(m_options.stallTimeout, firstToken * kSlowerThanEstimated);
    ++request.attemptCount;
    if (request.info.kind == UpstreamKind::Engine)
        armProgressTimer(request, now + request.progressTimeout);
    startAttempt(request, now);
}

void Router::Impl::startAttempt(const ActiveRequest &request, base::TimePoint now)
{
    StartAttempt action;
    action.attempt = request.attempt;
    action.request = request.info.id;
    action.upstream = request.reservations.front().upstream;
    if (request.sizeClass == SizeClass::Gang) {
        for (std::size_t n = 1; n < request.reservations.size(); ++n)
            action.otherGangMembers.push_back(request.reservations[n].upstream);
        action.kvTokensPerEngine = request.reservations.front().kvTokens;
    }
    action.urgency = request.info.urgency;
    action.priority = request.reservations.front().priority;
    action.timeRemaining = std::chrono::duration_cast<base::Millis>(request.info.deadline - now);
    action.isResume = request.isResuming;
    action.resumeOffset = request.isResuming ? request.deliveredTokens : 0;
    m_actions.emplace_back(std::move(action));
}

void Router::Impl::markUpstreamsChanged(const ActiveRequest &request)
{
    for (const Reservation &reservation : request.reservations) {
        UpstreamState *state = m_upstreams.find(reservation.upstream);
        if (!state)
            continue;
        for (UpstreamPool *pool : state->pools)
            pool->markChanged(state);
    }
}

} // namespace hyssop::routing
