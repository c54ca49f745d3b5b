#pragma once

#include "Addresses.h"
#include "Caller.h"
#include "Faults.h"
#include "Process.h"
#include "UplinkGate.h"

#include <functional>

namespace hyssop::harness {

struct PlatformPlan
{
    std::size_t controls = 3;
    std::size_t entries = 1;
    std::size_t replicas = 1; ///< Addresses for them; the test starts what stands there.
    bool hasFaultLinks = false; ///< What comes from and goes to the outside passes the fault proxy.
    bool hasUplinkGate = false; ///< Entry hosts can be cut off from all replicas.
    std::filesystem::path folder = {}; ///< Of the programs at first; empty for that of this build.
    std::string settings = {}; ///< Lines to add to the settings files of all hosts.
    int memoryMb = 0; ///< Limits.MemoryMb and Limits.MaxFds of all hosts; 0: not stated.
    int maxFds = 0;
};

/// A host of the platform and the program on it.
struct PlatformHost
{
    std::string name;
    std::string program;
    std::filesystem::path folder; ///< Of the program; empty for that of this build.
    std::string settings; ///< Path of its settings file.
    std::filesystem::path log;
    std::filesystem::path data; ///< Empty without a disk.
    std::string ip;
    base::Endpoint listen; ///< For callers, or for operators and replicas.
    base::Endpoint outside; ///< Where these reach it.
    base::Endpoint ready; ///< Of an entry host.
    std::unique_ptr<Process> process;
};

/// Control and entry hosts of the users' platform as real processes on loopback addresses, in two
/// data centres.
class PlatformBed
{
public:
    explicit PlatformBed(const PlatformPlan &plan = {});
    ~PlatformBed();
    PlatformBed(const PlatformBed &) = delete;
    PlatformBed &operator=(const PlatformBed &) = delete;

    std::vector<PlatformHost> controls;
    std::vector<PlatformHost> entries;
    /// Where replicas listen, and the addresses that they announce.
    std::vector<base::Endpoint> replicaListen;
    std::vector<base::Endpoint> replicaOutside;

    /// Starts a host's program, \a maxFileBytes is a bound on each file it writes; 0: none.
    void start(PlatformHost &host, std::int64_t maxFileBytes = 0);
    /// The next start of a host's program is from the plan's folder if the last one was from this
    /// build, and the other way round.
    void changeBuild(PlatformHost &host) const
    {
        host.folder = host.folder.empty() ? m_plannedFolder : std::filesystem::path();
    }
    /// Kills a host and empties its disk.
    void wipe(PlatformHost &host);
    /// Writes the settings file anew, with a field that no program knows set to \a mark.
    void rewriteSettings(const PlatformHost &host, const std::string &mark);
    bool isReady(const PlatformHost &entry) const;
    /// Puts a manifest to a control host until it is acknowledged; false when \a limit passes.
    bool put(std::size_t control, const std::string &manifest, base::Millis limit) const;
    Faults &faults() { return m_faults; }
    /// Where a host listens for RPC of other hosts; calls of other entry hosts come to the port
    /// after it.
    base::Endpoint peerEndpoint(const PlatformHost &host) const { return {host.ip, m_peerPort}; }
    /// Sets what becomes of an entry host's connections to replicas until it starts again.
    void setUplinks(const PlatformHost &entry, Uplinks uplinks);

private:
    std::string settingsOf(const PlatformHost &host, const std::string &mark) const;
    base::Endpoint linked(const std::string &from, const std::string &to,
                          const base::Endpoint &target);

    Addresses m_addresses;
    std::filesystem::path m_folder;
    std::filesystem::path m_plannedFolder; ///< Of the plan's programs.
    std::string m_addedSettings;
    std::string m_limits; ///< Lines of the settings file.
    std::uint16_t m_peerPort = 0;
    bool m_isFirstStart = true;
    bool m_hasFaultLinks;
    Client m_client;
    Faults m_faults;
    std::unique_ptr<UplinkGate> m_uplinkGate;
};

/// Status of a replica's announcement at a control host.
/// \a incarnation is the start of the replica in Unix milliseconds, 0 leaves it out.
int announce(const base::Endpoint &control, const std::string &id, const std::string &service,
             const base::Endpoint &address, std::int64_t sequence, bool isLeaving,
             std::int64_t incarnation = 0, const std::string &dataCentre = "floro-sal",
             base::Millis coldRemaining = base::Millis(0));

} // namespace hyssop::harness
