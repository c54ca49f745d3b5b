#pragma once

#include "Addresses.h"
#include "Client.h"
#include "Faults.h"
#include "Process.h"

#include <filesystem>
#include <map>

namespace hyssop::harness {

/// What a System is made of. Every data centre has one control host.
struct Plan
{
    std::vector<std::string> dataCentres{"floro-sal"};
    int entriesEach = 1;
    int enginesEach = 1;
    int servicesEach = 0;
    int voters = 1; ///< Of the global group, in the first data centres.
    std::string model{"saga"}; ///< Of every engine.
    std::string service{"booking"}; ///< Of every service.
    bool hasFaultLinks = false; ///< Hosts and upstreams reach each other through a fault proxy.
    std::vector<std::string> controlFlags;
    std::vector<std::string> entryFlags{"--stop-notice-ms", "200"};
    std::vector<std::string> engineFlags;
    std::vector<std::string> serviceFlags;
};

enum class Role { Control, Entry, Engine, Service };

/// One process of the system and where it is reached.
struct Host
{
    std::string name;
    std::string dataCentre;
    Role role = Role::Entry;
    base::Endpoint peers; ///< Of controls and entries.
    base::Endpoint platform; ///< Of controls and entries.
    base::Endpoint callers; ///< Of entries.
    base::Endpoint upstreams; ///< Of entries.
    base::Endpoint operators; ///< Of controls.
    base::Endpoint operatorsThrough; ///< The same through the fault proxy, from "operators".
    base::Endpoint serves; ///< Of engines and services.
    std::vector<std::string> arguments;
    std::unique_ptr<Process> process;
};

/// A running system of real processes, ended with this object. A process that has ended without
/// being asked to makes the test fail. On a failed test the ends of all logs are printed, a
/// sanitizer's report whole, and the folder is kept.
class System
{
public:
    /// Starts everything and waits until every host is ready.
    explicit System(Plan plan = {});
    ~System();
    System(const System &) = delete;
    System &operator=(const System &) = delete;

    Client &client() { return m_client; }
    Faults &faults() { return m_faults; }
    const std::filesystem::path &folder() const { return m_folder; }
    Host &host(const std::string &name);
    /// Hosts of a role, in one data centre or, with an empty name, in all.
    std::vector<Host *> hosts(Role role, const std::string &dataCentre = "");

    /// Starts a process of the host, with the same addresses and files as before.
    void start(Host &host, std::int64_t maxFileBytes = 0);
    void kill(Host &host);
    /// Asks for a graceful stop and waits for it; exit code 0 is required.
    void stop(Host &host, base::Millis limit = base::Millis(30'000));
    /// Waits until the host's platform interface says ready, or an upstream serves.
    void awaitReady(Host &host);
    /// Waits until each entry host of a data centre knows that many upstreams.
    void awaitUpstreams(const std::string &dataCentre, int count);
    void awaitAllReady();

    /// Cuts every link between hosts of the data centre and hosts elsewhere, silently.
    void cutOff(const std::string &dataCentre);
    /// Cuts only what the data centre sends, silently; what it is sent still arrives.
    void silence(const std::string &dataCentre);
    /// Delays each direction of every link between the data centre and hosts elsewhere.
    void slowDown(const std::string &dataCentre, base::Millis delay);
    /// Ends any of these.
    void reconnect(const std::string &dataCentre);
    /// Cuts every link to and from one host, silently.
    void isolate(const Host &host);

private:
    Host &add(const std::string &name, const std::string &dataCentre, Role role);
    void addHosts();
    void writeArguments(Host &host);
    void writeControl(Host &host);
    void writeEntry(Host &host);
    void writeUpstream(Host &host);
    /// Address at which \a from reaches the peers port of \a to.
    std::string reach(const Host &from, const Host &to);
    std::vector<Host *> controlsNearestFirst(const Host &from);
    void checkProcesses();
    /// Sends an order to each link between the data centre and hosts elsewhere: one to those that
    /// start there, one to those that end there.
    void orderAround(const std::string &dataCentre, const nlohmann::json &fromHere,
                     const nlohmann::json &toHere);
    void showLogs() const;

    Plan m_plan;
    std::filesystem::path m_folder;
    Addresses m_addresses;
    Client m_client;
    Faults m_faults;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<std::pair<std::string, std::string>, std::string> m_reach;
};

/// Sum of a metric's samples whose labels hold \a label ("reason=\"queue_full\"" or empty).
double metricSum(std::string_view text, std::string_view name, std::string_view label = "");

} // namespace hyssop::harness
