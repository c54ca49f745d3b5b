// Selects upstreams for calls to plain services and for short prompts.

#include "DispatcherImpl.h"

#include <algorithm>
#include <cmath>

namespace hyssop::dispatch {

namespace {

/// Share of the shortest gap that one part of a prompt may take on an engine. A decode pass and a
/// few other parts share the gap.
constexpr double kMaxPartGapShare = 0.25;
/// Share of the shortest gap above which a prompt is long even when all engines share it. Its parts
/// would cause pauses beside other parts.
constexpr double kLongPromptGapShare = 0.35;
/// Share of the shortest gap that a part of a spread prompt may take while few engines are free for
/// it.
constexpr double kSpreadPartGapShare = 0.4;
/// A prompt whose prefill exceeds this many gaps is spread over all engines.
constexpr double kSpreadThresholdGaps = 1;
/// Short requests per engine before another engine is used. Passes then stay below a third of the
/// gap that chat allows.
constexpr double kShortRequestsPerEngine = 12;
/// Part of an engine's slots up to which short requests are packed. What other hosts sent in the
/// last milliseconds is not known yet, and a request that finds no free slot waits for a whole
/// answer.
constexpr double kMaxPackedSlotShare = 0.9;
/// Mean prefill backlog in milliseconds at engines for short prompts. With more, a new prompt
/// misses an objective of a few hundred milliseconds once the current pass has ended.
constexpr double kShortPrefillBacklogMs = 60;
/// Engines kept free of short prompts while long ones arrive.
constexpr std::size_t kMinEnginesForLong = 2;
/// Time after a long prompt during which more are expected.
constexpr base::Millis kLongPromptWindow{8'000};
/// Prefill backlog at an engine that weighs as much as one request there.
constexpr double kPrefillMsPerRequest = 25;
/// Cost of an engine in another data centre, in requests. Traffic between data centres is paid for.
constexpr double kRemoteCostRequests = 0.4;
/// Advantage of an upstream whose rate limit admits a request now, in requests. The grant for it
/// expires soon.
constexpr double kSendGrantAdvantageRequests = 0.8;

void sortByBacklog(std::vector<UpstreamState *> &engines, base::TimePoint now)
{
    std::stable_sort(engines.begin(), engines.end(), [now](const auto *a, const auto *b) {
        return a->prefillBacklogMs(now) < b->prefillBacklogMs(now);
    });
}

} // namespace

void Dispatcher::Impl::classifyPrompt(ActiveCall &call, ServiceState &service, base::TimePoint now)
{
    const auto &spec = service.parameters.engine;
    if (!spec || call.info.promptTokens.count() == 0)
        return;
    const EngineModel model(*spec);
    call.prefillMs = model.prefillMs(call.info.promptTokens);
    call.kvTokens = model.maxKvTokens(call.info.promptTokens, call.info.maxOutputTokens);
    const auto gapMs = static_cast<double>(service.parameters.shortestGap.count());
    const std::size_t maxParts =
            std::min(kMaxHelpers + 1, std::max<std::size_t>(1, service.upstreams.size()));
    call.isOversized = call.kvTokens.count() > EngineModel::usableKvTokens(*spec);
    if (call.isOversized
        || (gapMs > 0
            && call.prefillMs / static_cast<double>(maxParts) > gapMs * kLongPromptGapShare)) {
        call.promptClass = PromptClass::Long;
        service.longExpectedUntil = now + kLongPromptWindow;
    }
    call.mayNeedPermit = call.promptClass == PromptClass::Long
                         || (gapMs > 0 && call.prefillMs > gapMs * kSpreadThresholdGaps);
}

bool Dispatcher::Impl::isUnservable(const ActiveCall &call, const ServiceState &service,
                                    base::TimePoint now) const
{
    const auto &spec = service.parameters.engine;
    const std::size_t engines = availableUpstreams(service);
    if (!spec || call.info.promptTokens.count() == 0 || engines == 0)
        return false;
    const auto maxParts = static_cast<double>(std::min(kMaxHelpers + 1, engines));
    const std::chrono::duration<double, std::milli> timeLeft = call.info.deadline - now;
    if (call.prefillMs / maxParts > timeLeft.count())
        return true;
    if (spec->kvTokens.count() <= 0)
        return false;
    // Other requests may need half of the engines at the same time.
    const auto engineCount = std::min(kMaxHelpers + 1, (engines + 1) / 2);
    return call.kvTokens.count() > spec->kvTokens.count() * static_cast<std::int64_t>(engineCount);
}

UpstreamState *Dispatcher::Impl::leastLoaded(const std::vector<UpstreamState *> &candidates,
                                             const ActiveCall &call, int maxRequests,
                                             base::TimePoint now)
{
    // Hosts with the same view of the load must not all choose the same upstream.
    std::uniform_real_distribution<double> jitter(0, 0.8);
    UpstreamState *best = nullptr;
    double bestCost = 0;
    for (UpstreamState *it : candidates) {
        if (contains(call.triedUpstreams, it->info().id) || it->requests() >= maxRequests
            || !it->maySend(now))
            continue;
        const bool isRemote = it->info().dataCentre != m_options.dataCentre;
        const double cost = it->requests() + it->prefillBacklogMs(now) / kPrefillMsPerRequest
                            + (isRemote ? kRemoteCostRequests : 0)
                            - (it->isRateLimited() ? kSendGrantAdvantageRequests : 0)
                            + jitter(m_rng);
        if (!best || cost < bestCost) {
            best = it;
            bestCost = cost;
        }
    }
    return best;
}

std::optional<Placement> Dispatcher::Impl::place(ActiveCall &call, ServiceState &service,
                                                 base::TimePoint now)
{
    call.blocker = gateBlocker(call, service, now);
    return service.parameters.engine && call.info.promptTokens.count() > 0
                   ? placePrompt(call, service, now)
                   : placePlain(call, service, now);
}

std::optional<Placement> Dispatcher::Impl::placePlain(ActiveCall &call, ServiceState &service,
                                                      base::TimePoint now)
{
    const std::vector<UpstreamState *> upstreams = usableUpstreams(call, service, now);
    int maxRequests = 1;
    for (const UpstreamState *it : upstreams)
        maxRequests = std::max(maxRequests, it->info().slots);
    if (UpstreamState *best = leastLoaded(upstreams, call, maxRequests, now))
        return Placement{best, {}, {}, {}, 0};
    noteRateLimited(call, upstreams, maxRequests, now);
    return std::nullopt;
}

std::size_t Dispatcher::Impl::shortEngineCount(const fleet::EngineSpec &spec,
                                               const std::vector<UpstreamState *> &engines,
                                               double extraRequests, bool isLongExpected)
{
    const double perEngine = std::min(kShortRequestsPerEngine, spec.slots * kMaxPackedSlotShare);
    double requests = extraRequests;
    for (const UpstreamState *it : engines)
        requests += it->shortRequests();
    const auto wanted = static_cast<std::size_t>(std::ceil(requests / perEngine));
    const std::size_t keptForLong =
            isLongExpected && engines.size() > kMinEnginesForLong ? kMinEnginesForLong : 0;
    return std::clamp<std::size_t>(wanted, 1, engines.size() - keptForLong);
}

std::size_t Dispatcher::Impl::prefillEngineCount(const std::vector<UpstreamState *> &engines,
                                                 std::size_t minCount, double prefillMs,
                                                 base::TimePoint now)
{
    double totalMs = prefillMs;
    std::size_t bestCount = minCount;
    double bestMeanMs = 0;
    for (std::size_t n = 1; n <= engines.size(); ++n) {
        totalMs += engines[engines.size() - n]->prefillBacklogMs(now);
        if (n < minCount)
            continue;
        const double meanMs = totalMs / static_cast<double>(n);
        if (n == minCount || meanMs < bestMeanMs) {
            bestCount = n;
            bestMeanMs = meanMs;
        }
        if (meanMs <= kShortPrefillBacklogMs)
            return n;
    }
    return bestCount;
}

std::vector<std::vector<UpstreamState *>> Dispatcher::Impl::engineGroups(
        const std::vector<UpstreamState *> &engines) const
{
    if (m_entryHostCount <= kMaxMeshEntryHosts)
        return {engines};
    std::map<base::DataCentreId, std::vector<UpstreamState *>> byDataCentre;
    for (UpstreamState *engine : engines)
        byDataCentre[engine->info().dataCentre].push_back(engine);
    std::vector<std::vector<UpstreamState *>> groups;
    groups.reserve(byDataCentre.size());
    for (auto &[dataCentre, group] : byDataCentre)
        groups.push_back(std::move(group));
    return groups;
}

std::optional<Placement> Dispatcher::Impl::placePrompt(ActiveCall &call, ServiceState &service,
                                                       base::TimePoint now)
{
    const std::vector<UpstreamState *> engines = usableUpstreams(call, service, now);
    if (engines.empty())
        return std::nullopt;
    if (call.promptClass == PromptClass::Long)
        return placeLongPrompt(call, service, engines, now);
    auto placement = placeShortPrompt(call, service, engines, now);
    if (!placement || !call.mayNeedPermit)
        return placement;
    const auto gapMs = static_cast<double>(service.parameters.shortestGap.count());
    const auto parts = static_cast<double>(placement->helpers.size() + 1);
    if (call.prefillMs / parts <= gapMs * kSpreadPartGapShare)
        return placement;
    // Too few engines are free for small parts, so the prompt is queued as a long one.
    call.promptClass = PromptClass::Long;
    call.blocker = QueueBlocker::Permit;
    requestPermit(call, now);
    return std::nullopt;
}

std::optional<Placement> Dispatcher::Impl::placeShortPrompt(
        ActiveCall &call, ServiceState &service, const std::vector<UpstreamState *> &engines,
        base::TimePoint now)
{
    const int maxRequests = service.parameters.engine->slots;
    std::vector<UpstreamState *> group = engines;
    for (auto &candidateGroup : engineGroups(engines)) {
        if (candidateGroup.front()->info().dataCentre == m_options.dataCentre)
            group = std::move(candidateGroup);
    }
    if (std::any_of(group.begin(), group.end(),
                    [now](const UpstreamState *it) { return it->maySend(now); }))
        std::erase_if(group, [now](const UpstreamState *it) { return !it->maySend(now); });
    const std::size_t decodeCount =
            shortEngineCount(*service.parameters.engine, group, 1, now < service.longExpectedUntil);
    const auto poolSize = static_cast<std::ptrdiff_t>(
            prefillEngineCount(group, decodeCount, call.prefillMs, now));
    // A trial runs where it can interrupt the fewest requests.
    const bool isTrial = call.trial == TrialState::Granted;
    const std::vector<UpstreamState *> pool =
            isTrial ? group : std::vector<UpstreamState *>(group.end() - poolSize, group.end());
    Placement placement;
    placement.primary = leastLoaded(pool, call, maxRequests, now);
    // Sharing an engine with long prompts is better than no engine at all.
    if (!placement.primary)
        placement.primary = leastLoaded(engines, call, maxRequests, now);
    if (!placement.primary) {
        noteRateLimited(call, engines, maxRequests, now);
        return std::nullopt;
    }
    const auto gapMs = static_cast<double>(service.parameters.shortestGap.count());
    if (gapMs <= 0)
        return placement;
    if (call.mayNeedPermit)
        addSpreadHelpers(call, group, placement, now);
    else
        addMinimalHelpers(call, pool, gapMs, placement, now);
    return placement;
}

std::vector<UpstreamState *> Dispatcher::Impl::helperCandidates(
        const ActiveCall &call, const std::vector<UpstreamState *> &engines,
        const UpstreamState *primary, base::TimePoint now)
{
    std::vector<UpstreamState *> candidates;
    for (UpstreamState *it : engines) {
        if (it != primary && !contains(call.triedUpstreams, it->info().id))
            candidates.push_back(it);
    }
    std::shuffle(candidates.begin(), candidates.end(), m_rng);
    sortByBacklog(candidates, now);
    return candidates;
}

void Dispatcher::Impl::addMinimalHelpers(const ActiveCall &call,
                                         const std::vector<UpstreamState *> &pool, double gapMs,
                                         Placement &placement, base::TimePoint now)
{
    const auto candidates = helperCandidates(call, pool, placement.primary, now);
    const auto maxParts = static_cast<int>(std::min(kMaxHelpers, candidates.size())) + 1;
    const int parts = partCount(call.prefillMs, gapMs * kMaxPartGapShare, maxParts);
    placement.helpers.assign(candidates.begin(), candidates.begin() + parts - 1);
    placement.expectedFirstEventMs =
            placement.primary->prefillBacklogMs(now) + call.prefillMs / parts;
}

void Dispatcher::Impl::addSpreadHelpers(const ActiveCall &call,
                                        const std::vector<UpstreamState *> &engines,
                                        Placement &placement, base::TimePoint now)
{
    double longestBacklogMs = placement.primary->prefillBacklogMs(now);
    for (UpstreamState *it : helperCandidates(call, engines, placement.primary, now)) {
        // An engine with a longer backlog than the rest would delay the whole prompt.
        const double partPrefillMs =
                call.prefillMs / static_cast<double>(placement.helpers.size() + 1);
        const bool isBusier = !placement.helpers.empty()
                              && it->prefillBacklogMs(now) > longestBacklogMs + partPrefillMs;
        if (isBusier || placement.helpers.size() >= kMaxHelpers)
            break;
        longestBacklogMs = std::max(longestBacklogMs, it->prefillBacklogMs(now));
        placement.helpers.push_back(it);
    }
    placement.expectedFirstEventMs =
            longestBacklogMs + call.prefillMs / static_cast<double>(placement.helpers.size() + 1);
}

} // namespace hyssop::dispatch
