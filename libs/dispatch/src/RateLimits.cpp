// Request rate limits that upstreams state for all entry hosts together.

#include "DispatcherImpl.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// A grant expires this long after its request, also for a host that was paused meanwhile.
constexpr base::Millis kSendGrantLifetime{1'000};
/// Time between two requests of one priority when the first was denied.
constexpr base::Millis kDeniedInterval{100};
/// Time until a grant is likely while no control host decides.
constexpr base::Millis kUndecidedRetryAfter{1'000};
/// Time between two requests for calls to come when the first got nothing.
constexpr base::Millis kPrefetchInterval{50};

} // namespace

void Dispatcher::Impl::handle(const RateLimitStated &event, base::TimePoint now)
{
    const ActiveCall *call = findCall(event.call);
    if (!call || call->stage != CallStage::Sent)
        return;
    if (UpstreamState *state = findUpstream(call->current.upstream))
        updateRateLimit(*state,
                        {call->current.upstreamIncarnation, event.rate, call->current.sentAt, now},
                        RateLimitSource::Answer, now);
}

void Dispatcher::Impl::handle(const RateLimitsReceived &event, base::TimePoint now)
{
    for (const fleet::RateLimitReport &it : event.limits) {
        if (UpstreamState *state = findUpstream(it.upstream))
            updateRateLimit(*state, fleet::toStatement(it, event.repliedAfter, now),
                            RateLimitSource::Control, now);
    }
}

void Dispatcher::Impl::updateRateLimit(UpstreamState &state,
                                       const fleet::RateLimitStatement &statement,
                                       RateLimitSource source, base::TimePoint now)
{
    const fleet::RequestRate previousRate = state.rateLimit().rate;
    if (!state.updateRateLimit(statement))
        return;
    const auto age = std::chrono::floor<base::Millis>(now - statement.requestSentAt);
    m_actions.emplace_back(
            RateLimitChanged{state.info().id, state.rateLimit().rate, previousRate, source, age});
    if (source != RateLimitSource::Control)
        m_actions.emplace_back(
                ReportRateLimit{fleet::toReport(state.info().id, state.rateLimit(), now)});
}

void Dispatcher::Impl::handle(const OrderSent &event, base::TimePoint now)
{
    UpstreamState *state = findUpstream(event.upstream);
    if (!state || !state->isRateLimited())
        return;
    fleet::RateLimitReport report = fleet::toReport(event.upstream, state->rateLimit(), now);
    report.unplannedRequests = 1;
    m_actions.emplace_back(ReportRateLimit{report});
}

std::vector<UpstreamState *> Dispatcher::Impl::rateLimitedCandidates(
        const ActiveCall &call, const std::vector<UpstreamState *> &candidates, int maxRequests,
        base::TimePoint now)
{
    std::vector<UpstreamState *> limited;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(limited),
                 [&](const UpstreamState *it) {
                     return !it->maySend(now) && it->requests() < maxRequests
                            && !contains(call.triedUpstreams, it->info().id);
                 });
    return limited;
}

void Dispatcher::Impl::noteRateLimited(ActiveCall &call,
                                       const std::vector<UpstreamState *> &candidates,
                                       int maxRequests, base::TimePoint now)
{
    m_rateLimitedCandidates = rateLimitedCandidates(call, candidates, maxRequests, now);
    if (!m_rateLimitedCandidates.empty())
        call.blocker = QueueBlocker::RateLimit;
}

std::vector<fleet::RateLimitReport> Dispatcher::Impl::limitReports(
        const std::vector<UpstreamState *> &upstreams, base::TimePoint now)
{
    std::vector<fleet::RateLimitReport> reports;
    reports.reserve(upstreams.size());
    for (const UpstreamState *it : upstreams)
        reports.push_back(fleet::toReport(it->info().id, it->rateLimit(), now));
    return reports;
}

void Dispatcher::Impl::waitForSendGrant(ActiveCall &call, ServiceState &service,
                                        base::TimePoint now)
{
    SendGrantQueue &queue = service.sendGrantQueues[call.info.priority];
    if (queue.isPending)
        return;
    const base::TimePoint waitsUntil = queueDeadline(call);
    if (now < queue.deniedUntil) {
        if (now + queue.retryAfter > waitsUntil)
            rejectOrFail(call, FailureReason::Overloaded, now);
        return;
    }
    queue.isPending = true;
    const auto millis = [](base::TimePoint::duration duration) {
        return std::max(base::Millis(0), std::chrono::floor<base::Millis>(duration));
    };
    m_actions.emplace_back(RequestSendGrant{call.info.service, call.info.priority, true,
                                            millis(now - call.queuedAt), millis(waitsUntil - now),
                                            limitReports(m_rateLimitedCandidates, now)});
}

void Dispatcher::Impl::prefetchSendGrant(ServiceState &service, base::TimePoint now)
{
    if (service.isPrefetchPending || now < service.nextPrefetchAt)
        return;
    std::vector<UpstreamState *> limited;
    bool hasUnlimited = false;
    for (UpstreamState *it : service.upstreams) {
        if (!m_gate.maySend(*it, {}, now))
            continue;
        if (!it->isRateLimited()) {
            hasUnlimited = true;
            continue;
        }
        // One grant in hand is enough until it is used.
        if (it->maySend(now))
            return;
        limited.push_back(it);
    }
    // Without an alternative each call waits for a grant of its own, and none is lost.
    if (limited.empty() || !hasUnlimited)
        return;
    service.isPrefetchPending = true;
    m_actions.emplace_back(RequestSendGrant{service.parameters.service, 0, false, base::Millis(0),
                                            base::Millis(0), limitReports(limited, now)});
}

bool Dispatcher::Impl::takeLocalShare(const ServiceState &service, base::TimePoint now)
{
    const int hostCount = m_sharingHosts.current(now);
    for (UpstreamState *it : service.upstreams) {
        if (it->isRateLimited() && m_gate.maySend(*it, {}, now)
            && it->takeLocalShare(hostCount, m_rng, now)) {
            it->addSendGrant(1, now + kSendGrantLifetime);
            return true;
        }
    }
    return false;
}

void Dispatcher::Impl::handle(const SendGrantReceived &event, base::TimePoint now)
{
    ServiceState &service = serviceOf(event.service);
    const bool isGranted = event.reply.count > 0;
    const base::TimePoint expiresAt = event.requestedAt + kSendGrantLifetime;
    UpstreamState *state = findUpstream(event.reply.upstream);
    if (isGranted && state && now < expiresAt)
        state->addSendGrant(event.reply.count, expiresAt);
    if (!event.isWaiting) {
        service.isPrefetchPending = false;
        service.nextPrefetchAt = isGranted ? now : now + kPrefetchInterval;
        return;
    }
    SendGrantQueue &queue = service.sendGrantQueues[event.priority];
    queue.isPending = false;
    if (isGranted || (!event.isFromControl && takeLocalShare(service, now)))
        return;
    queue.deniedUntil = now + kDeniedInterval;
    queue.retryAfter = event.isFromControl ? event.reply.retryAfter : kUndecidedRetryAfter;
}

base::Millis Dispatcher::Impl::rateLimitDelay(const ActiveCall &call) const
{
    if (call.blocker != QueueBlocker::RateLimit)
        return base::Millis(0);
    const auto service = m_services.find(call.info.service);
    if (service == m_services.end())
        return base::Millis(0);
    const auto queue = service->second.sendGrantQueues.find(call.info.priority);
    return queue == service->second.sendGrantQueues.end() ? base::Millis(0)
                                                          : queue->second.retryAfter;
}

} // namespace hyssop::dispatch
