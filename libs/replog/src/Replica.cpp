#include "ReplicaImpl.h"

#include <cassert>

namespace hyssop::replog {

Replica::Impl::Impl(ReplicaOptions options, Storage *storage, RecoveredState recovered,
                    base::TimePoint now)
    : m_options(std::move(options))
    , m_log(storage, recovered)
    , m_hardState(std::move(recovered.hardState))
    , m_storage(storage)
    , m_rng(m_options.seed)
{
    m_commitIndex = m_log.snapshot().position.index;
    m_appliedIndex = m_commitIndex;
    if (m_commitIndex > Index(0))
        m_restoredSnapshot = m_log.snapshot();
    resetElectionDeadline(now);
    const bool hasHistory = !m_log.isEmpty() || m_hardState.term > Term(0);
    const bool hasLed = m_hardState.leader == m_options.self;
    // Before the restart it may have acknowledged a leader that still relies on its lease, unless
    // it led itself: its own lease ended with its process, and those before at its election.
    m_refuseVotesUntil = hasHistory && !hasLed ? now + m_options.electionTimeout : now;
    if (hasLed) {
        m_returnsUntil = now + m_options.electionTimeout;
        m_electionDeadline = now;
    }
    if (m_log.isEmpty() && !m_options.voters.empty())
        bootstrap(m_options.voters, now);
    else if (m_log.configuration().voters == std::vector<ReplicaId>{m_options.self})
        campaign(now, false);
}

void Replica::Impl::bootstrap(const std::vector<ReplicaId> &voters, base::TimePoint now)
{
    assert(m_log.isEmpty() && "the replica already belongs to a group");
    const Term first(1);
    setHardState(std::max(m_hardState.term, first), m_hardState.vote);
    m_log.append({{{first, Index(1)}, EntryKind::Voters, encode(Configuration{voters, {}})}});
    if (voters.size() == 1 && voters.front() == m_options.self)
        campaign(now, false);
}

void Replica::Impl::send(const ReplicaId &to, ProtocolMessage wire)
{
    m_outbox.push_back({m_options.self, to, encode(wire)});
}

void Replica::Impl::setHardState(Term term, ReplicaId vote)
{
    if (term == m_hardState.term && vote == m_hardState.vote)
        return;
    const bool isSameTerm = term == m_hardState.term;
    m_hardState = {term, std::move(vote), isSameTerm ? std::move(m_hardState.leader) : ReplicaId()};
    m_storage->setHardState(m_hardState);
}

void Replica::Impl::recordLeader(const ReplicaId &leader)
{
    if (leader == m_hardState.leader)
        return;
    m_hardState.leader = leader;
    m_storage->setHardState(m_hardState);
}

void Replica::Impl::becomeFollower(Term term, const ReplicaId &leader, base::TimePoint now)
{
    if (term > m_hardState.term)
        setHardState(term, {});
    if (m_role != Role::Follower)
        resetElectionDeadline(now);
    m_role = Role::Follower;
    m_leader = leader;
    m_grantedVotes.clear();
    m_progress.clear();
    m_transferTarget.reset();
}

bool Replica::Impl::processTerm(const ReplicaId &from, const ProtocolMessage &wire,
                                base::TimePoint now)
{
    const bool isGrantedPreVote = wire.kind == MessageKind::PreVoteReply && wire.isOk;
    if (wire.term > m_hardState.term && !isGrantedPreVote)
        becomeFollower(wire.term, {}, now);
    const bool isFromLeader =
            wire.kind == MessageKind::Append || wire.kind == MessageKind::SnapshotChunk;
    if (wire.term < m_hardState.term && isFromLeader) {
        // The higher term makes a leader of an earlier term step down.
        ProtocolMessage reply;
        reply.kind = MessageKind::AppendReply;
        reply.term = m_hardState.term;
        send(from, std::move(reply));
    }
    return wire.term >= m_hardState.term;
}

void Replica::Impl::resign(base::TimePoint now)
{
    // Messages of the failed batch rely on writes that are not durable.
    m_outbox.clear();
    becomeFollower(m_hardState.term, isLeader() ? ReplicaId() : m_leader, now);
}

void Replica::Impl::receive(const Message &message, base::TimePoint now)
{
    auto wire = decodeProtocolMessage(message.body);
    if (!wire || message.to != m_options.self || message.from == m_options.self)
        return;
    const bool isVoteRequest =
            wire->kind == MessageKind::PreVote || wire->kind == MessageKind::Vote;
    if (isVoteRequest)
        noteEndedLease(message.from, *wire, now);
    if (isVoteRequest && !canConsiderVoteRequest(*wire, now))
        return;
    if (wire->kind == MessageKind::PreVote)
        return onPreVoteRequest(message.from, *wire);
    if (wire->kind == MessageKind::Vote)
        return onVoteRequest(message.from, *wire, now);
    if (!processTerm(message.from, *wire, now))
        return;
    switch (wire->kind) {
    case MessageKind::PreVoteReply:
    case MessageKind::VoteReply:
        return onVoteReply(message.from, *wire, now);
    case MessageKind::Append:
        return onAppend(message.from, *std::move(wire), now);
    case MessageKind::AppendReply:
        return onAppendReply(message.from, *wire);
    case MessageKind::SnapshotChunk:
        return onSnapshotChunk(message.from, *wire, now);
    case MessageKind::SnapshotReply:
        return onSnapshotReply(message.from, *wire);
    case MessageKind::TimeoutNow:
        if (!isLeader())
            campaign(now, true);
        return;
    case MessageKind::PreVote:
    case MessageKind::Vote:
        return;
    }
}

void Replica::Impl::tick(base::TimePoint now)
{
    if (isLeader())
        tickLeader(now);
    else if (now >= m_electionDeadline)
        campaign(now, false);
}

tl::expected<FlushResult, StorageError> Replica::Impl::flush(base::TimePoint now)
{
    if (const auto synced = m_storage->sync(); !synced)
        return tl::unexpected(synced.error());
    if (isLeader()) {
        advanceCommit();
        sendAppends(now);
    }
    FlushResult output;
    output.messages = std::exchange(m_outbox, {});
    output.restoredSnapshot = std::exchange(m_restoredSnapshot, std::nullopt);
    output.committed = m_log.entriesAfter(m_appliedIndex, m_commitIndex);
    m_appliedIndex = m_commitIndex;
    return output;
}

void Replica::Impl::compact(Position position, std::string state)
{
    assert(position.index <= m_appliedIndex && "only applied entries may be compacted");
    if (position.index <= m_log.snapshot().position.index)
        return;
    m_log.compact(position.index, std::move(state), m_options.trailingEntries,
                  m_options.trailingBytes);
}

base::TimePoint Replica::Impl::nextTick() const
{
    return isLeader() ? m_nextHeartbeatAt : m_electionDeadline;
}

bool Replica::Impl::hasRecentLeader(base::TimePoint now) const
{
    return isLeader() ? hasLease(now) : !m_leader.isEmpty() && now < m_refuseVotesUntil;
}

Replica::Replica(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{ }

Replica::~Replica() = default;

tl::expected<std::unique_ptr<Replica>, StorageError> Replica::open(ReplicaOptions options,
                                                                   Storage *storage,
                                                                   base::TimePoint now)
{
    auto recovered = storage->open();
    if (!recovered)
        return tl::unexpected(recovered.error());
    return std::unique_ptr<Replica>(new Replica(
            std::make_unique<Impl>(std::move(options), storage, *std::move(recovered), now)));
}

void Replica::bootstrap(const std::vector<ReplicaId> &voters, base::TimePoint now)
{
    m_impl->bootstrap(voters, now);
}

tl::expected<Position, ProposeError> Replica::propose(std::string payload, base::TimePoint)
{
    return m_impl->propose(std::move(payload));
}

tl::expected<Position, ProposeError> Replica::changeMembership(const MembershipChange &change,
                                                               base::TimePoint now)
{
    return m_impl->changeMembership(change, now);
}

void Replica::prepareStop(base::TimePoint now)
{
    m_impl->prepareStop(now);
}

void Replica::resign(base::TimePoint now)
{
    m_impl->resign(now);
}

void Replica::transferLeadership(base::TimePoint now)
{
    m_impl->transferLeadership(now);
}

void Replica::receive(const Message &message, base::TimePoint now)
{
    m_impl->receive(message, now);
}

void Replica::tick(base::TimePoint now)
{
    m_impl->tick(now);
}

tl::expected<FlushResult, StorageError> Replica::flush(base::TimePoint now)
{
    return m_impl->flush(now);
}

void Replica::compact(Position position, std::string state)
{
    m_impl->compact(position, std::move(state));
}

bool Replica::isLeader() const
{
    return m_impl->isLeader();
}

bool Replica::hasLease(base::TimePoint now) const
{
    return m_impl->hasLease(now);
}

bool Replica::hasRecentLeader(base::TimePoint now) const
{
    return m_impl->hasRecentLeader(now);
}

ReplicaId Replica::leader() const
{
    return m_impl->m_leader;
}

Term Replica::term() const
{
    return m_impl->m_hardState.term;
}

Position Replica::committedPosition() const
{
    return {m_impl->m_log.termAt(m_impl->m_commitIndex).value_or(Term()), m_impl->m_commitIndex};
}

Position Replica::lastPosition() const
{
    return m_impl->m_log.lastPosition();
}

bool Replica::isEmpty() const
{
    return m_impl->m_log.isEmpty();
}

const Configuration &Replica::configuration() const
{
    return m_impl->m_log.configuration();
}

bool Replica::isConfigurationCommitted() const
{
    return m_impl->m_log.configurationIndex() <= m_impl->m_commitIndex;
}

bool Replica::isCaughtUp(const ReplicaId &id, base::TimePoint now) const
{
    return m_impl->isCaughtUp(id, now);
}

base::TimePoint Replica::nextTick() const
{
    return m_impl->nextTick();
}

} // namespace hyssop::replog
