// Where a call goes.

#include "DispatcherImpl.h"

#include <algorithm>
#include <cmath>

namespace hyssop::dispatch {

namespace {

/// Helpers that one request may name, as engines accept them.
constexpr std::size_t kMostHelpers = 16;
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
/// Short prompts that may come while long ones are read; engines for them are left free.
constexpr double kShortSlack = 6;
/// Entry hosts that tell each other their load at once. Where there are more, those of a data
/// centre do, and keep to its engines for short prompts.
constexpr int kMostTelling = 31;
/// Engines that short prompts leave alone while long ones come.
constexpr std::size_t kLeastForLong = 2;
/// Long prompts are about for this long after one was seen.
constexpr base::Millis kLongMemory{8'000};
/// A long prompt that expects its first event later than this part of its objective waits for more
/// engines, those that short ones are leaving...
constexpr double kReadyShare = 0.4;
/// ...for this part of its objective; longer when it would be late all the same.
constexpr double kWaitShare = 0.35;
constexpr double kLatePatience = 0.9;
/// Engines that a long prompt is given at the least, whoever writes there.
constexpr std::size_t kLeastReaders = 2;
/// Reading at an engine that weighs as much as one request there, in milliseconds.
constexpr double kReadingPerRequestMs = 25;
/// Cost of an engine in another data centre, in requests: bytes between them are paid for.
constexpr double kRemoteCost = 0.4;
/// Part of an engine's memory that a prompt held by several may take there; others write beside it.
constexpr double kDividedMemory = 0.85;
/// Room left in an engine's memory for answers longer than announced.
constexpr double kUsableMemory = 0.97;

std::int64_t usableMemory(const fleet::EngineSpec &spec, double share)
{
    return static_cast<std::int64_t>(static_cast<double>(spec.kvTokens.count()) * share);
}

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
    call.isHeavy = call.kv.count() > usableMemory(*spec, kUsableMemory);
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

bool Dispatcher::Impl::divideMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                                    const std::vector<UpstreamState *> &readers, Choice &choice)
{
    // Its parts are seconds long, which would be a pause to everyone who writes there.
    const auto writes = [](const UpstreamState *it) { return it->requests() > 0; };
    if (std::any_of(readers.begin(), readers.end(), writes))
        return false;
    const std::int64_t most = usableMemory(spec, kDividedMemory);
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

std::vector<UpstreamState *> Dispatcher::Impl::leftByShort(
        const std::vector<UpstreamState *> &all) const
{
    std::vector<UpstreamState *> left;
    for (const auto &side : sides(all)) {
        const auto forShort = static_cast<std::ptrdiff_t>(enginesForShort(side, kShortSlack, true));
        left.insert(left.end(), side.begin(), side.end() - forShort);
    }
    return left;
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
    const auto own = static_cast<std::ptrdiff_t>(enginesForShort(from, 1, now < service.longUntil));
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

LongReaders Dispatcher::Impl::readersForLong(const ActiveCall &call,
                                             const std::vector<UpstreamState *> &all,
                                             base::TimePoint now) const
{
    LongReaders found;
    std::vector<UpstreamState *> &engines = found.engines;
    engines = leftByShort(all);
    std::erase_if(engines, [&call](const auto *it) { return contains(call.tried, it->info().id); });
    found.wanted = engines.size();
    std::stable_sort(engines.begin(), engines.end(), [now](const auto *a, const auto *b) {
        return std::pair(a->shorts(), a->readingMs(now))
               < std::pair(b->shorts(), b->readingMs(now));
    });
    const auto isFree = [](const UpstreamState *it) { return it->shorts() == 0; };
    found.free = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), isFree));
    engines.resize(std::min(
            {engines.size(), found.free > 0 ? found.free : kLeastReaders, kMostHelpers + 1}));
    // One that is busy for longer than the others would hold up all.
    sortByReading(engines, now);
    std::size_t best = 0;
    for (std::size_t n = 1; n <= engines.size(); ++n) {
        const double ms = engines[n - 1]->readingMs(now) + call.readMs / static_cast<double>(n);
        if (best == 0 || ms <= found.firstEventMs) {
            best = n;
            found.firstEventMs = ms;
        }
    }
    engines.resize(best);
    return found;
}

bool Dispatcher::Impl::isBetterToWait(const ActiveCall &call, const LongReaders &readers,
                                      base::TimePoint now)
{
    if (readers.free >= readers.wanted)
        return false;
    const auto objective = static_cast<double>(call.info.objective.count());
    const double waited = std::chrono::duration<double, std::milli>(now - call.queuedAt).count();
    if (readers.free == 0)
        return waited < objective * kLatePatience;
    const bool isLate = waited + readers.firstEventMs > objective;
    return readers.firstEventMs > objective * kReadyShare
           && waited < objective * (isLate ? kLatePatience : kWaitShare);
}

std::optional<Choice> Dispatcher::Impl::chooseForLong(const ActiveCall &call, ServiceState &service,
                                                      const std::vector<UpstreamState *> &all,
                                                      base::TimePoint now)
{
    if (call.permit != Permit::Held)
        return std::nullopt;
    const LongReaders readers = readersForLong(call, all, now);
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

bool Dispatcher::Impl::placeMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                                   const std::vector<UpstreamState *> &readers, Choice &choice,
                                   base::TimePoint now)
{
    const std::int64_t limit = usableMemory(spec, kUsableMemory);
    std::vector<UpstreamState *> roomy;
    std::copy_if(readers.begin(), readers.end(), std::back_inserter(roomy), [&](const auto *it) {
        return it->requests() == 0 || (it->kv() + call.kv).count() <= limit;
    });
    choice.first = leastLoaded(roomy, call, spec.slots, now);
    return choice.first != nullptr;
}

} // namespace hyssop::dispatch
