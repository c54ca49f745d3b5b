#pragma once

#include "GroupHost.h"
#include "http/Http.h"
#include "operators/Operators.h"
#include "peers/Peers.h"
#include "platform/Platform.h"
#include "Queries.h"

#include <list>

namespace hyssop::control {

/// A replica and where its process listens for peers.
struct ReplicaAddress
{
    replog::ReplicaId id;
    base::Endpoint address;
};

struct ControlOptions
{
    base::HostId host;
    base::DataCentreId dataCentre;
    base::Endpoint listenOperators;
    base::Endpoint listenPeers;
    base::Endpoint listenPlatform;
    std::filesystem::path data;
    std::vector<ReplicaAddress> globalVoters;
    std::string operatorToken;
};

/// Owns the groups of a control host, the operators' interface and the watches of entry hosts.
class ControlTask final : public operators::Listener, public peers::Service
{
public:
    static tl::expected<std::unique_ptr<ControlTask>, std::string> start(ControlOptions options);
    ~ControlTask() override;

    /// Serves until stop().
    void run();
    /// Thread-safe.
    void stop();

private:
    struct Watch
    {
        peers::WatchRequest request;
        peers::Answer<peers::WatchReply> answer;
        base::TimePoint until;
    };
    struct Reporter
    {
        base::DataCentreId dataCentre;
        peers::WirePosition applied;
        base::TimePoint seen;
    };

    explicit ControlTask(ControlOptions options);
    tl::expected<void, std::string> open();
    tl::expected<void, std::string> listen();
    void pump();
    void schedulePump();
    void answerWatches(base::TimePoint now);
    peers::WatchReply watchReply(const peers::WatchRequest &request) const;
    peers::WirePosition recordsPosition() const;
    bool isVoter() const;
    QueryView queryView(base::TimePoint now) const;

    void onPut(operators::PutRequest request,
               operators::Answer<operators::PutReply> answer) override;
    std::vector<records::Record> records() override;
    void onStatus(operators::Answer<operators::StatusReply> answer) override;

    void onWatch(peers::WatchRequest request, peers::Answer<peers::WatchReply> answer) override;
    void onExecute(peers::ExecuteRequest request,
                   peers::Answer<peers::ExecuteReply> answer) override;
    void onReplicate(peers::ReplicateMessage message) override;
    void onGossip(peers::GossipMessage) override { }
    void onQuery(peers::QueryRequest request, peers::Answer<std::string> answer) override;

    ControlOptions m_options;
    std::unique_ptr<http::Loop> m_loop;
    std::map<std::string, std::unique_ptr<GroupHost>> m_groups;
    platform::Metrics m_metrics;
    std::unique_ptr<operators::Server> m_operators;
    std::unique_ptr<platform::Server> m_platform;
    std::unique_ptr<peers::Node> m_peers;
    std::list<Watch> m_watches;
    std::map<base::HostId, Reporter> m_reporters;
    bool m_isPumpScheduled = false;
};

} // namespace hyssop::control
