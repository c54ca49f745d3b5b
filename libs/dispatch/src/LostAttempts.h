#pragma once

#include "dispatch/Dispatch.h"

#include <map>

namespace hyssop::dispatch {

/// An attempt whose connection ended without an answer.
struct LostAttempt
{
    std::vector<fleet::Fingerprint> fingerprints;
    std::optional<CallId> trial; ///< The call, if it was a trial.
    bool isTrialEnded = false; ///< The next trial does not wait for the result of this one.
    base::TimePoint sentAt;
    base::TimePoint at;
};

/// Attempts that upstreams lost lately, until it is known whether the upstream crashed.
class LostAttempts
{
public:
    /// Identifies one start of an upstream.
    using Start = std::pair<base::UpstreamId, base::Incarnation>;

    void add(const fleet::Upstream &upstream, LostAttempt attempt);
    /// Whether a probe of the upstream is due now. It is then noted as pending.
    bool beginProbe(const Start &start, base::TimePoint now);
    void endProbe(const Start &start);
    /// Makes a probe due at once, as the result of the last one does not count.
    void discardProbe(const Start &start);
    /// Marks a start as crashed. Attempts that it loses later were lost with it.
    void setCrashed(const Start &start, base::TimePoint now);
    bool isCrashed(const Start &start) const;
    /// Removes and returns the attempts of a start.
    std::vector<LostAttempt> take(const Start &start);
    /// Marks the trials among the attempts of a start as ended. Returns those that were not.
    std::vector<CallId> endTrials(const Start &start);
    /// Starts with lost attempts that \a upstream shows to have ended, since it has the id or the
    /// address of a start before it.
    std::vector<Start> endedBy(const fleet::Upstream &upstream) const;
    void removeExpired(base::TimePoint now);

private:
    struct Losses
    {
        base::Endpoint address;
        std::vector<LostAttempt> attempts;
        std::size_t fingerprints = 0; ///< Of all attempts that were added.
        bool isProbePending = false;
        bool isCrashed = false;
        base::TimePoint nextProbeAt{};
        base::TimePoint lastAt;
    };
    std::map<Start, Losses> m_starts;
};

} // namespace hyssop::dispatch
