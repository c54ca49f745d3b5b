// Leases and elections after replicas were restarted.

#include "Wire.h"

#include <catch2/catch.hpp>

#include <list>
#include <map>

using namespace hyssop;
using namespace hyssop::replog;
using base::Millis;

namespace {

constexpr Millis kElectionTimeout(600);
/// Interval at which control hosts tick their replicas.
constexpr Millis kTickInterval(20);
constexpr Millis kLatency(2);

/// Storage that outlives the replica.
class MemoryDisk : public Storage
{
public:
    tl::expected<RecoveredState, StorageError> open() override { return recovered; }
    void append(const std::vector<Entry> &entries) override
    {
        recovered.entries.insert(recovered.entries.end(), entries.begin(), entries.end());
    }
    void truncateFrom(Index first) override
    {
        std::erase_if(recovered.entries,
                      [first](const Entry &it) { return it.position.index >= first; });
    }
    void setHardState(const HardState &state) override { recovered.hardState = state; }
    void saveSnapshot(const Snapshot &) override { }
    tl::expected<void, StorageError> sync() override { return {}; }

    RecoveredState recovered;
};

/// Replicas of one group and the messages between them, in virtual time.
class RestartedGroup
{
public:
    RestartedGroup(std::size_t size, std::uint64_t seed)
        : m_disks(size)
        , m_replicas(size)
        , m_seed(seed)
    { }

