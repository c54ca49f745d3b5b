// Where a long prompt is read and held.

#include "DispatcherImpl.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Short prompts that may come while long ones are read; engines for them are left free.
constexpr double kShortRequestHeadroom = 6;
/// Prompt tokens whose answer is worth one answer more than that to the shortest prompt: what a
/// caller has to do again grows with what was read.
constexpr double kPromptTokensPerValue = 10'000;
/// Part of its value that an answer keeps when it is late.
constexpr double kLateValueShare = 0.25;
/// Part of the value of those who write that is lost where a pause makes them late. Their pauses
/// are noticed by more than one event, so that it weighs more than lateness alone.
constexpr double kPauseLossFactor = 1.2;
/// Value of a short prompt, and of a long one, whose sizes are not known.
constexpr double kTypicalShortValue = 1.6;
constexpr double kTypicalLongValue = 15;
/// Part of its value that a prompt loses when its first event comes just in time; others then wait
/// longer for its engines.
constexpr double kMaxLatencyLoss = 0.15;
/// Room for an expected first event that is too early: a pass that is under way ends first.
constexpr double kFirstEventErrorFactor = 1.1;
constexpr double kFirstEventErrorMs = 60;
/// Reading before a prompt's own at which an engine is passed over as for a value of 1 that is
/// written there.
constexpr double kPrefillMsPerValue = 25;
/// A prompt that expects less than this part of its value, or of what idle engines would bring it,
/// waits for better ones, those that short prompts are leaving...
constexpr double kMinValueShare = 0.7;
constexpr double kMinIdleValueShare = 0.95;
/// ...for this part of its objective; longer when it would be late all the same.
constexpr double kInTimeWaitShare = 0.35;
constexpr double kLateWaitShare = 0.9;
/// Part of an engine's memory that a prompt held by several may take there; others write beside it.
constexpr double kMaxSplitKvShare = 0.85;

/// An engine and what reading there costs.
struct Candidate
{
    UpstreamState *engine = nullptr;
    double decodeValue = 0; ///< Of answers to short prompts that it writes, or is expected to.
    double backlogMs = 0;
};

double answerValue(base::Tokens prompt)
{
    return 1 + static_cast<double>(prompt.count()) / kPromptTokensPerValue;
}

/// Value lost by those who write at an engine when it reads for \a partMs more.
double pauseLoss(const Candidate &candidate, const ServiceParameters &parameters,
                 double partPrefillMs)
{
    const UpstreamState &engine = *candidate.engine;
    const double passMs =
            EngineModel(*parameters.engine)
                    .passMs(engine.requests(), base::Tokens(engine.kvTokens().count()
                                                            / std::max(1, engine.requests())));
    const double currentPauseMs = passMs + candidate.backlogMs;
    const auto makesLate = [&](base::Millis gap) {
        const auto gapMs = static_cast<double>(gap.count());
        return currentPauseMs <= gapMs && currentPauseMs + partPrefillMs > gapMs;
    };
    double loss = 0;
    if (makesLate(parameters.shortestGap))
        loss += kPauseLossFactor * candidate.decodeValue;
    if (makesLate(parameters.longestGap))
        loss += kPauseLossFactor * kTypicalLongValue * (engine.requests() - engine.shortRequests());
    return loss;
}

/// What is expected of an answer worth \a value.
double expectedValue(double fullValue, double firstEventMs, bool isInTime, double objectiveMs)
{
    return fullValue * (isInTime ? 1 : kLateValueShare)
           - fullValue * kMaxLatencyLoss * std::min(1.0, firstEventMs / objectiveMs);
}

double elapsedMs(base::TimePoint start, base::TimePoint now)
{
    return std::chrono::duration<double, std::milli>(now - start).count();
}

} // namespace

std::vector<UpstreamState *> Dispatcher::Impl::enginesKeptForShort(
        const std::vector<UpstreamState *> &engines) const
{
    std::vector<UpstreamState *> kept;
    for (const auto &group : engineGroups(engines)) {
        const auto count =
                static_cast<std::ptrdiff_t>(shortEngineCount(group, kShortRequestHeadroom, true));
        kept.insert(kept.end(), group.end() - count, group.end());
    }
    return kept;
}

