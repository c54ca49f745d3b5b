#pragma once

#include "routing/Routing.h"

#include <map>

namespace hyssop::entry {

/// Decides which of a host's outstanding work is told on a beat, so that a message stays small with
/// any number of upstreams. No I/O.
class OutstandingSelector
{
public:
    /// Upstreams told of in one message.
    static constexpr std::size_t kMaxReports = 18;

    /// Of what this host has outstanding: what has ended, then what has changed most or was told
    /// longest ago. In the order of \a reports.
    std::vector<routing::PeerOutstanding> select(std::vector<routing::PeerOutstanding> reports);

private:
    struct SentReport
    {
        routing::PeerOutstanding report;
        std::int64_t round = 0;
    };
    std::int64_t priority(const routing::PeerOutstanding &report) const;

    std::map<base::UpstreamId, SentReport> m_sentReports;
    std::int64_t m_round = 0;
};

} // namespace hyssop::entry
