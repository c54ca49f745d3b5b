#pragma once

#include "dispatch/Dispatch.h"

#include <map>
#include <optional>

namespace hyssop::dispatch {

/// Finds out whether this host has lost its links to all upstreams of a service.
///
/// A call without an answer raises a doubt, and the links are then checked by health requests to
/// several upstreams: an answer shows that they are sound, and they are lost if none comes. This
/// takes the same time however few calls the host gets. Calls alone show the loss too, once several
/// upstreams failed and none answered since. While the links are lost one upstream at a time is
/// probed, and the first answer shows that they are back.
class LinkMonitor
{
public:
    bool isLost() const { return m_state == State::Lost; }
    bool isChecking() const { return m_state == State::Checking; }
    /// The links are lost, and the first probe since then got no answer either.
    bool isLossConfirmed() const { return isLost() && m_isLossConfirmed; }
    std::size_t failedUpstreams() const { return m_failures.size(); }
    /// Upstreams of \a upstreamCount that must fail before the links count as lost.
    static std::size_t neededFailures(std::size_t upstreamCount);

    /// An attempt that was sent at \a sentAt to \a upstream, one of \a upstreamCount, got no
    /// answer. Returns whether this shows that the links are lost.
    bool recordFailure(const base::UpstreamId &upstream, std::size_t upstreamCount,
                       base::TimePoint sentAt, base::TimePoint now);
    /// An attempt that was sent at \a sentAt got an answer, or a part of one. Returns whether this
    /// shows that the links are back.
    bool recordAnswer(const base::UpstreamId &upstream, base::TimePoint sentAt);
    /// An upstream sent something.
    void hear(base::TimePoint now) { m_heardAt = now; }
    base::TimePoint heardAt() const { return m_heardAt; } ///< Last time.

    /// Checks the links unless they are being checked or were found sound a moment ago. Returns
    /// whether a check began.
    bool beginCheck(base::TimePoint now);
    /// When a check may begin; TimePoint::max() while it goes on or the links are lost.
    base::TimePoint nextCheckAt() const;
    /// When a probe is due or a check ends; TimePoint::max() while neither is.
    base::TimePoint nextStepAt(std::size_t upstreamCount) const;
    /// Probes to begin now, given the number of upstreams.
    std::size_t dueProbes(std::size_t upstreamCount, base::TimePoint now) const;
    bool isProbed(const base::UpstreamId &upstream) const { return m_probes.contains(upstream); }
    void beginProbe(const base::UpstreamId &upstream, base::TimePoint now);
    /// A probe found no upstream to which it may be sent.
    void skipProbe(base::TimePoint now);
    /// Returns whether the probe shows that the links are back.
    bool endProbe(const base::UpstreamId &upstream, bool isAnswered, base::TimePoint now);
    /// Ends a check whose probes had time to be answered. Returns whether it shows that the links
    /// are lost.
    bool endCheck(std::size_t upstreamCount, base::TimePoint now);

private:
    enum class State { Sound, Checking, Lost };
    struct Probe
    {
        base::TimePoint sentAt;
        bool isFailed = false;
    };

    /// Probes that the check still has to begin.
    std::size_t missingProbes(std::size_t upstreamCount) const;
    void setSound();
    void setLost(base::TimePoint now);

    State m_state = State::Sound;
    std::map<base::UpstreamId, base::TimePoint> m_failures; ///< Last one of each upstream.
    base::TimePoint m_lastFailureSentAt{};
    base::TimePoint m_heardAt{};
    base::TimePoint m_checkedAt{}; ///< Begin of the last check.
    std::map<base::UpstreamId, Probe> m_probes; ///< Of the check.
    bool m_isExhausted = false; ///< The check has no further upstreams to probe.
    bool m_isProbing = false; ///< While the links are lost.
    std::optional<base::UpstreamId> m_firstProbed; ///< Since the links were lost.
    bool m_isLossConfirmed = false;
    base::TimePoint m_nextProbeAt{};
};

} // namespace hyssop::dispatch
