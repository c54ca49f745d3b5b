#include "KvMemory.h"

#include <algorithm>
#include <cassert>

namespace hyssop::standins {

namespace {

/// Part of the memory that waiting reservations leave to sequences, as a divisor.
constexpr std::int64_t kHeadroomDivisor = 8;

} // namespace

KvMemory::KvMemory(std::int64_t capacity)
    : m_capacity(capacity)
{ }

bool KvMemory::take(std::int64_t tokens)
{
    if (tokens > free())
        return false;
    m_sequences += tokens;
    return true;
}

void KvMemory::give(std::int64_t tokens)
{
    assert(tokens <= m_sequences && "more memory was given back than sequences had taken");
    m_sequences -= tokens;
}

std::list<Reservation>::iterator KvMemory::find(const std::string &id)
{
    return std::find_if(m_reservations.begin(), m_reservations.end(),
                        [&](const Reservation &it) { return it.id == id; });
}

const Reservation *KvMemory::reservation(const std::string &id) const
{
    const auto it = std::find_if(m_reservations.begin(), m_reservations.end(),
                                 [&](const Reservation &one) { return one.id == id; });
    return it == m_reservations.end() ? nullptr : &*it;
}

KvMemory::Verdict KvMemory::reserve(Reservation reservation, base::TimePoint now)
{
    if (reservation.tokens > m_capacity)
        return Verdict::TooLarge;
    const std::string id = reservation.id;
    const auto known = find(id);
    if (known != m_reservations.end()) {
        known->expires = now + known->ttl;
        return known->isHeld() ? Verdict::Held : Verdict::Waiting;
    }
    reservation.held = 0;
    m_reservations.push_back(std::move(reservation));
    gather(now);
    return find(id)->isHeld() ? Verdict::Held : Verdict::Waiting;
}

std::vector<std::string> KvMemory::gather(base::TimePoint now)
{
    std::vector<std::string> held;
    for (Reservation &it : m_reservations) {
        if (it.isHeld())
            continue;
        const std::int64_t missing = it.tokens - it.held;
        // One that can be met at once needs to leave no headroom.
        const std::int64_t headroom = missing <= free() ? 0 : m_capacity / kHeadroomDivisor;
        const std::int64_t n = std::clamp<std::int64_t>(free() - headroom, 0, missing);
        it.held += n;
        m_reserved += n;
        if (!it.isHeld())
            break;
        it.expires = now + it.ttl;
        held.push_back(it.id);
    }
    return held;
}

std::vector<std::string> KvMemory::expire(base::TimePoint now)
{
    std::vector<std::string> waiting;
    for (auto it = m_reservations.begin(); it != m_reservations.end();) {
        const auto next = std::next(it);
        if (it->isHeld() ? now >= it->expires : now >= it->waitUntil) {
            if (!it->isHeld())
                waiting.push_back(it->id);
            erase(it);
        }
        it = next;
    }
    return waiting;
}

void KvMemory::erase(std::list<Reservation>::iterator it)
{
    m_reserved -= it->held;
    m_reservations.erase(it);
}

bool KvMemory::unreserve(const std::string &id)
{
    const auto it = find(id);
    if (it == m_reservations.end())
        return false;
    erase(it);
    return true;
}

bool KvMemory::hold(const std::string &id, KvHold hold)
{
    if (m_holds.contains(id))
        return true;
    if (hold.tokens > free())
        return false;
    m_heldTokens += hold.tokens;
    m_holds.emplace(id, std::move(hold));
    return true;
}

bool KvMemory::unhold(const std::string &id)
{
    const auto it = m_holds.find(id);
    if (it == m_holds.end())
        return false;
    m_heldTokens -= it->second.tokens;
    m_holds.erase(it);
    return true;
}

} // namespace hyssop::standins
