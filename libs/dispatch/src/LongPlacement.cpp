// Where a long prompt is read and held.

#include "DispatcherImpl.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Short prompts that may come while long ones are read; engines for them are left free.
constexpr double kShortSlack = 6;
/// Prompt tokens whose answer is worth one answer more than that to the shortest prompt: what a
/// caller has to do again grows with what was read.
constexpr double kTokensPerValue = 10'000;
/// Part of its value that an answer keeps when it is late.
constexpr double kLateValue = 0.25;
/// Part of the value of those who write that is lost where a pause makes them late. Their pauses
/// are noticed by more than one event, so that it weighs more than lateness alone.
constexpr double kPauseLoss = 1.2;
/// Value of a short prompt, and of a long one, whose sizes are not known.
constexpr double kUsualShortValue = 1.6;
constexpr double kUsualLongValue = 15;
/// Part of its value that a prompt loses when its first event comes just in time; others then wait
/// longer for its engines.
constexpr double kSlowLoss = 0.15;
/// Room for an expected first event that is too early: a pass that is under way ends first.
constexpr double kLateFactor = 1.1;
constexpr double kLateMs = 60;
/// Reading before a prompt's own at which an engine is passed over as for a value of 1 that is
/// written there.
constexpr double kReadingPerValueMs = 25;
/// A prompt that expects less than this part of its value, or of what idle engines would bring it,
/// waits for better ones, those that short prompts are leaving...
constexpr double kReadyValue = 0.7;
constexpr double kNearIdle = 0.95;
/// ...for this part of its objective; longer when it would be late all the same.
constexpr double kWaitShare = 0.35;
constexpr double kLatePatience = 0.9;
/// Part of an engine's memory that a prompt held by several may take there; others write beside it.
constexpr double kDividedMemory = 0.85;

/// An engine and what reading there costs.
struct Candidate
{
    UpstreamState *engine = nullptr;
    double value = 0; ///< Of answers to short prompts that it writes, or is expected to.
    double readingMs = 0;
};

double valueOf(base::Tokens prompt)
{
    return 1 + static_cast<double>(prompt.count()) / kTokensPerValue;
}

/// Value lost by those who write at an engine when it reads for \a partMs more.
double lossAt(const Candidate &it, const ServiceFacts &facts, double partMs)
{
    const UpstreamState &engine = *it.engine;
    const double pass =
            EngineModel(*facts.engine)
                    .passMs(engine.requests(),
                            base::Tokens(engine.kv().count() / std::max(1, engine.requests())));
    const double before = pass + it.readingMs;
    const auto makesLate = [&](base::Millis gap) {
        const auto ms = static_cast<double>(gap.count());
        return before <= ms && before + partMs > ms;
    };
    double loss = 0;
    if (makesLate(facts.shortestGap))
        loss += kPauseLoss * it.value;
    if (makesLate(facts.longestGap))
        loss += kPauseLoss * kUsualLongValue * (engine.requests() - engine.shorts());
    return loss;
}

/// What is expected of an answer worth \a value.
double expectedValue(double value, double firstEventMs, bool isInTime, double objectiveMs)
{
    return value * (isInTime ? 1 : kLateValue)
           - value * kSlowLoss * std::min(1.0, firstEventMs / objectiveMs);
}

double millisSince(base::TimePoint then, base::TimePoint now)
{
    return std::chrono::duration<double, std::milli>(now - then).count();
}

} // namespace

std::vector<UpstreamState *> Dispatcher::Impl::keptForShort(
        const std::vector<UpstreamState *> &all) const
{
    std::vector<UpstreamState *> kept;
    for (const auto &side : sides(all)) {
        const auto forShort = static_cast<std::ptrdiff_t>(enginesForShort(side, kShortSlack, true));
        kept.insert(kept.end(), side.end() - forShort, side.end());
    }
    return kept;
}

