#pragma once

#include "base/Base.h"

#include <map>
#include <set>
#include <unordered_map>

namespace hyssop::routing {

/// A request in a TeamQueue.
struct QueueItem
{
    base::TeamId team;
    base::RequestId request;
    base::TimePoint deadline;
    std::int64_t cost = 0; ///< In tokens; at least 1.
    int weight = 1;
};

/// Requests of many teams, served by start-time fair queueing on cost over weight; those of one
/// team by deadline. Each operation takes time logarithmic in the teams and the team's requests.
class TeamQueue
{
public:
    void push(QueueItem item);
    /// Next to be served; null when empty.
    const QueueItem *front() const;
    /// Takes the front out and charges its team.
    void pop();
    /// Takes a request out without charge.
    void remove(const base::TeamId &team, const base::RequestId &request, base::TimePoint deadline);
    std::size_t size() const { return m_size; }
    bool isEmpty() const { return m_size == 0; }
    /// Cost of all items.
    std::int64_t cost() const { return m_cost; }

private:
    using Key = std::pair<base::TimePoint, base::RequestId>;
    struct Team
    {
        std::map<Key, QueueItem> items;
        double lastFinish = 0; ///< Virtual time at which the team's last service ends.
        double nextStart = 0; ///< Virtual time of its next service, while it has items.
    };

    void resetIfEmpty();

    std::unordered_map<base::TeamId, Team> m_teams;
    std::set<std::pair<double, base::TeamId>> m_teamsByStart; ///< Teams with items, by start.
    double m_virtualTime = 0; ///< Virtual time.
    std::size_t m_size = 0;
    std::int64_t m_cost = 0;
};

} // namespace hyssop::routing
