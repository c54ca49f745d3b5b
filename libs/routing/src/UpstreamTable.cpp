#include "UpstreamTable.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

/// Number of times that an upstream is reported after its work has ended.
constexpr int kReportsAfterClear = 3;

std::string poolKey(const RequestInfo &request)
{
    const char kind = request.kind == UpstreamKind::Engine ? 'e' : 's';
    return kind + request.modelOrService + '\n' + request.role;
}

bool hasSamePools(const UpstreamInfo &a, const UpstreamInfo &b)
{
    return a.kind == b.kind && a.dataCentre == b.dataCentre && a.role == b.role
           && a.models == b.models && a.isLeaving == b.isLeaving;
}

} // namespace

UpstreamTable::UpstreamTable(base::DataCentreId ownDataCentre)
    : m_ownDataCentre(std::move(ownDataCentre))
{ }

void UpstreamTable::addOrUpdate(const UpstreamInfo &info)
{
    UpstreamState *known = find(info.id);
    if (known && known->info().incarnation == info.incarnation) {
        const bool isSame = hasSamePools(known->info(), info);
        known->setInfo(info);
        if (!isSame)
            rebuild();
        return;
    }
    remove(info.id);
    m_states[info.id] = std::make_unique<UpstreamState>(info, ++m_lastSerial);
    rebuild();
}

void UpstreamTable::remove(const base::UpstreamId &id)
{
    const auto it = m_states.find(id);
    if (it == m_states.end())
        return;
    m_outstanding -= it->second->outstanding();
    m_states.erase(it);
    m_ejectedUntil.erase(id);
    rebuild();
}

UpstreamState *UpstreamTable::find(const base::UpstreamId &id)
{
    const auto it = m_states.find(id);
    return it == m_states.end() ? nullptr : it->second.get();
}

UpstreamState *UpstreamTable::find(const Reservation &reservation)
{
    UpstreamState *state = find(reservation.upstream);
    return state && state->serial() == reservation.serial ? state : nullptr;
}

void UpstreamTable::rebuild()
{
    for (const auto &[id, state] : m_states)
        state->pools.clear();
    for (const auto &[key, pool] : m_pools)
        rebuild(*pool);
}

void UpstreamTable::rebuild(UpstreamPool &pool)
{
    pool.localUpstreams.clear();
    pool.remoteUpstreams.clear();
    for (const auto &[id, state] : m_states) {
        if (!pool.accepts(state->info()))
            continue;
        const bool isOwn = state->info().dataCentre == m_ownDataCentre;
        (isOwn ? pool.localUpstreams : pool.remoteUpstreams).push_back(state.get());
        state->pools.push_back(&pool);
    }
    pool.longPromptOrder = pool.localUpstreams;
    const auto rank = [](const UpstreamState *it) {
        return std::pair(base::stableHash(it->info().id.text()), it->info().id);
    };
    std::sort(pool.longPromptOrder.begin(), pool.longPromptOrder.end(),
              [&](const auto *a, const auto *b) { return rank(a) < rank(b); });
    pool.markAllChanged();
}

UpstreamPool *UpstreamTable::poolFor(const RequestInfo &request)
{
    const std::string key = poolKey(request);
    if (const auto it = m_pools.find(key); it != m_pools.end())
        return it->second->hasUpstreams() ? it->second.get() : nullptr;
    auto pool = std::make_unique<UpstreamPool>();
    pool->kind = request.kind;
    pool->target = request.modelOrService;
    pool->role = request.role;
    rebuild(*pool);
    // A pool without upstreams is not stored.
    if (!pool->hasUpstreams())
        return nullptr;
    return m_pools.emplace(key, std::move(pool)).first->second.get();
}

bool UpstreamTable::canEject(const UpstreamState &state, base::TimePoint now) const
{
    return std::all_of(state.pools.begin(), state.pools.end(), [&](const UpstreamPool *pool) {
        const auto &group = state.info().dataCentre == m_ownDataCentre ? pool->localUpstreams
                                                                       : pool->remoteUpstreams;
        const auto ejected = std::count_if(group.begin(), group.end(), [&](const auto *it) {
            return it != &state && it->outlierTracker.isEjected(now);
        });
        // At least half of them stay available.
        return 2 * (ejected + 1) <= static_cast<std::ptrdiff_t>(group.size());
    });
}

base::Millis UpstreamTable::eject(UpstreamState &state, base::TimePoint now)
{
    std::erase_if(m_ejectedUntil, [now](const auto &it) { return it.second <= now; });
    const base::Millis duration = state.outlierTracker.eject(now);
    m_ejectedUntil[state.info().id] = now + duration;
    return duration;
}

std::size_t UpstreamTable::ejectedCount(base::TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_ejectedUntil.begin(), m_ejectedUntil.end(),
                          [now](const auto &it) { return it.second > now; }));
}

void UpstreamTable::reserve(const Reservation &reservation, std::uint64_t order,
                            base::TimePoint now)
{
    UpstreamState *state = find(reservation);
    if (!state)
        return;
    state->reserve(reservation, order, now);
    m_outstanding += reservation.uncachedTokens;
    m_reportsLeft[reservation.upstream] = kReportsAfterClear;
}

void UpstreamTable::releasePrefill(Reservation &reservation, base::TimePoint now)
{
    if (UpstreamState *state = find(reservation)) {
        m_outstanding -= reservation.uncachedTokens;
        state->releasePrefill(reservation, now);
    }
    reservation.uncachedTokens = {};
}

void UpstreamTable::release(Reservation &reservation, base::TimePoint now)
{
    releasePrefill(reservation, now);
    if (UpstreamState *state = find(reservation))
        state->release(reservation, now);
}

std::vector<PeerLoadReport> UpstreamTable::outstandingReports(const base::HostId &host)
{
    std::vector<PeerLoadReport> reports;
    for (auto it = m_reportsLeft.begin(); it != m_reportsLeft.end();) {
        UpstreamState *state = find(it->first);
        if (state)
            reports.push_back(state->outstandingReport(host));
        const bool isClear = !state || state->requests() == 0;
        it->second = isClear ? it->second - 1 : kReportsAfterClear;
        it = it->second <= 0 ? m_reportsLeft.erase(it) : std::next(it);
    }
    return reports;
}

} // namespace hyssop::routing
