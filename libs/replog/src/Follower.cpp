#include "Impl.h"

#include <cassert>

namespace hyssop::replog {

namespace {

/// Bytes of a snapshot that a leader may announce.
constexpr std::int64_t kMaxSnapshotBytes = std::int64_t(1) << 30;

} // namespace

void Replica::Impl::noteLeader(const ReplicaId &from, base::TimePoint now)
{
    m_role = Role::Follower;
    m_leader = from;
    m_refuseVotesUntil = now + m_options.electionTimeout;
    drawElectionTime(now);
}

Index Replica::Impl::rejectHint(Position previous) const
{
    if (previous.index > m_log.last().index)
        return m_log.last().index;
    // All entries of a term that conflicts are passed over at once.
    const Index start = m_log.startOfTerm(previous.index);
    return std::max(m_commit, start - Index(1));
}

void Replica::Impl::onAppend(const ReplicaId &from, Wire wire, base::TimePoint now)
{
    assert(!isLeader() && "two leaders in one term");
    noteLeader(from, now);
    Wire reply;
    reply.kind = WireKind::AppendReply;
    reply.term = m_hard.term;
    reply.stamp = wire.stamp;
    const Index lastNew = wire.position.index + Index(std::ssize(wire.entries));
    if (wire.position.index > m_commit && m_log.termAt(wire.position.index) != wire.position.term) {
        reply.index = rejectHint(wire.position);
        send(from, std::move(reply));
        return;
    }
    appendFromLeader(std::move(wire.entries));
    m_commit = std::max(m_commit, std::min(wire.commit, lastNew));
    reply.isOk = true;
    // What is committed here matches any leader's log.
    reply.index = std::max(m_commit, lastNew);
    send(from, std::move(reply));
}

void Replica::Impl::appendFromLeader(std::vector<Entry> entries)
{
    std::vector<Entry> fresh;
    for (Entry &entry : entries) {
        const Position position = entry.position;
        if (fresh.empty()) {
            if (position.index <= m_commit || m_log.termAt(position.index) == position.term)
                continue;
            if (position.index <= m_log.last().index)
                m_log.truncateFrom(position.index);
        }
        fresh.push_back(std::move(entry));
    }
    m_log.append(std::move(fresh));
}

void Replica::Impl::onSnapshotChunk(const ReplicaId &from, const Wire &wire, base::TimePoint now)
{
    assert(!isLeader() && "two leaders in one term");
    noteLeader(from, now);
    const bool isFirst = wire.offset == 0;
    if (isFirst)
        m_incoming = {wire.position, wire.configuration, {}};
    const auto held = static_cast<std::int64_t>(m_incoming.data.size());
    const bool isNext = m_incoming.position == wire.position && held == wire.offset;
    if (isNext && wire.total <= kMaxSnapshotBytes)
        m_incoming.data += wire.data;
    Wire reply;
    reply.term = m_hard.term;
    reply.stamp = wire.stamp;
    reply.position = wire.position;
    if (isNext && std::ssize(m_incoming.data) == wire.total)
        installIncoming(wire);
    if (wire.position.index <= m_commit) {
        reply.kind = WireKind::AppendReply;
        reply.isOk = true;
        reply.index = m_commit;
    } else {
        reply.kind = WireKind::SnapshotReply;
        reply.offset = m_incoming.position == wire.position ? std::ssize(m_incoming.data) : 0;
    }
    send(from, std::move(reply));
}

void Replica::Impl::installIncoming(const Wire &wire)
{
    if (wire.position.index <= m_commit)
        return;
    m_log.install(std::exchange(m_incoming, {}));
    m_commit = wire.position.index;
    m_applied = m_commit;
    m_restored = m_log.snapshot();
}

} // namespace hyssop::replog
