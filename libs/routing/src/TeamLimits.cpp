#include "TeamLimits.h"

#include <cassert>

namespace hyssop::routing {

std::optional<Reason> TeamLimits::exceededLimit(const records::TeamSpec &team,
                                                const RequestInfo &request, bool isLong) const
{
    const auto it = m_teams.find(request.team);
    const Usage usage = it == m_teams.end() ? Usage() : it->second;
    if (usage.requests >= team.maxRequests)
        return Reason::TeamRequestLimit;
    if (usage.tokens + request.prompt > team.maxTokens)
        return Reason::TeamTokenLimit;
    if (isLong && usage.longPrompts >= team.maxLongPrompts)
        return Reason::TeamLongPromptLimit;
    return std::nullopt;
}

void TeamLimits::add(const RequestInfo &request, bool isLong)
{
    Usage &usage = m_teams[request.team];
    ++usage.requests;
    usage.longPrompts += isLong ? 1 : 0;
    usage.tokens += request.prompt;
}

void TeamLimits::remove(const RequestInfo &request, bool isLong)
{
    const auto it = m_teams.find(request.team);
    assert(it != m_teams.end() && "the request was not added");
    Usage &usage = it->second;
    --usage.requests;
    usage.longPrompts -= isLong ? 1 : 0;
    usage.tokens -= request.prompt;
    if (usage.requests == 0)
        m_teams.erase(it);
}

} // namespace hyssop::routing
