#include "CallerConnection.h"

#include <boost/asio/steady_timer.hpp>

namespace hyssop::gateway {

namespace {

using boost::asio::ip::tcp;

/// Resolution of the timeouts of caller connections, which are seconds long.
constexpr base::Millis kTimeoutCheckInterval{250};
/// Delay after a failed accept, for example when file descriptors have run out.
constexpr base::Millis kAcceptRetryDelay{100};

} // namespace

class Server::Impl
{
public:
    Impl(boost::asio::io_context *io, CallerHandler *handler,
         std::shared_ptr<CallerResources> resources)
        : m_timeoutCheckTimer(*io)
    {
        m_shared.io = io;
        m_shared.handler = handler;
        m_shared.resources = std::move(resources);
        scheduleTimeoutCheck();
    }

    ~Impl()
    {
        // Exchanges and pending operations may outlive the server.
        m_listeners.clear();
        for (const auto &connection : m_shared.connections)
            connection->detach();
    }

    tl::expected<base::Endpoint, ListenError> listen(const base::Endpoint &address)
    {
        boost::system::error_code ec;
        const auto ip = boost::asio::ip::make_address_v4(address.address, ec);
        if (ec)
            return tl::unexpected(ListenError{address.text() + ": " + ec.message()});
        auto listener = std::make_unique<Listener>(*m_shared.io);
        const tcp::endpoint endpoint(ip, address.port);
        listener->acceptor.open(tcp::v4(), ec);
        if (!ec)
            listener->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
        if (!ec)
            listener->acceptor.bind(endpoint, ec);
        if (!ec)
            listener->acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
        if (ec)
            return tl::unexpected(ListenError{address.text() + ": " + ec.message()});
        const auto bound = listener->acceptor.local_endpoint(ec);
        accept(listener.get());
        m_listeners.push_back(std::move(listener));
        return base::Endpoint{address.address, bound.port()};
    }

    void stopListening()
    {
        for (const auto &listener : m_listeners) {
            if (!listener->acceptor.is_open())
                continue;
            boost::system::error_code ec;
            listener->retryTimer.cancel();
            listener->acceptor.non_blocking(true, ec);
            while (!ec) {
                tcp::socket socket(*m_shared.io);
                listener->acceptor.accept(socket, ec);
                if (!ec)
                    open(std::move(socket));
            }
            if (ec != boost::asio::error::would_block)
                base::logEvent("accept_failed", {{"message", ec.message()}});
            listener->acceptor.close(ec);
        }
    }

    void closeIdle()
    {
        const auto connections = m_shared.connections;
        for (const auto &connection : connections)
            connection->closeIfIdle();
    }

    Shared m_shared;

private:
    struct Listener
    {
        explicit Listener(boost::asio::io_context &io)
            : acceptor(io)
            , retryTimer(io)
        { }
        tcp::acceptor acceptor;
        boost::asio::steady_timer retryTimer;
    };

    void open(tcp::socket socket)
    {
        const auto connection = std::make_shared<CallerConnection>(&m_shared, std::move(socket));
        m_shared.connections.insert(connection);
        connection->open(base::monotonicNow());
    }

    void accept(Listener *listener)
    {
        listener->acceptor.async_accept([this, listener](boost::system::error_code ec,
                                                         tcp::socket socket) {
            // A connection may have been accepted just before the listener was closed.
            if (!ec)
                open(std::move(socket));
            if (ec == boost::asio::error::operation_aborted || !listener->acceptor.is_open())
                return;
            if (ec) {
                base::logEvent("accept_failed", {{"message", ec.message()}});
                listener->retryTimer.expires_after(kAcceptRetryDelay);
                listener->retryTimer.async_wait([this, listener](boost::system::error_code e) {
                    if (!e)
                        accept(listener);
                });
                return;
            }
            accept(listener);
        });
    }

    void scheduleTimeoutCheck()
    {
        m_timeoutCheckTimer.expires_after(kTimeoutCheckInterval);
        m_timeoutCheckTimer.async_wait([this](boost::system::error_code ec) {
            if (ec)
                return;
            const auto connections = m_shared.connections;
            const base::TimePoint now = base::monotonicNow();
            for (const auto &connection : connections)
                connection->checkTimeouts(now);
            scheduleTimeoutCheck();
        });
    }

    boost::asio::steady_timer m_timeoutCheckTimer;
    std::vector<std::unique_ptr<Listener>> m_listeners;
};

Server::Server(boost::asio::io_context *io, CallerHandler *handler,
               std::shared_ptr<CallerResources> resources)
    : m_impl(std::make_unique<Impl>(io, handler, std::move(resources)))
{ }

Server::~Server() = default;

tl::expected<base::Endpoint, ListenError> Server::listen(const base::Endpoint &address)
{
    return m_impl->listen(address);
}

void Server::setLimits(const ServerLimits &limits)
{
    m_impl->m_shared.limits = limits;
    for (const auto &connection : m_impl->m_shared.connections)
        connection->extendIdleTimeout();
}

void Server::announceClose()
{
    m_impl->m_shared.isCloseAnnounced = true;
}

void Server::stopListening()
{
    m_impl->stopListening();
}

void Server::closeIdle()
{
    m_impl->closeIdle();
}

const Server::Stats &Server::stats() const
{
    return m_impl->m_shared.stats;
}

std::size_t Server::connectionCount() const
{
    return m_impl->m_shared.connections.size();
}

} // namespace hyssop::gateway