    void start(std::size_t n)
    {
        ReplicaOptions options;
        options.self = idOf(n);
        for (std::size_t i = 0; i < m_disks.size(); ++i)
            options.voters.push_back(idOf(i));
        options.electionTimeout = kElectionTimeout;
        options.seed = ++m_seed;
        m_replicas[n] = *Replica::open(options, &m_disks[n], m_now);
    }
    void kill(std::size_t n) { m_replicas[n].reset(); }
    std::size_t size() const { return m_disks.size(); }
    std::optional<std::size_t> leader() const
    {
        for (std::size_t n = 0; n < m_replicas.size(); ++n) {
            if (m_replicas[n] && m_replicas[n]->hasLease(m_now))
                return n;
        }
        return std::nullopt;
    }
    void run(Millis duration)
    {
        for (const base::TimePoint end = m_now + duration; m_now < end; m_now += Millis(1))
            step();
    }
    /// Time until a leader has its lease.
    Millis timeToLease()
    {
        const base::TimePoint start = m_now;
        while (!leader() && m_now < start + Millis(10'000))
            run(Millis(1));
        return std::chrono::floor<Millis>(m_now - start);
    }
    std::vector<MemoryDisk> &disks() { return m_disks; }

private:
    static ReplicaId idOf(std::size_t n) { return ReplicaId("h" + std::to_string(n) + ".1"); }
    void step()
    {
        while (!m_messages.empty() && m_messages.front().first <= m_now) {
            const Message message = std::move(m_messages.front().second);
            m_messages.pop_front();
            for (std::size_t n = 0; n < size(); ++n) {
                if (m_replicas[n] && message.to == idOf(n)) {
                    m_replicas[n]->receive(message, m_now);
                    flush(n);
                }
            }
        }
        if (m_now.time_since_epoch() % kTickInterval != base::TimePoint::duration(0))
            return;
        for (std::size_t n = 0; n < size(); ++n) {
            if (!m_replicas[n])
                continue;
            m_replicas[n]->tick(m_now);
            flush(n);
        }
    }
    void flush(std::size_t n)
    {
        auto output = m_replicas[n]->flush(m_now);
        for (Message &it : output->messages)
            m_messages.emplace_back(m_now + kLatency, std::move(it));
    }

    std::vector<MemoryDisk> m_disks;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::list<std::pair<base::TimePoint, Message>> m_messages;
    std::uint64_t m_seed;
    base::TimePoint m_now{Millis(1'000)};
};

/// Replica "a" of three that was restarted with a given state on its disk. The test sends the
/// messages of the other two.
struct RestartedReplica
{
    explicit RestartedReplica(HardState state)
    {
        disk.recovered.hardState = std::move(state);
        ReplicaOptions options;
        options.self = ReplicaId("a");
        options.electionTimeout = kElectionTimeout;
        disk.recovered.entries = {
                {{Term(1), Index(1)},
                 EntryKind::Voters,
                 encode(Configuration{{ReplicaId("a"), ReplicaId("b"), ReplicaId("c")}, {}})}};
        replica = *Replica::open(options, &disk, now);
    }
    bool grants(const std::string &from, MessageKind kind, Term term)
    {
        ProtocolMessage wire;
        wire.kind = kind;
        wire.term = term;
        wire.position = {Term(100), Index(100)};
        replica->receive({ReplicaId(from), ReplicaId("a"), encode(wire)}, now);
        const auto output = replica->flush(now);
        for (const Message &it : output->messages) {
            const auto reply = decodeProtocolMessage(it.body);
            const bool isReply = reply->kind == MessageKind::VoteReply
                                 || reply->kind == MessageKind::PreVoteReply;
            if (isReply && reply->isOk)
                return true;
        }
        return false;
    }
    void heartbeat(const std::string &from, Term term)
    {
        ProtocolMessage wire;
        wire.term = term;
        replica->receive({ReplicaId(from), ReplicaId("a"), encode(wire)}, now);
        REQUIRE(replica->flush(now));
    }

    MemoryDisk disk;
    base::TimePoint now{Millis(10'000)};
    std::unique_ptr<Replica> replica;
};

HardState followed(const std::string &leader)
{
    return {Term(5), ReplicaId("c"), ReplicaId(leader)};
}

} // namespace

// b may still lead with a lease that rests on what this replica answered before its restart.
TEST_CASE("a restarted replica votes for no other within an election timeout of its start")
{
    RestartedReplica it(followed("b"));
    CHECK_FALSE(it.grants("c", MessageKind::PreVote, Term(6)));
    CHECK_FALSE(it.grants("c", MessageKind::Vote, Term(6)));
    it.now += kElectionTimeout - Millis(1);
    CHECK_FALSE(it.grants("c", MessageKind::Vote, Term(6)));
    it.now += Millis(1);
    CHECK(it.grants("c", MessageKind::Vote, Term(6)));
}

TEST_CASE("a restarted replica votes at once for its last leader, which has shown that it leads no "
          "more")
{
    RestartedReplica it(followed("b"));
    CHECK(it.grants("b", MessageKind::PreVote, Term(6)));
    CHECK(it.grants("b", MessageKind::Vote, Term(6)));
}

TEST_CASE("once its last leader leads no more, a replica may vote for any other")
{
    RestartedReplica it(followed("b"));
    REQUIRE(it.grants("b", MessageKind::PreVote, Term(6)));
    CHECK(it.grants("c", MessageKind::Vote, Term(6)));
}

// A copy of the request by which b was elected, or of one before, shows nothing about its lease.
TEST_CASE("a late vote request of the term that a leader led does not end its lease")
{
    RestartedReplica it(followed("b"));
    CHECK_FALSE(it.grants("b", MessageKind::PreVote, Term(5)));
    CHECK_FALSE(it.grants("b", MessageKind::Vote, Term(5)));
    CHECK_FALSE(it.grants("c", MessageKind::Vote, Term(6)));
}

// Without the leader's name any replica could be the one whose lease it answered.
TEST_CASE("a restarted replica that knows no leader of its term waits for an election timeout")
{
    RestartedReplica it(followed(""));
    CHECK_FALSE(it.grants("b", MessageKind::Vote, Term(6)));
    CHECK_FALSE(it.grants("c", MessageKind::Vote, Term(6)));
    it.now += kElectionTimeout;
    CHECK(it.grants("b", MessageKind::Vote, Term(6)));
}

// The term may rise without an election. The leader of the earlier term then keeps its lease.
TEST_CASE("a replica forgets the leader of an earlier term")
{
    RestartedReplica it(followed("b"));
    ProtocolMessage higher;
    higher.kind = MessageKind::AppendReply;
    higher.term = Term(7);
    it.replica->receive({ReplicaId("c"), ReplicaId("a"), encode(higher)}, it.now);
    REQUIRE(it.replica->flush(it.now));
    CHECK(it.disk.recovered.hardState.term == Term(7));
    CHECK(it.disk.recovered.hardState.leader.isEmpty());
    CHECK_FALSE(it.grants("b", MessageKind::Vote, Term(8)));
}

// An answer that leaves before the name is durable would let a restart break the lease.
TEST_CASE("a replica stores its leader with the first answer to it, and once for each term")
{
    RestartedReplica it(followed(""));
    it.heartbeat("b", Term(5));
    CHECK(it.disk.recovered.hardState.leader == ReplicaId("b"));
    CHECK(it.disk.recovered.hardState.vote == ReplicaId("c"));
    it.heartbeat("c", Term(6));
    CHECK(it.disk.recovered.hardState.term == Term(6));
    CHECK(it.disk.recovered.hardState.leader == ReplicaId("c"));
}

TEST_CASE("after a restart of all replicas the last leader leads again without an election timeout")
{
    for (const std::size_t size : {3, 5}) {
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            RestartedGroup group(size, seed * 1'000);
            for (std::size_t n = 0; n < size; ++n)
                group.start(n);
            REQUIRE(group.timeToLease() < Millis(2'000));
            group.run(Millis(500));
            const auto lastLeader = group.leader();
            REQUIRE(lastLeader);
            for (std::size_t n = 0; n < size; ++n)
                group.kill(n);
            group.run(Millis(1'000));
            // The first requests of a host find the others not yet started.
            for (std::size_t n = 0; n < size; ++n) {
                group.start((n + seed) % size);
                group.run(Millis(15));
            }
            INFO("size " << size << " seed " << seed);
            CHECK(group.timeToLease() <= Millis(150));
            CHECK(group.leader() == lastLeader);
        }
    }
}

TEST_CASE("after a restart of all replicas but the last leader another one is elected")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RestartedGroup group(3, seed * 1'000);
        for (std::size_t n = 0; n < 3; ++n)
            group.start(n);
        REQUIRE(group.timeToLease() < Millis(2'000));
        group.run(Millis(500));
        const std::size_t lastLeader = group.leader().value();
        for (std::size_t n = 0; n < 3; ++n)
            group.kill(n);
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != lastLeader)
                group.start(n);
        }
        const Millis time = group.timeToLease();
        CHECK(time >= kElectionTimeout);
        CHECK(time < Millis(5'000));
    }
}

// Two followers are restarted at once under a leader that keeps running: its lease rests on them.
TEST_CASE("restarts of followers end no lease of a running leader")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        RestartedGroup group(3, seed * 1'000);
        for (std::size_t n = 0; n < 3; ++n)
            group.start(n);
        REQUIRE(group.timeToLease() < Millis(2'000));
        group.run(Millis(500));
        const auto leader = group.leader();
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != leader) {
                group.kill(n);
                group.start(n);
            }
        }
        group.run(Millis(1'000));
        CHECK(group.leader() == leader);
    }
}
