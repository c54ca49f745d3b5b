#pragma once

#include "ConfigurationWatch.h"
#include "SoakLoad.h"
#include "SoakPlan.h"

namespace hyssop::soak {

/// Carries out the steps of a plan on a running system, and brings back what they took away.
class FaultDriver
{
public:
    FaultDriver(harness::System *system, SoakLoad *load, ConfigurationWatch *configuration,
                harness::Scorecard *scorecard);

    /// Begins a step. False when its target is still under another one.
    bool begin(const FaultStep &step, base::TimePoint now);
    /// Ends steps that are over and follows hosts until they serve again.
    void tick(base::TimePoint now);
    /// Nothing is under a fault any more.
    bool isWhole() const { return m_hosts.empty() && m_links.empty(); }
    std::string text() const;

private:
    enum class Phase { Stopping, Down, Frozen, Starting };
    struct HostFault
    {
        harness::Host *host = nullptr;
        Fault fault = Fault::KillEntry;
        Phase phase = Phase::Down;
        base::TimePoint since;
        base::TimePoint until; ///< End of being down or frozen.
        base::Millis downFor{0};
        bool isOut = false; ///< The balancer has seen it.
        std::optional<Poll> ready;
    };

    bool beginOnLinks(const FaultStep &step, base::TimePoint now);
    void beginOnHost(const FaultStep &step, harness::Host &host, base::TimePoint now);
    void endOnLinks(const FaultStep &step);
    /// Whether the host serves again.
    bool advance(HostFault &it, base::TimePoint now);
    void checkExit(HostFault &it, base::TimePoint now);
    void restart(HostFault &it, base::TimePoint now);
    bool isServing(HostFault &it, base::TimePoint now);
    void reportReach(base::TimePoint now);
    bool isApart(const std::string &dataCentre) const;

    harness::System *m_system;
    SoakLoad *m_load;
    ConfigurationWatch *m_configuration;
    harness::Scorecard *m_scorecard;
    std::map<std::string, HostFault> m_hosts;
    std::map<std::string, std::pair<FaultStep, base::TimePoint>> m_links; ///< Step and its end.
};

} // namespace hyssop::soak
