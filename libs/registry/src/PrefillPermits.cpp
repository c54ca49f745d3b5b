#include "PrefillPermits.h"

#include <algorithm>

namespace hyssop::registry {

namespace {

/// Concurrent prefills per service. The second one uses engines that the first no longer needs.
constexpr std::size_t kMaxPermitsPerService = 2;
/// Minimum time between grants, so that hosts learn which engine the previous one was placed on.
constexpr base::Millis kGrantInterval{30};
/// A host that began to use another control host a moment ago has not reported to this one yet.
constexpr base::Millis kFirstReportTime{2'000};
/// A request that has waited this long is granted before shorter ones.
constexpr base::Millis kPriorityAfter{1'500};

PromptKind kindOf(const fleet::PermitRequest &request)
{
    return {request.service, request.route};
}

/// Whether two permits use the same engines.
bool areCompeting(const fleet::PermitRequest &a, const fleet::PermitRequest &b)
{
    return a.service == b.service
           && (a.dataCentre == b.dataCentre || a.dataCentre.text().empty()
               || b.dataCentre.text().empty());
}

} // namespace

void PrefillPermits::dropEarlierIncarnations(const fleet::PermitKey &key)
{
    const auto isEarlier = [&key](const fleet::PermitKey &other) {
        return other.host == key.host && other.startId != key.startId;
    };
    std::erase_if(m_held, [&](const auto &it) { return isEarlier(it.first); });
    std::erase_if(m_waiting, [&](const WaitingRequest &it) { return isEarlier(it.request.key); });
}

void PrefillPermits::dropLostHosts(const IsLost &isLost, base::TimePoint now)
{
    std::erase_if(m_held, [&](const auto &it) {
        return now >= it.second.grantedAt + kFirstReportTime && isLost(it.first.host);
    });
}

void PrefillPermits::acquire(const fleet::PermitRequest &request, Answer answer,
                             base::TimePoint now)
{
    dropEarlierIncarnations(request.key);
    // The host knows that the previous permit of the call has run out before this one does.
    m_held.erase(request.key);
    m_waiting.push_back({request, std::move(answer), now});
    tick(now);
}

void PrefillPermits::release(const fleet::PermitRequest &request, base::TimePoint now)
{
    m_held.erase(request.key);
    std::erase_if(m_waiting,
                  [&request](const WaitingRequest &it) { return it.request.key == request.key; });
    if (request.prefillMs > 0)
        m_sizeShares.record(kindOf(request), {request.prefillMs, request.isPrefilled}, now);
    tick(now);
}

KindShares PrefillPermits::sharesOf(const PromptKind &kind, base::TimePoint now) const
{
    std::vector<PromptEnd> pending;
    for (const auto &[key, permit] : m_held) {
        if (permit.service == kind.service && permit.route == kind.route)
            pending.push_back({permit.prefillMs, true});
    }
    for (const WaitingRequest &it : m_waiting) {
        if (kindOf(it.request) == kind && now >= it.waitingSince + kPriorityAfter)
            pending.push_back({it.request.prefillMs, false});
    }
    return m_sizeShares.sharesOf(kind, pending, now);
}

PrefillPermits::Shares PrefillPermits::waitingShares(base::TimePoint now) const
{
    Shares shares;
    for (const WaitingRequest &it : m_waiting) {
        const PromptKind kind = kindOf(it.request);
        if (!shares.contains(kind))
            shares[kind] = sharesOf(kind, now);
    }
    return shares;
}

std::map<PromptKind, KindShares> PrefillPermits::shares(base::TimePoint now) const
{
    Shares shares;
    for (const PromptKind &kind : m_sizeShares.kinds())
        shares[kind] = sharesOf(kind, now);
    return shares;
}

PrefillPermits::Standing PrefillPermits::standingOf(const fleet::PermitRequest &request,
                                                    base::TimePoint now) const
{
    const KindShares shares = sharesOf(kindOf(request), now);
    const SizeRank rank = shares.rankOf(request.prefillMs);
    return {rank, shares.relativeShare(rank), shares.isPassedOver(rank)};
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
    const Shares shares = waitingShares(now);
    const auto sortKey = [&shares, now](const WaitingRequest &it) {
        const KindShares &kind = shares.at(kindOf(it.request));
        const SizeRank rank = kind.rankOf(it.request.prefillMs);
        if (kind.isPassedOver(rank))
            return std::tuple(0, kind.relativeShare(rank), it.request.prefillMs);
        const bool isLate = now >= it.waitingSince + it.request.lateAfter;
        const bool hasWaitedLong = !isLate && now >= it.waitingSince + kPriorityAfter;
        const int priority = it.request.isOversized ? 4 : isLate ? 3 : hasWaitedLong ? 1 : 2;
        return std::tuple(priority, 0.0, hasWaitedLong ? std::int64_t(0) : it.request.prefillMs);
    };
    using Key = decltype(sortKey(m_waiting.front()));
    std::vector<std::pair<Key, std::vector<WaitingRequest>::iterator>> order;
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it)
        order.emplace_back(sortKey(*it), it);
    std::stable_sort(order.begin(), order.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<const fleet::PermitRequest *> reserved;
    for (const auto &[key, it] : order) {
        const fleet::PermitRequest &request = it->request;
        const bool isReserved =
                std::any_of(reserved.begin(), reserved.end(), [&request](const auto *other) {
                    return areCompeting(request, *other);
                });
        if (isReserved)
            continue;
        const std::size_t limit = request.isExclusive ? 1 : kMaxPermitsPerService;
        if (competingCount(request) < limit)
            return it;
        // Later grants would keep a passed over size from ever having the engines to itself.
        if (std::get<0>(key) == 0)
            reserved.push_back(&request);
    }
    return m_waiting.end();
}

void PrefillPermits::denyHopeless(base::TimePoint now)
{
    const Shares shares = waitingShares(now);
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const fleet::PermitRequest &request = it->request;
        const KindShares &kind = shares.at(kindOf(request));
        const bool mayWaitOn =
                !request.isExclusive || kind.isPassedOver(kind.rankOf(request.prefillMs));
        if (now < it->waitingSince + (mayWaitOn ? request.maxWait : request.idleWait)) {
            ++it;
            continue;
        }
        const Answer answer = std::move(it->answer);
        it = m_waiting.erase(it);
        answer(false);
    }
}

void PrefillPermits::tick(base::TimePoint now)
{
    std::erase_if(m_held, [now](const auto &it) { return now >= it.second.expiresAt; });
    if (m_waiting.empty())
        return;
    denyHopeless(now);
    if (now < m_lastGrantAt + kGrantInterval)
        return;
    const auto it = nextToGrant(now);
    if (it == m_waiting.end())
        return;
    m_lastGrantAt = now;
    m_held[it->request.key] = {it->request.service,
                               it->request.dataCentre,
                               it->request.route,
                               it->request.prefillMs,
                               now,
                               now + fleet::permitLifetime(it->request.prefillMs)};
    const Answer answer = std::move(it->answer);
    m_waiting.erase(it);
    answer(true);
}

} // namespace hyssop::registry