LongReaders Dispatcher::Impl::readersForLong(const ActiveCall &call, const ServiceFacts &facts,
                                             const std::vector<UpstreamState *> &all,
                                             base::TimePoint now) const
{
    const std::vector<UpstreamState *> kept = keptForShort(all);
    const double coming = kShortSlack * kUsualShortValue
                          / static_cast<double>(std::max<std::size_t>(1, kept.size()));
    std::vector<Candidate> candidates;
    for (UpstreamState *it : all) {
        if (contains(call.tried, it->info().id))
            continue;
        const bool isKept = std::find(kept.begin(), kept.end(), it) != kept.end();
        candidates.push_back(
                {it, it->shorts() * kUsualShortValue + (isKept ? coming : 0), it->readingMs(now)});
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return a.readingMs + a.value * kReadingPerValueMs
               < b.readingMs + b.value * kReadingPerValueMs;
    });
    candidates.resize(std::min(candidates.size(), kMostHelpers + 1));

    LongReaders found;
    found.value = valueOf(call.info.prompt);
    const auto objective = static_cast<double>(call.info.objective.count());
    const double waited = millisSince(call.info.arrivedAt, now);
    const auto isInTime = [&](double firstEventMs) {
        return waited + firstEventMs * kLateFactor + kLateMs <= objective;
    };
    const auto expected = [&](double firstEventMs) {
        return expectedValue(found.value, firstEventMs, isInTime(firstEventMs), objective);
    };
    std::size_t best = 0;
    double reading = 0;
    for (std::size_t n = 1; n <= candidates.size(); ++n) {
        reading = std::max(reading, candidates[n - 1].readingMs);
        const double partMs = call.readMs / static_cast<double>(n);
        const double firstEventMs = reading + partMs;
        double gain = expected(firstEventMs);
        for (std::size_t i = 0; i < n; ++i)
            gain -= lossAt(candidates[i], facts, partMs);
        if (best > 0 && gain < found.gain)
            continue;
        best = n;
        found.gain = gain;
        found.firstEventMs = firstEventMs;
        found.isInTime = isInTime(firstEventMs);
    }
    const auto most = static_cast<double>(std::max<std::size_t>(1, candidates.size()));
    found.idleGain = expected(call.readMs / most);
    for (std::size_t i = 0; i < best; ++i)
        found.engines.push_back(candidates[i].engine);
    return found;
}

bool Dispatcher::Impl::isBetterToWait(const ActiveCall &call, const LongReaders &readers,
                                      base::TimePoint now)
{
    if (readers.gain >= std::min(readers.value * kReadyValue, readers.idleGain * kNearIdle))
        return false;
    if (readers.gain <= 0)
        return true;
    const auto objective = static_cast<double>(call.info.objective.count());
    const double waited = millisSince(call.queuedAt, now);
    return waited < objective * (readers.isInTime ? kWaitShare : kLatePatience);
}

std::optional<Choice> Dispatcher::Impl::chooseForLong(const ActiveCall &call, ServiceState &service,
                                                      const std::vector<UpstreamState *> &all,
                                                      base::TimePoint now)
{
    if (call.permit != Permit::Held)
        return std::nullopt;
    const LongReaders readers = readersForLong(call, service.facts, all, now);
    if (readers.engines.empty() || isBetterToWait(call, readers, now))
        return std::nullopt;
    const fleet::EngineSpec &spec = *service.facts.engine;
    Choice choice;
    choice.firstEventMs = readers.firstEventMs;
    const bool isPlaced = call.isHeavy ? divideMemory(call, spec, readers.engines, choice)
                                       : placeMemory(call, spec, readers.engines, choice, now);
    if (!isPlaced)
        return std::nullopt;
    for (UpstreamState *it : readers.engines) {
        if (it != choice.first && choice.helpers.size() < kMostHelpers)
            choice.helpers.push_back(it);
    }
    return choice;
}

bool Dispatcher::Impl::divideMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                                    const std::vector<UpstreamState *> &readers, Choice &choice)
{
    const std::int64_t most = EngineModel::usableMemory(spec, kDividedMemory);
    const auto room = [most](const UpstreamState *it) {
        return std::max<std::int64_t>(0, most - it->kv().count());
    };
    std::vector<UpstreamState *> byRoom = readers;
    std::stable_sort(byRoom.begin(), byRoom.end(),
                     [&](const auto *a, const auto *b) { return room(a) > room(b); });
    std::int64_t left = call.kv.count();
    for (UpstreamState *it : byRoom) {
        const std::int64_t share = std::min(left, room(it));
        if (left <= 0 || share <= 0)
            break;
        if (!choice.first) {
            choice.first = it;
            choice.firstMemory = base::Tokens(share);
        } else {
            choice.reserves[it] = base::Tokens(share);
        }
        left -= share;
    }
    return left <= 0;
}

bool Dispatcher::Impl::placeMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                                   const std::vector<UpstreamState *> &readers, Choice &choice,
                                   base::TimePoint now)
{
    const std::int64_t limit = EngineModel::usableMemory(spec);
    std::vector<UpstreamState *> roomy;
    std::copy_if(readers.begin(), readers.end(), std::back_inserter(roomy), [&](const auto *it) {
        return it->requests() == 0 || (it->kv() + call.kv).count() <= limit;
    });
    choice.first = leastLoaded(roomy, call, spec.slots, now);
    return choice.first != nullptr;
}

} // namespace hyssop::dispatch
