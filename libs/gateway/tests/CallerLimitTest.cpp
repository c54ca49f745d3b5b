// What callers get whose requests are given up, or whose bodies are not needed.

#include "ServerFixture.h"

#include <catch2/catch.hpp>

#include <thread>

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
    base::Millis bodyTimeout(const RequestHead &head, base::Millis usual) override
    {
        return head.target == "/long" ? base::Millis(60'000) : usual;
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

/// At least 200 bytes in 300 ms.
CallerLimits rateLimits()
{
    CallerLimits limits;
    limits.progressBytes = base::Bytes(200);
    limits.progressTime = base::Millis(300);
    return limits;
}

/// Sends \a part each 20 ms, \a count times at most, until something is received.
std::string sendSlowly(LimitedServer &limited, boost::asio::ip::tcp::socket &caller,
                       const std::string &part, int count)
{
    std::string response;
    for (int n = 0; n < count && response.empty(); ++n) {
        limited.send(caller, part);
        response = limited.received(caller);
    }
    return response;
}

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

// Guards against a body that arrives byte by byte holding its memory until the time limit of its
// route.
TEST_CASE("a body below the minimum rate gets 408 before its time limit")
{
    LimitedServer limited(rateLimits());
    auto caller = limited.connect();
    const std::string request = unfinished("/late", 100'000);
    limited.send(caller, request.substr(0, request.size() - 1'000));
    CHECK(sendSlowly(limited, caller, "x", 50).starts_with("HTTP/1.1 408"));
    CHECK(limited.handler.rejectedStatus == 408);
    CHECK(limited.resources->shedCount(ShedReason::Slow) == 1);
    CHECK(limited.resources->account().bytes() < 20'000);
}

// Guards against heads that arrive byte by byte where the time limit of heads is long.
TEST_CASE("a head below the minimum rate gets 408 before its time limit")
{
    LimitedServer limited(rateLimits());
    ServerLimits limits;
    limits.headerTimeout = base::Millis(60'000);
    limited.server.setLimits(limits);
    auto caller = limited.connect();
    limited.send(caller, "GET / HTTP/1.1\r\nX: " + std::string(5'000, 'x'));
    CHECK(sendSlowly(limited, caller, "x", 50).starts_with("HTTP/1.1 408"));
    CHECK(limited.resources->shedCount(ShedReason::Slow) == 1);
}

// Guards against callers on slow links being rejected.
TEST_CASE("a body just above the minimum rate arrives whole")
{
    LimitedServer limited(rateLimits());
    auto caller = limited.connect();
    limited.send(caller, "POST /late HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n");
    CHECK(sendSlowly(limited, caller, std::string(50, 'x'), 40).starts_with("HTTP/1.1 404"));
    CHECK(limited.handler.bodyBytes == 2'000);
}

// Guards against the rate being measured by the reads of a host that stood still.
TEST_CASE("a body that arrived while the host stood still is not too slow")
{
    LimitedServer limited(rateLimits());
    auto caller = limited.connect();
    limited.send(caller, unfinished("/late", 100));
    // The timer of the server is due twice before the rest is read.
    std::this_thread::sleep_for(base::Millis(400));
    limited.io.run_for(base::Millis(5));
    boost::asio::write(caller, boost::asio::buffer(std::string("x")));
    std::this_thread::sleep_for(base::Millis(400));
    limited.io.run_for(base::Millis(50));
    CHECK(limited.handler.bodyBytes == 101);
    CHECK(limited.handler.rejectedStatus == 0);
}

// Guards against a legal body on a route with a long time limit being rejected.
TEST_CASE("the time limit of a body is the one that its handler states")
{
    LimitedServer limited({});
    ServerLimits limits;
    limits.bodyTimeout = base::Millis(100);
    limited.server.setLimits(limits);
    auto longer = limited.connect();
    auto usual = limited.connect();
    limited.send(longer, unfinished("/long", 100));
    limited.send(usual, unfinished("/late", 100));
    limited.io.run_for(base::Millis(900));
    CHECK(limited.received(usual).starts_with("HTTP/1.1 408"));
    CHECK(limited.received(longer).empty());
    limited.send(longer, "x");
    CHECK(limited.received(longer).starts_with("HTTP/1.1 404"));
}
