// Selects engines for the prefill and the KV cache of long prompts.

#include "DispatcherImpl.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Short prompts that may arrive during the prefill of a long one. Engines for them are kept free.
constexpr double kShortRequestHeadroom = 6;
/// Prompt tokens that add 1 to the value of an answer, where the shortest prompt has value 1. The
/// work that a retry repeats grows with the prompt.
constexpr double kPromptTokensPerValue = 10'000;
/// Share of its value that a late answer keeps.
constexpr double kLateValueShare = 0.25;
/// Share of the value of decoding requests that is lost when a pause makes them late. It exceeds 1
/// because a pause delays more than one event and so weighs more than lateness alone.
constexpr double kPauseLossFactor = 1.2;
/// Values of a short and of a long prompt whose sizes are not known.
constexpr double kTypicalShortValue = 1.6;
constexpr double kTypicalLongValue = 15;
/// Share of its value that a prompt loses when its first event is only just in time, because others
/// then wait longer for its engines.
constexpr double kMaxLatencyLoss = 0.15;
/// Margin for estimates of the first event, which are too early because the current pass must end
/// first.
constexpr double kFirstEventErrorFactor = 1.1;
constexpr double kFirstEventErrorMs = 60;
/// Prefill backlog in milliseconds that counts as much as decoding requests of value 1 when engines
/// are ranked.
constexpr double kPrefillMsPerValue = 25;
/// A prompt waits for better engines, which short prompts are about to leave, when its net value is
/// below this share of its value and of the value on idle engines.
constexpr double kMinValueShare = 0.7;
constexpr double kMinIdleValueShare = 0.95;
/// Shares of the objective for which it waits when it would be in time now and when it would be
/// late.
constexpr double kInTimeWaitShare = 0.35;
constexpr double kLateWaitShare = 0.9;
/// Share of an engine's memory that a split prompt may occupy. The rest is for other requests that
/// decode there.
constexpr double kMaxSplitKvShare = 0.85;

/// Engines that a data centre needs to prefill its own long prompts.
constexpr std::size_t kMinLocalEngines = (kMaxHelpers + 1) / 2;

/// An engine and the costs of prefill there.
struct Candidate
{
    UpstreamState *engine = nullptr;
    double decodeValue = 0; ///< Of short prompts that decode there or are expected to.
    double backlogMs = 0;
};

/// Value of an answer in time to a prompt of this size.
double answerValue(base::Tokens prompt)
{
    return 1 + static_cast<double>(prompt.count()) / kPromptTokensPerValue;
}

/// Value that decoding requests at an engine lose when it prefills for another \a partPrefillMs.
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

/// Expected value of an answer that is worth \a fullValue in time.
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

std::vector<UpstreamState *> Dispatcher::Impl::localLongEngines(const ActiveCall &call,
                                                                const ServiceState &service,
                                                                base::TimePoint now) const
{
    if (m_entryHostCount <= kMaxMeshEntryHosts)
        return {};
    std::vector<UpstreamState *> local;
    for (UpstreamState *it : usableUpstreams(call, service, now)) {
        if (it->info().dataCentre == m_options.dataCentre)
            local.push_back(it);
    }
    const std::int64_t memory =
            EngineModel::usableKvTokens(*service.parameters.engine, kMaxSplitKvShare);
    const bool hasRoom =
            local.size() >= kMinLocalEngines
            && call.kvTokens.count() <= memory * static_cast<std::int64_t>(local.size() / 2);
    return hasRoom ? local : std::vector<UpstreamState *>();
}

std::vector<UpstreamState *> Dispatcher::Impl::enginesKeptForShort(
        const fleet::EngineSpec &spec, const std::vector<UpstreamState *> &engines) const
{
    std::vector<UpstreamState *> kept;
    for (const auto &group : engineGroups(engines)) {
        const auto count = static_cast<std::ptrdiff_t>(
                shortEngineCount(spec, group, kShortRequestHeadroom, true));
        kept.insert(kept.end(), group.end() - count, group.end());
    }
    return kept;
}

LongPrefillPlan Dispatcher::Impl::planLongPrefill(const ActiveCall &call,
                                                  const ServiceParameters &parameters,
                                                  const std::vector<UpstreamState *> &engines,
                                                  base::TimePoint now) const
{
    const std::vector<UpstreamState *> keptForShort =
            enginesKeptForShort(*parameters.engine, engines);
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
    const double answerMs = EngineModel(*parameters.engine)
                                    .answerMs(std::min(call.info.maxOutputTokens,
                                                       parameters.engine->meanAnswerTokens),
                                              call.info.promptTokens);
    const double timeLeftMs = elapsedMs(now, call.info.deadline);
    const auto valueAt = [&](double firstEventMs) {
        // An answer that its caller no longer waits for would only cost others their time.
        if (firstEventMs * kFirstEventErrorFactor + kFirstEventErrorMs + answerMs > timeLeftMs)
            return 0.0;
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
        ActiveCall &call, ServiceState &service, const std::vector<UpstreamState *> &engines,
        base::TimePoint now)
{
    call.blocker = QueueBlocker::Permit;
    if (call.permit != PermitState::Held)
        return std::nullopt;
    call.blocker = QueueBlocker::Engines;
    // While the permit was awaited, engines may have left.
    const std::vector<UpstreamState *> local = call.usesLocalEngines
                                                       ? localLongEngines(call, service, now)
                                                       : std::vector<UpstreamState *>();
    const LongPrefillPlan plan =
            planLongPrefill(call, service.parameters, local.empty() ? engines : local, now);
    if (plan.engines.empty() || isBetterToWait(call, plan, now))
        return std::nullopt;
    call.blocker = QueueBlocker::Memory;
    const fleet::EngineSpec &spec = *service.parameters.engine;
    Placement placement;
    placement.expectedFirstEventMs = plan.expectedFirstEventMs;
    const bool isPlaced = call.isOversized
                                  ? splitMemory(call, spec, plan.engines, placement, now)
                                  : selectPrimaryByMemory(call, spec, plan.engines, placement, now);
    if (!isPlaced) {
        noteRateLimited(call, plan.engines, spec.slots, now);
        return std::nullopt;
    }
    for (UpstreamState *it : plan.engines) {
        if (it != placement.primary && placement.helpers.size() < kMaxHelpers)
            placement.helpers.push_back(it);
    }
    return placement;
}

bool Dispatcher::Impl::splitMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                                   const std::vector<UpstreamState *> &prefillEngines,
                                   Placement &placement, base::TimePoint now)
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
        // A reservation takes several requests, which would use up a rate limit.
        if (it->isRateLimited() && (placement.primary || !it->maySend(now)))
            continue;
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
