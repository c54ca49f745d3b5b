#pragma once

#include "ControlClient.h"
#include "Gossiper.h"
#include "orders/Orders.h"
#include "upstream/Upstream.h"

#include <set>

namespace hyssop::entry {

/// Reconciles the engines of the data centre with the deployments while this host holds the order
/// lease.
///
/// Carries out the decisions of orders::OrderLease and orders::OrderPlanner. Belongs to the entry
/// server's loop.
class OrderRunner
{
public:
    static constexpr base::Millis kTickInterval{250};

    struct Options
    {
        ledger::Owner self;
        base::DataCentreId dataCentre;
        orders::LoadLimits limits;
        std::uint64_t seed = 1;
    };

    /// \a gossiper, \a controlClient and \a metrics must outlive this object.
    OrderRunner(http::Loop *loop, process::Metrics *metrics, const Gossiper *gossiper,
                ControlClient *controlClient, Options options);

    void start();
    /// Stops sending orders and releases the lease.
    void stop();
    void setCatalogue(std::shared_ptr<const records::Catalogue> catalogue);
    void refreshGauges();
    /// Desired and actual state as JSON. Only the host with the lease reports deployments and
    /// engines.
    std::string statusJson() const;

private:
    void tick();
    void requestLease(base::Millis duration);
    void onLeaseReply(const tl::expected<ledger::Reply, ExecuteFailure> &reply);
    void updateFencingToken();
    void perform(const orders::OrderAction &action);
    void perform(const orders::ReadState &action);
    void perform(const orders::SendOrder &action);
    void perform(const orders::OrderHeld &action);
    void perform(const orders::OrderOverridden &action);
    void onOrderResult(const orders::SendOrder &order, orders::OrderResult result);
    std::vector<orders::Engine> engines() const;
    bool isPreferredLeaseHolder() const;

    http::Loop *m_loop;
    process::Metrics *m_metrics;
    const Gossiper *m_gossiper;
    ControlClient *m_controlClient;
    Options m_options;
    orders::OrderLease m_lease;
    orders::OrderPlanner m_planner;
    upstream::OrderClient m_orderCalls;
    std::int64_t m_fencingToken = 0; ///< Token of the lease held; 0 without a lease.
    std::set<std::string> m_gaugedDeployments; ///< Deployments for which gauges were set.
    bool m_isStopping = false;
};

} // namespace hyssop::entry
