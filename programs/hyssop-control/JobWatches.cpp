#include "JobWatches.h"

#include <algorithm>

namespace hyssop::control {

JobWatches::WatchId JobWatches::add(JobWatch watch)
{
    for (Item &item : m_watches) {
        if (item.watch.owner.host != watch.owner.host)
            continue;
        item.watch.room = 0;
        item.watch.until = base::TimePoint();
    }
    m_watches.push_back({++m_last, std::move(watch), {}});
    // What is open already may be for this host.
    m_next = base::TimePoint();
    return m_last;
}

bool JobWatches::isDue(replog::Position position, base::TimePoint now) const
{
    return !m_watches.empty() && (position != m_seen || now >= m_next);
}

std::vector<JobWatches::Told> JobWatches::pump(const std::vector<const ledger::Job *> &waiting,
                                               const std::vector<const ledger::Job *> &running,
                                               replog::Position position, base::TimePoint now)
{
    m_seen = position;
    std::erase_if(m_offered, [now](const auto &it) { return it.second <= now; });
    tellOwners(running);
    offer(waiting, now);
    std::vector<Told> told;
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        if (it->jobs.empty() && it->watch.until > now) {
            ++it;
            continue;
        }
        told.push_back({it->id, std::move(it->jobs)});
        it = m_watches.erase(it);
    }
    planNext();
    return told;
}

void JobWatches::tellOwners(const std::vector<const ledger::Job *> &running)
{
    for (const ledger::Job *job : running) {
        for (Item &item : m_watches) {
            if (item.watch.owner == job->owner && !item.watch.held.contains(job->id))
                item.jobs.push_back(job);
        }
    }
}

void JobWatches::offer(const std::vector<const ledger::Job *> &waiting, base::TimePoint now)
{
    auto next = m_watches.begin();
    for (const ledger::Job *job : waiting) {
        if (m_offered.contains(job->id))
            continue;
        // Each host gets one before any gets two.
        const auto canTake = [job](const Item &it) {
            return it.watch.room > 0 && !it.watch.held.contains(job->id);
        };
        auto found = std::find_if(next, m_watches.end(), canTake);
        if (found == m_watches.end())
            found = std::find_if(m_watches.begin(), next, canTake);
        if (found == m_watches.end() || !canTake(*found))
            continue;
        found->jobs.push_back(job);
        --found->watch.room;
        m_offered[job->id] = now + kOfferTime;
        next = std::next(found);
    }
}

void JobWatches::planNext()
{
    m_next = base::TimePoint::max();
    for (const Item &item : m_watches)
        m_next = std::min(m_next, item.watch.until);
    for (const auto &[id, until] : m_offered)
        m_next = std::min(m_next, until);
}

} // namespace hyssop::control
