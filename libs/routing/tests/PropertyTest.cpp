// Invariants of the whole router under arbitrary sequences of events.

#include "RouterFixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace hyssop;
using namespace hyssop::routing;
using namespace std::chrono_literals;

namespace {

constexpr auto kMaxDeadline = 20s;

/// Turns random numbers into router events and checks the resulting actions.
class EventDriver
{
public:
    explicit EventDriver(const std::string &policy)
        : m_fixture(testOptions(policy), {teamRecord("shop"), teamRecord("desk")})
    {
        for (const char *id : {"e1", "e2", "e3", "e4"})
            m_fixture.addEngine(id);
    }

    void step(std::uint32_t draw)
    {
        const std::uint32_t kind = draw % 12;
        const std::uint32_t rest = draw / 12;
        if (kind < 4)
            arrive(rest);
        else if (kind < 6)
            advanceTo(m_fixture.now + base::Millis(rest % 700));
        else if (kind < 11)
            feedAttemptEvent(kind, rest);
        else
            feedUpstreamEvent(rest);
        RC_ASSERT(m_fixture.router.stats().outstandingPromptTokens.count() >= 0);
        RC_ASSERT(m_fixture.router.stats().activeRequests == m_open.size());
    }

    void finish()
    {
        advanceTo(m_fixture.now + kMaxDeadline);
        RC_ASSERT(m_open.empty());
        const RouterStats stats = m_fixture.router.stats();
        RC_ASSERT(stats.queuedRequests == 0U);
        RC_ASSERT(stats.outstandingPromptTokens.count() == 0);
        RC_ASSERT(stats.openBodyBytes.count() == 0);
        RC_ASSERT(m_fixture.router.nextTick() == base::TimePoint::max());
        for (const PeerLoadReport &report : m_fixture.router.outstanding()) {
            RC_ASSERT(report.requests == 0);
            RC_ASSERT(report.promptTokens.count() == 0);
            RC_ASSERT(report.kvTokens.count() == 0);
        }
    }

    const std::vector<std::string> &log() const { return m_log; }

private:
    struct OpenRequest
    {
        base::TimePoint deadline;
        bool isRetrySafe = true;
        bool hasClaim = false;
        int mayHaveRun = 0; ///< Attempts that are running or may have run.
        bool hasSent = false; ///< An attempt was sent and refused.
    };

    /// Runs each tick at the time it is due and checks its actions.
    void advanceTo(base::TimePoint until)
    {
        while (m_fixture.router.nextTick() <= until) {
            m_fixture.now = std::max(m_fixture.now, m_fixture.router.nextTick());
            check(m_fixture.router.tick(m_fixture.now));
        }
        m_fixture.now = until;
    }

