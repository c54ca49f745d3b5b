#include "JobWatches.h"

#include <algorithm>

namespace hyssop::control {

JobWatches::WatchId JobWatches::add(JobWatch watch)
{
    for (PendingWatch &pending : m_watches) {
        if (pending.watch.owner.host != watch.owner.host)
            continue;
        pending.watch.capacity = 0;
        pending.watch.deadline = base::TimePoint();
    }
    m_watches.push_back({++m_lastId, std::move(watch), {}});
    // Jobs that are already open may be offered to this host.
    m_nextDue = base::TimePoint();
    return m_lastId;
}

bool JobWatches::isDue(replog::Position position, base::TimePoint now) const
{
    return !m_watches.empty() && (position != m_checkedPosition || now >= m_nextDue);
}

std::vector<JobWatches::DueWatch> JobWatches::takeDue(
        const std::vector<const ledger::Job *> &waiting,
        const std::vector<const ledger::Job *> &running, replog::Position position,
        base::TimePoint now)
{
    m_checkedPosition = position;
    std::erase_if(m_offerExpiries, [now](const auto &it) { return it.second <= now; });
    addUnknownRunningJobs(running);
    offerWaitingJobs(waiting, now);
    std::vector<DueWatch> due;
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        if (it->jobs.empty() && it->watch.deadline > now) {
            ++it;
            continue;
        }
        due.push_back({it->id, std::move(it->jobs)});
        it = m_watches.erase(it);
    }
    updateNextDue();
    return due;
}

void JobWatches::addUnknownRunningJobs(const std::vector<const ledger::Job *> &running)
{
    for (const ledger::Job *job : running) {
        for (PendingWatch &pending : m_watches) {
            if (pending.watch.owner == job->owner && !pending.watch.knownJobs.contains(job->id))
                pending.jobs.push_back(job);
        }
    }
}

void JobWatches::offerWaitingJobs(const std::vector<const ledger::Job *> &waiting,
                                  base::TimePoint now)
{
    auto next = m_watches.begin();
    for (const ledger::Job *job : waiting) {
        if (m_offerExpiries.contains(job->id))
            continue;
        // Round-robin: each host gets one job before any host gets a second.
        const auto canTake = [job](const PendingWatch &it) {
            return it.watch.capacity > 0 && !it.watch.knownJobs.contains(job->id);
        };
        auto chosen = std::find_if(next, m_watches.end(), canTake);
        if (chosen == m_watches.end())
            chosen = std::find_if(m_watches.begin(), next, canTake);
        if (chosen == m_watches.end() || !canTake(*chosen))
            continue;
        chosen->jobs.push_back(job);
        --chosen->watch.capacity;
        m_offerExpiries[job->id] = now + kOfferTimeout;
        next = std::next(chosen);
    }
}

void JobWatches::updateNextDue()
{
    m_nextDue = base::TimePoint::max();
    for (const PendingWatch &pending : m_watches)
        m_nextDue = std::min(m_nextDue, pending.watch.deadline);
    for (const auto &[id, expiresAt] : m_offerExpiries)
        m_nextDue = std::min(m_nextDue, expiresAt);
}

} // namespace hyssop::control
