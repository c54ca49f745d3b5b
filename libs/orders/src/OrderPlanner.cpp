#include "orders/Orders.h"

#include <algorithm>

namespace hyssop::orders {

namespace {

/// Jitter is up to one part in so many of the time it is added to.
constexpr int kJitterDivisor = 4;

base::Millis jittered(base::Millis time, base::Rng &rng)
{
    const auto most = time.count() / kJitterDivisor;
    return time + base::Millis(std::uniform_int_distribution<std::int64_t>(0, most)(rng));
}

} // namespace

OrderPlanner::OrderPlanner(base::DataCentreId dataCentre, LoadLimits limits, std::uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_limits(limits)
    , m_rng(seed)
{ }

void OrderPlanner::setCatalogue(std::shared_ptr<const records::Catalogue> catalogue)
{
    m_catalogue = std::move(catalogue);
}

bool OrderPlanner::isNeeded() const
{
    if (!m_catalogue)
        return false;
    const auto &deployments = m_catalogue->deployments();
    return std::any_of(deployments.begin(), deployments.end(),
                       [this](const auto &it) { return it.second.dataCentre == m_dataCentre; });
}

void OrderPlanner::setEngines(const std::vector<Engine> &engines, base::TimePoint now)
{
    std::set<base::UpstreamId> present;
    for (const Engine &engine : engines) {
        present.insert(engine.id);
        Progress &progress = m_engines[engine.id];
        // A restarted engine has forgotten its orders.
        if (progress.engine.incarnation != engine.incarnation)
            reset(progress, now);
        progress.engine = engine;
    }
    std::erase_if(m_engines, [&present](const auto &it) {
        return !it.second.isOpen && !present.contains(it.first);
    });
    for (auto &[id, progress] : m_engines) {
        // Kept only until its call has been answered.
        if (!present.contains(id))
            progress.engine.isLeaving = true;
    }
}

void OrderPlanner::begin(const Grant &grant, base::TimePoint now)
{
    m_fencing = grant.fencing;
    // The former holder may just have used what was allowed, so the buckets begin empty.
    m_loadRate.emplace(m_limits.perMinute, m_limits.atOnce, 0, now);
    m_deploymentRates.clear();
    for (const auto &[name, spec] : m_catalogue->deployments())
        m_deploymentRates.emplace(name, TokenBucket(spec.loadsPerMinute, 1, 0, now));
    for (auto &[id, progress] : m_engines)
        reset(progress, now);
}

void OrderPlanner::reset(Progress &progress, base::TimePoint now)
{
    Progress fresh;
    fresh.engine = progress.engine;
    fresh.isOpen = progress.isOpen;
    fresh.isStale = progress.isOpen;
    fresh.readDue = now;
    progress = std::move(fresh);
}

bool OrderPlanner::hasAskedAll() const
{
    return std::all_of(m_engines.begin(), m_engines.end(), [](const auto &it) {
        return it.second.wasAsked || it.second.engine.isLeaving;
    });
}

std::vector<EngineView> OrderPlanner::views() const
{
    std::vector<EngineView> views;
    for (const auto &[id, progress] : m_engines) {
        EngineView view{progress.engine, progress.ordered, std::nullopt};
        if (progress.state) {
            view.loaded = progress.state->loaded;
            if (!view.desired)
                view.desired = progress.state->desired;
        }
        views.push_back(std::move(view));
    }
    return views;
}

std::vector<Action> OrderPlanner::next(const std::optional<Grant> &grant, base::TimePoint now)
{
    std::vector<Action> actions;
    if (!grant || !isNeeded()) {
        m_assignments = {};
        return actions;
    }
    if (grant->fencing != m_fencing)
        begin(*grant, now);
    // Loads that are under way count, whoever ordered them, so all engines are read first.
    if (hasAskedAll())
        addOrders(actions, *grant, now);
    addReads(actions, now);
    return actions;
}

void OrderPlanner::addReads(std::vector<Action> &actions, base::TimePoint now)
{
    for (auto &[id, progress] : m_engines) {
        if (m_open >= kMaxOpen)
            return;
        if (progress.isOpen || progress.readDue > now || progress.engine.isLeaving)
            continue;
        progress.isOpen = true;
        ++m_open;
        actions.emplace_back(ReadState{id});
    }
}

void OrderPlanner::addOrders(std::vector<Action> &actions, const Grant &grant, base::TimePoint now)
{
    m_assignments = assign(m_dataCentre, *m_catalogue, views());
    for (const auto &[id, assignment] : m_assignments.engines) {
        if (m_open >= kMaxOpen)
            return;
        consider(actions, m_engines.at(id), assignment, grant, now);
    }
}

void OrderPlanner::consider(std::vector<Action> &actions, Progress &progress,
                            const Assignment &assignment, const Grant &grant, base::TimePoint now)
{
    if (progress.isOpen || !progress.isFresh)
        return;
    const Hold before = progress.hold;
    if (agrees(progress, assignment, grant)) {
        progress.hold = Hold::None;
        progress.orderBackoff = base::Millis(0);
        return;
    }
    progress.hold = holdOf(progress, assignment, grant, now);
    if (progress.hold == Hold::None)
        give(actions, progress, assignment, grant, now);
    else if (progress.hold != before)
        actions.emplace_back(OrderHeld{progress.engine.id, assignment.deployment, progress.hold});
}

bool OrderPlanner::checksFencing(const Progress &progress, const Assignment &assignment) const
{
    const auto &spec = m_catalogue->deployments().at(assignment.deployment);
    return progress.engine.checksFencing && spec.fencing == records::Fencing::Checked;
}

bool OrderPlanner::agrees(const Progress &progress, const Assignment &assignment,
                          const Grant &grant) const
{
    if (progress.state->desired != assignment.target)
        return false;
    // An engine that checks is given the new number even so: it then refuses late orders.
    return !checksFencing(progress, assignment) || progress.acceptedFencing == grant.fencing;
}

Hold OrderPlanner::holdOf(const Progress &progress, const Assignment &assignment,
                          const Grant &grant, base::TimePoint now)
{
    if (progress.orderDue > now)
        return Hold::Backoff;
    const bool waitsOut = !checksFencing(progress, assignment);
    if (waitsOut && now < grant.since + kOrderLimit)
        return Hold::FormerHolder;
    if (!needsLoad(progress, assignment.target))
        return Hold::None;
    if (loads() >= m_limits.atOnce)
        return Hold::LoadsAtOnce;
    if (!m_loadRate->hasToken(now))
        return Hold::LoadRate;
    if (!bucketOf(assignment.deployment, now).hasToken(now))
        return Hold::DeploymentLoadRate;
    return Hold::None;
}

void OrderPlanner::give(std::vector<Action> &actions, Progress &progress,
                        const Assignment &assignment, const Grant &grant, base::TimePoint now)
{
    if (needsLoad(progress, assignment.target)) {
        m_loadRate->take(now);
        bucketOf(assignment.deployment, now).take(now);
    }
    if (progress.accepted == assignment && progress.acceptedFencing == grant.fencing)
        actions.emplace_back(OrderOverridden{progress.engine.id});
    progress.ordered = assignment.target;
    progress.accepted = assignment;
    progress.isOpen = true;
    progress.isFresh = false;
    ++m_open;
    const base::TimePoint before = std::min(grant.until, now + kOrderLimit);
    actions.emplace_back(GiveOrder{progress.engine.id, grant.fencing, assignment, before});
}

bool OrderPlanner::needsLoad(const Progress &progress, const EngineTarget &target) const
{
    return !target.hasSameWeights(progress.state->loaded)
           && !target.hasSameWeights(progress.state->desired);
}

/// Engines that load, or may.
int OrderPlanner::loads() const
{
    return static_cast<int>(std::count_if(m_engines.begin(), m_engines.end(), [](const auto &it) {
        const Progress &progress = it.second;
        if (!progress.state)
            return progress.ordered.has_value();
        return progress.state->isLoading()
               || (progress.ordered && !progress.ordered->hasSameWeights(progress.state->loaded));
    }));
}

TokenBucket &OrderPlanner::bucketOf(const std::string &deployment, base::TimePoint now)
{
    const int perMinute = m_catalogue->deployments().at(deployment).loadsPerMinute;
    // A deployment that is new under this grant has had no loads yet.
    const auto [it, isNew] =
            m_deploymentRates.try_emplace(deployment, TokenBucket(perMinute, 1, 1, now));
    if (!isNew && it->second.perMinute() != perMinute)
        it->second = TokenBucket(perMinute, 1, 0, now);
    return it->second;
}

base::TimePoint OrderPlanner::backOff(base::Millis &backoff, base::TimePoint now)
{
    backoff = std::clamp(backoff * 2, kFirstBackoff, kMaxBackoff);
    return now + jittered(backoff, m_rng);
}

OrderPlanner::Progress *OrderPlanner::endCall(const base::UpstreamId &engine, base::TimePoint now)
{
    const auto it = m_engines.find(engine);
    if (it == m_engines.end() || !it->second.isOpen)
        return nullptr;
    Progress &progress = it->second;
    progress.isOpen = false;
    --m_open;
    if (!std::exchange(progress.isStale, false))
        return &progress;
    progress.readDue = now;
    return nullptr;
}

void OrderPlanner::readDone(const base::UpstreamId &engine, const std::optional<ReadBack> &state,
                            base::TimePoint now)
{
    Progress *progress = endCall(engine, now);
    if (!progress)
        return;
    progress->wasAsked = true;
    if (!state) {
        progress->readDue = backOff(progress->readBackoff, now);
        return;
    }
    progress->readBackoff = base::Millis(0);
    progress->state = state;
    progress->ordered.reset();
    progress->isFresh = true;
    const auto assigned = m_assignments.engines.find(engine);
    const bool isWanted =
            assigned == m_assignments.engines.end() || assigned->second.target == state->desired;
    const bool isSteady = isWanted && !state->isLoading();
    progress->readDue = now + jittered(isSteady ? kReadSteady : kReadSoon, m_rng);
}

void OrderPlanner::orderDone(const base::UpstreamId &engine, OrderResult result,
                             base::TimePoint now)
{
    Progress *progress = endCall(engine, now);
    if (!progress)
        return;
    progress->readDue = now;
    if (result == OrderResult::Accepted) {
        progress->acceptedFencing = m_fencing;
        return;
    }
    progress->accepted.reset();
    progress->orderDue = backOff(progress->orderBackoff, now);
}

Report OrderPlanner::report() const
{
    Report report;
    std::map<std::string, DeploymentReport> deployments;
    if (m_catalogue) {
        for (const auto &[name, spec] : m_catalogue->deployments()) {
            if (spec.dataCentre == m_dataCentre)
                deployments[name] = {name, spec.replicas, 0, 0,
                                     m_assignments.heldByRoutes.contains(name)};
        }
    }
    for (const auto &[id, progress] : m_engines) {
        EngineReport engine{id, "", std::nullopt, progress.state, progress.hold};
        const auto assigned = m_assignments.engines.find(id);
        if (assigned != m_assignments.engines.end()) {
            engine.deployment = assigned->second.deployment;
            engine.target = assigned->second.target;
            DeploymentReport &deployment = deployments[engine.deployment];
            ++deployment.assigned;
            if (progress.state && progress.state->loaded == *engine.target)
                ++deployment.serving;
        }
        report.engines.push_back(std::move(engine));
    }
    for (auto &[name, deployment] : deployments)
        report.deployments.push_back(std::move(deployment));
    return report;
}

} // namespace hyssop::orders
