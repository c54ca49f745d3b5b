#pragma once

#include "Calls.h"
#include "Poll.h"
#include "Scorecard.h"

#include <list>
#include <set>

namespace hyssop::soak {

/// An operator who changes records all the time, and an observer who checks that every accepted
/// change comes into force in each reachable data centre and that no position falls.
class ConfigurationWatch
{
public:
    ConfigurationWatch(harness::System *system, harness::Scorecard *scorecard, std::uint64_t seed);

    void tick(base::TimePoint now);
    void pause(bool isPaused) { m_isPaused = isPaused; }
    /// No change is open, and each accepted one is in force everywhere or was found broken.
    bool isSettled() const { return !m_change && m_accepted.empty(); }

    /// Whether the entry host runs and can reach a majority of the control hosts.
    void setReachable(const harness::Host &entry, bool isReachable, base::TimePoint now);
    /// A new process of the entry host was started.
    void restarted(const harness::Host &entry, base::TimePoint now);
    /// Reads the records of every control host and compares them with what was accepted.
    void checkContents();
    /// Positions of all hosts and of the open changes.
    std::string text() const;

private:
    struct Change
    {
        nlohmann::json record;
        std::string id;
        harness::Pending pending;
    };
    struct Accepted
    {
        std::int64_t position = 0;
        std::string name;
        base::TimePoint since;
        std::set<std::string> missing; ///< Entry hosts where it is not yet seen in force.
    };
    struct Observed
    {
        Poll poll;
        std::int64_t highest = 0; ///< Position ever seen at the host.
        std::int64_t inThisProcess = 0;
        std::optional<base::TimePoint> reachableSince;
        base::TimePoint started{};
    };

    /// What a control host holds otherwise than accepted; empty when nothing.
    std::string differenceAt(const harness::Host &control);
    void startChange();
    void send();
    void readVerdict(base::TimePoint now);
    void accept(const operators::PutReply &reply, base::TimePoint now);
    void observe(const std::string &name, Observed &host, const Poll::Reading &reading);
    void checkInForce(const std::string &name, const Observed &host, base::TimePoint asked);

    harness::System *m_system;
    harness::Scorecard *m_scorecard;
    std::uint64_t m_seed;
    base::Rng m_rng;
    std::map<std::string, Observed> m_entries;
    std::map<std::string, nlohmann::json> m_records; ///< Last accepted content of each.
    std::optional<Change> m_change;
    std::list<Accepted> m_accepted;
    std::int64_t m_changes = 0;
    base::TimePoint m_nextChange{};
    bool m_isPaused = false;
};

} // namespace hyssop::soak
