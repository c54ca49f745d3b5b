// Orders of operators on their way to the log, in virtual time.

#include "EvacuationOrders.h"
#include "VirtualTime.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::registry;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr Millis kTick{20};
constexpr Millis kTransit{2};
constexpr Millis kCommitTime{12};
const base::DataCentreId kNorth("north");

/// Control hosts with a log that outlives them. Host 0 leads at first.
class ControlHosts : public VirtualTime
{
public:
    ControlHosts()
        : VirtualTime(kStart)
    {
        for (int n = 0; n < 3; ++n)
            m_hosts.push_back(std::make_unique<Host>(this, n));
        for (int n = 0; n < 3; ++n)
            scheduleTick(n);
    }

    void order(int host, bool isEvacuated, std::vector<PutOutcome> *outcomes)
    {
        deliver(host, [this, host, isEvacuated, outcomes] {
            m_hosts[host]->orders.submit({kNorth, isEvacuated}, [outcomes](PutOutcome outcome) {
                outcomes->push_back(outcome);
            });
        });
    }
    void runFor(Millis time)
    {
        const base::TimePoint end = m_now + time;
        bool isOver = false;
        scheduleAt(end, [&isOver] { isOver = true; });
        while (!isOver)
            runNext();
    }
    void pause(int host) { m_hosts[host]->isPaused = true; }
    /// What arrived meanwhile is handled now, first to last.
    void resume(int host)
    {
        m_hosts[host]->isPaused = false;
        for (const Step &it : std::exchange(m_hosts[host]->backlog, {}))
            it();
    }
    void setLeader(int host) { m_leader = host; }
    void setKnowsOrders(int host, bool knowsOrders) { m_hosts[host]->knowsOrders = knowsOrders; }
    /// All hosts lose power; only the log remains.
    void restartAll()
    {
        for (int n = 0; n < 3; ++n)
            m_hosts[n] = std::make_unique<Host>(this, n);
    }
    bool isEvacuated(int host)
    {
        m_hosts[host]->orders.apply(m_ledger.evacuations());
        return m_hosts[host]->orders.state().dataCentres.contains(kNorth);
    }
    std::string answerOf(int host, const std::string &body)
    {
        std::string result;
        m_hosts[host]->orders.answer(body,
                                     [&result](std::string text) { result = std::move(text); });
        return result;
    }
    std::size_t committed() const { return m_committed; }
    /// Loses the answers of the leader from now on.
    bool losesAnswers = false;
    bool losesCommits = false; ///< Commands are lost with a leader that was replaced.

private:
    struct Host;
    class Link final : public EvacuationLink
    {
    public:
        Link(ControlHosts *hosts, int self)
            : m_hosts(hosts)
            , m_self(self)
        { }
        bool isLeader() const override { return m_hosts->m_leader == m_self; }
        std::optional<base::Endpoint> leader() const override
        {
            if (m_hosts->m_leader < 0 || isLeader())
                return std::nullopt;
            return base::Endpoint{"127.0.0.1", static_cast<std::uint16_t>(m_hosts->m_leader + 1)};
        }
        void propose(const ledger::SetEvacuation &command,
                     std::function<void(ProposeResult)> done) override
        {
            m_hosts->commit(command, std::move(done));
        }
        void ask(const base::Endpoint &to, std::string body, Millis timeout, Answered done) override
        {
            m_hosts->ask(m_self, to.port - 1, std::move(body), timeout, done);
        }
        void executeAtEarlierBuild(const ledger::SetEvacuation &command, Millis,
                                   std::function<void(PutOutcome)> done) override
        {
            m_hosts->commit(command, [done](ProposeResult) { done(PutOutcome::Accepted); });
        }
        base::TimePoint now() const override { return m_hosts->m_now; }

    private:
        ControlHosts *m_hosts;
        int m_self;
    };
    struct Host
    {
        Host(ControlHosts *hosts, int n)
            : link(hosts, n)
            , orders(&link, ++hosts->m_starts)
        { }
        Link link;
        EvacuationOrders orders;
        bool isPaused = false;
        bool knowsOrders = true;
        std::vector<Step> backlog;
    };

