#pragma once

#include "PlatformBed.h"
#include "Replica.h"

#include <atomic>

namespace hyssop::harness {

/// Crash of a replica.
struct ReplicaCrash
{
    std::string replica;
    std::string request; ///< That caused it; empty for any other cause.
    base::TimePoint at;
};

/// Keeps replicas of one service running at the addresses of a bed. It announces them, and starts
/// one again some seconds after it crashed, in turn under its id and under another one.
class ReplicaKeeper
{
public:
    static constexpr base::Millis kDownTime{3'000};

    ReplicaKeeper(const PlatformBed *bed, std::string service);
    ~ReplicaKeeper();
    ReplicaKeeper(const ReplicaKeeper &) = delete;
    ReplicaKeeper &operator=(const ReplicaKeeper &) = delete;

    /// Sets what crashes all replicas, those that start later included.
    void crashOn(const CrashTriggers &triggers);
    /// Crashes a replica, if it runs.
    void crash(std::size_t place);
    std::size_t size() const { return m_places.size(); }

    std::vector<ReplicaCrash> crashes() const;
    /// Requests that reached a replica.
    std::vector<ReplicaTraffic::Arrival> arrivals() const;

private:
    struct Place
    {
        std::unique_ptr<Replica> replica;
        std::string id;
        std::int64_t incarnation = 0; ///< Start in Unix milliseconds.
        std::int64_t sequence = 0;
        base::TimePoint startsAt{}; ///< While it is down.
        base::TimePoint announcesAt{};
    };

    void work();
    void startAt(std::size_t n);
    void end(std::size_t n, const std::string &request, base::TimePoint now);
    void announceDue(base::TimePoint now);

    const PlatformBed *m_bed;
    const std::string m_service;
    mutable std::mutex m_mutex;
    std::vector<Place> m_places;
    CrashTriggers m_triggers;
    std::vector<ReplicaCrash> m_crashes;
    std::vector<ReplicaTraffic::Arrival> m_formerArrivals;
    int m_lastId = 0;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

} // namespace hyssop::harness
