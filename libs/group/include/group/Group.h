/// Replicated groups: a host's replica of the log with the ledger as its state machine, the
/// membership of the group, and the routing of commands to its leader.
///
/// Nothing here is thread-safe; use it only from the thread that runs the http::Loop.
#pragma once

#include "http/Http.h"
#include "ledger/Ledger.h"
#include "peers/Peers.h"
#include "replog/Replog.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace hyssop::group {

/// Periodic message by which the hosts of a group learn each other's replica ids.
struct Hello
{
    replog::ReplicaId id;
    /// The sender's log holds no entry yet, none was set aside as incomplete, and the sender has
    /// not said so to another host, so that only the receiver may found a group with it.
    bool isEmpty = false;
    replog::ReplicaId echoedId; ///< Latest id received from the receiver's host; empty if none.
    base::DataCentreId dataCentre = {}; ///< Of the sender; empty where it is not used.
};

/// A message between hosts of one group.
using Envelope = std::variant<Hello, replog::Message>;

std::string encode(const Envelope &envelope);
/// Empty when \a bytes are malformed.
std::optional<Envelope> decodeEnvelope(std::string_view bytes);

/// Time of a group's log, in milliseconds, with which a leader timestamps commands.
///
/// It advances from the last applied timestamp by the monotonic clock. It therefore never goes back
/// and does not jump when leadership moves between hosts whose wall clocks differ, so a lease
/// granted by one leader ends no earlier under the next. It stops while the whole group is down.
class LogClock
{
public:
    /// Records that an entry with timestamp \a logTimeMs was applied; earlier ones are ignored.
    void onApplied(std::int64_t logTimeMs, base::TimePoint now)
    {
        if (logTimeMs <= m_baseMs)
            return;
        m_baseMs = logTimeMs;
        m_baseAt = now;
    }
    /// Current log time; \a wallMs while nothing has been applied.
    std::int64_t read(base::TimePoint now, std::int64_t wallMs) const
    {
        if (m_baseMs == 0)
            return wallMs;
        return m_baseMs + std::chrono::duration_cast<base::Millis>(now - m_baseAt).count();
    }

private:
    std::int64_t m_baseMs = 0;
    base::TimePoint m_baseAt;
};

/// A host of a group and the address where it listens for peers.
struct HostAddress
{
    base::HostId host;
    base::Endpoint address;

    bool operator==(const HostAddress &other) const = default;
};

/// Hosts of a group and the current replica id of each. Does no I/O.
class GroupMembers
{
public:
    GroupMembers(base::HostId self, std::vector<HostAddress> hosts, base::TimePoint now);
    virtual ~GroupMembers() = default;

    /// Replaces the hosts of the group. addressOf() still knows the previous ones.
    void setHosts(std::vector<HostAddress> hosts);
    const std::vector<HostAddress> &hosts() const { return m_hosts; }
    /// Whether this host belongs to the group.
    virtual bool isMember() const;
    /// Peer address of \a host; empty when unknown.
    virtual std::optional<base::Endpoint> addressOf(const base::HostId &host) const;

    /// The Hello to send to \a host.
    virtual Hello helloTo(const base::HostId &host, const replog::ReplicaId &self, bool isEmpty);
    /// Records the replica id of the sender's host.
    virtual void onHello(const Hello &hello);

    /// Records the receipt of a Hello or log message from a replica.
    void onContact(const replog::ReplicaId &id, base::TimePoint now);
    /// Whether a majority of the voters, including \a self, sent a message recently. Also true
    /// right after the start, before messages can have arrived.
    bool isQuorumReachable(const replog::ReplicaId &self,
                           const replog::Configuration &configuration, base::TimePoint now) const;

    /// Voters of a new group, once every host has told this replica incarnation that its log is
    /// empty. Returned only on the first host, which bootstraps the group.
    virtual std::optional<std::vector<replog::ReplicaId>> bootstrapVoters(
            const replog::ReplicaId &self) const;