LongPrefillPlan Dispatcher::Impl::planLongPrefill(const ActiveCall &call,
                                                  const ServiceParameters &parameters,
                                                  const std::vector<UpstreamState *> &engines,
                                                  base::TimePoint now) const
{
    const std::vector<UpstreamState *> keptForShort = enginesKeptForShort(engines);
    const double expectedShortValue =
            kShortRequestHeadroom * kTypicalShortValue
            / static_cast<double>(std::max<std::size_t>(1, keptForShort.size()));
    std::vector<Candidate> candidates;
    for (UpstreamState *engine : engines) {
        if (contains(call.triedUpstreams, engine->info().id))
            continue;
        const bool isKeptForShort =
                std::find(keptForShort.begin(), keptForShort.end(), engine) != keptForShort.end();
        candidates.push_back({engine,
                              engine->shortRequests() * kTypicalShortValue
                                      + (isKeptForShort ? expectedShortValue : 0),
                              engine->prefillBacklogMs(now)});
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return a.backlogMs + a.decodeValue * kPrefillMsPerValue
               < b.backlogMs + b.decodeValue * kPrefillMsPerValue;
    });
    candidates.resize(std::min(candidates.size(), kMaxHelpers + 1));

    LongPrefillPlan plan;
    plan.answerValue = answerValue(call.info.promptTokens);
    const auto objectiveMs = static_cast<double>(call.info.latencyObjective.count());
    const double waitedMs = elapsedMs(call.info.arrivedAt, now);
    const auto isInTime = [&](double firstEventMs) {
        return waitedMs + firstEventMs * kFirstEventErrorFactor + kFirstEventErrorMs <= objectiveMs;
    };
    const auto valueAt = [&](double firstEventMs) {
        return expectedValue(plan.answerValue, firstEventMs, isInTime(firstEventMs), objectiveMs);
    };
    std::size_t bestCount = 0;
    double backlogMs = 0;
    for (std::size_t n = 1; n <= candidates.size(); ++n) {
        backlogMs = std::max(backlogMs, candidates[n - 1].backlogMs);
        const double partPrefillMs = call.prefillMs / static_cast<double>(n);
        const double firstEventMs = backlogMs + partPrefillMs;
        double netValue = valueAt(firstEventMs);
        for (std::size_t i = 0; i < n; ++i)
            netValue -= pauseLoss(candidates[i], parameters, partPrefillMs);
        if (bestCount > 0 && netValue < plan.netValue)
            continue;
        bestCount = n;
        plan.netValue = netValue;
        plan.expectedFirstEventMs = firstEventMs;
        plan.isInTime = isInTime(firstEventMs);
    }
    const auto maxParts = static_cast<double>(std::max<std::size_t>(1, candidates.size()));
    plan.idleNetValue = valueAt(call.prefillMs / maxParts);
    for (std::size_t i = 0; i < bestCount; ++i)
        plan.engines.push_back(candidates[i].engine);
    return plan;
}

bool Dispatcher::Impl::isBetterToWait(const ActiveCall &call, const LongPrefillPlan &plan,
                                      base::TimePoint now)
{
    if (plan.netValue
        >= std::min(plan.answerValue * kMinValueShare, plan.idleNetValue * kMinIdleValueShare))
        return false;
    if (plan.netValue <= 0)
        return true;
    const auto objectiveMs = static_cast<double>(call.info.latencyObjective.count());
    const double waitedMs = elapsedMs(call.queuedAt, now);
    return waitedMs < objectiveMs * (plan.isInTime ? kInTimeWaitShare : kLateWaitShare);
}

std::optional<Placement> Dispatcher::Impl::placeLongPrompt(
        const ActiveCall &call, ServiceState &service, const std::vector<UpstreamState *> &engines,
        base::TimePoint now)
{
    if (call.permit != PermitState::Held)
        return std::nullopt;
    const LongPrefillPlan plan = planLongPrefill(call, service.parameters, engines, now);
    if (plan.engines.empty() || isBetterToWait(call, plan, now))
        return std::nullopt;
    const fleet::EngineSpec &spec = *service.parameters.engine;
    Placement placement;
    placement.expectedFirstEventMs = plan.expectedFirstEventMs;
    const bool isPlaced = call.isOversized
                                  ? splitMemory(call, spec, plan.engines, placement)
                                  : selectPrimaryByMemory(call, spec, plan.engines, placement, now);
    if (!isPlaced)
        return std::nullopt;
    for (UpstreamState *it : plan.engines) {
        if (it != placement.primary && placement.helpers.size() < kMaxHelpers)
            placement.helpers.push_back(it);
    }
    return placement;
}

bool Dispatcher::Impl::splitMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                                   const std::vector<UpstreamState *> &prefillEngines,
                                   Placement &placement)
{
    const std::int64_t limit = EngineModel::usableKvTokens(spec, kMaxSplitKvShare);
    const auto freeTokens = [limit](const UpstreamState *it) {
        return std::max<std::int64_t>(0, limit - it->kvTokens().count());
    };
    std::vector<UpstreamState *> byFreeTokens = prefillEngines;
    std::stable_sort(byFreeTokens.begin(), byFreeTokens.end(),
                     [&](const auto *a, const auto *b) { return freeTokens(a) > freeTokens(b); });
    std::int64_t remaining = call.kvTokens.count();
    for (UpstreamState *it : byFreeTokens) {
        const std::int64_t share = std::min(remaining, freeTokens(it));
        if (remaining <= 0 || share <= 0)
            break;
        if (!placement.primary) {
            placement.primary = it;
            placement.primaryKvTokens = base::Tokens(share);
        } else {
            placement.helperKvTokens[it] = base::Tokens(share);
        }
        remaining -= share;
    }
    return remaining <= 0;
}

bool Dispatcher::Impl::selectPrimaryByMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                                             const std::vector<UpstreamState *> &prefillEngines,
                                             Placement &placement, base::TimePoint now)
{
    const std::int64_t limit = EngineModel::usableKvTokens(spec);
    std::vector<UpstreamState *> candidates;
    std::copy_if(prefillEngines.begin(), prefillEngines.end(), std::back_inserter(candidates),
                 [&](const auto *it) {
                     return it->requests() == 0
                            || (it->kvTokens() + call.kvTokens).count() <= limit;
                 });
    placement.primary = leastLoaded(candidates, call, spec.slots, now);
    return placement.primary != nullptr;
}

} // namespace hyssop::dispatch
