#pragma once

#include "SuspectRecord.h"
#include "VirtualTime.h"

#include "dispatch/Dispatch.h"

#include <set>

namespace hyssop::registry {

/// Entry hosts, upstreams that crash and calls to them.
struct CrashScenario
{
    int hostCount = 7;
    int upstreamCount = 14;
    double soundPerSecond = 28;
    /// Calls per second with each deadly part. They have a common part and one of some others too.
    std::vector<double> deadlyPerSecond;
    base::Millis deadlyFrom{3'000};
    base::Millis deadlyTo{base::Millis::max()}; ///< The parts crash nothing from then on.
    base::Millis duration{20'000};
    std::vector<std::pair<base::Millis, std::vector<int>>> kills; ///< Upstreams killed at a time.
    double resetShare = 0; ///< Of the calls, whose connections are reset midway.
    /// No control host decides in this time. Another one does afterwards.
    base::Millis leaderLostFrom{0};
    base::Millis leaderLostTo{0};
    /// One host starts only then, and gets all calls with deadly parts from then on.
    std::optional<base::Millis> lateHostAt;
    /// All hosts and the leader lose their memory then; what the log holds is kept.
    std::optional<base::Millis> allKilledAt;
    bool keepsIds = false; ///< Upstreams start again under their ids.
    /// Calls have no part in common; a deadly one comes again and again.
    bool areWholeRequests = false;
    int sharedPartCount = 0; ///< Further parts that all calls have in common.
    int ownPartCount = 0; ///< Further parts of each call that no other call has.
    std::uint64_t seed = 1;
};

struct CrashOutcome
{
    struct Call
    {
        std::optional<std::size_t> deadlyPart;
        std::size_t host = 0;
        base::TimePoint sentAt;
        bool isServed = false;
        bool isQuarantined = false;
    };
    struct DeadlyPart
    {
        std::vector<base::TimePoint> crashes;
        std::vector<base::TimePoint> arrivals; ///< At upstreams.
    };
    std::vector<Call> calls;
    std::vector<DeadlyPart> deadlyParts;
    std::size_t suspects = 0; ///< At the end.
    std::size_t largestReport = 0; ///< Contents in one message of a host.
    std::size_t reports = 0; ///< Messages of all hosts.

    int arrivalsAfter(std::size_t part, base::TimePoint from) const;
    /// Calls without deadly parts that were sent from \a from on.
    std::vector<Call> soundCalls(base::TimePoint from) const;
};

/// Plays a scenario in virtual time on the decisions of the entry hosts and of the control host.
class CrashPlayer : private VirtualTime
{
public:
    static constexpr base::TimePoint kStart{std::chrono::hours(1)};
    /// Crashed upstreams are back after this.
    static constexpr base::Millis kDownTime{3'000};

    explicit CrashPlayer(CrashScenario scenario);
    CrashOutcome play();

private:
    struct Host
    {
        std::unique_ptr<dispatch::Dispatcher> dispatcher;
        std::vector<std::pair<base::TimePoint, fleet::CrashEvidence>> keptEvidence;
        int informedLeader = 0;
        bool isRunning = true;
    };
    struct Upstream
    {
        fleet::Upstream info;
        bool isUp = true;
        std::set<dispatch::CallId> calls; ///< In flight there.
    };
    struct Attempt
    {
        std::size_t host = 0;
        int number = 0; ///< Changes with each attempt.
        std::size_t upstream = 0;
        base::Incarnation incarnation;
    };

    void scheduleCalls(double perSecond, std::optional<std::size_t> deadlyPart,
                       base::TimePoint from, base::TimePoint to);
    void sendCall(std::optional<std::size_t> deadlyPart);
    void startHost(std::size_t host);
    bool isDeadlyNow() const;
    bool hasLeader() const;
    void crash(std::size_t upstream);
    void restart(std::size_t upstream);
    bool isCurrent(dispatch::CallId call, int attempt) const;
    void handle(std::size_t host, const dispatch::Event &event);
    void arrive(const dispatch::SendAttempt &action, int attempt);
    void continueStream(dispatch::CallId call, int attempt, base::TimePoint endsAt);
    void failAttempt(dispatch::CallId call, int attempt, dispatch::AttemptFault fault);
    void sendEvidence(std::size_t host, const fleet::CrashEvidence &evidence,
                      base::TimePoint createdAt);
    fleet::TrialKey keyOf(std::size_t host, dispatch::CallId call) const;
    void publish();
    void store();
    std::int64_t wallMs() const;
    void restartAll();
    void watch(std::size_t host);

    void executeAction(std::size_t host, const dispatch::SendAttempt &action);
    void executeAction(std::size_t host, const dispatch::CancelAttempt &action);
    void executeAction(std::size_t host, const dispatch::RejectCall &action);
    void executeAction(std::size_t host, const dispatch::ProbeUpstream &action);
    void executeAction(std::size_t host, const dispatch::ReportCrash &action);
    void executeAction(std::size_t host, const dispatch::ReportAnswered &action);
    void executeAction(std::size_t host, const dispatch::RequestTrial &action);
    void executeAction(std::size_t host, const dispatch::EndTrial &action);
    template <typename Ignored>
    void executeAction(std::size_t, const Ignored &)
    { }

    CrashScenario m_scenario;
    std::mt19937_64 m_rng;
    CrashSuspects m_suspects;
    int m_leader = 1;
    SuspectRecord m_record;
    std::optional<ledger::StoredCrashSuspects> m_stored;
    std::int64_t m_publishedRevision = 0;
    base::TimePoint m_nextPublishAt{};
    std::vector<Host> m_hosts;
    std::vector<Upstream> m_upstreams;
    std::map<dispatch::CallId, Attempt> m_attempts;
    CrashOutcome m_outcome;
    std::int64_t m_lastStart = 0;
};

} // namespace hyssop::registry
