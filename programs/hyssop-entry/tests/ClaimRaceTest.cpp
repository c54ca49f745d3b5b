#include "ClaimStateMachine.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace hyssop;
using namespace hyssop::entry;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr int kSeeds = 3'000;
constexpr int kSteps = 300;

/// Simulates several calls with one key, a ledger, and a network that delays, loses and duplicates
/// commands without limit.
class Race
{
public:
    explicit Race(std::uint64_t seed)
        : m_rng(seed)
    { }

    void run()
    {
        for (int n = 0; n < kSteps; ++n) {
            m_now += Millis(1 + draw(200));
            step();
        }
    }

    int mayHaveRun = 0; ///< Dispatched calls that were not proven not to have run.
    int running = 0;
    int overlaps = 0; ///< Dispatches while another call runs or may have run.
    int dispatches = 0;

private:
    struct Call
    {
        std::unique_ptr<ClaimStateMachine> stateMachine;
        bool waitsForClaim = false;
        bool waitsForRecord = false;
        bool isRunning = false;
        std::optional<base::TimePoint> timerAt;
    };
    struct InFlight
    {
        ledger::Command command;
        std::size_t call; ///< Receiver of the reply, unless the command is a duplicate.
        bool hasReceiver;
    };

    std::size_t draw(std::size_t below) { return m_rng() % below; }

    void step()
    {
        switch (draw(8)) {
        case 0:
            return startCall();
        case 1:
            return crashOwner();
        case 2:
            return endCall();
        case 3:
        case 4:
            return fireTimer();
        default:
            return deliver();
        }
    }

