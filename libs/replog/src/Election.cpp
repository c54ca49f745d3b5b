#include "ReplicaImpl.h"

#include <algorithm>

namespace hyssop::replog {

namespace {

/// Rate at which a leader that was restarted repeats its pre-vote, for one election timeout.
constexpr int kPreVotesPerHeartbeat = 2;

} // namespace

std::size_t Replica::Impl::quorum() const
{
    return m_log.configuration().voters.size() / 2 + 1;
}

void Replica::Impl::resetElectionDeadline(base::TimePoint now)
{
    const std::int64_t shortest = m_options.electionTimeout.count();
    std::uniform_int_distribution<std::int64_t> jitter(0, shortest);
    m_electionDeadline = now + base::Millis(shortest + jitter(m_rng));
}

void Replica::Impl::campaign(base::TimePoint now, bool isTransfer)
{
    resetElectionDeadline(now);
    if (m_isStopping || !m_log.configuration().isVoter(m_options.self))
        return;
    // The old leader has given up its lease, so no pre-vote is needed.
    if (isTransfer)
        startElection(now, true);
    else
        startPreVote(now);
}

void Replica::Impl::startPreVote(base::TimePoint now)
{
    m_role = Role::PreCandidate;
    m_leader = {};
    m_grantedVotes = {m_options.self};
    requestVotes(MessageKind::PreVote, m_hardState.term + Term(1), false);
    // The other replicas may still be starting. Pre-votes change no term, so they may be repeated.
    if (isReturningLeader(now))
        m_electionDeadline = now + m_options.heartbeatInterval / kPreVotesPerHeartbeat;
    countVotes(now);
}

void Replica::Impl::startElection(base::TimePoint now, bool isTransfer)
{
    resetElectionDeadline(now);
    m_role = Role::Candidate;
    m_leader = {};
    setHardState(m_hardState.term + Term(1), m_options.self);
    m_grantedVotes = {m_options.self};
    requestVotes(MessageKind::Vote, m_hardState.term, isTransfer);
    countVotes(now);
}

void Replica::Impl::requestVotes(MessageKind kind, Term term, bool isTransfer)
{
    for (const ReplicaId &voter : m_log.configuration().voters) {
        if (voter == m_options.self)
            continue;
        ProtocolMessage wire;
        wire.kind = kind;
        wire.term = term;
        wire.position = m_log.lastPosition();
        wire.isOk = isTransfer;
        send(voter, std::move(wire));
    }
}

void Replica::Impl::countVotes(base::TimePoint now)
{
    std::size_t granted = 0;
    for (const ReplicaId &voter : m_log.configuration().voters)
        granted += m_grantedVotes.count(voter);
    if (granted < quorum())
        return;
    if (m_role == Role::PreCandidate)
        startElection(now, false);
    else if (m_role == Role::Candidate)
        becomeLeader(now);
}

bool Replica::Impl::canConsiderVoteRequest(const ProtocolMessage &wire, base::TimePoint now) const
{
    const bool isTransfer = wire.kind == MessageKind::Vote && wire.isOk;
    // A recently active leader, or this replica itself, may hold the lease.
    return isTransfer || (!isLeader() && now >= m_refuseVotesUntil);
}

bool Replica::Impl::isReturningLeader(base::TimePoint now) const
{
    return !isLeader() && now < m_returnsUntil && m_hardState.leader == m_options.self;
}

void Replica::Impl::noteEndedLease(const ReplicaId &from, const ProtocolMessage &wire,
                                   base::TimePoint now)
{
    // Only a replica that does not lead requests votes, and it never leads the same term again.
    // This replica has followed no later leader, and the leases of earlier ones had ended before
    // this one was elected. So the request may be of any age.
    const bool isFromLeader = !m_hardState.leader.isEmpty() && from == m_hardState.leader;
    if (isFromLeader && wire.term > m_hardState.term)
        m_refuseVotesUntil = std::min(m_refuseVotesUntil, now);
}

void Replica::Impl::onPreVoteRequest(const ReplicaId &from, const ProtocolMessage &wire)
{
    const bool isGranted = wire.term > m_hardState.term && wire.position >= m_log.lastPosition();
    ProtocolMessage reply;
    reply.kind = MessageKind::PreVoteReply;
    reply.term = isGranted ? wire.term : m_hardState.term;
    reply.isOk = isGranted;
    send(from, std::move(reply));
}

void Replica::Impl::onVoteRequest(const ReplicaId &from, const ProtocolMessage &wire,
                                  base::TimePoint now)
{
    if (wire.term > m_hardState.term)
        becomeFollower(wire.term, {}, now);
    const bool canVote = m_hardState.vote.isEmpty() || m_hardState.vote == from;
    const bool isGranted = wire.term == m_hardState.term && canVote
                           && wire.position >= m_log.lastPosition() && !isLeader();
    if (isGranted) {
        setHardState(m_hardState.term, from);
        resetElectionDeadline(now);
    }
    ProtocolMessage reply;
    reply.kind = MessageKind::VoteReply;
    reply.term = m_hardState.term;
    reply.isOk = isGranted;
    send(from, std::move(reply));
}

void Replica::Impl::onVoteReply(const ReplicaId &from, const ProtocolMessage &wire,
                                base::TimePoint now)
{
    const bool isPreVote = wire.kind == MessageKind::PreVoteReply;
    const Term expectedTerm = isPreVote ? m_hardState.term + Term(1) : m_hardState.term;
    const Role role = isPreVote ? Role::PreCandidate : Role::Candidate;
    if (!wire.isOk || m_role != role || wire.term != expectedTerm)
        return;
    m_grantedVotes.insert(from);
    countVotes(now);
}

} // namespace hyssop::replog
