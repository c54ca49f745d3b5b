#pragma once

#include "Manifests.h"

namespace hyssop::platformsoak {

/// Part of prompts, and path of lookups of team 0, that crash the replicas that run them.
inline constexpr auto kDeadlyPart = "dead";
inline constexpr auto kDeadlyTarget = "/look/dead";

/// Callers of all four kinds, each a thread with a connection that it keeps while it can.
class Load
{
public:
    Load(const harness::PlatformBed *bed, const Operator *manifests, History *history,
         std::uint64_t seed, std::size_t callers);
    ~Load();
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    /// Sends no more calls that crash replicas.
    void stopCrashes() { m_areCrashesOver = true; }
    void stop();

private:
    void work(std::size_t number, std::uint64_t seed);
    /// Pauses for as long as the connection may be used again, or drops it.
    void pause(base::Rng &rng, std::unique_ptr<harness::Caller> &caller);

    const harness::PlatformBed *m_bed;
    const Operator *m_manifests;
    History *m_history;
    /// Only one of the services crashes in a run, so that replicas of the other one last.
    Kind m_deadlyKind;
    std::atomic<bool> m_areCrashesOver{false};
    std::atomic<bool> m_isStopping{false};
    std::vector<std::thread> m_threads;
};

} // namespace hyssop::platformsoak
