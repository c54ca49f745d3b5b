#include "LoadChannel.h"

namespace hyssop::edge {

namespace {

/// Loads of this many upstreams fit in a datagram that no link has to split.
constexpr std::size_t kMaxUpstreamsPerDatagram = 24;
constexpr base::Millis kProblemInterval{1'000};

} // namespace

LoadChannel::LoadChannel(boost::asio::io_context *io, OnUpdate onUpdate)
    : m_socket(*io)
    , m_onUpdate(std::move(onUpdate))
{ }

tl::expected<void, EdgeError> LoadChannel::open(const base::Endpoint &listen)
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address_v4(listen.address, ec);
    if (!ec)
        m_socket.open(boost::asio::ip::udp::v4(), ec);
    if (!ec)
        m_socket.bind({address, listen.port}, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec)
        return tl::unexpected(EdgeError{"load datagrams: " + ec.message()});
    receive();
    return {};
}

void LoadChannel::setPeers(const std::vector<base::Endpoint> &peers)
{
    m_peers.clear();
    for (const base::Endpoint &it : peers) {
        boost::system::error_code ec;
        const auto address = boost::asio::ip::make_address_v4(it.address, ec);
        if (ec)
            base::logEvent("bad_peer", {{"address", it.text()}, {"reason", ec.message()}});
        else
            m_peers.emplace_back(address, it.port);
    }
}

void LoadChannel::send(fleet::LoadUpdate update, base::TimePoint now)
{
    for (const fleet::LoadUpdate &part :
         fleet::splitUpdate(update, kMaxUpstreamsPerDatagram, m_lastSequence)) {
        m_lastSequence = part.sequence;
        const std::string bytes = fleet::encode(part);
        for (const auto &peer : m_peers) {
            boost::system::error_code ec;
            m_socket.send_to(boost::asio::buffer(bytes), peer, 0, ec);
            if (ec)
                logProblem("load_not_sent", ec.message(), now);
        }
    }
}

void LoadChannel::receive()
{
    m_socket.async_wait(
            boost::asio::ip::udp::socket::wait_read, [this](boost::system::error_code ec) {
                if (ec)
                    return;
                const base::TimePoint now = base::monotonicNow();
                for (;;) {
                    boost::asio::ip::udp::endpoint from;
                    const std::size_t size =
                            m_socket.receive_from(boost::asio::buffer(m_buffer), from, 0, ec);
                    // A peer that does not listen shows as a refusal here.
                    if (ec == boost::asio::error::connection_refused)
                        continue;
                    if (ec)
                        break;
                    handleDatagram({m_buffer.data(), size}, from.address().to_string(), now);
                }
                if (ec != boost::asio::error::would_block)
                    logProblem("load_not_received", ec.message(), now);
                receive();
            });
}

void LoadChannel::handleDatagram(std::string_view bytes, const std::string &from,
                                 base::TimePoint now)
{
    if (const auto update = fleet::decodeLoadUpdate(bytes))
        m_onUpdate(*update, from);
    else
        logProblem("bad_message", "load", now);
}

void LoadChannel::logProblem(std::string_view event, std::string_view reason, base::TimePoint now)
{
    if (now < m_nextProblemAt)
        return;
    m_nextProblemAt = now + kProblemInterval;
    base::logEvent(event, {{"reason", reason}});
}

} // namespace hyssop::edge
