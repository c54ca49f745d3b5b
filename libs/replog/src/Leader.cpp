#include "Impl.h"

#include <algorithm>
#include <cassert>

namespace hyssop::replog {

namespace {

/// Payload of one message, and of one chunk of a snapshot.
constexpr std::size_t kMaxAppendBytes = std::size_t(512) << 10;
constexpr std::size_t kSnapshotChunkBytes = std::size_t(512) << 10;
/// A learner this close behind may be promoted.
constexpr Index kCaughtUpEntries(64);

std::int64_t stampOf(base::TimePoint now)
{
    return std::chrono::duration_cast<base::Micros>(now.time_since_epoch()).count();
}

} // namespace

void Replica::Impl::becomeLeader(base::TimePoint now)
{
    m_role = Role::Leader;
    m_leader = m_options.self;
    m_leaderSince = now;
    m_heartbeatAt = now;
    m_handOverTo.reset();
    m_isHandOverSent = false;
    m_progress.clear();
    trackProgress();
    // Entries of earlier terms are committed only together with one of this term.
    appendOwn(EntryKind::Noop, {});
}

void Replica::Impl::trackProgress()
{
    const Configuration &configuration = m_log.configuration();
    std::erase_if(m_progress, [&configuration](const auto &it) {
        return !configuration.isVoter(it.first) && !configuration.isLearner(it.first);
    });
    const auto track = [this](const ReplicaId &id) {
        Progress fresh;
        fresh.next = m_log.last().index + Index(1);
        if (id != m_options.self)
            m_progress.emplace(id, fresh);
    };
    std::for_each(configuration.voters.begin(), configuration.voters.end(), track);
    std::for_each(configuration.learners.begin(), configuration.learners.end(), track);
}

Position Replica::Impl::appendOwn(EntryKind kind, std::string payload)
{
    const Position position{m_hard.term, m_log.last().index + Index(1)};
    m_log.append({{position, kind, std::move(payload)}});
    return position;
}

tl::expected<Position, ProposeError> Replica::Impl::propose(std::string payload)
{
    if (m_isStopping)
        return tl::unexpected(ProposeError{ProposeFault::Stopping, m_leader});
    if (!isLeader())
        return tl::unexpected(ProposeError{ProposeFault::NotLeader, m_leader});
    if (m_handOverTo)
        return tl::unexpected(ProposeError{ProposeFault::Busy, m_leader});
    return appendOwn(EntryKind::Command, std::move(payload));
}

tl::expected<Configuration, ProposeFault> Replica::Impl::changed(const Change &change,
                                                                 base::TimePoint now) const
{
    Configuration next = m_log.configuration();
    const bool isKnown = next.isVoter(change.id) || next.isLearner(change.id);
    switch (change.kind) {
    case ChangeKind::AddLearner:
        if (isKnown)
            return tl::unexpected(ProposeFault::Refused);
        next.learners.push_back(change.id);
        return next;
    case ChangeKind::Promote:
        if (!next.isLearner(change.id))
            return tl::unexpected(ProposeFault::Refused);
        if (!isCaughtUp(change.id, now))
            return tl::unexpected(ProposeFault::NotCaughtUp);
        std::erase(next.learners, change.id);
        next.voters.push_back(change.id);
        return next;
    case ChangeKind::Remove:
        if (!isKnown || change.id == m_options.self)
            return tl::unexpected(ProposeFault::Refused);
        std::erase(next.learners, change.id);
        std::erase(next.voters, change.id);
        return next;
    }
    return tl::unexpected(ProposeFault::Refused);
}

tl::expected<Position, ProposeError> Replica::Impl::change(const Change &change,
                                                           base::TimePoint now)
{
    if (m_isStopping)
        return tl::unexpected(ProposeError{ProposeFault::Stopping, m_leader});
    if (!isLeader())
        return tl::unexpected(ProposeError{ProposeFault::NotLeader, m_leader});
    // Two configurations in a row share a voter in every pair of majorities; that holds only when
    // the one before is committed, and by an entry of this term.
    const bool isSettled =
            m_log.configurationIndex() <= m_commit && m_log.termAt(m_commit) == m_hard.term;
    if (m_handOverTo || !isSettled)
        return tl::unexpected(ProposeError{ProposeFault::Busy, m_leader});
    const auto next = changed(change, now);
    if (!next)
        return tl::unexpected(ProposeError{next.error(), m_leader});
    const Position position = appendOwn(EntryKind::Voters, encode(*next));
    trackProgress();
    return position;
}

bool Replica::Impl::isCaughtUp(const ReplicaId &id, base::TimePoint now) const
{
    const auto it = m_progress.find(id);
    if (!isLeader() || it == m_progress.end() || !it->second.answeredAt)
        return false;
    return it->second.match + kCaughtUpEntries >= m_log.last().index
           && it->second.match >= m_commit - std::min(m_commit, kCaughtUpEntries)
           && *it->second.answeredAt + m_options.electionTimeout > now;
}

std::optional<base::TimePoint> Replica::Impl::quorumAnsweredAt(base::TimePoint now) const
{
    std::vector<base::TimePoint> times;
    for (const ReplicaId &voter : m_log.configuration().voters) {
        if (voter == m_options.self) {
            times.push_back(now);
            continue;
        }
        const auto it = m_progress.find(voter);
        if (it != m_progress.end() && it->second.answeredAt)
            times.push_back(*it->second.answeredAt);
    }
    if (times.size() < quorum())
        return std::nullopt;
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[quorum() - 1];
}

bool Replica::Impl::hasLease(base::TimePoint now) const
{
    if (!isLeader() || m_handOverTo || m_log.termAt(m_commit) != m_hard.term)
        return false;
    const auto answered = quorumAnsweredAt(now);
    return answered && now < *answered + m_options.electionTimeout * 3 / 4;
}

void Replica::Impl::tickLeader(base::TimePoint now)
{
    const auto answered = quorumAnsweredAt(now);
    const base::TimePoint heard = std::max(m_leaderSince, answered.value_or(m_leaderSince));
    const bool isCutOff = now >= heard + m_options.electionTimeout;
    // A hand-over message may still arrive later, so leading on with a lease would not be safe.
    const bool isHandOverOver = m_handOverTo && now >= m_handOverUntil;
    if (isCutOff || isHandOverOver)
        becomeFollower(m_hard.term, {}, now);
}

void Replica::Impl::advanceCommit()
{
    std::vector<Index> held;
    for (const ReplicaId &voter : m_log.configuration().voters) {
        const auto it = m_progress.find(voter);
        if (voter == m_options.self)
            held.push_back(m_log.last().index);
        else if (it != m_progress.end())
            held.push_back(it->second.match);
    }
    if (held.size() < quorum())
        return;
    std::sort(held.begin(), held.end(), std::greater<>());
    const Index candidate = held[quorum() - 1];
    if (candidate > m_commit && m_log.termAt(candidate) == m_hard.term)
        m_commit = candidate;
}

void Replica::Impl::sendAppends(base::TimePoint now)
{
    const bool isHeartbeatDue = now >= m_heartbeatAt;
    if (isHeartbeatDue)
        m_heartbeatAt = now + m_options.heartbeatInterval;
    const Index last = m_log.last().index;
    for (auto &[id, progress] : m_progress) {
        // A message or its answer may have been lost.
        if (isHeartbeatDue)
            progress.isAwaitingReply = false;
        const bool hasNewCommit =
                progress.mode == Progress::Mode::Stream && progress.sentCommit < m_commit;
        bool isSent = false;
        while (progress.isReady(last)) {
            sendAppend(id, progress, now);
            isSent = true;
        }
        if (!isSent && (isHeartbeatDue || hasNewCommit))
            sendAppend(id, progress, now);
    }
}

void Replica::Impl::sendAppend(const ReplicaId &to, Progress &progress, base::TimePoint now)
{
    const Index previous = progress.next - Index(1);
    const auto term = m_log.termAt(previous);
    if (!term) {
        if (!progress.isAwaitingReply)
            sendSnapshotChunk(to, progress, now);
        return;
    }
    if (progress.mode == Progress::Mode::Snapshot)
        progress.mode = Progress::Mode::Probe;
    Wire wire;
    wire.kind = WireKind::Append;
    wire.term = m_hard.term;
    wire.position = {*term, previous};
    wire.commit = m_commit;
    wire.stamp = stampOf(now);
    if (progress.isReady(m_log.last().index))
        wire.entries = m_log.slice(progress.next, kMaxAppendBytes);
    progress.sentCommit = m_commit;
    if (progress.mode == Progress::Mode::Stream)
        progress.next += Index(std::ssize(wire.entries));
    else
        progress.isAwaitingReply = true;
    send(to, std::move(wire));
}

void Replica::Impl::sendSnapshotChunk(const ReplicaId &to, Progress &progress, base::TimePoint now)
{
    const Snapshot &snapshot = m_log.snapshot();
    if (progress.mode != Progress::Mode::Snapshot
        || progress.snapshotPosition != snapshot.position) {
        progress.mode = Progress::Mode::Snapshot;
        progress.snapshotPosition = snapshot.position;
        progress.snapshotOffset = 0;
    }
    Wire wire;
    wire.kind = WireKind::SnapshotChunk;
    wire.term = m_hard.term;
    wire.position = snapshot.position;
    wire.stamp = stampOf(now);
    wire.offset = progress.snapshotOffset;
    wire.total = std::ssize(snapshot.data);
    wire.data = snapshot.data.substr(static_cast<std::size_t>(wire.offset), kSnapshotChunkBytes);
    wire.configuration = snapshot.configuration;
    progress.isAwaitingReply = true;
    send(to, std::move(wire));
}

void Replica::Impl::noteAnswer(Progress &progress, std::int64_t stamp)
{
    const base::TimePoint sent{base::Micros(stamp)};
    progress.answeredAt = std::max(progress.answeredAt.value_or(sent), sent);
}

void Replica::Impl::onAppendReply(const ReplicaId &from, const Wire &wire)
{
    const auto it = m_progress.find(from);
    if (!isLeader() || it == m_progress.end())
        return;
    Progress &progress = it->second;
    noteAnswer(progress, wire.stamp);
    if (wire.isOk)
        progress.onMatched(std::min(wire.index, m_log.last().index));
    else
        progress.onRejected(wire.index);
    handOverWhenReady();
}

void Replica::Impl::onSnapshotReply(const ReplicaId &from, const Wire &wire)
{
    const auto it = m_progress.find(from);
    if (!isLeader() || it == m_progress.end())
        return;
    Progress &progress = it->second;
    noteAnswer(progress, wire.stamp);
    const bool isCurrent = progress.mode == Progress::Mode::Snapshot
                           && progress.snapshotPosition == wire.position
                           && wire.offset <= std::ssize(m_log.snapshot().data);
    if (!isCurrent)
        return;
    progress.snapshotOffset = wire.offset;
    progress.isAwaitingReply = false;
}

void Replica::Impl::prepareStop(base::TimePoint now)
{
    m_isStopping = true;
    handOver(now);
}

void Replica::Impl::handOver(base::TimePoint now)
{
    if (!isLeader() || m_handOverTo)
        return;
    const ReplicaId *best = nullptr;
    for (const auto &[id, progress] : m_progress) {
        const bool isBetter = !best || progress.match > m_progress.at(*best).match;
        if (m_log.configuration().isVoter(id) && isBetter && isCaughtUp(id, now))
            best = &id;
    }
    if (!best)
        return;
    m_handOverTo = *best;
    m_handOverUntil = now + m_options.electionTimeout;
    handOverWhenReady();
}

void Replica::Impl::handOverWhenReady()
{
    if (!m_handOverTo || m_isHandOverSent)
        return;
    const auto it = m_progress.find(*m_handOverTo);
    if (it == m_progress.end() || it->second.match < m_log.last().index)
        return;
    m_isHandOverSent = true;
    Wire wire;
    wire.kind = WireKind::TimeoutNow;
    wire.term = m_hard.term;
    send(*m_handOverTo, std::move(wire));
}

} // namespace hyssop::replog
