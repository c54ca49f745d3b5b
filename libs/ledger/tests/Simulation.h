#pragma once

#include "ledger/Ledger.h"

#include <list>
#include <map>
#include <memory>
#include <set>

namespace hyssop::ledger {

/// What a run may do to the group; each can be switched off to find the smallest failing run.
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
};

/// One seeded run of a group of replicas, each with a ledger, in one thread and in model time.
class Simulation
{
public:
    Simulation(std::uint64_t seed, Faults faults);
    ~Simulation();

    /// Runs \a steps under faults, then heals and checks that the group goes on. Returns what was
    /// violated, or nothing.
    std::optional<std::string> run(int steps);

    std::size_t acknowledgedCount() const { return m_acknowledged.size(); }
    std::size_t voterChangeCount() const { return m_voterChangeCount; }
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
    /// Drawn for each run, so that calm and rough ones are both tried.
    double m_lossRate = 0;
    double m_faultRateFactor = 1;
    std::int64_t m_nowMs = 0;
    bool m_isHealed = false;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::list<QueuedMessage> m_messageQueue;
    std::set<int> m_isolatedHosts; ///< Hosts on the far side of a partition.
    std::set<std::pair<int, int>> m_cutLinks; ///< From one host to another, not back.
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