    void deliver(int host, Step step)
    {
        if (m_hosts[host]->isPaused)
            m_hosts[host]->backlog.push_back(std::move(step));
        else
            step();
    }
    void scheduleTick(int host)
    {
        scheduleAt(m_now + kTick, [this, host] {
            if (!m_hosts[host]->isPaused)
                m_hosts[host]->orders.tick();
            scheduleTick(host);
        });
    }
    void commit(const ledger::SetEvacuation &command, std::function<void(ProposeResult)> done)
    {
        scheduleAt(m_now + kCommitTime, [this, command, done] {
            if (losesCommits)
                return done(ProposeResult::Lost);
            replog::Entry entry;
            entry.position = {replog::Term(1),
                              replog::Index(static_cast<std::int64_t>(++m_committed))};
            entry.payload = ledger::encode(command, 0);
            m_ledger.apply(entry);
            done(ProposeResult::Committed);
        });
    }
    void ask(int from, int to, std::string body, Millis timeout,
             const EvacuationLink::Answered &done)
    {
        const auto isDone = std::make_shared<bool>(false);
        const auto finish = [this, from, isDone, done](std::optional<std::string> answer) {
            deliver(from, [isDone, done, answer = std::move(answer)] {
                if (!std::exchange(*isDone, true))
                    done(answer);
            });
        };
        scheduleAt(m_now + timeout, [finish] { finish(std::nullopt); });
        scheduleAt(m_now + kTransit, [this, to, finish, body = std::move(body)] {
            deliver(to, [this, to, finish, body] {
                const auto answer = [this, finish](std::string text) {
                    if (losesAnswers)
                        return;
                    scheduleAt(m_now + kTransit,
                               [finish, text = std::move(text)] { finish(text); });
                };
                if (m_hosts[to]->knowsOrders)
                    m_hosts[to]->orders.answer(body, answer);
                else
                    answer("");
            });
        });
    }

    std::vector<std::unique_ptr<Host>> m_hosts;
    int m_leader = 0;
    std::int64_t m_starts = 0;
    ledger::Ledger m_ledger;
    std::size_t m_committed = 0;
};

using Outcomes = std::vector<PutOutcome>;

} // namespace

TEST_CASE("an order is acknowledged by the leader and by any other control host")
{
    ControlHosts hosts;
    Outcomes outcomes;
    hosts.order(0, true, &outcomes);
    hosts.runFor(Millis(100));
    CHECK(outcomes == Outcomes{PutOutcome::Accepted});
    CHECK(hosts.isEvacuated(0));
    hosts.order(2, false, &outcomes);
    hosts.runFor(Millis(100));
    CHECK(outcomes == Outcomes{PutOutcome::Accepted, PutOutcome::Accepted});
    CHECK_FALSE(hosts.isEvacuated(1));
}

TEST_CASE("an order that is sent again is acknowledged again")
{
    ControlHosts hosts;
    Outcomes outcomes;
    for (int n = 0; n < 4; ++n)
        hosts.order(n % 3, true, &outcomes);
    hosts.runFor(Millis(200));
    CHECK(outcomes == Outcomes(4, PutOutcome::Accepted));
    CHECK(hosts.isEvacuated(1));
}

