#pragma once

#include "AnsweredContent.h"
#include "EngineModel.h"
#include "HostCount.h"
#include "LinkMonitor.h"
#include "LostAttempts.h"
#include "PeerLoads.h"
#include "Reachability.h"
#include "RelayPeers.h"
#include "ReportedContent.h"
#include "RetryBudget.h"
#include "SendGate.h"
#include "UpstreamState.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace hyssop::dispatch {

/// Whether a prompt can share engines with requests that decode.
enum class PromptClass {
    Short, ///< Its parts fit between the output tokens of other requests.
    Long, ///< It needs engines with few other requests.
};

/// Progress of a call in the dispatcher.
enum class CallStage {
    Queued,
    Reserving, ///< Its KV memory is being reserved.
    Sent,
};

/// Up to this many entry hosts all send each other their load directly. If there are more, only
/// those of the same data centre do, and they use its engines for prompts.
inline constexpr int kMaxMeshEntryHosts = 31;

/// State of the permit to prefill a long prompt.
enum class PermitState { None, Requested, Held };

/// State of the trial that a call with suspect content needs.
enum class TrialState { None, Requested, Granted };

/// An attempt at an upstream or a relay to another entry host, and the load that it adds there.
struct Attempt
{
    base::UpstreamId upstream; ///< Primary engine or plain upstream; empty for a relay.
    base::Incarnation upstreamIncarnation; ///< Start of the upstream that it was sent to.
    std::optional<base::Endpoint> relay; ///< Entry host that it was relayed to.
    int relayedAttempts = 0; ///< Attempts that the host it was relayed to may make.
    base::Tokens primaryKvTokens; ///< Part of the prompt's KV memory on the primary engine.
    std::vector<base::UpstreamId> prefillEngines; ///< Engines that prefill one part each.
    std::vector<std::pair<base::UpstreamId, base::Tokens>> reservations; ///< KV memory at helpers.
    std::int64_t partPrefillMs = 0; ///< Prefill time of one part; 0 once the prefill ended.
    base::Millis expectedFirstEvent{0}; ///< Expected time to the first event when it was sent.
    base::TimePoint sentAt;
    base::TimePoint firstEventAt{};
    bool isPaused = false; ///< Its caller is slow; its upstream is not judged by its silence.
    bool isProven = false; ///< The content of the call is noted as answered in it.
    bool isStallRecorded = false; ///< Its silence counts as a fault of its upstream already.
};

/// A call that has not ended.
struct ActiveCall
{
    CallInfo info;
    CallStage stage = CallStage::Queued;
    PromptClass promptClass = PromptClass::Short;
    PermitState permit = PermitState::None;
    base::TimePoint permitExpiresAt; ///< While it is held. Others may get the engines then.
    TrialState trial = TrialState::None;
    QueueBlocker blocker = QueueBlocker::None;
    bool isOversized = false; ///< Exceeds the memory of one engine.
    bool mayNeedPermit = false; ///< It is long, or may become so while few engines are free.
    bool isPrefillReported = true; ///< Whether it was prefilled since it was queued last.
    bool usesLocalEngines = false; ///< Its permit is for engines of this data centre.
    double prefillMs = 0;
    base::Tokens kvTokens;
    Attempt current; ///< While reserving or sent.
    /// Attempt that stalled. It stays open until the one after it answers, since its upstream may
    /// go on.
    std::optional<Attempt> stalled;
    std::optional<SendAttempt> pendingAttempt; ///< Sent once the memory is reserved.
    base::TimePoint lastProgressAt{}; ///< Last event of any attempt.
    base::Millis statedRetryAfter{
            0}; ///< Of a rejection for want of a trial, or by the host it was relayed to.
    std::vector<base::Endpoint> triedRelays;
    std::vector<base::UpstreamId> triedUpstreams;
    int attempts = 0;
    int unsentAttempts = 0; ///< Attempts that reached no upstream.
    /// When it was counted in the retry budget, which is at the host that sends it to upstreams.
    std::optional<base::TimePoint> countedAt;
    bool isCountedElsewhere = false; ///< At a host that it was relayed to.
    bool mayHaveRun = false;
    bool hasForwardedEvents = false; ///< The caller has some events of the answer.
    /// The next attempt takes a retry from the budget when it is sent, because of this.
    std::optional<AttemptFault> pendingRetry;
    bool awaitsLinkCheck = false; ///< It is queued until the links were checked.
    base::TimePoint queuedAt;
    base::TimePoint progressDeadline; ///< End of the stall or reservation timeout.
};

