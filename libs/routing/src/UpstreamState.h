#pragma once

#include "OutlierTracker.h"
#include "PeerLoad.h"
#include "PrefillRateEstimator.h"
#include "PrefixIndex.h"
#include "ReportedLoad.h"
#include "routing/Routing.h"

#include <array>

namespace hyssop::routing {

struct UpstreamPool;

/// Engine priorities combine urgency and length class; lower values run first.
inline constexpr int kLengthClassCount = 4;
inline constexpr int kPriorityCount = records::kUrgencyCount * kLengthClassCount;

/// Capacity that an attempt uses at one upstream.
struct Reservation
{
    base::UpstreamId upstream;
    std::uint64_t serial = 0; ///< Serial of the UpstreamState that counts it; 0 after release.
    int priority = 0;
    bool isLong = false;
    base::Tokens uncachedTokens; ///< 0 after the first token.
    base::Tokens kvTokens;
};

/// State of one upstream: outstanding work, prefill rate, prefix cache and health.
class UpstreamState
{
public:
    UpstreamState(UpstreamInfo info, std::uint64_t serial);

    const UpstreamInfo &info() const { return m_info; }
    void setInfo(UpstreamInfo info);
    std::uint64_t serial() const { return m_serial; }

    void reserve(const Reservation &reservation, std::uint64_t order, base::TimePoint now);
    /// Called when the prompt of \a reservation has been prefilled.
    void releasePrefill(Reservation &reservation, base::TimePoint now);
    void release(Reservation &reservation, base::TimePoint now);

    /// Prompt tokens that the engine prefills before a prompt of \a priority that arrives now.
    base::Tokens tokensAhead(int priority, bool isLong, base::TimePoint now);
    /// KV cache reserved by all hosts of this data centre, in tokens.
    base::Tokens reservedKv(base::TimePoint now)
    {
        return m_reservedKv + peerLoad.sum(now).kvTokens;
    }
    /// Outstanding requests of this host and the others.
    int totalRequests(base::TimePoint now) { return m_requests + peerLoad.sum(now).requests; }
    bool hasLongPrompt(base::TimePoint now);
    /// Outstanding prompt tokens of this host and the others.
    base::Tokens knownOutstanding(base::TimePoint now)
    {
        return m_outstanding + peerLoad.sum(now).promptTokens;
    }

    base::Tokens outstanding() const { return m_outstanding; }
    int requests() const { return m_requests; }
    std::uint64_t lastAssigned() const { return m_lastAssigned; }
    PeerLoadReport outstandingReport(const base::HostId &host) const;

    PeerLoad peerLoad;
    ReportedLoad reportedLoad;
    PrefillRateEstimator prefillRate;
    PrefixIndex prefixIndex;
    OutlierTracker outlierTracker;
    std::vector<UpstreamPool *> pools; ///< Pools that contain this upstream.

private:
    UpstreamInfo m_info;
    std::uint64_t m_serial;
    std::array<base::Tokens, kPriorityCount> m_outstandingByPriority;
    base::Tokens m_outstanding;
    base::Tokens m_longOutstanding;
    base::Tokens m_reservedKv;
    int m_requests = 0;
    std::uint64_t m_lastAssigned = 0;
};

} // namespace hyssop::routing
