#pragma once

#include "dispatch/Dispatch.h"

namespace hyssop::dispatch {

/// What this host knows of one upstream: what it has there itself, what others have, how it does.
class UpstreamState
{
public:
    explicit UpstreamState(fleet::Upstream upstream);

    const fleet::Upstream &info() const { return m_info; }
    void setInfo(const fleet::Upstream &upstream);

    void addRequest(base::Tokens kv, bool isShort);
    void removeRequest(base::Tokens kv, bool isShort);
    /// Notes memory that is reserved there, or given back when below 0.
    void addKvTokens(base::Tokens kv) { m_ownLoad.kv += kv; }
    /// Notes reading that this host gives it, or that has ended when below 0.
    void addPrefill(std::int64_t ms, base::TimePoint now);
    void setPeerLoad(const fleet::UpstreamLoad &load, base::TimePoint now);
    void setReportedLoad(int running, int waiting);
    /// Requests there, own and others', as far as known.
    int requests() const { return m_ownLoad.requests + m_peerLoad.requests; }
    /// Time until it will have read all that it was given, in milliseconds.
    double prefillBacklogMs(base::TimePoint now) const;
    int shortRequests() const { return m_ownLoad.shorts + m_peerLoad.shorts; }
    const fleet::UpstreamLoad &ownLoad() const { return m_ownLoad; }
    base::Tokens kvTokens() const { return m_ownLoad.kv + m_peerLoad.kv; }

    void recordSuccess();
    /// \a meanShare is the share of failures of its service's other upstreams. True: it is to be
    /// left out for a while.
    bool recordFailure(AttemptFault fault, double meanShare);
    double failureRate() const { return m_failureRate; }
    void eject(base::Millis duration, base::TimePoint now);
    bool isEjected(base::TimePoint now) const { return now < m_ejectedUntil; }
    base::TimePoint ejectedUntil() const { return m_ejectedUntil; }
    base::Millis nextEjectionDuration() const;
    /// Whether new calls may go there.
    bool isUsable(base::TimePoint now) const { return !m_info.isLeaving && !isEjected(now); }

private:
    void extendPrefill(std::int64_t ms, base::TimePoint now);

    fleet::Upstream m_info;
    fleet::UpstreamLoad m_ownLoad;
    fleet::UpstreamLoad m_peerLoad;
    base::TimePoint m_prefillEndsAt{}; ///< When its reading will end, as far as known.
    double m_failureRate = 0; ///< Moving average over answers.
    int m_answerCount = 0;
    int m_consecutiveLost = 0;
    int m_consecutiveEjections = 0; ///< In a row.
    base::TimePoint m_ejectedUntil{};
};

} // namespace hyssop::dispatch
