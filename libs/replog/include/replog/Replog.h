/// Replicated log (Raft). A Replica is one voter or learner of one group. It contains the protocol
/// logic and does no I/O except through its Storage.
///
/// A Replica is not thread-safe. The caller passes in proposals, messages and ticks, then calls
/// flush() once per batch. flush() syncs the storage once, after which messages may be sent and
/// committed entries applied. The outcome depends only on these calls, their times and the seed.
///
/// Elections use a pre-vote, so a replica that rejoins after a partition does not disrupt its
/// group. A leader without contact to a majority for an election timeout steps down. Its lease
/// lasts three quarters of that timeout, counted from the sending of heartbeats that a majority
/// answered, and a replica votes for no other within a whole timeout of contact with the leader.
/// The lease is therefore safe while the rates of two monotonic clocks differ by less than a
/// quarter.
///
/// A replica that restarts may have answered a leader that still relies on its lease, so it votes
/// for none within an election timeout. Each replica stores the leader of its term before it
/// answers it. A vote request of that leader for a later term shows that it leads no more, which
/// ends the wait, and a leader that restarts stands for election at once. After a restart of all
/// replicas there is thus a leader as soon as the last one can reach a majority.
#pragma once

#include "base/Base.h"

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssop::replog {

using Term = base::Quantity<struct TermTag>;
using Index = base::Quantity<struct IndexTag>;
/// Identifies a voter or learner. A host that lost its disk rejoins under a new id.
using ReplicaId = base::Id<struct ReplicaTag>;
using GroupId = base::Id<struct GroupTag>;

/// Position of an entry in the log, ordered by term and then index.
struct Position
{
    Term term;
    Index index;

    auto operator<=>(const Position &other) const = default;
};

/// Commands are opaque, Noop starts a leader's term, Voters holds an encoded Configuration.
enum class EntryKind { Command, Noop, Voters };

/// One entry of the log.
struct Entry
{
    Position position;
    EntryKind kind = EntryKind::Command;
    std::string payload;

    bool operator==(const Entry &other) const = default;
};

/// Durable state of a replica besides its entries.
struct HardState
{
    Term term;
    ReplicaId vote; ///< Granted in this term; empty when none was.
    /// Whom this replica has followed in this term, or itself when it led; empty when none is
    /// known. Earlier builds do not store it.
    ReplicaId leader = {};
};

/// Members of a group. Learners receive the log but do not vote.
struct Configuration
{
    std::vector<ReplicaId> voters;
    std::vector<ReplicaId> learners;

    bool operator==(const Configuration &other) const = default;
    bool isVoter(const ReplicaId &id) const;
    bool isLearner(const ReplicaId &id) const;
};

/// Encodes and decodes the payload of an entry of kind Voters.
std::string encode(const Configuration &configuration);
std::optional<Configuration> decodeConfiguration(std::string_view bytes);

/// Applied state that replaces the entries up to a position.
struct Snapshot
{
    Position position; ///< Of the last entry covered.
    Configuration configuration; ///< As of the position.
    std::string data;
};

/// Content of a Storage when it was opened.
struct RecoveredState
{
    HardState hardState;
    Snapshot snapshot;
    std::vector<Entry> entries; ///< After the snapshot, in order.
};

/// Damaged means that the files are corrupt; Failed is any other I/O error.
enum class StorageFault { Damaged, NoSpace, Failed };

struct StorageError
{
    StorageFault fault = StorageFault::Failed;
    std::string message;
};

/// Durable storage of one replica. Writes may be buffered until sync(), which makes them durable.
class Storage
{
public:
    virtual ~Storage() = default;
    /// Reads the stored state. Called once, before any other function.
    virtual tl::expected<RecoveredState, StorageError> open() = 0;
    virtual void append(const std::vector<Entry> &entries) = 0;
    /// Removes the entry at \a first and all later ones.
    virtual void truncateFrom(Index first) = 0;
    virtual void setHardState(const HardState &state) = 0;
    /// Replaces the entries up to the position of \a snapshot.
    virtual void saveSnapshot(const Snapshot &snapshot) = 0;
    /// Makes all earlier writes durable.
    virtual tl::expected<void, StorageError> sync() = 0;
};

/// Storage in files below \a folder, which is created if missing.
///
/// The log is a sequence of segment files made of checksummed frames. A segment that reaches
/// \a segmentSize is followed by a new one. An incomplete frame at the end of the last segment is
/// truncated on open; any other damage is an error. The snapshot is a separate file, and segments
/// that it covers are removed. After a failed write, every later sync() fails.
std::unique_ptr<Storage> makeFileStorage(std::filesystem::path folder,
                                         base::Bytes segmentSize = base::Bytes(4 << 20));

struct ReplicaOptions
{
    GroupId group;
    ReplicaId self;
    /// Initial voters of a new group, the same at each of them. Ignored when a log is stored. A
    /// replica with neither waits for bootstrap() or for messages of a leader.
    std::vector<ReplicaId> voters;
    base::Millis heartbeatInterval{100};
    base::Millis electionTimeout{
            1'000}; ///< Minimum; each timeout is random between one and two times it.
    std::uint64_t seed = 1; ///< Of the random election timeouts.
    /// Entries kept in memory behind a snapshot for replicas that lag slightly.
    std::int64_t trailingEntries = 2'000;
    /// Limit on the total payload size of these entries.
    base::Bytes trailingBytes{std::int64_t(1) << 20};
};

/// Encoded message between replicas of one group.
struct Message
{
    ReplicaId from;
    ReplicaId to;
    std::string body;
};

/// Effects of a batch, to be carried out now that the batch is durable.
struct FlushResult
{
    std::vector<Message> messages;
    std::vector<Entry> committed; ///< Newly committed entries, in order, each returned once.
    std::optional<Snapshot>
            restoredSnapshot; ///< Replaces the applied state; \c committed follows it.
};

/// Why a proposal was not accepted.
enum class ProposeFault {
    NotLeader,
    Stopping, ///< prepareStop() was called.
    Busy, ///< Another membership change or a leadership transfer is in progress.
    NotCaughtUp, ///< The learner lags too far behind to be promoted.
    InvalidChange, ///< The change is invalid, such as removing the leader.
};

struct ProposeError
{
    ProposeFault fault = ProposeFault::NotLeader;
    ReplicaId leader; ///< Empty when unknown.
};

enum class MembershipChangeKind { AddLearner, Promote, Remove };

/// Name of \a kind as logged.
std::string_view membershipChangeKindName(MembershipChangeKind kind);

/// One change of the voters or learners of a group.
struct MembershipChange
{
    MembershipChangeKind kind = MembershipChangeKind::AddLearner;
    ReplicaId id;
};

class Replica;

/// Target members of a group.
struct DesiredReplicas
{
    std::vector<ReplicaId> voters;
    std::vector<ReplicaId> learners; ///< Not to be promoted.
};

/// Next membership change towards \a desired; empty when none is possible now.
///
/// An id has the form "<host>.<incarnation>". The new incarnation of a host replaces the old one
/// once it has caught up, so the group tolerates a second loss right after the repair.
std::optional<MembershipChange> nextMembershipChange(const Replica &leader,
                                                     const DesiredReplicas &desired,
                                                     base::TimePoint now);

/// Loads the id of a host's replica from \a folder. Without a log there, the replica has lost its
/// votes, so a new id with \a random as incarnation is created and stored. A log in which a segment
/// is missing between two others counts as lost: it is first moved, with its id, to a folder below
/// \a folder. Fails with StorageFault::Damaged when the log belongs to another host.
tl::expected<ReplicaId, StorageError> loadReplicaId(const std::filesystem::path &folder,
                                                    const base::HostId &host, std::uint64_t random);

/// Whether loadReplicaId() has ever set aside an incomplete log of \a folder. The replica then
/// belonged to a group, even if its present log is empty.
bool hasSetAsideLog(const std::filesystem::path &folder);

/// Host part of an id.
base::HostId hostOf(const ReplicaId &id);

/// Protocol state of one replica.
class Replica
{
public:
    /// Opens \a storage, which must outlive the replica.
    static tl::expected<std::unique_ptr<Replica>, StorageError> open(ReplicaOptions options,
                                                                     Storage *storage,
                                                                     base::TimePoint now);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    /// Starts a new group with \a voters. Asserts that the log is empty. The caller must ensure
    /// that no replica bootstraps the group with a different list.
    void bootstrap(const std::vector<ReplicaId> &voters, base::TimePoint now);
    /// Appends a command as leader. The returned position may still be lost until committed.
    tl::expected<Position, ProposeError> propose(std::string payload, base::TimePoint now);
    /// Proposes a membership change. Only one may be in progress; a new voter joins as a learner
    /// and is promoted once it has caught up.
    tl::expected<Position, ProposeError> changeMembership(const MembershipChange &change,
                                                          base::TimePoint now);
    /// Starts a leadership transfer to the most up-to-date voter; does nothing if none has caught
    /// up.
    void transferLeadership(base::TimePoint now);
    /// Rejects proposals, stops campaigning and transfers leadership.
    void prepareStop(base::TimePoint now);
    /// Gives up leadership and messages that have not been sent, after its storage has failed. The
    /// object then only answers questions about its state.
    void resign(base::TimePoint now);
    /// Handles a message of another replica; ignores malformed ones.
    void receive(const Message &message, base::TimePoint now);
    /// Checks the election and leadership timeouts.
    void tick(base::TimePoint now);
    /// Syncs the writes of the batch and returns its effects.
    tl::expected<FlushResult, StorageError> flush(base::TimePoint now);
    /// Replaces the log up to \a position, which must be applied, by a snapshot of the caller's
    /// \a state.
    void compact(Position position, std::string state);

    bool isLeader() const;
    /// Whether this replica leads and no other can have been elected meanwhile.
    bool hasLease(base::TimePoint now) const;
    /// Whether a leader was active within an election timeout; for a leader, whether it has its
    /// lease.
    bool hasRecentLeader(base::TimePoint now) const;
    /// Leader of the current term; empty when unknown.
    ReplicaId leader() const;
    Term term() const;
    Position committedPosition() const;
    Position lastPosition() const;
    /// Whether the log has never held an entry, as on a new disk.
    bool isEmpty() const;
    /// Latest configuration in the log, committed or not.
    const Configuration &configuration() const;
    /// Whether the latest configuration is committed.
    bool isConfigurationCommitted() const;
    /// Whether \a id holds nearly all entries and answered within an election timeout. False unless
    /// this replica is the leader.
    bool isCaughtUp(const ReplicaId &id, base::TimePoint now) const;
    /// Time of the next required tick().
    base::TimePoint nextTick() const;

private:
    class Impl;
    explicit Replica(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace hyssop::replog
