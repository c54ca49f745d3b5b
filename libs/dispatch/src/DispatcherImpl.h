#pragma once

#include "EngineModel.h"
#include "PeerLoads.h"
#include "Reachability.h"
#include "RetryBudget.h"
#include "UpstreamState.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace hyssop::dispatch {

/// How a prompt relates to the pauses that others on its engines bear.
enum class PromptClass {
    Short, ///< Its parts fit between the tokens of those who write.
    Long, ///< It goes to engines of their own.
};

enum class CallStage {
    Queued,
    Reserving, ///< Memory for it is being reserved.
    Sent,
};

/// Of a long prompt.
enum class PermitState { None, Requested, Held };

struct ActiveCall
{
    CallInfo info;
    CallStage stage = CallStage::Queued;
    PromptClass promptClass = PromptClass::Short;
    PermitState permit = PermitState::None;
    bool isOversized = false; ///< Larger than an engine holds.
    double prefillMs = 0;
    base::Tokens kvTokens;
    base::Tokens primaryKvTokens; ///< Of \c kv, what the first engine holds.
    base::UpstreamId upstream; ///< While it is sent.
    std::vector<base::UpstreamId> prefillEngines; ///< Engines that read a part each.
    std::vector<std::pair<base::UpstreamId, base::Tokens>> reservations; ///< Memory at helpers.
    std::optional<SendAttempt> pendingAttempt; ///< Sent once the memory is reserved.
    std::int64_t partPrefillMs = 0; ///< Reading of one part; 0 once all were read.
    base::Millis expectedFirstEvent{0}; ///< Until its first event, when it was sent.
    std::vector<base::UpstreamId> triedUpstreams;
    int attempts = 0;
    int unsentAttempts = 0; ///< Attempts that reached no upstream.
    bool mayHaveRun = false;
    bool hasForwardedEvents = false; ///< The caller has some of the answer.
    base::TimePoint queuedAt;
    base::TimePoint progressDeadline; ///< While it is sent.
};

/// A service and its upstreams.
struct ServiceState
{
    ServiceParameters parameters;
    base::TimePoint longExpectedUntil{}; ///< Long prompts came lately until then.
    std::unique_ptr<RetryBudget> retryBudget;
    std::vector<UpstreamState *> upstreams; ///< In an order that every host shares.
};

/// Where a call goes.
struct Placement
{
    UpstreamState *primary = nullptr;
    std::vector<UpstreamState *> helpers;
    std::map<UpstreamState *, base::Tokens> helperKvTokens; ///< Memory to reserve at helpers.
    base::Tokens primaryKvTokens; ///< What is left for the first engine, where others hold some.
    double expectedFirstEventMs = 0; ///< Expected time to the first event.
};

/// Engines that read a long prompt with the most gain, if they do so now.
struct LongPrefillPlan
{
    std::vector<UpstreamState *> engines;
    double answerValue = 0; ///< Of the answer in time; 1 is that to the shortest prompt.
    double netValue = 0; ///< What of it is expected, less what others lose by the reading.
    double idleNetValue = 0; ///< What it would be if all engines were idle now.
    double expectedFirstEventMs = 0; ///< Expected time to the first event.
    bool isInTime = false; ///< That is within the objective.
};

/// Helpers that one request may name, as engines accept them.
constexpr std::size_t kMaxHelpers = 16;

