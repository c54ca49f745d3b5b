#pragma once

#include "LoadAggregator.h"
#include "PrefillPermits.h"
#include "VirtualTime.h"

#include "dispatch/Dispatch.h"

#include <deque>
#include <random>
#include <set>

namespace hyssop::registry {

/// Prompts of one route that callers send.
struct PromptLoad
{
    std::string route;
    double perSecond = 0;
    double meanTokens = 0;
    double sigma = 0; ///< Of the logarithm of the sizes.
    double maxTokens = 0;
    base::Millis latencyObjective{0};
    base::Millis gapObjective{0};
    base::Millis deadline{0};
    int answerEvents = 0;
};

/// Engines and the prompts that are sent to them.
struct PromptScenario
{
    int engineCount = 0;
    fleet::EngineSpec engine;
    int entryHostCount = 0;
    int dataCentreCount = 1; ///< Engines and hosts are divided evenly among them.
    /// Peers with which a host exchanges its load directly. All others' load comes from a sum.
    std::size_t loadPeerLimit = 1'000;
    /// Requests that wait at an engine while its slots are taken; it refuses more. Without a value,
    /// slots are not limited.
    std::optional<int> engineQueue;
    std::vector<PromptLoad> loads;
    base::Millis duration{0};
    std::uint64_t seed = 1;
};

/// What became of a prompt, retries of its caller included.
struct PromptOutcome
{
    std::string route;
    std::int64_t tokens = 0;
    bool isServed = false;
    bool isInTime = false;
    int refusals = 0; ///< By engines that were full.
    dispatch::QueueBlocker lastBlocker = dispatch::QueueBlocker::None; ///< Of its last rejection.
};

/// Plays a scenario in virtual time on the decisions of entry hosts and of the prefill permits.
///
/// Engines prefill in order of arrival, decode all answers at the same pace, except that prefill
/// interrupts them, and reserve memory while they have some. Hosts learn of each other's load and
/// of permits after a network delay. Callers retry once, after the time that a rejection names.
class PromptLoadPlayer : private VirtualTime
{
public:
    explicit PromptLoadPlayer(PromptScenario scenario);
    std::vector<PromptOutcome> play();

private:
    struct Engine
    {
        fleet::Upstream upstream;
        base::TimePoint prefillEndsAt{};
        std::set<dispatch::CallId> decoding; ///< Calls whose answer it is sending.
        std::int64_t usedTokens = 0;
        int requests = 0; ///< Sent to it and not ended.
        int runningRequests = 0; ///< Those that have a slot.
        std::deque<std::pair<int, dispatch::SendAttempt>>
                waiting; ///< With their attempts' numbers.
    };
    struct Host
    {
        std::unique_ptr<dispatch::Dispatcher> dispatcher;
        base::TimePoint tickAt = base::TimePoint::max();
        std::vector<std::size_t> peers; ///< Hosts that it sends its load to.
    };
    struct Call
    {
        std::size_t host = 0;
        std::size_t outcome = 0; ///< Index of its outcome.
        dispatch::CallInfo info;
        base::TimePoint firstSentAt{}; ///< When its caller sent it for the first time.
        bool isRetry = false;
        bool isInTime = false;
        int attempt = 0; ///< Number of the current attempt. Events of earlier ones are ignored.
        std::vector<std::pair<base::UpstreamId, std::int64_t>> reservations;
        std::optional<base::UpstreamId> engine; ///< That holds the current attempt.
        bool hasSlot = false; ///< At that engine.
    };

    void scheduleAfter(base::TimePoint::duration delay, Step step);
    void scheduleArrivals(const PromptLoad &load);
    void send(std::size_t outcome, base::TimePoint firstSentAt, bool isRetry);
    void handle(std::size_t host, const dispatch::Event &event);
    void execute(std::size_t host, const dispatch::Actions &actions);
    void executeAction(const dispatch::RequestPermit &action);
    void executeAction(const dispatch::ReleasePermit &action);
    void executeAction(const dispatch::ReserveMemory &action);
    void executeAction(const dispatch::ReleaseMemory &action);
    void executeAction(const dispatch::SendAttempt &action);
    void executeAction(const dispatch::CancelAttempt &action);
    void executeAction(const dispatch::RejectCall &action);
    template <typename Ignored>
    void executeAction(const Ignored &)
    { }
    /// Begins the prefill of an attempt.
    void run(const dispatch::SendAttempt &action);
    /// The current attempt of a call leaves its engine.
    void leaveEngine(Call &call);
    void decode(dispatch::CallId id, const base::UpstreamId &engine);
    /// Answers that an engine sends are late if its prefill interrupts them for too long.
    void interruptDecoding(const Engine &engine);
    /// Runs \a step at \a at unless the attempt has been cancelled by then.
    void scheduleForAttempt(base::TimePoint at, dispatch::CallId id, Step step);
    base::TimePoint::duration passTime() const;
    /// Whether the engine refuses another request.
    bool isFull(const Engine &engine) const;
    void shareLoads();
    /// Sends each host the sum of the loads of hosts that are not its peers.
    void sumLoads();
    void tickPermits();
    bool isOver() const;
    Engine &engineOf(const base::UpstreamId &id);
    fleet::PermitKey permitKey(dispatch::CallId id) const;

    PromptScenario m_scenario;
    std::mt19937_64 m_rng;
    PrefillPermits m_permits;
    LoadAggregator m_aggregator;
    std::vector<Engine> m_engines;
    std::vector<Host> m_hosts;
    std::map<dispatch::CallId, Call> m_calls;
    std::map<std::string, PromptLoad> m_loads;
    std::vector<PromptOutcome> m_outcomes;
    base::TimePoint m_nextSnapshotAt{};
    std::int64_t m_lastCall = 0;
};

} // namespace hyssop::registry
