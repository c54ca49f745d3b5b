#pragma once

#include "routing/Routing.h"

#include <map>

namespace hyssop::entry {

/// Selects the reports of outstanding work for a gossip round, so that messages stay small with any
/// number of upstreams. No I/O.
class OutstandingSelector
{
public:
    /// Reports in one message.
    static constexpr std::size_t kMaxReports = 18;

    /// Returns up to kMaxReports of this host's reports, in the order of \a reports. Upstreams
    /// without requests left come first, then those that changed most or were sent longest ago.
    std::vector<routing::PeerLoadReport> select(std::vector<routing::PeerLoadReport> reports);

private:
    struct SentReport
    {
        routing::PeerLoadReport report;
        std::int64_t round = 0;
    };
    std::int64_t priority(const routing::PeerLoadReport &report) const;

    std::map<base::UpstreamId, SentReport> m_sentReports;
    std::int64_t m_round = 0;
};

} // namespace hyssop::entry
