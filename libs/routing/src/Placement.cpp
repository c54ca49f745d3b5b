#include "Placement.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

/// Work kept at an engine, so that it never idles and late arrivals still find it short.
constexpr double kBoundSeconds = 0.4;
constexpr base::Tokens kMinBound{4'096};
/// Lengths that end a class of priorities; the next one ends at RouterOptions::longPrompt.
constexpr base::Tokens kTinyPrompt{4'096};
constexpr base::Tokens kVeryLongPrompt{131'072};
/// Cost of a sequence in the batch to the steps that compute a prompt.
constexpr base::Micros kPerRequest{500};
/// A short prompt waits for the step in which an engine computes part of a long one.
constexpr base::Micros kStepOfLong{30'000};
constexpr base::Micros kOtherDataCentre{50'000};
/// Part of a doubtful prefix that is taken for cached.
constexpr std::int64_t kDoubtDivisor = 2;

base::TimePoint after(base::TimePoint now, base::Micros wait)
{
    return now + wait;
}

/// Estimates may be too low by this factor and this time.
constexpr double kDoubt = 1.25;
constexpr base::Micros kDoubtTime{100'000};

} // namespace

bool isSafelyWithin(base::Micros estimate, base::Micros remaining)
{
    const double doubtful = kDoubt * static_cast<double>(estimate.count());
    return base::Micros(static_cast<std::int64_t>(doubtful)) + kDoubtTime <= remaining;
}

Placement::Placement(const RouterOptions &options)
    : m_options(options)
    , m_policy(policyByName(options.policy))
{ }

bool Placement::isLong(const RequestInfo &request) const
{
    return request.kind == UpstreamKind::Engine && request.prompt > m_options.longPrompt;
}

int Placement::priorityOf(const RequestInfo &request) const
{
    const int urgency = static_cast<int>(request.urgency) * kLengthClasses;
    if (request.kind == UpstreamKind::Service || bindsAtArrival())
        return urgency;
    if (request.prompt <= kTinyPrompt)
        return urgency;
    if (!isLong(request))
        return urgency + 1;
    return urgency + (request.prompt <= kVeryLongPrompt ? 2 : 3);
}

bool Placement::canHold(const UpstreamState &state, const RequestInfo &request) const
{
    return request.kind == UpstreamKind::Service
           || request.prompt + request.maxOutput <= state.info().kvTokens;
}

base::Tokens Placement::uncached(const UpstreamState &state, const RequestInfo &request) const
{
    if (request.kind == UpstreamKind::Service)
        return {};
    const PrefixIndex::Match match = state.cache.match(request.prefix);
    const auto blocks = static_cast<std::int64_t>(match.sure)
                        + static_cast<std::int64_t>(match.doubtful) / kDoubtDivisor;
    const std::int64_t left = request.prompt.count() - blocks * m_options.blockTokens.count();
    return base::Tokens(std::max<std::int64_t>(1, left));
}

Candidate Placement::measure(UpstreamState &state, const RequestInfo &request,
                             base::TimePoint now) const
{
    Candidate it;
    it.info = &state.info();
    it.uncached = uncached(state, request);
    it.ahead = state.ahead(priorityOf(request), isLong(request), now);
    it.requests = bindsAtArrival() ? state.requests() : state.allRequests(now);
    it.lastBound = state.lastBound();
    it.firstToken = state.rate.timeFor(it.ahead + it.uncached) + kPerRequest * it.requests;
    if (!isLong(request) && state.hasLongPrompt(now))
        it.firstToken += kStepOfLong;
    if (state.info().dataCentre != m_options.dataCentre)
        it.firstToken += kOtherDataCentre;
    return it;
}

bool Placement::hasRoom(UpstreamState &state, const Candidate &candidate,
                        const RequestInfo &request, base::TimePoint now) const
{
    if (bindsAtArrival())
        return true;
    if (state.outliers.isOnTrial() && state.requests() > 0)
        return false;
    if (request.kind == UpstreamKind::Service)
        return candidate.requests < m_options.maxServiceCalls;
    if (state.kv(now) + request.prompt + request.maxOutput > state.info().kvTokens)
        return false;
    const base::Tokens byRate(static_cast<std::int64_t>(state.rate.rate() * kBoundSeconds));
    const base::Tokens bound = std::min(m_options.maxOutstanding, std::max(kMinBound, byRate));
    // A prompt above half the bound may exceed it, once.
    const base::Tokens half(bound.count() / 2);
    return candidate.ahead + std::min(candidate.uncached, half) <= bound;
}

bool Placement::hasRoomFor(UpstreamState &state, const RequestInfo &request,
                           base::TimePoint now) const
{
    return hasRoom(state, measure(state, request, now), request, now);
}

std::vector<UpstreamState *> Placement::eligible(Pool &pool, const RequestInfo &request,
                                                 bool isOwnDataCentre, base::TimePoint now) const
{
    const bool isShared = isOwnDataCentre && isLong(request) && !bindsAtArrival();
    const auto &group = isShared ? pool.longOrder : isOwnDataCentre ? pool.own : pool.remote;
    const std::size_t most = isShared ? pool.longShare.enginesFor(group.size()) : group.size();
    std::vector<UpstreamState *> healthy;
    std::vector<UpstreamState *> all;
    for (UpstreamState *state : group) {
        if (healthy.size() >= most)
            break;
        if (!canHold(*state, request))
            continue;
        all.push_back(state);
        if (bindsAtArrival() || !state->outliers.isEjected(now))
            healthy.push_back(state);
    }
    return healthy.empty() ? all : healthy;
}

Placement::Found Placement::find(Pool &pool, const RequestInfo &request, bool isOwnDataCentre,
                                 const base::UpstreamId &avoided, base::TimePoint now) const
{
    const auto states = eligible(pool, request, isOwnDataCentre, now);
    Found found;
    Found last;
    for (UpstreamState *state : states) {
        const Candidate candidate = measure(*state, request, now);
        if (!hasRoom(*state, candidate, request, now))
            continue;
        Found &into = state->info().id == avoided ? last : found;
        into.candidates.push_back(candidate);
        into.states.push_back(state);
    }
    return found.states.empty() ? last : found;
}

std::optional<Placement::Choice> Placement::pick(const Found &found, const RequestInfo &request,
                                                 base::TimePoint now)
{
    if (found.candidates.empty())
        return std::nullopt;
    const std::size_t n = m_policy->choose(request, found.candidates, now);
    return Choice{found.states[n], found.candidates[n]};
}

bool Placement::needsRemote(Pool &pool, const RequestInfo &request, base::TimePoint now) const
{
    if (pool.remote.empty())
        return false;
    const auto states = eligible(pool, request, true, now);
    return std::none_of(states.begin(), states.end(), [&](UpstreamState *state) {
        const Candidate candidate = measure(*state, request, now);
        return after(now, candidate.firstToken + pool.answers.timeFor(request.maxOutput))
               < request.deadline;
    });
}

std::optional<Placement::Choice> Placement::choose(Pool &pool, const RequestInfo &request,
                                                   const base::UpstreamId &avoided,
                                                   base::TimePoint now)
{
    if (needsRemote(pool, request, now)) {
        if (auto choice = pick(find(pool, request, false, avoided, now), request, now))
            return choice;
    }
    return pick(find(pool, request, true, avoided, now), request, now);
}

bool Placement::canFinish(const Pool &pool, const Choice &choice, const RequestInfo &request,
                          base::TimePoint now) const
{
    const base::Micros needed =
            choice.candidate.firstToken + pool.answers.timeFor(request.maxOutput);
    const auto remaining = std::chrono::duration_cast<base::Micros>(request.deadline - now);
    return isSafelyWithin(needed, remaining);
}

base::TimePoint Placement::latestStart(const Pool &pool, const RequestInfo &request) const
{
    base::Micros least = base::Micros::max();
    for (const auto *group : {&pool.own, &pool.remote}) {
        for (const UpstreamState *state : *group)
            least = std::min(least, state->rate.timeFor(uncached(*state, request)));
    }
    if (least == base::Micros::max())
        return request.deadline;
    return request.deadline - least - pool.answers.timeFor(request.maxOutput);
}

Hold Placement::holdFor(const Choice &choice, const RequestInfo &request) const
{
    Hold hold;
    hold.upstream = choice.upstream->info().id;
    hold.serial = choice.upstream->serial();
    hold.priority = priorityOf(request);
    hold.isLong = isLong(request);
    hold.uncached = choice.candidate.uncached;
    if (request.kind == UpstreamKind::Engine)
        hold.kv = request.prompt + request.maxOutput;
    return hold;
}

bool Placement::fits(const Pool &pool, const RequestInfo &request) const
{
    const auto holds = [&](const UpstreamState *it) { return canHold(*it, request); };
    return std::any_of(pool.own.begin(), pool.own.end(), holds)
           || std::any_of(pool.remote.begin(), pool.remote.end(), holds);
}

Outlook Placement::outlook(Pool &pool, const RequestInfo &request, base::TimePoint now)
{
    Outlook outlook;
    const auto states = eligible(pool, request, true, now);
    const auto elsewhere = eligible(pool, request, false, now);
    if (states.empty() && elsewhere.empty())
        return outlook;
    double rate = 0;
    double mine = 1;
    double all = 1;
    std::size_t hosts = 1;
    base::Micros best = base::Micros::max();
    for (const auto *group : {&states, &elsewhere}) {
        for (UpstreamState *state : *group) {
            const Candidate candidate = measure(*state, request, now);
            best = std::min(best, candidate.firstToken);
            outlook.isIdle |= candidate.ahead.count() == 0;
            rate += state->rate.rate();
            mine += static_cast<double>(state->outstanding().count());
            all += static_cast<double>(state->known(now).count());
            hosts = std::max(hosts, 1 + state->peers.hosts());
        }
    }
    outlook.firstToken = best;
    const SizeClass size = isLong(request) ? SizeClass::Long : SizeClass::Short;
    // What the engines compute is shared with the other hosts as it is now, or evenly.
    const double share = std::max(mine / all, 1.0 / static_cast<double>(hosts));
    const auto queued = static_cast<double>(pool.queuedBefore(request.urgency, size));
    if (request.kind == UpstreamKind::Engine)
        outlook.wait = base::Micros(static_cast<std::int64_t>(queued * 1e6 / (rate * share)));
    outlook.isIdle &= queued == 0;
    outlook.finish = pool.answers.timeFor(request.maxOutput);
    return outlook;
}

} // namespace hyssop::routing
