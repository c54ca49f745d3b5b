// No engine may end in the state of a former lease holder, however hosts pause, requests for the
// lease are delayed or lost, and orders are delayed.

#include "TestFixtures.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace hyssop;
using namespace hyssop::orders;
using namespace std::chrono_literals;

namespace {

/// Lease as the log grants it.
struct LogLease
{
    int owner = -1;
    base::TimePoint expiresAt;
    std::int64_t fencing = 0;

    std::optional<std::int64_t> take(int host, base::TimePoint now)
    {
        if (now < expiresAt && owner != host)
            return std::nullopt;
        if (now >= expiresAt || owner != host)
            ++fencing;
        owner = host;
        expiresAt = now + kLeaseDuration;
        return fencing;
    }
};

/// Host that may send orders. It may pause at any time, also between deciding on an order and
/// sending it.
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
    base::TimePoint pausedUntil;
    base::TimePoint logUnreachableUntil;
    /// Reply of the log that is in transit, and when it arrives.
    std::optional<std::int64_t> pendingReply;
    base::TimePoint replyAt;
    bool isReplyLost = false;
};

struct InFlight
{
    OrderHost *from;
    SendOrder order;
    base::TimePoint
            sentAt; ///< When it is written; SendOrder::sendDeadline is checked at this time.
    base::TimePoint arrivesAt;
};

class OrderSimulation
{
public:
    explicit OrderSimulation(bool checksFencing)
    {
        for (int n = 0; n < 3; ++n)
            hosts.emplace_back(std::make_unique<OrderHost>(n, m_now, conflictingCatalogue(n, 0)));
        engines = {makeFakeEngine("e1", "x", checksFencing),
                   makeFakeEngine("e2", "x", checksFencing)};
    }

