#pragma once

#include "History.h"
#include "PlatformBed.h"
#include "ReplicaKeeper.h"

#include <atomic>

namespace hyssop::platformsoak {

/// Replicas of both services at fixed addresses, which announce themselves, crash, come back under
/// their id or as others, leave, and state request rate limits that they change and drop. Requests
/// with deadlyTriggers() crash them. Sound ones fall silent for a second or so, alone or several
/// together, and some answer resumed streams with errors or turn all away for a while.
class ReplicaPool
{
public:
    ReplicaPool(const harness::PlatformBed *bed, History *history, std::uint64_t seed);
    ~ReplicaPool();
    ReplicaPool(const ReplicaPool &) = delete;
    ReplicaPool &operator=(const ReplicaPool &) = delete;

    std::size_t size() const { return m_places.size(); }
    static harness::CrashTriggers deadlyTriggers();
    /// Crashes that such requests caused. To be called after stop().
    const std::vector<harness::ReplicaCrash> &deadlyCrashes() const { return m_deadlyCrashes; }
    /// Ends a replica without a word; another one starts at its address after \a down.
    void crash(std::size_t place, base::Millis down);
    /// Lets a replica say that it leaves; it serves on for a while, then another one starts there.
    void leave(std::size_t place);
    /// States no limits any more.
    void dropLimits();
    /// Refuses nothing any more. Silences go on.
    void stopRefusals();
    /// Whether no replica is down.
    bool isWhole() const;
    void stop();

    /// Runs of all replicas that ever were. To be called after stop().
    std::vector<harness::Run> runs() const;
    /// Reservations held at replicas that never crashed. To be called after stop().
    std::size_t reservations() const;
    /// Limits and requests of all replicas that ever were, named "replica-PLACE/ID". To be called
    /// after stop().
    std::vector<harness::ReplicaTraffic> traffic() const;

private:
    enum class State { Serving, Leaving, Down };
    struct Place
    {
        std::unique_ptr<harness::Replica> replica;
        std::int64_t sequence = 0;
        std::int64_t incarnation = 0; ///< Start in Unix milliseconds.
        bool keepsId = false; ///< Starts again under its id.
        std::string id;
        State state = State::Serving;
        bool isHeard = false; ///< That it leaves.
        base::TimePoint until; ///< End of leaving or of being down.
        base::TimePoint silentFrom{}; ///< Of its last silence.
        base::TimePoint nextSilenceAt{};
        base::TimePoint resumesFrom{}; ///< Until then it refuses to resume streams.
    };

    void work();
    void tick(std::size_t n, base::TimePoint now);
    void startAt(std::size_t n);
    void retire(std::size_t n);
    /// Takes down a replica that is to start again later.
    void takeDown(std::size_t n, base::Millis down, base::TimePoint now);
    /// Takes down replicas that crashed on a request.
    void takeDownCrashed(base::TimePoint now);
    /// States another limit, or none, at one of the places.
    void changeLimit(base::TimePoint now);
    /// Lets replicas fall silent, and others refuse to resume streams.
    void beginSilences(base::TimePoint now);
    static harness::ReplicaTraffic trafficOf(const Place &place, std::size_t n);
    std::string serviceOf(std::size_t n) const { return n % 2 == 0 ? "booking" : "model"; }

    const harness::PlatformBed *m_bed;
    History *m_history;
    base::Rng m_rng;
    mutable std::mutex m_mutex;
    std::vector<Place> m_places;
    std::vector<harness::Run> m_formerRuns;
    std::vector<harness::ReplicaTraffic> m_formerTraffic;
    std::vector<harness::ReplicaCrash> m_deadlyCrashes;
    base::Rng m_limitRng; ///< Apart, so that the other draws of a seed stay as they are.
    base::TimePoint m_nextLimitAt{};
    base::Rng m_silenceRng; ///< Apart as well.
    bool m_areLimitsOver = false;
    bool m_areRefusalsOver = false;
    int m_lastId = 0;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

} // namespace hyssop::platformsoak
