#include "Admission.h"

#include "GangPlanner.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

/// Until an upstream may have come.
constexpr base::Millis kNoUpstreamRetry{1'000};
constexpr base::Millis kLimitRetry{500};
/// Another host can be asked at once.
constexpr base::Millis kStoppingRetry{100};

} // namespace

base::Millis boundedRetry(base::Micros wait)
{
    return std::clamp(std::chrono::ceil<base::Millis>(wait), Admission::kShortestRetry,
                      Admission::kLongestRetry);
}

Admission::Admission(const RouterOptions &options)
    : m_options(options)
{ }

std::optional<Refusal> Admission::limitRefusal(const RequestInfo &request,
                                               const records::Catalogue *catalogue, bool isLong,
                                               std::size_t queued) const
{
    if (m_isStopping)
        return Refusal{Reason::Stopping, kStoppingRetry};
    const records::TeamSpec *team = catalogue ? catalogue->team(request.team) : nullptr;
    if (!team)
        return Refusal{Reason::UnknownTeam, base::Millis(0)};
    if (queued >= m_options.maxQueued || m_body + request.body > m_options.maxBody)
        return Refusal{Reason::QueueFull, kLimitRetry};
    if (const auto reason = m_limits.refusal(*team, request, isLong))
        return Refusal{*reason, kLimitRetry};
    return std::nullopt;
}

std::optional<Refusal> Admission::timeRefusal(const RequestInfo &request, Pool &pool,
                                              Placement &placement, base::TimePoint now) const
{
    const Outlook outlook = placement.outlook(pool, request, now);
    const auto remaining = std::chrono::duration_cast<base::Micros>(request.deadline - now);
    // An idle upstream is tried, lest a wrong estimate keeps itself alive.
    const base::Micros needed = outlook.isIdle ? outlook.firstToken / 2 : outlook.total();
    if (outlook.isIdle ? needed < remaining : isSafelyWithin(needed, remaining))
        return std::nullopt;
    return Refusal{Reason::DeadlineTooShort, boundedRetry(needed - remaining)};
}

std::optional<Refusal> Admission::refusal(const RequestInfo &request,
                                          const records::Catalogue *catalogue, Pool *pool,
                                          Placement &placement, std::size_t queued,
                                          base::TimePoint now) const
{
    const bool isLong = placement.isLong(request);
    if (const auto refusal = limitRefusal(request, catalogue, isLong, queued))
        return refusal;
    if (request.deadline <= now)
        return Refusal{Reason::DeadlineTooShort, base::Millis(0)};
    if (!pool)
        return Refusal{Reason::NoUpstream, kNoUpstreamRetry};
    if (!placement.fits(*pool, request)) {
        if (GangPlanner::isPossible(*pool, request.prompt + request.maxOutput))
            return std::nullopt;
        return Refusal{Reason::PromptTooLarge, base::Millis(0)};
    }
    if (placement.bindsAtArrival())
        return std::nullopt;
    return timeRefusal(request, *pool, placement, now);
}

void Admission::add(const RequestInfo &request, bool isLong)
{
    m_limits.add(request, isLong);
    m_body += request.body;
}

void Admission::remove(const RequestInfo &request, bool isLong)
{
    m_limits.remove(request, isLong);
    m_body -= request.body;
}

} // namespace hyssop::routing
