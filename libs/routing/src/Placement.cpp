#include "Placement.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

/// Prefill backlog kept at an engine: enough that it never idles, short enough that a request
/// arriving later can still start soon.
constexpr double kTargetBacklogSeconds = 0.4;
constexpr base::Tokens kMinBacklogLimit{4'096};
/// Upper prompt lengths of the tiny and the long priority class; the class between them ends at
/// RouterOptions::longPromptThreshold.
constexpr base::Tokens kMaxTinyPrompt{4'096};
constexpr base::Tokens kMaxLongPrompt{131'072};
/// Time that each running sequence in the batch adds to a prefill.
constexpr base::Micros kStepCostPerRequest{500};
/// A short prompt waits for the current prefill step of a long one.
constexpr base::Micros kLongPromptStep{30'000};
constexpr base::Micros kRemoteDataCentreLatency{50'000};
/// One unconfirmed prefix block in this many is counted as cached.
constexpr std::int64_t kUnconfirmedDivisor = 2;

base::TimePoint after(base::TimePoint now, base::Micros wait)
{
    return now + wait;
}

/// Safety margin for estimates that are too low: a factor and an added time.
constexpr double kEstimateErrorFactor = 1.25;
constexpr base::Micros kEstimateErrorTime{100'000};

} // namespace

bool fitsWithMargin(base::Micros estimate, base::Micros remaining)
{
    const double padded = kEstimateErrorFactor * static_cast<double>(estimate.count());
    return base::Micros(static_cast<std::int64_t>(padded)) + kEstimateErrorTime <= remaining;
}

Placement::Placement(const RouterOptions &options)
    : m_options(options)
    , m_policy(makePolicy(options.policy))
{ }

bool Placement::isLong(const RequestInfo &request) const
{
    return request.kind == UpstreamKind::Engine
           && request.promptTokens > m_options.longPromptThreshold;
}

int Placement::priorityOf(const RequestInfo &request) const
{
    const int urgency = static_cast<int>(request.urgency) * kLengthClassCount;
    if (request.kind == UpstreamKind::Service || assignsOnArrival())
        return urgency;
    if (request.promptTokens <= kMaxTinyPrompt)
        return urgency;
    if (!isLong(request))
        return urgency + 1;
    return urgency + (request.promptTokens <= kMaxLongPrompt ? 2 : 3);
}

bool Placement::fitsUpstream(const UpstreamState &state, const RequestInfo &request) const
{
    return request.kind == UpstreamKind::Service
           || request.promptTokens + request.maxOutputTokens <= state.info().kvTokens;
}

base::Tokens Placement::uncachedTokens(const UpstreamState &state, const RequestInfo &request) const
{
    if (request.kind == UpstreamKind::Service)
        return {};
    const PrefixIndex::Match match = state.prefixIndex.match(request.prefixHashes);
    const auto blocks = static_cast<std::int64_t>(match.confirmed)
                        + static_cast<std::int64_t>(match.unconfirmed) / kUnconfirmedDivisor;
    const std::int64_t left =
            request.promptTokens.count() - blocks * m_options.prefixBlockTokens.count();
    return base::Tokens(std::max<std::int64_t>(1, left));
}

Candidate Placement::evaluate(UpstreamState &state, const RequestInfo &request,
                              base::TimePoint now) const
{
    Candidate it;
    it.info = &state.info();
    it.uncachedTokens = uncachedTokens(state, request);
    it.tokensAhead = state.tokensAhead(priorityOf(request), isLong(request), now);
    it.outstandingRequests = assignsOnArrival() ? state.requests() : state.totalRequests(now);
    it.lastAssigned = state.lastAssigned();
    it.timeToFirstToken = state.prefillRate.timeFor(it.tokensAhead + it.uncachedTokens)
                          + kStepCostPerRequest * it.outstandingRequests;
    if (!isLong(request) && state.hasLongPrompt(now))
        it.timeToFirstToken += kLongPromptStep;
    if (state.info().dataCentre != m_options.dataCentre)
        it.timeToFirstToken += kRemoteDataCentreLatency;
    return it;
}

bool Placement::hasRoom(UpstreamState &state, const Candidate &candidate,
                        const RequestInfo &request, base::TimePoint now) const
{
    if (assignsOnArrival())
        return true;
    if (state.outlierTracker.isProbing() && state.requests() > 0)
        return false;
    if (request.kind == UpstreamKind::Service)
        return candidate.outstandingRequests < m_options.maxOutstandingServiceCalls;
    if (state.reservedKv(now) + request.promptTokens + request.maxOutputTokens
        > state.info().kvTokens)
        return false;
    const base::Tokens byRate(
            static_cast<std::int64_t>(state.prefillRate.rate() * kTargetBacklogSeconds));
    const base::Tokens backlogLimit =
            std::min(m_options.maxOutstandingPromptTokens, std::max(kMinBacklogLimit, byRate));
    // A prompt above half the limit counts as half, so it may exceed the limit once.
    const base::Tokens half(backlogLimit.count() / 2);
    return candidate.tokensAhead + std::min(candidate.uncachedTokens, half) <= backlogLimit;
}

bool Placement::hasRoomFor(UpstreamState &state, const RequestInfo &request,
                           base::TimePoint now) const
{
    return hasRoom(state, evaluate(state, request, now), request, now);
}

std::vector<UpstreamState *> Placement::eligibleUpstreams(UpstreamPool &pool,
                                                          const RequestInfo &request,
                                                          bool isOwnDataCentre,
                                                          base::TimePoint now) const
{
    const bool isShared = isOwnDataCentre && isLong(request) && !assignsOnArrival();
    const auto &group = isShared          ? pool.longPromptOrder
                        : isOwnDataCentre ? pool.localUpstreams
                                          : pool.remoteUpstreams;
    const std::size_t maxUpstreams =
            isShared ? pool.longPromptShare.engineLimit(group.size()) : group.size();
    std::vector<UpstreamState *> healthy;
    std::vector<UpstreamState *> all;
    for (UpstreamState *state : group) {
        if (healthy.size() >= maxUpstreams)
            break;
        if (!fitsUpstream(*state, request))
            continue;
        all.push_back(state);
        if (assignsOnArrival() || !state->outlierTracker.isEjected(now))
            healthy.push_back(state);
    }
    return healthy.empty() ? all : healthy;
}

Placement::CandidateSet Placement::findCandidates(UpstreamPool &pool, const RequestInfo &request,
                                                  bool isOwnDataCentre,
                                                  const base::UpstreamId &avoided,
                                                  base::TimePoint now) const
{
    const auto states = eligibleUpstreams(pool, request, isOwnDataCentre, now);
    CandidateSet preferred;
    CandidateSet fallback;
    for (UpstreamState *state : states) {
        const Candidate candidate = evaluate(*state, request, now);
        if (!hasRoom(*state, candidate, request, now))
            continue;
        CandidateSet &set = state->info().id == avoided ? fallback : preferred;
        set.candidates.push_back(candidate);
        set.upstreams.push_back(state);
    }
    return preferred.upstreams.empty() ? fallback : preferred;
}

std::optional<Placement::Choice> Placement::pickCandidate(const CandidateSet &set,
                                                          const RequestInfo &request,
                                                          base::TimePoint now)
{
    if (set.candidates.empty())
        return std::nullopt;
    const std::size_t n = m_policy->choose(request, set.candidates, now);
    return Choice{set.upstreams[n], set.candidates[n]};
}

bool Placement::needsRemoteDataCentre(UpstreamPool &pool, const RequestInfo &request,
                                      base::TimePoint now) const
{
    if (pool.remoteUpstreams.empty())
        return false;
    const auto states = eligibleUpstreams(pool, request, true, now);
    return std::none_of(states.begin(), states.end(), [&](UpstreamState *state) {
        const Candidate candidate = evaluate(*state, request, now);
        return after(now, candidate.timeToFirstToken
                                  + pool.decodeTimeEstimator.timeFor(request.maxOutputTokens))
               < request.deadline;
    });
}

std::optional<Placement::Choice> Placement::choose(UpstreamPool &pool, const RequestInfo &request,
                                                   const base::UpstreamId &avoided,
                                                   base::TimePoint now)
{
    if (needsRemoteDataCentre(pool, request, now)) {
        if (auto choice =
                    pickCandidate(findCandidates(pool, request, false, avoided, now), request, now))
            return choice;
    }
    return pickCandidate(findCandidates(pool, request, true, avoided, now), request, now);
}

bool Placement::canMeetDeadline(const UpstreamPool &pool, const Choice &choice,
                                const RequestInfo &request, base::TimePoint now) const
{
    const base::Micros needed = choice.candidate.timeToFirstToken
                                + pool.decodeTimeEstimator.timeFor(request.maxOutputTokens);
    const auto remaining = std::chrono::duration_cast<base::Micros>(request.deadline - now);
    return fitsWithMargin(needed, remaining);
}

base::TimePoint Placement::latestStart(const UpstreamPool &pool, const RequestInfo &request) const
{
    base::Micros shortestPrefill = base::Micros::max();
    for (const auto *group : {&pool.localUpstreams, &pool.remoteUpstreams}) {
        for (const UpstreamState *state : *group)
            shortestPrefill = std::min(shortestPrefill,
                                       state->prefillRate.timeFor(uncachedTokens(*state, request)));
    }
    if (shortestPrefill == base::Micros::max())
        return request.deadline;
    return request.deadline - shortestPrefill
           - pool.decodeTimeEstimator.timeFor(request.maxOutputTokens);
}

Reservation Placement::makeReservation(const Choice &choice, const RequestInfo &request) const
{
    Reservation reservation;
    reservation.upstream = choice.upstream->info().id;
    reservation.serial = choice.upstream->serial();
    reservation.priority = priorityOf(request);
    reservation.isLong = isLong(request);
    reservation.uncachedTokens = choice.candidate.uncachedTokens;
    if (request.kind == UpstreamKind::Engine)
        reservation.kvTokens = request.promptTokens + request.maxOutputTokens;
    return reservation;
}

bool Placement::fitsAnyUpstream(const UpstreamPool &pool, const RequestInfo &request) const
{
    const auto fits = [&](const UpstreamState *it) { return fitsUpstream(*it, request); };
    return std::any_of(pool.localUpstreams.begin(), pool.localUpstreams.end(), fits)
           || std::any_of(pool.remoteUpstreams.begin(), pool.remoteUpstreams.end(), fits);
}

LatencyEstimate Placement::estimateLatency(UpstreamPool &pool, const RequestInfo &request,
                                           base::TimePoint now)
{
    LatencyEstimate estimate;
    const auto states = eligibleUpstreams(pool, request, true, now);
    const auto remoteStates = eligibleUpstreams(pool, request, false, now);
    if (states.empty() && remoteStates.empty())
        return estimate;
    double rate = 0;
    double ownOutstanding = 1;
    double knownOutstanding = 1;
    std::size_t hosts = 1;
    base::Micros best = base::Micros::max();
    for (const auto *group : {&states, &remoteStates}) {
        for (UpstreamState *state : *group) {
            const Candidate candidate = evaluate(*state, request, now);
            best = std::min(best, candidate.timeToFirstToken);
            estimate.hasIdleUpstream |= candidate.tokensAhead.count() == 0;
            rate += state->prefillRate.rate();
            ownOutstanding += static_cast<double>(state->outstanding().count());
            knownOutstanding += static_cast<double>(state->knownOutstanding(now).count());
            hosts = std::max(hosts, 1 + state->peerLoad.hostCount());
        }
    }
    estimate.timeToFirstToken = best;
    const SizeClass size = isLong(request) ? SizeClass::Long : SizeClass::Short;
    // This host's share of the engines' prefill rate: its share of the outstanding work, but at
    // least an even share among the hosts.
    const double share =
            std::max(ownOutstanding / knownOutstanding, 1.0 / static_cast<double>(hosts));
    const auto queued = static_cast<double>(pool.queuedCostAhead(request.urgency, size));
    if (request.kind == UpstreamKind::Engine)
        estimate.queueTime = base::Micros(static_cast<std::int64_t>(queued * 1e6 / (rate * share)));
    estimate.hasIdleUpstream &= queued == 0;
    estimate.decodeTime = pool.decodeTimeEstimator.timeFor(request.maxOutputTokens);
    return estimate;
}

} // namespace hyssop::routing
