#pragma once

#include "Pool.h"

#include <map>
#include <memory>

namespace hyssop::routing {

/// Every upstream that has announced itself, and the pools they form.
class UpstreamTable
{
public:
    explicit UpstreamTable(base::DataCentreId ownDataCentre);

    void seen(const UpstreamInfo &info);
    void gone(const base::UpstreamId &id);
    /// Null when it is not there.
    UpstreamState *find(const base::UpstreamId &id);
    /// The state a hold counts in; null when the upstream has gone or come again since.
    UpstreamState *find(const Hold &hold);
    /// Pool of a request; null when no upstream serves it.
    Pool *poolFor(const RequestInfo &request);
    const std::map<std::string, std::unique_ptr<Pool>> &pools() const { return m_pools; }
    std::size_t size() const { return m_states.size(); }
    /// Whether enough others of its pools would be left without \a state.
    bool mayEject(const UpstreamState &state, base::TimePoint now) const;
    base::Millis eject(UpstreamState &state, base::TimePoint now);
    std::size_t ejected(base::TimePoint now) const;

    /// Figures of all upstreams together, kept as they change.
    base::Tokens outstanding() const { return m_outstanding; }
    void bind(const Hold &hold, std::uint64_t order, base::TimePoint now);
    void releasePrompt(Hold &hold, base::TimePoint now);
    void release(Hold &hold, base::TimePoint now);
    std::vector<PeerOutstanding> report(const base::HostId &host);

private:
    void rebuild();
    void rebuild(Pool &pool);

    base::DataCentreId m_ownDataCentre;
    std::map<base::UpstreamId, std::unique_ptr<UpstreamState>> m_states;
    std::map<std::string, std::unique_ptr<Pool>> m_pools;
    std::uint64_t m_lastSerial = 0;
    base::Tokens m_outstanding;
    std::map<base::UpstreamId, base::TimePoint> m_ejectedUntil; ///< May hold ejections that ended.
    /// Upstreams with something outstanding, and those just cleared: peers hear 0 of them a few
    /// times, for messages may be lost.
    std::map<base::UpstreamId, int> m_reported;
};

} // namespace hyssop::routing
