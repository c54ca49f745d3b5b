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
    cache.setCapacity(static_cast<std::size_t>(m_info.kvTokens.count() / kSmallestBlock + 1));
}

void UpstreamState::bind(const Hold &hold, std::uint64_t order, base::TimePoint now)
{
    m_byPriority[static_cast<std::size_t>(hold.priority)] += hold.uncached;
    m_outstanding += hold.uncached;
    if (hold.isLong)
        m_longOutstanding += hold.uncached;
    m_kv += hold.kv;
    ++m_requests;
    m_lastBound = order;
    reported.noteKnown(known(now), now);
}

void UpstreamState::releasePrompt(Hold &hold, base::TimePoint now)
{
    if (hold.serial != m_serial)
        return;
    reported.noteKnown(known(now), now);
    m_byPriority[static_cast<std::size_t>(hold.priority)] -= hold.uncached;
    m_outstanding -= hold.uncached;
    if (hold.isLong)
        m_longOutstanding -= hold.uncached;
    hold.uncached = {};
    assert(m_outstanding.count() >= 0 && "a prompt was released twice");
}

void UpstreamState::release(Hold &hold, base::TimePoint now)
{
    if (hold.serial != m_serial)
        return;
    releasePrompt(hold, now);
    m_kv -= hold.kv;
    hold.kv = {};
    --m_requests;
    hold.serial = 0;
    assert(m_requests >= 0 && "an attempt was released twice");
}

base::Tokens UpstreamState::ahead(int priority, bool isLong, base::TimePoint now)
{
    base::Tokens tokens;
    for (std::size_t p = 0; p <= static_cast<std::size_t>(priority); ++p)
        tokens += m_byPriority[p];
    const PeerLoad::Sum &others = peers.sum(now);
    tokens += isLong ? others.prompt : others.prompt - others.longPrompt;
    return tokens + reported.unknown(rate.rate(), now);
}

bool UpstreamState::hasLongPrompt(base::TimePoint now)
{
    return m_longOutstanding.count() > 0 || peers.sum(now).longPrompt.count() > 0;
}

PeerOutstanding UpstreamState::report(const base::HostId &host) const
{
    PeerOutstanding report;
    report.host = host;
    report.upstream = m_info.id;
    report.prompt = m_outstanding;
    report.requests = m_requests;
    report.longPrompt = m_longOutstanding;
    report.kv = m_kv;
    return report;
}

} // namespace hyssop::routing
