#include "orders/Orders.h"

#include <algorithm>

namespace hyssop::orders {

namespace {

/// Cost of assigning an engine to a deployment, in ascending order.
enum class ReplacementCost {
    RoleChange, ///< The weights are already loaded.
    VersionChange, ///< The model is loaded with another adapter or version.
    UnroutedModel, ///< The loaded model is not used by any route.
    RoutedModel, ///< The loaded model is used by a route.
};

/// Assigns engines one by one and tracks which of them are about to change.
class Assigner
{
public:
    Assigner(const records::Catalogue &catalogue, const std::vector<EngineView> &engines)
        : m_catalogue(catalogue)
        , m_engines(engines)
    { }

    void keepCurrent(const std::string &name, const records::DeploymentSpec &spec);
    void fillMissing(const std::string &name, const records::DeploymentSpec &spec);
    Assignments takeAssignments() { return std::move(m_assignments); }

private:
    bool isEligible(const EngineView &view, const records::DeploymentSpec &spec) const;
    bool wouldInterruptRoute(const EngineView &view, const EngineTarget &target) const;
    ReplacementCost replacementCost(const EngineView &view, const EngineTarget &target) const;
    const EngineView *cheapestEngine(const records::DeploymentSpec &spec,
                                     bool &isBlockedByRoute) const;
    void assignEngine(const EngineView &view, const std::string &name, const EngineTarget &target);

    const records::Catalogue &m_catalogue;
    const std::vector<EngineView> &m_engines;
    std::set<base::UpstreamId> m_changingEngines;
    std::map<std::string, int> m_assignedCounts;
    Assignments m_assignments;
};

bool Assigner::isEligible(const EngineView &view, const records::DeploymentSpec &spec) const
{
    if (view.engine.isLeaving || !view.desired || m_assignments.engines.contains(view.engine.id))
        return false;
    return spec.upstreams.empty()
           || std::find(spec.upstreams.begin(), spec.upstreams.end(), view.engine.id)
                      != spec.upstreams.end();
}

/// Whether a route in force would have no converged engine while \a view changes. A route's only
/// engine does not count if it still serves the route after the change.
bool Assigner::wouldInterruptRoute(const EngineView &view, const EngineTarget &target) const
{
    return std::any_of(
            m_catalogue.routes().begin(), m_catalogue.routes().end(), [&](const auto &it) {
                const records::RouteSpec &route = it.second;
                if (!view.serves(route))
                    return false;
                bool hasOtherEngine = false;
                for (const EngineView &other : m_engines) {
                    if (other.engine.id == view.engine.id || !other.serves(route))
                        continue;
                    if (other.isConverged() && !m_changingEngines.contains(other.engine.id))
                        return false;
                    hasOtherEngine = true;
                }
                const bool isTargetServing = target.model == route.model.text()
                                             && (route.role.empty() || route.role == target.role);
                // There is no other engine to wait for, so the route's only engine may be changed
                // in place if it still serves the route afterwards.
                return hasOtherEngine || !isTargetServing;
            });
}

ReplacementCost Assigner::replacementCost(const EngineView &view, const EngineTarget &target) const
{
    const EngineTarget &current = view.loaded ? *view.loaded : *view.desired;
    if (current.hasSameWeights(target))
        return ReplacementCost::RoleChange;
    if (current.model == target.model)
        return ReplacementCost::VersionChange;
    const auto &routes = m_catalogue.routes();
    const bool isRouted = std::any_of(routes.begin(), routes.end(),
                                      [&view](const auto &it) { return view.serves(it.second); });
    return isRouted ? ReplacementCost::RoutedModel : ReplacementCost::UnroutedModel;
}

const EngineView *Assigner::cheapestEngine(const records::DeploymentSpec &spec,
                                           bool &isBlockedByRoute) const
{
    const EngineTarget target = targetOf(spec);
    const EngineView *cheapest = nullptr;
    for (const EngineView &view : m_engines) {
        if (!isEligible(view, spec))
            continue;
        if (!spec.mayUnloadLast && wouldInterruptRoute(view, target)) {
            isBlockedByRoute = true;
            continue;
        }
        if (!cheapest || replacementCost(view, target) < replacementCost(*cheapest, target))
            cheapest = &view;
    }
    return cheapest;
}

void Assigner::assignEngine(const EngineView &view, const std::string &name,
                            const EngineTarget &target)
{
    m_assignments.engines.emplace(view.engine.id, Assignment{name, target});
    ++m_assignedCounts[name];
}

void Assigner::keepCurrent(const std::string &name, const records::DeploymentSpec &spec)
{
    const EngineTarget target = targetOf(spec);
    for (const EngineView &view : m_engines) {
        if (m_assignedCounts[name] >= spec.replicas)
            return;
        if (isEligible(view, spec) && *view.desired == target)
            assignEngine(view, name, target);
    }
}

void Assigner::fillMissing(const std::string &name, const records::DeploymentSpec &spec)
{
    bool isBlockedByRoute = false;
    while (m_assignedCounts[name] < spec.replicas) {
        const EngineView *view = cheapestEngine(spec, isBlockedByRoute);
        if (!view)
            break;
        assignEngine(*view, name, targetOf(spec));
        m_changingEngines.insert(view->engine.id);
    }
    if (m_assignedCounts[name] >= spec.replicas)
        return;
    m_assignments.missing[name] = spec.replicas - m_assignedCounts[name];
    if (isBlockedByRoute)
        m_assignments.heldByRoutes.insert(name);
}

} // namespace

bool EngineTarget::hasSameWeights(const EngineTarget &other) const
{
    return model == other.model && adapter == other.adapter && version == other.version;
}

EngineTarget targetOf(const records::DeploymentSpec &spec)
{
    return {spec.model.text(), spec.adapter, spec.modelVersion, spec.role};
}

bool EngineView::serves(const records::RouteSpec &route) const
{
    if (engine.isLeaving || route.model.isEmpty())
        return false;
    if (!route.role.empty() && route.role != engine.role)
        return false;
    return std::find(engine.models.begin(), engine.models.end(), route.model.text())
           != engine.models.end();
}

Assignments assign(const base::DataCentreId &dataCentre, const records::Catalogue &catalogue,
                   const std::vector<EngineView> &engines)
{
    Assigner assigner(catalogue, engines);
    for (const auto &[name, spec] : catalogue.deployments()) {
        if (spec.dataCentre == dataCentre)
            assigner.keepCurrent(name, spec);
    }
    for (const auto &[name, spec] : catalogue.deployments()) {
        if (spec.dataCentre == dataCentre)
            assigner.fillMissing(name, spec);
    }
    return assigner.takeAssignments();
}

} // namespace hyssop::orders
