#include "OrderRunner.h"

#include "ReclaimPlan.h"

#include <nlohmann/json.hpp>

namespace hyssop::entry {

namespace {

using nlohmann::json;

/// Timeout of one request for the lease; shorter than the interval between requests.
constexpr base::Millis kLeaseRequestTimeout{2'500};

json toJson(const orders::EngineTarget &target)
{
    return {{"model", target.model},
            {"adapter", target.adapter},
            {"version", target.version},
            {"role", target.role}};
}

json toJson(const orders::DeploymentReport &deployment)
{
    return {{"name", deployment.name},
            {"replicas", deployment.replicas},
            {"assigned", deployment.assigned},
            {"serving", deployment.serving},
            {"heldByRoutes", deployment.isHeldByRoutes}};
}

json toJson(const orders::EngineReport &engine)
{
    json out{{"id", engine.id.text()},
             {"deployment", engine.deployment},
             {"hold", orders::holdName(engine.hold)}};
    if (engine.target)
        out["target"] = toJson(*engine.target);
    if (engine.state) {
        out["desired"] = toJson(engine.state->desired);
        out["loaded"] = toJson(engine.state->loaded);
    }
    return out;
}

} // namespace

OrderRunner::OrderRunner(http::Loop *loop, process::Metrics *metrics, const Gossiper *gossiper,
                         ControlClient *controlClient, Options options)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_gossiper(gossiper)
    , m_controlClient(controlClient)
    , m_options(std::move(options))
    , m_lease(m_options.seed, base::monotonicNow())
    , m_planner(m_options.dataCentre, m_options.limits, m_options.seed)
    , m_orderCalls(loop)
{ }

void OrderRunner::start()
{
    if (!m_controlClient->controlHosts().empty())
        tick();
}

void OrderRunner::stop()
{
    m_isStopping = true;
    if (m_lease.grantAt(base::monotonicNow()))
        requestLease(base::Millis(0));
    m_lease.onRefused();
    updateFencingToken();
}

void OrderRunner::setCatalogue(std::shared_ptr<const records::Catalogue> catalogue)
{
    m_planner.setCatalogue(std::move(catalogue));
}

bool OrderRunner::isPreferredLeaseHolder() const
{
    std::vector<base::HostId> live;
    for (const membership::HostHeartbeat &heartbeat : m_gossiper->hosts().live())
        live.push_back(heartbeat.id);
    return rendezvousHost("orders", live) == m_options.self.host;
}

std::vector<orders::Engine> OrderRunner::engines() const
{
    std::vector<orders::Engine> engines;
    for (const membership::Announcement &it : m_gossiper->directory().all()) {
        const routing::UpstreamInfo &upstream = it.upstream;
        if (upstream.kind != routing::UpstreamKind::Engine
            || upstream.dataCentre != m_options.dataCentre)
            continue;
        engines.push_back({upstream.id, upstream.incarnation, upstream.role, upstream.models,
                           it.checksFencing, upstream.isLeaving});
    }
    return engines;
}

void OrderRunner::tick()
{
    if (m_isStopping)
        return;
    const base::TimePoint now = base::monotonicNow();
    if (m_planner.hasDeployments()) {
        if (m_lease.isRequestDue(isPreferredLeaseHolder(), now)) {
            m_lease.onRequestSent(now);
            requestLease(orders::kLeaseDuration);
        }
        m_planner.setEngines(engines(), now);
    }
    updateFencingToken();
    for (const orders::OrderAction &action : m_planner.nextActions(m_lease.grantAt(now), now))
        perform(action);
    m_loop->after(kTickInterval, [this] { tick(); });
}

void OrderRunner::requestLease(base::Millis duration)
{
    const ledger::TakeLease command{"orders/" + m_options.dataCentre.text(), m_options.self,
                                    duration};
    m_controlClient->execute(
            "home-" + m_options.dataCentre.text(), command,
            [this](const auto &reply) { onLeaseReply(reply); }, kLeaseRequestTimeout);
}

void OrderRunner::onLeaseReply(const tl::expected<ledger::Reply, ExecuteFailure> &reply)
{
    if (m_isStopping)
        return;
    if (!reply) {
        m_lease.onRequestFailed();
        m_metrics->count("hyssop_order_lease_faults_total",
                         {{"reason", std::string(executeFailureName(reply.error()))}});
    } else if (reply->status == ledger::Status::Accepted) {
        m_lease.onGranted(reply->fencingToken, base::monotonicNow());
    } else {
        m_lease.onRefused();
        m_metrics->count("hyssop_order_lease_faults_total",
                         {{"reason", std::string(ledger::statusName(reply->status))}});
    }
    updateFencingToken();
}

void OrderRunner::updateFencingToken()
{
    const auto grant = m_lease.grantAt(base::monotonicNow());
    const std::int64_t fencing = grant ? grant->fencingToken : 0;
    if (fencing == m_fencingToken)
        return;
    base::logEvent(fencing != 0 ? "order_lease_taken" : "order_lease_lost",
                   {{"fencing", fencing != 0 ? fencing : m_fencingToken}});
    m_fencingToken = fencing;
}

void OrderRunner::perform(const orders::OrderAction &action)
{
    std::visit([this](const auto &it) { perform(it); }, action);
}

void OrderRunner::perform(const orders::ReadState &action)
{
    const base::UpstreamId id = action.engine;
    const membership::Announcement *engine = m_gossiper->directory().find(id);
    if (!engine) {
        m_planner.onReadDone(id, std::nullopt, base::monotonicNow());
        return;
    }
    m_orderCalls.readState(engine->address, [this, id](const auto &state) {
        if (!state)
            m_metrics->count("hyssop_order_read_faults_total",
                             {{"reason", std::string(upstream::readErrorName(state.error()))}});
        m_planner.onReadDone(id, state ? std::optional(*state) : std::nullopt,
                             base::monotonicNow());
    });
}

void OrderRunner::perform(const orders::SendOrder &action)
{
    const membership::Announcement *engine = m_gossiper->directory().find(action.engine);
    if (!engine) {
        m_planner.onOrderDone(action.engine, orders::OrderResult::Failed, base::monotonicNow());
        return;
    }
    const orders::EngineTarget &target = action.assignment.target;
    base::logEvent("order", {{"engine", action.engine},
                             {"deployment", action.assignment.deployment},
                             {"fencing", action.fencingToken},
                             {"model", target.model},
                             {"adapter", target.adapter},
                             {"version", target.version},
                             {"role", target.role}});
    m_orderCalls.send(engine->address, action, [this, action](orders::OrderResult result) {
        onOrderResult(action, result);
    });
}

void OrderRunner::onOrderResult(const orders::SendOrder &order, orders::OrderResult result)
{
    const std::string name(orders::orderResultName(result));
    m_metrics->count("hyssop_orders_total", {{"result", name}});
    base::logEvent("order_answered", {{"engine", order.engine},
                                      {"deployment", order.assignment.deployment},
                                      {"fencing", order.fencingToken},
                                      {"result", name}});
    // Another host may hold the lease already, so no order is sent until the log is queried.
    if (result == orders::OrderResult::OldFencing && order.fencingToken == m_fencingToken)
        m_lease.invalidate();
    m_planner.onOrderDone(order.engine, result, base::monotonicNow());
    updateFencingToken();
}

void OrderRunner::perform(const orders::OrderHeld &action)
{
    const std::string reason(orders::holdName(action.hold));
    m_metrics->count("hyssop_order_holds_total", {{"reason", reason}});
    base::logEvent(
            "order_held",
            {{"engine", action.engine}, {"deployment", action.deployment}, {"reason", reason}});
}

void OrderRunner::perform(const orders::OrderOverridden &action)
{
    m_metrics->count("hyssop_order_overrides_total");
    base::logEvent("order_overridden", {{"engine", action.engine}});
}

void OrderRunner::refreshGauges()
{
    m_metrics->set("hyssop_order_lease_held", m_fencingToken != 0 ? 1 : 0);
    std::map<std::string, orders::DeploymentReport> reports;
    for (const std::string &name : m_gaugedDeployments)
        reports[name] = {};
    if (m_fencingToken != 0) {
        for (const orders::DeploymentReport &deployment : m_planner.report().deployments) {
            reports[deployment.name] = deployment;
            m_gaugedDeployments.insert(deployment.name);
        }
    }
    // Only the host with the lease sets values, so that sums over hosts are right.
    for (const auto &[name, deployment] : reports) {
        const auto set = [this, &name = name](const char *state, int n) {
            m_metrics->set("hyssop_deployment_engines", n,
                           {{"deployment", name}, {"state", state}});
        };
        set("wanted", deployment.replicas);
        set("assigned", deployment.assigned);
        set("serving", deployment.serving);
        m_metrics->set("hyssop_deployment_held_by_routes", deployment.isHeldByRoutes ? 1 : 0,
                       {{"deployment", name}});
    }
}

std::string OrderRunner::statusJson() const
{
    json out{{"host", m_options.self.host.text()}, {"dataCentre", m_options.dataCentre.text()},
             {"holdsLease", m_fencingToken != 0},  {"fencing", m_fencingToken},
             {"deployments", json::array()},       {"engines", json::array()}};
    if (m_fencingToken == 0)
        return out.dump();
    const orders::OrderReport report = m_planner.report();
    for (const orders::DeploymentReport &deployment : report.deployments)
        out["deployments"].push_back(toJson(deployment));
    for (const orders::EngineReport &engine : report.engines)
        out["engines"].push_back(toJson(engine));
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace hyssop::entry
