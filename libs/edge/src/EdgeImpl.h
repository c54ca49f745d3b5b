#pragma once

#include "edge/Edge.h"

#include "Answers.h"
#include "EventSplitter.h"
#include "FleetWatcher.h"
#include "Freshness.h"
#include "KnownEvacuations.h"
#include "LoadChannel.h"
#include "StartSteps.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace hyssop::edge {

/// Memory reserved at an engine for a call.
struct Reservation
{
    std::string id;
    fleet::Upstream upstream;
    base::Tokens kvTokens;
    bool isHeld = false;
};

/// A pending request to reserve or release memory.
struct PendingReservationRequest
{
    dispatch::CallId call; ///< 0 when the answer is ignored.
    base::UpstreamId upstream;
    base::Incarnation incarnation; ///< Of the upstream.
    std::string reservationId;
};

/// Removes what only requests between entry hosts carry.
void removeRelayFields(gateway::Fields &fields);

/// Pool of the connections for reservation requests to an upstream. These have no id, so that an
/// additional response to a call on the same connection could be taken for theirs.
base::UpstreamId reservationPool(const base::UpstreamId &upstream);

/// Hashes of content for logs.
std::string contentText(const std::vector<fleet::Fingerprint> &fingerprints);

/// An attempt at an upstream, or at another entry host that the call was relayed to.
struct EdgeAttempt
{
    gateway::CallId id; ///< 0 when it has ended or none was made.
    base::UpstreamId upstream;
    base::Incarnation upstreamIncarnation;
    bool isRelayed = false; ///< It is at another entry host.
    int number = 0; ///< Of the attempts of its call, from 1.
    gateway::ResponseHead answerHead;
    ResponseMetadata answerMetadata;
    std::string answerBody; ///< Answer that is buffered whole.
    EventSplitter eventSplitter;
    std::size_t streamedBytes = 0; ///< Received of a streamed answer.
    bool isPaused = false;
    std::vector<Reservation> reservations;
};

/// A caller's request that has not ended.
struct EdgeCall
{
    dispatch::CallId id;
    std::shared_ptr<gateway::Exchange> exchange;
    std::shared_ptr<const std::string> body;
    CallMetadata requestMetadata;
    base::TeamId team;
    std::string route;
    base::ServiceId service;
    bool isStream = false;
    std::optional<RelayTerms> relayTerms; ///< Set when another entry host relayed it here.
    std::vector<fleet::Fingerprint> fingerprints; ///< Of what other requests may have in common.
    fleet::ConfigurationVersion configurationVersion; ///< Configuration that it was admitted under.
    base::Millis confirmationAge{0}; ///< Of that configuration, when the call was admitted.
    int attemptCount = 0;
    dispatch::QueueBlocker blocker = dispatch::QueueBlocker::None; ///< When it was rejected.
    base::TimePoint firstEventAt{};
    base::TimePoint lastEventAt{};
    base::TimePoint::duration longestGap{}; ///< Longest time between two events.
    EdgeAttempt current;
    std::optional<EdgeAttempt> stalled; ///< See dispatch::KeepStalledAttempt.

    /// Whether \a attempt, one of this call, has stalled and was followed by another one.
    bool isStalled(const EdgeAttempt &attempt) const { return stalled && &attempt == &*stalled; }
    /// Whether the answer of \a attempt is forwarded event by event.
    bool isEventStream(const EdgeAttempt &attempt) const
    {
        return isStream && attempt.answerHead.status == 200;
    }
};

class Edge::Impl final : public gateway::CallerHandler, public gateway::ResponseHandler
{
public:
    Impl(EdgeOptions options, boost::asio::io_context *io, const Protocol *protocol,
         const fleet::ConfigurationReader *reader, process::Metrics *metrics);

