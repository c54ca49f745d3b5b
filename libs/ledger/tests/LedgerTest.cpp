#include "ledger/Ledger.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::ledger;

namespace {

struct LedgerFixture
{
    Reply run(const Command &command, std::int64_t timeMs = 0)
    {
        ++index;
        replog::Entry entry;
        entry.position = {replog::Term(1), replog::Index(index)};
        entry.payload = encode(command, timeMs);
        return ledger.apply(entry);
    }
    Ledger ledger;
    std::int64_t index = 0;
};

records::Record teamRecord(std::int64_t version, const std::string &spec)
{
    return {records::Kind::Team, "shop", 1, records::Version(version), spec};
}

const Owner kOwnerA{base::HostId("a"), base::Incarnation(1)};
const Owner kOwnerB{base::HostId("b"), base::Incarnation(1)};

Claim makeClaim(const Owner &owner, const std::string &digest = "d")
{
    return {base::TeamId("shop"), "k", digest, owner};
}

} // namespace

TEST_CASE("of two concurrent changes one is accepted and one gets a conflict with the record")
{
    LedgerFixture fixture;
    CHECK(fixture.run(PutRecord{"c1", records::Version(0), teamRecord(1, R"({"weight":1})")}).status
          == Status::Accepted);
    const Reply loser =
            fixture.run(PutRecord{"c2", records::Version(0), teamRecord(1, R"({"weight":2})")});
    CHECK(loser.status == Status::Conflict);
    REQUIRE(loser.currentRecord);
    CHECK(loser.currentRecord->spec == R"({"weight":1})");
}

TEST_CASE("a resent change gets its first reply, also a thousand changes later")
{
    LedgerFixture fixture;
    const PutRecord first{"c1", records::Version(0), teamRecord(1, R"({"weight":1})")};
    const Reply firstReply = fixture.run(first);
    CHECK(firstReply.status == Status::Accepted);
    CHECK(firstReply.logIndex == fixture.ledger.recordsPosition().index.count());
    for (int n = 2; n <= 1002; ++n)
        fixture.run(PutRecord{"c" + std::to_string(n), records::Version(n - 1),
                              teamRecord(n, R"({"weight":)" + std::to_string(n % 9 + 1) + "}")});
    CHECK(fixture.run(first).status == Status::Accepted);
    CHECK(fixture.run(first).logIndex == firstReply.logIndex);
    CHECK(fixture.ledger.record(records::Kind::Team, "shop")->version == records::Version(1002));
}

TEST_CASE("a claim is granted once and its stored answer is returned to later claims")
{
    LedgerFixture fixture;
    CHECK(fixture.run(makeClaim(kOwnerA)).status == Status::Accepted);
    CHECK(fixture.run(makeClaim(kOwnerB)).status == Status::Pending);
    CHECK(fixture.run(makeClaim(kOwnerB, "other")).status == Status::Conflict);
    CHECK(fixture.run(ReleaseClaim{base::TeamId("shop"), "k", kOwnerB}).status == Status::NotOwner);
    const Answer answer{200, "text/plain", "booked"};
    CHECK(fixture.run(FinishClaim{base::TeamId("shop"), "k", kOwnerA, answer}).status
          == Status::Accepted);
    const Reply again = fixture.run(makeClaim(kOwnerB));
    CHECK(again.status == Status::Answered);
    CHECK(again.answer == answer);
}

TEST_CASE("the claim of a retired owner is not granted again")
{
    LedgerFixture fixture;
    fixture.run(makeClaim(kOwnerA));
    fixture.run(RetireOwner{kOwnerA});
    CHECK(fixture.run(makeClaim(kOwnerB)).status == Status::OutcomeUnknown);
    CHECK(fixture.run(makeClaim(kOwnerA)).status == Status::OutcomeUnknown);
}

TEST_CASE("retiring an owner also retires earlier incarnations on its host, but not later ones")
{
    LedgerFixture fixture;
    fixture.run(makeClaim(kOwnerA));
    const Owner later{kOwnerA.host, base::Incarnation(kOwnerA.incarnation.count() + 1)};
    const Owner earlier{kOwnerA.host, base::Incarnation(kOwnerA.incarnation.count() - 1)};
    fixture.run(RetireOwner{earlier});
    CHECK(fixture.run(makeClaim(kOwnerB)).status == Status::Pending);
    fixture.run(RetireOwner{later});
    CHECK(fixture.run(makeClaim(kOwnerB)).status == Status::OutcomeUnknown);
}

