#pragma once

#include "peers/Peers.h"
#include "Wakeup.h"

#include "peer.capnp.h"

namespace hyssop::peers {

/// Serves the wire interface by a Service.
class Server final : public wire::Peer::Server
{
public:
    Server(Service *service, std::shared_ptr<Wakeup> wakeup);

    kj::Promise<void> watch(WatchContext context) override;
    kj::Promise<void> execute(ExecuteContext context) override;
    kj::Promise<void> replicate(ReplicateContext context) override;
    kj::Promise<void> gossip(GossipContext context) override;
    kj::Promise<void> query(QueryContext context) override;

private:
    template <typename Reply>
    kj::Promise<Reply> ask(const std::function<void(Answer<Reply>)> &call);

    Service *m_service;
    std::shared_ptr<Wakeup> m_wakeup; ///< Outlives the node with answers that are still held.
};

inline std::string toString(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

inline std::string toString(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

inline capnp::Data::Reader toData(const std::string &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

} // namespace hyssop::peers
