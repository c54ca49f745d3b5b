#include "ClaimStateMachine.h"

#include <algorithm>
#include <cassert>

namespace hyssop::entry {

namespace {

/// Timeout of one claim, after which an unreachable group is reported to the caller.
constexpr base::Millis kClaimTimeout{1'500};
/// Wait before a pending or unconfirmed claim is sent again. Doubles up to kMaxRetryDelay.
constexpr base::Millis kFirstRetryDelay{50};
constexpr base::Millis kMaxRetryDelay{800};
/// Longest time that a response waits until its outcome is recorded.
constexpr base::Millis kMaxRecordingWait{1'000};
/// Claims without a definite reply after which the call fails.
constexpr int kMaxUnconfirmedClaims = 3;
constexpr base::Millis kRetryAfter{1'000};

base::Millis retryDelay(int retries)
{
    return std::min(kMaxRetryDelay, kFirstRetryDelay * (1 << std::min(retries, 4)));
}

} // namespace

std::string groupForKey(std::string_view key)
{
    const auto scope = ledger::parseHomeScope(key);
    return scope ? "home-" + scope->dataCentre.text() : "global";
}

ClaimStateMachine::ClaimStateMachine(ClaimedCall call)
    : m_call(std::move(call))
{
    assert(!m_call.claim.attemptId.empty() && "a claim needs an attempt");
}

ClaimActions ClaimStateMachine::start(base::TimePoint now)
{
    return sendClaim(now);
}

ClaimActions ClaimStateMachine::sendClaim(base::TimePoint now)
{
    const auto remaining = std::chrono::floor<base::Millis>(m_call.deadline - now);
    if (remaining <= base::Millis(0))
        return failDeadlineExceeded();
    m_state = State::Claiming;
    return {SendClaim{std::min(remaining, kClaimTimeout)}};
}

ClaimActions ClaimStateMachine::onClaimReply(
        const tl::expected<ledger::Reply, ExecuteFailure> &reply, base::TimePoint now)
{
    assert(m_state == State::Claiming && "replies arrive only while a claim is in flight");
    if (reply)
        return onLedgerReply(*reply, now);
    m_mayHoldClaim = m_mayHoldClaim || reply.error() == ExecuteFailure::MayBeRecorded;
    if (m_mayHoldClaim && ++m_unconfirmedClaims < kMaxUnconfirmedClaims)
        return scheduleRetry(State::Unconfirmed, now);
    if (m_mayHoldClaim)
        return failUnconfirmed();
    return fail(503, "claims_unreachable", "the log group of this key is unreachable",
                caller::Outcome::NotRun, kRetryAfter);
}

ClaimActions ClaimStateMachine::onLedgerReply(const ledger::Reply &reply, base::TimePoint now)
{
    using ledger::Status;
    m_mayHoldClaim = m_mayHoldClaim || reply.status == Status::Accepted;
    switch (reply.status) {
    case Status::Accepted:
        if (m_isCallerGone || now >= m_call.deadline)
            return failDeadlineExceeded();
        m_state = State::Running;
        m_hasDispatched = true;
        return {Dispatch()};
    case Status::Pending:
        return scheduleRetry(State::WaitingForHolder, now);
    case Status::Answered:
        if (!reply.answer)
            break;
        m_state = State::Ended;
        return {SendCallerAnswer{*reply.answer}};
    case Status::Conflict:
        if (reply.message == "scope")
            return fail(409, "key_scope",
                        "the key belongs to an earlier incarnation of the log group",
                        caller::Outcome::NotRun, base::Millis(0));
        return fail(409, "key_conflict", "the key was used with another request",
                    caller::Outcome::NotRun, base::Millis(0));
    case Status::LimitReached:
        return fail(503, "claims_full", "too many keys are stored", caller::Outcome::NotRun,
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

ClaimActions ClaimStateMachine::scheduleRetry(State state, base::TimePoint now)
{
    m_state = state;
    if (m_isCallerGone || now >= m_call.deadline)
        return failDeadlineExceeded();
    const auto delay = retryDelay(m_retries++);
    return {SetTimer{std::min(now + delay, m_call.deadline)}};
}

ClaimActions ClaimStateMachine::failDeadlineExceeded()
{
    if (m_state == State::WaitingForHolder)
        return withRelease(fail(504, "outcome_unknown",
                                "an earlier call with this key has not ended yet",
                                caller::Outcome::Unknown, kRetryAfter));
    return withRelease(fail(504, "out_of_time", "the key could not be claimed within the deadline",
                            caller::Outcome::NotRun, kRetryAfter));
}

ClaimActions ClaimStateMachine::failUnconfirmed()
{
    return withRelease(fail(503, "claim_unconfirmed", "the log group of this key does not respond",
                            caller::Outcome::NotRun, kRetryAfter));
}

ClaimActions ClaimStateMachine::withRelease(ClaimActions actions) const
{
    if (m_mayHoldClaim)
        actions.push_back(SendRelease());
    return actions;
}

ClaimActions ClaimStateMachine::onTimer(base::TimePoint now)
{
    switch (m_state) {
    case State::Unconfirmed:
    case State::WaitingForHolder:
        return now >= m_call.deadline ? failDeadlineExceeded() : sendClaim(now);
    case State::RecordingOutcome:
        m_state = State::Ended;
        return {*m_pendingResponse};
    case State::Claiming:
    case State::Running:
    case State::Ended:
        break;
    }
    return {};
}

ClaimActions ClaimStateMachine::onAnswered(ledger::Answer answer, base::TimePoint now)
{
    assert(m_state == State::Running && "only a dispatched call is answered");
    SendOutcome record;
    if (answer.body.size() <= kMaxStoredAnswerBytes)
        record.answer = answer;
    return recordThenRespond(std::move(record), SendCallerAnswer{std::move(answer)}, now);
}

ClaimActions ClaimStateMachine::onFailed(caller::ErrorBody error, base::TimePoint now)
{
    assert(m_state == State::Running && "only a dispatched call fails");
    if (error.outcome == caller::Outcome::NotRun)
        return recordThenRespond(SendRelease(), SendCallerError{std::move(error)}, now);
    m_state = State::Ended;
    return {SendCallerError{std::move(error)}, SendOutcome()};
}

ClaimActions ClaimStateMachine::recordThenRespond(ClaimAction recordAction, ClaimAction response,
                                                  base::TimePoint now)
{
    m_state = State::RecordingOutcome;
    m_pendingResponse = std::move(response);
    return {std::move(recordAction), SetTimer{now + kMaxRecordingWait}};
}

ClaimActions ClaimStateMachine::onSettled(base::TimePoint)
{
    if (m_state != State::RecordingOutcome)
        return {};
    m_state = State::Ended;
    return {*m_pendingResponse};
}

ClaimActions ClaimStateMachine::onCallerGone(base::TimePoint)
{
    m_isCallerGone = true;
    // While a claim is in flight its reply is awaited, as it shows whether to release the claim.
    if (m_state == State::Unconfirmed || m_state == State::WaitingForHolder)
        return failDeadlineExceeded();
    return {};
}

ClaimActions ClaimStateMachine::fail(int status, std::string code, std::string message,
                                     caller::Outcome outcome, base::Millis retryAfter)
{
    m_state = State::Ended;
    caller::ErrorBody error;
    error.status = status;
    error.code = std::move(code);
    error.message = std::move(message);
    error.outcome = outcome;
    error.retryAfter = retryAfter;
    return {SendCallerError{std::move(error)}};
}

} // namespace hyssop::entry
