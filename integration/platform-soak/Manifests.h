#pragma once

#include "History.h"
#include "PlatformBed.h"

#include <atomic>
#include <thread>

namespace hyssop::platformsoak {

/// The operator: puts manifests of rising versions in turn to all control hosts, and reads back.
///
/// Each version brings a team of its own and takes away the one before the last.
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
    static std::string textOf(std::int64_t version);

private:
    void work();
    void read();

    const harness::PlatformBed *m_bed;
    History *m_history;
    base::Rng m_rng;
    std::atomic<std::int64_t> m_acknowledged{0};
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

/// Name of the team that a version brings, and its key.
std::string teamOf(std::int64_t version);
std::string keyOf(std::int64_t version);
/// Version in a manifest's text; 0 when it has none.
std::int64_t versionIn(const std::string &manifest);

} // namespace hyssop::platformsoak
