#include "PrefillPermits.h"

#include <algorithm>

namespace hyssop::registry {

namespace {

/// Concurrent prefills per service. The second one uses engines that the first no longer needs.
constexpr std::size_t kMaxPermitsPerService = 2;
/// Minimum time between grants, so that hosts learn which engine the previous one was placed on.
constexpr base::Millis kGrantInterval{30};
/// A permit that is never released, for example because its host was killed, expires after this
/// time for placement plus the prefill time divided over at least kMinPrefillEngines engines.
constexpr base::Millis kPlacementAllowance{700};
constexpr std::int64_t kMinPrefillEngines = 3;
constexpr base::Millis kMaxPermitLifetime{4'000};
/// A request that has waited this long is granted before shorter ones.
constexpr base::Millis kPriorityAfter{1'500};
/// An oversized request that has waited that long is granted before all others once after this many
/// of these. They come last otherwise and would never be granted in an overload.
constexpr int kGrantsPerOversized = 6;

} // namespace

base::Millis PrefillPermits::permitLifetime(const fleet::PermitRequest &request)
{
    return std::min(kMaxPermitLifetime,
                    kPlacementAllowance + base::Millis(request.prefillMs / kMinPrefillEngines));
}

void PrefillPermits::dropEarlierIncarnations(const fleet::PermitKey &key)
{
    const auto isEarlier = [&key](const fleet::PermitKey &other) {
        return other.host == key.host && other.startId != key.startId;
    };
    std::erase_if(m_held, [&](const auto &it) { return isEarlier(it.first); });
    std::erase_if(m_waiting, [&](const WaitingRequest &it) { return isEarlier(it.request.key); });
}

void PrefillPermits::acquire(const fleet::PermitRequest &request, Answer answer,
                             base::TimePoint now)
{
    dropEarlierIncarnations(request.key);
    m_waiting.push_back({request, std::move(answer), now});
    tick(now);
}

void PrefillPermits::release(const fleet::PermitKey &key, base::TimePoint now)
{
    m_held.erase(key);
    std::erase_if(m_waiting, [&key](const WaitingRequest &it) { return it.request.key == key; });
    tick(now);
}

std::size_t PrefillPermits::competingCount(const fleet::PermitRequest &request) const
{
    return static_cast<std::size_t>(
            std::count_if(m_held.begin(), m_held.end(), [&request](const auto &it) {
                const HeldPermit &permit = it.second;
                // A request for all engines must not wait until no data centre has permits.
                return permit.service == request.service
                       && (permit.dataCentre == request.dataCentre
                           || permit.dataCentre.text().empty());
            }));
}

std::vector<PrefillPermits::WaitingRequest>::iterator PrefillPermits::nextToGrant(
        base::TimePoint now)
{
    auto candidate = m_waiting.end();
    const auto sortKey = [this, now](const WaitingRequest &it) {
        const bool isLate = now >= it.waitingSince + it.request.lateAfter;
        const bool hasWaitedLong = !isLate && now >= it.waitingSince + kPriorityAfter;
        const bool isItsTurn = it.request.isOversized && hasWaitedLong
                               && m_grantsSinceOversized >= kGrantsPerOversized;
        const int priority = isItsTurn                ? 0
                             : it.request.isOversized ? 4
                             : isLate                 ? 3
                             : hasWaitedLong          ? 1
                                                      : 2;
        return std::pair(priority, hasWaitedLong ? std::int64_t(0) : it.request.prefillMs);
    };
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        const std::size_t limit = it->request.isExclusive ? 1 : kMaxPermitsPerService;
        if (competingCount(it->request) >= limit)
            continue;
        if (candidate == m_waiting.end() || sortKey(*it) < sortKey(*candidate))
            candidate = it;
    }
    return candidate;
}

void PrefillPermits::tick(base::TimePoint now)
{
    std::erase_if(m_held, [now](const auto &it) { return now >= it.second.expiresAt; });
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (now < it->waitingSince + it->request.maxWait) {
            ++it;
            continue;
        }
        const Answer answer = std::move(it->answer);
        it = m_waiting.erase(it);
        answer(false);
    }
    if (now < m_lastGrantAt + kGrantInterval)
        return;
    const auto it = nextToGrant(now);
    if (it == m_waiting.end())
        return;
    m_lastGrantAt = now;
    m_grantsSinceOversized = it->request.isOversized ? 0 : m_grantsSinceOversized + 1;
    m_held[it->request.key] = {it->request.service, it->request.dataCentre,
                               now + permitLifetime(it->request)};
    const Answer answer = std::move(it->answer);
    m_waiting.erase(it);
    answer(true);
}

} // namespace hyssop::registry
