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

/// Settings of a control host.
struct ControlOptions
{
    base::HostId host;
    base::DataCentreId dataCentre;
    base::Endpoint listenOperators; ///< HTTP API for operators.
    base::Endpoint listenPeers; ///< RPC from other hosts.
    base::Endpoint listenPlatform; ///< /ready, /live and /metrics.
    std::filesystem::path dataDirectory;
    std::vector<group::HostAddress> globalVoters; ///< Initial voters of the global group.
    /// Initial voters of the data centre's home group. If empty, this host is the only voter.
    std::vector<group::HostAddress> homeVoters;
    base::Millis heartbeatInterval{100};
    base::Millis electionTimeout{1'000};
    std::uint64_t seed = 1; ///< For random election timeouts.
    std::string operatorToken; ///< Bearer token; empty: no authentication.
};

/// Why the process cannot start.
struct StartError
{
    std::string message;
};

/// Runs the replication groups of a control host, the operators' HTTP API and the watches of entry
/// hosts.
///
/// All state belongs to the loop's thread. Calls from other hosts arrive on the peers' thread and
/// are posted to the loop.
class ControlHost final : public operators::RequestHandler, public peers::Service
{
public:
    /// Opens the groups and starts listening.
    static tl::expected<std::unique_ptr<ControlHost>, StartError> start(ControlOptions options);
    ~ControlHost() override;

    /// Runs the loop until stop() has completed or storage fails.
    void run();
    /// Transfers leadership to other hosts, then ends run(). Thread-safe.
    void stop();
    /// Whether run() ended because the state could not be written to disk.
    bool hasFailed() const { return m_hasFailed; }

private:
    /// A watch for records that waits for a newer position or its deadline.
    struct PendingRecordsWatch
    {
        peers::WatchRequest request;
        peers::Answer<peers::WatchReply> answer;
        base::TimePoint deadline;
    };
    /// Last records position that an entry host reported in its watch request.
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
    std::unique_ptr<operators::Server> m_operatorServer;
    std::unique_ptr<process::Server> m_platformServer;
    std::unique_ptr<peers::Node> m_peerNode;
    std::list<PendingRecordsWatch> m_recordsWatches;
    JobWatches m_jobWatches;
    std::map<JobWatches::WatchId, peers::Answer<std::string>> m_jobWatchAnswers;
    std::map<base::HostId, EntryHostReport> m_entryHostReports;
    bool m_isPumpScheduled = false;
    std::optional<base::TimePoint> m_stopDeadline; ///< Set while stopping.
    std::atomic<bool> m_hasFailed{false};
};

} // namespace hyssop::control
