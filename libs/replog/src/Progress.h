#pragma once

#include "Log.h"

namespace hyssop::replog {

/// Replication state of another replica, as tracked by the leader.
struct Progress
{
    enum class Mode {
        Probe, ///< Searches for the last matching entry, one message at a time.
        Stream, ///< Sends entries without waiting for each reply.
        Snapshot, ///< Sends the snapshot in chunks, one at a time.
    };

    Mode mode = Mode::Probe;
    Index matchIndex; ///< Last entry known to be durable there.
    Index nextIndex; ///< First entry not yet sent.
    Index sentCommitIndex; ///< Last commit index sent.
    bool isAwaitingReply = false; ///< Used by Probe and Snapshot.
    std::int64_t snapshotOffset = 0; ///< Bytes received there.
    Position snapshotPosition; ///< Of the snapshot being sent.
    /// Time on the leader's clock at which the latest answered message was sent.
    std::optional<base::TimePoint> lastAnsweredSendTime;

    /// Handles a reply that confirms all entries up to \a index.
    void onMatched(Index index);
    /// Handles a reply that says that entries after \a hint do not match.
    void onRejected(Index hint);
    /// Whether entries up to \a last remain to be sent and may be sent now.
    bool canSendEntries(Index last) const;
};

/// Maximum number of unacknowledged entries sent to a replica.
inline constexpr std::int64_t kMaxOutstandingEntries = 4'096;

} // namespace hyssop::replog
