#include "TeamQueue.h"

#include <algorithm>
#include <cassert>

namespace hyssop::routing {

void TeamQueue::push(QueueItem item)
{
    assert(item.cost > 0 && item.weight > 0 && "cost and weight must be positive");
    Team &team = m_teams[item.team];
    if (team.items.empty()) {
        team.nextStart = std::max(m_virtualTime, team.lastFinish);
        m_teamsByStart.emplace(team.nextStart, item.team);
    }
    ++m_size;
    m_cost += item.cost;
    Key key(item.deadline, item.request);
    [[maybe_unused]] const bool isNew = team.items.emplace(std::move(key), std::move(item)).second;
    assert(isNew && "the request is already queued");
}

const QueueItem *TeamQueue::front() const
{
    if (m_teamsByStart.empty())
        return nullptr;
    return &m_teams.at(m_teamsByStart.begin()->second).items.begin()->second;
}

void TeamQueue::pop()
{
    assert(!m_teamsByStart.empty() && "pop() of an empty queue");
    const base::TeamId id = m_teamsByStart.begin()->second;
    Team &team = m_teams.at(id);
    m_teamsByStart.erase(m_teamsByStart.begin());
    const QueueItem item = std::move(team.items.begin()->second);
    team.items.erase(team.items.begin());
    m_virtualTime = std::max(m_virtualTime, team.nextStart);
    team.lastFinish = team.nextStart + static_cast<double>(item.cost) / item.weight;
    --m_size;
    m_cost -= item.cost;
    if (!team.items.empty()) {
        team.nextStart = team.lastFinish;
        m_teamsByStart.emplace(team.nextStart, id);
    }
    resetIfEmpty();
}

void TeamQueue::remove(const base::TeamId &id, const base::RequestId &request,
                       base::TimePoint deadline)
{
    const auto team = m_teams.find(id);
    if (team == m_teams.end())
        return;
    const auto it = team->second.items.find(Key(deadline, request));
    if (it == team->second.items.end())
        return;
    --m_size;
    m_cost -= it->second.cost;
    team->second.items.erase(it);
    if (team->second.items.empty())
        m_teamsByStart.erase({team->second.nextStart, id});
    resetIfEmpty();
}

void TeamQueue::resetIfEmpty()
{
    // With an empty queue, past service no longer matters for fairness.
    if (m_size > 0)
        return;
    m_teams.clear();
    m_virtualTime = 0;
}

} // namespace hyssop::routing
