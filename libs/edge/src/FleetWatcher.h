#pragma once

#include "fleet/Fleet.h"
#include "peers/Peers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace hyssop::edge {

/// Long-polls every known control host for changes, and learns of further control hosts from their
/// replies.
class FleetWatcher
{
public:
    struct Update
    {
        base::HostId control;
        base::TimePoint requestedAt;
        fleet::WatchReply reply;
    };
    using OnUpdate = std::function<void(const Update &)>;
    /// State of this host that is sent with each query.
    struct LocalState
    {
        fleet::ConfigurationVersion configurationVersion;
        bool acceptsDelta = false;
        fleet::LoadReport load;
        std::int64_t evacuationsRevision = 0;
        bool awaitsLeader = false; ///< It accepts no keys until a leader confirms its state.
    };
    using LocalStateProvider = std::function<LocalState()>;

    FleetWatcher(base::HostId host, base::DataCentreId dataCentre, base::Endpoint address,
                 boost::asio::io_context *io, peers::Node *node, LocalStateProvider localState,
                 OnUpdate onUpdate);

    void setSeeds(const std::vector<base::Endpoint> &seeds);
    void stop() { m_isStopped = true; }
    /// Those that are known, reachable or not.
    std::vector<base::Endpoint> controlHosts() const;

private:
    struct ControlHost
    {
        std::int64_t directoryIncarnation = 0;
        std::int64_t directoryRevision = 0;
        std::int64_t factsRevision = 0;
        std::int64_t loadPeersRevision = 0; ///< 0 unless the peers in use are from this host.
        int consecutiveFailures = 0; ///< Since the last reply.
        bool isQueryPending = false;
        bool isLeader = true; ///< Unless its last answer says otherwise.
        bool isSeed = false;
        base::TimePoint lastListedAt; ///< When another control host last listed it.
        std::unique_ptr<boost::asio::steady_timer> retryTimer;
    };

    void addControlHost(const base::Endpoint &control, base::TimePoint now);
    void query(const base::Endpoint &control);
    void scheduleQuery(const base::Endpoint &control, base::Millis delay);
    void handleAnswer(const base::Endpoint &from, base::TimePoint requestedAt,
                      const tl::expected<std::string, peers::PeerError> &answer);
    void removeUnlisted(base::TimePoint now);

    base::HostId m_host;
    base::DataCentreId m_dataCentre;
    base::Endpoint m_address;
    boost::asio::io_context *m_io;
    peers::Node *m_node;
    LocalStateProvider m_localState;
    OnUpdate m_onUpdate;
    std::map<base::Endpoint, ControlHost> m_controlHosts;
    bool m_awaitsLeader = true; ///< When the last query was sent.
    bool m_isStopped = false;
};

} // namespace hyssop::edge
