#pragma once

#include "ledger/Ledger.h"

#include <list>
#include <map>
#include <set>

namespace hyssop::control {

/// A long-poll request of an entry host for jobs.
struct JobWatch
{
    ledger::Owner owner;
    std::size_t capacity = 0; ///< Jobs that the host can accept now.
    std::set<base::JobId> knownJobs; ///< Jobs that the host already knows.
    base::TimePoint deadline; ///< Answered at this time if there are no jobs before.
};

/// Decides when a job watch is answered and with which jobs. No I/O; not thread-safe.
///
/// A waiting job is offered to one host at a time, first to the host that has waited longest, and
/// to another one if it is not taken within kOfferTimeout. A host also gets the jobs that the log
/// assigns to it but that it does not know, so that it can hand them over.
class JobWatches
{
public:
    /// How long an offered job is not offered to other hosts.
    static constexpr base::Millis kOfferTimeout{300};

    using WatchId = std::int64_t;
    /// A watch to be answered now, with the jobs of the answer. The jobs belong to the ledger.
    struct DueWatch
    {
        WatchId id = 0;
        std::vector<const ledger::Job *> jobs;
    };

    /// Adds a watch. An earlier watch of the same host becomes due and is offered no jobs.
    WatchId add(JobWatch watch);
    /// Whether takeDue() may return a watch at \a now. If false, the caller need not collect the
    /// jobs.
    bool isDue(replog::Position position, base::TimePoint now) const;
    /// Removes and returns the watches to be answered now. \a waiting is sorted, longest waiting
    /// first.
    std::vector<DueWatch> takeDue(const std::vector<const ledger::Job *> &waiting,
                                  const std::vector<const ledger::Job *> &running,
                                  replog::Position position, base::TimePoint now);
    std::size_t size() const { return m_watches.size(); }

private:
    struct PendingWatch
    {
        WatchId id = 0;
        JobWatch watch;
        std::vector<const ledger::Job *> jobs;
    };
    void offerWaitingJobs(const std::vector<const ledger::Job *> &waiting, base::TimePoint now);
    void addUnknownRunningJobs(const std::vector<const ledger::Job *> &running);
    void updateNextDue();

    std::list<PendingWatch> m_watches; ///< Longest waiting first.
    std::map<base::JobId, base::TimePoint> m_offerExpiries; ///< When the offer of a job expires.
    WatchId m_lastId = 0;
    replog::Position m_checkedPosition; ///< Log position at the last takeDue().
    base::TimePoint m_nextDue; ///< Next time at which a watch or an offer expires.
};

} // namespace hyssop::control
