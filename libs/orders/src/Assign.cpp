#include "orders/Orders.h"

#include <algorithm>

namespace hyssop::orders {

namespace {

/// What is lost when an engine is given to a deployment; less is better.
enum class Loss {
    RoleOnly, ///< It holds the weights already.
    OtherVersion, ///< It holds the model with another adapter or version.
    UnusedModel, ///< It holds a model that no route needs.
    UsedModel,
};

/// Assigns engine by engine and remembers which of them are about to change.
class Assigner
{
public:
    Assigner(const records::Catalogue &catalogue, const std::vector<EngineView> &engines)
        : m_catalogue(catalogue)
        , m_engines(engines)
    { }

    void keep(const std::string &name, const records::DeploymentSpec &spec);
    void fill(const std::string &name, const records::DeploymentSpec &spec);
    Assignments take() { return std::move(m_out); }

private:
    bool isEligible(const EngineView &view, const records::DeploymentSpec &spec) const;
    bool takesLast(const EngineView &view, const EngineTarget &target) const;
    Loss lossOf(const EngineView &view, const EngineTarget &target) const;
    const EngineView *best(const records::DeploymentSpec &spec, bool &isHeld) const;
    void give(const EngineView &view, const std::string &name, const EngineTarget &target);

    const records::Catalogue &m_catalogue;
    const std::vector<EngineView> &m_engines;
    std::set<base::UpstreamId> m_changing;
    std::map<std::string, int> m_counts;
    Assignments m_out;
};

bool Assigner::isEligible(const EngineView &view, const records::DeploymentSpec &spec) const
{
    if (view.engine.isLeaving || !view.desired || m_out.engines.contains(view.engine.id))
        return false;
    return spec.upstreams.empty()
           || std::find(spec.upstreams.begin(), spec.upstreams.end(), view.engine.id)
                      != spec.upstreams.end();
}

/// Whether a route in force would be left without a steady engine while \a view changes.
bool Assigner::takesLast(const EngineView &view, const EngineTarget &target) const
{
    return std::any_of(m_catalogue.routes().begin(), m_catalogue.routes().end(),
                       [&](const auto &it) {
                           const records::RouteSpec &route = it.second;
                           if (!view.serves(route))
                               return false;
                           bool hasOther = false;
                           for (const EngineView &other : m_engines) {
                               if (other.engine.id == view.engine.id || !other.serves(route))
                                   continue;
                               if (other.isSteady() && !m_changing.contains(other.engine.id))
                                   return false;
                               hasOther = true;
                           }
                           const bool stays = target.model == route.model.text()
                                              && (route.role.empty() || route.role == target.role);
                           // A lone engine that goes on serving the route can only be changed in
                           // place.
                           return hasOther || !stays;
                       });
}

Loss Assigner::lossOf(const EngineView &view, const EngineTarget &target) const
{
    const EngineTarget &now = view.loaded ? *view.loaded : *view.desired;
    if (now.hasSameWeights(target))
        return Loss::RoleOnly;
    if (now.model == target.model)
        return Loss::OtherVersion;
    const auto &routes = m_catalogue.routes();
    const bool isUsed = std::any_of(routes.begin(), routes.end(),
                                    [&view](const auto &it) { return view.serves(it.second); });
    return isUsed ? Loss::UsedModel : Loss::UnusedModel;
}

const EngineView *Assigner::best(const records::DeploymentSpec &spec, bool &isHeld) const
{
    const EngineTarget target = targetOf(spec);
    const EngineView *found = nullptr;
    for (const EngineView &view : m_engines) {
        if (!isEligible(view, spec))
            continue;
        if (!spec.mayUnloadLast && takesLast(view, target)) {
            isHeld = true;
            continue;
        }
        if (!found || lossOf(view, target) < lossOf(*found, target))
            found = &view;
    }
    return found;
}

void Assigner::give(const EngineView &view, const std::string &name, const EngineTarget &target)
{
    m_out.engines.emplace(view.engine.id, Assignment{name, target});
    ++m_counts[name];
}

void Assigner::keep(const std::string &name, const records::DeploymentSpec &spec)
{
    const EngineTarget target = targetOf(spec);
    for (const EngineView &view : m_engines) {
        if (m_counts[name] >= spec.replicas)
            return;
        if (isEligible(view, spec) && *view.desired == target)
            give(view, name, target);
    }
}

void Assigner::fill(const std::string &name, const records::DeploymentSpec &spec)
{
    bool isHeld = false;
    while (m_counts[name] < spec.replicas) {
        const EngineView *view = best(spec, isHeld);
        if (!view)
            break;
        give(*view, name, targetOf(spec));
        m_changing.insert(view->engine.id);
    }
    if (m_counts[name] >= spec.replicas)
        return;
    m_out.missing[name] = spec.replicas - m_counts[name];
    if (isHeld)
        m_out.heldByRoutes.insert(name);
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
            assigner.keep(name, spec);
    }
    for (const auto &[name, spec] : catalogue.deployments()) {
        if (spec.dataCentre == dataCentre)
            assigner.fill(name, spec);
    }
    return assigner.take();
}

} // namespace hyssop::orders