    void step(std::uint32_t draw)
    {
        m_rng.seed(draw);
        m_now += base::Millis(drawUpTo(200));
        deliverDueOrders();
        OrderHost &host = *hosts[static_cast<std::size_t>(drawUpTo(2))];
        if (drawOneIn(60))
            host.pausedUntil = m_now + base::Millis(drawUpTo(24'000));
        if (drawOneIn(60))
            host.logUnreachableUntil = m_now + base::Millis(drawUpTo(24'000));
        if (drawOneIn(4))
            host.planner.setCatalogue(conflictingCatalogue(host.number, ++m_version));
        if (host.pausedUntil <= m_now)
            runHost(host);
        for (FakeEngine &engine : engines) {
            if (drawOneIn(3))
                engine.finishLoad();
        }
    }
    /// Runs only one host, without faults, for long enough to converge.
    void runUndisturbed(OrderHost &last)
    {
        m_isUndisturbed = true;
        last.pausedUntil = {};
        last.logUnreachableUntil = {};
        for (int i = 0; i < 600; ++i) {
            m_now += 100ms;
            deliverDueOrders();
            runHost(last);
            for (FakeEngine &engine : engines)
                engine.finishLoad();
        }
    }

    std::vector<std::unique_ptr<OrderHost>> hosts;
    std::vector<FakeEngine> engines;
    /// Orders that an engine accepted after one with a higher fencing token.
    int staleOrdersAccepted = 0;
    int newHolderOrders = 0; ///< Orders accepted with a higher token than before on that engine.

private:
    std::int64_t drawUpTo(std::int64_t max)
    {
        return std::uniform_int_distribution<std::int64_t>(0, max)(m_rng);
    }
    bool drawOneIn(std::int64_t n) { return !m_isUndisturbed && drawUpTo(n - 1) == 0; }
    /// Every host has different records, so that the origin of an engine's state is visible.
    static std::shared_ptr<const records::Catalogue> conflictingCatalogue(int host, int version)
    {
        return catalogueOf({deploymentRecord("d", {{"model", "m" + std::to_string(host)},
                                                   {"modelVersion", std::to_string(version)},
                                                   {"replicas", 2}})});
    }
    void runHost(OrderHost &host)
    {
        requestLease(host);
        std::vector<Engine> announcedEngines;
        for (const FakeEngine &it : engines)
            announcedEngines.push_back(it.engine);
        host.planner.setEngines(announcedEngines, m_now);
        for (const OrderAction &action : host.planner.nextActions(host.lease.grantAt(m_now), m_now))
            handleAction(host, action);
    }
    void requestLease(OrderHost &host)
    {
        if (host.lease.isRequestDue(true, m_now)) {
            host.lease.onRequestSent(m_now);
            const bool isCutOff = host.logUnreachableUntil > m_now;
            host.pendingReply = isCutOff ? std::nullopt : m_log.take(host.number, m_now);
            host.isReplyLost = isCutOff || drawOneIn(10);
            host.replyAt = m_now + base::Millis(drawOneIn(2) ? drawUpTo(2'500) : 0);
        }
        if (!host.lease.isRequestPending() || host.replyAt > m_now)
            return;
        if (host.isReplyLost)
            host.lease.onRequestFailed();
        else if (host.pendingReply)
            host.lease.onGranted(*host.pendingReply, m_now);
        else
            host.lease.onRefused();
    }
    void handleAction(OrderHost &host, const OrderAction &action)
    {
        if (const auto *read = std::get_if<ReadState>(&action))
            host.planner.onReadDone(read->engine, engine(read->engine).state(), m_now);
        else if (const auto *order = std::get_if<SendOrder>(&action))
            send(host, *order);
    }
    /// The host may pause before it writes, and the network may delay an order up to its limit.
    void send(OrderHost &host, const SendOrder &order)
    {
        const bool isDelayed = host.logUnreachableUntil > m_now || drawOneIn(4);
        base::TimePoint sentAt = m_now;
        if (drawOneIn(10))
            sentAt += base::Millis(drawUpTo(20'000));
        else if (isDelayed)
            sentAt = order.sendDeadline - 1ms;
        const base::Millis networkDelay = isDelayed ? kOrderTimeout - 1ms : base::Millis(0);
        m_inFlight.push_back({&host, order, sentAt, sentAt + networkDelay});
    }
    void deliverDueOrders()
    {
        std::vector<InFlight> queued;
        std::swap(queued, m_inFlight);
        for (const InFlight &it : queued) {
            if (it.sentAt >= it.order.sendDeadline)
                it.from->planner.onOrderDone(it.order.engine, OrderResult::Failed, m_now);
            else if (it.arrivesAt > m_now)
                m_inFlight.push_back(it);
            else
                deliverOrder(it);
        }
    }
    void deliverOrder(const InFlight &it)
    {
        FakeEngine &target = engine(it.order.engine);
        const std::int64_t newest = m_newestFencing[it.order.engine];
        const OrderResult result = target.receiveOrder(it.order);
        if (result == OrderResult::Accepted && it.order.fencingToken > newest)
            ++newHolderOrders;
        if (result == OrderResult::Accepted && it.order.fencingToken < newest)
            ++staleOrdersAccepted;
        m_newestFencing[it.order.engine] = std::max(newest, it.order.fencingToken);
        if (result == OrderResult::OldFencing)
            it.from->lease.invalidate();
        it.from->planner.onOrderDone(it.order.engine, result, m_now);
    }
    FakeEngine &engine(const base::UpstreamId &id)
    {
        return engines[0].engine.id == id ? engines[0] : engines[1];
    }

    base::TimePoint m_now{1h};
    base::Rng m_rng;
    bool m_isUndisturbed = false;
    int m_version = 0;
    LogLease m_log;
    std::vector<InFlight> m_inFlight;
    std::map<base::UpstreamId, std::int64_t> m_newestFencing;
};

void checkNoStaleOrder(bool checksFencing, const std::vector<std::uint32_t> &draws)
{
    OrderSimulation simulation(checksFencing);
    for (const std::uint32_t draw : draws)
        simulation.step(draw);
    RC_ASSERT(simulation.staleOrdersAccepted == 0);
    RC_CLASSIFY(simulation.newHolderOrders > 2, "the lease changed hands");
    OrderHost &last = *simulation.hosts[draws.back() % 3];
    simulation.runUndisturbed(last);
    RC_ASSERT(simulation.staleOrdersAccepted == 0);
    for (const FakeEngine &engine : simulation.engines) {
        RC_ASSERT(engine.desired.model == "m" + std::to_string(last.number));
        RC_ASSERT(engine.loaded == engine.desired);
    }
}

/// Enough steps for several lease changes. The draws use their whole range.
rc::Gen<std::vector<std::uint32_t>> genDraws()
{
    const auto draw = rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
    return rc::gen::container<std::vector<std::uint32_t>>(2'000, draw);
}

} // namespace

TEST_CASE("engines that check fencing never return to a former holder's order")
{
    rc::prop("under any interleaving", [] { checkNoStaleOrder(true, *genDraws()); });
}

TEST_CASE("engines that ignore fencing never return to a former holder's order")
{
    rc::prop("under any interleaving", [] { checkNoStaleOrder(false, *genDraws()); });
}
