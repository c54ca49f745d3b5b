/// Replicated groups: a replica of the log, the ledger it drives, the hosts that carry it, and the
/// way of a command to its leader.
///
/// Everything here belongs to one thread, the one that runs the http::Loop.
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

/// What hosts of one group tell each other besides the log, so that they learn each other's ids.
struct Hello
{
    replog::ReplicaId id;
    bool isEmpty = false; ///< It holds no entry of the group yet.
    replog::ReplicaId echoedId; ///< Id last heard from the receiver's host; empty at first.
    base::DataCentreId dataCentre = {}; ///< Of the sender; empty where it does not matter.
};

/// A message between hosts of one group.
using Envelope = std::variant<Hello, replog::Message>;

std::string encode(const Envelope &envelope);
std::optional<Envelope> decodeEnvelope(std::string_view bytes);

/// Time of a group's log, in milliseconds, as a leader stamps it on commands.
///
/// It goes on from the last applied stamp by the monotonic clock, so that it never falls and never
/// leaps when leadership moves between hosts whose wall clocks differ; a lease granted by one
/// leader ends no earlier under the next. It stands still while the whole group is down.
class LogClock
{
public:
    /// Notes that an entry stamped \a logTimeMs was applied; \a wallMs starts an empty log.
    void onApplied(std::int64_t logTimeMs, base::TimePoint now)
    {
        if (logTimeMs <= m_baseMs)
            return;
        m_baseMs = logTimeMs;
        m_baseAt = now;
    }
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

/// A host of a group and where its process listens for peers.
struct HostAddress
{
    base::HostId host;
    base::Endpoint address;

    bool operator==(const HostAddress &other) const = default;
};

/// Hosts that shall carry a group, and which replica each of them has now. No I/O.
class GroupMembers
{
public:
    GroupMembers(base::HostId self, std::vector<HostAddress> hosts, base::TimePoint now);
    virtual ~GroupMembers() = default;

    /// Replaces the hosts that shall carry the group; those before stay reachable.
    void setHosts(std::vector<HostAddress> hosts);
    const std::vector<HostAddress> &hosts() const { return m_hosts; }
    /// Whether this host shall carry the group.
    virtual bool isMember() const;
    virtual std::optional<base::Endpoint> addressOf(const base::HostId &host) const;

    /// The greeting to send to \a host.
    virtual Hello helloTo(const base::HostId &host, const replog::ReplicaId &self,
                          bool isEmpty) const;
    virtual void onHello(const Hello &hello);

    /// Notes that a replica was heard, by a greeting or by a message of the log.
    void onContact(const replog::ReplicaId &id, base::TimePoint now);
    /// Whether a majority of the voters, \a self among them, was heard lately. True within the
    /// first moments too, when nobody can have been heard yet.
    bool isQuorumReachable(const replog::ReplicaId &self,
                           const replog::Configuration &configuration, base::TimePoint now) const;

    /// Voters of a new group, once every host has said to this very replica that it is blank. Only
    /// the first host founds.
    virtual std::optional<std::vector<replog::ReplicaId>> bootstrapVoters(
            const replog::ReplicaId &self) const;

    /// Ids that shall vote; a host that was not heard of keeps the id that votes for it now.
    std::vector<replog::ReplicaId> desiredVoters(const replog::ReplicaId &self,
                                                 const replog::Configuration &configuration) const;
    /// Replicas that the group shall consist of, as the leader \a self sees it.
    virtual replog::DesiredReplicas desiredReplicas(const replog::ReplicaId &self,
                                                    const replog::Configuration &configuration,
                                                    base::TimePoint now) const;
    /// Forgets hosts that do not matter any more.
    virtual void tick(base::TimePoint) { }

protected:
    bool isReachable(const replog::ReplicaId &id, base::TimePoint now) const;
    const base::HostId &self() const { return m_self; }
    const std::map<base::HostId, Hello> &hellos() const { return m_hellos; }
    void removeHost(const base::HostId &host);

private:
    base::HostId m_self;
    std::vector<HostAddress> m_hosts;
    std::map<base::HostId, base::Endpoint> m_addresses; ///< Of every host ever named.
    std::map<base::HostId, Hello> m_hellos;
    base::TimePoint m_createdAt;
    std::map<replog::ReplicaId, base::TimePoint> m_lastContactAt;
};

struct DynamicMembersOptions
{
    base::HostId self; ///< The address where this host's peers reach it, as text.
    base::DataCentreId dataCentre;
    std::vector<base::Endpoint> seeds; ///< Greeted first; others are learned from greetings.
    bool canBootstrap = false; ///< The seeds found the group; only on the system's first start.
    std::size_t voterCount = 3; ///< Wanted number; fewer hosts than that all vote.
};

/// Members of a group that any control host may join: a host is named by its peers' address.
///
/// As many hosts vote as are wanted, spread over data centres; the others follow as learners. A
/// voter that cannot be reached is replaced as soon as another host is there.
class DynamicMembers final : public GroupMembers
{
public:
    DynamicMembers(DynamicMembersOptions options, base::TimePoint now);

