#include "group/Group.h"

#include <algorithm>

namespace hyssop::group {

namespace {

/// Number of applied entries after which the log is compacted.
constexpr replog::Index kCompactionEntries(5'000);
/// Bytes of applied payload after which the log is compacted. Without this limit, a log of large
/// entries could fill a small disk.
constexpr std::size_t kCompactionBytes = std::size_t(4) << 20;
constexpr base::Millis kHelloInterval{500};
/// Interval at which a full disk is tried again.
constexpr base::Millis kReopenInterval{1'000};

/// Wall-clock time in milliseconds; only the log time of a new group starts from it.
std::int64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<base::Millis>(now).count();
}

} // namespace

GroupHost::GroupHost(GroupOptions options, replog::ReplicaId self, Send send, base::TimePoint now)
    : m_options(std::move(options))
    , m_self(std::move(self))
    , m_hasSetAsideLog(replog::hasSetAsideLog(m_options.folder))
    , m_members(m_options.members ? std::move(m_options.members)
                                  : std::make_unique<GroupMembers>(m_options.host,
                                                                   m_options.initialHosts, now))
    , m_send(std::move(send))
    , m_rng(m_options.seed)
{ }

tl::expected<std::unique_ptr<GroupHost>, replog::StorageError> GroupHost::open(GroupOptions options,
                                                                               Send send,
                                                                               base::TimePoint now)
{
    auto self = replog::loadReplicaId(options.folder, options.host, options.seed);
    if (!self)
        return tl::unexpected(self.error());
    std::unique_ptr<GroupHost> host(
            new GroupHost(std::move(options), *std::move(self), std::move(send), now));
    if (const auto opened = host->openReplica(now); !opened)
        return tl::unexpected(opened.error());
    return host;
}

tl::expected<void, replog::StorageError> GroupHost::openReplica(base::TimePoint now)
{
    replog::ReplicaOptions options;
    options.group = m_options.group;
    options.self = m_self;
    options.heartbeatInterval = m_options.heartbeatInterval;
    options.electionTimeout = m_options.electionTimeout;
    options.seed = m_options.seed;
    auto storage = replog::makeFileStorage(m_options.folder);
    auto opened = replog::Replica::open(options, storage.get(), now);
    if (!opened)
        return tl::unexpected(opened.error());
    m_replica = *std::move(opened);
    m_storage = std::move(storage);
    const auto elapsed = std::chrono::floor<base::Millis>(base::monotonicNow() - now);
    base::logEvent("log_recovered", {{"group", m_options.group},
                                     {"term", m_replica->term().count()},
                                     {"last_index", m_replica->lastPosition().index.count()},
                                     {"voters", m_replica->configuration().voters.size()},
                                     {"ms", elapsed.count()}});
    m_ledger = ledger::Ledger();
    m_clock = {};
    m_compactedPosition = {};
    m_bytesSinceCompaction = 0;
    m_appliedRecordsPosition = {};
    return {};
}

tl::expected<void, replog::StorageError> GroupHost::handleFault(const replog::StorageError &error,
                                                                base::TimePoint now)
{
    if (error.fault != replog::StorageFault::NoSpace)
        return tl::unexpected(error);
    if (!m_suspendedUntil)
        base::logEvent("log_suspended", {{"group", m_options.group}, {"message", error.message}});
    m_suspendedUntil = now + kReopenInterval;
    m_replica->resign(now);
    failPendingCommands();
    return {};
}

void GroupHost::execute(const ledger::Command &command, Done done, base::TimePoint now)
{
    if (m_suspendedUntil)
        return done(tl::unexpected(ExecuteFault::NotLeader));
    const std::int64_t logTime = m_clock.read(now, wallClockMs());
    const auto position = m_replica->propose(ledger::encode(command, logTime), now);
    if (position)
        m_pendingCommands.emplace(*position, std::move(done));
    else
        done(tl::unexpected(ExecuteFault::NotLeader));
}

std::optional<base::Endpoint> GroupHost::leaderAddress() const
{
    const replog::ReplicaId leader = m_replica->leader();
    if (leader.isEmpty() || leader == m_self)
        return std::nullopt;
    return m_members->addressOf(replog::hostOf(leader));
}

bool GroupHost::isQuorumReachable(base::TimePoint now) const
{
    return m_replica->hasRecentLeader(now)
           || m_members->isQuorumReachable(m_self, m_replica->configuration(), now);
}

void GroupHost::receive(std::string_view body, base::TimePoint now)
{
    const auto envelope = decodeEnvelope(body);
    if (!envelope)
        return;
    if (!std::exchange(m_wasContacted, true))
        base::logEvent("first_contact", {{"group", m_options.group}});
    if (const auto *hello = std::get_if<Hello>(&*envelope)) {
        m_members->onHello(*hello);
        m_members->onContact(hello->id, now);
        return;
    }
    const auto &message = std::get<replog::Message>(*envelope);
    m_members->onContact(message.from, now);
    if (!m_suspendedUntil)
        m_replica->receive(message, now);
}

void GroupHost::sendHellos(base::TimePoint now)
{
    if (now < m_nextHelloAt)
        return;
    m_nextHelloAt = now + kHelloInterval;
    for (const HostAddress &host : m_members->hosts()) {
        if (host.host != m_options.host)
            m_send(host.address, encode(m_members->helloTo(host.host, m_self, canFoundGroup())));
    }
}

bool GroupHost::canFoundGroup() const
{
    return m_replica->isEmpty() && !m_hasSetAsideLog;
}

void GroupHost::bootstrapWhenReady(base::TimePoint now)
{
    if (!canFoundGroup())
        return;
    if (const auto voters = m_members->bootstrapVoters(m_self)) {
        base::logEvent("group_founded", {{"group", m_options.group}, {"voters", voters->size()}});
        m_replica->bootstrap(*voters, now);
    }
}

void GroupHost::updateHostsFromRecord()
{
    if (m_appliedRecordsPosition == m_ledger.recordsPosition())
        return;
    m_appliedRecordsPosition = m_ledger.recordsPosition();
    const auto *record = m_ledger.record(records::Kind::ControlGroup, m_options.group.text());
    if (!record)
        return;
    const auto spec = records::readControlGroup(*record);
    if (!spec)
        return;
    std::vector<HostAddress> hosts;
    for (const auto &voter : spec->voters)
        hosts.push_back({voter.host, voter.address});
    if (!hosts.empty())
        m_members->setHosts(std::move(hosts));
}

void GroupHost::logFollowedLeader()
{
    const std::pair followed(m_replica->term(), m_replica->leader());
    if (followed.second.isEmpty() || followed == m_loggedLeader)
        return;
    m_loggedLeader = followed;
    if (followed.second != m_self)
        base::logEvent("leader_known", {{"group", m_options.group},
                                        {"leader", followed.second},
                                        {"term", followed.first.count()}});
}

void GroupHost::performLeaderTasks(base::TimePoint now)
{
    const bool isLeader = m_replica->hasLease(now);
    if (isLeader != m_hadLease) {
        m_hadLease = isLeader;
        base::logEvent(isLeader ? "leadership_taken" : "leadership_lost",
                       {{"group", m_options.group}, {"term", m_replica->term().count()}});
        if (isLeader && m_ledger.groupIncarnation() == 0)
            execute(
                    ledger::InitializeGroup{static_cast<std::int64_t>(m_rng() >> 1) | 1},
                    [](const auto &) {}, now);
    }
    if (!isLeader)
        return;
    const auto desired = m_members->desiredReplicas(m_self, m_replica->configuration(), now);
    if (const auto change = replog::nextMembershipChange(*m_replica, desired, now)) {
        if (m_replica->changeMembership(*change, now))
            base::logEvent("voters_change",
                           {{"group", m_options.group},
                            {"kind", replog::membershipChangeKindName(change->kind)},
                            {"replica", change->id}});
        return;
    }
    const bool isDesired =
            std::find(desired.voters.begin(), desired.voters.end(), m_self) != desired.voters.end();
    if (!isDesired && m_replica->configuration().voters.size() > 1)
        m_replica->transferLeadership(now);
}

void GroupHost::apply(const replog::Entry &entry, base::TimePoint now)
{
    const ledger::Reply reply = m_ledger.apply(entry);
    m_bytesSinceCompaction += entry.payload.size();
    m_clock.onApplied(m_ledger.logTimeMs(), now);
    // Earlier pending positions were not committed; their commands were lost with the old leader.
    while (!m_pendingCommands.empty() && m_pendingCommands.begin()->first < entry.position) {
        const Done lost = std::move(m_pendingCommands.begin()->second);
        m_pendingCommands.erase(m_pendingCommands.begin());
        lost(tl::unexpected(ExecuteFault::Lost));
    }
    const auto it = m_pendingCommands.find(entry.position);
    if (it == m_pendingCommands.end())
        return;
    const Done done = std::move(it->second);
    m_pendingCommands.erase(it);
    done(reply);
}

void GroupHost::failPendingCommands()
{
    for (const auto &[position, done] : std::exchange(m_pendingCommands, {}))
        done(tl::unexpected(ExecuteFault::Lost));
}

void GroupHost::compactIfNeeded()
{
    const replog::Position applied = m_ledger.position();
    if (applied.index < m_compactedPosition.index + kCompactionEntries
        && m_bytesSinceCompaction < kCompactionBytes)
        return;
    m_compactedPosition = applied;
    m_bytesSinceCompaction = 0;
    m_replica->compact(applied, m_ledger.snapshot());
}

tl::expected<void, replog::StorageError> GroupHost::pump(base::TimePoint now)
{
    m_members->tick(now);
    sendHellos(now);
    if (m_suspendedUntil) {
        if (now < *m_suspendedUntil)
            return {};
        if (const auto opened = openReplica(now); !opened)
            return handleFault(opened.error(), now);
        m_suspendedUntil.reset();
        base::logEvent("log_reopened",
                       {{"group", m_options.group}, {"term", m_replica->term().count()}});
    }
    bootstrapWhenReady(now);
    m_replica->tick(now);
    logFollowedLeader();
    performLeaderTasks(now);
    auto output = m_replica->flush(now);
    if (!output)
        return handleFault(output.error(), now);
    if (output->restoredSnapshot) {
        if (!m_ledger.restore(output->restoredSnapshot->data))
            return tl::unexpected(replog::StorageError{replog::StorageFault::Damaged,
                                                       "the snapshot cannot be decoded"});
        m_compactedPosition = output->restoredSnapshot->position;
        m_clock.onApplied(m_ledger.logTimeMs(), now);
    }
    for (const replog::Entry &entry : output->committed)
        apply(entry, now);
    // Another leader may still commit these commands; the senders have to ask there.
    if (!m_replica->isLeader())
        failPendingCommands();
    for (const replog::Message &message : output->messages) {
        if (const auto address = m_members->addressOf(replog::hostOf(message.to)))
            m_send(*address, encode(message));
    }
    updateHostsFromRecord();
    compactIfNeeded();
    return {};
}

} // namespace hyssop::group
