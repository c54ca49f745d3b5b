#pragma once

#include "registry/Registry.h"

#include <functional>
#include <list>

namespace hyssop::registry {

/// Result of writing an order to the log as its leader.
enum class ProposeResult {
    Committed,
    NotLeader, ///< Nothing was recorded.
    Lost, ///< Another leader may still commit it.
};

/// What EvacuationOrders needs of its control host and of the others.
class EvacuationLink
{
public:
    using Answered = std::function<void(std::optional<std::string>)>;

    virtual ~EvacuationLink() = default;
    /// Whether this control host leads and may commit.
    virtual bool isLeader() const = 0;
    /// Address of the leader if it is another control host and known.
    virtual std::optional<base::Endpoint> leader() const = 0;
    virtual void propose(const ledger::SetEvacuation &command,
                         std::function<void(ProposeResult)> done) = 0;
    /// Sends a message to another control host. Yields nothing without an answer in time.
    virtual void ask(const base::Endpoint &to, std::string body, base::Millis timeout,
                     Answered done) = 0;
    /// Executes an order at a leader of an earlier build, which knows it as a lease.
    virtual void executeAtEarlierBuild(const ledger::SetEvacuation &command, base::Millis limit,
                                       std::function<void(PutOutcome)> done) = 0;
    /// Time of a steady clock that includes the time for which the machine was suspended.
    virtual base::TimePoint now() const = 0;
};

/// Topic of messages to the leader about orders.
inline constexpr auto kEvacuationTopic = "evacuation";

/// Orders of operators that begin or end the evacuation of a data centre, on their way to the log.
///
/// An operator that gets no response within a second sends its order to another control host, and
/// may send the opposite order later. An order older than that must not be committed any more, also
/// where this host or the leader was paused or a connection was delayed. A follower therefore asks
/// the leader for the time of its clock first and sends it back with the order, so that the leader
/// measures the age of the order by its own clock. No I/O.
class EvacuationOrders
{
public:
    using Done = std::function<void(PutOutcome)>;
    using Answer = std::function<void(std::string)>;

    /// \a startId differs between starts of this host.
    EvacuationOrders(EvacuationLink *link, std::int64_t startId);

    /// Takes an order of an operator. \a done is called once.
    void submit(const ledger::SetEvacuation &command, Done done);
    /// Answers a message of another control host.
    void answer(const std::string &body, const Answer &answer);
    /// Must be called regularly, at intervals well below kPauseThreshold: goes on with orders that
    /// wait for a leader, and notices pauses of this process.
    void tick();
    /// Applies the committed state.
    void apply(const ledger::Evacuations &state);
    const fleet::Evacuations &state() const { return m_state; }

private:
    struct Order
    {
        ledger::SetEvacuation command;
        Done done;
        base::TimePoint arrivedAt;
        bool isInFlight = false;
    };
    using OrderIt = std::list<Order>::iterator;

    /// When a message that is read now arrived at the earliest.
    base::TimePoint earliestArrival() const;
    void advance(OrderIt it);
    void sendToLeader(OrderIt it, const base::Endpoint &leader);
    void sendStamped(OrderIt it, const base::Endpoint &leader, const std::string &stamp);
    void finish(OrderIt it, PutOutcome outcome);
    base::Millis heldFor(const Order &order) const;

    EvacuationLink *m_link;
    std::int64_t m_startId;
    std::list<Order> m_orders;
    fleet::Evacuations m_state;
    base::TimePoint m_lastTickAt;
    base::TimePoint m_pauseBeganAt{};
    base::TimePoint m_pauseEndedAt{};
};

} // namespace hyssop::registry
