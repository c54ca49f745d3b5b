#pragma once

#include "UpstreamPool.h"

#include <map>
#include <memory>

namespace hyssop::routing {

/// Every upstream that has announced itself, and the pools they form.
class UpstreamTable
{
public:
    explicit UpstreamTable(base::DataCentreId ownDataCentre);

    void addOrUpdate(const UpstreamInfo &info);
    void remove(const base::UpstreamId &id);
    /// Null when it is not there.
    UpstreamState *find(const base::UpstreamId &id);
    /// The state a reservation counts in; null when the upstream has gone or come again since.
    UpstreamState *find(const Reservation &reservation);
    /// Pool of a request; null when no upstream serves it.
    UpstreamPool *poolFor(const RequestInfo &request);
    const std::map<std::string, std::unique_ptr<UpstreamPool>> &pools() const { return m_pools; }
    std::size_t size() const { return m_states.size(); }
    /// Whether enough others of its pools would be left without \a state.
    bool canEject(const UpstreamState &state, base::TimePoint now) const;
    base::Millis eject(UpstreamState &state, base::TimePoint now);
    std::size_t ejectedCount(base::TimePoint now) const;

    /// Figures of all upstreams together, kept as they change.
    base::Tokens outstanding() const { return m_outstanding; }
    void reserve(const Reservation &reservation, std::uint64_t order, base::TimePoint now);
    void releasePrefill(Reservation &reservation, base::TimePoint now);
    void release(Reservation &reservation, base::TimePoint now);
    std::vector<PeerOutstanding> outstandingReports(const base::HostId &host);

private:
    void rebuild();
    void rebuild(UpstreamPool &pool);

    base::DataCentreId m_ownDataCentre;
    std::map<base::UpstreamId, std::unique_ptr<UpstreamState>> m_states;
    std::map<std::string, std::unique_ptr<UpstreamPool>> m_pools;
    std::uint64_t m_lastSerial = 0;
    base::Tokens m_outstanding;
    std::map<base::UpstreamId, base::TimePoint> m_ejectedUntil; ///< May hold ejections that ended.
    /// Upstreams with something outstanding, and those just cleared: peers hear 0 of them a few
    /// times, for messages may be lost.
    std::map<base::UpstreamId, int> m_reportsLeft;
};

} // namespace hyssop::routing