    bool isMember() const override { return true; }
    std::optional<base::Endpoint> addressOf(const base::HostId &host) const override;
    Hello helloTo(const base::HostId &host, const replog::ReplicaId &self,
                  bool isEmpty) const override;
    void onHello(const Hello &hello) override;
    std::optional<std::vector<replog::ReplicaId>> bootstrapVoters(
            const replog::ReplicaId &self) const override;
    replog::DesiredReplicas desiredReplicas(const replog::ReplicaId &self,
                                            const replog::Configuration &configuration,
                                            base::TimePoint now) const override;
    void tick(base::TimePoint now) override;
    /// Greets other seeds from now on, besides the hosts known.
    void setSeeds(const std::vector<base::Endpoint> &seeds);

private:
    void addHost(const base::HostId &host);

    DynamicMembersOptions m_options;
    std::map<base::HostId, base::TimePoint> m_lastHelloAt;
    base::TimePoint m_lastTickAt; ///< Of the last tick.
};

struct GroupOptions
{
    replog::GroupId group;
    base::HostId host;
    std::filesystem::path folder;
    std::vector<HostAddress> firstHosts; ///< That found the group, the same at each of them.
    std::unique_ptr<GroupMembers> members = {}; ///< Used in place of firstHosts when set.
    base::Millis heartbeatInterval{100};
    base::Millis electionTimeout{1'000};
    std::uint64_t seed = 1;
};

/// One replica of one group with the ledger that its log drives, and the commands that wait for it.
///
/// Belongs to the control task. Commands are answered once they are committed and applied.
class GroupHost
{
public:
    enum class ExecuteFault {
        NotLeader, ///< Nothing was recorded.
        Lost, ///< Leadership ended before it was committed; it may yet be.
    };
    using Done = std::function<void(tl::expected<ledger::Reply, ExecuteFault>)>;
    /// Sends bytes to the same group at another host.
    using Send = std::function<void(const base::Endpoint &, std::string)>;

    static tl::expected<std::unique_ptr<GroupHost>, replog::StorageError> open(GroupOptions options,
                                                                               Send send,
                                                                               base::TimePoint now);

    /// Proposes a command; \a done is called later, or at once when this host does not lead.
    void execute(const ledger::Command &command, Done done, base::TimePoint now);
    void receive(std::string_view body, base::TimePoint now);
    /// Ticks, syncs the batch and applies what it committed.
    tl::expected<void, replog::StorageError> pump(base::TimePoint now);
    void prepareStop(base::TimePoint now) { m_replica->prepareStop(now); }

    const ledger::Ledger &ledger() const { return m_ledger; }
    const replog::Replica &replica() const { return *m_replica; }
    /// Hosts that shall carry the group, as far as this one knows.
    const std::vector<HostAddress> &hosts() const { return m_members->hosts(); }
    GroupMembers &members() { return *m_members; }
    /// Whether this host is one of them; one that was taken out hears nothing of the group.
    bool isMember() const { return m_members->isMember(); }
    bool hasWaiting() const { return !m_pendingCommands.empty(); }
    /// Whether this host hears enough voters for the group to have a leader that takes commands.
    bool isQuorumReachable(base::TimePoint now) const;
    /// Address of the leader, when it is another host and known.
    std::optional<base::Endpoint> leaderAddress() const;

private:
    GroupHost(GroupOptions options, replog::ReplicaId self, Send send, base::TimePoint now);
    void apply(const replog::Entry &entry, base::TimePoint now);
    void failPendingCommands();
    void sendHellos(base::TimePoint now);
    void bootstrapWhenReady(base::TimePoint now);
    void performLeaderTasks(base::TimePoint now);
    void updateHostsFromRecord();
    void compactIfNeeded();

