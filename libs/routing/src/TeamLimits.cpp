#include "TeamLimits.h"

#include <cassert>

namespace hyssop::routing {

std::optional<Reason> TeamLimits::refusal(const records::TeamSpec &team, const RequestInfo &request,
                                          bool isLong) const
{
    const auto it = m_teams.find(request.team);
    const Open open = it == m_teams.end() ? Open() : it->second;
    if (open.requests >= team.maxRequests)
        return Reason::TeamRequestLimit;
    if (open.tokens + request.prompt > team.maxTokens)
        return Reason::TeamTokenLimit;
    if (isLong && open.longPrompts >= team.maxLongPrompts)
        return Reason::TeamLongPromptLimit;
    return std::nullopt;
}

void TeamLimits::add(const RequestInfo &request, bool isLong)
{
    Open &open = m_teams[request.team];
    ++open.requests;
    open.longPrompts += isLong ? 1 : 0;
    open.tokens += request.prompt;
}

void TeamLimits::remove(const RequestInfo &request, bool isLong)
{
    const auto it = m_teams.find(request.team);
    assert(it != m_teams.end() && "a request was removed that was not added");
    Open &open = it->second;
    --open.requests;
    open.longPrompts -= isLong ? 1 : 0;
    open.tokens -= request.prompt;
    if (open.requests == 0)
        m_teams.erase(it);
}

} // namespace hyssop::routing
