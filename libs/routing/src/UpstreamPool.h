#pragma once

#include "DecodeTimeEstimator.h"
#include "LongPromptShare.h"
#include "TeamQueue.h"
#include "UpstreamState.h"

#include <array>

namespace hyssop::routing {

/// Size class of a request: short, long, or too large for a single engine.
enum class SizeClass { Short = 0, Long = 1, Gang = 2 };

inline constexpr int kSizeClassCount = 3;
inline constexpr int kQueueCount = records::kUrgencyCount * kSizeClassCount;

/// Index into UpstreamPool::queues: by urgency, then by size.
inline int queueIndex(records::Urgency urgency, SizeClass size)
{
    return static_cast<int>(urgency) * kSizeClassCount + static_cast<int>(size);
}

/// The upstreams for one target and role, and the requests queued for them.
struct UpstreamPool
{
    UpstreamKind kind = UpstreamKind::Engine;
    std::string target;
    std::string role;
    /// Of this data centre, in id order, without leaving ones.
    std::vector<UpstreamState *> localUpstreams;
    /// Of other data centres, in id order, without leaving ones.
    std::vector<UpstreamState *> remoteUpstreams;
    /// Local upstreams in the order in which long prompts use them; the same on every host.
    std::vector<UpstreamState *> longPromptOrder;
    LongPromptShare longPromptShare;
    DecodeTimeEstimator decodeTimeEstimator;
    std::array<TeamQueue, kQueueCount> queues; ///< Indexed by queueIndex().
    std::int64_t dispatchedCount = 0; ///< Requests taken from the queues.
    bool needsDispatch = false; ///< Something changed since the last dispatch.
    /// Any upstream may have gained room since the last dispatch, not only \c changedUpstreams.
    bool mustRecheckAll = true;
    std::vector<UpstreamState *> changedUpstreams;
    /// Front request of each queue for which no upstream had room at the last dispatch.
    std::array<base::RequestId, kQueueCount> blockedFronts;

    /// Called when any upstream may have gained room.
    void markAllChanged();
    /// Called when \a upstream may have gained room.
    void markChanged(UpstreamState *upstream);
    bool hasUpstreams() const { return !localUpstreams.empty() || !remoteUpstreams.empty(); }
    bool hasQueued() const;
    /// Total cost, in tokens, of queued requests of \a size with the same or a higher urgency.
    std::int64_t queuedCostAhead(records::Urgency urgency, SizeClass size) const;
    /// Whether \a upstream serves this pool's target and role and is not leaving.
    bool accepts(const UpstreamInfo &upstream) const;
};

} // namespace hyssop::routing