    void arrive(std::uint32_t draw)
    {
        constexpr std::int64_t kPrompts[] = {100, 5'000, 30'000, 90'000, 300'000, 900'000};
        RequestInfo request =
                m_fixture.request("r" + std::to_string(++m_lastRequestNumber), kPrompts[draw % 6],
                                  static_cast<records::Urgency>(draw / 6 % records::kUrgencyCount));
        request.team = base::TeamId(draw / 18 % 2 ? "shop" : "desk");
        request.isRetrySafe = draw / 36 % 2;
        request.hasIdempotencyClaim = !request.isRetrySafe && draw / 5 % 2;
        request.bodyBytes = base::Bytes(1'000);
        request.deadline = m_fixture.now + base::Millis(1 + draw / 72 % (kMaxDeadline / 1ms));
        m_open[request.id] = {request.deadline, request.isRetrySafe, request.hasIdempotencyClaim};
        check(m_fixture.arrive(request));
    }

    void feedAttemptEvent(std::uint32_t kind, std::uint32_t draw)
    {
        if (m_attempts.empty())
            return;
        auto it = m_attempts.begin();
        std::advance(it, draw % m_attempts.size());
        const base::AttemptId id = it->first;
        const std::uint32_t rest = draw / 7;
        if (kind == 6)
            feed(AttemptAccepted{id});
        else if (kind <= 8)
            feed(AttemptTokens{id, m_delivered[id] + (rest % 9 == 8), 1 + rest % 3});
        else if (kind == 9)
            feed(AttemptFinished{id});
        else
            feedFailure(id, static_cast<AttemptFault>(rest % (kAttemptFaultCount - 1)));
    }

    void feedFailure(const base::AttemptId &id, AttemptFault fault)
    {
        const base::RequestId request = m_attempts.at(id);
        const auto open = m_open.find(request);
        // Events of a cancelled attempt are ignored, so they prove nothing.
        const bool isProof =
                provesNotRun(fault) && !m_accepted.contains(id) && !m_cancelled.contains(id);
        if (open != m_open.end() && isProof && m_notRun.insert(id).second) {
            --open->second.mayHaveRun;
            open->second.hasSent |= fault == AttemptFault::Refused;
        }
        feed(AttemptFailed{id, fault, base::Millis(0)});
    }

    void feedUpstreamEvent(std::uint32_t draw)
    {
        UpstreamInfo info = RouterFixture::engine("e" + std::to_string(1 + draw % 4));
        info.isLeaving = draw / 4 % 3 == 0;
        info.incarnation = base::Incarnation(1 + draw / 12 % 2);
        if (draw / 24 % 4 == 0)
            feed(UpstreamRemoved{info.id});
        else
            feed(UpstreamUpdated{info});
    }

    void feed(const Event &event)
    {
        if (const auto *it = std::get_if<AttemptAccepted>(&event))
            m_accepted.insert(it->attempt);
        if (const auto *it = std::get_if<AttemptTokens>(&event))
            m_lastTokens = *it;
        if (std::holds_alternative<AttemptTokens>(event))
            m_accepted.insert(m_lastTokens.attempt);
        check(m_fixture.router.handle(event, m_fixture.now));
    }

    void check(const Actions &actions)
    {
        for (const Action &action : actions)
            std::visit([this](const auto &it) { on(it); }, action);
    }
    void on(const StartAttempt &it)
    {
        m_log.push_back("start " + it.attempt.text() + " " + it.upstream.text() + " "
                        + std::to_string(it.resumeOffset));
        OpenRequest &open = m_open.at(it.request);
        RC_ASSERT(it.timeRemaining.count() >= 0);
        if (it.isResume) {
            RC_ASSERT(m_accepted.contains(it.attempt));
            RC_ASSERT(it.resumeOffset == m_delivered[it.attempt]);
            return;
        }
        RC_ASSERT(open.isRetrySafe || open.mayHaveRun == 0);
        RC_ASSERT(open.isRetrySafe || open.hasClaim || !open.hasSent);
        RC_ASSERT(!m_requestsWithTokens.contains(it.request));
        ++open.mayHaveRun;
        m_attempts[it.attempt] = it.request;
    }
    void on(const CancelAttempt &it)
    {
        m_log.push_back("cancel " + it.attempt.text());
        m_cancelled.insert(it.attempt);
    }
    void on(const ForwardTokens &it)
    {
        m_requestsWithTokens.insert(it.request);
        RC_ASSERT(m_attempts.at(m_lastTokens.attempt) == it.request);
        RC_ASSERT(m_lastTokens.offset + it.skippedTokens == m_delivered[m_lastTokens.attempt]);
        m_delivered[m_lastTokens.attempt] = m_lastTokens.offset + m_lastTokens.count;
    }
    void on(const CompleteRequest &it)
    {
        m_log.push_back("complete " + it.request.text());
        RC_ASSERT(m_open.erase(it.request) == 1U);
    }
    void on(const FailRequest &it)
    {
        m_log.push_back("end " + it.request.text() + " " + std::string(endReasonName(it.reason)));
        const auto open = m_open.find(it.request);
        RC_ASSERT(open != m_open.end());
        // NotRun is reported if and only if no attempt can have run.
        RC_ASSERT((it.outcome == Outcome::NotRun) == (open->second.mayHaveRun == 0));
        RC_ASSERT(m_fixture.now <= open->second.deadline);
        m_open.erase(open);
    }
    void on(const RetryScheduled &) { }
    void on(const StreamStalled &) { }
    void on(const UpstreamEjected &) { }

    RouterFixture m_fixture;
    int m_lastRequestNumber = 0;
    std::map<base::RequestId, OpenRequest> m_open;
    std::map<base::AttemptId, base::RequestId> m_attempts;
    std::map<base::AttemptId, std::int64_t> m_delivered;
    std::set<base::AttemptId> m_accepted;
    std::set<base::AttemptId> m_cancelled;
    std::set<base::AttemptId> m_notRun; ///< Attempts proven not to have run.
    std::set<base::RequestId> m_requestsWithTokens;
    AttemptTokens m_lastTokens;
    std::vector<std::string> m_log;
};

rc::Gen<std::vector<std::uint32_t>> draws()
{
    return rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>());
}

} // namespace

TEST_CASE("under random events every request ends once, by its deadline and with a correct outcome")
{
    for (const std::string policy : {"adaptive", "round-robin", "least-outstanding"}) {
        rc::prop("policy " + policy, [&] {
            const auto steps = *rc::gen::scale(3, draws());
            EventDriver driver(policy);
            for (const std::uint32_t draw : steps)
                driver.step(draw);
            driver.finish();
        });
    }
}

TEST_CASE("replaying the same events gives the same actions")
{
    rc::prop("replay", [] {
        const auto steps = *rc::gen::scale(3, draws());
        EventDriver first("adaptive");
        EventDriver second("adaptive");
        for (const std::uint32_t draw : steps) {
            first.step(draw);
            second.step(draw);
        }
        RC_ASSERT(first.log() == second.log());
    });
}

TEST_CASE("long prompts use at most four fifths of the engines, short prompts use any")
{
    rc::prop("share", [](const std::vector<std::uint16_t> &steps) {
        RouterFixture fixture;
        for (int n = 0; n < 8; ++n)
            fixture.addEngine("e" + std::to_string(n));
        std::map<base::AttemptId, base::UpstreamId> computing;
        int last = 0;
        for (const std::uint16_t step : steps) {
            Actions actions;
            if (step % 3 < 2 || computing.empty()) {
                const std::int64_t prompt = step % 2 ? 40'000 + step : 1'000;
                actions = fixture.arrive("r" + std::to_string(++last), prompt);
            } else {
                auto it = computing.begin();
                std::advance(it, step % computing.size());
                actions = fixture.router.handle(AttemptTokens{it->first, 0, 1}, fixture.now);
                computing.erase(it);
            }
            for (const StartAttempt &start : actionsOf<StartAttempt>(actions)) {
                if (start.priority % 4 >= 2)
                    computing[start.attempt] = start.upstream;
            }
            std::set<base::UpstreamId> engines;
            for (const auto &[attempt, engine] : computing)
                engines.insert(engine);
            RC_ASSERT(engines.size() <= 6U);
        }
        const Actions actions = fixture.arrive("short", 1'000, records::Urgency::Urgent);
        RC_ASSERT(actionsOf<StartAttempt>(actions).size() == 1U);
    });
}
