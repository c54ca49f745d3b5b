#pragma once

#include "caller/Caller.h"
#include "CallResolver.h"
#include "ClaimRunner.h"
#include "EntryOptions.h"
#include "Gossiper.h"
#include "http/Http.h"
#include "JobRunner.h"
#include "membership/Membership.h"
#include "OrderRunner.h"
#include "peers/Peers.h"
#include "process/Process.h"
#include "Reclaimer.h"
#include "RecordsWatcher.h"
#include "RouterDriver.h"
#include "routing/Routing.h"
#include "StartRegister.h"
#include "upstream/Upstream.h"

namespace hyssop::entry {

/// Why the process cannot start.
struct StartError
{
    std::string message;
};

/// Owns the components of an entry host and connects them: calls, announcements and gossip become
/// requests and events for the router. Everything runs on its loop; callbacks from the peer node's
/// thread are posted to it.
class EntryServer final : public caller::Listener, public peers::Service
{
public:
    /// Creates the components and listens on all addresses.
    static tl::expected<std::unique_ptr<EntryServer>, StartError> start(EntryOptions options);
    ~EntryServer() override;

    /// Serves until a stop was requested and the requests in flight have ended or timed out.
    void run();
    /// Begins a graceful stop. Thread-safe.
    void stop();

private:
    explicit EntryServer(EntryOptions options);
    void createComponents();
    tl::expected<void, StartError> listen();
    void applyCatalogue(std::shared_ptr<const records::Catalogue> catalogue);
    void updateReadiness();

    // Calls.
    void onCall(http::ExchangeId id, caller::Call call) override;
    void onCallerGone(http::ExchangeId id) override;
    void onBadInput(std::string_view code) override;
    void onCompletion(http::ExchangeId id, const caller::CompletionCall &call);
    void onService(http::ExchangeId id, caller::ServiceCall call);
    void onJobCall(http::ExchangeId id, const caller::Call &call);
    void onScope(http::ExchangeId id, const caller::ScopeCall &call);
    void refuse(http::ExchangeId id, const caller::ErrorBody &error);
    void submit(http::ExchangeId id, OpenRequest request);

    // Upstreams.
    void onAnnouncement(const membership::Announcement &announcement);
    void onUpstream(const membership::DirectoryChange &change);
    void onEngineQuiet(const base::UpstreamId &id, bool isQuiet);

    // Other hosts.
    void onWatch(peers::WatchRequest request, peers::Answer<peers::WatchReply> answer) override;
    void onExecute(peers::ExecuteRequest request,
                   peers::Answer<peers::ExecuteReply> answer) override;
    void onReplicate(peers::ReplicateMessage) override { }
    void onGossip(peers::GossipMessage message) override;
    void onQuery(peers::QueryRequest request, peers::Answer<std::string> answer) override;
    std::unique_ptr<Gossiper> makeGossiper();
    std::unique_ptr<OrderRunner> makeOrderRunner();

    // Lifecycle.
    void refreshGauges();
    void beginStop();
    void refuseNewRequests();
    void stopWhenIdle(base::TimePoint deadline);

    EntryOptions m_options;
    std::unique_ptr<http::Loop> m_loop;
    process::Metrics m_metrics;
    CallResolver m_callResolver;
    std::unique_ptr<caller::Server> m_callerServer;
    std::unique_ptr<upstream::AnnouncementServer> m_announcementServer;
    std::unique_ptr<process::Server> m_platformServer;
    std::unique_ptr<RouterDriver> m_routerDriver;
    std::unique_ptr<upstream::EngineFeeds> m_engineFeeds;
    std::unique_ptr<RecordsWatcher> m_recordsWatcher;
    std::unique_ptr<ControlClient> m_controlClient;
    std::unique_ptr<ClaimRunner> m_claimRunner;
    std::unique_ptr<JobRunner> m_jobRunner;
    std::unique_ptr<peers::Node> m_peerNode;
    std::unique_ptr<Gossiper> m_gossiper;
    std::unique_ptr<Reclaimer> m_reclaimer;
    std::unique_ptr<OrderRunner> m_orderRunner;
    std::unique_ptr<StartRegister> m_startRegister;
    bool m_hasCatalogue = false;
    bool m_isStopping = false;
    std::optional<base::TimePoint> m_idleSince; ///< When the last work ended; deletions at
                                                ///< upstreams may still be unconfirmed.
};

} // namespace hyssop::entry
