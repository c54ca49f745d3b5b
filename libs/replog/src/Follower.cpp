#include "ReplicaImpl.h"

#include <cassert>

namespace hyssop::replog {

namespace {

/// Larger snapshots are rejected.
constexpr std::int64_t kMaxSnapshotBytes = std::int64_t(1) << 30;

} // namespace

void Replica::Impl::onLeaderContact(const ReplicaId &from, base::TimePoint now)
{
    m_role = Role::Follower;
    m_leader = from;
    recordLeader(from);
    m_refuseVotesUntil = now + m_options.electionTimeout;
    resetElectionDeadline(now);
}

Index Replica::Impl::rejectHint(Position previous) const
{
    if (previous.index > m_log.lastPosition().index)
        return m_log.lastPosition().index;
    // Skips all entries of the conflicting term in one step.
    const Index start = m_log.firstIndexOfTerm(previous.index);
    return std::max(m_commitIndex, start - Index(1));
}

void Replica::Impl::onAppend(const ReplicaId &from, ProtocolMessage wire, base::TimePoint now)
{
    assert(!isLeader() && "two leaders in one term");
    onLeaderContact(from, now);
    ProtocolMessage reply;
    reply.kind = MessageKind::AppendReply;
    reply.term = m_hardState.term;
    reply.sentAtUs = wire.sentAtUs;
    const Index lastNew = wire.position.index + Index(std::ssize(wire.entries));
    if (wire.position.index > m_commitIndex
        && m_log.termAt(wire.position.index) != wire.position.term) {
        reply.matchIndex = rejectHint(wire.position);
        send(from, std::move(reply));
        return;
    }
    appendFromLeader(std::move(wire.entries));
    m_commitIndex = std::max(m_commitIndex, std::min(wire.commitIndex, lastNew));
    reply.isOk = true;
    // Committed entries match the log of every leader.
    reply.matchIndex = std::max(m_commitIndex, lastNew);
    send(from, std::move(reply));
}

void Replica::Impl::appendFromLeader(std::vector<Entry> entries)
{
    std::vector<Entry> newEntries;
    for (Entry &entry : entries) {
        const Position position = entry.position;
        if (newEntries.empty()) {
            if (position.index <= m_commitIndex || m_log.termAt(position.index) == position.term)
                continue;
            if (position.index <= m_log.lastPosition().index)
                m_log.truncateFrom(position.index);
        }
        newEntries.push_back(std::move(entry));
    }
    m_log.append(std::move(newEntries));
}

void Replica::Impl::onSnapshotChunk(const ReplicaId &from, const ProtocolMessage &wire,
                                    base::TimePoint now)
{
    assert(!isLeader() && "two leaders in one term");
    onLeaderContact(from, now);
    const bool isFirst = wire.offset == 0;
    if (isFirst)
        m_incomingSnapshot = {wire.position, wire.configuration, {}};
    const auto receivedBytes = static_cast<std::int64_t>(m_incomingSnapshot.data.size());
    const bool isNext =
            m_incomingSnapshot.position == wire.position && receivedBytes == wire.offset;
    if (isNext && wire.totalBytes <= kMaxSnapshotBytes)
        m_incomingSnapshot.data += wire.chunk;
    ProtocolMessage reply;
    reply.term = m_hardState.term;
    reply.sentAtUs = wire.sentAtUs;
    reply.position = wire.position;
    if (isNext && std::ssize(m_incomingSnapshot.data) == wire.totalBytes)
        installIncomingSnapshot(wire);
    if (wire.position.index <= m_commitIndex) {
        reply.kind = MessageKind::AppendReply;
        reply.isOk = true;
        reply.matchIndex = m_commitIndex;
    } else {
        reply.kind = MessageKind::SnapshotReply;
        reply.offset = m_incomingSnapshot.position == wire.position
                               ? std::ssize(m_incomingSnapshot.data)
                               : 0;
    }
    send(from, std::move(reply));
}

void Replica::Impl::installIncomingSnapshot(const ProtocolMessage &wire)
{
    if (wire.position.index <= m_commitIndex)
        return;
    m_log.installSnapshot(std::exchange(m_incomingSnapshot, {}));
    m_commitIndex = wire.position.index;
    m_appliedIndex = m_commitIndex;
    m_restoredSnapshot = m_log.snapshot();
}

} // namespace hyssop::replog
