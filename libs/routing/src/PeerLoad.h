#pragma once

#include "routing/Routing.h"

#include <map>

namespace hyssop::routing {

/// What the other entry hosts have outstanding at one upstream. What a host said counts until it
/// has been silent for kTtl.
class PeerLoad
{
public:
    struct Sum
    {
        base::Tokens prompt;
        base::Tokens longPrompt;
        base::Tokens kv;
        int requests = 0;
    };

    void set(const PeerOutstanding &report, base::TimePoint now);
    const Sum &sum(base::TimePoint now);
    /// Hosts that have something to say of the upstream.
    std::size_t hosts() const { return m_items.size(); }

    static constexpr base::Millis kTtl{1'500};

private:
    struct Item
    {
        PeerOutstanding report;
        base::TimePoint expires;
    };
    void add(const PeerOutstanding &report, int sign);

    std::map<base::HostId, Item> m_items;
    Sum m_sum;
    base::TimePoint m_nextExpiry = base::TimePoint::max();
};

} // namespace hyssop::routing
