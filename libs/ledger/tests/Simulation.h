#pragma once

#include "ledger/Ledger.h"

#include <list>
#include <map>
#include <memory>
#include <set>

namespace hyssop::ledger {

/// Kinds of faults to inject. Each can be disabled to minimize a failing run.
struct Faults
{
    bool loss = true;
    bool reorder = true;
    bool duplication = true;
    bool partitions = true;
    bool oneWayCuts = true;
    bool crashes = true;
    bool diskLosses = true;
    bool clockSkew = true;
    bool snapshots = true;
    bool leaderTransfers = true;
    bool quickRestarts = true; ///< Of one or of all hosts, within the lease of a leader.
};

/// Seeded simulation of a group of replicas, each with a ledger, on one thread in simulated time.
class Simulation
{
public:
    Simulation(std::uint64_t seed, Faults faults);
    ~Simulation();

    /// Runs \a steps with faults, then heals the group and checks that it makes progress. Returns
    /// the first violated invariant, or nothing.
    std::optional<std::string> run(int steps);

    std::size_t acknowledgedCount() const { return m_acknowledged.size(); }
    std::size_t voterChangeCount() const { return m_voterChangeCount; }
    /// Number of terms that had a leader.
    std::size_t leaderTermCount() const { return m_leaders.size(); }
    std::size_t restoreCount() const { return m_restoreCount; }

private:
    class Disk;
    struct Host;
    struct QueuedMessage
    {
        replog::Message message;
        std::int64_t dueMs = 0;
    };

    bool drawBool(double probability);
    std::int64_t drawUpTo(std::int64_t max);
    void reportViolation(const std::string &what);
    void step();
    void injectFaults();
    void injectHostFaults(Host &host);
    void start(Host &host);
    void crash(Host &host);
    /// Crashes the host, if it runs, and starts it again.
    void restartAtOnce(Host &host);
    void loseDisk(Host &host);
    void send(const std::vector<replog::Message> &messages);
    void deliverDueMessages();
    bool isLinkCut(const replog::ReplicaId &from, const replog::ReplicaId &to) const;
    void proposeCommands(Host &host);
    Command drawCommand();
    void changeVoters(Host &host);
    void flushReplica(Host &host);
    void apply(Host &host, const replog::Entry &entry);
    void checkLeaders();
    void heal();
    void checkConverged();
    base::TimePoint localNow(const Host &host) const;
    Host *findHost(const replog::ReplicaId &id);

    Faults m_faults;
    base::Rng m_rng;
    /// Drawn for each run, so that low and high fault rates are both covered.
    double m_lossRate = 0;
    double m_faultRateFactor = 1;
    std::int64_t m_nowMs = 0;
    bool m_isHealed = false;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::list<QueuedMessage> m_messageQueue;
    std::set<int> m_isolatedHosts; ///< One side of the partition; the other hosts are the other.
    std::set<std::pair<int, int>> m_cutLinks; ///< Sender and receiver of links cut one way.
    std::optional<std::string> m_violation;
    std::size_t m_voterChangeCount = 0;
    std::size_t m_restoreCount = 0;
    std::int64_t m_commandCount = 0;

    std::map<replog::Term, replog::ReplicaId> m_leaders;
    std::map<replog::Index, replog::Entry> m_committed;
    std::map<replog::Position, std::string> m_acknowledged;
    std::map<std::string, replog::Index> m_firstGrants;
    std::map<replog::Index, std::int64_t> m_logTimesMs;
};

} // namespace hyssop::ledger