    /// Ids that should vote. A host that has sent no Hello keeps its current voter id.
    std::vector<replog::ReplicaId> desiredVoters(const replog::ReplicaId &self,
                                                 const replog::Configuration &configuration) const;
    /// Target members of the group, from the view of the leader \a self.
    virtual replog::DesiredReplicas desiredReplicas(const replog::ReplicaId &self,
                                                    const replog::Configuration &configuration,
                                                    base::TimePoint now) const;
    /// Removes expired hosts.
    virtual void tick(base::TimePoint) { }

protected:
    bool isReachable(const replog::ReplicaId &id, base::TimePoint now) const;
    const base::HostId &self() const { return m_self; }
    const std::map<base::HostId, Hello> &hellos() const { return m_hellos; }
    /// Drops the Hello and contact times of \a host.
    void removeHost(const base::HostId &host);

private:
    base::HostId m_self;
    std::vector<HostAddress> m_hosts;
    std::map<base::HostId, base::Endpoint> m_addresses; ///< Of all current and former hosts.
    std::map<base::HostId, Hello> m_hellos;
    base::TimePoint m_createdAt;
    std::map<replog::ReplicaId, base::TimePoint> m_lastContactAt;
};

struct DynamicMembersOptions
{
    base::HostId self; ///< Peer address of this host, as text.
    base::DataCentreId dataCentre;
    std::vector<base::Endpoint>
            seeds; ///< Contacted first; other hosts are learned from their Hellos.
    bool canBootstrap = false; ///< The seeds may bootstrap the group; only on the first start.
    std::size_t voterCount = 3; ///< Target number; with fewer hosts, all vote.
};

/// Members of a group that any control host may join. The peer address of a host is its id.
///
/// The target number of hosts vote, spread over data centres; the others are learners. An
/// unreachable voter is replaced as soon as another host is available.
class DynamicMembers final : public GroupMembers
{
public:
    DynamicMembers(DynamicMembersOptions options, base::TimePoint now);

    bool isMember() const override { return true; }
    std::optional<base::Endpoint> addressOf(const base::HostId &host) const override;
    Hello helloTo(const base::HostId &host, const replog::ReplicaId &self, bool isEmpty) override;
    void onHello(const Hello &hello) override;
    std::optional<std::vector<replog::ReplicaId>> bootstrapVoters(
            const replog::ReplicaId &self) const override;
    replog::DesiredReplicas desiredReplicas(const replog::ReplicaId &self,
                                            const replog::Configuration &configuration,
                                            base::TimePoint now) const override;
    void tick(base::TimePoint now) override;
    /// Replaces the seeds. Hosts already known are kept until they expire.
    void setSeeds(const std::vector<base::Endpoint> &seeds);

private:
    void addHost(const base::HostId &host);
    /// First seed in order of addresses, which bootstraps the group; empty without seeds.
    base::HostId firstSeed() const;
    /// Whether the empty log of this host may be reported to \a host, which may then found a group
    /// with it. Once it was reported to a host whose id is known, it is reported to no other.
    bool mayReportEmptyLogTo(const base::HostId &host, bool isIdKnown);

    DynamicMembersOptions m_options;
    base::HostId m_possibleFounder; ///< May found a group with this host; empty if none may yet.
    std::map<base::HostId, base::TimePoint> m_lastHelloAt;
    base::TimePoint m_lastTickAt; ///< Stands in for the current time in onHello().
};

struct GroupOptions
{
    replog::GroupId group;
    base::HostId host;
    std::filesystem::path folder;
    std::vector<HostAddress> initialHosts; ///< Initial hosts, the same list at each of them.
    std::unique_ptr<GroupMembers> members = {}; ///< Replaces initialHosts when set.
    base::Millis heartbeatInterval{100};
    base::Millis electionTimeout{1'000};
    std::uint64_t seed = 1;
};

/// One replica of one group, the ledger to which its log is applied, and the pending commands.
///
/// Used only on the control host's loop thread. Commands are answered once committed and applied.
class GroupHost
{
public:
    enum class ExecuteFault {
        NotLeader, ///< Nothing was recorded.
        Lost, ///< Leadership ended before the commit; the command may still be committed.
    };
    using Done = std::function<void(tl::expected<ledger::Reply, ExecuteFault>)>;
    /// Sends an encoded Envelope to the same group on another host.
    using Send = std::function<void(const base::Endpoint &, std::string)>;

