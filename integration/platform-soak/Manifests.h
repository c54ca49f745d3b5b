#pragma once

#include "History.h"
#include "PlatformBed.h"

#include <atomic>
#include <thread>

namespace hyssop::platformsoak {

/// The operator: puts manifests of rising versions in turn to all control hosts, now and then
/// several in quick succession, and reads back.
///
/// Each version brings a team of its own and takes away the one before the last, and has timeouts,
/// an idle limit and weights of its own.
class Operator
{
public:
    Operator(const harness::PlatformBed *bed, History *history, std::uint64_t seed);
    ~Operator();
    Operator(const Operator &) = delete;
    Operator &operator=(const Operator &) = delete;

    void stop();
    /// The highest version that was acknowledged.
    std::int64_t acknowledged() const { return m_acknowledged; }
    /// The smallest limit of idle connections that may be in force.
    base::Millis leastIdleTimeout() const;
    static std::string textOf(std::int64_t version);

private:
    void work();
    void read();

    const harness::PlatformBed *m_bed;
    History *m_history;
    base::Rng m_rng;
    base::Rng m_pauseRng; ///< Apart, so that the other draws of a seed stay as they are.
    mutable std::mutex m_mutex;
    std::vector<std::pair<base::TimePoint, std::int64_t>> m_sent; ///< Versions.
    std::atomic<std::int64_t> m_acknowledged{0};
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

/// Name of the team that a version brings, and its key.
std::string teamOf(std::int64_t version);
std::string keyOf(std::int64_t version);
/// The smallest TimeoutMs that a version gives the route of a kind of request.
base::Millis leastTimeout(Kind kind);
/// Version in a manifest's text; 0 when it has none.
std::int64_t versionIn(const std::string &manifest);

} // namespace hyssop::platformsoak
