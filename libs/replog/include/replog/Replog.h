/// Replicated log: one Replica is one voter of one group. It decides; its Storage touches the disk.
///
/// A Replica belongs to one thread. The caller feeds it proposals, messages and ticks, then calls
/// flush() once for a whole batch: one sync, after which messages may leave and entries are
/// applied. It is deterministic in these calls, their times and the seed.
///
/// Elections use a pre-vote, so a replica that was cut off does not disturb its group on return. A
/// leader that has not heard a majority within an election timeout steps down. Its lease lasts
/// three quarters of that timeout from the sending of heartbeats that a majority answered, and
/// replicas vote for no other within a whole timeout of hearing it; so the lease holds as long as
/// the rates of two monotonic clocks differ by less than a quarter.
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
/// One voter or learner; a host whose disk was lost comes back under a new id.
using ReplicaId = base::Id<struct ReplicaTag>;
using GroupId = base::Id<struct GroupTag>;

/// Place of an entry in the log; a later one is greater.
struct Position
{
    Term term;
    Index index;

    auto operator<=>(const Position &other) const = default;
};

enum class EntryKind { Command, Noop, Voters };

struct Entry
{
    Position position;
    EntryKind kind = EntryKind::Command;
    std::string payload;

    bool operator==(const Entry &other) const = default;
};

/// What must survive besides the entries.
struct HardState
{
    Term term;
    ReplicaId vote;
};

/// Who votes, and who only receives the log until it has caught up.
struct Configuration
{
    std::vector<ReplicaId> voters;
    std::vector<ReplicaId> learners;

    bool operator==(const Configuration &other) const = default;
    bool isVoter(const ReplicaId &id) const;
    bool isLearner(const ReplicaId &id) const;
};

/// Payload of an entry of kind Voters, and back.
std::string encode(const Configuration &configuration);
std::optional<Configuration> decodeConfiguration(std::string_view bytes);

struct Snapshot
{
    Position position;
    Configuration configuration; ///< As of the position.
    std::string data;
};

/// What a Storage held when it was opened.
struct Recovered
{
    HardState hardState;
    Snapshot snapshot;
    std::vector<Entry> entries; ///< After the snapshot, in order.
};

enum class StorageFault { Damaged, NoSpace, Failed };

struct StorageError
{
    StorageFault fault = StorageFault::Failed;
    std::string message;
};

/// Disk of one replica. Writes may be buffered until sync(), which makes all of them durable.
class Storage
{
public:
    virtual ~Storage() = default;
    virtual tl::expected<Recovered, StorageError> open() = 0;
    virtual void append(const std::vector<Entry> &entries) = 0;
    /// Drops the entry at \a first and all that follow it.
    virtual void truncateFrom(Index first) = 0;
    virtual void setHardState(const HardState &state) = 0;
    /// Replaces the entries up to the snapshot's position.
    virtual void saveSnapshot(const Snapshot &snapshot) = 0;
    virtual tl::expected<void, StorageError> sync() = 0;
};

/// Files below \a folder, which is made when it is not there.
///
/// The log is a row of segments of bounded size, made of checksummed frames. An incomplete last
/// frame of the last segment is cut off when opened; any other damage is an error. A snapshot
/// is a file of its own, and segments that it covers are removed.
std::unique_ptr<Storage> makeFileStorage(std::filesystem::path folder,
                                         base::Bytes segmentSize = base::Bytes(4 << 20));