    void startCall()
    {
        if (m_calls.size() >= 12)
            return;
        const std::size_t owner = draw(2);
        ledger::Claim claim{base::TeamId("shop"), "k", "d", m_owners[owner],
                            std::to_string(++m_attempts)};
        Call call;
        call.stateMachine = std::make_unique<ClaimStateMachine>(
                ClaimedCall{claim, m_now + Millis(1 + draw(20'000))});
        m_calls.push_back(std::move(call));
        const std::size_t n = m_calls.size() - 1;
        perform(n, m_calls[n].stateMachine->start(m_now));
    }

    void crashOwner()
    {
        if (draw(12) != 0)
            return;
        const ledger::Owner dead = m_owners[draw(2)];
        for (std::size_t n = 0; n < m_calls.size(); ++n) {
            Call &call = m_calls[n];
            if (!call.stateMachine || call.stateMachine->claim().owner != dead)
                continue;
            if (call.isRunning) {
                --running;
                ++mayHaveRun;
            }
            call = Call();
        }
        for (ledger::Owner &owner : m_owners) {
            if (owner == dead)
                owner.incarnation += base::Incarnation(1);
        }
        m_inFlight.push_back({ledger::RetireOwner{dead}, 0, false});
    }

    void endCall()
    {
        const std::size_t n = pick([](const Call &it) { return it.isRunning; });
        if (n == m_calls.size())
            return;
        m_calls[n].isRunning = false;
        --running;
        ClaimStateMachine &stateMachine = *m_calls[n].stateMachine;
        caller::ErrorBody error;
        switch (draw(3)) {
        case 0:
            ++mayHaveRun;
            return perform(n, stateMachine.onAnswered({200, "", "ok"}, m_now));
        case 1:
            ++mayHaveRun;
            error.outcome = caller::Outcome::Failed;
            return perform(n, stateMachine.onFailed(error, m_now));
        default:
            error.outcome = caller::Outcome::NotRun;
            return perform(n, stateMachine.onFailed(error, m_now));
        }
    }

    void fireTimer()
    {
        const std::size_t n =
                pick([this](const Call &it) { return it.timerAt && *it.timerAt <= m_now; });
        if (n == m_calls.size())
            return;
        m_calls[n].timerAt.reset();
        perform(n, m_calls[n].stateMachine->onTimer(m_now));
    }

    void deliver()
    {
        if (m_inFlight.empty())
            return;
        const std::size_t at = draw(m_inFlight.size());
        const InFlight it = m_inFlight[at];
        m_inFlight.erase(m_inFlight.begin() + static_cast<std::ptrdiff_t>(at));
        const std::size_t delivery = draw(6);
        const bool isLost = delivery == 0;
        if (delivery <= 2) // A copy arrives later, or the command itself does.
            m_inFlight.push_back({it.command, it.call, false});
        std::optional<ledger::Reply> reply;
        if (!isLost)
            reply = apply(it.command);
        if (delivery == 1)
            reply.reset(); // The reply is lost.
        if (it.hasReceiver)
            deliverReply(it, reply);
    }

    ledger::Reply apply(const ledger::Command &command)
    {
        replog::Entry entry;
        entry.position = {replog::Term(1), replog::Index(++m_index)};
        entry.payload = ledger::encode(command, m_index);
        return m_ledger.apply(entry);
    }

    void deliverReply(const InFlight &it, const std::optional<ledger::Reply> &reply)
    {
        Call &call = m_calls[it.call];
        if (!call.stateMachine)
            return;
        if (std::holds_alternative<ledger::Claim>(it.command)) {
            if (!call.waitsForClaim)
                return;
            call.waitsForClaim = false;
            tl::expected<ledger::Reply, ExecuteFailure> result =
                    tl::unexpected(ExecuteFailure::MayBeRecorded);
            if (reply)
                result = *reply;
            perform(it.call, call.stateMachine->onClaimReply(result, m_now));
        } else if (reply) {
            perform(it.call, call.stateMachine->onSettled(m_now));
        } else {
            m_inFlight.push_back(it); // Sent again until it is recorded.
        }
    }

    void perform(std::size_t n, const ClaimActions &actions)
    {
        for (const ClaimAction &action : actions) {
            const ledger::Claim claim = m_calls[n].stateMachine->claim();
            if (std::holds_alternative<SendClaim>(action)) {
                m_calls[n].waitsForClaim = true;
                m_inFlight.push_back({claim, n, true});
            } else if (std::holds_alternative<SendRelease>(action)) {
                m_inFlight.push_back(
                        {ledger::ReleaseClaim{claim.team, claim.key, claim.owner, claim.attemptId},
                         n, true});
            } else if (const auto *finish = std::get_if<SendOutcome>(&action)) {
                m_inFlight.push_back({ledger::FinishClaim{claim.team, claim.key, claim.owner,
                                                          finish->answer, claim.attemptId},
                                      n, true});
            } else if (const auto *setTimer = std::get_if<SetTimer>(&action)) {
                m_calls[n].timerAt = setTimer->at;
            } else if (std::holds_alternative<Dispatch>(action)) {
                ++dispatches;
                overlaps += running + mayHaveRun > 0 ? 1 : 0;
                ++running;
                m_calls[n].isRunning = true;
            }
        }
    }

    template <typename Test>
    std::size_t pick(Test test)
    {
        const std::size_t first = m_calls.empty() ? 0 : draw(m_calls.size());
        for (std::size_t k = 0; k < m_calls.size(); ++k) {
            const std::size_t n = (first + k) % m_calls.size();
            if (m_calls[n].stateMachine && test(m_calls[n]))
                return n;
        }
        return m_calls.size();
    }

    base::Rng m_rng;
    base::TimePoint m_now = kStart;
    ledger::Ledger m_ledger;
    std::int64_t m_index = 0;
    int m_attempts = 0;
    std::array<ledger::Owner, 2> m_owners{ledger::Owner{base::HostId("a"), base::Incarnation(1)},
                                          ledger::Owner{base::HostId("b"), base::Incarnation(1)}};
    std::deque<Call> m_calls;
    std::deque<InFlight> m_inFlight;
};

} // namespace

TEST_CASE(
        "a call runs at most once despite lost, duplicated and delayed commands and crashed owners")
{
    int dispatches = 0;
    int redispatches = 0;
    for (int seed = 1; seed <= kSeeds; ++seed) {
        INFO("seed " << seed);
        Race race(static_cast<std::uint64_t>(seed));
        race.run();
        REQUIRE(race.overlaps == 0);
        REQUIRE(race.mayHaveRun <= 1);
        dispatches += race.dispatches;
        redispatches += race.dispatches > 1 ? 1 : 0;
    }
    // The runs must cover enough cases: calls are dispatched, and again after they did not run.
    CHECK(dispatches > kSeeds / 2);
    CHECK(redispatches > kSeeds / 20);
}