// The operator got no response, ended the evacuation at another host, and the copy would begin it
// anew.
TEST_CASE("a paused control host does not carry out an order that it read too late")
{
    ControlHosts hosts;
    Outcomes late;
    Outcomes outcomes;
    hosts.runFor(Millis(100));
    hosts.pause(1);
    hosts.order(1, true, &late);
    hosts.runFor(Millis(1'100));
    hosts.order(0, false, &outcomes);
    hosts.runFor(Millis(200));
    hosts.resume(1);
    hosts.runFor(Millis(2'000));
    CHECK(outcomes == Outcomes{PutOutcome::Accepted});
    CHECK(late == Outcomes{PutOutcome::Unavailable});
    CHECK_FALSE(hosts.isEvacuated(0));
}

TEST_CASE("a paused leader does not carry out an order that reached it too late")
{
    const Millis pausedAfter = GENERATE(Millis(1), Millis(5));
    CAPTURE(pausedAfter.count());
    ControlHosts hosts;
    Outcomes late;
    Outcomes outcomes;
    hosts.runFor(Millis(100));
    hosts.order(1, true, &late);
    hosts.runFor(pausedAfter); // Before it is asked for the time, or before the order arrives.
    hosts.pause(0);
    hosts.runFor(Millis(1'200));
    hosts.setLeader(2);
    hosts.order(2, false, &outcomes);
    hosts.runFor(Millis(100));
    hosts.setLeader(0); // Even if it leads again.
    hosts.resume(0);
    hosts.runFor(Millis(2'000));
    CHECK(outcomes == Outcomes{PutOutcome::Accepted});
    REQUIRE(late.size() == 1);
    CHECK(late.front() != PutOutcome::Accepted);
    CHECK(hosts.committed() == 1);
    CHECK_FALSE(hosts.isEvacuated(0));
}

TEST_CASE("an order waits for a leader for a second and is then rejected")
{
    ControlHosts hosts;
    Outcomes outcomes;
    hosts.setLeader(-1);
    hosts.order(1, true, &outcomes);
    hosts.runFor(Millis(600));
    hosts.setLeader(2);
    hosts.runFor(Millis(100));
    CHECK(outcomes == Outcomes{PutOutcome::Accepted});
    hosts.setLeader(-1);
    hosts.order(1, false, &outcomes);
    hosts.runFor(Millis(1'100));
    CHECK(outcomes.back() == PutOutcome::Unavailable);
    hosts.setLeader(2);
    hosts.runFor(Millis(1'000));
    CHECK(hosts.isEvacuated(0));
}

TEST_CASE("a leader that is lost half-way leaves an order without a clear result, not rejected")
{
    ControlHosts hosts;
    Outcomes outcomes;
    hosts.losesCommits = true;
    hosts.order(0, true, &outcomes);
    hosts.order(1, true, &outcomes);
    hosts.runFor(Millis(100));
    CHECK(outcomes == Outcomes(2, PutOutcome::Unknown));
    hosts.losesCommits = false;
    hosts.setLeader(2);
    hosts.order(1, true, &outcomes);
    hosts.runFor(Millis(100));
    CHECK(outcomes.back() == PutOutcome::Accepted);
}

TEST_CASE("an order whose acknowledgement is lost between control hosts may be sent again")
{
    ControlHosts hosts;
    Outcomes outcomes;
    hosts.order(1, true, &outcomes);
    hosts.runFor(Millis(5));
    hosts.losesAnswers = true;
    hosts.runFor(Millis(2'000));
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes.front() != PutOutcome::Accepted);
    hosts.losesAnswers = false;
    hosts.order(2, true, &outcomes);
    hosts.runFor(Millis(100));
    CHECK(outcomes.back() == PutOutcome::Accepted);
    CHECK(hosts.isEvacuated(0));
}

TEST_CASE("an acknowledged evacuation holds after all hosts have lost power")
{
    ControlHosts hosts;
    Outcomes outcomes;
    hosts.order(2, true, &outcomes);
    hosts.runFor(Millis(100));
    REQUIRE(outcomes == Outcomes{PutOutcome::Accepted});
    hosts.restartAll();
    for (int n = 0; n < 3; ++n)
        CHECK(hosts.isEvacuated(n));
}

TEST_CASE("a leader of an earlier build takes orders too")
{
    ControlHosts hosts;
    Outcomes outcomes;
    hosts.setKnowsOrders(0, false);
    hosts.order(1, true, &outcomes);
    hosts.runFor(Millis(100));
    CHECK(outcomes == Outcomes{PutOutcome::Accepted});
    CHECK(hosts.isEvacuated(2));
}

TEST_CASE("bytes that are no message about orders change nothing")
{
    ControlHosts hosts;
    for (const std::string body : {"x", "\x80", "\xf6", "\x84\x60\x00\x60\xf5"})
        CHECK(hosts.answerOf(0, body) == "refused");
    hosts.runFor(Millis(100));
    CHECK(hosts.committed() == 0);
}
