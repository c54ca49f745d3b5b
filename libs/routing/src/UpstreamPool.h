#pragma once

#include "DecodeTimeEstimator.h"
#include "LongPromptShare.h"
#include "TeamQueue.h"
#include "UpstreamState.h"

#include <array>

namespace hyssop::routing {

/// How much of an engine, or of several, a prompt needs.
enum class SizeClass { Short = 0, Long = 1, Gang = 2 };

inline constexpr int kSizeClassCount = 3;
inline constexpr int kQueueCount = records::kUrgencies * kSizeClassCount;

inline int queueIndex(records::Urgency urgency, SizeClass size)
{
    return static_cast<int>(urgency) * kSizeClassCount + static_cast<int>(size);
}

/// Requests for one model or service and the upstreams that serve them.
struct UpstreamPool
{
    UpstreamKind kind = UpstreamKind::Engine;
    std::string target;
    std::string role;
    std::vector<UpstreamState *>
            localUpstreams; ///< Of this data centre, by id; none that is leaving.
    std::vector<UpstreamState *> remoteUpstreams; ///< Of other data centres.
    /// Own ones in the order in which long prompts take them, the same at every host.
    std::vector<UpstreamState *> longPromptOrder;
    LongPromptShare longPromptShare;
    DecodeTimeEstimator decodeTime;
    std::array<TeamQueue, kQueueCount> queues; ///< By urgency, then size.
    std::int64_t dispatchedCount = 0; ///< Requests taken from the lanes.
    bool needsDispatch = false; ///< Something changed since the lanes were last tried.
    /// Any upstream may have got room since then, not only those in \c changed.
    bool mustRecheckAll = true;
    std::vector<UpstreamState *> changedUpstreams;
    /// Front of each lane for which no upstream had room.
    std::array<base::RequestId, kQueueCount> blockedFronts;

    /// Any upstream may have got room.
    void markAllChanged();
    /// \a upstream may have got room.
    void markChanged(UpstreamState *upstream);
    bool hasUpstreams() const { return !localUpstreams.empty() || !remoteUpstreams.empty(); }
    bool hasQueued() const;
    /// Cost of what is queued to be served before a request of \a urgency and \a size.
    std::int64_t queuedCostAhead(records::Urgency urgency, SizeClass size) const;
    bool accepts(const UpstreamInfo &upstream) const;
};

} // namespace hyssop::routing
