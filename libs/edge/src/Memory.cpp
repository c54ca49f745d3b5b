// Memory reservations at engines, for prompts that exceed one engine.

#include "EdgeImpl.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace hyssop::edge {

namespace {

/// A reservation expires this long after its last renewal. Engines must have the memory back within
/// four seconds when this host dies.
constexpr base::Millis kReservationHold{3'500};
/// These requests mostly use kept-alive connections.
constexpr base::Millis kReservationConnectTimeout{200};
/// Engines answer reservation requests at once. One that takes longer has stalled, and further
/// connections to it would pile up with each renewal.
constexpr base::Millis kReservationTimeout{1'000};

} // namespace

base::UpstreamId reservationPool(const base::UpstreamId &upstream)
{
    return base::UpstreamId(upstream.text() + "/reservations");
}

void Edge::Impl::sendReservationRequest(const Reservation &reservation,
                                        const EngineRequest &engineRequest, dispatch::CallId call)
{
    gateway::Call request;
    request.upstream = reservationPool(reservation.upstream.id);
    request.to = reservation.upstream.address;
    request.head = engineRequest.head;
    request.body = std::make_shared<const std::string>(engineRequest.body);
    // It has no id itself, so that a response with one is not its answer.
    request.echoFieldName = m_protocol->echoFieldName();
    request.connectTimeout = kReservationConnectTimeout;
    request.responseTimeout = kReservationTimeout;
    m_reservationRequests[m_client.start(std::move(request))] = {
            call, reservation.upstream.id, reservation.upstream.incarnation, reservation.id};
    // Not now, as this runs while actions of the dispatcher are executed.
    boost::asio::post(*m_io, [this, upstream = reservation.upstream.id] {
        const base::TimePoint now = base::monotonicNow();
        execute(m_dispatcher.handle(dispatch::OrderSent{upstream}, now), now);
    });
}

void Edge::Impl::executeAction(const dispatch::ReserveMemory &action, base::TimePoint)
{
    EdgeCall &call = *findCall(action.call);
    for (const dispatch::Helper &it : action.helpers) {
        if (it.kvTokens == base::Tokens())
            continue;
        // Ids are never reused, so that a delayed request cannot affect another call.
        const std::string id = m_options.host.text() + "-" + std::to_string(m_startId) + "-"
                               + std::to_string(++m_lastReservationId);
        call.current.reservations.push_back({id, it.upstream, it.kvTokens, false});
        base::logEvent("memory_asked", {{"request", call.requestMetadata.id},
                                        {"upstream", it.upstream.id},
                                        {"reservation", id},
                                        {"tokens", it.kvTokens.count()}});
        sendReservationRequest(call.current.reservations.back(),
                               m_protocol->reserveRequest(id, it.kvTokens, kReservationHold),
                               call.id);
    }
}

void Edge::Impl::executeAction(const dispatch::ReleaseMemory &action, base::TimePoint)
{
    if (EdgeCall *call = findCall(action.call))
        releaseReservations(call->current);
}

void Edge::Impl::releaseReservations(EdgeAttempt &attempt)
{
    for (const Reservation &it : std::exchange(attempt.reservations, {}))
        sendReservationRequest(it, m_protocol->releaseRequest(it.id), dispatch::CallId());
}

void Edge::Impl::onReservationAnswer(gateway::CallId id, bool isReserved)
{
    const PendingReservationRequest pending = m_reservationRequests.at(id);
    m_reservationRequests.erase(id);
    EdgeCall *call = findCall(pending.call);
    if (!call)
        return;
    const auto it = std::find_if(
            call->current.reservations.begin(), call->current.reservations.end(),
            [&pending](const Reservation &r) { return r.id == pending.reservationId; });
    if (it == call->current.reservations.end())
        return;
    const base::TimePoint now = base::monotonicNow();
    base::logEvent("memory_answered", {{"request", call->requestMetadata.id},
                                       {"upstream", it->upstream.id},
                                       {"reservation", it->id},
                                       {"reserved", isReserved}});
    it->isHeld = isReserved;
    const bool areAllHeld =
            std::all_of(call->current.reservations.begin(), call->current.reservations.end(),
                        [](const Reservation &r) { return r.isHeld; });
    if (!isReserved || areAllHeld)
        execute(m_dispatcher.handle(dispatch::ReservationDone{pending.call, isReserved}, now), now);
    scheduleTick(now);
}

void Edge::Impl::renewReservations()
{
    const auto renew = [this](const EdgeAttempt &attempt) {
        for (const Reservation &it : attempt.reservations) {
            if (it.isHeld)
                sendReservationRequest(
                        it, m_protocol->reserveRequest(it.id, it.kvTokens, kReservationHold),
                        dispatch::CallId());
        }
    };
    for (const auto &[id, call] : m_calls) {
        renew(call.current);
        if (call.stalled)
            renew(*call.stalled);
    }
}

} // namespace hyssop::edge
