#pragma once

#include "peers/Inbound.h"

#include <capnp/rpc-twoparty.h>

#include <map>

namespace hyssop::peers {

class GuardedStream;

/// Accepts connections for a server and closes those that an InboundAccount gives up. Accepting
/// goes on after a failure. Must outlive the server's connections.
class AcceptGuard
{
public:
    AcceptGuard(InboundLimits limits, kj::Timer &timer)
        : m_account(limits)
        , m_timer(timer)
    { }

    kj::Promise<void> listen(kj::ConnectionReceiver &receiver, capnp::TwoPartyServer &server);

private:
    friend class GuardedStream;

    void closeVictims(InboundAccount::Id newest);

    InboundAccount m_account;
    kj::Timer &m_timer;
    std::map<InboundAccount::Id, GuardedStream *> m_streams;
    std::int64_t m_unloggedCloses = 0;
    base::TimePoint m_lastLogAt{};
};

} // namespace hyssop::peers
