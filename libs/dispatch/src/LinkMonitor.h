#pragma once

#include "dispatch/Dispatch.h"

#include <map>

namespace hyssop::dispatch {

/// Finds out whether this host has lost its links to all upstreams of a service.
///
/// The links are lost once several upstreams failed and none answered since. From then on one
/// upstream at a time is probed, and the first answer shows that the links are back.
class LinkMonitor
{
public:
    bool isLost() const { return m_isLost; }
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

    /// When the next probe is due; TimePoint::max() while none is.
    base::TimePoint nextProbeAt() const;
    void beginProbe(base::TimePoint now);
    /// Returns whether the probe shows that the links are back.
    bool endProbe(bool isAnswered);

private:
    std::map<base::UpstreamId, base::TimePoint> m_failures; ///< Last one of each upstream.
    base::TimePoint m_lastFailureSentAt{};
    bool m_isLost = false;
    bool m_isProbing = false;
    base::TimePoint m_nextProbeAt{};
};

} // namespace hyssop::dispatch
