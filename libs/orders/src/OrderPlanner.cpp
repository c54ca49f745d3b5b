#include "orders/Orders.h"

#include <algorithm>

namespace hyssop::orders {

namespace {

/// Jitter is at most the time it is added to, divided by this.
constexpr int kJitterDivisor = 4;

base::Millis withJitter(base::Millis time, base::Rng &rng)
{
    const auto maxJitter = time.count() / kJitterDivisor;
    return time + base::Millis(std::uniform_int_distribution<std::int64_t>(0, maxJitter)(rng));
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

bool OrderPlanner::hasDeployments() const
{
    if (!m_catalogue)
        return false;
    const auto &deployments = m_catalogue->deployments();
    return std::any_of(deployments.begin(), deployments.end(),
                       [this](const auto &it) { return it.second.dataCentre == m_dataCentre; });
}

void OrderPlanner::setEngines(const std::vector<Engine> &engines, base::TimePoint now)
{
    std::set<base::UpstreamId> presentIds;
    for (const Engine &engine : engines) {
        presentIds.insert(engine.id);
        EngineProgress &progress = m_engines[engine.id];
        // A restarted engine has lost its orders.
        if (progress.engine.incarnation != engine.incarnation)
            resetProgress(progress, now);
        progress.engine = engine;
    }
    std::erase_if(m_engines, [&presentIds](const auto &it) {
        return !it.second.hasOpenCall && !presentIds.contains(it.first);
    });
    for (auto &[id, progress] : m_engines) {
        // An engine that is gone is kept only until its open call ends.
        if (!presentIds.contains(id))
            progress.engine.isLeaving = true;
    }
}

void OrderPlanner::startGrant(const LeaseGrant &grant, base::TimePoint now)
{
    m_fencingToken = grant.fencingToken;
    // The former holder may just have used up the allowed rate, so the buckets start empty.
    m_loadBucket.emplace(m_limits.maxPerMinute, m_limits.maxConcurrent, 0, now);
    m_deploymentBuckets.clear();
    for (const auto &[name, spec] : m_catalogue->deployments())
        m_deploymentBuckets.emplace(name, TokenBucket(spec.loadsPerMinute, 1, 0, now));
    for (auto &[id, progress] : m_engines)
        resetProgress(progress, now);
}

void OrderPlanner::resetProgress(EngineProgress &progress, base::TimePoint now)
{
    EngineProgress cleared;
    cleared.engine = progress.engine;
    cleared.hasOpenCall = progress.hasOpenCall;
    cleared.isOpenCallStale = progress.hasOpenCall;
    cleared.nextReadAt = now;
    progress = std::move(cleared);
}

bool OrderPlanner::hasReadAllEngines() const
{
    return std::all_of(m_engines.begin(), m_engines.end(), [](const auto &it) {
        return it.second.wasRead || it.second.engine.isLeaving;
    });
}

std::vector<EngineView> OrderPlanner::engineViews() const
{
    std::vector<EngineView> views;
    for (const auto &[id, progress] : m_engines) {
        EngineView view{progress.engine, progress.pendingTarget, std::nullopt};
        if (progress.lastRead) {
            view.loaded = progress.lastRead->loaded;
            if (!view.desired)
                view.desired = progress.lastRead->desired;
        }
        views.push_back(std::move(view));
    }
    return views;
}

std::vector<OrderAction> OrderPlanner::nextActions(const std::optional<LeaseGrant> &grant,
                                                   base::TimePoint now)
{
    std::vector<OrderAction> actions;
    if (!grant || !hasDeployments()) {
        m_assignments = {};
        return actions;
    }
    if (grant->fencingToken != m_fencingToken)
        startGrant(*grant, now);
    // Loads in progress count whichever host ordered them, so all engines are read first.
    if (hasReadAllEngines())
        addOrders(actions, *grant, now);
    addReads(actions, now);
    return actions;
}

void OrderPlanner::addReads(std::vector<OrderAction> &actions, base::TimePoint now)
{
    for (auto &[id, progress] : m_engines) {
        if (m_openCallCount >= kMaxOpenCalls)
            return;
        if (progress.hasOpenCall || progress.nextReadAt > now || progress.engine.isLeaving)
            continue;
        progress.hasOpenCall = true;
        ++m_openCallCount;
        actions.emplace_back(ReadState{id});
    }
}

void OrderPlanner::addOrders(std::vector<OrderAction> &actions, const LeaseGrant &grant,
                             base::TimePoint now)
{
    m_assignments = assign(m_dataCentre, *m_catalogue, engineViews());
    for (const auto &[id, assignment] : m_assignments.engines) {
        if (m_openCallCount >= kMaxOpenCalls)
            return;
        planOrder(actions, m_engines.at(id), assignment, grant, now);
    }
}

void OrderPlanner::planOrder(std::vector<OrderAction> &actions, EngineProgress &progress,
                             const Assignment &assignment, const LeaseGrant &grant,
                             base::TimePoint now)
{
    if (progress.hasOpenCall || !progress.isReadCurrent)
        return;
    const Hold previousHold = progress.hold;
    if (isUpToDate(progress, assignment, grant)) {
        progress.hold = Hold::None;
        progress.orderBackoff = base::Millis(0);
        return;
    }
    progress.hold = findHold(progress, assignment, grant, now);
    if (progress.hold == Hold::None)
        addOrder(actions, progress, assignment, grant, now);
    else if (progress.hold != previousHold)
        actions.emplace_back(OrderHeld{progress.engine.id, assignment.deployment, progress.hold});
}

bool OrderPlanner::checksFencing(const EngineProgress &progress, const Assignment &assignment) const
{
    const auto &spec = m_catalogue->deployments().at(assignment.deployment);
    return progress.engine.checksFencing && spec.fencing == records::Fencing::Checked;
}

bool OrderPlanner::isUpToDate(const EngineProgress &progress, const Assignment &assignment,
                              const LeaseGrant &grant) const
{
    if (progress.lastRead->desired != assignment.target)
        return false;
    // An engine that checks fencing is sent the new token even if its state matches, so that it
    // rejects delayed orders of the former holder.
    return !checksFencing(progress, assignment)
           || progress.acceptedFencingToken == grant.fencingToken;
}

Hold OrderPlanner::findHold(const EngineProgress &progress, const Assignment &assignment,
                            const LeaseGrant &grant, base::TimePoint now)
{
    if (progress.nextOrderAt > now)
        return Hold::Backoff;
    const bool ignoresFencing = !checksFencing(progress, assignment);
    if (ignoresFencing && now < grant.firstGrantedAt + kOrderTimeout)
        return Hold::FormerHolder;
    if (!needsLoad(progress, assignment.target))
        return Hold::None;
    if (loadingEngineCount() >= m_limits.maxConcurrent)
        return Hold::LoadsAtOnce;
    if (!m_loadBucket->hasToken(now))
        return Hold::LoadRate;
    if (!deploymentBucket(assignment.deployment, now).hasToken(now))
        return Hold::DeploymentLoadRate;
    return Hold::None;
}

void OrderPlanner::addOrder(std::vector<OrderAction> &actions, EngineProgress &progress,
                            const Assignment &assignment, const LeaseGrant &grant,
                            base::TimePoint now)
{
    if (needsLoad(progress, assignment.target)) {
        m_loadBucket->take(now);
        deploymentBucket(assignment.deployment, now).take(now);
    }
    if (progress.lastOrder == assignment && progress.acceptedFencingToken == grant.fencingToken)
        actions.emplace_back(OrderOverridden{progress.engine.id});
    progress.pendingTarget = assignment.target;
    progress.lastOrder = assignment;
    progress.hasOpenCall = true;
    progress.isReadCurrent = false;
    ++m_openCallCount;
    const base::TimePoint sendDeadline = std::min(grant.validUntil, now + kOrderTimeout);
    actions.emplace_back(
            SendOrder{progress.engine.id, grant.fencingToken, assignment, sendDeadline});
}

bool OrderPlanner::needsLoad(const EngineProgress &progress, const EngineTarget &target) const
{
    return !target.hasSameWeights(progress.lastRead->loaded)
           && !target.hasSameWeights(progress.lastRead->desired);
}

/// Number of engines that are loading, or may be as the last order has not been read back.
int OrderPlanner::loadingEngineCount() const
{
    return static_cast<int>(std::count_if(m_engines.begin(), m_engines.end(), [](const auto &it) {
        const EngineProgress &progress = it.second;
        if (!progress.lastRead)
            return progress.pendingTarget.has_value();
        return progress.lastRead->isLoading()
               || (progress.pendingTarget
                   && !progress.pendingTarget->hasSameWeights(progress.lastRead->loaded));
    }));
}

TokenBucket &OrderPlanner::deploymentBucket(const std::string &deployment, base::TimePoint now)
{
    const int perMinute = m_catalogue->deployments().at(deployment).loadsPerMinute;
    // No loads have been ordered yet for a deployment that is new under this grant.
    const auto [it, isNew] =
            m_deploymentBuckets.try_emplace(deployment, TokenBucket(perMinute, 1, 1, now));
    if (!isNew && it->second.perMinute() != perMinute)
        it->second = TokenBucket(perMinute, 1, 0, now);
    return it->second;
}

base::TimePoint OrderPlanner::nextRetryAt(base::Millis &backoff, base::TimePoint now)
{
    backoff = std::clamp(backoff * 2, kFirstBackoff, kMaxBackoff);
    return now + withJitter(backoff, m_rng);
}

OrderPlanner::EngineProgress *OrderPlanner::endCall(const base::UpstreamId &engine,
                                                    base::TimePoint now)
{
    const auto it = m_engines.find(engine);
    if (it == m_engines.end() || !it->second.hasOpenCall)
        return nullptr;
    EngineProgress &progress = it->second;
    progress.hasOpenCall = false;
    --m_openCallCount;
    if (!std::exchange(progress.isOpenCallStale, false))
        return &progress;
    progress.nextReadAt = now;
    return nullptr;
}

void OrderPlanner::onReadDone(const base::UpstreamId &engine,
                              const std::optional<ReportedState> &state, base::TimePoint now)
{
    EngineProgress *progress = endCall(engine, now);
    if (!progress)
        return;
    progress->wasRead = true;
    if (!state) {
        progress->nextReadAt = nextRetryAt(progress->readBackoff, now);
        return;
    }
    progress->readBackoff = base::Millis(0);
    progress->lastRead = state;
    progress->pendingTarget.reset();
    progress->isReadCurrent = true;
    const auto assigned = m_assignments.engines.find(engine);
    const bool matchesAssignment =
            assigned == m_assignments.engines.end() || assigned->second.target == state->desired;
    const bool isConverged = matchesAssignment && !state->isLoading();
    progress->nextReadAt =
            now
            + withJitter(isConverged ? kConvergedReadInterval : kUnconvergedReadInterval, m_rng);
}

void OrderPlanner::onOrderDone(const base::UpstreamId &engine, OrderResult result,
                               base::TimePoint now)
{
    EngineProgress *progress = endCall(engine, now);
    if (!progress)
        return;
    progress->nextReadAt = now;
    if (result == OrderResult::Accepted) {
        progress->acceptedFencingToken = m_fencingToken;
        return;
    }
    progress->lastOrder.reset();
    progress->nextOrderAt = nextRetryAt(progress->orderBackoff, now);
}

OrderReport OrderPlanner::report() const
{
    OrderReport report;
    std::map<std::string, DeploymentReport> deployments;
    if (m_catalogue) {
        for (const auto &[name, spec] : m_catalogue->deployments()) {
            if (spec.dataCentre == m_dataCentre)
                deployments[name] = {name, spec.replicas, 0, 0,
                                     m_assignments.heldByRoutes.contains(name)};
        }
    }
    for (const auto &[id, progress] : m_engines) {
        EngineReport engine{id, "", std::nullopt, progress.lastRead, progress.hold};
        const auto assigned = m_assignments.engines.find(id);
        if (assigned != m_assignments.engines.end()) {
            engine.deployment = assigned->second.deployment;
            engine.target = assigned->second.target;
            DeploymentReport &deployment = deployments[engine.deployment];
            ++deployment.assigned;
            if (progress.lastRead && progress.lastRead->loaded == *engine.target)
                ++deployment.serving;
        }
        report.engines.push_back(std::move(engine));
    }
    for (auto &[name, deployment] : deployments)
        report.deployments.push_back(std::move(deployment));
    return report;
}

} // namespace hyssop::orders
