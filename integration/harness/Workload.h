#pragma once

#include "Calls.h"
#include "Scorecard.h"

#include <deque>
#include <list>
#include <map>
#include <set>

namespace hyssop::harness {

struct WorkloadOptions
{
    std::uint64_t seed = 1;
    double ratePerSecond = 20;
    std::int64_t shortTokens = 200;
    std::int64_t longTokens = 20'000;
    int longPercent = 10; ///< Of the requests.
    int bookingPercent = 20; ///< Of the requests.
    std::int64_t maxOutput = 40;
    std::int64_t deadlineMs = 10'000;
};

/// Mixed load from many callers, drawn from a seed; checks each answer. Driven by tick() from the
/// main thread.
class Workload
{
public:
    Workload(System *system, Scorecard *scorecard, WorkloadOptions options);

    /// Starts the calls that are due and reads those that have ended.
    void tick(base::TimePoint now);
    /// Ticks until \a isDone answers true; false when \a limit passes first.
    template <typename Predicate>
    bool runUntil(base::Millis limit, const Predicate &isDone);
    void runFor(base::Millis duration);
    /// Starts no more calls and waits for the open ones.
    void drain();
    void pause() { m_isPaused = true; }

    /// The balancer sends no new calls to a host.
    void takeOut(const Host &entry) { m_out.insert(entry.name); }
    void putBack(const Host &entry) { m_out.erase(entry.name); }
    /// Stops a host with SIGTERM as its platform would, checks that it exits with 0, starts it
    /// again and waits until it is ready and knows its data centre's upstreams.
    void restart(Host &host);
    /// Open calls at the host may be cut off: it was killed.
    void excuse(const Host &entry);

    std::int64_t started() const { return m_started; }
    std::int64_t answered() const { return m_answered; }
    std::int64_t refused() const { return m_refused; }
    std::int64_t failed() const { return m_failed; }
    std::size_t open() const { return m_open.size(); }
    const std::map<std::string, std::int64_t> &codes() const { return m_codes; }
    /// Compares what callers were told of their bookings with what the services ran.
    void checkBookings();

private:
    enum class Told { Ran, NotRun, Unsure };
    struct OpenCall
    {
        std::string entry;
        std::string key; ///< Of a booking; empty for a completion.
        Completion completion;
        Pending pending;
        base::TimePoint started;
        bool isExcused = false;
    };

    void startOne(base::TimePoint now);
    const Host *drawEntry();
    void finish(const OpenCall &call, base::TimePoint now);
    void finishCompletion(const OpenCall &call, const Answer &answer);
    void finishBooking(const OpenCall &call, const Answer &answer);
    void count(int status, const std::string &code, const std::string &outcome);
    std::int64_t draw(std::int64_t below);

    System *m_system;
    Scorecard *m_scorecard;
    WorkloadOptions m_options;
    base::Rng m_rng;
    std::set<std::string> m_out;
    std::list<OpenCall> m_open;
    std::map<std::string, Told> m_bookings;
    std::map<std::string, std::int64_t> m_codes;
    base::TimePoint m_nextStart{};
    bool m_isPaused = false;
    std::int64_t m_started = 0;
    std::int64_t m_answered = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_failed = 0;
};

template <typename Predicate>
bool Workload::runUntil(base::Millis limit, const Predicate &isDone)
{
    return eventually(limit, [&] {
        tick(base::monotonicNow());
        return isDone();
    });
}

} // namespace hyssop::harness
