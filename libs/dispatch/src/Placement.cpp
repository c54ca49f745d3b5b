// Where a call goes.

#include "DispatcherImpl.h"

#include <algorithm>
#include <cmath>

namespace hyssop::dispatch {

namespace {

/// Part of the shortest pause between tokens that a prompt's part may take at one engine: a pass of
/// the writers and a few other parts share it.
constexpr double kPartOfGap = 0.25;
/// Part of that pause at which a prompt is long even when all engines share it: beside others its
/// parts would make pauses.
constexpr double kLongPartOfGap = 0.35;
/// Part of that pause that a part of a spread prompt may take while its readers are few.
constexpr double kSpreadPartOfGap = 0.4;
/// Prompts that take longer to read than this many pauses are spread over all engines.
constexpr double kSpreadGaps = 1;
/// Requests of short prompts that an engine is filled with before another one is used; passes stay
/// below a third of the pause that chat allows.
constexpr double kShortPerEngine = 12;
/// Reading that may wait at an engine for short prompts, on the mean: with more of it a prompt that
/// comes now misses an objective of a few hundred milliseconds after the pass that is under way.
constexpr double kShortReadingMs = 60;
/// Entry hosts that tell each other their load at once. Where there are more, those of a data
/// centre do, and keep to its engines for short prompts.
constexpr int kMostTelling = 31;
/// Engines that short prompts leave alone while long ones come.
constexpr std::size_t kLeastForLong = 2;
/// Long prompts are about for this long after one was seen.
constexpr base::Millis kLongMemory{8'000};
/// Reading at an engine that weighs as much as one request there, in milliseconds.
constexpr double kReadingPerRequestMs = 25;
/// Cost of an engine in another data centre, in requests: bytes between them are paid for.
constexpr double kRemoteCost = 0.4;

void sortByReading(std::vector<UpstreamState *> &engines, base::TimePoint now)
{
    std::stable_sort(engines.begin(), engines.end(), [now](const auto *a, const auto *b) {
        return a->readingMs(now) < b->readingMs(now);
    });
}

} // namespace

void Dispatcher::Impl::classify(ActiveCall &call, ServiceState &service, base::TimePoint now)
{
    const auto &spec = service.facts.engine;
    if (!spec || call.info.prompt.count() == 0)
        return;
    const EngineModel model(*spec);
    call.readMs = model.readMs(call.info.prompt);
    call.kv = model.memoryFor(call.info.prompt, call.info.maxOutput);
    const auto gap = static_cast<double>(service.facts.shortestGap.count());
    const std::size_t most =
            std::min(kMostHelpers + 1, std::max<std::size_t>(1, service.upstreams.size()));
    call.isHeavy = call.kv.count() > EngineModel::usableMemory(*spec);
    if (call.isHeavy
        || (gap > 0 && call.readMs / static_cast<double>(most) > gap * kLongPartOfGap)) {
        call.size = SizeClass::Long;
        service.longUntil = now + kLongMemory;
    }
}

bool Dispatcher::Impl::isUnservable(const ActiveCall &call, const ServiceState &service)
{
    const auto &spec = service.facts.engine;
    if (!spec || spec->kvTokens.count() <= 0)
        return false;
    // Half of the engines may be needed by others while it is there.
    const auto engines = std::min(kMostHelpers + 1, (service.upstreams.size() + 1) / 2);
    return call.kv.count() > spec->kvTokens.count() * static_cast<std::int64_t>(engines);
}

std::vector<UpstreamState *> Dispatcher::Impl::usable(const ServiceState &service,
                                                      base::TimePoint now) const
{
    std::vector<UpstreamState *> all;
    for (UpstreamState *it : service.upstreams) {
        const bool isNear = it->info().dataCentre == m_options.dataCentre;
        if (it->isUsable(now) && (isNear || !m_reach.isCut(it->info().dataCentre, now)))
            all.push_back(it);
    }
    if (!all.empty())
        return all;
    for (UpstreamState *it : service.upstreams) {
        if (!it->info().isLeaving)
            all.push_back(it);
    }
    return all;
}

UpstreamState *Dispatcher::Impl::leastLoaded(const std::vector<UpstreamState *> &from,
                                             const ActiveCall &call, int slots, base::TimePoint now)
{
    // Hosts that see the same loads must not all choose the same upstream.
    std::uniform_real_distribution<double> jitter(0, 0.8);
    UpstreamState *best = nullptr;
    double bestCost = 0;
    for (UpstreamState *it : from) {
        if (contains(call.tried, it->info().id) || it->requests() >= slots)
            continue;
        const bool isRemote = it->info().dataCentre != m_options.dataCentre;
        const double cost = it->requests() + it->readingMs(now) / kReadingPerRequestMs
                            + (isRemote ? kRemoteCost : 0) + jitter(m_rng);
        if (!best || cost < bestCost) {
            best = it;
            bestCost = cost;
        }
    }
    return best;
}

std::optional<Choice> Dispatcher::Impl::choose(ActiveCall &call, ServiceState &service,
                                               base::TimePoint now)
{
    return service.facts.engine && call.info.prompt.count() > 0 ? chooseEngines(call, service, now)
                                                                : choosePlain(call, service, now);
}

std::optional<Choice> Dispatcher::Impl::choosePlain(const ActiveCall &call, ServiceState &service,
                                                    base::TimePoint now)
{
    const std::vector<UpstreamState *> all = usable(service, now);
    int slots = 1;
    for (const UpstreamState *it : all)
        slots = std::max(slots, it->info().slots);
    if (UpstreamState *best = leastLoaded(all, call, slots, now))
        return Choice{best, {}, {}, {}, 0};
    return std::nullopt;
}

std::size_t Dispatcher::Impl::enginesForShort(const std::vector<UpstreamState *> &all, double more,
                                              bool isLongAbout)
{
    double shorts = more;
    for (const UpstreamState *it : all)
        shorts += it->shorts();
    const auto wanted = static_cast<std::size_t>(std::ceil(shorts / kShortPerEngine));
    const std::size_t kept = isLongAbout && all.size() > kLeastForLong ? kLeastForLong : 0;
    return std::clamp<std::size_t>(wanted, 1, all.size() - kept);
}

std::size_t Dispatcher::Impl::enginesToRead(const std::vector<UpstreamState *> &all,
                                            std::size_t least, double readMs, base::TimePoint now)
{
    double reading = readMs;
    std::size_t best = least;
    double bestMean = 0;
    for (std::size_t n = 1; n <= all.size(); ++n) {
        reading += all[all.size() - n]->readingMs(now);
        if (n < least)
            continue;
        const double mean = reading / static_cast<double>(n);
        if (n == least || mean < bestMean) {
            best = n;
            bestMean = mean;
        }
        if (mean <= kShortReadingMs)
            return n;
    }
    return best;
}

std::vector<std::vector<UpstreamState *>> Dispatcher::Impl::sides(
        const std::vector<UpstreamState *> &all) const
{
    if (m_entries <= kMostTelling)
        return {all};
    std::map<base::DataCentreId, std::vector<UpstreamState *>> byDataCentre;
    for (UpstreamState *it : all)
        byDataCentre[it->info().dataCentre].push_back(it);
    std::vector<std::vector<UpstreamState *>> sides;
    sides.reserve(byDataCentre.size());
    for (auto &[dataCentre, engines] : byDataCentre)
        sides.push_back(std::move(engines));
    return sides;
}

std::optional<Choice> Dispatcher::Impl::chooseEngines(ActiveCall &call, ServiceState &service,
                                                      base::TimePoint now)
{
    const std::vector<UpstreamState *> all = usable(service, now);
    if (all.empty())
        return std::nullopt;
    if (call.size == SizeClass::Long)
        return chooseForLong(call, service, all, now);
    auto choice = chooseForShort(call, service, all, now);
    const auto gap = static_cast<double>(service.facts.shortestGap.count());
    if (!choice || call.readMs <= gap * kSpreadGaps)
        return choice;
    const auto parts = static_cast<double>(choice->helpers.size() + 1);
    if (call.readMs / parts <= gap * kSpreadPartOfGap)
        return choice;
    // Too few engines are free to read it in small parts: it takes its turn among the long ones.
    call.size = SizeClass::Long;
    askPermit(call, now);
    return std::nullopt;
}

std::optional<Choice> Dispatcher::Impl::chooseForShort(const ActiveCall &call,
                                                       ServiceState &service,
                                                       const std::vector<UpstreamState *> &all,
                                                       base::TimePoint now)
{
    const int slots = service.facts.engine->slots;
    std::vector<UpstreamState *> from = all;
    for (auto &side : sides(all)) {
        if (side.front()->info().dataCentre == m_options.dataCentre)
            from = std::move(side);
    }
    const std::size_t held = enginesForShort(from, 1, now < service.longUntil);
    const auto own = static_cast<std::ptrdiff_t>(enginesToRead(from, held, call.readMs, now));
    const std::vector<UpstreamState *> pool(from.end() - own, from.end());
    Choice choice;
    choice.first = leastLoaded(pool, call, slots, now);
    // Rather beside long prompts than not at all.
    if (!choice.first)
        choice.first = leastLoaded(all, call, slots, now);
    if (!choice.first)
        return std::nullopt;
    const auto gap = static_cast<double>(service.facts.shortestGap.count());
    if (gap <= 0)
        return choice;
    // Parts that are small wherever they are read need not keep to a side.
    if (call.readMs > gap * kSpreadGaps)
        addSpreadHelpers(call, all, choice, now);
    else
        addFewHelpers(call, pool, gap, choice, now);
    return choice;
}

std::vector<UpstreamState *> Dispatcher::Impl::helperCandidates(
        const ActiveCall &call, const std::vector<UpstreamState *> &from,
        const UpstreamState *first, base::TimePoint now)
{
    std::vector<UpstreamState *> candidates;
    for (UpstreamState *it : from) {
        if (it != first && !contains(call.tried, it->info().id))
            candidates.push_back(it);
    }
    std::shuffle(candidates.begin(), candidates.end(), m_rng);
    sortByReading(candidates, now);
    return candidates;
}

void Dispatcher::Impl::addFewHelpers(const ActiveCall &call,
                                     const std::vector<UpstreamState *> &pool, double gap,
                                     Choice &choice, base::TimePoint now)
{
    const auto candidates = helperCandidates(call, pool, choice.first, now);
    const auto most = static_cast<int>(std::min(kMostHelpers, candidates.size())) + 1;
    const int parts = partsFor(call.readMs, gap * kPartOfGap, most);
    choice.helpers.assign(candidates.begin(), candidates.begin() + parts - 1);
    choice.firstEventMs = choice.first->readingMs(now) + call.readMs / parts;
}

void Dispatcher::Impl::addSpreadHelpers(const ActiveCall &call,
                                        const std::vector<UpstreamState *> &all, Choice &choice,
                                        base::TimePoint now)
{
    double behind = choice.first->readingMs(now);
    for (UpstreamState *it : helperCandidates(call, all, choice.first, now)) {
        // One that is busy for longer than the rest would hold up all.
        const double left = call.readMs / static_cast<double>(choice.helpers.size() + 1);
        const bool isBusy = !choice.helpers.empty() && it->readingMs(now) > behind + left;
        if (isBusy || choice.helpers.size() >= kMostHelpers)
            break;
        behind = std::max(behind, it->readingMs(now));
        choice.helpers.push_back(it);
    }
    choice.firstEventMs = behind + call.readMs / static_cast<double>(choice.helpers.size() + 1);
}

} // namespace hyssop::dispatch