/// A stream that goes on for this long after its first event did not crash its upstream. Content
/// that crashes it does so in the first pass that writes.
constexpr base::Millis kProofTime{500};

/// What this host knows of suspect content.
struct Suspect
{
    fleet::CrashSuspect fact; ///< As received, with times at that moment.
    base::TimePoint firstCrashAt;
    base::TimePoint nextTrialAt;
};

/// Requests for grants for the waiting calls of one priority.
struct SendGrantQueue
{
    bool isPending = false; ///< A request has not been answered yet.
    base::TimePoint deniedUntil{}; ///< No further request is made until then.
    base::Millis retryAfter{0}; ///< Time until a grant is likely, when the last one was denied.
};

/// A service and its upstreams.
struct ServiceState
{
    ServiceParameters parameters;
    base::TimePoint longExpectedUntil{}; ///< Engines are kept free for long prompts until then.
    std::unique_ptr<RetryBudget> retryBudget;
    std::vector<UpstreamState *> upstreams; ///< In the same order on every host.
    /// A request for grants that no call waits for has not been answered yet.
    bool isPrefetchPending = false;
    base::TimePoint nextPrefetchAt{};
    std::map<int, SendGrantQueue> sendGrantQueues; ///< By priority.
    LinkMonitor links;
    base::TimePoint relaysPausedUntil{}; ///< Other hosts do not reach its upstreams either.
    /// Starts of upstreams that refused a connection while the links were lost or being checked.
    std::vector<LostAttempts::Start> refusedWithoutLinks;
};

/// The upstream and helpers chosen for a call.
struct Placement
{
    UpstreamState *primary = nullptr;
    std::vector<UpstreamState *> helpers;
    std::map<UpstreamState *, base::Tokens> helperKvTokens; ///< KV memory to reserve at helpers.
    base::Tokens primaryKvTokens; ///< Share of the primary engine when helpers hold the rest.
    double expectedFirstEventMs = 0; ///< From now on.
};

/// The set of engines with the highest net value for the prefill of a long prompt now.
struct LongPrefillPlan
{
    std::vector<UpstreamState *> engines;
    double answerValue = 0; ///< Value of an answer in time; 1 for the shortest prompt.
    double netValue = 0; ///< Expected value less the loss of other requests by the prefill.
    double idleNetValue = 0; ///< Expected value if all engines were idle now.
    double expectedFirstEventMs = 0; ///< From now on.
    bool isInTime = false; ///< The first event is expected within the objective.
};

