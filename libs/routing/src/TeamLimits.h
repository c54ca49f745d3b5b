#pragma once

#include "routing/Routing.h"

#include <unordered_map>

namespace hyssop::routing {

/// Counts the open requests of each team and checks them against the limits of its record.
class TeamLimits
{
public:
    /// The limit that \a request would exceed, if any.
    std::optional<EndReason> exceededLimit(const records::TeamSpec &team,
                                           const RequestInfo &request, bool isLong) const;
    void add(const RequestInfo &request, bool isLong);
    void remove(const RequestInfo &request, bool isLong);
    /// Number of teams with open requests.
    std::size_t teamCount() const { return m_teams.size(); }

private:
    struct Usage
    {
        int requests = 0;
        int longPrompts = 0;
        base::Tokens tokens;
    };
    std::unordered_map<base::TeamId, Usage> m_teams;
};

} // namespace hyssop::routing
