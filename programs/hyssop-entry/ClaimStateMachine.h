#pragma once

#include "caller/Caller.h"
#include "RetryPlan.h"

#include <variant>

namespace hyssop::entry {

/// A non-repeatable call with an idempotency key.
struct ClaimedCall
{
    ledger::Claim claim; ///< Its attempt is unique to this call within the owner.
    base::TimePoint deadline;
};

// Actions.

/// Sends the claim to the log.
struct SendClaim
{
    base::Millis timeout{0};
};

/// Releases the claim. Retried by ClaimRunner until it is recorded, a limited number of times.
struct SendRelease
{ };

/// Records the outcome, which is unknown without an answer. Retried like a release.
struct SendOutcome
{
    std::optional<ledger::Answer> answer;
};

/// Calls ClaimStateMachine::onTimer() at the given time; replaces an earlier timer.
struct SetTimer
{
    base::TimePoint at;
};

/// Submits the call to the router. Happens at most once for each ClaimStateMachine.
struct Dispatch
{ };

struct SendCallerAnswer
{
    ledger::Answer answer;
};

struct SendCallerError
{
    caller::ErrorBody error;
};

using ClaimAction = std::variant<SendClaim, SendRelease, SendOutcome, SetTimer, Dispatch,
                                 SendCallerAnswer, SendCallerError>;
using ClaimActions = std::vector<ClaimAction>;

/// Executes one non-repeatable call at most once. No I/O.
///
/// The call is dispatched only after the ledger has replied Accepted to a claim of this object.
/// While the claim is held, the ledger repeats that reply to the same owner and attempt. A claim
/// whose reply was lost is therefore sent again, and nothing is dispatched before the reply. The
/// call is dispatched once. The claim is released only if the router reports that the call did not
/// run. The ledger refuses a released attempt, so a delayed copy of its claim has no effect. A
/// claim that is never confirmed is released, and the call fails as not run.
///
/// An answer is recorded before it is sent to the caller, so that a retry by the caller gets the
/// same answer. The wait for the record is bounded; then the answer is sent in any case. A call
/// that may have run fails at once and its outcome is recorded afterwards, because nobody else
/// dispatches it while the claim is held.
class ClaimStateMachine
{
public:
    /// Larger answers are not stored; a retry by the caller gets an unknown outcome.
    static constexpr std::size_t kMaxStoredAnswerBytes = std::size_t(256) << 10;

    explicit ClaimStateMachine(ClaimedCall call);

    ClaimActions start(base::TimePoint now);
    ClaimActions onClaimReply(const tl::expected<ledger::Reply, ExecuteFailure> &reply,
                              base::TimePoint now);
    ClaimActions onTimer(base::TimePoint now);
    /// The dispatched call got an answer.
    ClaimActions onAnswered(ledger::Answer answer, base::TimePoint now);
    /// The dispatched call failed; \a error is meant for the caller.
    ClaimActions onFailed(caller::ErrorBody error, base::TimePoint now);
    /// The release or the outcome is recorded, or its retries have ended.
    ClaimActions onSettled(base::TimePoint now);
    /// Ends the call if it is not dispatched yet. A dispatched call continues, so that its outcome
    /// is recorded.
    ClaimActions onCallerGone(base::TimePoint now);

    bool hasDispatched() const { return m_hasDispatched; }
    /// Whether the only thing left is to record what was already sent.
    bool hasEnded() const { return m_state == State::Ended; }
    const ledger::Claim &claim() const { return m_call.claim; }

private:
    enum class State {
        Claiming, ///< A claim was sent.
        Unconfirmed, ///< The last claim may be recorded; it will be sent again.
        WaitingForHolder, ///< Another call holds the key.
        Running, ///< The call is dispatched.
        RecordingOutcome, ///< The response waits until the outcome is recorded.
        Ended,
    };

    ClaimActions sendClaim(base::TimePoint now);
    ClaimActions scheduleRetry(State state, base::TimePoint now);
    ClaimActions failDeadlineExceeded();
    ClaimActions failUnconfirmed();
    /// Appends a release if the claim may be held.
    ClaimActions withRelease(ClaimActions actions) const;
    ClaimActions onLedgerReply(const ledger::Reply &reply, base::TimePoint now);
    ClaimActions recordThenRespond(ClaimAction recordAction, ClaimAction response,
                                   base::TimePoint now);
    ClaimActions fail(int status, std::string code, std::string message, caller::Outcome outcome,
                      base::Millis retryAfter);

    ClaimedCall m_call;
    State m_state = State::Claiming;
    bool m_hasDispatched = false;
    bool m_isCallerGone = false;
    bool m_mayHoldClaim = false; ///< The log may hold a claim of this object.
    int m_retries = 0;
    int m_unconfirmedClaims = 0; ///< Claims without a definite reply.
    std::optional<ClaimAction> m_pendingResponse; ///< For the caller, once the outcome is recorded.
};

/// Log group that stores the claims of a key. Keys of the form
/// "home.<data centre>.<incarnation>.<rest>" belong to the home group of that data centre, all
/// others to the global group.
std::string groupForKey(std::string_view key);

} // namespace hyssop::entry
