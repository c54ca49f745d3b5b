#pragma once

#include "caller/Caller.h"
#include "ControlClient.h"
#include "EntryOptions.h"
#include "Gossiper.h"
#include "http/Http.h"
#include "membership/Membership.h"
#include "peers/Peers.h"
#include "platform/Platform.h"
#include "Reclaimer.h"
#include "RecordsWatcher.h"
#include "routing/Routing.h"
#include "upstream/Upstream.h"

#include <map>

namespace hyssop::entry {

/// Joins the peers of an entry host with the router: it turns what comes in into events and
/// carries out the actions that come back. Everything runs on its loop.
class EntryTask final : public caller::Listener,
                        public upstream::AttemptListener,
                        public upstream::ServiceListener,
                        public peers::Service
{
public:
    static tl::expected<std::unique_ptr<EntryTask>, std::string> start(EntryOptions options);
    ~EntryTask() override;

    /// Serves until a stop has let the requests in flight end.
    void run();
    /// Begins a graceful stop. Thread-safe.
    void stop();

private:
    /// A call from its arrival to its answer.
    struct OpenRequest
    {
        http::ExchangeId exchange;
        std::string body; ///< For the upstream.
        std::optional<caller::ServiceCall> service;
        routing::RequestInfo info;
        base::TimePoint arrived;
        bool hasFirstToken = false;
        base::TimePoint lastToken;
    };
    struct OpenAttempt
    {
        base::RequestId request;
        base::Endpoint address;
        bool isService = false;
        bool isResume = false;
    };

    explicit EntryTask(EntryOptions options);
    tl::expected<void, std::string> listen();

    // Calls.
    void onCall(http::ExchangeId id, caller::Call call) override;
    void onCallerGone(http::ExchangeId id) override;
    void onBadInput(std::string_view code) override;
    void onCompletion(http::ExchangeId id, caller::CompletionCall call);
    void onService(http::ExchangeId id, caller::ServiceCall call);
    std::optional<base::TeamId> teamOf(const caller::CallHead &head) const;
    /// Fills what the route decides; on a fault the call is answered and nothing comes back.
    std::optional<routing::RequestInfo> admit(http::ExchangeId id, const caller::CallHead &head,
                                              const std::string &route, routing::UpstreamKind kind);
    void refuse(http::ExchangeId id, routing::Reason reason);
    void submit(OpenRequest request);

    // Router.
    void feed(const routing::Event &event);
    void perform(const routing::Actions &actions);
    void perform(const routing::StartAttempt &action);
    void perform(const routing::CancelAttempt &action);
    void perform(const routing::ForwardTokens &action);
    void perform(const routing::CompleteRequest &action);
    void perform(const routing::EndRequest &action);
    void perform(const routing::RetryNoted &action);
    void perform(const routing::StallNoted &action);
    void perform(const routing::EjectionNoted &action);
    void scheduleTick();

    // Upstreams.
    void onAccepted(const base::AttemptId &id) override;
    void onTokens(const base::AttemptId &id, std::int64_t offset,
                  const std::vector<std::string> &tokens) override;
    void onFinished(const base::AttemptId &id) override;
    void onFailed(const base::AttemptId &id, routing::AttemptFault fault,
                  base::Millis retryAfter) override;
    void onStrayEvent(const base::AttemptId &id) override;
    void onAnswer(const base::AttemptId &id, upstream::ServiceAnswer answer) override;
    void onFailed(const base::AttemptId &id, routing::AttemptFault fault) override;
    void onAnnouncement(const membership::Announcement &announcement);
    void onUpstream(const membership::DirectoryChange &change);

    // Other hosts.
    void onWatch(peers::WatchRequest request, peers::Answer<peers::WatchReply> answer) override;
    void onExecute(peers::ExecuteRequest request,
                   peers::Answer<peers::ExecuteReply> answer) override;
    void onReplicate(peers::ReplicateMessage) override { }
    void onGossip(peers::GossipMessage message) override;
    void onQuery(peers::QueryRequest request, peers::Answer<std::string> answer) override;
    std::unique_ptr<Gossiper> makeGossiper();

    // Life of the host.
    void refreshGauges();
    void beginStop();
    void endWhenIdle(base::TimePoint until);

    EntryOptions m_options;
    std::unique_ptr<http::Loop> m_loop;
    platform::Metrics m_metrics;
    std::unique_ptr<caller::Server> m_callers;
    std::unique_ptr<upstream::AnnouncementServer> m_announcements;
    std::unique_ptr<platform::Server> m_platform;
    std::unique_ptr<upstream::Engines> m_engines;
    std::unique_ptr<upstream::Services> m_services;
    std::unique_ptr<routing::Router> m_router;
    std::unique_ptr<RecordsWatcher> m_watcher;
    std::unique_ptr<ControlClient> m_control;
    std::unique_ptr<peers::Node> m_peers;
    std::unique_ptr<Gossiper> m_gossiper;
    std::unique_ptr<Reclaimer> m_reclaimer;
    std::shared_ptr<const records::Catalogue> m_catalogue;
    std::map<base::RequestId, OpenRequest> m_requests;
    std::map<http::ExchangeId, base::RequestId> m_exchanges;
    std::map<base::AttemptId, OpenAttempt> m_attempts;
    std::vector<std::string> m_pendingTokens; ///< Of the event being handled.
    std::optional<http::TimerId> m_tickTimer;
    base::TimePoint m_tickAt = base::TimePoint::max();
    bool m_isStopping = false;
};

} // namespace hyssop::entry
