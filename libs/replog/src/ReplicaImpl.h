#pragma once

#include "Log.h"
#include "Progress.h"
#include "Wire.h"

#include <map>
#include <set>

namespace hyssop::replog {

/// State of a replica. Its functions are spread over Election.cpp, Leader.cpp, Follower.cpp and
/// Replica.cpp by role.
class Replica::Impl
{
public:
    Impl(ReplicaOptions options, Storage *storage, RecoveredState recovered, base::TimePoint now);

    // Replica.cpp
    void bootstrap(const std::vector<ReplicaId> &voters, base::TimePoint now);
    void receive(const Message &message, base::TimePoint now);
    void tick(base::TimePoint now);
    tl::expected<FlushResult, StorageError> flush(base::TimePoint now);
    void compact(Position position, std::string state);
    base::TimePoint nextTick() const;
    bool isLeader() const { return m_role == Role::Leader; }
    bool hasRecentLeader(base::TimePoint now) const;

    // Leader.cpp
    tl::expected<Position, ProposeError> propose(std::string payload);
    tl::expected<Position, ProposeError> changeMembership(const MembershipChange &change,
                                                          base::TimePoint now);
    void prepareStop(base::TimePoint now);
    void resign(base::TimePoint now);
    void transferLeadership(base::TimePoint now);
    bool hasLease(base::TimePoint now) const;
    bool isCaughtUp(const ReplicaId &id, base::TimePoint now) const;

    ReplicaOptions m_options;
    Log m_log;
    HardState m_hardState;
    ReplicaId m_leader;
    Index m_commitIndex;

private:
    enum class Role { Follower, PreCandidate, Candidate, Leader };

    // Replica.cpp
    void send(const ReplicaId &to, ProtocolMessage wire);
    void setHardState(Term term, ReplicaId vote);
    /// Stores that this replica has followed \a leader in its term, or has led it.
    void recordLeader(const ReplicaId &leader);
    void becomeFollower(Term term, const ReplicaId &leader, base::TimePoint now);
    /// Steps down on a higher term and answers leaders of an earlier one. Returns whether the
    /// message still has to be handled.
    bool processTerm(const ReplicaId &from, const ProtocolMessage &wire, base::TimePoint now);

    // Election.cpp
    std::size_t quorum() const;
    void resetElectionDeadline(base::TimePoint now);
    void campaign(base::TimePoint now, bool isTransfer);
    void startPreVote(base::TimePoint now);
    void startElection(base::TimePoint now, bool isTransfer);
    void requestVotes(MessageKind kind, Term term, bool isTransfer);
    void onVoteRequest(const ReplicaId &from, const ProtocolMessage &wire, base::TimePoint now);
    void onPreVoteRequest(const ReplicaId &from, const ProtocolMessage &wire);
    void onVoteReply(const ReplicaId &from, const ProtocolMessage &wire, base::TimePoint now);
    void countVotes(base::TimePoint now);
    bool canConsiderVoteRequest(const ProtocolMessage &wire, base::TimePoint now) const;
    /// Whether it led the latest term it knows of and was restarted a short time ago.
    bool isReturningLeader(base::TimePoint now) const;
    /// Ends the wait for the lease of the leader of this term if \a wire shows that this leader
    /// has stepped down.
    void noteEndedLease(const ReplicaId &from, const ProtocolMessage &wire, base::TimePoint now);

    // Leader.cpp
    void becomeLeader(base::TimePoint now);
    Position appendAsLeader(EntryKind kind, std::string payload);
    void updateTrackedReplicas();
    void tickLeader(base::TimePoint now);
    std::optional<base::TimePoint> quorumContactTime(base::TimePoint now) const;
    void advanceCommit();
    void sendAppends(base::TimePoint now);
    void sendAppend(const ReplicaId &to, Progress &progress, base::TimePoint now);
    void sendSnapshotChunk(const ReplicaId &to, Progress &progress, base::TimePoint now);
    void onAppendReply(const ReplicaId &from, const ProtocolMessage &wire);
    void onSnapshotReply(const ReplicaId &from, const ProtocolMessage &wire);
    void recordAnswer(Progress &progress, std::int64_t sentAtUs);
    void sendTimeoutNowWhenReady();
    tl::expected<Configuration, ProposeFault> configurationAfter(const MembershipChange &change,
                                                                 base::TimePoint now) const;

    // Follower.cpp
    void onLeaderContact(const ReplicaId &from, base::TimePoint now);
    void onAppend(const ReplicaId &from, ProtocolMessage wire, base::TimePoint now);
    void appendFromLeader(std::vector<Entry> entries);
    Index rejectHint(Position previous) const;
    void onSnapshotChunk(const ReplicaId &from, const ProtocolMessage &wire, base::TimePoint now);
    void installIncomingSnapshot(const ProtocolMessage &wire);

    Storage *m_storage;
    base::Rng m_rng;
    Role m_role = Role::Follower;
    Index m_appliedIndex; ///< Last entry returned by flush().
    std::vector<Message> m_outbox;
    std::optional<Snapshot> m_restoredSnapshot;
    Snapshot m_incomingSnapshot; ///< Partially received snapshot.

    base::TimePoint m_electionDeadline;
    base::TimePoint m_refuseVotesUntil;
    base::TimePoint m_returnsUntil; ///< End of the time in which pre-votes are repeated early.
    std::set<ReplicaId> m_grantedVotes; ///< Voters that granted a vote in the current campaign.

    std::map<ReplicaId, Progress> m_progress;
    base::TimePoint m_leaderSince;
    base::TimePoint m_nextHeartbeatAt;
    std::optional<ReplicaId>
            m_transferTarget; ///< Once set, there is no lease for the rest of the term.
    bool m_isTimeoutNowSent = false;
    base::TimePoint m_transferDeadline;
    bool m_isStopping = false;
};

} // namespace hyssop::replog