    tl::expected<void, EdgeError> open();
    bool isReady() const;
    void setControlHosts(const std::vector<base::Endpoint> &controlHosts);
    void drain(std::function<void()> done);
    void updateGauges();

private:
    // Callers.
    bool wantsBody(const gateway::RequestHead &head) override;
    base::Millis bodyTimeout(const gateway::RequestHead &head, base::Millis usual) override;
    void onRequest(const std::shared_ptr<gateway::Exchange> &exchange) override;
    void onCallerDisconnected(gateway::Exchange &exchange) override;
    void onDrained(gateway::Exchange &exchange) override;
    void onRejected(int status, std::string_view reason) override;
    /// Admits a request, or returns the status and reason of its refusal.
    struct Refusal
    {
        int status;
        std::string_view reason;
    };
    /// What the head alone decides about a request. The pointers are set if it is admitted.
    struct Admission
    {
        std::optional<Refusal> refusal;
        const fleet::Route *route = nullptr;
        const fleet::Team *team = nullptr;
    };
    Admission checkHead(const gateway::RequestHead &head, const CallMetadata &metadata,
                        base::TimePoint now) const;
    /// \a relayTerms is set for calls that another entry host relayed.
    std::optional<Refusal> admit(const std::shared_ptr<gateway::Exchange> &exchange,
                                 CallMetadata metadata, std::optional<RelayTerms> relayTerms,
                                 base::TimePoint now);
    void refuse(gateway::Exchange &exchange, const base::RequestId &id, const Refusal &refusal,
                bool isTakenOver, base::TimePoint now);

    /// Whether a call may be at this host that another host relayed to it.
    bool mayRunHere(const fleet::RegionSet &allowedRegions) const;

    // Relays between entry hosts.
    /// Receives the calls that other entry hosts relay to this one.
    class RelayHandler final : public gateway::CallerHandler
    {
    public:
        explicit RelayHandler(Impl *impl)
            : m_impl(impl)
        { }
        bool wantsBody(const gateway::RequestHead &head) override
        {
            return m_impl->wantsBody(head);
        }
        base::Millis bodyTimeout(const gateway::RequestHead &head, base::Millis usual) override
        {
            return m_impl->bodyTimeout(head, usual);
        }
        void onRequest(const std::shared_ptr<gateway::Exchange> &exchange) override
        {
            m_impl->takeOver(exchange);
        }
        void onCallerDisconnected(gateway::Exchange &exchange) override
        {
            m_impl->onCallerDisconnected(exchange);
        }
        void onDrained(gateway::Exchange &exchange) override { m_impl->onDrained(exchange); }
        void onRejected(int status, std::string_view reason) override
        {
            m_impl->onRejected(status, reason);
        }

    private:
        Impl *m_impl;
    };
    void setRelayPeers(const fleet::WatchReply &reply, base::TimePoint now);
    void takeOver(const std::shared_ptr<gateway::Exchange> &exchange);
    /// Begins an attempt with a request that is already addressed.
    void startAttempt(EdgeCall &call, gateway::Call request);
    void onRelayHead(EdgeCall &call, EdgeAttempt &attempt, base::TimePoint now);
    void executeAction(const dispatch::RelayCall &action, base::TimePoint now);
    void executeAction(const dispatch::ProbeLink &action, base::TimePoint now);
    /// Returns whether the request was a probe of links.
    bool endLinkProbe(gateway::CallId id, bool isAnswered);
    void executeAction(const dispatch::LinksChanged &action, base::TimePoint now);
    void executeAction(const dispatch::LinksDoubted &action, base::TimePoint now);
    void executeAction(const dispatch::LinkFailed &action, base::TimePoint now);
    void executeAction(const dispatch::RetryDenied &action, base::TimePoint now);

    // Upstreams.
    void onHead(gateway::CallId id, const gateway::ResponseHead &head) override;
    void onBody(gateway::CallId id, std::string_view data) override;
    /// Applies what an answer of a start of an upstream says of that upstream itself.
    void applyStatements(const base::UpstreamId &upstream, base::Incarnation incarnation,
                         const ResponseMetadata &metadata, base::TimePoint now);
    /// Applies the rate limit that the answer of the current attempt states.
    void applyRateLimit(EdgeCall &call, base::TimePoint now);
    void onEnd(gateway::CallId id) override;
    void onFailed(gateway::CallId id, const gateway::CallError &error) override;
    /// Takes received bytes of an event stream and forwards the events that they complete.
    void receiveEvents(EdgeCall &call, EdgeAttempt &attempt, std::string_view data,
                       base::TimePoint now);
    void forwardEvents(EdgeCall &call, std::string_view events, base::TimePoint now);
    /// Makes the stalled attempt, which goes on, the current one.
    void reinstateStalledAttempt(EdgeCall &call, base::TimePoint now);
    /// Answers the caller with the complete answer of the current attempt. Returns the status.
    int respondWithAnswer(EdgeCall &call);
    /// Fields of an answer for the caller, without what only entry hosts tell each other.
    gateway::Fields forwardedFields(const gateway::ResponseHead &head) const;
    /// Ends the call with the complete answer of its current attempt.
    void finishCall(EdgeCall &call, base::TimePoint now);
    /// What makes an attempt fail.
    struct AttemptFailure
    {
        dispatch::AttemptFault fault;
        std::string_view reason;
        std::string_view detail = {};
        bool mayFinish = false; ///< The rest of its answer may be read, to reuse the connection.
    };
    static std::optional<AttemptFailure> failureOfHead(const EdgeAttempt &attempt);
    /// Failure that shows once an answer is complete according to its framing.
    static std::optional<AttemptFailure> failureAtEnd(const EdgeCall &call,
                                                      const EdgeAttempt &attempt);
    /// Drops an attempt and lets the dispatcher decide what becomes of the call.
    void failAttempt(EdgeCall &call, EdgeAttempt &attempt, const AttemptFailure &failure,
                     base::TimePoint now);
    /// This host's share of the connections to an upstream that may be idle.
    std::size_t maxIdleConnections(const base::ServiceId &service) const;
    /// Discards the rest of an answer that is not needed. Closes the connection unless \a
    /// mayFinish.
    void dropAttempt(EdgeAttempt &attempt, bool mayFinish);
    /// Closes the connection of the stalled attempt, if there is one, and releases its memory.
    void dropStalledAttempt(EdgeCall &call);

