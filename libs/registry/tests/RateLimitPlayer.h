#pragma once

#include "SendGrants.h"
#include "VirtualTime.h"

#include "dispatch/Dispatch.h"

namespace hyssop::registry {

/// Entry hosts, upstreams with rate limits and calls to them.
struct RateLimitScenario
{
    int hostCount = 0;
    std::vector<std::optional<double>> limits; ///< Requests per second of each upstream.
    double callsPerSecond = 0;
    base::Millis duration{0};
    /// No control host grants anything in this time. Another one does afterwards.
    base::Millis leaderLostFrom{0};
    base::Millis leaderLostTo{0};
    /// The first third of the hosts stands still in this time.
    base::Millis pausedFrom{0};
    base::Millis pausedTo{0};
    std::uint64_t seed = 1;
};

struct RateLimitOutcome
{
    int calls = 0;
    int served = 0;
    int rejected = 0;
    base::Millis longestQueueTime{0}; ///< Of all calls, until they were sent or rejected.
    base::Millis shortestRetryAfter{base::Millis::max()};
    std::vector<std::vector<base::TimePoint>> arrivals; ///< At each upstream.

    /// Most requests that an upstream got in some 4 s that end \a from or later.
    int fullestWindow(std::size_t upstream, base::TimePoint from) const;
};

/// Plays a scenario in virtual time on the decisions of the entry hosts and of the control host.
class RateLimitPlayer : private VirtualTime
{
public:
    static constexpr base::TimePoint kStart{std::chrono::hours(1)};

    explicit RateLimitPlayer(RateLimitScenario scenario);
    RateLimitOutcome play();

private:
    struct Call
    {
        std::size_t host = 0;
        base::TimePoint arrivedAt;
    };

    /// Runs \a step at a host, later when it stands still.
    void scheduleAtHost(std::size_t host, base::TimePoint at, Step step);
    void sendCall();
    void shareLimits();
    void handle(std::size_t host, const dispatch::Event &event);
    void execute(std::size_t host, const dispatch::Actions &actions);
    void executeAction(std::size_t host, const dispatch::SendAttempt &action);
    void executeAction(std::size_t host, const dispatch::RejectCall &action);
    void executeAction(std::size_t host, const dispatch::RequestSendGrant &action);
    void executeAction(std::size_t host, const dispatch::ReportRateLimit &action);
    template <typename Ignored>
    void executeAction(std::size_t, const Ignored &)
    { }
    bool hasLeader() const;
    void noteQueueTime(const Call &call);

    RateLimitScenario m_scenario;
    std::mt19937_64 m_rng;
    SendGrants m_grants;
    std::vector<std::unique_ptr<dispatch::Dispatcher>> m_hosts;
    std::map<dispatch::CallId, Call> m_calls;
    RateLimitOutcome m_outcome;
    std::int64_t m_lastCall = 0;
    bool m_wasLeaderLost = false;
};

} // namespace hyssop::registry