inline bool contains(const std::vector<base::UpstreamId> &ids, const base::UpstreamId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

class Dispatcher::Impl
{
public:
    explicit Impl(DispatcherOptions options);

    void handle(const CallArrived &event, base::TimePoint now);
    void handle(const CallerDisconnected &event, base::TimePoint now);
    void handle(const UpstreamUpdated &event, base::TimePoint now);
    void handle(const UpstreamRemoved &event, base::TimePoint now);
    void handle(const ServicesChanged &event, base::TimePoint now);
    void handle(const UpstreamLoadReported &event, base::TimePoint now);
    void handle(const PeerLoadReceived &event, base::TimePoint now);
    fleet::LoadNews takeLoadUpdate(bool isSnapshot);
    void handle(const PeerLoadSumReceived &event, base::TimePoint now);
    void handle(const PermitGranted &event, base::TimePoint now);
    void handle(const ReservationDone &event, base::TimePoint now);
    void handle(const AnswerProgressed &event, base::TimePoint now);
    void handle(const AttemptSucceeded &event, base::TimePoint now);
    void handle(const AttemptFailed &event, base::TimePoint now);
    void tick(base::TimePoint now);
    base::TimePoint nextTick() const;
    DispatcherStats stats(base::TimePoint now) const;
    fleet::LoadReport ownLoad() const;

    Actions takeActions() { return std::exchange(m_actions, {}); }
    /// Sends queued calls that have room now.
    void dispatchQueued(base::TimePoint now);

private:
    // Placement.
    ServiceState &serviceOf(const base::ServiceId &id);
    static void classifyPrompt(ActiveCall &call, ServiceState &service, base::TimePoint now);
    std::optional<Placement> place(ActiveCall &call, ServiceState &service, base::TimePoint now);
    std::optional<Placement> placePlain(const ActiveCall &call, ServiceState &service,
                                        base::TimePoint now);
    std::optional<Placement> placePrompt(ActiveCall &call, ServiceState &service,
                                         base::TimePoint now);
    std::optional<Placement> placeShortPrompt(const ActiveCall &call, ServiceState &service,
                                              const std::vector<UpstreamState *> &all,
                                              base::TimePoint now);
    std::optional<Placement> placeLongPrompt(const ActiveCall &call, ServiceState &service,
                                             const std::vector<UpstreamState *> &all,
                                             base::TimePoint now);
    /// Engines in groups, within each of which short prompts are kept together.
    std::vector<std::vector<UpstreamState *>> engineGroups(
            const std::vector<UpstreamState *> &all) const;
    /// Engines that short prompts keep to, with room for some more of them.
    std::vector<UpstreamState *> enginesKeptForShort(const std::vector<UpstreamState *> &all) const;
    /// How many of \a all, from the last one back, short prompts keep to when \a more come.
    static std::size_t shortEngineCount(const std::vector<UpstreamState *> &all, double more,
                                        bool isLongAbout);
    /// How many of \a all, from the last one back, read another \a readMs in time; \a least or
    /// more.
    static std::size_t prefillEngineCount(const std::vector<UpstreamState *> &all,
                                          std::size_t least, double readMs, base::TimePoint now);
    UpstreamState *leastLoaded(const std::vector<UpstreamState *> &from, const ActiveCall &call,
                               int slots, base::TimePoint now);
    static bool isUnservable(const ActiveCall &call, const ServiceState &service);
    std::vector<UpstreamState *> helperCandidates(const ActiveCall &call,
                                                  const std::vector<UpstreamState *> &from,
                                                  const UpstreamState *first, base::TimePoint now);
    /// As many helpers as make the parts small enough for those who write in \a pool.
    void addMinimalHelpers(const ActiveCall &call, const std::vector<UpstreamState *> &pool,
                           double gap, Placement &choice, base::TimePoint now);
    /// All engines that are not busy for longer than the others.
    void addSpreadHelpers(const ActiveCall &call, const std::vector<UpstreamState *> &all,
                          Placement &choice, base::TimePoint now);
    LongPrefillPlan planLongPrefill(const ActiveCall &call, const ServiceParameters &facts,
                                    const std::vector<UpstreamState *> &all,
                                    base::TimePoint now) const;
    /// Whether engines that promise more are expected soon enough.
    static bool isBetterToWait(const ActiveCall &call, const LongPrefillPlan &readers,
                               base::TimePoint now);
    /// Chooses the engine that holds a prompt; false without room.
    bool selectPrimaryByMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                               const std::vector<UpstreamState *> &readers, Placement &choice,
                               base::TimePoint now);
    /// Divides the memory of a prompt between the first engine and helpers; false without room.
    static bool splitMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                            const std::vector<UpstreamState *> &readers, Placement &choice);
    /// Upstreams that may get new calls; excluded ones only when there are no others.
    std::vector<UpstreamState *> usableUpstreams(const ServiceState &service,
                                                 base::TimePoint now) const;
    void rebuildServiceUpstreams();
    /// Notes the calls that are still at an upstream which was gone for a while.
    void restoreLoad(UpstreamState &state, base::TimePoint now);
    void applyPeerLoads(base::TimePoint now);
    /// Whether some other entry hosts do not tell their load themselves.
    bool arePeersMissing() const;

    // Attempts.
    void sendAttempt(ActiveCall &call, const Placement &choice, base::TimePoint now);
    void releaseAttempt(ActiveCall &call, base::TimePoint now);
    void releaseMemory(ActiveCall &call);
    /// Its prompt was read, or will not be.
    void endPrefill(ActiveCall &call, base::TimePoint now);
    void handleStall(ActiveCall &call, base::TimePoint now);
    void recordFault(const ActiveCall &call, AttemptFault fault,
                     const std::optional<base::Endpoint> &culprit, base::TimePoint now);
    bool acquireRetry(ActiveCall &call, AttemptFault fault, base::TimePoint now);
    /// Of the upstreams of a service but one.
    double meanFailureRate(const UpstreamState &but);
    void recordConnectFailure(const fleet::Upstream &upstream, base::TimePoint now);
    void eject(UpstreamState &state, base::TimePoint now);
    base::Millis firstEventTimeout(const ActiveCall &call) const;
    base::Millis gapTimeout(const ActiveCall &call) const;
    /// Lets the call wait for room, from now on.
    void enqueue(ActiveCall &call, base::TimePoint now);
    void requestPermit(ActiveCall &call, base::TimePoint now);
    void releasePermit(ActiveCall &call);
    void rejectOrFail(ActiveCall &call, FailureReason reason, base::TimePoint now);
    base::Millis drawRetryAfter(const ActiveCall &call, base::TimePoint now);
    base::TimePoint queueDeadline(const ActiveCall &call) const;
    void removeCall(CallId id);
    ActiveCall *findCall(CallId id);
    UpstreamState *findUpstream(const base::UpstreamId &id);

    DispatcherOptions m_options;
    base::Rng m_rng;
    std::map<base::UpstreamId, std::unique_ptr<UpstreamState>> m_upstreams;
    std::map<base::ServiceId, ServiceState> m_services;
    std::map<CallId, ActiveCall> m_calls;
    std::map<std::pair<int, CallId>, CallId> m_queue; ///< By priority, then by arrival.
    Reachability m_reachability;
    PeerLoads m_peerLoads;
    std::set<base::UpstreamId>
            m_changedUpstreams; ///< Own load there changed since it was last told.
    int m_entryHostCount = 0;
    Actions m_actions;
};

} // namespace hyssop::dispatch
