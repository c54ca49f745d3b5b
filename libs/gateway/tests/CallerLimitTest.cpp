// What callers get whose requests are given up, or whose bodies are not needed.

#include "ServerFixture.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::gateway;

namespace {

/// Needs the body of no request to /early.
class EarlyHandler final : public CallerHandler
{
public:
    bool wantsBody(const RequestHead &head) override { return head.target != "/early"; }
    void onRequest(const std::shared_ptr<Exchange> &exchange) override
    {
        isBodySkipped = exchange->isBodySkipped();
        bodyBytes = exchange->body().size();
        exchange->respond(404, {}, "");
    }
    void onCallerDisconnected(Exchange &) override { }
    void onDrained(Exchange &) override { }
    void onRejected(int status, std::string_view) override { rejectedStatus = status; }

    bool isBodySkipped = false;
    std::size_t bodyBytes = 0;
    int rejectedStatus = 0;
};

/// A server with limits that runs on the thread of the test, and its callers.
class LimitedServer
{
public:
    explicit LimitedServer(CallerLimits limits)
        : resources(std::make_shared<CallerResources>(limits))
        , server(&io, &handler, resources)
        , address(*server.listen({"127.0.0.1", 0}))
    { }

    boost::asio::ip::tcp::socket connect()
    {
        boost::asio::ip::tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address(address.address), address.port});
        socket.non_blocking(true);
        io.run_for(base::Millis(10));
        return socket;
    }

    void send(boost::asio::ip::tcp::socket &socket, const std::string &bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
        io.run_for(base::Millis(20));
    }

    /// What has arrived, with "END" where the connection ended.
    std::string received(boost::asio::ip::tcp::socket &socket)
    {
        io.run_for(base::Millis(20));
        std::array<char, 4096> buf{};
        boost::system::error_code ec;
        const std::size_t n = socket.read_some(boost::asio::buffer(buf), ec);
        const bool isEnd = ec && ec != boost::asio::error::would_block;
        return std::string(buf.data(), n) + (isEnd ? "END" : "");
    }

    boost::asio::io_context io;
    EarlyHandler handler;
    std::shared_ptr<CallerResources> resources;
    Server server;
    base::Endpoint address;
};

std::string unfinished(const std::string &target, std::size_t bytes)
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bytes + 1)
           + "\r\n\r\n" + std::string(bytes, 'x');
}

} // namespace

// Guards against bodies being kept that nobody needs.
TEST_CASE("a request whose body is not needed is answered before it has arrived")
{
    LimitedServer limited({});
    auto caller = limited.connect();
    limited.send(caller, unfinished("/early", 9'000));
    const std::string response = limited.received(caller);
    CHECK(response.starts_with("HTTP/1.1 404"));
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(limited.handler.isBodySkipped);
    CHECK(limited.handler.bodyBytes == 0);
    CHECK(limited.resources->account().bytes() < 20'000);
}

// Guards against a request that had arrived whole being treated as one without its body.
TEST_CASE("a body that has arrived with its head is delivered in any case")
{
    LimitedServer limited({});
    auto caller = limited.connect();
    limited.send(caller, "POST /early HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab");
    const std::string response = limited.received(caller);
    CHECK(response.starts_with("HTTP/1.1 404"));
    CHECK(response.find("Connection: close") == std::string::npos);
    CHECK_FALSE(limited.handler.isBodySkipped);
    CHECK(limited.handler.bodyBytes == 2);
}

// Guards against unfinished bodies of several callers exceeding the memory.
TEST_CASE("the largest unfinished request gets 503 above the memory limit")
{
    LimitedServer limited({base::Bytes(200'000), 0, base::Millis(60'000)});
    auto small = limited.connect();
    auto large = limited.connect();
    limited.send(small, unfinished("/late", 60'000));
    CHECK(limited.received(small).empty());
    limited.send(large, unfinished("/late", 150'000));
    CHECK(limited.received(large).starts_with("HTTP/1.1 503"));
    CHECK(limited.handler.rejectedStatus == 503);
    CHECK(limited.received(small).empty());
    CHECK(limited.resources->shedCount(ShedReason::Unfinished) == 1);
    limited.send(small, "x");
    CHECK(limited.received(small).starts_with("HTTP/1.1 404"));
    CHECK(limited.handler.bodyBytes == 60'001);
}

// Guards against silent connections that keep new callers out.
TEST_CASE("a new caller takes the place of the one that is silent")
{
    LimitedServer limited({base::Bytes(0), 2, base::Millis(60'000)});
    auto silent = limited.connect();
    auto second = limited.connect();
    auto third = limited.connect();
    CHECK(limited.received(silent) == "END");
    limited.send(third, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(limited.received(third).starts_with("HTTP/1.1 404"));
    CHECK(limited.received(second).empty());
    CHECK(limited.resources->account().connectionCount() == 2);
}

// Guards against an account that grows with each connection that ended.
TEST_CASE("the account is empty after all connections have ended")
{
    LimitedServer limited({base::Bytes(1'000'000), 10, base::Millis(1'000)});
    {
        auto caller = limited.connect();
        limited.send(caller, unfinished("/late", 100'000));
        CHECK(limited.resources->account().bytes() > 100'000);
    }
    limited.io.run_for(base::Millis(20));
    CHECK(limited.resources->account().bytes() == 0);
    CHECK(limited.resources->account().connectionCount() == 0);
}
