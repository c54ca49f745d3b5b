#include "ControlClient.h"

#include <cassert>

namespace hyssop::entry {

namespace {

TryFault faultOf(const peers::PeerError &error)
{
    return error.mayHaveArrived ? TryFault::Lost : TryFault::NotSent;
}

TryFault faultOf(peers::ExecuteStatus status)
{
    if (status == peers::ExecuteStatus::NoQuorum)
        return TryFault::NoQuorum;
    return status == peers::ExecuteStatus::Unknown ? TryFault::Lost : TryFault::Refused;
}

std::optional<ledger::Owner> claimantOf(const ledger::Command &command)
{
    if (const auto *claim = std::get_if<ledger::Claim>(&command))
        return claim->owner;
    if (const auto *take = std::get_if<ledger::TakeJob>(&command))
        return take->owner;
    return std::nullopt;
}

} // namespace

ControlClient::ControlClient(http::Loop *loop, process::Metrics *metrics,
                             std::vector<base::Endpoint> controlHosts)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_controlHosts(std::move(controlHosts))
    , m_hostOrder(m_controlHosts.size())
{ }

void ControlClient::execute(std::string group, const ledger::Command &command,
                            ExecuteCallback callback, base::Millis timeout)
{
    assert(m_node && "setNode() must be called before execute()");
    const base::TimePoint now = base::monotonicNow();
    RetryPlan plan(ledger::isSafeToResend(command), m_hostOrder.order(now), now + timeout);
    // The leader sets its own time on the command.
    peers::ExecuteRequest request{std::move(group), ledger::encode(command, 0)};
    const auto pending = std::make_shared<PendingCommand>(PendingCommand{
            std::move(request), std::move(plan), std::move(callback), claimantOf(command)});
    runStep(pending, pending->plan.start(now));
}

void ControlClient::reinstate(const PendingCommand &pending)
{
    m_metrics->count("hyssop_reinstatements_total");
    base::logEvent("reinstated", {{"group", pending.request.group}});
    execute(pending.request.group, ledger::ReinstateOwner{*pending.claimant}, [](const auto &) {});
}

void ControlClient::runStep(const std::shared_ptr<PendingCommand> &pending,
                            const RetryPlan::Step &step)
{
    if (!step) {
        m_metrics->count("hyssop_execute_failures_total",
                         {{"reason", std::string(executeFailureName(step.error()))}});
        m_loop->post(
                [pending, failure = step.error()] { pending->callback(tl::unexpected(failure)); });
        return;
    }
    if (step->delay == base::Millis(0)) {
        sendTry(pending, *step);
        return;
    }
    m_loop->after(step->delay, [this, pending, next = *step] { sendTry(pending, next); });
}

void ControlClient::sendTry(const std::shared_ptr<PendingCommand> &pending,
                            const RetryPlan::Try &step)
{
    m_node->execute(m_controlHosts[step.hostIndex], pending->request, step.timeout,
                    [this, pending, hostIndex = step.hostIndex](auto reply) {
                        m_loop->post([this, pending, hostIndex, reply = std::move(reply)] {
                            onReply(pending, hostIndex, reply);
                        });
                    });
}

void ControlClient::onReply(const std::shared_ptr<PendingCommand> &pending, std::size_t hostIndex,
                            const tl::expected<peers::ExecuteReply, peers::PeerError> &reply)
{
    std::optional<ledger::Reply> answer;
    if (reply && reply->status == peers::ExecuteStatus::Done)
        answer = ledger::decodeReply(reply->reply);
    if (answer) {
        m_hostOrder.onAnswer(hostIndex);
        if (pending->claimant && answer->message == ledger::kOwnerRetiredMessage)
            reinstate(*pending);
        pending->callback(*std::move(answer));
        return;
    }
    TryFault fault = TryFault::Lost;
    if (!reply)
        fault = faultOf(reply.error());
    else if (reply->status != peers::ExecuteStatus::Done)
        fault = faultOf(reply->status);
    recordFailure(hostIndex, fault);
    runStep(pending, pending->plan.onFailure(fault, base::monotonicNow()));
}

void ControlClient::recordFailure(std::size_t hostIndex, TryFault fault)
{
    m_metrics->count("hyssop_control_tries_failed_total",
                     {{"reason", std::string(tryFaultName(fault))}});
    // A host that responds is healthy even if its group has no leader.
    if (fault != TryFault::Refused && fault != TryFault::NoQuorum)
        m_hostOrder.onFailure(hostIndex, base::monotonicNow());
}

void ControlClient::query(std::string topic, std::string body, QueryCallback callback,
                          base::Millis timeout)
{
    startQuery({std::move(topic), std::move(body)}, timeout, RetryPlan::kTryTimeout,
               std::move(callback));
}

void ControlClient::longPoll(std::string topic, std::string body, base::Millis wait,
                             QueryCallback callback)
{
    const base::Millis tryTimeout = wait + RetryPlan::kTryTimeout;
    startQuery({std::move(topic), std::move(body)}, wait + kQueryTimeout, tryTimeout,
               std::move(callback));
}

void ControlClient::startQuery(peers::QueryRequest request, base::Millis timeout,
                               base::Millis tryTimeout, QueryCallback callback)
{
    assert(m_node && "setNode() must be called before the first query");
    const base::TimePoint now = base::monotonicNow();
    RetryPlan plan(true, m_hostOrder.order(now), now + timeout, tryTimeout);
    const auto pending = std::make_shared<PendingQuery>(
            PendingQuery{std::move(request), std::move(plan), std::move(callback)});
    runStep(pending, pending->plan.start(now));
}

void ControlClient::queryHost(std::size_t hostIndex, std::string topic, std::string body,
                              QueryCallback callback, base::Millis timeout)
{
    assert(hostIndex < m_controlHosts.size() && "queryHost() needs an index into controlHosts()");
    m_node->query(m_controlHosts[hostIndex], {std::move(topic), std::move(body)}, timeout,
                  [this, callback = std::move(callback)](auto reply) {
                      m_loop->post([callback, reply = std::move(reply)] {
                          const bool isUsable = reply && !reply->empty();
                          callback(isUsable ? std::optional(*reply) : std::nullopt);
                      });
                  });
}

void ControlClient::runStep(const std::shared_ptr<PendingQuery> &pending,
                            const RetryPlan::Step &step)
{
    if (!step) {
        m_loop->post([pending] { pending->callback(std::nullopt); });
        return;
    }
    m_loop->after(step->delay, [this, pending, next = *step] {
        m_node->query(m_controlHosts[next.hostIndex], pending->request, next.timeout,
                      [this, pending, hostIndex = next.hostIndex](auto reply) {
                          m_loop->post([this, pending, hostIndex, reply = std::move(reply)] {
                              onReply(pending, hostIndex, reply);
                          });
                      });
    });
}

void ControlClient::onReply(const std::shared_ptr<PendingQuery> &pending, std::size_t hostIndex,
                            const tl::expected<std::string, peers::PeerError> &reply)
{
    if (reply && !reply->empty()) {
        m_hostOrder.onAnswer(hostIndex);
        pending->callback(*reply);
        return;
    }
    const TryFault fault = reply ? TryFault::Refused : faultOf(reply.error());
    recordFailure(hostIndex, fault);
    runStep(pending, pending->plan.onFailure(fault, base::monotonicNow()));
}

} // namespace hyssop::entry
