#include "ClaimFlow.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;
using base::Millis;
using ledger::Status;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const ledger::Owner kOwner{base::HostId("a"), base::Incarnation(1)};

ClaimFlow flow(Millis left = Millis(10'000))
{
    return ClaimFlow({ledger::Claim{base::TeamId("shop"), "k", "d", kOwner, "a1"}, kStart + left});
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

const auto kLost = tl::unexpected(ExecuteFailure::MayBeRecorded);
const auto kNotRecorded = tl::unexpected(ExecuteFailure::NotRecorded);

} // namespace

TEST_CASE("a call goes out only after its claim was accepted, and its answer is recorded first")
{
    ClaimFlow call = flow();
    CHECK(find<SendClaim>(call.start(kStart)));
    CHECK(find<Dispatch>(call.onClaim(reply(Status::Accepted), kStart)));
    const auto answered = call.onAnswered({200, "text/plain", "ok"}, kStart);
    REQUIRE(find<SendFinish>(answered));
    CHECK(find<SendFinish>(answered)->answer->body == "ok");
    CHECK_FALSE(find<AnswerCaller>(answered));
    const auto settled = call.onSettled(kStart);
    REQUIRE(find<AnswerCaller>(settled));
    CHECK(find<AnswerCaller>(settled)->answer.body == "ok");
}

TEST_CASE("an answer whose record does not come is given after a bound, and once")
{
    ClaimFlow call = flow();
    call.start(kStart);
    call.onClaim(reply(Status::Accepted), kStart);
    const auto answered = call.onAnswered({200, "", "ok"}, kStart);
    REQUIRE(find<WakeAt>(answered));
    CHECK(find<AnswerCaller>(call.wake(find<WakeAt>(answered)->at)));
    CHECK(call.onSettled(kStart).empty());
}

TEST_CASE("a claim that may be recorded is sent again, and nothing goes out until it is confirmed")
{
    ClaimFlow call = flow();
    call.start(kStart);
    const auto lost = call.onClaim(kLost, kStart);
    CHECK_FALSE(find<Dispatch>(lost));
    REQUIRE(find<WakeAt>(lost));
    CHECK(find<SendClaim>(call.wake(find<WakeAt>(lost)->at)));
    CHECK(find<Dispatch>(call.onClaim(reply(Status::Accepted), kStart)));
}

TEST_CASE("a claim never confirmed is given up soon, released, and the call did not run")
{
    ClaimFlow call = flow(Millis(3'600'000));
    call.start(kStart);
    base::TimePoint now = kStart;
    ClaimActions actions = call.onClaim(kLost, now);
    for (int n = 0; n < 10 && find<WakeAt>(actions); ++n) {
        now = find<WakeAt>(actions)->at;
        call.wake(now);
        // A refusal does not take back that an earlier claim may be recorded.
        actions = call.onClaim(kNotRecorded, now);
    }
    REQUIRE(find<FailCaller>(actions));
    CHECK(find<FailCaller>(actions)->error.outcome == caller::Outcome::NotRun);
    CHECK(find<FailCaller>(actions)->error.retryAfter > Millis(0));
    CHECK(find<SendRelease>(actions));
}

TEST_CASE("a log out of reach refuses the call at once as not run, with a time to come back")
{
    ClaimFlow call = flow();
    call.start(kStart);
    const auto refused = call.onClaim(kNotRecorded, kStart);
    REQUIRE(find<FailCaller>(refused));
    CHECK(find<FailCaller>(refused)->error.code == "claims_unreachable");
    CHECK(find<FailCaller>(refused)->error.outcome == caller::Outcome::NotRun);
    CHECK(find<FailCaller>(refused)->error.retryAfter > Millis(0));
    CHECK_FALSE(find<SendRelease>(refused));
}

TEST_CASE("a key held by another call waits for its answer, then the outcome is unknown")
{
    ClaimFlow call = flow(Millis(500));
    call.start(kStart);
    auto actions = call.onClaim(reply(Status::Pending), kStart);
    base::TimePoint now = kStart;
    while (find<WakeAt>(actions)) {
        now = find<WakeAt>(actions)->at;
        REQUIRE(now <= kStart + Millis(500));
        actions = call.wake(now);
        if (find<SendClaim>(actions))
            actions = call.onClaim(reply(Status::Pending), now);
    }
    REQUIRE(find<FailCaller>(actions));
    CHECK(find<FailCaller>(actions)->error.outcome == caller::Outcome::Unknown);

    ClaimFlow lucky = flow();
    lucky.start(kStart);
    lucky.onClaim(reply(Status::Pending), kStart);
    lucky.wake(kStart + Millis(50));
    auto answered = reply(Status::Answered);
    answered->answer = ledger::Answer{200, "", "first"};
    const auto given = lucky.onClaim(answered, kStart + Millis(60));
    REQUIRE(find<AnswerCaller>(given));
    CHECK(find<AnswerCaller>(given)->answer.body == "first");
}

TEST_CASE("a key used with another request is a conflict, one of a dead claimant is unknown")
{
    ClaimFlow other = flow();
    other.start(kStart);
    const auto conflict = other.onClaim(reply(Status::Conflict), kStart);
    REQUIRE(find<FailCaller>(conflict));
    CHECK(find<FailCaller>(conflict)->error.status == 409);
    CHECK(find<FailCaller>(conflict)->error.code == "key_conflict");

    ClaimFlow orphan = flow();
    orphan.start(kStart);
    const auto unknown = orphan.onClaim(reply(Status::OutcomeUnknown), kStart);
    REQUIRE(find<FailCaller>(unknown));
    CHECK(find<FailCaller>(unknown)->error.outcome == caller::Outcome::Unknown);
}

TEST_CASE("a call that did not run is released before the caller hears of it")
{
    ClaimFlow call = flow();
    call.start(kStart);
    call.onClaim(reply(Status::Accepted), kStart);
    caller::ErrorBody error;
    error.outcome = caller::Outcome::NotRun;
    const auto ended = call.onEnded(error, kStart);
    CHECK(find<SendRelease>(ended));
    CHECK_FALSE(find<FailCaller>(ended));
    CHECK(find<FailCaller>(call.onSettled(kStart)));
}

TEST_CASE("a call that may have run fails at once and is recorded as unknown, never released")
{
    ClaimFlow call = flow();
    call.start(kStart);
    call.onClaim(reply(Status::Accepted), kStart);
    caller::ErrorBody error;
    error.outcome = caller::Outcome::Failed;
    const auto ended = call.onEnded(error, kStart);
    CHECK(find<FailCaller>(ended));
    REQUIRE(find<SendFinish>(ended));
    CHECK_FALSE(find<SendFinish>(ended)->answer);
    CHECK_FALSE(find<SendRelease>(ended));
}

TEST_CASE(
        "a caller that goes before the dispatch has its claim released, after it the call goes on")
{
    ClaimFlow early = flow();
    early.start(kStart);
    CHECK(early.onCallerGone(kStart).empty());
    const auto gone = early.onClaim(reply(Status::Accepted), kStart);
    CHECK_FALSE(find<Dispatch>(gone));
    CHECK(find<SendRelease>(gone));

    ClaimFlow late = flow();
    late.start(kStart);
    late.onClaim(reply(Status::Accepted), kStart);
    CHECK(late.onCallerGone(kStart).empty());
    CHECK(find<SendFinish>(late.onAnswered({200, "", "ok"}, kStart)));
}

TEST_CASE("an answer too large to keep is given and recorded as unknown")
{
    ClaimFlow call = flow();
    call.start(kStart);
    call.onClaim(reply(Status::Accepted), kStart);
    const std::string body(ClaimFlow::kMaxKeptAnswer + 1, 'x');
    const auto answered = call.onAnswered({200, "", body}, kStart);
    REQUIRE(find<SendFinish>(answered));
    CHECK_FALSE(find<SendFinish>(answered)->answer);
    CHECK(find<AnswerCaller>(call.onSettled(kStart))->answer.body == body);
}

TEST_CASE("a key names its group")
{
    CHECK(groupOfKey("order-17") == "global");
    CHECK(groupOfKey("home.hall-a.77.order-17") == "home-hall-a");
    CHECK(groupOfKey("home.hall-a.77.") == "global");
    CHECK(groupOfKey("home.hall-a") == "global");
    CHECK(groupOfKey("home..77.x") == "global");
    CHECK(groupOfKey("home.hall-a.7x.order-17") == "global");
}
