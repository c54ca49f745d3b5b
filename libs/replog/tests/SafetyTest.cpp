#include "Wire.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::replog;

namespace {

class MemoryStorage : public Storage
{
public:
    tl::expected<RecoveredState, StorageError> open() override { return {}; }
    void append(const std::vector<Entry> &) override { }
    void truncateFrom(Index) override { }
    void setHardState(const HardState &) override { }
    void saveSnapshot(const Snapshot &) override { }
    tl::expected<void, StorageError> sync() override { return {}; }
};

/// Replica "a" of a group of three. The test sends the messages of the other two.
struct ReplicaFixture
{
    ReplicaFixture()
    {
        ReplicaOptions options;
        options.self = ReplicaId("a");
        options.voters = {ReplicaId("a"), ReplicaId("b"), ReplicaId("c")};
        replica = *Replica::open(options, &storage, now);
    }
    /// Delivers one message and returns the messages sent in response.
    std::vector<ProtocolMessage> receive(const std::string &from, const ProtocolMessage &wire)
    {
        replica->receive({ReplicaId(from), ReplicaId("a"), encode(wire)}, now);
        return flush();
    }
    std::vector<ProtocolMessage> flush()
    {
        std::vector<ProtocolMessage> wires;
        const auto output = replica->flush(now);
        for (const Message &message : output->messages)
            wires.push_back(*decodeProtocolMessage(message.body));
        return wires;
    }
    /// Makes the replica win an election with the vote of b.
    void elect()
    {
        now += base::Millis(2'001);
        replica->tick(now);
        flush();
        ProtocolMessage vote = reply(MessageKind::PreVoteReply, replica->term() + Term(1));
        receive("b", vote);
        vote.kind = MessageKind::VoteReply;
        receive("b", vote);
        REQUIRE(replica->isLeader());
    }
    ProtocolMessage reply(MessageKind kind, Term term) const
    {
        ProtocolMessage wire;
        wire.kind = kind;
        wire.term = term;
        wire.isOk = true;
        wire.sentAtUs = std::chrono::duration_cast<base::Micros>(now.time_since_epoch()).count();
        return wire;
    }
    /// Acknowledges all entries up to \a index as b.
    void acknowledge(Index index)
    {
        ProtocolMessage wire = reply(MessageKind::AppendReply, replica->term());
        wire.matchIndex = index;
        receive("b", wire);
    }

    MemoryStorage storage;
    base::TimePoint now{base::Millis(10'000)};
    std::unique_ptr<Replica> replica;
};

ProtocolMessage request(MessageKind kind, Term term)
{
    ProtocolMessage wire;
    wire.kind = kind;
    wire.term = term;
    wire.position = {Term(100), Index(100)};
    return wire;
}

} // namespace

TEST_CASE("a replica grants no vote within an election timeout of contact with its leader")
{
    ReplicaFixture fixture;
    ProtocolMessage heartbeat;
    heartbeat.term = Term(5);
    fixture.receive("b", heartbeat);
    fixture.now += base::Millis(999);
    CHECK(fixture.receive("c", request(MessageKind::PreVote, Term(6))).empty());
    CHECK(fixture.receive("c", request(MessageKind::Vote, Term(6))).empty());
    CHECK(fixture.replica->term() == Term(5));
    fixture.now += base::Millis(1);
    const auto answers = fixture.receive("c", request(MessageKind::Vote, Term(6)));
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().isOk);
}

TEST_CASE("a replica votes once per term and only for a log at least as up to date as its own")
{
    ReplicaFixture fixture;
    ProtocolMessage shorter = request(MessageKind::Vote, Term(6));
    shorter.position = {};
    CHECK_FALSE(fixture.receive("b", shorter).front().isOk);
    CHECK(fixture.receive("c", request(MessageKind::Vote, Term(6))).front().isOk);
    CHECK_FALSE(fixture.receive("b", request(MessageKind::Vote, Term(6))).front().isOk);
    CHECK(fixture.receive("c", request(MessageKind::Vote, Term(6))).front().isOk);
}

TEST_CASE("entries of an earlier term are not committed by counting replicas")
{
    ReplicaFixture fixture;
    fixture.elect();
    REQUIRE(fixture.replica->propose("x", fixture.now));
    fixture.flush();
    const Index ofFirstTerm = fixture.replica->lastPosition().index;
    ProtocolMessage higher = fixture.reply(MessageKind::AppendReply, Term(9));
    higher.isOk = false;
    fixture.receive("c", higher);
    REQUIRE_FALSE(fixture.replica->isLeader());
    fixture.elect();
    fixture.acknowledge(ofFirstTerm);
    CHECK(fixture.replica->committedPosition().index == Index(0));
    fixture.acknowledge(ofFirstTerm + Index(1));
    CHECK(fixture.replica->committedPosition().index == ofFirstTerm + Index(1));
}

TEST_CASE("the lease ends three quarters of an election timeout after a majority answered")
{
    ReplicaFixture fixture;
    fixture.elect();
    CHECK_FALSE(fixture.replica->hasLease(fixture.now));
    fixture.acknowledge(fixture.replica->lastPosition().index);
    CHECK(fixture.replica->hasLease(fixture.now + base::Millis(749)));
    CHECK_FALSE(fixture.replica->hasLease(fixture.now + base::Millis(750)));
    fixture.now += base::Millis(1'000);
    fixture.replica->tick(fixture.now);
    CHECK_FALSE(fixture.replica->isLeader());
}

TEST_CASE("a leader that transfers leadership has no lease and rejects proposals")
{
    ReplicaFixture fixture;
    fixture.elect();
    fixture.acknowledge(fixture.replica->lastPosition().index);
    REQUIRE(fixture.replica->hasLease(fixture.now));
    fixture.replica->transferLeadership(fixture.now);
    CHECK_FALSE(fixture.replica->hasLease(fixture.now));
    CHECK(fixture.replica->propose("x", fixture.now).error().fault == ProposeFault::Busy);
}

TEST_CASE("membership changes one at a time and a learner is promoted only once caught up")
{
    ReplicaFixture fixture;
    fixture.elect();
    const MembershipChange add{MembershipChangeKind::AddLearner, ReplicaId("d")};
    CHECK(fixture.replica->changeMembership(add, fixture.now).error().fault == ProposeFault::Busy);
    fixture.acknowledge(fixture.replica->lastPosition().index);
    REQUIRE(fixture.replica->changeMembership(add, fixture.now));
    const MembershipChange remove{MembershipChangeKind::Remove, ReplicaId("c")};
    CHECK(fixture.replica->changeMembership(remove, fixture.now).error().fault
          == ProposeFault::Busy);
    fixture.acknowledge(fixture.replica->lastPosition().index);
    const MembershipChange promote{MembershipChangeKind::Promote, ReplicaId("d")};
    CHECK(fixture.replica->changeMembership(promote, fixture.now).error().fault
          == ProposeFault::NotCaughtUp);
    ProtocolMessage caughtUp = fixture.reply(MessageKind::AppendReply, fixture.replica->term());
    caughtUp.matchIndex = fixture.replica->lastPosition().index;
    fixture.receive("d", caughtUp);
    CHECK(fixture.replica->changeMembership(promote, fixture.now));
}
