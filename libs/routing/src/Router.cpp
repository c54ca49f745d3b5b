#include "RouterImpl.h"

#include <cassert>

namespace hyssop::routing {

Router::Impl::Impl(RouterOptions options)
    : m_options(std::move(options))
    , m_placement(m_options)
    , m_admission(m_options)
    , m_upstreams(m_options.dataCentre)
    , m_rng(m_options.seed)
{ }

ActiveRequest *Router::Impl::findRequest(const base::RequestId &id)
{
    const auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : &it->second;
}

ActiveRequest *Router::Impl::findByAttempt(const base::AttemptId &attempt)
{
    const auto it = m_attempts.find(attempt);
    return it == m_attempts.end() ? nullptr : findRequest(it->second);
}

void Router::Impl::on(const CallerDisconnected &event, base::TimePoint now)
{
    if (ActiveRequest *request = findRequest(event.request))
        failRequest(*request, EndReason::CallerDisconnected, base::Millis(0), now);
}

void Router::Impl::on(const UpstreamUpdated &event, base::TimePoint)
{
    m_upstreams.addOrUpdate(event.upstream);
}

void Router::Impl::on(const UpstreamRemoved &event, base::TimePoint)
{
    m_upstreams.remove(event.upstream);
}

void Router::Impl::on(const LoadReported &event, base::TimePoint now)
{
    if (UpstreamState *state = m_upstreams.find(event.upstream))
        state->reportedLoad.update(event, state->knownOutstanding(now), now);
}

void Router::Impl::on(const CacheChanged &event, base::TimePoint)
{
    if (UpstreamState *state = m_upstreams.find(event.upstream))
        state->prefixIndex.apply(event);
}

void Router::Impl::on(const PeerLoadReport &event, base::TimePoint now)
{
    UpstreamState *state = m_upstreams.find(event.upstream);
    if (!state)
        return;
    state->peerLoad.update(event, now);
    for (UpstreamPool *pool : state->pools)
        pool->markChanged(state);
}

void Router::Impl::on(const CatalogueChanged &event, base::TimePoint)
{
    m_catalogue = event.catalogue;
}

void Router::Impl::on(const StopRequested &, base::TimePoint)
{
    m_admission.beginShutdown();
}

void Router::Impl::tick(base::TimePoint now)
{
    while (const auto timer = m_timers.takeDue(now)) {
        ActiveRequest *request = findRequest(timer->request);
        assert(request && "the request of a timer has ended");
        switch (timer->kind) {
        case TimerKind::Deadline:
            if (request->stage == Stage::Queued)
                rejectAsTooLate(*request, now);
            else
                failRequest(*request, EndReason::DeadlineExceeded, base::Millis(0), now);
            break;
        case TimerKind::LatestStart:
            rejectAsTooLate(*request, now);
            break;
        case TimerKind::Retry:
            onRetryTimer(*request, now);
            break;
        case TimerKind::Progress:
            onProgressTimer(*request, now);
            break;
        }
    }
    if (now < m_recheckAt)
        return;
    for (const auto &[key, pool] : m_upstreams.pools())
        pool->markAllChanged();
}

base::TimePoint Router::Impl::nextTick() const
{
    return std::min(m_timers.next(), m_recheckAt);
}

void Router::Impl::failRequest(ActiveRequest &request, EndReason reason, base::Millis retryAfter,
                               base::TimePoint now)
{
    if (request.stage == Stage::Queued)
        removeFromQueue(request);
    if (request.hasAttempt()) {
        request.mayHaveRun = true;
        m_actions.emplace_back(
                CancelAttempt{request.attempt, request.reservations.front().upstream});
        releaseAttempt(request, now);
    }
    const Outcome outcome = request.mayHaveRun ? Outcome::Failed : Outcome::NotRun;
    m_actions.emplace_back(FailRequest{request.info.id, reason, outcome, retryAfter});
    eraseRequest(request);
}

void Router::Impl::eraseRequest(ActiveRequest &request)
{
    m_timers.remove({request.info.deadline, TimerKind::Deadline, request.info.id});
    if (request.retryTimer)
        m_timers.remove(*request.retryTimer);
    m_admission.remove(request.info, m_placement.isLong(request.info));
    // Copies the id because erase() destroys the original.
    const base::RequestId id = request.info.id;
    m_requests.erase(id);
}

Router::Router(RouterOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{ }

Router::~Router() = default;

Actions Router::handle(const Event &event, base::TimePoint now)
{
    std::visit([&](const auto &it) { m_impl->on(it, now); }, event);
    m_impl->dispatchChangedPools(now);
    return std::exchange(m_impl->m_actions, {});
}

Actions Router::tick(base::TimePoint now)
{
    m_impl->tick(now);
    m_impl->dispatchChangedPools(now);
    return std::exchange(m_impl->m_actions, {});
}

base::TimePoint Router::nextTick() const
{
    return m_impl->nextTick();
}

RouterStats Router::stats() const
{
    RouterStats stats;
    stats.queuedRequests = m_impl->m_queuedCount;
    stats.activeRequests = m_impl->m_requests.size();
    stats.upstreamCount = m_impl->m_upstreams.size();
    stats.outstandingPromptTokens = m_impl->m_upstreams.outstanding();
    stats.ejectedUpstreams = m_impl->m_upstreams.ejectedCount(m_impl->m_lastEventAt);
    stats.openBodyBytes = m_impl->m_admission.openBodyBytes();
    return stats;
}

std::vector<PeerLoadReport> Router::outstanding() const
{
    return m_impl->m_upstreams.outstandingReports(m_impl->m_options.host);
}

} // namespace hyssop::routing
