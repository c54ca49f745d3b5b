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
    std::filesystem::path dataDirectory;
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
class ControlHost final : public operators::Listener, public peers::Service
{
public:
    static tl::expected<std::unique_ptr<ControlHost>, StartError> start(ControlOptions options);
    ~ControlHost() override;

    /// Serves until stop().
    void run();
    /// Hands leadership over, then ends run(). Thread-safe.
    void stop();
    /// Whether it stopped because its state could not be kept.
    bool hasFailed() const { return m_hasFailed; }

private:
    struct PendingWatch
    {
        peers::WatchRequest request;
        peers::Answer<peers::WatchReply> answer;
        base::TimePoint deadline;
    };
    struct EntryHostReport
    {
        base::DataCentreId dataCentre;
        peers::WirePosition appliedPosition;
        base::TimePoint receivedAt;
    };

    explicit ControlHost(ControlOptions options);
    tl::expected<void, StartError> openGroups();
    tl::expected<void, StartError> openGroup(const std::string &name,
                                             std::vector<group::HostAddress> hosts);
    tl::expected<void, StartError> listen();
    void tick();
    void pumpGroups(base::TimePoint now);
    void schedulePump();
    void stopIfLeadershipTransferred(base::TimePoint now);
    void answerDueWatches(base::TimePoint now);
    void answerDueJobWatches(base::TimePoint now);
    void addJobWatch(JobWatch watch, peers::Answer<std::string> answer);
    GroupView groupView(const std::string &name, base::TimePoint now) const;
    peers::WatchReply watchReply(const peers::WatchRequest &request) const;
    peers::WirePosition recordsPosition() const;
    bool isGlobalVoter() const;
    QueryView queryView(base::TimePoint now) const;
    operators::StatusReply localStatus(base::TimePoint now) const;
    struct StatusCollection;
    void queryEntryHosts(const std::shared_ptr<StatusCollection> &collection,
                         const base::Endpoint &voter);

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
    group::Groups m_groups;
    std::unique_ptr<group::CommandRouter> m_router;
    process::Metrics m_metrics;
    std::unique_ptr<operators::Server> m_operatorServer;
    std::unique_ptr<process::Server> m_platformServer;
    std::unique_ptr<peers::Node> m_peerNode;
    std::list<PendingWatch> m_watches;
    JobWatches m_jobWatches;
    std::map<JobWatches::WatchId, peers::Answer<std::string>> m_jobWatchAnswers;
    std::map<base::HostId, EntryHostReport> m_entryHostReports;
    bool m_isPumpScheduled = false;
    std::optional<base::TimePoint> m_stopDeadline; ///< Set while stopping.
    std::atomic<bool> m_hasFailed{false};
};

} // namespace hyssop::control