    /// Opens the replica stored in the folder of \a options.
    static tl::expected<std::unique_ptr<GroupHost>, replog::StorageError> open(GroupOptions options,
                                                                               Send send,
                                                                               base::TimePoint now);

    /// Proposes a command. \a done is called by a later pump(), or at once if this host is not the
    /// leader.
    void execute(const ledger::Command &command, Done done, base::TimePoint now);
    /// Handles an encoded Envelope; ignores malformed ones.
    void receive(std::string_view body, base::TimePoint now);
    /// Ticks the replica, syncs the batch, applies committed entries and sends messages. If the
    /// disk is full, the host resigns, takes no part in the group and tries to reopen its log each
    /// second; any other error is final.
    tl::expected<void, replog::StorageError> pump(base::TimePoint now);
    /// Rejects further commands and transfers leadership.
    void prepareStop(base::TimePoint now) { m_replica->prepareStop(now); }

    const ledger::Ledger &ledger() const { return m_ledger; }
    const replog::Replica &replica() const { return *m_replica; }
    /// Hosts of the group, as far as known here.
    const std::vector<HostAddress> &hosts() const { return m_members->hosts(); }
    GroupMembers &members() { return *m_members; }
    /// Whether this host is one of them. A removed host receives no messages of the group.
    bool isMember() const { return m_members->isMember(); }
    /// Whether it takes no part in the group because its disk is full.
    bool isSuspended() const { return m_suspendedUntil.has_value(); }
    /// Whether commands wait for their commit.
    bool hasPendingCommands() const { return !m_pendingCommands.empty(); }
    /// Whether enough voters are reachable for the group to have a leader.
    bool isQuorumReachable(base::TimePoint now) const;
    /// Address of the leader; empty when it is unknown or this host.
    std::optional<base::Endpoint> leaderAddress() const;

private:
    GroupHost(GroupOptions options, replog::ReplicaId self, Send send, base::TimePoint now);
    /// Opens the replica from its folder and forgets what the previous one had applied.
    tl::expected<void, replog::StorageError> openReplica(base::TimePoint now);
    /// Suspends the host if the disk is full; returns any other error.
    tl::expected<void, replog::StorageError> handleFault(const replog::StorageError &error,
                                                         base::TimePoint now);
    void apply(const replog::Entry &entry, base::TimePoint now);
    void failPendingCommands();
    void sendHellos(base::TimePoint now);
    /// Whether this host may take part in a new group. An incomplete log that was set aside shows
    /// that the group exists already.
    bool canFoundGroup() const;
    void bootstrapWhenReady(base::TimePoint now);
    void performLeaderTasks(base::TimePoint now);
    /// Logs the leader that this host follows when it changes.
    void logFollowedLeader();
    void updateHostsFromRecord();
    void compactIfNeeded();

    GroupOptions m_options;
    replog::ReplicaId m_self;
    bool m_hasSetAsideLog;
    std::unique_ptr<GroupMembers> m_members;
    std::unique_ptr<replog::Storage> m_storage;
    std::unique_ptr<replog::Replica> m_replica;
    Send m_send;
    base::Rng m_rng;
    ledger::Ledger m_ledger;
    LogClock m_clock;
    replog::Position m_compactedPosition;
    std::size_t m_bytesSinceCompaction = 0;
    replog::Position m_appliedRecordsPosition; ///< Records position at the last update.
    base::TimePoint m_nextHelloAt;
    bool m_hadLease = false;
    bool m_wasContacted = false; ///< Another host of the group has sent a message.
    std::pair<replog::Term, replog::ReplicaId> m_loggedLeader;
    std::optional<base::TimePoint> m_suspendedUntil; ///< Next attempt to reopen the log.
    std::map<replog::Position, Done> m_pendingCommands;
};

/// State of a command's group as known on this host.
struct GroupState
{
    bool hasReplica = false; ///< This host has a replica of the group.
    bool isLeader = false;
    bool isLeaderKnown = false; ///< Another host leads, was recently active, address known.
    bool isQuorumReachable = true;
    std::size_t replicaHostCount = 0; ///< Known hosts with a replica.
};

/// Decides the next step and the final status of one command. Does no I/O.
///
/// If the command is idempotent in the ledger, it is resent after a lost answer until it is
/// confirmed or its deadline passes. After a lost answer, the final status never claims that
/// nothing was recorded.
class CommandPlan
{
public:
    enum class Step {
        Propose, ///< To the local replica.
        ForwardToLeader,
        ForwardToReplicaHost, ///< To any host with a replica, which may forward it to the leader.
        Wait, ///< Call nextStep() again later.
        End, ///< Finish with status().
    };
    /// Why a step yielded no answer of the ledger.
    enum class Fault {
        Refused, ///< Nothing was recorded.
        NoQuorum, ///< Nothing was recorded, and that host reaches too few voters.
        Lost, ///< The command may be recorded.
    };

