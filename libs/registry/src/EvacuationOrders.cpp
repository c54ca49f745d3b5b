#include "EvacuationOrders.h"

#include <nlohmann/json.hpp>

namespace hyssop::registry {

namespace {

/// Operators send an order elsewhere after a second without a response.
constexpr base::Millis kMaxHold{1'000};
/// A longer time between two ticks is a pause of the process.
constexpr base::Millis kPauseThreshold{200};
/// Messages that arrived during a pause are read within this time after it.
constexpr base::Millis kBacklogTime{500};
/// Round trips between control hosts take milliseconds.
constexpr base::Millis kStampTimeout{300};
/// A commit takes a round trip and two disk syncs; the operator waits no longer than a second.
constexpr base::Millis kCommitTimeout{1'500};

constexpr auto kAccepted = "accepted";
constexpr auto kRefused = "refused"; ///< Nothing was recorded.
constexpr auto kUnknown = "unknown"; ///< It may still be committed.

/// An order on its way to the leader.
struct StampedOrder
{
    std::int64_t startId = 0; ///< Of the leader that made the stamp.
    std::int64_t stampMs = 0; ///< Time of the leader's clock.
    base::Millis heldBefore{0}; ///< By the sender, when it sent the order.
    ledger::SetEvacuation command;
};

std::optional<StampedOrder> decodeOrder(const std::string &body)
{
    const auto parsed = base::parseCbor(body);
    if (!parsed)
        return std::nullopt;
    try {
        const auto stamp = base::parseCbor(parsed->at(0).get<std::string>());
        if (!stamp)
            return std::nullopt;
        return StampedOrder{stamp->at(0),
                            stamp->at(1),
                            base::Millis(parsed->at(1)),
                            {base::DataCentreId(parsed->at(2)), parsed->at(3)}};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::int64_t millisOf(base::TimePoint time)
{
    return std::chrono::floor<base::Millis>(time.time_since_epoch()).count();
}

} // namespace

EvacuationOrders::EvacuationOrders(EvacuationLink *link, std::int64_t startId)
    : m_link(link)
    , m_startId(startId)
    , m_lastTickAt(link->now())
{ }

base::TimePoint EvacuationOrders::earliestArrival() const
{
    const base::TimePoint now = m_link->now();
    if (now >= m_lastTickAt + kPauseThreshold)
        return m_lastTickAt;
    return now < m_pauseEndedAt + kBacklogTime ? m_pauseBeganAt : now;
}

base::Millis EvacuationOrders::heldFor(const Order &order) const
{
    return std::chrono::ceil<base::Millis>(m_link->now() - order.arrivedAt);
}

void EvacuationOrders::submit(const ledger::SetEvacuation &command, Done done)
{
    m_orders.push_back({command, std::move(done), earliestArrival()});
    advance(std::prev(m_orders.end()));
}

void EvacuationOrders::tick()
{
    const base::TimePoint now = m_link->now();
    const base::TimePoint lastTickAt = std::exchange(m_lastTickAt, now);
    if (now >= lastTickAt + kPauseThreshold) {
        m_pauseBeganAt = lastTickAt;
        m_pauseEndedAt = now;
    }
    for (auto it = m_orders.begin(); it != m_orders.end();) {
        const auto current = it++;
        if (!current->isInFlight)
            advance(current);
    }
}

void EvacuationOrders::finish(OrderIt it, PutOutcome outcome)
{
    const Order order = std::move(*it);
    m_orders.erase(it);
    order.done(outcome);
}

void EvacuationOrders::advance(OrderIt it)
{
    it->isInFlight = false;
    if (heldFor(*it) >= kMaxHold) {
        base::logEvent("evacuation_order_expired", {{"data_centre", it->command.dataCentre},
                                                    {"held_ms", heldFor(*it).count()}});
        return finish(it, PutOutcome::Unavailable);
    }
    if (m_link->isLeader()) {
        it->isInFlight = true;
        m_link->propose(it->command, [this, it](ProposeResult result) {
            if (result == ProposeResult::NotLeader)
                it->isInFlight = false; // The next tick goes on with it.
            else
                finish(it, result == ProposeResult::Committed ? PutOutcome::Accepted
                                                              : PutOutcome::Unknown);
        });
    } else if (const auto leader = m_link->leader()) {
        it->isInFlight = true;
        sendToLeader(it, *leader);
    }
}

void EvacuationOrders::sendToLeader(OrderIt it, const base::Endpoint &leader)
{
    m_link->ask(leader, "", kStampTimeout, [this, it, leader](const auto &stamp) {
        if (!stamp) {
            it->isInFlight = false;
            return;
        }
        if (heldFor(*it) >= kMaxHold)
            return advance(it);
        if (!stamp->empty())
            return sendStamped(it, leader, *stamp);
        m_link->executeAtEarlierBuild(it->command, kMaxHold - heldFor(*it),
                                      [this, it](PutOutcome outcome) { finish(it, outcome); });
    });
}

void EvacuationOrders::sendStamped(OrderIt it, const base::Endpoint &leader,
                                   const std::string &stamp)
{
    const std::string body = base::toCbor(
            {stamp, heldFor(*it).count(), it->command.dataCentre.text(), it->command.isEvacuated});
    m_link->ask(leader, body, kCommitTimeout, [this, it](const auto &answer) {
        if (answer == kAccepted)
            return finish(it, PutOutcome::Accepted);
        if (answer == kRefused) {
            it->isInFlight = false;
            return;
        }
        finish(it, PutOutcome::Unknown);
    });
}

void EvacuationOrders::answer(const std::string &body, const Answer &answer)
{
    const base::TimePoint now = m_link->now();
    if (body.empty())
        return answer(base::toCbor({m_startId, millisOf(now)}));
    const auto order = decodeOrder(body);
    if (!order) {
        base::logEvent("bad_message", {{"topic", kEvacuationTopic}});
        return answer(kRefused);
    }
    const auto held = order->heldBefore + base::Millis(millisOf(now) - order->stampMs);
    const bool isExpired = order->startId != m_startId || held >= kMaxHold;
    if (isExpired || !m_link->isLeader()) {
        base::logEvent("evacuation_order_refused",
                       {{"data_centre", order->command.dataCentre},
                        {"reason", isExpired ? "expired" : "not_leader"},
                        {"held_ms", held.count()}});
        return answer(kRefused);
    }
    m_link->propose(order->command, [answer](ProposeResult result) {
        answer(result == ProposeResult::Committed   ? kAccepted
               : result == ProposeResult::NotLeader ? kRefused
                                                    : kUnknown);
    });
}

void EvacuationOrders::apply(const ledger::Evacuations &state)
{
    if (state.revision == m_state.revision)
        return;
    fleet::Evacuations next{state.revision, {state.dataCentres.begin(), state.dataCentres.end()}};
    for (const base::DataCentreId &it : next.dataCentres) {
        if (!m_state.dataCentres.contains(it))
            base::logEvent("evacuation_begun", {{"data_centre", it}, {"revision", next.revision}});
    }
    for (const base::DataCentreId &it : m_state.dataCentres) {
        if (!next.dataCentres.contains(it))
            base::logEvent("evacuation_ended", {{"data_centre", it}, {"revision", next.revision}});
    }
    m_state = std::move(next);
}

} // namespace hyssop::registry
