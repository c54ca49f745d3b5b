#pragma once

#include "gateway/Gateway.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace hyssop::gateway {

/// Length of the response to /large, more than the sockets hold.
inline constexpr std::size_t kLargeBytes = std::size_t(24) << 20;

/// Echoes method and body of each request. Streams the response to /stream, never responds to
/// /hang, drops the exchange of /dropped and sends a second response to /twice.
class EchoHandler final : public CallerHandler
{
public:
    void onRequest(const std::shared_ptr<Exchange> &exchange) override
    {
        if (exchange->head().target == "/hang")
            return m_unanswered.push_back(exchange);
        if (exchange->head().target == "/dropped")
            return;
        if (exchange->head().target == "/large")
            return exchange->respond(200, {}, std::string(kLargeBytes, 'x'));
        if (exchange->head().target == "/twice") {
            exchange->start(200, {});
            exchange->send("one");
            exchange->respond(500, {}, "");
            return m_unanswered.push_back(exchange);
        }
        const std::string body = exchange->head().method + " " + exchange->body();
        const bool breaksOff = exchange->head().target == "/broken";
        if (exchange->head().target != "/stream" && !breaksOff)
            return exchange->respond(200, {{"X-Echo", "1"}}, body);
        exchange->start(200, {});
        exchange->send("one");
        if (breaksOff)
            return exchange->abort();
        exchange->send("two");
        exchange->finish();
    }
    void onCallerDisconnected(Exchange &) override { ++disconnectCount; }
    void onDrained(Exchange &) override { }
    void onRejected(int status, std::string_view) override { rejectedStatus = status; }

    std::shared_ptr<Exchange> lastUnanswered() const { return m_unanswered.back(); }

    int disconnectCount = 0;
    int rejectedStatus = 0;

private:
    std::vector<std::shared_ptr<Exchange>> m_unanswered;
};

/// A server that runs on the thread of the test, and a raw socket connected to it.
class ServerFixture
{
public:
    ServerFixture()
        : server(&io, &echo)
        , socket(io)
    {
        address = *server.listen({"127.0.0.1", 0});
        socket.connect({boost::asio::ip::make_address(address.address), address.port});
        socket.non_blocking(true);
    }

    /// Sends \a bytes and returns what was received when it ends with \a terminator, the connection
    /// closes or a time limit is over.
    std::string exchange(const std::string &bytes, const std::string &terminator)
    {
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string received;
        for (int n = 0;
             n < 400 && !(received.size() >= terminator.size() && received.ends_with(terminator));
             ++n) {
            io.run_for(base::Millis(5));
            std::array<char, 4096> buf{};
            boost::system::error_code ec;
            const auto size = socket.read_some(boost::asio::buffer(buf), ec);
            received.append(buf.data(), size);
            if (ec == boost::asio::error::eof || ec == boost::asio::error::connection_reset) {
                end = ec;
                return received;
            }
        }
        return received;
    }

    boost::asio::io_context io;
    EchoHandler echo;
    Server server;
    base::Endpoint address;
    boost::asio::ip::tcp::socket socket;
    boost::system::error_code end; ///< How the connection ended, if it did.
};

} // namespace hyssop::gateway