struct ReplicaOptions
{
    GroupId group;
    ReplicaId self;
    /// Of a new group, the same for each of them; a stored list goes before it. A replica that
    /// has neither waits for found() or for a leader's messages.
    std::vector<ReplicaId> voters;
    base::Millis heartbeatInterval{100};
    base::Millis electionTimeout{1'000}; ///< Shortest; each wait is drawn from one to two of it.
    std::uint64_t seed = 1;
    /// Entries kept in memory behind a snapshot, for replicas that are a little behind.
    std::int64_t trailingEntries = 2'000;
    /// Bound on the payloads of these entries.
    base::Bytes trailingBytes{std::int64_t(1) << 20};
};

/// A message between replicas of one group, encoded.
struct Message
{
    ReplicaId from;
    ReplicaId to;
    std::string body;
};

/// Effects of a batch, safe to carry out since the batch is on disk.
struct FlushResult
{
    std::vector<Message> messages;
    std::vector<Entry> committed; ///< Newly committed, in order, each exactly once.
    std::optional<Snapshot> restored; ///< Replaces the applied state before \c committed.
};

enum class ProposeFault {
    NotLeader,
    Stopping,
    Busy, ///< Another change of voters is under way, or leadership is being handed over.
    NotCaughtUp, ///< The learner is too far behind to vote.
    InvalidChange, ///< The change makes no sense, such as removing the leader.
};

struct ProposeError
{
    ProposeFault fault = ProposeFault::NotLeader;
    ReplicaId leader; ///< Empty when not known.
};

enum class MembershipChangeKind { AddLearner, Promote, Remove };

std::string_view membershipChangeKindName(MembershipChangeKind kind);

/// One change of a group's voters or learners.
struct MembershipChange
{
    MembershipChangeKind kind = MembershipChangeKind::AddLearner;
    ReplicaId id;
};

class Replica;

/// Replicas that a group shall consist of.
struct DesiredReplicas
{
    std::vector<ReplicaId> voters;
    std::vector<ReplicaId> learners; ///< That stay learners.
};

/// Next step that brings a leader's group towards \a desired; empty when there is none now.
///
/// Ids read "<host>.<incarnation>". A host's new incarnation replaces its old one once it has
/// caught up, so that the group stands a second loss right after the repair.
std::optional<MembershipChange> nextChange(const Replica &leader, const DesiredReplicas &desired,
                                           base::TimePoint now);

/// Id of a host's replica in \a folder: the stored one, or a new one made with \a random where the
/// folder holds no log, since an empty disk has forgotten its votes.
tl::expected<ReplicaId, StorageError> loadReplicaId(const std::filesystem::path &folder,
                                                    const base::HostId &host, std::uint64_t random);

/// Host part of an id.
base::HostId hostOf(const ReplicaId &id);

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

    /// Founds the group with \a voters. Asserts that this replica holds nothing yet. The caller
    /// makes sure that no other replica founds the group with another list.
    void bootstrap(const std::vector<ReplicaId> &voters, base::TimePoint now);
    tl::expected<Position, ProposeError> propose(std::string payload, base::TimePoint now);
    /// Changes voters, one at a time; a new one joins as a learner and is promoted once caught up.
    tl::expected<Position, ProposeError> change(const MembershipChange &change,
                                                base::TimePoint now);
    /// Hands leadership over to the voter furthest ahead, if there is one that has caught up.
    void transferLeadership(base::TimePoint now);
    /// Refuses proposals and elections from now on and hands over.
    void prepareStop(base::TimePoint now);
    void receive(const Message &message, base::TimePoint now);
    void tick(base::TimePoint now);
    /// Syncs what the batch wrote and hands out its effects.
    tl::expected<FlushResult, StorageError> flush(base::TimePoint now);
    /// Replaces the log up to \a position by the caller's applied state.
    void compact(Position position, std::string state);

    bool isLeader() const;
    /// Whether this replica leads and no other can have been elected since.
    bool hasLease(base::TimePoint now) const;
    /// Whether a leader, itself included, was heard within an election timeout.
    bool hasHeardLeader(base::TimePoint now) const;
    ReplicaId leader() const;
    Term term() const;
    Position committed() const;
    Position last() const;
    /// Whether it holds no entry at all, as on a new disk.
    bool isEmpty() const;
    /// Latest configuration in the log, committed or not.
    const Configuration &configuration() const;
    /// Whether the latest configuration is committed.
    bool isConfigurationCommitted() const;
    /// Whether \a id has nearly all entries, as its leader sees it.
    bool isCaughtUp(const ReplicaId &id, base::TimePoint now) const;
    /// When tick() is next needed.
    base::TimePoint nextTick() const;

private:
    class Impl;
    explicit Replica(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace hyssop::replog