    // Actions of the dispatcher.
    void execute(const dispatch::Actions &actions, base::TimePoint now);
    void executeAction(const dispatch::ReserveMemory &action, base::TimePoint now);
    void executeAction(const dispatch::ReleaseMemory &action, base::TimePoint now);
    void executeAction(const dispatch::SendAttempt &action, base::TimePoint now);
    void executeAction(const dispatch::CancelAttempt &action, base::TimePoint now);
    void executeAction(const dispatch::KeepStalledAttempt &action, base::TimePoint now);
    void executeAction(const dispatch::ReinstateAttempt &action, base::TimePoint now);
    void executeAction(const dispatch::CancelStalledAttempt &action, base::TimePoint now);
    void executeAction(const dispatch::RejectCall &action, base::TimePoint now);
    void executeAction(const dispatch::FailCall &action, base::TimePoint now);
    void executeAction(const dispatch::ForwardUpstreamError &action, base::TimePoint now);
    void executeAction(const dispatch::RequestPermit &action, base::TimePoint now);
    void executeAction(const dispatch::ReleasePermit &action, base::TimePoint now);
    void executeAction(const dispatch::RetryScheduled &action, base::TimePoint now);
    void executeAction(const dispatch::UpstreamEjected &action, base::TimePoint now);
    void executeAction(const dispatch::DataCentreUnreachable &action, base::TimePoint now);
    void executeAction(const dispatch::RateLimitChanged &action, base::TimePoint now);
    void executeAction(const dispatch::RequestSendGrant &action, base::TimePoint now);
    void executeAction(const dispatch::ReportRateLimit &action, base::TimePoint now);
    void executeAction(const dispatch::ProbeUpstream &action, base::TimePoint now);
    void executeAction(const dispatch::ReportCrash &action, base::TimePoint now);
    void executeAction(const dispatch::ReportAnswered &action, base::TimePoint now);
    void executeAction(const dispatch::RequestTrial &action, base::TimePoint now);
    void executeAction(const dispatch::EndTrial &action, base::TimePoint now);
    void executeAction(const dispatch::CrashSuspectChanged &action, base::TimePoint now);
    void onSendGrant(const dispatch::SendGrantReceived &event);
    void onTrialDecided(const dispatch::TrialDecided &event, base::TimePoint requestedAt);
    /// Sends evidence to the leader, or keeps it for the next one.
    void sendEvidence(fleet::CrashEvidence evidence, base::TimePoint createdAt,
                      base::TimePoint now);
    void keepEvidence(fleet::CrashEvidence evidence, base::TimePoint createdAt);
    /// Applies what the leader knows of crashes, and tells a new leader what this host knows.
    void applyCrashSuspects(const FleetWatcher::Update &update, base::TimePoint now);
    void endCall(EdgeCall &call, std::string_view outcome, std::string_view reason, int status,
                 base::TimePoint now);
    void scheduleTick(base::TimePoint now);
    EdgeCall *findCall(dispatch::CallId id);
    EdgeCall *findCallByAttempt(gateway::CallId id);
    /// The attempt \a id of \a call.
    static EdgeAttempt &attemptOf(EdgeCall &call, gateway::CallId id);

