#pragma once

#include "replog/Replog.h"

namespace hyssop::replog {

enum class MessageKind {
    PreVote,
    Vote,
    PreVoteReply,
    VoteReply,
    Append, ///< Also the heartbeat, without entries.
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow, ///< The leader hands over: campaign at once.
};

/// A decoded message; fields that a kind does not name are left empty.
struct Wire
{
    MessageKind kind = MessageKind::Append;
    Term term;
    /// Append: the entry before \c entries. Votes: the candidate's last. Snapshot: its position.
    Position position;
    Index commitIndex; ///< Append: the leader's.
    std::int64_t sentAtUs = 0; ///< Append, snapshot: the sender's clock; echoed by the replies.
    bool isOk = false; ///< Replies: granted or matched. Vote: asked for by the old leader.
    Index matchIndex; ///< AppendReply: last entry that matches, or that may match.
    std::int64_t offset = 0; ///< Snapshot: of the chunk; its reply: of the next one wanted.
    std::int64_t totalBytes = 0; ///< Snapshot: bytes of the whole.
    std::string chunk; ///< Snapshot: the chunk.
    Configuration configuration; ///< Snapshot.
    std::vector<Entry> entries; ///< Append.
};

std::string encode(const Wire &wire);
/// Empty on bytes that encode() did not write.
std::optional<Wire> decodeWire(std::string_view bytes);

} // namespace hyssop::replog