    GroupOptions m_options;
    replog::ReplicaId m_self;
    std::unique_ptr<GroupMembers> m_members;
    std::unique_ptr<replog::Storage> m_storage;
    std::unique_ptr<replog::Replica> m_replica;
    Send m_send;
    base::Rng m_rng;
    ledger::Ledger m_ledger;
    LogClock m_clock;
    replog::Position m_compactedPosition;
    std::size_t m_bytesSinceCompaction = 0;
    replog::Position m_appliedRecordsPosition; ///< Position of the records when the group's own was
                                               ///< last read.
    base::TimePoint m_nextHelloAt;
    bool m_hadLease = false;
    std::map<replog::Position, Done> m_pendingCommands;
};

/// What a host knows of the group that a command is for.
struct GroupState
{
    bool hasReplica = false; ///< This host has a replica of it.
    bool isLeader = false;
    bool isLeaderKnown = false; ///< Another host leads, was heard lately and can be sent to.
    bool isQuorumReachable = true;
    std::size_t replicaHostCount = 0; ///< Hosts that are known to have a replica.
};

/// Decides where one command goes next, and what its sender is told in the end. No I/O.
///
/// A command whose answer was lost is sent again until it is confirmed or its time ends, if the
/// ledger answers a repetition as it did the first time. From the first lost answer on, no refusal
/// says that nothing was recorded.
class CommandPlan
{
public:
    enum class Step {
        Propose, ///< To the replica of this host.
        ForwardToLeader,
        ForwardToReplicaHost, ///< To any host that has a replica; it may forward the command
                              ///< itself.
        Wait, ///< Asks next() again a little later.
        End, ///< Answer with status().
    };
    /// How a step ended without an answer of the ledger.
    enum class Fault {
        Refused, ///< Nothing was recorded.
        NoQuorum, ///< Nothing was recorded, and that host hears too few voters.
        Lost, ///< It may be recorded.
    };

    /// \a isForwarded by another host of the group, so not forwarded once more.
    CommandPlan(bool isForwarded, bool canResend, base::TimePoint deadline);

    Step nextStep(const GroupState &group, base::TimePoint now);
    Step onStepFailed(Fault fault, base::TimePoint now);
    /// No try is made any more.
    Step stop();
    /// Bound on a forwarded try; a host that hangs must not use up the whole time.
    base::Millis forwardTimeout(base::TimePoint now) const;
    peers::ExecuteStatus status() const { return m_status; }

private:
    Step end(peers::ExecuteStatus status);

    bool m_isForwarded;
    bool m_canResend;
    base::TimePoint m_deadline;
    bool m_mayBeRecorded = false;
    std::size_t m_noQuorumReplies = 0; ///< Hosts elsewhere that hear too few voters.
    peers::ExecuteStatus m_status = peers::ExecuteStatus::Unavailable;
};

using Groups = std::map<std::string, std::unique_ptr<GroupHost>>;

/// Brings each command to the leader of its group, here or at another host, and its answer back.
///
/// A command that finds no leader waits for one for a bounded time, and one whose answer was lost
/// is sent again within it, as CommandPlan decides. Belongs to the control task.
class CommandRouter
{
public:
    using Done = peers::Answer<peers::ExecuteReply>;

    /// For other hosts, which try elsewhere 1.5 s after they asked.
    static constexpr base::Millis kPeerTimeLimit{1'200};
    /// For operators, who wait 5 s: time for an election and the tries around it.
    static constexpr base::Millis kOperatorLimit{4'500};

    CommandRouter(http::Loop *loop, const Groups *groups, std::vector<HostAddress> globalHosts);

    void start(peers::Node *node) { m_node = node; }
    /// Runs an encoded command; \a done is called once, on the loop's thread. \a limit bounds the
    /// time until no further try is made.
    void execute(peers::ExecuteRequest request, Done done, base::TimePoint now,
                 base::Millis timeLimit = kPeerTimeLimit);
    /// Tries commands that wait for a leader once more.
    void pump(base::TimePoint now);
    /// Answers all that wait: nothing of theirs was recorded.
    void stop();

private:
    struct Pending
    {
        std::string group;
        std::string command;
        CommandPlan plan;
        Done done;
    };

    /// Hosts to ask where this host does not carry the group.
    const std::vector<HostAddress> &replicaHostsOf(const std::string &group) const;
    GroupState groupState(const std::string &group, base::TimePoint now) const;
    void performStep(CommandPlan::Step step, Pending pending, base::TimePoint now);
    void propose(Pending pending, base::TimePoint now);
    void forward(const base::Endpoint &to, std::string group, Pending pending, base::TimePoint now);
    void onForwardReply(const tl::expected<peers::ExecuteReply, peers::PeerError> &reply,
                        Pending pending);

    http::Loop *m_loop;
    const Groups *m_groups;
    std::vector<HostAddress> m_globalHosts; ///< Asked where this host never had a replica.
    std::size_t m_nextHostIndex = 0;
    peers::Node *m_node = nullptr;
    std::deque<Pending> m_waiting;
};

} // namespace hyssop::group
