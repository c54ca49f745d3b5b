#pragma once

#include "System.h"

#include <map>

namespace hyssop::soak {

/// What the upstreams themselves wrote down, over all their restarts.
class Witness
{
public:
    /// Reads the logs of every engine and service; they run with --log-work.
    explicit Witness(harness::System &system);
    /// Reads the logs of these upstreams, by name.
    explicit Witness(const std::map<std::string, std::filesystem::path> &logs);

    /// How often an upstream started that work: a prompt's digest or a service's path.
    std::int64_t startsOf(const std::string &work) const;

    /// Work that came to an upstream from 3 s after it said that it was leaving.
    struct Leaving
    {
        std::string upstream;
        std::string since; ///< Time in its log.
        std::int64_t lateWork = 0;
        std::string firstLate;
    };
    const std::vector<Leaving> &leavings() const { return m_leavings; }

private:
    void read(const std::filesystem::path &log, const std::string &upstream);

    std::map<std::string, std::int64_t> m_starts;
    std::vector<Leaving> m_leavings;
};

} // namespace hyssop::soak
