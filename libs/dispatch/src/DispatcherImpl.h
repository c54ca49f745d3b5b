#pragma once

#include "EngineModel.h"
#include "PeerLoads.h"
#include "Reach.h"
#include "RetryBudget.h"
#include "UpstreamState.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace hyssop::dispatch {

/// How a prompt relates to the pauses that others on its engines bear.
enum class SizeClass {
    Short, ///< Its parts fit between the tokens of those who write.
    Long, ///< It goes to engines of their own.
};

enum class Stage {
    Queued,
    Reserving, ///< Memory for it is being reserved.
    Sent,
};

/// Of a long prompt.
enum class Permit { None, Asked, Held };

struct ActiveCall
{
    CallInfo info;
    Stage stage = Stage::Queued;
    SizeClass size = SizeClass::Short;
    Permit permit = Permit::None;
    bool isHeavy = false; ///< Larger than an engine holds.
    double readMs = 0;
    base::Tokens kv;
    base::Tokens kvAtFirst; ///< Of \c kv, what the first engine holds.
    base::UpstreamId upstream; ///< While it is sent.
    std::vector<base::UpstreamId> readers; ///< Engines that read a part each.
    std::vector<std::pair<base::UpstreamId, base::Tokens>> reserved; ///< Memory at helpers.
    std::optional<SendAttempt> prepared; ///< Sent once the memory is reserved.
    std::int64_t partMs = 0; ///< Reading of one part; 0 once all were read.
    base::Millis expected{0}; ///< Until its first event, when it was sent.
    std::vector<base::UpstreamId> tried;
    int attempts = 0;
    int unsent = 0; ///< Attempts that reached no upstream.
    bool mayHaveRun = false;
    bool hasEvents = false; ///< The caller has some of the answer.
    base::TimePoint queuedAt;
    base::TimePoint progressDue; ///< While it is sent.
};

/// A service and its upstreams.
struct ServiceState
{
    ServiceFacts facts;
    base::TimePoint longUntil{}; ///< Long prompts came lately until then.
    std::unique_ptr<RetryBudget> budget;
    std::vector<UpstreamState *> upstreams; ///< In an order that every host shares.
};

/// Where a call goes.
struct Choice
{
    UpstreamState *first = nullptr;
    std::vector<UpstreamState *> helpers;
    std::map<UpstreamState *, base::Tokens> reserves; ///< Memory to reserve at helpers.
    base::Tokens firstMemory; ///< What is left for the first engine, where others hold some.
    double firstEventMs = 0; ///< Expected time to the first event.
};

/// Engines that read a long prompt with the most gain, if they do so now.
struct LongReaders
{
    std::vector<UpstreamState *> engines;
    double value = 0; ///< Of the answer in time; 1 is that to the shortest prompt.
    double gain = 0; ///< What of it is expected, less what others lose by the reading.
    double idleGain = 0; ///< What it would be if all engines were idle now.
    double firstEventMs = 0; ///< Expected time to the first event.
    bool isInTime = false; ///< That is within the objective.
};

/// Helpers that one request may name, as engines accept them.
constexpr std::size_t kMostHelpers = 16;

