#pragma once

#include "ledger/Ledger.h"

#include <list>
#include <map>
#include <set>

namespace hyssop::control {

/// An entry host that asks for jobs.
struct JobWatch
{
    ledger::Owner owner;
    std::size_t capacity = 0; ///< Jobs that it would take now.
    std::set<base::JobId> knownJobs; ///< Jobs that it knows of already.
    base::TimePoint deadline; ///< When it is answered although there is nothing to tell.
};

/// Decides when an entry host that asks for jobs is answered, and of which jobs it is told. No I/O.
///
/// A waiting job is offered to one host at a time, the one that has waited longest, and to another
/// when it was not taken in time. A host is also told of jobs that it runs by the log and does not
/// know of, so that it can hand them over.
class JobWatches
{
public:
    /// How long an offered job is kept from other hosts.
    static constexpr base::Millis kOfferTimeout{300};

    using WatchId = std::int64_t;
    struct DueWatch
    {
        WatchId id = 0;
        std::vector<const ledger::Job *> jobs;
    };

    /// An earlier watch of the same host is answered with nothing.
    WatchId add(JobWatch watch);
    /// Whether pump() may have something to tell at \a now; false saves reading the jobs.
    bool isDue(replog::Position position, base::TimePoint now) const;
    /// Watches to be answered now, each once. \a waiting comes with the longest waiting first.
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

    std::list<PendingWatch> m_watches; ///< The longest waiting first.
    std::map<base::JobId, base::TimePoint> m_offerExpiries; ///< Until when.
    WatchId m_lastId = 0;
    replog::Position m_checkedPosition; ///< Log position when jobs were last looked at.
    base::TimePoint m_nextDue; ///< When something is due although the log stands still.
};

} // namespace hyssop::control