TEST_CASE("a retired owner gets no claim or job until it is reinstated")
{
    LedgerFixture fixture;
    const Owner later{kOwnerA.host, base::Incarnation(kOwnerA.incarnation.count() + 1)};
    fixture.run(SubmitJob{base::JobId("j"), base::TeamId("desk"), "{}", base::Millis(1000)});
    fixture.run(RetireOwner{kOwnerA});
    const Reply late = fixture.run(makeClaim(kOwnerA));
    CHECK(late.status == Status::NotOwner);
    CHECK(late.message == kOwnerRetiredMessage);
    CHECK(fixture.run(TakeJob{base::JobId("j"), kOwnerA}).message == kOwnerRetiredMessage);
    Ledger restored;
    REQUIRE(restored.restore(fixture.ledger.snapshot()));
    CHECK(restored.snapshot() == fixture.ledger.snapshot());
    CHECK(fixture.run(makeClaim(kOwnerB)).status == Status::Accepted);
    fixture.run(ReinstateOwner{kOwnerA});
    CHECK(fixture.run(TakeJob{base::JobId("j"), kOwnerA}).status == Status::Accepted);
    fixture.run(RetireOwner{kOwnerA});
    CHECK(fixture.run(TakeJob{base::JobId("j"), later}).status == Status::Accepted);
}

