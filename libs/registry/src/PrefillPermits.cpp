#include "PrefillPermits.h"

#include <algorithm>

namespace hyssop::registry {

namespace {

/// Engines that prefill one prompt together.
constexpr int kEnginesPerPrompt = 17;
/// Concurrent prefills of a service with few engines. The second one uses engines that the first no
/// longer needs.
constexpr int kMinPermits = 2;
/// Minimum time between grants, so that hosts learn which engine the previous one was placed on.
constexpr base::Millis kGrantInterval{30};
/// A permit that is never released, for example because its host was killed, expires after this
/// time for placement plus the prefill time divided over at least kMinPrefillEngines engines.
constexpr base::Millis kPlacementAllowance{700};
constexpr std::int64_t kMinPrefillEngines = 3;
constexpr base::Millis kMaxPermitLifetime{4'000};
/// A request that has waited this long is granted before shorter ones.
constexpr base::Millis kPriorityAfter{1'500};

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
    m_sizeFairness.add(request, now);
    tick(now);
}

void PrefillPermits::release(const fleet::PermitKey &key, bool isPrefilled, base::TimePoint now)
{
    m_sizeFairness.setOutcome(key, isPrefilled);
    m_held.erase(key);
    std::erase_if(m_waiting, [&key](const WaitingRequest &it) { return it.request.key == key; });
    tick(now);
}

bool PrefillPermits::canGrant(const fleet::PermitRequest &request, bool isUnderserved) const
{
    int heldCount = 0;
    int oversizedCount = 0;
    for (const auto &[key, permit] : m_held) {
        if (permit.service != request.service)
            continue;
        ++heldCount;
        oversizedCount += permit.isOversized ? 1 : 0;
    }
    if (request.isOversized && !isUnderserved)
        return heldCount == 0;
    const int limit = std::max(kMinPermits,
                               (request.engineCount + kEnginesPerPrompt - 1) / kEnginesPerPrompt);
    // Each occupies many engines for long.
    const int oversizedLimit = std::max(1, request.engineCount / kEnginesPerPrompt);
    return heldCount < limit && (!request.isOversized || oversizedCount < oversizedLimit);
}

std::vector<PrefillPermits::WaitingRequest>::iterator PrefillPermits::nextToGrant(
        base::TimePoint now)
{
    enum Priority { Underserved, Aged, OnTime, Late, Oversized };
    auto candidate = m_waiting.end();
    std::pair<Priority, std::int64_t> candidateKey;
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        const fleet::PermitRequest &request = it->request;
        const bool isUnderserved = m_sizeFairness.isUnderserved(request);
        if (!canGrant(request, isUnderserved))
            continue;
        const bool isLate = now >= it->waitingSince + request.lateAfter;
        const Priority priority = isUnderserved                              ? Underserved
                                  : request.isOversized                      ? Oversized
                                  : isLate                                   ? Late
                                  : now >= it->waitingSince + kPriorityAfter ? Aged
                                                                             : OnTime;
        const bool isFirstComeFirstServed = priority == Aged;
        const std::pair key(priority, isFirstComeFirstServed ? 0 : request.prefillMs);
        if (candidate == m_waiting.end() || key < candidateKey) {
            candidate = it;
            candidateKey = key;
        }
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
        m_sizeFairness.setOutcome(it->request.key, false);
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
    m_held[it->request.key] = {it->request.service, it->request.isOversized,
                               now + permitLifetime(it->request)};
    const fleet::PermitKey key = it->request.key;
    const Answer answer = std::move(it->answer);
    m_waiting.erase(it);
    answer(true);
    m_sizeFairness.setOutcome(key, true);
}

} // namespace hyssop::registry
