#pragma once

#include "UpstreamPool.h"

#include <map>
#include <memory>

namespace hyssop::routing {

/// All announced upstreams and the pools they belong to.
class UpstreamTable
{
public:
    explicit UpstreamTable(base::DataCentreId ownDataCentre);

    /// Adds or updates an upstream. A different incarnation replaces the state.
    void addOrUpdate(const UpstreamInfo &info);
    void remove(const base::UpstreamId &id);
    /// Returns null if the upstream is unknown.
    UpstreamState *find(const base::UpstreamId &id);
    /// The state that counts \a reservation; null if the upstream was removed or replaced since.
    UpstreamState *find(const Reservation &reservation);
    /// The pool for \a request, created on first use; null if no upstream serves it.
    UpstreamPool *poolFor(const RequestInfo &request);
    const std::map<std::string, std::unique_ptr<UpstreamPool>> &pools() const { return m_pools; }
    std::size_t size() const { return m_states.size(); }
    /// Whether \a state may be ejected: at least half of the upstreams of each of its pools must
    /// stay available.
    bool canEject(const UpstreamState &state, base::TimePoint now) const;
    /// Ejects the upstream and returns for how long.
    base::Millis eject(UpstreamState &state, base::TimePoint now);
    std::size_t ejectedCount(base::TimePoint now) const;

    /// Totals over all upstreams, updated incrementally.
    base::Tokens outstanding() const { return m_outstanding; }
    void reserve(const Reservation &reservation, std::uint64_t order, base::TimePoint now);
    void releasePrefill(Reservation &reservation, base::TimePoint now);
    void release(Reservation &reservation, base::TimePoint now);
    /// Reports of this host's outstanding work, sent to its peers as \a host.
    std::vector<PeerLoadReport> outstandingReports(const base::HostId &host);

private:
    void rebuild();
    void rebuild(UpstreamPool &pool);

    base::DataCentreId m_ownDataCentre;
    std::map<base::UpstreamId, std::unique_ptr<UpstreamState>> m_states;
    std::map<std::string, std::unique_ptr<UpstreamPool>> m_pools;
    std::uint64_t m_lastSerial = 0;
    base::Tokens m_outstanding;
    /// May contain ejections that have ended.
    std::map<base::UpstreamId, base::TimePoint> m_ejectedUntil;
    /// Remaining reports of each upstream with outstanding work or whose work just ended. Peers are
    /// sent 0 a few times after the end, because messages may be lost.
    std::map<base::UpstreamId, int> m_reportsLeft;
};

} // namespace hyssop::routing