TEST_CASE("a retirement expires after its retention time")
{
    LedgerFixture fixture;
    fixture.run(RetireOwner{kOwnerA}, 1'000);
    const std::int64_t kept = LedgerOptions().retirementRetention.count();
    CHECK(fixture.run(makeClaim(kOwnerA), 1'000 + kept).status == Status::NotOwner);
    CHECK(fixture.run(makeClaim(kOwnerA), 1'001 + kept).status == Status::Accepted);
}

TEST_CASE("a retired owner's job is taken by another owner and ends once")
{
    LedgerFixture fixture;
    fixture.run(SubmitJob{base::JobId("j"), base::TeamId("desk"), "{}", base::Millis(1000)});
    CHECK(fixture.run(TakeJob{base::JobId("j"), kOwnerA}).status == Status::Accepted);
    CHECK(fixture.run(TakeJob{base::JobId("j"), kOwnerB}).status == Status::Conflict);
    fixture.run(RetireOwner{kOwnerA});
    CHECK(fixture.run(TakeJob{base::JobId("j"), kOwnerB}).status == Status::Accepted);
    CHECK(fixture.run(FinishJob{base::JobId("j"), kOwnerA, JobState::Done, "x"}).status
          == Status::NotOwner);
    CHECK(fixture.run(FinishJob{base::JobId("j"), kOwnerB, JobState::Done, "y"}).status
          == Status::Accepted);
    CHECK(fixture.ledger.job(base::JobId("j"))->result == "y");
}

TEST_CASE("a job past its time limit fails with a reason")
{
    LedgerFixture fixture;
    fixture.run(SubmitJob{base::JobId("j"), base::TeamId("desk"), "{}", base::Millis(1000)});
    fixture.run(TakeLease{"x", kOwnerA, base::Millis(1)}, 1000);
    CHECK(fixture.ledger.job(base::JobId("j"))->state == JobState::Failed);
    CHECK(fixture.ledger.job(base::JobId("j"))->result == "out_of_time");
}

TEST_CASE("each new lease holder gets a higher fencing token")
{
    LedgerFixture fixture;
    const Reply first = fixture.run(TakeLease{"orders", kOwnerA, base::Millis(100)}, 0);
    CHECK(fixture.run(TakeLease{"orders", kOwnerB, base::Millis(100)}, 50).status
          == Status::Conflict);
    const Reply second = fixture.run(TakeLease{"orders", kOwnerB, base::Millis(100)}, 150);
    CHECK(second.fencingToken > first.fencingToken);
}

TEST_CASE("the reply to a change survives snapshots and a thousand later changes")
{
    LedgerFixture fixture;
    const PutRecord first{"c1", records::Version(0), teamRecord(1, R"({"weight":1})")};
    fixture.run(first);
    const Reply conflict = fixture.run(PutRecord{"late", records::Version(0), teamRecord(1, "{}")});
    for (int n = 2; n <= 1002; ++n) {
        fixture.run(
                PutRecord{"c" + std::to_string(n), records::Version(n - 1), teamRecord(n, "{}")});
        if (n % 300 == 0)
            REQUIRE(fixture.ledger.restore(fixture.ledger.snapshot()));
    }
    CHECK(fixture.run(first).status == Status::Accepted);
    const Reply again = fixture.run(PutRecord{"late", records::Version(0), teamRecord(1, "{}")});
    CHECK(again.status == Status::Conflict);
    CHECK(again.currentRecord == conflict.currentRecord);
}

TEST_CASE("a home-scoped key can be claimed only in the group incarnation that it names")
{
    LedgerFixture fixture;
    fixture.run(InitializeGroup{42});
    fixture.run(InitializeGroup{43});
    CHECK(fixture.ledger.groupIncarnation() == 42);
    Claim scoped = makeClaim(kOwnerA);
    scoped.key = "home.floro-sal.41.k";
    const Reply refused = fixture.run(scoped);
    CHECK(refused.status == Status::Conflict);
    CHECK(refused.message == "scope");
    CHECK(fixture.ledger.claimCount() == 0);
    scoped.key = "home.floro-sal.42.k";
    CHECK(fixture.run(scoped).status == Status::Accepted);
    // Keys that only resemble a home-scoped key are opaque.
    for (const char *key : {"home.x", "home.sal.4x.k", "home.sal.k", "home.sal.41."}) {
        scoped.key = key;
        CHECK(fixture.run(scoped).status == Status::Accepted);
    }
}

TEST_CASE("log time does not decrease when a leader's clock is behind")
{
    LedgerFixture fixture;
    fixture.run(TakeLease{"orders", kOwnerA, base::Millis(100)}, 1000);
    fixture.run(TakeLease{"orders", kOwnerA, base::Millis(100)}, 10);
    CHECK(fixture.ledger.logTimeMs() == 1000);
}

TEST_CASE("a snapshot restores the whole state")
{
    LedgerFixture fixture;
    fixture.run(PutRecord{"c1", records::Version(0), teamRecord(1, R"({"weight":1})")});
    fixture.run(makeClaim(kOwnerA));
    fixture.run(SubmitJob{base::JobId("j"), base::TeamId("desk"), "{}", base::Millis(1000)});
    fixture.run(TakeLease{"orders", kOwnerA, base::Millis(100)});
    fixture.run(InitializeGroup{7});
    Ledger other;
    REQUIRE(other.restore(fixture.ledger.snapshot()));
    CHECK(other.snapshot() == fixture.ledger.snapshot());
    CHECK_FALSE(other.restore("nonsense"));
}

TEST_CASE("a claim resent by its attempt is accepted, and a late release affects no other claim")
{
    LedgerFixture fixture;
    Claim first = makeClaim(kOwnerA);
    first.attemptId = "a1";
    CHECK(fixture.run(first).status == Status::Accepted);
    CHECK(fixture.run(first).status == Status::Accepted);
    Claim second = first;
    second.attemptId = "a2";
    CHECK(fixture.run(second).status == Status::Pending);

    const ReleaseClaim release{base::TeamId("shop"), "k", kOwnerA, "a1"};
    CHECK(fixture.run(release).status == Status::Accepted);
    CHECK(fixture.run(second).status == Status::Accepted);
    CHECK(fixture.run(release).status == Status::NotOwner);
    CHECK(fixture.run(FinishClaim{base::TeamId("shop"), "k", kOwnerA, {}, "a1"}).status
          == Status::NotOwner);
    Claim other = makeClaim(kOwnerB);
    other.attemptId = "a1";
    CHECK(fixture.run(other).status == Status::Pending);
}

TEST_CASE("a claim that arrives after its release is rejected, and others can claim the key")
{
    LedgerFixture fixture;
    Claim late = makeClaim(kOwnerA);
    late.attemptId = "a1";
    const ReleaseClaim release{base::TeamId("shop"), "k", kOwnerA, "a1"};
    CHECK(fixture.run(release).status == Status::NotFound);
    CHECK(fixture.run(late).status == Status::NotOwner);
    Claim other = makeClaim(kOwnerB);
    other.attemptId = "b1";
    CHECK(fixture.run(other).status == Status::Accepted);
    CHECK(fixture.run(late).status == Status::Pending);
}

TEST_CASE("a resubmitted job is accepted with the same request and conflicts with a different one")
{
    LedgerFixture fixture;
    SubmitJob submit{base::JobId("job-x-1"), base::TeamId("shop"), "r", base::Millis(1'000)};
    CHECK(fixture.run(submit).status == Status::Accepted);
    CHECK(fixture.run(submit).status == Status::Accepted);
    submit.request = "other";
    CHECK(fixture.run(submit).status == Status::Conflict);
    CHECK(fixture.ledger.job(submit.id)->request == "r");
}

TEST_CASE("the highest configuration version is in force; others are accepted without effect")
{
    LedgerFixture fixture;
    CHECK_FALSE(fixture.ledger.configuration());
    CHECK(fixture.run(PutConfiguration{7, "seven"}).status == Status::Accepted);
    const std::int64_t position = fixture.index;
    // A resend, a lower version, and different content for the current version.
    CHECK(fixture.run(PutConfiguration{7, "seven"}).logIndex == position);
    CHECK(fixture.run(PutConfiguration{5, "five"}).status == Status::Accepted);
    CHECK(fixture.run(PutConfiguration{7, "other"}).status == Status::Accepted);
    CHECK(fixture.ledger.configuration()->version == 7);
    CHECK(fixture.ledger.configuration()->text == "seven");
    CHECK(fixture.run(PutConfiguration{9, "nine"}).logIndex == fixture.index);
    CHECK(fixture.ledger.configuration()->text == "nine");
}

TEST_CASE("a snapshot includes the configuration")
{
    LedgerFixture fixture;
    fixture.run(PutConfiguration{7, "seven"});
    Ledger other;
    REQUIRE(other.restore(fixture.ledger.snapshot()));
    REQUIRE(other.configuration());
    CHECK(other.configuration()->version == 7);
    CHECK(other.configuration()->text == "seven");
    CHECK(other.configuration()->position == fixture.ledger.configuration()->position);
    REQUIRE(other.restore(Ledger().snapshot()));
    CHECK_FALSE(other.configuration());
}

TEST_CASE("crash suspects are bounded, in the snapshot, and expire when nobody stores them again")
{
    LedgerFixture fixture;
    CHECK(fixture.run(PutCrashSuspects{"known"}).status == Status::Accepted);
    CHECK(fixture.run(PutCrashSuspects{std::string(kMaxCrashSuspectsBytes + 1, 'x')}).status
          == Status::LimitReached);
    Ledger other;
    REQUIRE(other.restore(fixture.ledger.snapshot()));
    REQUIRE(other.crashSuspects());
    CHECK(other.crashSuspects()->text == "known");
    CHECK(other.crashSuspects()->storedAtMs == fixture.ledger.crashSuspects()->storedAtMs);
    REQUIRE(other.restore(Ledger().snapshot()));
    CHECK_FALSE(other.crashSuspects());
    fixture.run(PutCrashSuspects{""});
    CHECK_FALSE(fixture.ledger.crashSuspects());
}

// Earlier builds read the same log: a command that a build does not know changes nothing.
TEST_CASE("an unknown command is malformed and leaves the configuration as it is")
{
    LedgerFixture fixture;
    fixture.run(PutConfiguration{7, "seven"});
    replog::Entry entry;
    entry.position = {replog::Term(1), replog::Index(1'000)};
    entry.kind = replog::EntryKind::Command;
    entry.payload = encode(PutConfiguration{9, "nine"}, 5);
    const std::string op = "configure";
    entry.payload.replace(entry.payload.find(op), op.size(), "later_one");
    CHECK(fixture.ledger.apply(entry).status == Status::Malformed);
    REQUIRE(fixture.ledger.configuration());
    CHECK(fixture.ledger.configuration()->version == 7);
}
