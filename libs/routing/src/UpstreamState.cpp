#include "UpstreamState.h"

#include <cassert>

namespace hyssop::routing {

UpstreamState::UpstreamState(UpstreamInfo info, std::uint64_t serial)
    : m_serial(serial)
{
    setInfo(std::move(info));
}

void UpstreamState::setInfo(UpstreamInfo info)
{
    constexpr std::int64_t kSmallestBlock = 256; // tokens
    m_info = std::move(info);
    prefixIndex.setCapacity(static_cast<std::size_t>(m_info.kvTokens.count() / kSmallestBlock + 1));
}

void UpstreamState::reserve(const Reservation &reservation, std::uint64_t order,
                            base::TimePoint now)
{
    m_outstandingByPriority[static_cast<std::size_t>(reservation.priority)] +=
            reservation.uncachedTokens;
    m_outstanding += reservation.uncachedTokens;
    if (reservation.isLong)
        m_longOutstanding += reservation.uncachedTokens;
    m_reservedKv += reservation.kvTokens;
    ++m_requests;
    m_lastAssigned = order;
    reportedLoad.recordKnown(knownOutstanding(now), now);
}

void UpstreamState::releasePrefill(Reservation &reservation, base::TimePoint now)
{
    if (reservation.serial != m_serial)
        return;
    reportedLoad.recordKnown(knownOutstanding(now), now);
    m_outstandingByPriority[static_cast<std::size_t>(reservation.priority)] -=
            reservation.uncachedTokens;
    m_outstanding -= reservation.uncachedTokens;
    if (reservation.isLong)
        m_longOutstanding -= reservation.uncachedTokens;
    reservation.uncachedTokens = {};
    assert(m_outstanding.count() >= 0 && "the prompt was released twice");
}

void UpstreamState::release(Reservation &reservation, base::TimePoint now)
{
    if (reservation.serial != m_serial)
        return;
    releasePrefill(reservation, now);
    m_reservedKv -= reservation.kvTokens;
    reservation.kvTokens = {};
    --m_requests;
    reservation.serial = 0;
    assert(m_requests >= 0 && "the attempt was released twice");
}

base::Tokens UpstreamState::tokensAhead(int priority, bool isLong, base::TimePoint now)
{
    base::Tokens tokens;
    for (std::size_t p = 0; p <= static_cast<std::size_t>(priority); ++p)
        tokens += m_outstandingByPriority[p];
    const PeerLoad::Sum &others = peerLoad.sum(now);
    tokens += isLong ? others.promptTokens : others.promptTokens - others.longPromptTokens;
    return tokens + reportedLoad.unattributed(prefillRate.rate(), now);
}

bool UpstreamState::hasLongPrompt(base::TimePoint now)
{
    return m_longOutstanding.count() > 0 || peerLoad.sum(now).longPromptTokens.count() > 0;
}

PeerLoadReport UpstreamState::outstandingReport(const base::HostId &host) const
{
    PeerLoadReport report;
    report.host = host;
    report.upstream = m_info.id;
    report.promptTokens = m_outstanding;
    report.requests = m_requests;
    report.longPromptTokens = m_longOutstanding;
    report.kvTokens = m_reservedKv;
    return report;
}

} // namespace hyssop::routing
