#include "ClaimFlow.h"

#include <algorithm>
#include <cassert>

namespace hyssop::entry {

namespace {

/// Bound on one claim; a group that is out of reach is reported to the caller after it.
constexpr base::Millis kClaimLimit{1'500};
/// Wait before a pending or unconfirmed claim is asked for again; doubles up to the bound.
constexpr base::Millis kFirstPoll{50};
constexpr base::Millis kMaxPoll{800};
/// How long a caller waits for the record of its outcome.
constexpr base::Millis kSettleBound{1'000};
/// Claims without a certain answer after which the call is given up.
constexpr int kMaxUnconfirmed = 3;
constexpr base::Millis kRetryAfter{1'000};

base::Millis pollDelay(int polls)
{
    return std::min(kMaxPoll, kFirstPoll * (1 << std::min(polls, 4)));
}

} // namespace

std::string groupOfKey(std::string_view key)
{
    const auto scope = ledger::homeScopeOf(key);
    return scope ? "home-" + scope->dataCentre.text() : "global";
}

ClaimFlow::ClaimFlow(ClaimedCall call)
    : m_call(std::move(call))
{
    assert(!m_call.claim.attempt.empty() && "a flow's claim names its attempt");
}

ClaimActions ClaimFlow::start(base::TimePoint now)
{
    return send(now);
}

ClaimActions ClaimFlow::send(base::TimePoint now)
{
    const auto left = std::chrono::floor<base::Millis>(m_call.deadline - now);
    if (left <= base::Millis(0))
        return outOfTime();
    m_state = State::Claiming;
    return {SendClaim{std::min(left, kClaimLimit)}};
}

ClaimActions ClaimFlow::onClaim(const tl::expected<ledger::Reply, ExecuteFailure> &reply,
                                base::TimePoint now)
{
    assert(m_state == State::Claiming && "answers come only to the claim on its way");
    if (reply)
        return onReply(*reply, now);
    m_mayBeHeld = m_mayBeHeld || reply.error() == ExecuteFailure::MayBeRecorded;
    if (m_mayBeHeld && ++m_unconfirmed < kMaxUnconfirmed)
        return pause(State::Unconfirmed, now);
    if (m_mayBeHeld)
        return giveUp();
    return fail(503, "claims_unreachable", "the log that keeps this key cannot be reached",
                caller::Outcome::NotRun, kRetryAfter);
}

ClaimActions ClaimFlow::onReply(const ledger::Reply &reply, base::TimePoint now)
{
    using ledger::Status;
    m_mayBeHeld = m_mayBeHeld || reply.status == Status::Accepted;
    switch (reply.status) {
    case Status::Accepted:
        if (m_isCallerGone || now >= m_call.deadline)
            return outOfTime();
        m_state = State::Running;
        m_hasDispatched = true;
        return {Dispatch()};
    case Status::Pending:
        return pause(State::WaitingForOther, now);
    case Status::Answered:
        if (!reply.answer)
            break;
        m_state = State::Ended;
        return {AnswerCaller{*reply.answer}};
    case Status::Conflict:
        if (reply.message == "scope")
            return fail(409, "key_scope", "the key was made for an earlier state of the group",
                        caller::Outcome::NotRun, base::Millis(0));
        return fail(409, "key_conflict", "the key was used with another request",
                    caller::Outcome::NotRun, base::Millis(0));
    case Status::Full:
        return fail(503, "claims_full", "too many keys are kept", caller::Outcome::NotRun,
                    kRetryAfter);
    case Status::OutcomeUnknown:
        break;
    case Status::NotFound:
    case Status::NotOwner:
    case Status::Malformed:
        return fail(503, "claim_refused", "the log refused the claim", caller::Outcome::NotRun,
                    kRetryAfter);
    }
    return fail(502, "outcome_unknown", "an earlier call with this key may have run",
                caller::Outcome::Unknown, base::Millis(0));
}

ClaimActions ClaimFlow::pause(State state, base::TimePoint now)
{
    m_state = state;
    if (m_isCallerGone || now >= m_call.deadline)
        return outOfTime();
    const auto delay = pollDelay(m_polls++);
    return {WakeAt{std::min(now + delay, m_call.deadline)}};
}

ClaimActions ClaimFlow::outOfTime()
{
    if (m_state == State::WaitingForOther)
        return released(fail(504, "outcome_unknown",
                             "an earlier call with this key has not ended yet",
                             caller::Outcome::Unknown, kRetryAfter));
    return released(fail(504, "out_of_time", "the key could not be claimed within the deadline",
                         caller::Outcome::NotRun, kRetryAfter));
}

ClaimActions ClaimFlow::giveUp()
{
    return released(fail(503, "claim_unconfirmed", "the log that keeps this key does not answer",
                         caller::Outcome::NotRun, kRetryAfter));
}

ClaimActions ClaimFlow::released(ClaimActions actions) const
{
    if (m_mayBeHeld)
        actions.push_back(SendRelease());
    return actions;
}

ClaimActions ClaimFlow::wake(base::TimePoint now)
{
    switch (m_state) {
    case State::Unconfirmed:
    case State::WaitingForOther:
        return now >= m_call.deadline ? outOfTime() : send(now);
    case State::Settling:
        m_state = State::Ended;
        return {*m_last};
    case State::Claiming:
    case State::Running:
    case State::Ended:
        break;
    }
    return {};
}

ClaimActions ClaimFlow::onAnswered(ledger::Answer answer, base::TimePoint now)
{
    assert(m_state == State::Running && "only a dispatched call is answered");
    SendFinish record;
    if (answer.body.size() <= kMaxKeptAnswer)
        record.answer = answer;
    return settle(std::move(record), AnswerCaller{std::move(answer)}, now);
}

ClaimActions ClaimFlow::onEnded(caller::ErrorBody error, base::TimePoint now)
{
    assert(m_state == State::Running && "only a dispatched call ends");
    if (error.outcome == caller::Outcome::NotRun)
        return settle(SendRelease(), FailCaller{std::move(error)}, now);
    m_state = State::Ended;
    return {FailCaller{std::move(error)}, SendFinish()};
}

ClaimActions ClaimFlow::settle(ClaimAction record, ClaimAction last, base::TimePoint now)
{
    m_state = State::Settling;
    m_last = std::move(last);
    return {std::move(record), WakeAt{now + kSettleBound}};
}

ClaimActions ClaimFlow::onSettled(base::TimePoint)
{
    if (m_state != State::Settling)
        return {};
    m_state = State::Ended;
    return {*m_last};
}

ClaimActions ClaimFlow::onCallerGone(base::TimePoint)
{
    m_isCallerGone = true;
    // An answer to the claim on its way is waited for; it says whether there is one to give back.
    if (m_state == State::Unconfirmed || m_state == State::WaitingForOther)
        return outOfTime();
    return {};
}

ClaimActions ClaimFlow::fail(int status, std::string code, std::string message,
                             caller::Outcome outcome, base::Millis retryAfter)
{
    m_state = State::Ended;
    caller::ErrorBody error;
    error.status = status;
    error.code = std::move(code);
    error.message = std::move(message);
    error.outcome = outcome;
    error.retryAfter = retryAfter;
    return {FailCaller{std::move(error)}};
}

} // namespace hyssop::entry
