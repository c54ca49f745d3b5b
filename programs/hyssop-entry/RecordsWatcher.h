#pragma once

#include "http/Http.h"
#include "peers/Peers.h"
#include "records/Records.h"
#include "WatchPlan.h"

#include <functional>
#include <memory>
#include <vector>

namespace hyssop::entry {

/// Watches the records on the control hosts and never returns to an earlier log position.
///
/// WatchPlan decides which control host is polled and when. Belongs to the entry server's loop;
/// replies are posted to it from the peer node's thread.
class RecordsWatcher
{
public:
    using OnChange = std::function<void(std::shared_ptr<const records::Catalogue>)>;

    RecordsWatcher(http::Loop *loop, base::HostId host, base::DataCentreId dataCentre,
                   std::vector<base::Endpoint> controlHosts, OnChange onChange);

    /// Starts to watch. \a node must outlive the run of the loop.
    void start(peers::Node *node);

    peers::WirePosition position() const { return m_position; }
    /// Whether the last reply came from a control host that had confirmed its records.
    bool isConfirmed() const { return m_plan.isConfirmed(); }
    /// Time since the records were last known to be the latest.
    base::Millis age(base::TimePoint now) const { return m_plan.age(now); }
    /// "records stale for N s: REASON", or empty while the records are not stale.
    std::string staleNote(base::TimePoint now) const;

private:
    void step();
    void sendPoll(const WatchPlan::Poll &poll);
    void onReply(std::int64_t pollId,
                 const tl::expected<peers::WatchReply, peers::PeerError> &reply);
    void apply(const peers::WatchReply &reply);

    http::Loop *m_loop;
    base::HostId m_host;
    base::DataCentreId m_dataCentre;
    std::vector<base::Endpoint> m_controlHosts;
    OnChange m_onChange;
    peers::Node *m_node = nullptr;
    WatchPlan m_plan;
    std::optional<http::TimerId> m_timer;
    peers::WirePosition m_position;
    std::shared_ptr<const records::Catalogue> m_catalogue;
};

} // namespace hyssop::entry