    // Memory at engines.
    void sendReservationRequest(const Reservation &reservation, const EngineRequest &engineRequest,
                                dispatch::CallId call);
    void onReservationAnswer(gateway::CallId id, bool isReserved);
    void releaseReservations(EdgeAttempt &attempt);
    void renewReservations();

    // Fleet.
    void onFleetUpdate(const FleetWatcher::Update &update);
    /// The text of a newer configuration in \a reply; empty when there is none.
    std::optional<std::string> configurationTextFrom(const fleet::WatchReply &reply);
    void applyConfiguration(std::string text, fleet::ConfigurationVersion version,
                            base::TimePoint now);
    void applyEvacuations(const fleet::WatchReply &reply, base::TimePoint now);
    void updateGateGauges(const dispatch::DispatcherStats &stats);
    void applyFleet(const fleet::FleetView::Changes &changes, base::TimePoint now);
    /// Requests that a cold upstream bears in any one second; 0 for no bound.
    double coldRequests(const fleet::ColdStart &coldStart) const;
    base::Millis coldTimeOf(const fleet::Upstream &upstream) const;
    void tickFleet();
    /// Sends this host's load to its peers after a short delay that collects further changes.
    void scheduleLoadUpdate();
    void logStartSteps(bool isFromLeader, base::TimePoint now);
    void sendLoadUpdate(bool isSnapshot);
    void onLoadUpdate(const fleet::LoadUpdate &update, const std::string &from);

    void checkStop();
    /// Takes no further connections of callers and closes those without a request. Returns whether
    /// all that have come are served; then the same for other entry hosts.
    bool finishServing();
    /// Ends the calls that last longer than the stop may.
    void endRemainingCalls(base::TimePoint now);
    void finishStop();

    EdgeOptions m_options;
    boost::asio::io_context *m_io;
    const Protocol *m_protocol;
    const fleet::ConfigurationReader *m_reader;
    process::Metrics *m_metrics;
    dispatch::Dispatcher m_dispatcher;
    gateway::Server m_server;
    RelayHandler m_relayHandler;
    gateway::Server m_relayServer;
    gateway::Client m_client;
    std::shared_ptr<const fleet::RouteTable> m_routeTable;
    std::string m_configurationText; ///< Of the route table.
    bool m_needsWholeConfiguration = false; ///< The last delta did not fit.
    Freshness m_freshness;
    KnownEvacuations m_evacuations;
    fleet::FleetView m_fleetView;
    base::Rng m_rng;
    std::int64_t m_lastCallId = 0;
    std::map<dispatch::CallId, EdgeCall> m_calls;
    std::map<gateway::CallId, dispatch::CallId> m_attempts;
    std::map<gateway::Exchange *, dispatch::CallId> m_exchanges;
    std::map<gateway::CallId, PendingReservationRequest> m_reservationRequests;
    struct LinkProbe
    {
        base::ServiceId service;
        base::UpstreamId upstream;
    };
    std::map<gateway::CallId, LinkProbe> m_linkProbes;
    std::int64_t m_lastReservationId = 0;
    boost::asio::steady_timer m_dispatchTimer;
    base::TimePoint m_dispatchTimerAt = base::TimePoint::max();
    boost::asio::steady_timer m_fleetTimer;
    boost::asio::steady_timer m_stopTimer;
    std::optional<base::TimePoint> m_stopRequestedAt;
    std::function<void()> m_onStopped;
    boost::asio::steady_timer m_loadUpdateTimer;
    bool m_isLoadUpdateScheduled = false;
    bool m_isIdle = true; ///< The last update sent was a snapshot without load.
    /// Evidence of crashes that no leader has accepted yet, and when it was created.
    std::deque<std::pair<base::TimePoint, fleet::CrashEvidence>> m_keptEvidence;
    /// Start of the control host that knows the suspects of this host; 0 for none.
    std::int64_t m_informedLeader = 0;
    LoadChannel m_loadChannel;
    int m_entryHostCount = 1; ///< As the leader counted them last.
    std::optional<base::Endpoint> m_leader; ///< Last control host that confirmed a configuration.
    std::int64_t m_startId; ///< Random number drawn at each start.
    StartSteps m_startSteps;
    std::unique_ptr<FleetWatcher> m_watcher;
    std::unique_ptr<peers::Service> m_peerService;
    std::unique_ptr<peers::Node> m_node; ///< Last, as its thread uses the members above.
};

} // namespace hyssop::edge
