#pragma once

#include "History.h"
#include "ReplicaKeeper.h"
#include "Scorecard.h"

namespace hyssop::platformsoak {

/// Holds what callers, replicas and the operator saw against the promises.
class Checks
{
public:
    Checks(const History *history, std::vector<harness::Run> runs,
           std::vector<harness::ReplicaTraffic> traffic, std::vector<harness::ReplicaCrash> crashes,
           harness::Scorecard *scorecard);

    void checkCalls();
    void checkLeaving();
    void checkReads();
    void checkKeys();
    /// Returns a line for each replica that got more requests than it stated. \a windows is
    /// increased by the number of windows that were compared.
    std::vector<std::string> rateLimitExcesses(int &windows) const;
    /// Returns a line for each kind of requests that crash replicas and went on reaching them.
    std::vector<std::string> deadlyExcesses() const;

private:
    /// Whether an unplanned fault met \a target, or anyone for an empty one, from \a from to \a to.
    bool isDisturbed(const std::string &target, base::TimePoint from, base::TimePoint to) const;
    /// Whether any host or link was met, also by planned work. Hosts learn facts from each other.
    bool isAnyHostDisturbed(base::TimePoint from, base::TimePoint to) const;
    /// Whether \a entry was asked to stop or reload shortly before or during a call.
    bool isAtPlannedWork(const CallRecord &call) const;
    /// Whether its host could not reach its caller for a time during \a call.
    bool isCutFromCaller(const CallRecord &call) const;
    /// Whether the replica of \a run broke off, crashed or was cut off near \a call. A silence is
    /// no excuse.
    bool isFaultOfReplica(const harness::Run &run, const CallRecord &call) const;
    /// Whether \a call, which nothing unplanned met at its host, ended as promised.
    bool hasAllowedEnd(const CallRecord &call) const;
    std::vector<const harness::Run *> runsOf(const std::string &request) const;

    const History *m_history;
    std::vector<harness::Run> m_runs;
    std::vector<harness::ReplicaTraffic> m_traffic;
    std::vector<harness::ReplicaCrash> m_crashes; ///< By requests; no faults of the driver.
    std::multimap<std::string, const harness::Run *> m_byRequest;
    std::map<std::string, std::string> m_placeOf; ///< Target of faults, by the replica's id.
    std::map<std::string, const CallRecord *> m_calls;
    harness::Scorecard *m_scorecard;
};

} // namespace hyssop::platformsoak
