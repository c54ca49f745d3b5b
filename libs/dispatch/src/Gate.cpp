// What the dispatcher asks the send gate, and calls that the gate holds back.

#include "DispatcherImpl.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Least Retry-After of a call whose upstreams are all in evacuated data centres. Operators decide
/// when that ends.
constexpr base::Millis kEvacuatedRetryAfter{2'000};

FailureReason failureOf(QueueBlocker blocker)
{
    switch (blocker) {
    case QueueBlocker::Evacuated:
        return FailureReason::Evacuated;
    case QueueBlocker::OutsideRegions:
        return FailureReason::OutsideRegions;
    default:
        return FailureReason::Overloaded;
    }
}

} // namespace

void Dispatcher::Impl::handle(const EvacuationsChanged &event, base::TimePoint)
{
    m_evacuations = event.evacuations;
}

std::size_t Dispatcher::Impl::availableUpstreams(const ServiceState &service) const
{
    const auto isAvailable = [this](const UpstreamState *it) {
        return !m_evacuations.dataCentres.contains(it->info().dataCentre);
    };
    return static_cast<std::size_t>(
            std::count_if(service.upstreams.begin(), service.upstreams.end(), isAvailable));
}

std::vector<UpstreamState *> Dispatcher::Impl::usableUpstreams(const ActiveCall &call,
                                                               const ServiceState &service,
                                                               base::TimePoint now) const
{
    return m_gate.select(service.upstreams, scopeOf(call), now);
}

QueueBlocker Dispatcher::Impl::gateBlocker(const ActiveCall &call, const ServiceState &service,
                                           base::TimePoint now) const
{
    const auto refusal = m_gate.commonRefusal(service.upstreams, scopeOf(call), now);
    if (!refusal)
        return QueueBlocker::Capacity;
    switch (refusal->reason) {
    case SendRefusalReason::BackOff:
        return QueueBlocker::BackOff;
    case SendRefusalReason::Evacuated:
        return QueueBlocker::Evacuated;
    case SendRefusalReason::OutsideRegions:
        return QueueBlocker::OutsideRegions;
    case SendRefusalReason::Cold:
        return QueueBlocker::Cold;
    default:
        return QueueBlocker::Capacity;
    }
}

void Dispatcher::Impl::rejectIfRefused(ActiveCall &call, const ServiceState &service,
                                       base::TimePoint now)
{
    const auto refusal = m_gate.commonRefusal(service.upstreams, scopeOf(call), now);
    if (refusal && refusal->until.value_or(base::TimePoint::max()) > queueDeadline(call))
        rejectOrFail(call, failureOf(call.blocker), now);
}

bool Dispatcher::Impl::maySendReserved(const ActiveCall &call, base::TimePoint now)
{
    const auto isRefused = [&](const base::UpstreamId &id) {
        const UpstreamState *state = findUpstream(id);
        const SendScope scope{&call.info.allowedRegions, SendKind::Reserved};
        return state && m_gate.checkHard(*state, scope, now);
    };
    const Attempt &attempt = call.current;
    return !isRefused(attempt.upstream)
           && std::none_of(attempt.prefillEngines.begin(), attempt.prefillEngines.end(), isRefused);
}

base::Millis Dispatcher::Impl::gateDelay(const ActiveCall &call, base::TimePoint now) const
{
    if (call.blocker == QueueBlocker::Evacuated)
        return kEvacuatedRetryAfter;
    const auto service = m_services.find(call.info.service);
    const bool isTimed =
            call.blocker == QueueBlocker::BackOff || call.blocker == QueueBlocker::Cold;
    if (!isTimed || service == m_services.end())
        return base::Millis(0);
    const auto refusal = m_gate.commonRefusal(service->second.upstreams, scopeOf(call), now);
    return refusal && refusal->until ? std::chrono::ceil<base::Millis>(*refusal->until - now)
                                     : base::Millis(0);
}

} // namespace hyssop::dispatch
