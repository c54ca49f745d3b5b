#pragma once

#include "replog/Replog.h"

namespace hyssop::replog {

/// Kind of a message; its value is part of the wire format.
enum class MessageKind {
    PreVote,
    Vote,
    PreVoteReply,
    VoteReply,
    Append, ///< Without entries it is a heartbeat.
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow, ///< Leadership transfer: the receiver campaigns at once.
};

/// Decoded message. Each comment names the kinds that use the field.
struct ProtocolMessage
{
    MessageKind kind = MessageKind::Append;
    Term term;
    /// Append: of the entry before \c entries. Votes: of the candidate's last entry. Snapshot: of
    /// the snapshot.
    Position position;
    Index commitIndex; ///< Append: commit index of the leader.
    std::int64_t sentAtUs =
            0; ///< Append, snapshot: monotonic clock of the sender; replies echo it.
    bool isOk = false; ///< Replies: granted or matched. Vote: leadership transfer.
    Index matchIndex; ///< AppendReply: last matching entry, or on rejection the last that may
                      ///< match.
    std::int64_t offset = 0; ///< Snapshot: bytes before the chunk. Its reply: bytes received.
    std::int64_t totalBytes = 0; ///< Snapshot: size of the snapshot.
    std::string chunk; ///< Snapshot.
    Configuration configuration; ///< Snapshot.
    std::vector<Entry> entries; ///< Append.
};

std::string encode(const ProtocolMessage &wire);
/// Empty when \a bytes are malformed or inconsistent.
std::optional<ProtocolMessage> decodeProtocolMessage(std::string_view bytes);

} // namespace hyssop::replog
