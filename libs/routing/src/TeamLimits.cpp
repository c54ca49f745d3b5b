#include "TeamLimits.h"

#include <cassert>

namespace hyssop::routing {

std::optional<EndReason> TeamLimits::exceededLimit(const records::TeamSpec &team,
                                                   const RequestInfo &request, bool isLong) const
{
    const auto it = m_teams.find(request.team);
    const Usage usage = it == m_teams.end() ? Usage() : it->second;
    if (usage.requests >= team.maxRequests)
        return EndReason::TeamRequestLimit;
    if (usage.tokens + request.promptTokens > team.maxTokens)
        return EndReason::TeamTokenLimit;
    if (isLong && usage.longPrompts >= team.maxLongPrompts)
        return EndReason::TeamLongPromptLimit;
    return std::nullopt;
}

void TeamLimits::add(const RequestInfo &request, bool isLong)
{
    Usage &usage = m_teams[request.team];
    ++usage.requests;
    usage.longPrompts += isLong ? 1 : 0;
    usage.tokens += request.promptTokens;
}

void TeamLimits::remove(const RequestInfo &request, bool isLong)
{
    const auto it = m_teams.find(request.team);
    assert(it != m_teams.end() && "the request was not added");
    Usage &usage = it->second;
    --usage.requests;
    usage.longPrompts -= isLong ? 1 : 0;
    usage.tokens -= request.promptTokens;
    if (usage.requests == 0)
        m_teams.erase(it);
}

} // namespace hyssop::routing
