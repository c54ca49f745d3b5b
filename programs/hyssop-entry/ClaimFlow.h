#pragma once

#include "caller/Caller.h"
#include "ExecutePlan.h"

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
    base::Millis limit{0};
};

/// Gives the claim back. Sent again until it is settled, as bounded by the receiver.
struct SendRelease
{ };

/// Records the outcome; sent again until it is settled, as bounded by the receiver.
struct SendFinish
{
    std::optional<ledger::Answer> answer;
};

/// Calls ClaimFlow::wake() then.
struct WakeAt
{
    base::TimePoint at;
};

/// Hands the call to the router; it is the only one that may ever be handed over.
struct Dispatch
{ };

struct AnswerCaller
{
    ledger::Answer answer;
};

struct FailCaller
{
    caller::ErrorBody error;
};

using ClaimAction = std::variant<SendClaim, SendRelease, SendFinish, WakeAt, Dispatch, AnswerCaller,
                                 FailCaller>;
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
class ClaimFlow
{
public:
    /// Larger answers are not kept; who asks again learns that the outcome is unknown.
    static constexpr std::size_t kMaxKeptAnswer = std::size_t(256) << 10;

    explicit ClaimFlow(ClaimedCall call);

    ClaimActions start(base::TimePoint now);
    ClaimActions onClaim(const tl::expected<ledger::Reply, ExecuteFailure> &reply,
                         base::TimePoint now);
    ClaimActions wake(base::TimePoint now);
    /// The dispatched call was answered.
    ClaimActions onAnswered(ledger::Answer answer, base::TimePoint now);
    /// The dispatched call ended without an answer, as \a error tells the caller.
    ClaimActions onEnded(caller::ErrorBody error, base::TimePoint now);
    /// The release or the outcome was recorded, or given up.
    ClaimActions onSettled(base::TimePoint now);
    /// Before the dispatch, the call is given up; after it, it goes on so that its outcome is kept.
    ClaimActions onCallerGone(base::TimePoint now);

    bool hasDispatched() const { return m_hasDispatched; }
    /// Nothing more is to come but the settling of what was sent.
    bool hasAnswered() const { return m_state == State::Ended; }
    const ledger::Claim &claim() const { return m_call.claim; }

private:
    enum class State {
        Claiming, ///< A claim is on its way.
        Unconfirmed, ///< The last claim may be recorded; it is to be sent again.
        WaitingForOther, ///< Another flow holds the key.
        Running, ///< Dispatched.
        Settling, ///< The answer waits for its record.
        Ended,
    };

    ClaimActions send(base::TimePoint now);
    ClaimActions pause(State state, base::TimePoint now);
    ClaimActions outOfTime();
    ClaimActions giveUp();
    /// Adds the release of a claim that may be held.
    ClaimActions released(ClaimActions actions) const;
    ClaimActions onReply(const ledger::Reply &reply, base::TimePoint now);
    ClaimActions settle(ClaimAction record, ClaimAction last, base::TimePoint now);
    ClaimActions fail(int status, std::string code, std::string message, caller::Outcome outcome,
                      base::Millis retryAfter);

    ClaimedCall m_call;
    State m_state = State::Claiming;
    bool m_hasDispatched = false;
    bool m_isCallerGone = false;
    bool m_mayBeHeld = false; ///< A claim of this flow may be on the log.
    int m_polls = 0;
    int m_unconfirmed = 0; ///< Claims without a certain answer.
    std::optional<ClaimAction> m_last; ///< For the caller, once settled.
};

/// Group of the log that keeps the claims of a key: "home.<data centre>.<incarnation>.<rest>" goes
/// to that data centre, any other key to the global group.
std::string groupOfKey(std::string_view key);

} // namespace hyssop::entry