inline bool contains(const std::vector<base::UpstreamId> &ids, const base::UpstreamId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

class Dispatcher::Impl
{
public:
    explicit Impl(DispatcherOptions options);

    void on(const CallArrived &event, base::TimePoint now);
    void on(const CallerLeft &event, base::TimePoint now);
    void on(const UpstreamSeen &event, base::TimePoint now);
    void on(const UpstreamGone &event, base::TimePoint now);
    void on(const ServicesChanged &event, base::TimePoint now);
    void on(const LoadSeen &event, base::TimePoint now);
    void on(const PeerLoadSeen &event, base::TimePoint now);
    fleet::LoadNews takeLoadNews(bool isWhole);
    void on(const OthersSeen &event, base::TimePoint now);
    void on(const PermitGranted &event, base::TimePoint now);
    void on(const MemoryAnswered &event, base::TimePoint now);
    void on(const Progressed &event, base::TimePoint now);
    void on(const AttemptDone &event, base::TimePoint now);
    void on(const AttemptFailed &event, base::TimePoint now);
    void tick(base::TimePoint now);
    base::TimePoint nextTick() const;
    DispatcherStats stats(base::TimePoint now) const;
    fleet::LoadReport load() const;

    Actions takeActions() { return std::exchange(m_actions, {}); }
    /// Sends queued calls that have room now.
    void serveQueue(base::TimePoint now);

private:
    // Placement.
    ServiceState &serviceOf(const base::ServiceId &id);
    static void classify(ActiveCall &call, ServiceState &service, base::TimePoint now);
    std::optional<Choice> choose(ActiveCall &call, ServiceState &service, base::TimePoint now);
    std::optional<Choice> choosePlain(const ActiveCall &call, ServiceState &service,
                                      base::TimePoint now);
    std::optional<Choice> chooseEngines(ActiveCall &call, ServiceState &service,
                                        base::TimePoint now);
    std::optional<Choice> chooseForShort(const ActiveCall &call, ServiceState &service,
                                         const std::vector<UpstreamState *> &all,
                                         base::TimePoint now);
    std::optional<Choice> chooseForLong(const ActiveCall &call, ServiceState &service,
                                        const std::vector<UpstreamState *> &all,
                                        base::TimePoint now);
    /// Engines in groups, within each of which short prompts are kept together.
    std::vector<std::vector<UpstreamState *>> sides(const std::vector<UpstreamState *> &all) const;
    /// Engines that short prompts keep to, with room for some more of them.
    std::vector<UpstreamState *> keptForShort(const std::vector<UpstreamState *> &all) const;
    /// How many of \a all, from the last one back, short prompts keep to when \a more come.
    static std::size_t enginesForShort(const std::vector<UpstreamState *> &all, double more,
                                       bool isLongAbout);
    /// How many of \a all, from the last one back, read another \a readMs in time; \a least or
    /// more.
    static std::size_t enginesToRead(const std::vector<UpstreamState *> &all, std::size_t least,
                                     double readMs, base::TimePoint now);
    UpstreamState *leastLoaded(const std::vector<UpstreamState *> &from, const ActiveCall &call,
                               int slots, base::TimePoint now);
    static bool isUnservable(const ActiveCall &call, const ServiceState &service);
    std::vector<UpstreamState *> helperCandidates(const ActiveCall &call,
                                                  const std::vector<UpstreamState *> &from,
                                                  const UpstreamState *first, base::TimePoint now);
    /// As many helpers as make the parts small enough for those who write in \a pool.
    void addFewHelpers(const ActiveCall &call, const std::vector<UpstreamState *> &pool, double gap,
                       Choice &choice, base::TimePoint now);
    /// All engines that are not busy for longer than the others.
    void addSpreadHelpers(const ActiveCall &call, const std::vector<UpstreamState *> &all,
                          Choice &choice, base::TimePoint now);
    LongReaders readersForLong(const ActiveCall &call, const ServiceFacts &facts,
                               const std::vector<UpstreamState *> &all, base::TimePoint now) const;
    /// Whether engines that promise more are expected soon enough.
    static bool isBetterToWait(const ActiveCall &call, const LongReaders &readers,
                               base::TimePoint now);
    /// Chooses the engine that holds a prompt; false without room.
    bool placeMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                     const std::vector<UpstreamState *> &readers, Choice &choice,
                     base::TimePoint now);
    /// Divides the memory of a prompt between the first engine and helpers; false without room.
    static bool divideMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                             const std::vector<UpstreamState *> &readers, Choice &choice);
    /// Upstreams that may get new calls; excluded ones only when there are no others.
    std::vector<UpstreamState *> usable(const ServiceState &service, base::TimePoint now) const;
    void rebuild();
    /// Notes the calls that are still at an upstream which was gone for a while.
    void countCalls(UpstreamState &state, base::TimePoint now);
    void usePeerLoads(base::TimePoint now);
    /// Whether some other entry hosts do not tell their load themselves.
    bool isPartlyTold() const;

    // Attempts.
    void send(ActiveCall &call, const Choice &choice, base::TimePoint now);
    void release(ActiveCall &call, base::TimePoint now);
    void releaseMemory(ActiveCall &call);
    /// Its prompt was read, or will not be.
    void endReading(ActiveCall &call, base::TimePoint now);
    void onStall(ActiveCall &call, base::TimePoint now);
    void noteFault(const ActiveCall &call, AttemptFault fault,
                   const std::optional<base::Endpoint> &culprit, base::TimePoint now);
    bool mayRetry(ActiveCall &call, AttemptFault fault, base::TimePoint now);
    /// Of the upstreams of a service but one.
    double meanFailureShare(const UpstreamState &but);
    void noteUnreached(const fleet::Upstream &upstream, base::TimePoint now);
    void exclude(UpstreamState &state, base::TimePoint now);
    base::Millis firstEventLimit(const ActiveCall &call) const;
    base::Millis gapLimit(const ActiveCall &call) const;
    /// Lets the call wait for room, from now on.
    void enqueue(ActiveCall &call, base::TimePoint now);
    void askPermit(ActiveCall &call, base::TimePoint now);
    void releasePermit(ActiveCall &call);
    void giveUp(ActiveCall &call, Reason reason, base::TimePoint now);
    base::Millis retryAfter(const ActiveCall &call, base::TimePoint now);
    base::TimePoint queueLimit(const ActiveCall &call) const;
    void end(CallId id);
    ActiveCall *find(CallId id);
    UpstreamState *findUpstream(const base::UpstreamId &id);

    DispatcherOptions m_options;
    base::Rng m_rng;
    std::map<base::UpstreamId, std::unique_ptr<UpstreamState>> m_upstreams;
    std::map<base::ServiceId, ServiceState> m_services;
    std::map<CallId, ActiveCall> m_calls;
    std::map<std::pair<int, CallId>, CallId> m_queue; ///< By priority, then by arrival.
    Reach m_reach;
    PeerLoads m_peers;
    std::set<base::UpstreamId> m_changed; ///< Own load there changed since it was last told.
    int m_entries = 0;
    Actions m_actions;
};

} // namespace hyssop::dispatch
