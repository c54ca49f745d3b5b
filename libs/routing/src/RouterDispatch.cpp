// Admission, queueing and placement of the router.

#include "GangPlanner.h"
#include "RouterImpl.h"

#include <algorithm>
#include <cassert>

namespace hyssop::routing {

namespace {

/// One request in so many is taken from the lanes in reverse order, so that low urgency and long
/// prompts keep a share however much of the others comes.
constexpr std::int64_t kReservedEvery = 8;
/// Room may come without an event, as when a peer falls silent or an ejection ends.
constexpr base::Millis kRecheck{100};

std::int64_t costOf(const RequestInfo &request)
{
    return std::max<std::int64_t>(1, request.prompt.count());
}

} // namespace

void Router::Impl::on(const RequestArrived &event, base::TimePoint now)
{
    const RequestInfo &info = event.request;
    assert(!m_requests.contains(info.id) && "a request id came twice");
    Pool *pool = m_upstreams.poolFor(info);
    const bool isLong = m_placement.isLong(info);
    if (pool)
        pool->longShare.offer(info.prompt, isLong);
    if (const auto refusal =
                m_admission.refusal(info, m_catalogue.get(), pool, m_placement, m_queued, now)) {
        m_actions.emplace_back(
                EndRequest{info.id, refusal->reason, Outcome::NotRun, refusal->retryAfter});
        return;
    }
    m_admission.add(info, isLong);
    m_budget.earn();
    ActiveRequest &request = m_requests[info.id];
    request.info = info;
    request.pool = pool;
    if (!m_placement.fits(*pool, info))
        request.size = SizeClass::Gang;
    else if (isLong)
        request.size = SizeClass::Long;
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
    const int lane = laneOf(request.info.urgency, request.size);
    request.pool->lanes[static_cast<std::size_t>(lane)].push(std::move(item));
    request.pool->mayDispatch = true;
    request.stage = Stage::Queued;
    request.queuedAt = now;
    ++m_queued;
    if (m_placement.bindsAtArrival() || request.size == SizeClass::Gang)
        return;
    const base::TimePoint latest = m_placement.latestStart(*request.pool, request.info);
    request.startTimer = Timer{latest, TimerKind::LatestStart, request.info.id};
    m_timers.add(*request.startTimer);
}

void Router::Impl::leaveQueue(ActiveRequest &request)
{
    if (request.startTimer)
        m_timers.remove(*request.startTimer);
    request.startTimer.reset();
    --m_queued;
}

void Router::Impl::unqueue(ActiveRequest &request)
{
    const int lane = laneOf(request.info.urgency, request.size);
    request.pool->lanes[static_cast<std::size_t>(lane)].remove(request.info.team, request.info.id,
                                                               request.info.deadline);
    request.pool->mayDispatch = true;
    leaveQueue(request);
}

void Router::Impl::giveUp(ActiveRequest &request, base::TimePoint now)
{
    const Outlook outlook = m_placement.outlook(*request.pool, request.info, now);
    const Reason reason = request.mayHaveRun ? Reason::OutOfTime : Reason::DeadlineTooShort;
    end(request, reason, boundedRetry(outlook.wait + outlook.firstToken), now);
}

void Router::Impl::dispatchChanged(base::TimePoint now)
{
    m_lastNow = now;
    for (const auto &[key, pool] : m_upstreams.pools()) {
        if (!std::exchange(pool->mayDispatch, false))
            continue;
        dispatch(*pool, now);
        pool->mayAllHaveRoom = false;
        pool->changed.clear();
    }
    if (m_queued == 0)
        m_recheckAt = base::TimePoint::max();
    else if (m_recheckAt <= now || m_recheckAt == base::TimePoint::max())
        m_recheckAt = now + kRecheck;
}

void Router::Impl::dispatch(Pool &pool, base::TimePoint now)
{
    std::array<bool, kLanes> isBlocked{};
    for (;;) {
        const bool isReversed = pool.taken % kReservedEvery == kReservedEvery - 1;
        std::size_t lane = kLanes;
        for (std::size_t n = 0; n < kLanes && lane == kLanes; ++n) {
            const std::size_t at = isReversed ? kLanes - 1 - n : n;
            if (!isBlocked[at] && !pool.lanes[at].isEmpty())
                lane = at;
        }
        if (lane == kLanes)
            return;
        if (serve(pool, lane, now))
            ++pool.taken;
        else
            isBlocked[lane] = true;
    }
}

bool Router::Impl::isStillBlocked(const Pool &pool, const ActiveRequest &request,
                                  const base::RequestId &blocked, base::TimePoint now)
{
    const bool isKnown = blocked == request.info.id && request.size != SizeClass::Gang
                         && !pool.mayAllHaveRoom && pool.remote.empty();
    return isKnown && std::none_of(pool.changed.begin(), pool.changed.end(), [&](auto *state) {
               return m_placement.hasRoomFor(*state, request.info, now);
           });
}

bool Router::Impl::serve(Pool &pool, std::size_t number, base::TimePoint now)
{
    TeamQueue &lane = pool.lanes[number];
    base::RequestId &blocked = pool.blockedFront[number];
    ActiveRequest &request = m_requests.at(lane.front()->request);
    if (isStillBlocked(pool, request, blocked, now))
        return false;
    const bool isPlaced =
            request.size == SizeClass::Gang ? placeGang(request, now) : place(request, now);
    blocked = isPlaced ? base::RequestId() : request.info.id;
    if (!isPlaced)
        return false;
    // Placed, or given up because its time would not do.
    if (request.hasAttempt()) {
        lane.pop();
        leaveQueue(request);
        return true;
    }
    giveUp(request, now);
    return true;
}

bool Router::Impl::place(ActiveRequest &request, base::TimePoint now)
{
    const auto choice = m_placement.choose(*request.pool, request.info, request.avoided, now);
    if (!choice)
        return false;
    const base::Micros firstToken = choice->candidate.firstToken;
    // One that has just come was admitted by admission's own rule, which tries idle upstreams.
    const bool isTried = choice->candidate.ahead.count() == 0 && request.queuedAt == now;
    if (!m_placement.bindsAtArrival() && !isTried
        && !m_placement.canFinish(*request.pool, *choice, request.info, now))
        return true;
    request.holds = {m_placement.holdFor(*choice, request.info)};
    request.workAtBind = choice->candidate.ahead + choice->candidate.uncached;
    bind(request, firstToken, now);
    return true;
}

bool Router::Impl::placeGang(ActiveRequest &request, base::TimePoint now)
{
    if (m_gangs >= m_options.maxGangs)
        return false;
    const base::Tokens need = request.info.prompt + request.info.maxOutput;
    auto holds = GangPlanner::plan(*request.pool, need, now);
    if (holds.empty())
        return false;
    const auto members = static_cast<std::int64_t>(holds.size());
    for (Hold &hold : holds) {
        hold.priority = m_placement.priorityOf(request.info);
        hold.uncached = base::Tokens(request.info.prompt.count() / members);
    }
    const RateEstimator &rate = m_upstreams.find(holds.front())->rate;
    const base::Micros firstToken = rate.timeFor(request.info.prompt);
    request.holds = std::move(holds);
    ++m_gangs;
    bind(request, firstToken, now);
    return true;
}

void Router::Impl::bind(ActiveRequest &request, base::Micros firstToken, base::TimePoint now)
{
    constexpr int kSlowerThanEstimated = 4;
    ++m_lastBind;
    for (const Hold &hold : request.holds)
        m_upstreams.bind(hold, m_lastBind, now);
    request.attempt = base::AttemptId(m_options.host.text() + "-"
                                      + std::to_string(m_options.incarnation.count()) + "-"
                                      + std::to_string(++m_lastAttempt));
    m_attempts.emplace(request.attempt, request.info.id);
    request.stage = Stage::Active;
    request.isAccepted = false;
    request.isResume = false;
    request.resumes = 0;
    request.boundAt = now;
    request.lastProgress = now;
    request.progressLimit =
            std::max<base::Micros>(m_options.stallLimit, firstToken * kSlowerThanEstimated);
    ++request.attempts;
    if (request.info.kind == UpstreamKind::Engine)
        armProgress(request, now + request.progressLimit);
    startAttempt(request, now);
}

void Router::Impl::startAttempt(const ActiveRequest &request, base::TimePoint now)
{
    StartAttempt action;
    action.attempt = request.attempt;
    action.request = request.info.id;
    action.upstream = request.holds.front().upstream;
    if (request.size == SizeClass::Gang) {
        for (std::size_t n = 1; n < request.holds.size(); ++n)
            action.gang.push_back(request.holds[n].upstream);
        action.gangShare = request.holds.front().kv;
    }
    action.urgency = request.info.urgency;
    action.priority = request.holds.front().priority;
    action.remaining = std::chrono::duration_cast<base::Millis>(request.info.deadline - now);
    action.resumesStream = request.isResume;
    action.resumeOffset = request.isResume ? request.delivered : 0;
    m_actions.emplace_back(std::move(action));
}

void Router::Impl::markChanged(const ActiveRequest &request)
{
    for (const Hold &hold : request.holds) {
        UpstreamState *state = m_upstreams.find(hold.upstream);
        if (!state)
            continue;
        for (Pool *pool : state->pools)
            pool->mark(state);
    }
}

} // namespace hyssop::routing
