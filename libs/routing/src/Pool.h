#pragma once

#include "AnswerEstimator.h"
#include "LongShare.h"
#include "TeamQueue.h"
#include "UpstreamState.h"

#include <array>

namespace hyssop::routing {

/// How much of an engine, or of several, a prompt needs.
enum class SizeClass { Short = 0, Long = 1, Gang = 2 };

inline constexpr int kSizeClasses = 3;
inline constexpr int kLanes = records::kUrgencies * kSizeClasses;

inline int laneOf(records::Urgency urgency, SizeClass size)
{
    return static_cast<int>(urgency) * kSizeClasses + static_cast<int>(size);
}

/// Requests for one model or service and the upstreams that serve them.
struct Pool
{
    UpstreamKind kind = UpstreamKind::Engine;
    std::string target;
    std::string role;
    std::vector<UpstreamState *> own; ///< Of this data centre, by id; none that is leaving.
    std::vector<UpstreamState *> remote; ///< Of other data centres.
    /// Own ones in the order in which long prompts take them, the same at every host.
    std::vector<UpstreamState *> longOrder;
    LongShare longShare;
    AnswerEstimator answers;
    std::array<TeamQueue, kLanes> lanes; ///< By urgency, then size.
    std::int64_t taken = 0; ///< Requests taken from the lanes.
    bool mayDispatch = false; ///< Something changed since the lanes were last tried.
    /// Any upstream may have got room since then, not only those in \c changed.
    bool mayAllHaveRoom = true;
    std::vector<UpstreamState *> changed;
    /// Front of each lane for which no upstream had room.
    std::array<base::RequestId, kLanes> blockedFront;

    /// Any upstream may have got room.
    void markAll();
    /// \a upstream may have got room.
    void mark(UpstreamState *upstream);
    bool isServed() const { return !own.empty() || !remote.empty(); }
    bool hasQueued() const;
    /// Cost of what is queued to be served before a request of \a urgency and \a size.
    std::int64_t queuedBefore(records::Urgency urgency, SizeClass size) const;
    bool takes(const UpstreamInfo &upstream) const;
};

} // namespace hyssop::routing
