#pragma once

#include "Log.h"

namespace hyssop::replog {

/// What a leader knows of one other replica.
struct Progress
{
    enum class Mode {
        Probe, ///< Looks for the last entry in common, one message at a time.
        Stream, ///< Sends entries as they come, without waiting for each answer.
        Snapshot, ///< Sends the snapshot in chunks, one at a time.
    };

    Mode mode = Mode::Probe;
    Index matchIndex; ///< Last entry known to be on its disk.
    Index nextIndex; ///< First entry not yet sent.
    Index sentCommitIndex; ///< Last commit index sent.
    bool isAwaitingReply = false; ///< In Probe and Snapshot.
    std::int64_t snapshotOffset = 0;
    Position snapshotPosition; ///< Of the snapshot being sent.
    /// When the latest message that it answered was sent, on the leader's clock.
    std::optional<base::TimePoint> lastAnsweredSendTime;

    /// Takes an answer that says it holds all entries up to \a index.
    void onMatched(Index index);
    /// Takes an answer that says entries after \a hint do not match.
    void onRejected(Index hint);
    /// Whether entries may be sent now.
    bool canSendEntries(Index last) const;
};

/// Entries sent to a replica and not yet answered, at most.
inline constexpr std::int64_t kMaxOutstandingEntries = 4'096;

} // namespace hyssop::replog
