#pragma once

#include "caller/Caller.h"
#include "RetryPlan.h"

#include <variant>

namespace hyssop::entry {

/// A call that may not be repeated, made with an idempotency key.
struct ClaimedCall
{
    ledger::Claim claim; ///< With an attempt that no other flow of the owner has.
    base::TimePoint deadline;
};

// Actions.

struct SendClaim
{
    base::Millis timeout{0};
};

/// Gives the claim back. Sent again until it is settled, as bounded by the receiver.
struct SendRelease
{ };

/// Records the outcome; sent again until it is settled, as bounded by the receiver.
struct SendOutcome
{
    std::optional<ledger::Answer> answer;
};

/// Calls ClaimFlow::wake() then.
struct SetTimer
{
    base::TimePoint at;
};

/// Hands the call to the router; it is the only one that may ever be handed over.
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

/// Decides what becomes of one call that may not be repeated.
///
/// The rule for at most once: the call is dispatched only after the ledger has answered Accepted to
/// a claim of this very flow. The ledger gives that answer again to the same owner and attempt
/// while the claim is held, so a claim whose answer was lost is sent again and nothing goes out
/// until it is confirmed. A flow dispatches once; it releases its claim only when the router says
/// that the call did not run, and the ledger refuses the attempt from then on, so that a copy of
/// the claim that is still on its way takes effect no more. A claim that never was confirmed is
/// released and the call ends as not run.
///
/// An answer is recorded first and given to the caller then, so that one who asks again gets the
/// same; after a bound it is given in any case. A call that may have run is failed at once and
/// recorded behind: while the claim is held nobody else dispatches.
class ClaimStateMachine
{
public:
    /// Larger answers are not kept; who asks again learns that the outcome is unknown.
    static constexpr std::size_t kMaxStoredAnswerBytes = std::size_t(256) << 10;

    explicit ClaimStateMachine(ClaimedCall call);

    ClaimActions start(base::TimePoint now);
    ClaimActions onClaimReply(const tl::expected<ledger::Reply, ExecuteFailure> &reply,
                              base::TimePoint now);
    ClaimActions onTimer(base::TimePoint now);
    /// The dispatched call was answered.
    ClaimActions onAnswered(ledger::Answer answer, base::TimePoint now);
    /// The dispatched call ended without an answer, as \a error tells the caller.
    ClaimActions onFailed(caller::ErrorBody error, base::TimePoint now);
    /// The release or the outcome was recorded, or given up.
    ClaimActions onSettled(base::TimePoint now);
    /// Before the dispatch, the call is given up; after it, it goes on so that its outcome is kept.
    ClaimActions onCallerGone(base::TimePoint now);

    bool hasDispatched() const { return m_hasDispatched; }
    /// Nothing more is to come but the settling of what was sent.
    bool hasEnded() const { return m_state == State::Ended; }
    const ledger::Claim &claim() const { return m_call.claim; }

private:
    enum class State {
        Claiming, ///< A claim is on its way.
        Unconfirmed, ///< The last claim may be recorded; it is to be sent again.
        WaitingForHolder, ///< Another flow holds the key.
        Running, ///< Dispatched.
        RecordingOutcome, ///< The answer waits for its record.
        Ended,
    };

    ClaimActions sendClaim(base::TimePoint now);
    ClaimActions scheduleRetry(State state, base::TimePoint now);
    ClaimActions failDeadlineExceeded();
    ClaimActions failUnconfirmed();
    /// Adds the release of a claim that may be held.
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
    bool m_mayHoldClaim = false; ///< A claim of this flow may be on the log.
    int m_retries = 0;
    int m_unconfirmedClaims = 0; ///< Claims without a certain answer.
    std::optional<ClaimAction> m_pendingResponse; ///< For the caller, once settled.
};

/// Group of the log that keeps the claims of a key: "home.<data centre>.<incarnation>.<rest>" goes
/// to that data centre, any other key to the global group.
std::string groupForKey(std::string_view key);

} // namespace hyssop::entry
