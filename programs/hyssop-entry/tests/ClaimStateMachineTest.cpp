#include "ClaimStateMachine.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;
using base::Millis;
using ledger::Status;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const ledger::Owner kOwner{base::HostId("a"), base::Incarnation(1)};

ClaimStateMachine claimedCall(Millis left = Millis(10'000))
{
    return ClaimStateMachine(
            {ledger::Claim{base::TeamId("shop"), "k", "d", kOwner, "a1"}, kStart + left});
}

tl::expected<ledger::Reply, ExecuteFailure> reply(Status status, std::string message = {})
{
    ledger::Reply reply;
    reply.status = status;
    reply.message = std::move(message);
    return reply;
}

template <typename Action>
const Action *find(const ClaimActions &actions)
{
    for (const ClaimAction &action : actions) {
        if (const auto *it = std::get_if<Action>(&action))
            return it;
    }
    return nullptr;
}

const auto kUnconfirmed = tl::unexpected(ExecuteFailure::MayBeRecorded);
const auto kNotRecorded = tl::unexpected(ExecuteFailure::NotRecorded);

} // namespace

TEST_CASE("a call is dispatched after its claim is accepted, and its answer is recorded before it "
          "is sent")
{
    ClaimStateMachine call = claimedCall();
    CHECK(find<SendClaim>(call.start(kStart)));
    CHECK(find<Dispatch>(call.onClaimReply(reply(Status::Accepted), kStart)));
    const auto answered = call.onAnswered({200, "text/plain", "ok"}, kStart);
    REQUIRE(find<SendOutcome>(answered));
    CHECK(find<SendOutcome>(answered)->answer->body == "ok");
    CHECK_FALSE(find<SendCallerAnswer>(answered));
    const auto settled = call.onSettled(kStart);
    REQUIRE(find<SendCallerAnswer>(settled));
    CHECK(find<SendCallerAnswer>(settled)->answer.body == "ok");
}

TEST_CASE("an answer that is not recorded in time is sent once anyway")
{
    ClaimStateMachine call = claimedCall();
    call.start(kStart);
    call.onClaimReply(reply(Status::Accepted), kStart);
    const auto answered = call.onAnswered({200, "", "ok"}, kStart);
    REQUIRE(find<SetTimer>(answered));
    CHECK(find<SendCallerAnswer>(call.onTimer(find<SetTimer>(answered)->at)));
    CHECK(call.onSettled(kStart).empty());
}

TEST_CASE("a claim that may be recorded is sent again, and nothing is dispatched until it is "
          "confirmed")
{
    ClaimStateMachine call = claimedCall();
    call.start(kStart);
    const auto lost = call.onClaimReply(kUnconfirmed, kStart);
    CHECK_FALSE(find<Dispatch>(lost));
    REQUIRE(find<SetTimer>(lost));
    CHECK(find<SendClaim>(call.onTimer(find<SetTimer>(lost)->at)));
    CHECK(find<Dispatch>(call.onClaimReply(reply(Status::Accepted), kStart)));
}

TEST_CASE("a claim that is never confirmed is released, and the call fails soon as not run")
{
    ClaimStateMachine call = claimedCall(Millis(3'600'000));
    call.start(kStart);
    base::TimePoint now = kStart;
    ClaimActions actions = call.onClaimReply(kUnconfirmed, now);
    for (int n = 0; n < 10 && find<SetTimer>(actions); ++n) {
        now = find<SetTimer>(actions)->at;
        call.onTimer(now);
        // After a definite failure an earlier claim may still be recorded.
        actions = call.onClaimReply(kNotRecorded, now);
    }
    REQUIRE(find<SendCallerError>(actions));
    CHECK(find<SendCallerError>(actions)->error.outcome == caller::Outcome::NotRun);
    CHECK(find<SendCallerError>(actions)->error.retryAfter > Millis(0));
    CHECK(find<SendRelease>(actions));
}

TEST_CASE("an unreachable log fails the call at once as not run, with a retry time")
{
    ClaimStateMachine call = claimedCall();
    call.start(kStart);
    const auto refused = call.onClaimReply(kNotRecorded, kStart);
    REQUIRE(find<SendCallerError>(refused));
    CHECK(find<SendCallerError>(refused)->error.code == "claims_unreachable");
    CHECK(find<SendCallerError>(refused)->error.outcome == caller::Outcome::NotRun);
    CHECK(find<SendCallerError>(refused)->error.retryAfter > Millis(0));
    CHECK_FALSE(find<SendRelease>(refused));
}

TEST_CASE("a call waits for the answer of another call with its key, until its deadline")
{
    ClaimStateMachine call = claimedCall(Millis(500));
    call.start(kStart);
    auto actions = call.onClaimReply(reply(Status::Pending), kStart);
    base::TimePoint now = kStart;
    while (find<SetTimer>(actions)) {
        now = find<SetTimer>(actions)->at;
        REQUIRE(now <= kStart + Millis(500));
        actions = call.onTimer(now);
        if (find<SendClaim>(actions))
            actions = call.onClaimReply(reply(Status::Pending), now);
    }
    REQUIRE(find<SendCallerError>(actions));
    CHECK(find<SendCallerError>(actions)->error.outcome == caller::Outcome::Unknown);

    ClaimStateMachine waiting = claimedCall();
    waiting.start(kStart);
    waiting.onClaimReply(reply(Status::Pending), kStart);
    waiting.onTimer(kStart + Millis(50));
    auto answered = reply(Status::Answered);
    answered->answer = ledger::Answer{200, "", "first"};
    const auto given = waiting.onClaimReply(answered, kStart + Millis(60));
    REQUIRE(find<SendCallerAnswer>(given));
    CHECK(find<SendCallerAnswer>(given)->answer.body == "first");
}

TEST_CASE("a key used with another request is a conflict, and a key of a dead owner has an unknown "
          "outcome")
{
    ClaimStateMachine other = claimedCall();
    other.start(kStart);
    const auto conflict = other.onClaimReply(reply(Status::Conflict), kStart);
    REQUIRE(find<SendCallerError>(conflict));
    CHECK(find<SendCallerError>(conflict)->error.status == 409);
    CHECK(find<SendCallerError>(conflict)->error.code == "key_conflict");

    ClaimStateMachine orphan = claimedCall();
    orphan.start(kStart);
    const auto unknown = orphan.onClaimReply(reply(Status::OutcomeUnknown), kStart);
    REQUIRE(find<SendCallerError>(unknown));
    CHECK(find<SendCallerError>(unknown)->error.outcome == caller::Outcome::Unknown);
}

TEST_CASE("the claim of a call that did not run is released before the error is sent")
{
    ClaimStateMachine call = claimedCall();
    call.start(kStart);
    call.onClaimReply(reply(Status::Accepted), kStart);
    caller::ErrorBody error;
    error.outcome = caller::Outcome::NotRun;
    const auto ended = call.onFailed(error, kStart);
    CHECK(find<SendRelease>(ended));
    CHECK_FALSE(find<SendCallerError>(ended));
    CHECK(find<SendCallerError>(call.onSettled(kStart)));
}

TEST_CASE("a call that may have run fails at once, and its claim is recorded as unknown and not "
          "released")
{
    ClaimStateMachine call = claimedCall();
    call.start(kStart);
    call.onClaimReply(reply(Status::Accepted), kStart);
    caller::ErrorBody error;
    error.outcome = caller::Outcome::Failed;
    const auto ended = call.onFailed(error, kStart);
    CHECK(find<SendCallerError>(ended));
    REQUIRE(find<SendOutcome>(ended));
    CHECK_FALSE(find<SendOutcome>(ended)->answer);
    CHECK_FALSE(find<SendRelease>(ended));
}

TEST_CASE("a caller that disconnects before the dispatch has its claim released, later the call "
          "continues")
{
    ClaimStateMachine early = claimedCall();
    early.start(kStart);
    CHECK(early.onCallerGone(kStart).empty());
    const auto gone = early.onClaimReply(reply(Status::Accepted), kStart);
    CHECK_FALSE(find<Dispatch>(gone));
    CHECK(find<SendRelease>(gone));

    ClaimStateMachine late = claimedCall();
    late.start(kStart);
    late.onClaimReply(reply(Status::Accepted), kStart);
    CHECK(late.onCallerGone(kStart).empty());
    CHECK(find<SendOutcome>(late.onAnswered({200, "", "ok"}, kStart)));
}

TEST_CASE("an answer too large to store is sent and recorded as unknown")
{
    ClaimStateMachine call = claimedCall();
    call.start(kStart);
    call.onClaimReply(reply(Status::Accepted), kStart);
    const std::string body(ClaimStateMachine::kMaxStoredAnswerBytes + 1, 'x');
    const auto answered = call.onAnswered({200, "", body}, kStart);
    REQUIRE(find<SendOutcome>(answered));
    CHECK_FALSE(find<SendOutcome>(answered)->answer);
    CHECK(find<SendCallerAnswer>(call.onSettled(kStart))->answer.body == body);
}

TEST_CASE("a key determines its log group")
{
    CHECK(groupForKey("order-17") == "global");
    CHECK(groupForKey("home.hall-a.77.order-17") == "home-hall-a");
    CHECK(groupForKey("home.hall-a.77.") == "global");
    CHECK(groupForKey("home.hall-a") == "global");
    CHECK(groupForKey("home..77.x") == "global");
    CHECK(groupForKey("home.hall-a.7x.order-17") == "global");
}
