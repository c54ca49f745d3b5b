#include "ClaimFlow.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace hyssop;
using namespace hyssop::entry;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr int kSeeds = 3'000;
constexpr int kSteps = 300;

/// Several flows for one key, a ledger, and a network that delays, loses and repeats commands for
/// as long as it likes.
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

    int mayHaveRun = 0; ///< Calls that went out and were not proven not to have run.
    int running = 0;
    int overlaps = 0; ///< Dispatches beside one that runs or may have run.
    int dispatches = 0;

private:
    struct Member
    {
        std::unique_ptr<ClaimFlow> flow;
        bool waitsForClaim = false;
        bool waitsForRecord = false;
        bool isRunning = false;
        std::optional<base::TimePoint> wakeAt;
    };
    struct InFlight
    {
        ledger::Command command;
        std::size_t member; ///< Whose answer it is; repeated ones answer nobody.
        bool answers;
    };

    std::size_t draw(std::size_t below) { return m_rng() % below; }

    void step()
    {
        switch (draw(8)) {
        case 0:
            return begin();
        case 1:
            return crash();
        case 2:
            return endOne();
        case 3:
        case 4:
            return wakeOne();
        default:
            return deliver();
        }
    }

    void begin()
    {
        if (m_members.size() >= 12)
            return;
        const std::size_t owner = draw(2);
        ledger::Claim claim{base::TeamId("shop"), "k", "d", m_owners[owner],
                            std::to_string(++m_attempts)};
        Member member;
        member.flow =
                std::make_unique<ClaimFlow>(ClaimedCall{claim, m_now + Millis(1 + draw(20'000))});
        m_members.push_back(std::move(member));
        const std::size_t n = m_members.size() - 1;
        perform(n, m_members[n].flow->start(m_now));
    }

    void crash()
    {
        if (draw(12) != 0)
            return;
        const ledger::Owner dead = m_owners[draw(2)];
        for (std::size_t n = 0; n < m_members.size(); ++n) {
            Member &member = m_members[n];
            if (!member.flow || member.flow->claim().owner != dead)
                continue;
            if (member.isRunning) {
                --running;
                ++mayHaveRun;
            }
            member = Member();
        }
        for (ledger::Owner &owner : m_owners) {
            if (owner == dead)
                owner.incarnation += base::Incarnation(1);
        }
        m_inFlight.push_back({ledger::RetireOwner{dead}, 0, false});
    }

    void endOne()
    {
        const std::size_t n = pick([](const Member &it) { return it.isRunning; });
        if (n == m_members.size())
            return;
        m_members[n].isRunning = false;
        --running;
        ClaimFlow &flow = *m_members[n].flow;
        caller::ErrorBody error;
        switch (draw(3)) {
        case 0:
            ++mayHaveRun;
            return perform(n, flow.onAnswered({200, "", "ok"}, m_now));
        case 1:
            ++mayHaveRun;
            error.outcome = caller::Outcome::Failed;
            return perform(n, flow.onEnded(error, m_now));
        default:
            error.outcome = caller::Outcome::NotRun;
            return perform(n, flow.onEnded(error, m_now));
        }
    }

    void wakeOne()
    {
        const std::size_t n =
                pick([this](const Member &it) { return it.wakeAt && *it.wakeAt <= m_now; });
        if (n == m_members.size())
            return;
        m_members[n].wakeAt.reset();
        perform(n, m_members[n].flow->wake(m_now));
    }

    void deliver()
    {
        if (m_inFlight.empty())
            return;
        const std::size_t at = draw(m_inFlight.size());
        const InFlight it = m_inFlight[at];
        m_inFlight.erase(m_inFlight.begin() + static_cast<std::ptrdiff_t>(at));
        const std::size_t fate = draw(6);
        const bool isLost = fate == 0;
        if (fate <= 2) // It arrives later too, or only later.
            m_inFlight.push_back({it.command, it.member, false});
        std::optional<ledger::Reply> reply;
        if (!isLost)
            reply = apply(it.command);
        if (fate == 1)
            reply.reset(); // Its answer is lost.
        if (it.answers)
            answer(it, reply);
    }

    ledger::Reply apply(const ledger::Command &command)
    {
        replog::Entry entry;
        entry.position = {replog::Term(1), replog::Index(++m_index)};
        entry.payload = ledger::encode(command, m_index);
        return m_ledger.apply(entry);
    }

    void answer(const InFlight &it, const std::optional<ledger::Reply> &reply)
    {
        Member &member = m_members[it.member];
        if (!member.flow)
            return;
        if (std::holds_alternative<ledger::Claim>(it.command)) {
            if (!member.waitsForClaim)
                return;
            member.waitsForClaim = false;
            tl::expected<ledger::Reply, ExecuteFailure> result =
                    tl::unexpected(ExecuteFailure::MayBeRecorded);
            if (reply)
                result = *reply;
            perform(it.member, member.flow->onClaim(result, m_now));
        } else if (reply) {
            perform(it.member, member.flow->onSettled(m_now));
        } else {
            m_inFlight.push_back(it); // Sent again until it is settled.
        }
    }

    void perform(std::size_t n, const ClaimActions &actions)
    {
        for (const ClaimAction &action : actions) {
            const ledger::Claim claim = m_members[n].flow->claim();
            if (std::holds_alternative<SendClaim>(action)) {
                m_members[n].waitsForClaim = true;
                m_inFlight.push_back({claim, n, true});
            } else if (std::holds_alternative<SendRelease>(action)) {
                m_inFlight.push_back(
                        {ledger::ReleaseClaim{claim.team, claim.key, claim.owner, claim.attempt}, n,
                         true});
            } else if (const auto *finish = std::get_if<SendFinish>(&action)) {
                m_inFlight.push_back({ledger::FinishClaim{claim.team, claim.key, claim.owner,
                                                          finish->answer, claim.attempt},
                                      n, true});
            } else if (const auto *wake = std::get_if<WakeAt>(&action)) {
                m_members[n].wakeAt = wake->at;
            } else if (std::holds_alternative<Dispatch>(action)) {
                ++dispatches;
                overlaps += running + mayHaveRun > 0 ? 1 : 0;
                ++running;
                m_members[n].isRunning = true;
            }
        }
    }

    template <typename Test>
    std::size_t pick(Test test)
    {
        const std::size_t first = m_members.empty() ? 0 : draw(m_members.size());
        for (std::size_t k = 0; k < m_members.size(); ++k) {
            const std::size_t n = (first + k) % m_members.size();
            if (m_members[n].flow && test(m_members[n]))
                return n;
        }
        return m_members.size();
    }

    base::Rng m_rng;
    base::TimePoint m_now = kStart;
    ledger::Ledger m_ledger;
    std::int64_t m_index = 0;
    int m_attempts = 0;
    std::array<ledger::Owner, 2> m_owners{ledger::Owner{base::HostId("a"), base::Incarnation(1)},
                                          ledger::Owner{base::HostId("b"), base::Incarnation(1)}};
    std::deque<Member> m_members;
    std::deque<InFlight> m_inFlight;
};

} // namespace

TEST_CASE("no call goes out twice, whatever is lost, repeated or late and whoever dies")
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
    // The races must not be empty ones: calls go out, and again after they did not run.
    CHECK(dispatches > kSeeds / 2);
    CHECK(redispatches > kSeeds / 20);
}
