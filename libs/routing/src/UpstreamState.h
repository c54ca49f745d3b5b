#pragma once

#include "OutlierTracker.h"
#include "PeerLoad.h"
#include "PrefixIndex.h"
#include "RateEstimator.h"
#include "ReportedLoad.h"
#include "routing/Routing.h"

#include <array>

namespace hyssop::routing {

struct Pool;

/// Engines see urgencies times lengths as priorities; lower ones go first.
inline constexpr int kLengthClasses = 4;
inline constexpr int kPriorities = records::kUrgencies * kLengthClasses;

/// What an attempt keeps at one upstream.
struct Hold
{
    base::UpstreamId upstream;
    std::uint64_t serial = 0; ///< Of the UpstreamState that it counts in.
    int priority = 0;
    bool isLong = false;
    base::Tokens uncached; ///< 0 once the first token has come.
    base::Tokens kv;
};

/// One upstream, what is outstanding there and what is known of its speed, cache and health.
class UpstreamState
{
public:
    UpstreamState(UpstreamInfo info, std::uint64_t serial);

    const UpstreamInfo &info() const { return m_info; }
    void setInfo(UpstreamInfo info);
    std::uint64_t serial() const { return m_serial; }

    void bind(const Hold &hold, std::uint64_t order, base::TimePoint now);
    /// The prompt of \a hold has been computed.
    void releasePrompt(Hold &hold, base::TimePoint now);
    void release(Hold &hold, base::TimePoint now);

    /// Prompt tokens that are computed before a prompt of \a priority that comes now.
    base::Tokens ahead(int priority, bool isLong, base::TimePoint now);
    /// KV cache that the hosts of this data centre may come to use.
    base::Tokens kv(base::TimePoint now) { return m_kv + peers.sum(now).kv; }
    /// Requests of this and the other hosts.
    int allRequests(base::TimePoint now) { return m_requests + peers.sum(now).requests; }
    bool hasLongPrompt(base::TimePoint now);
    /// Tokens known to be outstanding, from this host and the others.
    base::Tokens known(base::TimePoint now) { return m_outstanding + peers.sum(now).prompt; }

    base::Tokens outstanding() const { return m_outstanding; }
    int requests() const { return m_requests; }
    std::uint64_t lastBound() const { return m_lastBound; }
    PeerOutstanding report(const base::HostId &host) const;

    PeerLoad peers;
    ReportedLoad reported;
    RateEstimator rate;
    PrefixIndex cache;
    OutlierTracker outliers;
    std::vector<Pool *> pools; ///< Pools it is a member of.

private:
    UpstreamInfo m_info;
    std::uint64_t m_serial;
    std::array<base::Tokens, kPriorities> m_byPriority;
    base::Tokens m_outstanding;
    base::Tokens m_longOutstanding;
    base::Tokens m_kv;
    int m_requests = 0;
    std::uint64_t m_lastBound = 0;
};

} // namespace hyssop::routing