/// Time that a relayed call may be queued at the other entry host, beside its stall timeouts.
constexpr base::Millis kRelayQueueTime{1'500};
/// Limit of engines on the helpers that one request names.
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
    void handle(const BackOffStated &event, base::TimePoint now);
    void handle(const RateLimitStated &event, base::TimePoint now);
    void handle(const RateLimitsReceived &event, base::TimePoint now);
    void handle(const OrderSent &event, base::TimePoint now);
    void handle(const SendGrantReceived &event, base::TimePoint now);
    void handle(const UpstreamProbed &event, base::TimePoint now);
    void handle(const CrashSuspectsReceived &event, base::TimePoint now);
    void handle(const TrialDecided &event, base::TimePoint now);
    void handle(const PeerLoadReceived &event, base::TimePoint now);
    fleet::LoadUpdate takeLoadUpdate(bool isSnapshot);
    void handle(const PeerLoadSumReceived &event, base::TimePoint now);
    void handle(const RelayPeersChanged &event, base::TimePoint now);
    void handle(const RelayRejected &event, base::TimePoint now);
    void handle(const LinkProbed &event, base::TimePoint now);
    void handle(const EvacuationsChanged &event, base::TimePoint now);
    void handle(const PermitGranted &event, base::TimePoint now);
    void handle(const PermitDenied &event, base::TimePoint now);
    void handle(const ReservationDone &event, base::TimePoint now);
    void handle(const AnswerProgressed &event, base::TimePoint now);
    void handle(const AnswerPaused &event, base::TimePoint now);
    void handle(const AttemptSucceeded &event, base::TimePoint now);
    void handle(const AttemptFailed &event, base::TimePoint now);
    void handle(const StalledAttemptProgressed &event, base::TimePoint now);
    void handle(const StalledAttemptFailed &event, base::TimePoint now);
    void tick(base::TimePoint now);
    base::TimePoint nextTick() const;
    DispatcherStats stats(base::TimePoint now) const;
    fleet::LoadReport ownLoad() const;
    std::vector<fleet::CrashSuspect> crashSuspects(base::TimePoint now) const;

    Actions takeActions() { return std::exchange(m_actions, {}); }
    /// Sends queued calls for which there is capacity now.
    void dispatchQueued(base::TimePoint now);
    /// Assigns the upstreams to their services again if any were added or removed.
    void updateServices();

private:
    // Placement.
    ServiceState &serviceOf(const base::ServiceId &id);
    static void classifyPrompt(ActiveCall &call, ServiceState &service, base::TimePoint now);
    std::optional<Placement> place(ActiveCall &call, ServiceState &service, base::TimePoint now);
    std::optional<Placement> placePlain(ActiveCall &call, ServiceState &service,
                                        base::TimePoint now);
    std::optional<Placement> placePrompt(ActiveCall &call, ServiceState &service,
                                         base::TimePoint now);
    std::optional<Placement> placeShortPrompt(ActiveCall &call, ServiceState &service,
                                              const std::vector<UpstreamState *> &engines,
                                              base::TimePoint now);
    std::optional<Placement> placeLongPrompt(ActiveCall &call, ServiceState &service,
                                             const std::vector<UpstreamState *> &engines,
                                             base::TimePoint now);
    /// Groups of engines within each of which short prompts are packed.
    std::vector<std::vector<UpstreamState *>> engineGroups(
            const std::vector<UpstreamState *> &engines) const;
    /// Engines of this data centre, if a long prompt is to use only these; else none.
    std::vector<UpstreamState *> localLongEngines(const ActiveCall &call,
                                                  const ServiceState &service,
                                                  base::TimePoint now) const;
    /// Engines that serve short prompts, with headroom for some more.
    std::vector<UpstreamState *> enginesKeptForShort(
            const fleet::EngineSpec &spec, const std::vector<UpstreamState *> &engines) const;
    /// Number of engines at the end of \a engines that short prompts occupy with \a extraRequests
    /// more of them.
    static std::size_t shortEngineCount(const fleet::EngineSpec &spec,
                                        const std::vector<UpstreamState *> &engines,
                                        double extraRequests, bool isLongExpected);
    /// Number of engines at the end of \a engines, at least \a minCount, that can prefill another
    /// \a prefillMs in time.
    static std::size_t prefillEngineCount(const std::vector<UpstreamState *> &engines,
                                          std::size_t minCount, double prefillMs,
                                          base::TimePoint now);
    UpstreamState *leastLoaded(const std::vector<UpstreamState *> &candidates,
                               const ActiveCall &call, int maxRequests, base::TimePoint now);
    /// Whether all engines together cannot hold the prompt or prefill it in time.
    bool isUnservable(const ActiveCall &call, const ServiceState &service,
                      base::TimePoint now) const;
    std::vector<UpstreamState *> helperCandidates(const ActiveCall &call,
                                                  const std::vector<UpstreamState *> &engines,
                                                  const UpstreamState *primary,
                                                  base::TimePoint now);
    /// Adds as few helpers as make each part short enough for the requests that decode in \a pool.
    void addMinimalHelpers(const ActiveCall &call, const std::vector<UpstreamState *> &pool,
                           double gapMs, Placement &placement, base::TimePoint now);
    /// Adds all engines except those whose prefill backlog is longer than the rest.
    void addSpreadHelpers(const ActiveCall &call, const std::vector<UpstreamState *> &engines,
                          Placement &placement, base::TimePoint now);
    LongPrefillPlan planLongPrefill(const ActiveCall &call, const ServiceParameters &parameters,
                                    const std::vector<UpstreamState *> &engines,
                                    base::TimePoint now) const;
    /// Whether a better set of engines is likely to become free soon enough.
    static bool isBetterToWait(const ActiveCall &call, const LongPrefillPlan &plan,
                               base::TimePoint now);
    /// Selects the engine that holds the KV cache of a prompt. Returns false if none has enough
    /// memory.
    bool selectPrimaryByMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                               const std::vector<UpstreamState *> &prefillEngines,
                               Placement &placement, base::TimePoint now);
    /// Splits the KV cache of a prompt between the primary engine and helpers. Returns false if
    /// they have too little memory.
    static bool splitMemory(const ActiveCall &call, const fleet::EngineSpec &spec,
                            const std::vector<UpstreamState *> &prefillEngines,
                            Placement &placement, base::TimePoint now);
    // Gate.
    static SendScope scopeOf(const ActiveCall &call) { return {&call.info.allowedRegions}; }
    /// Number of upstreams of a service outside the evacuated data centres.
    std::size_t availableUpstreams(const ServiceState &service) const;
    /// Upstreams that may get \a call, or ejected and unreachable ones if there are no others.
    std::vector<UpstreamState *> usableUpstreams(const ActiveCall &call,
                                                 const ServiceState &service,
                                                 base::TimePoint now) const;
    /// What the gate lets a queued call wait for.
    QueueBlocker gateBlocker(const ActiveCall &call, const ServiceState &service,
                             base::TimePoint now) const;
    /// Rejects a queued call that the gate keeps from all upstreams for too long.
    void rejectIfRefused(ActiveCall &call, const ServiceState &service, base::TimePoint now);
    /// Whether an attempt whose memory is reserved may still be sent.
    bool maySendReserved(const ActiveCall &call, base::TimePoint now);
    /// Time until the gate lets a call pass, as far as it is known; 0 when it does not hold it
    /// back.
    base::Millis gateDelay(const ActiveCall &call, base::TimePoint now) const;
    // Lost links and relays.
    /// Records that the current attempt of a call, at \a upstream, got no answer.
    void recordLinkFailure(const ActiveCall &call, const UpstreamState &upstream,
                           AttemptFault fault, base::TimePoint now);
    /// Records that the current attempt of a call got an answer or a part of one.
    void recordLinkAnswer(const ActiveCall &call, base::TimePoint now);
    /// Uses all upstreams of a service again.
    void restoreLinks(const base::ServiceId &id, ServiceState &service);
    /// Begins the probes that are due, and ends checks of links.
    void probeLinks(base::TimePoint now);
    void probeLink(ServiceState &service, base::TimePoint now);
    /// Checks the links of a service if there is another way to its upstreams. Returns whether they
    /// are being checked then.
    bool checkLinks(const base::ServiceId &id, ServiceState &service, LinkDoubt doubt,
                    base::TimePoint now);
    void reportLostLinks(const base::ServiceId &id, ServiceState &service, base::TimePoint now);
    /// Checks the links of all services but one.
    void doubtOtherServices(const base::ServiceId &id, base::TimePoint now);
    /// Probes upstreams again that refused connections while the links were in doubt.
    void reprobeRefused(ServiceState &service, base::TimePoint now);
    /// When the silence of the current attempt raises a doubt; TimePoint::max() when it cannot.
    base::TimePoint doubtAt(const ActiveCall &call) const;
    /// Time without a sign of the current attempt that raises a doubt about the links.
    static base::Millis silenceLimit(const ActiveCall &call);
    /// Whether a failure of the next attempt could not be made up for.
    static bool isLastChance(const ActiveCall &call);
    /// Whether so many other hosts declined this call or one before it that none is asked now.
    static bool areRelaysDeclined(const ActiveCall &call, const ServiceState &service,
                                  base::TimePoint now);
    /// Whether a call is not to be sent over links of this host that may be lost.
    static bool needsSoundLinks(const ActiveCall &call);
    /// Whether a queued call has to wait until it is known that the links are sound.
    bool mustAwaitLinkCheck(const ActiveCall &call, ServiceState &service, base::TimePoint now);
    /// Ends a queued call that this host cannot send and other hosts declined, or that another host
    /// relayed. Returns whether it did.
    bool rejectIfCutOff(ActiveCall &call, const ServiceState &service, base::TimePoint now);
    /// Relays a call that reaches no upstream from here. Returns false if it cannot be relayed or
    /// need not be.
    bool relayIfCutOff(ActiveCall &call, ServiceState &service, base::TimePoint now);
    void sendRelay(ActiveCall &call, const base::Endpoint &peer, RelayReason reason,
                   base::TimePoint now);
    void handleRelayFailure(ActiveCall &call, AttemptFault fault, base::TimePoint now);
    // Back off.
    /// An upstream that was removed and is back still wants no requests.
    void restoreBackOff(UpstreamState &state, base::TimePoint now);
    // Rate limits.
    /// Upstreams of \a candidates that only their rate limit keeps from getting \a call now.
    static std::vector<UpstreamState *> rateLimitedCandidates(
            const ActiveCall &call, const std::vector<UpstreamState *> &candidates, int maxRequests,
            base::TimePoint now);
    /// Notes that \a call waits for \a candidates if there are any.
    void noteRateLimited(ActiveCall &call, const std::vector<UpstreamState *> &candidates,
                         int maxRequests, base::TimePoint now);
    /// Requests a grant for a queued call that rate limits hold back, or rejects it when none is
    /// likely in time.
    void waitForSendGrant(ActiveCall &call, ServiceState &service, base::TimePoint now);
    /// Requests grants for calls to come, so that limited upstreams are not left idle.
    void prefetchSendGrant(ServiceState &service, base::TimePoint now);
    /// Takes the grant that this host may give itself while no control host decides.
    bool takeLocalShare(const ServiceState &service, base::TimePoint now);
    static std::vector<fleet::RateLimitReport> limitReports(
            const std::vector<UpstreamState *> &upstreams, base::TimePoint now);
    void updateRateLimit(UpstreamState &state, const fleet::RateLimitStatement &statement,
                         RateLimitSource source, base::TimePoint now);
    // Crashes.
    /// Notes an attempt that ended without an answer, and probes its upstream. \a trial is set if
    /// the attempt was one. Returns false if its end says nothing about the call.
    bool recordLostAttempt(const CallInfo &call, const Attempt &attempt,
                           std::optional<CallId> trial, base::TimePoint now);
    /// Reports the calls that a start of an upstream lost with its crash.
    void reportCrash(const LostAttempts::Start &start, CrashSource source, base::TimePoint now);
    /// Reports crashes that a new start of an upstream shows.
    void reportCrashesBefore(const fleet::Upstream &upstream, base::TimePoint now);
    /// Notes that the content of a call crashes no upstream.
    void recordAnswered(ActiveCall &call, base::TimePoint now);
    std::vector<fleet::Fingerprint> suspectsIn(const ActiveCall &call) const;
    /// Whether a queued call may be sent as far as its content is concerned. Requests a trial if it
    /// needs one, and ends the call if there is none in time.
    bool mayRun(ActiveCall &call, base::TimePoint now);
    void endTrial(ActiveCall &call);
    /// Rejects a call, or fails it if it may have run, since it gets no trial until \a retryAfter.
    void holdBack(ActiveCall &call, base::Millis retryAfter, base::TimePoint now);
    void removeSuspect(fleet::Fingerprint fingerprint);
    static fleet::CrashSuspect toFact(const Suspect &suspect, base::TimePoint now);

    /// Adds the calls that are still outstanding at an upstream that was removed and is back.
    void restoreLoad(UpstreamState &state, base::TimePoint now);
    /// Updates what other hosts have outstanding at \a upstreams.
    void applyPeerLoads(const std::set<base::UpstreamId> &upstreams, base::TimePoint now);
    void setDistantLoads(const fleet::LoadReport &load, bool includesPeers, base::TimePoint now);
    fleet::UpstreamLoad peerLoadAt(const base::UpstreamId &upstream) const;

    // Attempts.
    void sendAttempt(ActiveCall &call, const Placement &placement, base::TimePoint now);
    /// Removes the load of the current attempt and puts the call back into stage Queued.
    void releaseAttempt(ActiveCall &call, base::TimePoint now);
    /// Removes the load of an attempt.
    void releaseLoad(Attempt &attempt, PromptClass promptClass, base::TimePoint now);
    /// Removes the load of the prefill of an attempt.
    void releasePrefill(Attempt &attempt, base::TimePoint now);
    /// Updates the load after the prefill has ended or was given up, and returns the permit.
    void endPrefill(ActiveCall &call, bool isPrefilled, base::TimePoint now);
    void handleStall(ActiveCall &call, base::TimePoint now);
    /// Makes the stalled attempt the current one again, in place of what came after it.
    void reinstateStalledAttempt(ActiveCall &call, base::TimePoint now);
    void cancelStalledAttempt(ActiveCall &call, base::TimePoint now);
    /// Whether the current attempt has made no progress for too long.
    bool isStalled(const ActiveCall &call, base::TimePoint now) const;
    void recordFault(const ActiveCall &call, AttemptFault fault,
                     const std::optional<base::Endpoint> &faultyUpstream, base::TimePoint now);
    /// Takes the retry that a call needs before its next attempt is sent. If there is none left,
    /// ends it or goes on with its stalled attempt, and returns false.
    bool acquirePendingRetry(ActiveCall &call, base::TimePoint now);
    /// Whether the call may be retried. Takes the retry from the budget of its service, or leaves
    /// that for later while the links are being checked.
    bool acquireRetry(ActiveCall &call, AttemptFault fault, base::TimePoint now);
    /// Queues a call for its next attempt.
    void scheduleRetry(ActiveCall &call, AttemptFault fault, base::TimePoint now);
    /// Takes a retry from the budget of the call's service, or reports that there is none left.
    bool takeRetry(const ActiveCall &call, AttemptFault fault, base::TimePoint now);
    /// Mean over all upstreams of the service except \a excluded.
    double meanFailureRate(const UpstreamState &excluded);
    void recordConnectFailure(const fleet::Upstream &upstream, base::TimePoint now);
    void eject(UpstreamState &state, base::TimePoint now);
    base::Millis firstEventTimeout(const ActiveCall &call) const;
    base::Millis gapTimeout(const ActiveCall &call) const;
    /// Whether an upstream that the call was not sent to has room for it.
    bool hasRoomElsewhere(const ActiveCall &call, base::TimePoint now);
    /// Queues the call from \a now on.
    void enqueue(ActiveCall &call, base::TimePoint now);
    /// Asks for a permit if the prompt is long and none is held or asked for.
    void requestPermit(ActiveCall &call, base::TimePoint now);
    void releasePermit(ActiveCall &call, bool isPrefilled);
    /// Returns the permit, or ends the wait for one, without a report on the prefill.
    void withdrawPermit(ActiveCall &call);
    /// Goes on with the stalled attempt if there is one. Else ends the call with RejectCall if it
    /// cannot have run, otherwise with FailCall.
    void rejectOrFail(ActiveCall &call, FailureReason reason, base::TimePoint now);
    /// Ends the call with the upstream's error unless it can still be answered or has begun to be.
    void forwardOrFail(ActiveCall &call, base::TimePoint now);
    /// Random time after which the caller may try again.
    base::Millis drawRetryAfter(const ActiveCall &call, base::TimePoint now);
    /// Time until a rate limit is likely to admit \a call; 0 when none holds it back.
    base::Millis rateLimitDelay(const ActiveCall &call) const;
    base::TimePoint queueDeadline(const ActiveCall &call) const;
    /// Whether two long prompts can be prefilled on engines of their own.
    bool hasEnginesForTwo(const ActiveCall &call) const;
    void removeCall(CallId id, base::TimePoint now);
    ActiveCall *findCall(CallId id);
    UpstreamState *findUpstream(const base::UpstreamId &id);

    DispatcherOptions m_options;
    base::Rng m_rng;
    std::map<base::UpstreamId, std::unique_ptr<UpstreamState>> m_upstreams;
    std::map<base::ServiceId, ServiceState> m_services;
    bool m_areServicesOutdated = false; ///< Their upstreams may no longer exist.
    std::map<CallId, ActiveCall> m_calls;
    std::map<std::pair<int, CallId>, CallId> m_queue; ///< Ordered by priority, then by arrival.
    Reachability m_reachability;
    fleet::Evacuations m_evacuations;
    SendGate m_gate;
    RelayPeers m_relayPeers;
    base::TimePoint m_heardAt{}; ///< When an upstream of any service sent something last.
    PeerLoads m_peerLoads;
    std::map<base::UpstreamId, fleet::UpstreamLoad> m_distantLoads; ///< Of hosts that are no peers.
    bool m_distantLoadsIncludePeers = false;
    base::TimePoint m_distantLoadsAt{};
    std::set<base::UpstreamId> m_changedUpstreams; ///< Since the last takeLoadUpdate().
    int m_entryHostCount = 0; ///< As reported last; 0 when unknown.
    HostCount m_sharingHosts;
    ColdShares m_coldShares;
    /// Starts of upstreams that want no requests, and until when.
    std::map<base::UpstreamId, std::pair<base::Incarnation, base::TimePoint>> m_backOffs;
    AnsweredContent m_answeredContent;
    ReportedContent m_reportedContent;
    LostAttempts m_lostAttempts;
    std::map<fleet::Fingerprint, Suspect> m_suspects;
    std::vector<UpstreamState *> m_rateLimitedCandidates; ///< Of the call that is being placed.
    Actions m_actions;
};

} // namespace hyssop::dispatch
