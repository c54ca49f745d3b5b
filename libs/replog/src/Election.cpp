#include "Impl.h"

namespace hyssop::replog {

std::size_t Replica::Impl::quorum() const
{
    return m_log.configuration().voters.size() / 2 + 1;
}

void Replica::Impl::drawElectionTime(base::TimePoint now)
{
    const std::int64_t shortest = m_options.electionTimeout.count();
    std::uniform_int_distribution<std::int64_t> extra(0, shortest);
    m_electionAt = now + base::Millis(shortest + extra(m_rng));
}

void Replica::Impl::campaign(base::TimePoint now, bool isHandedOver)
{
    drawElectionTime(now);
    if (m_isStopping || !m_log.configuration().isVoter(m_options.self))
        return;
    // The old leader has given up its lease, so nobody is asked beforehand.
    if (isHandedOver)
        startVote(now, true);
    else
        startPreVote(now);
}

void Replica::Impl::startPreVote(base::TimePoint now)
{
    m_role = Role::PreCandidate;
    m_leader = {};
    m_votes = {m_options.self};
    askForVotes(WireKind::PreVote, m_hard.term + Term(1), false);
    countVotes(now);
}

void Replica::Impl::startVote(base::TimePoint now, bool isHandedOver)
{
    m_role = Role::Candidate;
    m_leader = {};
    setHardState(m_hard.term + Term(1), m_options.self);
    m_votes = {m_options.self};
    askForVotes(WireKind::Vote, m_hard.term, isHandedOver);
    countVotes(now);
}

void Replica::Impl::askForVotes(WireKind kind, Term term, bool isHandedOver)
{
    for (const ReplicaId &voter : m_log.configuration().voters) {
        if (voter == m_options.self)
            continue;
        Wire wire;
        wire.kind = kind;
        wire.term = term;
        wire.position = m_log.last();
        wire.isOk = isHandedOver;
        send(voter, std::move(wire));
    }
}

void Replica::Impl::countVotes(base::TimePoint now)
{
    std::size_t granted = 0;
    for (const ReplicaId &voter : m_log.configuration().voters)
        granted += m_votes.count(voter);
    if (granted < quorum())
        return;
    if (m_role == Role::PreCandidate)
        startVote(now, false);
    else if (m_role == Role::Candidate)
        becomeLeader(now);
}

bool Replica::Impl::mayVote(const Wire &wire, base::TimePoint now) const
{
    const bool isHandedOver = wire.kind == WireKind::Vote && wire.isOk;
    // A leader that was heard may hold the lease; so may this replica itself.
    return isHandedOver || (!isLeader() && now >= m_refuseVotesUntil);
}

void Replica::Impl::onPreVoteRequest(const ReplicaId &from, const Wire &wire)
{
    const bool isGranted = wire.term > m_hard.term && wire.position >= m_log.last();
    Wire reply;
    reply.kind = WireKind::PreVoteReply;
    reply.term = isGranted ? wire.term : m_hard.term;
    reply.isOk = isGranted;
    send(from, std::move(reply));
}

void Replica::Impl::onVoteRequest(const ReplicaId &from, const Wire &wire, base::TimePoint now)
{
    if (wire.term > m_hard.term)
        becomeFollower(wire.term, {}, now);
    const bool isFree = m_hard.vote.isEmpty() || m_hard.vote == from;
    const bool isGranted =
            wire.term == m_hard.term && isFree && wire.position >= m_log.last() && !isLeader();
    if (isGranted) {
        setHardState(m_hard.term, from);
        drawElectionTime(now);
    }
    Wire reply;
    reply.kind = WireKind::VoteReply;
    reply.term = m_hard.term;
    reply.isOk = isGranted;
    send(from, std::move(reply));
}

void Replica::Impl::onVoteReply(const ReplicaId &from, const Wire &wire, base::TimePoint now)
{
    const bool isPre = wire.kind == WireKind::PreVoteReply;
    const Term asked = isPre ? m_hard.term + Term(1) : m_hard.term;
    const Role role = isPre ? Role::PreCandidate : Role::Candidate;
    if (!wire.isOk || m_role != role || wire.term != asked)
        return;
    m_votes.insert(from);
    countVotes(now);
}

} // namespace hyssop::replog
