#include "ReplicaImpl.h"

#include <algorithm>
#include <cassert>

namespace hyssop::replog {

namespace {

/// Limits on the payload of one append and on one snapshot chunk.
constexpr std::size_t kMaxAppendBytes = std::size_t(512) << 10;
constexpr std::size_t kSnapshotChunkBytes = std::size_t(512) << 10;
/// A learner that lags by at most this many entries may be promoted.
constexpr Index kMaxCaughtUpLag(64);

std::int64_t microsSinceEpoch(base::TimePoint now)
{
    return std::chrono::duration_cast<base::Micros>(now.time_since_epoch()).count();
}

} // namespace

void Replica::Impl::becomeLeader(base::TimePoint now)
{
    m_role = Role::Leader;
    m_leader = m_options.self;
    recordLeader(m_options.self);
    m_leaderSince = now;
    m_nextHeartbeatAt = now;
    m_transferTarget.reset();
    m_isTimeoutNowSent = false;
    m_progress.clear();
    updateTrackedReplicas();
    // Entries of earlier terms are committed only through an entry of this term.
    appendAsLeader(EntryKind::Noop, {});
}

void Replica::Impl::updateTrackedReplicas()
{
    const Configuration &configuration = m_log.configuration();
    std::erase_if(m_progress, [&configuration](const auto &it) {
        return !configuration.isVoter(it.first) && !configuration.isLearner(it.first);
    });
    const auto track = [this](const ReplicaId &id) {
        Progress progress;
        progress.nextIndex = m_log.lastPosition().index + Index(1);
        if (id != m_options.self)
            m_progress.emplace(id, progress);
    };
    std::for_each(configuration.voters.begin(), configuration.voters.end(), track);
    std::for_each(configuration.learners.begin(), configuration.learners.end(), track);
}

Position Replica::Impl::appendAsLeader(EntryKind kind, std::string payload)
{
    const Position position{m_hardState.term, m_log.lastPosition().index + Index(1)};
    m_log.append({{position, kind, std::move(payload)}});
    return position;
}

tl::expected<Position, ProposeError> Replica::Impl::propose(std::string payload)
{
    if (m_isStopping)
        return tl::unexpected(ProposeError{ProposeFault::Stopping, m_leader});
    if (!isLeader())
        return tl::unexpected(ProposeError{ProposeFault::NotLeader, m_leader});
    if (m_transferTarget)
        return tl::unexpected(ProposeError{ProposeFault::Busy, m_leader});
    return appendAsLeader(EntryKind::Command, std::move(payload));
}

tl::expected<Configuration, ProposeFault> Replica::Impl::configurationAfter(
        const MembershipChange &change, base::TimePoint now) const
{
    Configuration next = m_log.configuration();
    const bool isKnown = next.isVoter(change.id) || next.isLearner(change.id);
    switch (change.kind) {
    case MembershipChangeKind::AddLearner:
        if (isKnown)
            return tl::unexpected(ProposeFault::InvalidChange);
        next.learners.push_back(change.id);
        return next;
    case MembershipChangeKind::Promote:
        if (!next.isLearner(change.id))
            return tl::unexpected(ProposeFault::InvalidChange);
        if (!isCaughtUp(change.id, now))
            return tl::unexpected(ProposeFault::NotCaughtUp);
        std::erase(next.learners, change.id);
        next.voters.push_back(change.id);
        return next;
    case MembershipChangeKind::Remove:
        if (!isKnown || change.id == m_options.self)
            return tl::unexpected(ProposeFault::InvalidChange);
        std::erase(next.learners, change.id);
        std::erase(next.voters, change.id);
        return next;
    }
    return tl::unexpected(ProposeFault::InvalidChange);
}

tl::expected<Position, ProposeError> Replica::Impl::changeMembership(const MembershipChange &change,
                                                                     base::TimePoint now)
{
    if (m_isStopping)
        return tl::unexpected(ProposeError{ProposeFault::Stopping, m_leader});
    if (!isLeader())
        return tl::unexpected(ProposeError{ProposeFault::NotLeader, m_leader});
    // Majorities of consecutive configurations overlap. This is safe only if the previous one is
    // committed and an entry of this term is committed too.
    const bool isReadyForChange = m_log.configurationIndex() <= m_commitIndex
                                  && m_log.termAt(m_commitIndex) == m_hardState.term;
    if (m_transferTarget || !isReadyForChange)
        return tl::unexpected(ProposeError{ProposeFault::Busy, m_leader});
    const auto next = configurationAfter(change, now);
    if (!next)
        return tl::unexpected(ProposeError{next.error(), m_leader});
    const Position position = appendAsLeader(EntryKind::Voters, encode(*next));
    updateTrackedReplicas();
    return position;
}

bool Replica::Impl::isCaughtUp(const ReplicaId &id, base::TimePoint now) const
{
    const auto it = m_progress.find(id);
    if (!isLeader() || it == m_progress.end() || !it->second.lastAnsweredSendTime)
        return false;
    return it->second.matchIndex + kMaxCaughtUpLag >= m_log.lastPosition().index
           && it->second.matchIndex >= m_commitIndex - std::min(m_commitIndex, kMaxCaughtUpLag)
           && *it->second.lastAnsweredSendTime + m_options.electionTimeout > now;
}

std::optional<base::TimePoint> Replica::Impl::quorumContactTime(base::TimePoint now) const
{
    std::vector<base::TimePoint> contactTimes;
    for (const ReplicaId &voter : m_log.configuration().voters) {
        if (voter == m_options.self) {
            contactTimes.push_back(now);
            continue;
        }
        const auto it = m_progress.find(voter);
        if (it != m_progress.end() && it->second.lastAnsweredSendTime)
            contactTimes.push_back(*it->second.lastAnsweredSendTime);
    }
    if (contactTimes.size() < quorum())
        return std::nullopt;
    std::sort(contactTimes.begin(), contactTimes.end(), std::greater<>());
    return contactTimes[quorum() - 1];
}

bool Replica::Impl::hasLease(base::TimePoint now) const
{
    if (!isLeader() || m_transferTarget || m_log.termAt(m_commitIndex) != m_hardState.term)
        return false;
    const auto contactTime = quorumContactTime(now);
    return contactTime && now < *contactTime + m_options.electionTimeout * 3 / 4;
}

void Replica::Impl::tickLeader(base::TimePoint now)
{
    const auto contactTime = quorumContactTime(now);
    const base::TimePoint lastContact =
            std::max(m_leaderSince, contactTime.value_or(m_leaderSince));
    const bool hasLostQuorum = now >= lastContact + m_options.electionTimeout;
    // TimeoutNow may still arrive, so continuing as leader with a lease would be unsafe.
    const bool isTransferExpired = m_transferTarget && now >= m_transferDeadline;
    if (hasLostQuorum || isTransferExpired)
        becomeFollower(m_hardState.term, {}, now);
}

void Replica::Impl::advanceCommit()
{
    std::vector<Index> matchIndexes;
    for (const ReplicaId &voter : m_log.configuration().voters) {
        const auto it = m_progress.find(voter);
        if (voter == m_options.self)
            matchIndexes.push_back(m_log.lastPosition().index);
        else if (it != m_progress.end())
            matchIndexes.push_back(it->second.matchIndex);
    }
    if (matchIndexes.size() < quorum())
        return;
    std::sort(matchIndexes.begin(), matchIndexes.end(), std::greater<>());
    const Index quorumIndex = matchIndexes[quorum() - 1];
    if (quorumIndex > m_commitIndex && m_log.termAt(quorumIndex) == m_hardState.term)
        m_commitIndex = quorumIndex;
}

void Replica::Impl::sendAppends(base::TimePoint now)
{
    const bool isHeartbeatDue = now >= m_nextHeartbeatAt;
    if (isHeartbeatDue)
        m_nextHeartbeatAt = now + m_options.heartbeatInterval;
    const Index last = m_log.lastPosition().index;
    for (auto &[id, progress] : m_progress) {
        // The message or its reply may have been lost.
        if (isHeartbeatDue)
            progress.isAwaitingReply = false;
        const bool hasNewCommit =
                progress.mode == Progress::Mode::Stream && progress.sentCommitIndex < m_commitIndex;
        bool isSent = false;
        while (progress.canSendEntries(last)) {
            sendAppend(id, progress, now);
            isSent = true;
        }
        if (!isSent && (isHeartbeatDue || hasNewCommit))
            sendAppend(id, progress, now);
    }
}

void Replica::Impl::sendAppend(const ReplicaId &to, Progress &progress, base::TimePoint now)
{
    const Index previous = progress.nextIndex - Index(1);
    const auto term = m_log.termAt(previous);
    if (!term) {
        if (!progress.isAwaitingReply)
            sendSnapshotChunk(to, progress, now);
        return;
    }
    if (progress.mode == Progress::Mode::Snapshot)
        progress.mode = Progress::Mode::Probe;
    ProtocolMessage wire;
    wire.kind = MessageKind::Append;
    wire.term = m_hardState.term;
    wire.position = {*term, previous};
    wire.commitIndex = m_commitIndex;
    wire.sentAtUs = microsSinceEpoch(now);
    if (progress.canSendEntries(m_log.lastPosition().index))
        wire.entries = m_log.entriesFrom(progress.nextIndex, kMaxAppendBytes);
    progress.sentCommitIndex = m_commitIndex;
    if (progress.mode == Progress::Mode::Stream)
        progress.nextIndex += Index(std::ssize(wire.entries));
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
    ProtocolMessage wire;
    wire.kind = MessageKind::SnapshotChunk;
    wire.term = m_hardState.term;
    wire.position = snapshot.position;
    wire.sentAtUs = microsSinceEpoch(now);
    wire.offset = progress.snapshotOffset;
    wire.totalBytes = std::ssize(snapshot.data);
    wire.chunk = snapshot.data.substr(static_cast<std::size_t>(wire.offset), kSnapshotChunkBytes);
    wire.configuration = snapshot.configuration;
    progress.isAwaitingReply = true;
    send(to, std::move(wire));
}

void Replica::Impl::recordAnswer(Progress &progress, std::int64_t sentAtUs)
{
    const base::TimePoint sent{base::Micros(sentAtUs)};
    progress.lastAnsweredSendTime = std::max(progress.lastAnsweredSendTime.value_or(sent), sent);
}

void Replica::Impl::onAppendReply(const ReplicaId &from, const ProtocolMessage &wire)
{
    const auto it = m_progress.find(from);
    if (!isLeader() || it == m_progress.end())
        return;
    Progress &progress = it->second;
    recordAnswer(progress, wire.sentAtUs);
    if (wire.isOk)
        progress.onMatched(std::min(wire.matchIndex, m_log.lastPosition().index));
    else
        progress.onRejected(wire.matchIndex);
    sendTimeoutNowWhenReady();
}

void Replica::Impl::onSnapshotReply(const ReplicaId &from, const ProtocolMessage &wire)
{
    const auto it = m_progress.find(from);
    if (!isLeader() || it == m_progress.end())
        return;
    Progress &progress = it->second;
    recordAnswer(progress, wire.sentAtUs);
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
    transferLeadership(now);
}

void Replica::Impl::transferLeadership(base::TimePoint now)
{
    if (!isLeader() || m_transferTarget)
        return;
    const ReplicaId *target = nullptr;
    for (const auto &[id, progress] : m_progress) {
        const bool isBetter = !target || progress.matchIndex > m_progress.at(*target).matchIndex;
        if (m_log.configuration().isVoter(id) && isBetter && isCaughtUp(id, now))
            target = &id;
    }
    if (!target)
        return;
    m_transferTarget = *target;
    m_transferDeadline = now + m_options.electionTimeout;
    sendTimeoutNowWhenReady();
}

void Replica::Impl::sendTimeoutNowWhenReady()
{
    if (!m_transferTarget || m_isTimeoutNowSent)
        return;
    const auto it = m_progress.find(*m_transferTarget);
    if (it == m_progress.end() || it->second.matchIndex < m_log.lastPosition().index)
        return;
    m_isTimeoutNowSent = true;
    ProtocolMessage wire;
    wire.kind = MessageKind::TimeoutNow;
    wire.term = m_hardState.term;
    send(*m_transferTarget, std::move(wire));
}

} // namespace hyssop::replog
