#pragma once

#include "http/Http.h"
#include "peers/Peers.h"
#include "process/Process.h"
#include "RetryPlan.h"

#include <functional>

namespace hyssop::entry {

/// Executes commands on the replicated log, and queries, through the control hosts.
///
/// Belongs to the loop's thread; callbacks run there too. Every command ends with a reply of the
/// ledger or a failure within its timeout. Callbacks never run from within execute().
class ControlClient
{
public:
    using ExecuteCallback = std::function<void(tl::expected<ledger::Reply, ExecuteFailure>)>;
    /// Receives the body of the response, or nothing when no control host sent one.
    using QueryCallback = std::function<void(std::optional<std::string>)>;

    static constexpr base::Millis kExecuteTimeout{5'000};
    static constexpr base::Millis kQueryTimeout{2'000};

    /// \a controlHosts are peer addresses, nearest first.
    ControlClient(http::Loop *loop, process::Metrics *metrics,
                  std::vector<base::Endpoint> controlHosts);

    /// Sets the node that sends the calls; it must be destroyed before this object.
    void setNode(peers::Node *node) { m_node = node; }

    /// \a group is "global" or "home-<data centre>".
    void execute(std::string group, const ledger::Command &command, ExecuteCallback callback,
                 base::Millis timeout = kExecuteTimeout);
    /// Queries one control host after the other until one returns a body that is not empty.
    void query(std::string topic, std::string body, QueryCallback callback,
               base::Millis timeout = kQueryTimeout);
    /// Like query(), but the control host may hold the response for up to \a wait while there
    /// is nothing new.
    void longPoll(std::string topic, std::string body, base::Millis wait, QueryCallback callback);
    /// Queries a single control host, given by its index in controlHosts().
    void queryHost(std::size_t hostIndex, std::string topic, std::string body,
                   QueryCallback callback, base::Millis timeout = kQueryTimeout);

    const std::vector<base::Endpoint> &controlHosts() const { return m_controlHosts; }

private:
    struct PendingCommand
    {
        peers::ExecuteRequest request;
        RetryPlan plan;
        ExecuteCallback callback;
        std::optional<ledger::Owner>
                claimant; ///< Owner in the command, if it claims a key or takes a job.
    };
    struct PendingQuery
    {
        peers::QueryRequest request;
        RetryPlan plan;
        QueryCallback callback;
    };

    /// Restores this process as an owner after the log had retired it as dead.
    void reinstate(const PendingCommand &pending);
    void runStep(const std::shared_ptr<PendingCommand> &pending, const RetryPlan::Step &step);
    void sendTry(const std::shared_ptr<PendingCommand> &pending, const RetryPlan::Try &step);
    void onReply(const std::shared_ptr<PendingCommand> &pending, std::size_t hostIndex,
                 const tl::expected<peers::ExecuteReply, peers::PeerError> &reply);
    void startQuery(peers::QueryRequest request, base::Millis timeout, base::Millis tryTimeout,
                    QueryCallback callback);
    void runStep(const std::shared_ptr<PendingQuery> &pending, const RetryPlan::Step &step);
    void onReply(const std::shared_ptr<PendingQuery> &pending, std::size_t hostIndex,
                 const tl::expected<std::string, peers::PeerError> &reply);
    void recordFailure(std::size_t hostIndex, TryFault fault);

    http::Loop *m_loop;
    process::Metrics *m_metrics;
    std::vector<base::Endpoint> m_controlHosts;
    ControlHostOrder m_hostOrder;
    peers::Node *m_node = nullptr;
};

} // namespace hyssop::entry