    /// \a isForwarded is true if a host of the group forwarded the command; it is then not
    /// forwarded again.
    CommandPlan(bool isForwarded, bool canResend, base::TimePoint deadline);

    /// Decides the next step from the current state of the group.
    Step nextStep(const GroupState &group, base::TimePoint now);
    /// Records a failed step; returns Wait, or End if the command must not be tried again.
    Step onStepFailed(Fault fault, base::TimePoint now);
    /// Ends the command without a further attempt.
    Step stop();
    /// Timeout of a forwarded attempt, bounded so that one hung host does not use up the deadline.
    base::Millis forwardTimeout(base::TimePoint now) const;
    /// Final status; valid after a Step::End.
    peers::ExecuteStatus status() const { return m_status; }

private:
    Step end(peers::ExecuteStatus status);

    bool m_isForwarded;
    bool m_canResend;
    base::TimePoint m_deadline;
    bool m_mayBeRecorded = false;
    std::size_t m_noQuorumReplies = 0; ///< Other hosts that reported NoQuorum.
    peers::ExecuteStatus m_status = peers::ExecuteStatus::Unavailable;
};

/// Groups of this host by name.
using Groups = std::map<std::string, std::unique_ptr<GroupHost>>;

/// Routes each command to the leader of its group, local or remote, and returns the answer.
///
/// Within a time limit, a command waits for a leader and is resent after a lost answer, as decided
/// by CommandPlan. Used only on the control host's loop thread.
class CommandRouter
{
public:
    using Done = peers::Answer<peers::ExecuteReply>;

    /// Default limit. Other hosts try elsewhere after 1.5 s.
    static constexpr base::Millis kPeerTimeLimit{1'200};
    /// For operators, who wait 5 s. Covers an election and the attempts around it.
    static constexpr base::Millis kOperatorTimeLimit{4'500};

    /// \a loop and \a groups must outlive the router.
    CommandRouter(http::Loop *loop, const Groups *groups, std::vector<HostAddress> globalHosts);

    /// Sets the node for forwarding; must be called before the first command.
    void setNode(peers::Node *node) { m_node = node; }
    /// Runs an encoded command. \a done is called once, on the loop thread. No attempt starts later
    /// than \a timeLimit from now.
    void execute(peers::ExecuteRequest request, Done done, base::TimePoint now,
                 base::Millis timeLimit = kPeerTimeLimit);
    /// Retries waiting commands.
    void pump(base::TimePoint now);
    /// Ends all waiting commands; those with a lost answer end as Unknown.
    void stop();

private:
    struct Pending
    {
        std::string group;
        std::string command;
        CommandPlan plan;
        Done done;
    };

    /// Hosts to forward to when this host has no replica of the group.
    const std::vector<HostAddress> &replicaHostsOf(const std::string &group) const;
    GroupState groupState(const std::string &group, base::TimePoint now) const;
    void performStep(CommandPlan::Step step, Pending pending, base::TimePoint now);
    void propose(Pending pending, base::TimePoint now);
    void forward(const base::Endpoint &to, std::string group, Pending pending, base::TimePoint now);
    void onForwardReply(const tl::expected<peers::ExecuteReply, peers::PeerError> &reply,
                        Pending pending);

    http::Loop *m_loop;
    const Groups *m_groups;
    std::vector<HostAddress> m_globalHosts; ///< Used when this host has no replica of "global".
    std::size_t m_nextHostIndex = 0;
    peers::Node *m_node = nullptr;
    std::deque<Pending> m_waiting;
};

} // namespace hyssop::group
