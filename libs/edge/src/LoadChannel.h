#pragma once

#include "edge/Edge.h"

#include <boost/asio/ip/udp.hpp>

namespace hyssop::edge {

/// Exchanges the load of this host with its peers by datagrams. A datagram costs a fraction of an
/// RPC, and the next update makes up for a lost one. Used on the thread of \a io only.
class LoadChannel
{
public:
    /// An update, and the address of the host that sent it.
    using OnUpdate = std::function<void(const fleet::LoadUpdate &, const std::string &)>;

    LoadChannel(boost::asio::io_context *io, OnUpdate onUpdate);

    tl::expected<void, EdgeError> open(const base::Endpoint &listen);
    /// Peers to which send() sends.
    void setPeers(const std::vector<base::Endpoint> &peers);
    bool hasPeers() const { return !m_peers.empty(); }
    /// Sends \a update in as many datagrams as it needs. Numbers them.
    void send(fleet::LoadUpdate update, base::TimePoint now);

private:
    void receive();
    void handleDatagram(std::string_view bytes, const std::string &from, base::TimePoint now);
    /// Logs at most one problem per kProblemInterval.
    void logProblem(std::string_view event, std::string_view reason, base::TimePoint now);

    boost::asio::ip::udp::socket m_socket;
    OnUpdate m_onUpdate;
    std::vector<boost::asio::ip::udp::endpoint> m_peers;
    std::int64_t m_lastSequence = 0;
    base::TimePoint m_nextProblemAt{};
    std::array<char, 2'048> m_buffer{}; ///< Larger than any datagram that is sent.
};

} // namespace hyssop::edge
