/// A control host of a fleet: the configuration in the replicated log, the directory of upstreams
/// in memory, and the watches of the entry hosts.
///
/// A Registry belongs to the thread that runs its http::Loop.
#pragma once

#include "fleet/Fleet.h"
#include "group/Group.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssop::registry {

struct RegistryOptions
{
    base::Endpoint listenPeers; ///< Its text names this host to the others.
    base::DataCentreId dataCentre;
    std::filesystem::path data;
    std::vector<base::Endpoint> seeds; ///< Peer addresses of control hosts, where to begin.
    bool mayFound = false; ///< The whole system starts for the first time.
    std::size_t voters = 3;
    base::Millis upstreamSilence{4'000}; ///< An upstream that was not heard for so long is gone.
    base::Millis heartbeatInterval{100};
    base::Millis electionTimeout{600};
    std::uint64_t seed = 1;
};

/// Why the process cannot start or go on.
struct RegistryError
{
    std::string message;
};

enum class PutOutcome {
    Accepted, ///< It or a higher version is in force for good.
    Unavailable, ///< Nothing was recorded.
    Unknown, ///< It may yet come into force.
};

std::string_view putOutcomeName(PutOutcome outcome);

struct RegistryStats
{
    std::int64_t version = 0;
    bool isLeader = false;
    bool hasRecentLeader = false;
    std::size_t upstreams = 0;
    std::size_t watches = 0;
    std::size_t entries = 0;
    std::size_t voters = 0;
};

class Registry final : private peers::Service
{
public:
    /// \a loop must outlive the registry; \a onFailed is called when the state cannot be kept.
    static tl::expected<std::unique_ptr<Registry>, RegistryError> start(
            RegistryOptions options, http::Loop *loop, std::function<void()> onFailed);
    ~Registry() override;

    /// Puts a configuration that was checked; \a done is called once.
    void putConfiguration(fleet::Version version, std::string text,
                          std::function<void(PutOutcome)> done, base::TimePoint now);
    /// Reads the newest accepted configuration; nothing when this host cannot be sure of it.
    void readConfiguration(std::function<void(std::optional<ledger::StoredConfiguration>)> done,
                           base::TimePoint now);
    /// Takes an announcement in; \a done is called once entry hosts and other control hosts were
    /// told of what it changes.
    fleet::AnnounceVerdict announce(const fleet::Upstream &upstream, std::function<void()> done,
                                    base::TimePoint now);
    fleet::AnnounceVerdict leave(const base::UpstreamId &id, std::optional<base::Incarnation> born,
                                 std::function<void()> done, base::TimePoint now);
    void setSeeds(const std::vector<base::Endpoint> &seeds);
    /// Hands leadership over and calls \a done when that is done or has taken too long.
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
