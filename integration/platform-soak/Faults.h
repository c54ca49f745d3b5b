#pragma once

#include "ReplicaPool.h"

namespace hyssop::platformsoak {

enum class Fault {
    KillEntry,
    StopEntry,
    FreezeEntry,
    KillControl,
    StopControl,
    FreezeControl,
    KillAllControls,
    WipeControl,
    FillDisk, ///< The control host's files may not grow.
    CrashReplica,
    LeaveReplica,
    SlowLinks, ///< Delays on what comes from the outside or goes to replicas.
    ResetLinks,
    SilenceLink, ///< One direction loses everything.
    CutLink, ///< Both directions lose everything.
    Reload, ///< Settings files change, some hosts are told.
    Last = Reload,
};

/// Which faults are drawn.
enum class FaultChoice {
    All,
    Planned, ///< Stops and reloads; of the control hosts, at most one is stopped at a time.
};

std::string_view faultName(Fault fault);

/// Draws faults in series that overlap, carries them out and brings back what they took away.
///
/// At most one control host is without its disk at a time, and none until the last one has caught
/// up, as the settings say.
class FaultDriver
{
public:
    FaultDriver(harness::PlatformBed *bed, ReplicaPool *replicas, History *history,
                std::uint64_t seed);

    void tick(base::TimePoint now);
    /// Begins no further fault.
    void stop() { m_isStopping = true; }
    void goOn(FaultChoice choice);
    bool isWhole() const { return m_active.empty() && m_uplinkCuts.empty(); }
    /// Control host processes that ended by themselves, but for a full disk; entries likewise.
    const std::vector<std::string> &unexpectedEnds() const { return m_unexpectedEnds; }
    /// Planned stops that did not end in time and with 0.
    const std::vector<std::string> &badStops() const { return m_badStops; }
    std::int64_t stops() const { return m_stops; }

private:
    struct Active
    {
        Fault fault;
        std::string target;
        std::vector<harness::PlatformHost *> hosts;
        base::TimePoint from;
        base::TimePoint until;
        bool isStopping = false; ///< Waits for a planned stop.
    };

    void begin(base::TimePoint now);
    void beginOnHosts(Fault fault, std::vector<harness::PlatformHost *> hosts, base::TimePoint now);
    void beginOnLink(Fault fault, base::TimePoint now);
    void reload(base::TimePoint now);
    /// Whether it is over and what it took away is back.
    bool advance(Active &it, base::TimePoint now);
    void endStop(Active &it, base::TimePoint now);
    bool isFree(const std::string &target) const;
    harness::PlatformHost *drawFree(std::vector<harness::PlatformHost> &hosts);
    void lookAtProcesses();
    /// Begins and ends cuts of entry hosts from all replicas.
    void tickUplinks(base::TimePoint now);
    template <typename Number>
    Number draw(Number least, Number most)
    {
        return std::uniform_int_distribution<Number>(least, most)(m_rng);
    }

    /// An entry host that reaches no replica, until it starts again or the cut is over.
    struct UplinkCut
    {
        harness::PlatformHost *entry;
        base::TimePoint from;
        base::TimePoint until;
    };

    harness::PlatformBed *m_bed;
    ReplicaPool *m_replicas;
    History *m_history;
    base::Rng m_rng;
    std::vector<Active> m_active;
    base::TimePoint m_nextAt{};
    base::Rng m_uplinkRng; ///< Of its own, so that other faults of a seed stay as they are.
    std::vector<UplinkCut> m_uplinkCuts;
    base::TimePoint m_nextUplinkCutAt{};
    base::TimePoint m_diskLossFrom{}; ///< The next disk may be lost from then on.
    int m_marks = 0;
    bool m_isStopping = false;
    FaultChoice m_choice = FaultChoice::All;
    std::int64_t m_stops = 0;
    std::vector<std::string> m_unexpectedEnds;
    std::vector<std::string> m_badStops;
};

} // namespace hyssop::platformsoak
