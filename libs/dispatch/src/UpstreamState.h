#pragma once

#include "ColdShares.h"

#include <deque>

namespace hyssop::dispatch {

/// State of one upstream as known to this host: its own load there, the load of other hosts, and
/// recent failures.
class UpstreamState
{
public:
    explicit UpstreamState(fleet::Upstream upstream);

    const fleet::Upstream &info() const { return m_info; }
    /// Orders the upstreams of a service in the same way on every host.
    std::uint64_t orderKey() const { return m_orderKey; }
    void setInfo(const fleet::Upstream &upstream);

    void addRequest(base::Tokens kvTokens, bool isShort);
    void removeRequest(base::Tokens kvTokens, bool isShort);
    /// Adds KV memory reserved there, or removes it when negative.
    void addKvTokens(base::Tokens kvTokens) { m_ownLoad.kvTokens += kvTokens; }
    /// Adds prefill time that this host sends there, or removes it when negative.
    void addPrefill(std::int64_t ms, base::TimePoint now);
    void setPeerLoad(const fleet::UpstreamLoad &load, base::TimePoint now);
    void setReportedLoad(int running, int waiting);
    /// Known requests there, own and those of other hosts.
    int requests() const { return m_ownLoad.requests + m_peerLoad.requests; }
    /// Estimated time until its pending prefill ends, in milliseconds.
    double prefillBacklogMs(base::TimePoint now) const;
    int shortRequests() const { return m_ownLoad.shortRequests + m_peerLoad.shortRequests; }
    const fleet::UpstreamLoad &ownLoad() const { return m_ownLoad; }
    base::Tokens kvTokens() const { return m_ownLoad.kvTokens + m_peerLoad.kvTokens; }

    const fleet::RateLimitStatement &rateLimit() const { return m_rateLimit; }
    /// Returns whether the accepted request rate changed. Grants of a higher rate are dropped.
    bool updateRateLimit(const fleet::RateLimitStatement &statement);
    bool isRateLimited() const { return m_rateLimit.rate != fleet::kUnlimitedRate; }
    /// Whether its rate limit admits another request of this host now.
    bool maySend(base::TimePoint now) const;
    void addSendGrant(int count, base::TimePoint expiresAt);
    /// Uses up one granted request. Without a limit it does nothing.
    void useSendGrant(base::TimePoint now);
    /// Takes this host's share of the limit while no control host divides it. \a hostCount hosts
    /// have a share each.
    bool takeLocalShare(int hostCount, base::Rng &rng, base::TimePoint now);

    void recordSuccess();
    /// \a meanRate is the mean failure rate of the other upstreams of its service. Returns whether
    /// the upstream is to be ejected for a while.
    bool recordFailure(AttemptFault fault, double meanRate);
    double failureRate() const { return m_failureRate; }
    void eject(base::Millis duration, base::TimePoint now);
    void endEjection()
    {
        m_ejectedUntil = {};
        m_consecutiveEjections = 0;
    }
    bool isEjected(base::TimePoint now) const { return now < m_ejectedUntil; }
    base::TimePoint ejectedUntil() const { return m_ejectedUntil; }
    base::Millis nextEjectionDuration() const;
    /// It wants no requests of this host until then.
    void backOffUntil(base::TimePoint time) { m_backsOffUntil = std::max(m_backsOffUntil, time); }
    base::TimePoint backsOffUntil() const { return m_backsOffUntil; }
    /// A later statement replaces an earlier one.
    void setColdUntil(base::TimePoint time) { m_coldUntil = time; }
    base::TimePoint coldUntil() const { return m_coldUntil; }
    /// Notes a request that this host sends there, as long as it is cold.
    void recordColdRequest(base::TimePoint now);
    const ColdRequests &coldRequests() const { return m_coldRequests; }

private:
    /// Requests that this host may send in spite of the rate limit.
    struct SendGrant
    {
        int count = 0;
        base::TimePoint expiresAt;
    };

    void extendPrefill(std::int64_t ms, base::TimePoint now);

    fleet::Upstream m_info;
    std::uint64_t m_orderKey; ///< Hash of its id.
    fleet::UpstreamLoad m_ownLoad;
    fleet::UpstreamLoad m_peerLoad;
    fleet::RateLimitStatement m_rateLimit;
    std::deque<SendGrant> m_sendGrants; ///< The first one expires first.
    base::TimePoint m_nextLocalShareAt{};
    base::TimePoint m_prefillEndsAt{}; ///< Estimated end of its pending prefill.
    double m_failureRate = 0; ///< Moving average over answers.
    int m_answerCount = 0;
    int m_consecutiveLost = 0;
    int m_consecutiveEjections = 0; ///< Since it last counted as healthy.
    base::TimePoint m_ejectedUntil{};
    base::TimePoint m_backsOffUntil{};
    base::TimePoint m_coldUntil{};
    ColdRequests m_coldRequests;
};

} // namespace hyssop::dispatch
