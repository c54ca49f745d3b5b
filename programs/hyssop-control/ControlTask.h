#pragma once

#include "group/Group.h"
#include "http/Http.h"
#include "operators/Operators.h"
#include "peers/Peers.h"
#include "process/Process.h"
#include "Queries.h"

#include <atomic>
#include <list>

namespace hyssop::control {

struct ControlOptions
{
    base::HostId host;
    base::DataCentreId dataCentre;
    base::Endpoint listenOperators;
    base::Endpoint listenPeers;
    base::Endpoint listenPlatform;
    std::filesystem::path data;
    std::vector<group::HostAddress> globalVoters;
    std::vector<group::HostAddress> homeVoters; ///< Empty: this host alone.
    base::Millis heartbeatInterval{100};
    base::Millis electionTimeout{1'000};
    std::uint64_t seed = 1;
    std::string operatorToken;
};

/// Why the process cannot start.
struct StartError
{
    std::string message;
};

/// Owns the groups of a control host, the operators' interface and the watches of entry hosts.
class ControlTask final : public operators::RequestHandler, public peers::Service
{
public:
    static tl::expected<std::unique_ptr<ControlTask>, StartError> start(ControlOptions options);
    ~ControlTask() override;

    /// Serves until stop().
    void run();
    /// Hands leadership over, then ends run(). Thread-safe.
    void stop();
    /// Whether it stopped because its state could not be kept.
    bool hasFailed() const { return m_hasFailed; }

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
    tl::expected<void, StartError> open();
    tl::expected<void, StartError> openGroup(const std::string &name,
                                             std::vector<group::HostAddress> hosts);
    tl::expected<void, StartError> listen();
    void pump();
    void pumpGroups(base::TimePoint now);
    void schedulePump();
    void stopWhenHandedOver(base::TimePoint now);
    void answerWatches(base::TimePoint now);
    void answerJobWatches(base::TimePoint now);
    void watchJobs(JobWatch watch, peers::Answer<std::string> answer);
    GroupView viewOf(const std::string &name, base::TimePoint now) const;
    peers::WatchReply watchReply(const peers::WatchRequest &request) const;
    peers::WirePosition recordsPosition() const;
    bool isVoter() const;
    QueryView queryView(base::TimePoint now) const;
    operators::StatusReply ownStatus(base::TimePoint now) const;
    struct Gathering;
    void gather(const std::shared_ptr<Gathering> &gathering, const base::Endpoint &from);

    void onPut(operators::PutRequest request,
               operators::ReplyCallback<operators::PutReply> answer) override;
    std::vector<records::Record> records() override;
    void onStatus(operators::ReplyCallback<operators::StatusReply> answer) override;

    void onWatch(peers::WatchRequest request, peers::Answer<peers::WatchReply> answer) override;
    void onExecute(peers::ExecuteRequest request,
                   peers::Answer<peers::ExecuteReply> answer) override;
    void onReplicate(peers::ReplicateMessage message) override;
    void onGossip(peers::GossipMessage) override { }
    void onQuery(peers::QueryRequest request, peers::Answer<std::string> answer) override;

    ControlOptions m_options;
    std::unique_ptr<http::Loop> m_loop;
    group::Groups m_groups;
    std::unique_ptr<group::CommandRouter> m_router;
    process::Metrics m_metrics;
    std::unique_ptr<operators::Server> m_operators;
    std::unique_ptr<process::Server> m_platform;
    std::unique_ptr<peers::Node> m_peers;
    std::list<Watch> m_watches;
    JobWatches m_jobWatches;
    std::map<JobWatches::WatchId, peers::Answer<std::string>> m_jobAnswers;
    std::map<base::HostId, Reporter> m_reporters;
    bool m_isPumpScheduled = false;
    std::optional<base::TimePoint> m_stopUntil; ///< Set while stopping.
    std::atomic<bool> m_hasFailed{false};
};

} // namespace hyssop::control
