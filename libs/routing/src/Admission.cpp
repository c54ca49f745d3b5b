#include "Admission.h"

#include "GangPlanner.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

/// Time in which an upstream may have been announced.
constexpr base::Millis kNoUpstreamRetryAfter{1'000};
constexpr base::Millis kLimitRetryAfter{500};
/// Short, because the caller can retry at another host.
constexpr base::Millis kShutdownRetryAfter{100};

} // namespace

base::Millis clampRetryAfter(base::Micros wait)
{
    return std::clamp(std::chrono::ceil<base::Millis>(wait), Admission::kMinRetryAfter,
                      Admission::kMaxRetryAfter);
}

Admission::Admission(const RouterOptions &options)
    : m_options(options)
{ }

std::optional<Refusal> Admission::checkLimits(const RequestInfo &request,
                                              const records::Catalogue *catalogue, bool isLong,
                                              std::size_t queued) const
{
    if (m_isShuttingDown)
        return Refusal{EndReason::Stopping, kShutdownRetryAfter};
    const records::TeamSpec *team = catalogue ? catalogue->team(request.team) : nullptr;
    if (!team)
        return Refusal{EndReason::UnknownTeam, base::Millis(0)};
    if (queued >= m_options.maxQueued
        || m_openBodyBytes + request.bodyBytes > m_options.maxOpenBodyBytes)
        return Refusal{EndReason::QueueFull, kLimitRetryAfter};
    if (const auto reason = m_teamLimits.exceededLimit(*team, request, isLong))
        return Refusal{*reason, kLimitRetryAfter};
    return std::nullopt;
}

std::optional<Refusal> Admission::checkDeadline(const RequestInfo &request, UpstreamPool &pool,
                                                Placement &placement, base::TimePoint now) const
{
    const LatencyEstimate estimate = placement.estimateLatency(pool, request, now);
    const auto remaining = std::chrono::duration_cast<base::Micros>(request.deadline - now);
    // An idle upstream is tried even if the estimate says no. Otherwise a wrong estimate would
    // never be corrected by a new sample.
    const base::Micros needed =
            estimate.hasIdleUpstream ? estimate.timeToFirstToken / 2 : estimate.total();
    if (estimate.hasIdleUpstream ? needed < remaining : fitsWithMargin(needed, remaining))
        return std::nullopt;
    return Refusal{EndReason::DeadlineTooShort, clampRetryAfter(needed - remaining)};
}

std::optional<Refusal> Admission::check(const RequestInfo &request,
                                        const records::Catalogue *catalogue, UpstreamPool *pool,
                                        Placement &placement, std::size_t queued,
                                        base::TimePoint now) const
{
    const bool isLong = placement.isLong(request);
    if (const auto refusal = checkLimits(request, catalogue, isLong, queued))
        return refusal;
    if (request.deadline <= now)
        return Refusal{EndReason::DeadlineTooShort, base::Millis(0)};
    if (!pool)
        return Refusal{EndReason::NoUpstream, kNoUpstreamRetryAfter};
    if (!placement.fitsAnyUpstream(*pool, request)) {
        if (GangPlanner::isPossible(*pool, request.promptTokens + request.maxOutputTokens))
            return std::nullopt;
        return Refusal{EndReason::PromptTooLarge, base::Millis(0)};
    }
    if (placement.assignsOnArrival())
        return std::nullopt;
    return checkDeadline(request, *pool, placement, now);
}

void Admission::add(const RequestInfo &request, bool isLong)
{
    m_teamLimits.add(request, isLong);
    m_openBodyBytes += request.bodyBytes;
}

void Admission::remove(const RequestInfo &request, bool isLong)
{
    m_teamLimits.remove(request, isLong);
    m_openBodyBytes -= request.bodyBytes;
}

} // namespace hyssop::routing
