// Whatever happens to leases and orders, no engine ends in the state of an older holder.

#include "Rig.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace hyssop;
using namespace hyssop::orders;
using namespace std::chrono_literals;

namespace {

/// Leases as the log grants them.
struct LogLease
{
    int owner = -1;
    base::TimePoint until;
    std::int64_t fencing = 0;

    std::optional<std::int64_t> take(int host, base::TimePoint now)
    {
        if (now < until && owner != host)
            return std::nullopt;
        if (now >= until || owner != host)
            ++fencing;
        owner = host;
        until = now + kLeaseDuration;
        return fencing;
    }
};

/// One host that may give orders. It may stand still at any moment, also between its decision and
/// the moment that its order leaves.
struct OrderHost
{
    OrderHost(int n, base::TimePoint now, std::shared_ptr<const records::Catalogue> catalogue)
        : number(n)
        , lease(static_cast<std::uint64_t>(n), now)
        , planner(kDataCentre, {8, 6'000}, static_cast<std::uint64_t>(n))
    {
        planner.setCatalogue(std::move(catalogue));
    }

    int number;
    OrderLease lease;
    OrderPlanner planner;
    base::TimePoint frozenUntil;
    base::TimePoint cutOffUntil; ///< From the log.
    /// Answer of the log that is under way, and when it comes.
    std::optional<std::int64_t> answer;
    base::TimePoint answered;
    bool isAnswerLost = false;
};

struct InFlight
{
    OrderHost *from;
    GiveOrder order;
    base::TimePoint leaves; ///< Written to the connection; not before that moment's check.
    base::TimePoint arrives;
};

class Fleet
{
public:
    explicit Fleet(bool checksFencing)
    {
        for (int n = 0; n < 3; ++n)
            hosts.emplace_back(std::make_unique<OrderHost>(n, m_now, opinion(n, 0)));
        engines = {modelEngine("e1", "x", checksFencing), modelEngine("e2", "x", checksFencing)};
    }

    void step(std::uint32_t draw)
    {
        m_rng.seed(draw);
        m_now += base::Millis(upTo(200));
        deliver();
        OrderHost &host = *hosts[static_cast<std::size_t>(upTo(2))];
        if (isOneIn(60))
            host.frozenUntil = m_now + base::Millis(upTo(24'000));
        if (isOneIn(60))
            host.cutOffUntil = m_now + base::Millis(upTo(24'000));
        if (isOneIn(4))
            host.planner.setCatalogue(opinion(host.number, ++m_version));
        if (host.frozenUntil <= m_now)
            act(host);
        for (ModelEngine &engine : engines) {
            if (isOneIn(3))
                engine.finishLoad();
        }
    }
    /// Lets one host alone go on for long enough, with no more disturbance.
    void settle(OrderHost &last)
    {
        m_isQuiet = true;
        last.frozenUntil = {};
        last.cutOffUntil = {};
        for (int i = 0; i < 600; ++i) {
            m_now += 100ms;
            deliver();
            act(last);
            for (ModelEngine &engine : engines)
                engine.finishLoad();
        }
    }

    std::vector<std::unique_ptr<OrderHost>> hosts;
    std::vector<ModelEngine> engines;
    /// Orders taken from a holder older than the newest that had ordered there.
    int overridden = 0;
    int holders = 0; ///< Whose orders came, counted once for each grant.

private:
    std::int64_t upTo(std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(0, most)(m_rng);
    }
    bool isOneIn(std::int64_t n) { return !m_isQuiet && upTo(n - 1) == 0; }
    /// Every host has another opinion, so that whose order stands can be seen.
    static std::shared_ptr<const records::Catalogue> opinion(int host, int version)
    {
        return catalogueOf({deploymentRecord("d", {{"model", "m" + std::to_string(host)},
                                                   {"modelVersion", std::to_string(version)},
                                                   {"replicas", 2}})});
    }
    void act(OrderHost &host)
    {
        askLog(host);
        std::vector<Engine> announced;
        for (const ModelEngine &it : engines)
            announced.push_back(it.engine);
        host.planner.setEngines(announced, m_now);
        for (const Action &action : host.planner.next(host.lease.held(m_now), m_now))
            take(host, action);
    }
    void askLog(OrderHost &host)
    {
        if (host.lease.isDue(true, m_now)) {
            host.lease.asked(m_now);
            const bool isCutOff = host.cutOffUntil > m_now;
            host.answer = isCutOff ? std::nullopt : m_log.take(host.number, m_now);
            host.isAnswerLost = isCutOff || isOneIn(10);
            host.answered = m_now + base::Millis(isOneIn(2) ? upTo(2'500) : 0);
        }
        if (!host.lease.isAsking() || host.answered > m_now)
            return;
        if (host.isAnswerLost)
            host.lease.failed();
        else if (host.answer)
            host.lease.granted(*host.answer, m_now);
        else
            host.lease.refused();
    }
    void take(OrderHost &host, const Action &action)
    {
        if (const auto *read = std::get_if<ReadState>(&action))
            host.planner.readDone(read->engine, engine(read->engine).state(), m_now);
        else if (const auto *order = std::get_if<GiveOrder>(&action))
            send(host, *order);
    }
    /// The host may stand still before it writes, and the network may take the whole limit.
    void send(OrderHost &host, const GiveOrder &order)
    {
        const bool isInTrouble = host.cutOffUntil > m_now || isOneIn(4);
        base::TimePoint leaves = m_now;
        if (isOneIn(10))
            leaves += base::Millis(upTo(20'000));
        else if (isInTrouble)
            leaves = order.before - 1ms;
        const base::Millis way = isInTrouble ? kOrderLimit - 1ms : base::Millis(0);
        m_inFlight.push_back({&host, order, leaves, leaves + way});
    }
    void deliver()
    {
        std::vector<InFlight> waiting;
        std::swap(waiting, m_inFlight);
        for (const InFlight &it : waiting) {
            if (it.leaves >= it.order.before)
                it.from->planner.orderDone(it.order.engine, OrderResult::Failed, m_now);
            else if (it.arrives > m_now)
                m_inFlight.push_back(it);
            else
                arrive(it);
        }
    }
    void arrive(const InFlight &it)
    {
        ModelEngine &target = engine(it.order.engine);
        const std::int64_t newest = m_newest[it.order.engine];
        const OrderResult result = target.take(it.order);
        if (result == OrderResult::Accepted && it.order.fencing > newest)
            ++holders;
        if (result == OrderResult::Accepted && it.order.fencing < newest)
            ++overridden;
        m_newest[it.order.engine] = std::max(newest, it.order.fencing);
        if (result == OrderResult::OldFencing)
            it.from->lease.stepBack();
        it.from->planner.orderDone(it.order.engine, result, m_now);
    }
    ModelEngine &engine(const base::UpstreamId &id)
    {
        return engines[0].engine.id == id ? engines[0] : engines[1];
    }

    base::TimePoint m_now{1h};
    base::Rng m_rng;
    bool m_isQuiet = false;
    int m_version = 0;
    LogLease m_log;
    std::vector<InFlight> m_inFlight;
    std::map<base::UpstreamId, std::int64_t> m_newest;
};

void checkFleet(bool checksFencing, const std::vector<std::uint32_t> &draws)
{
    Fleet fleet(checksFencing);
    for (const std::uint32_t draw : draws)
        fleet.step(draw);
    RC_ASSERT(fleet.overridden == 0);
    RC_CLASSIFY(fleet.holders > 2, "the lease changed hands");
    OrderHost &last = *fleet.hosts[draws.back() % 3];
    fleet.settle(last);
    RC_ASSERT(fleet.overridden == 0);
    for (const ModelEngine &engine : fleet.engines) {
        RC_ASSERT(engine.desired.model == "m" + std::to_string(last.number));
        RC_ASSERT(engine.loaded == engine.desired);
    }
}

/// Long enough for several changes of the lease; the draws use their whole range.
rc::Gen<std::vector<std::uint32_t>> drawLists()
{
    const auto draw = rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
    return rc::gen::container<std::vector<std::uint32_t>>(2'000, draw);
}

} // namespace

TEST_CASE("engines that check numbers never go back to an older holder's order")
{
    rc::prop("under any interleaving", [] { checkFleet(true, *drawLists()); });
}

TEST_CASE("engines that ignore numbers never go back to an older holder's order")
{
    rc::prop("under any interleaving", [] { checkFleet(false, *drawLists()); });
}
