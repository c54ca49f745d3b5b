/// Control host of a fleet. It keeps the configuration in the replicated log and the upstream
/// directory in memory, and answers the watches (long polls) of entry hosts.
///
/// A Registry is not thread-safe; use it only from the thread that runs its http::Loop.
#pragma once

#include "fleet/Fleet.h"
#include "group/Group.h"
#include "peers/Inbound.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssop::registry {

struct RegistryOptions
{
    base::Endpoint listenPeers; ///< Also identifies this host to its peers.
    base::DataCentreId dataCentre;
    std::filesystem::path dataDirectory; ///< Data directory; the log is kept below it.
    std::vector<base::Endpoint> seeds; ///< Peer addresses of control hosts to contact first.
    bool canBootstrap = false; ///< May bootstrap a new group. Set only on the system's first start.
    std::size_t voterCount = 3; ///< Target number of voters; further hosts become learners.
    base::Millis upstreamTimeout{4'000}; ///< Removes an upstream that sends nothing for this long.
    peers::InboundLimits peerLimits; ///< On the RPC port.
    base::Millis heartbeatInterval{100};
    base::Millis electionTimeout{600};
    /// Reads which services a configuration names; not owned. Without it all count as named.
    const fleet::ConfigurationReader *configurationReader = nullptr;
    std::uint64_t seed =
            1; ///< Source of directory and replica incarnations; should differ at each start.
};

/// Why a Registry could not start.
struct RegistryError
{
    std::string message;
};

enum class PutOutcome {
    Accepted, ///< This or a higher version is committed.
    Unavailable, ///< Nothing was recorded.
    Unknown, ///< The version may still be committed.
};

/// Name of \a outcome as sent to operators.
std::string_view putOutcomeName(PutOutcome outcome);

/// How often the prompts of a rank of sizes were prefilled lately, relative to all of their route.
struct SizeShare
{
    base::ServiceId service;
    std::string route;
    std::string_view rank; ///< "rest", "next_fifth" or "largest_tenth".
    double relativeShare = 1;
};

struct RegistryStats
{
    std::int64_t configurationVersion = 0; ///< Of the applied configuration; 0 when there is none.
    bool isLeader = false;
    bool hasRecentLeader = false; ///< A leader was active within an election timeout.
    std::size_t evacuatedDataCentres = 0;
    std::size_t upstreams = 0;
    std::size_t pendingWatches = 0; ///< Watches that wait for a change.
    std::size_t entryHosts = 0; ///< Entry hosts that reported recently.
    std::size_t voters = 0;
    std::vector<SizeShare> sizeShares; ///< Of routes with long prompts.
};

class Registry final : private peers::Service
{
public:
    /// Opens the log and listens for peers. \a loop must outlive the registry. \a onFailed is
    /// called once when the log can no longer be written.
    static tl::expected<std::unique_ptr<Registry>, RegistryError> start(
            RegistryOptions options, http::Loop *loop, std::function<void()> onFailed);
    ~Registry() override;

    /// Stores a configuration that has already been validated. \a done is called once.
    void putConfiguration(fleet::ConfigurationVersion version, std::string text,
                          std::function<void(PutOutcome)> done, base::TimePoint now);
    /// Begins or ends the evacuation of a data centre. \a done is called once.
    void setEvacuation(const base::DataCentreId &dataCentre, bool isEvacuated,
                       std::function<void(PutOutcome)> done);
    /// Reads the latest committed configuration, from the leader if necessary. Yields nothing when
    /// no leader with a lease confirms it.
    void readConfiguration(std::function<void(std::optional<ledger::StoredConfiguration>)> done,
                           base::TimePoint now);
    /// Applies an announcement. \a done is called once local watches were answered and the other
    /// control hosts have acknowledged the change or timed out; at once when nothing changed.
    fleet::AnnounceResult announce(const fleet::Upstream &upstream, std::function<void()> done,
                                   base::TimePoint now);
    /// Removes an upstream. \a incarnation selects one incarnation; without it the known one is
    /// removed. \a done is called as for announce().
    fleet::AnnounceResult withdraw(const base::UpstreamId &id,
                                   std::optional<base::Incarnation> incarnation,
                                   std::function<void()> done, base::TimePoint now);
    /// Replaces the seeds. Hosts already known are kept until they expire.
    void setSeeds(const std::vector<base::Endpoint> &seeds);
    /// Transfers leadership and calls \a done when that succeeded or timed out.
    void prepareStop(std::function<void()> done, base::TimePoint now);
    RegistryStats stats(base::TimePoint now) const;

private:
    class Impl;
    explicit Registry(std::unique_ptr<Impl> impl);
    void onWatch(peers::WatchRequest request, peers::Answer<peers::WatchReply> answer) override;
    void onExecute(peers::ExecuteRequest request,
                   peers::Answer<peers::ExecuteReply> answer) override;
    void onReplicate(peers::ReplicateMessage message) override;
    void onGossip(peers::GossipMessage message) override;
    void onQuery(peers::QueryRequest request, peers::Answer<std::string> answer) override;

    std::unique_ptr<Impl> m_impl;
};

} // namespace hyssop::registry
