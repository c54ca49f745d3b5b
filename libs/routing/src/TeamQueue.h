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

/// Queue of the requests of many teams. Teams are served by start-time fair queueing on cost
/// divided by weight; the requests of one team by deadline. Each operation takes time logarithmic
/// in the number of teams and of the team's requests.
class TeamQueue
{
public:
    void push(QueueItem item);
    /// The next request to serve; null if the queue is empty.
    const QueueItem *front() const;
    /// Removes the front and charges its cost to its team.
    void pop();
    /// Removes a request without charging its team.
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
        double lastFinish = 0; ///< Virtual time at which the team's last served request ends.
        /// Virtual time at which its next request starts; valid while it has items.
        double nextStart = 0;
    };

    void resetIfEmpty();

    std::unordered_map<base::TeamId, Team> m_teams;
    /// Teams with items, by \c nextStart.
    std::set<std::pair<double, base::TeamId>> m_teamsByStart;
    double m_virtualTime = 0;
    std::size_t m_size = 0;
    std::int64_t m_cost = 0;
};

} // namespace hyssop::routing
