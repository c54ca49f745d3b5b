#include "SoakPlan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace hyssop::soak {

namespace {

constexpr int kFaults = static_cast<int>(Fault::ResetUpstream) + 1;
constexpr std::array<const char *, kFaults> kNames{
        "kill-entry",   "kill-control",   "kill-engine",   "kill-service",
        "stop-entry",   "stop-control",   "stop-engine",   "stop-service",
        "freeze-entry", "freeze-control", "freeze-engine", "cut-off",
        "silence",      "slow-links",     "cut-upstream",  "reset-upstream"};

constexpr std::int64_t kFirstAtMs = 1'000;
constexpr std::int64_t kMinGapMs = 500;
constexpr std::int64_t kMaxGapMs = 3'000;
constexpr std::int64_t kMaxDownMs = 3'000;
/// Short enough that calls at a frozen entry can still end in their time and its grace.
constexpr std::int64_t kMaxEntryFreezeMs = 3'000;
constexpr std::int64_t kMaxFreezeMs = 8'000;
constexpr std::int64_t kMinCutMs = 2'000;
constexpr std::int64_t kMaxCutMs = 12'000;

std::int64_t drawBetween(base::Rng &rng, std::int64_t low, std::int64_t high)
{
    return low + static_cast<std::int64_t>(rng() % static_cast<std::uint64_t>(high - low + 1));
}

const std::vector<std::string> &targetsOf(Fault fault, const Targets &targets)
{
    switch (fault) {
    case Fault::KillEntry:
    case Fault::StopEntry:
    case Fault::FreezeEntry:
        return targets.entries;
    case Fault::KillControl:
    case Fault::StopControl:
    case Fault::FreezeControl:
        return targets.controls;
    case Fault::KillEngine:
    case Fault::StopEngine:
    case Fault::FreezeEngine:
        return targets.engines;
    case Fault::CutUpstream:
    case Fault::ResetUpstream:
        return targets.upstreams;
    case Fault::KillService:
    case Fault::StopService:
        return targets.services;
    case Fault::CutOff:
    case Fault::Silence:
    case Fault::SlowLinks:
        break;
    }
    return targets.dataCentres;
}

base::Millis drawDuration(base::Rng &rng, Fault fault)
{
    switch (fault) {
    case Fault::FreezeEntry:
        return base::Millis(drawBetween(rng, kMinGapMs, kMaxEntryFreezeMs));
    case Fault::FreezeControl:
    case Fault::FreezeEngine:
        return base::Millis(drawBetween(rng, kMinGapMs, kMaxFreezeMs));
    case Fault::CutOff:
    case Fault::Silence:
    case Fault::SlowLinks:
    case Fault::CutUpstream:
        return base::Millis(drawBetween(rng, kMinCutMs, kMaxCutMs));
    case Fault::ResetUpstream:
        return base::Millis(0);
    default:
        break;
    }
    return base::Millis(drawBetween(rng, 0, kMaxDownMs));
}

/// Every kind once; drawn from its end.
std::vector<Fault> shuffledKinds(base::Rng &rng)
{
    std::vector<Fault> kinds;
    kinds.reserve(kFaults);
    for (int i = 0; i < kFaults; ++i)
        kinds.push_back(static_cast<Fault>(i));
    for (std::size_t i = kinds.size(); i > 1; --i)
        std::swap(kinds[i - 1], kinds[rng() % i]);
    const auto rank = [](Fault it) {
        return it == Fault::StopEngine ? 2 : it == Fault::StopEntry ? 1 : 0;
    };
    std::stable_sort(kinds.begin(), kinds.end(),
                     [&](Fault a, Fault b) { return rank(a) < rank(b); });
    return kinds;
}

} // namespace

std::string_view faultName(Fault fault)
{
    return kNames.at(static_cast<std::size_t>(fault));
}

std::string FaultStep::text() const
{
    return fmt::format("{:>6} ms  {:<15} {:<12} {:>5} ms", at.count(), faultName(fault), target,
                       duration.count());
}

std::vector<FaultStep> drawFaults(base::Rng &rng, const Targets &targets, base::Millis length)
{
    std::vector<FaultStep> steps;
    std::vector<Fault> kinds;
    for (base::Millis at(kFirstAtMs); at < length;) {
        if (kinds.empty())
            kinds = shuffledKinds(rng);
        FaultStep step;
        step.at = at;
        step.fault = kinds.back();
        kinds.pop_back();
        const std::vector<std::string> &all = targetsOf(step.fault, targets);
        step.target = all.at(rng() % all.size());
        step.duration = drawDuration(rng, step.fault);
        steps.push_back(std::move(step));
        at += base::Millis(drawBetween(rng, kMinGapMs, kMaxGapMs));
    }
    return steps;
}

} // namespace hyssop::soak
