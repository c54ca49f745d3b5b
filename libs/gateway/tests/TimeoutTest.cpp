// Timeouts of callers' connections.

#include "ServerFixture.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace hyssop;
using namespace hyssop::gateway;
using base::Millis;
using boost::asio::ip::tcp;

namespace {

const std::string kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kEndOfResponse = "\r\n\r\nGET ";

void setIdleTimeout(Server &server, Millis timeout)
{
    ServerLimits limits;
    limits.idleTimeout = timeout;
    server.setLimits(limits);
}

/// Runs the loop until the server has closed all its connections.
bool runUntilClosed(ServerFixture &fixture)
{
    for (int n = 0; n < 400 && fixture.server.connectionCount() > 0; ++n)
        fixture.io.run_for(Millis(5));
    return fixture.server.connectionCount() == 0;
}

/// What a caller reads next without waiting.
boost::system::error_code readEnd(tcp::socket &socket)
{
    std::array<char, 4096> buf{};
    boost::system::error_code ec;
    socket.read_some(boost::asio::buffer(buf), ec);
    return ec;
}

} // namespace

TEST_CASE("a shorter idle timeout does not close a connection that its caller may still reuse")
{
    ServerFixture fixture;
    setIdleTimeout(fixture.server, Millis(1'500));
    REQUIRE(fixture.exchange(kRequest, kEndOfResponse).ends_with(kEndOfResponse));
    setIdleTimeout(fixture.server, Millis(50));
    fixture.io.run_for(Millis(1'000));
    CHECK(fixture.exchange(kRequest, kEndOfResponse).ends_with(kEndOfResponse));
    // It became idle under the shorter one now.
    fixture.io.run_for(Millis(1'600));
    CHECK(fixture.server.connectionCount() == 0);
}

TEST_CASE("a longer idle timeout applies to connections that are idle")
{
    ServerFixture fixture;
    setIdleTimeout(fixture.server, Millis(200));
    REQUIRE(fixture.exchange(kRequest, kEndOfResponse).ends_with(kEndOfResponse));
    setIdleTimeout(fixture.server, Millis(5'000));
    fixture.io.run_for(Millis(1'000));
    CHECK(fixture.exchange(kRequest, kEndOfResponse).ends_with(kEndOfResponse));
}

TEST_CASE("a request that crosses the close of an idle connection is not read")
{
    ServerFixture fixture;
    setIdleTimeout(fixture.server, Millis(50));
    REQUIRE(fixture.exchange(kRequest, kEndOfResponse).ends_with(kEndOfResponse));
    boost::system::error_code end = boost::asio::error::would_block;
    for (int n = 0; n < 400 && end == boost::asio::error::would_block; ++n) {
        fixture.io.run_for(Millis(5));
        end = readEnd(fixture.socket);
    }
    REQUIRE(end == boost::asio::error::eof);
    boost::asio::write(fixture.socket, boost::asio::buffer(kRequest));
    fixture.io.run_for(Millis(20));
    boost::asio::write(fixture.socket, boost::asio::buffer(kRequest), end);
    // The reset tells the caller that nobody read it.
    CHECK((end == boost::asio::error::broken_pipe || end == boost::asio::error::connection_reset));
    CHECK(fixture.server.connectionCount() == 0);
}

TEST_CASE("requests that arrived while the host stood still are served, whatever the time since")
{
    // More than the loop learns of in one turn.
    constexpr int kCallers = 300;
    const bool hasBegun = GENERATE(false, true);
    CAPTURE(hasBegun);
    ServerFixture fixture;
    ServerLimits limits;
    limits.idleTimeout = Millis(400);
    limits.headerTimeout = Millis(400);
    fixture.server.setLimits(limits);
    std::vector<tcp::socket> callers;
    for (int n = 0; n < kCallers; ++n) {
        callers.emplace_back(fixture.io);
        callers.back().connect(
                {boost::asio::ip::make_address(fixture.address.address), fixture.address.port});
    }
    const std::size_t split = hasBegun ? 10 : 0;
    for (tcp::socket &it : callers)
        boost::asio::write(it, boost::asio::buffer(kRequest.substr(0, split)));
    fixture.io.run_for(Millis(50));
    REQUIRE(fixture.server.connectionCount() == kCallers + 1);
    // The timer of the server is due before the requests arrive.
    std::this_thread::sleep_for(Millis(300));
    for (tcp::socket &it : callers)
        boost::asio::write(it, boost::asio::buffer(kRequest.substr(split)));
    std::this_thread::sleep_for(Millis(400));
    fixture.io.run_for(Millis(100));
    CHECK(fixture.server.stats().answered == kCallers);
    CHECK(fixture.echo.rejectedStatus == 0);
}

TEST_CASE("a caller that is slow to take its last response gets all of it")
{
    ServerFixture fixture;
    fixture.socket.set_option(boost::asio::socket_base::receive_buffer_size(65'536));
    boost::asio::write(fixture.socket,
                       boost::asio::buffer(std::string(
                               "GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
    std::size_t received = 0;
    std::vector<char> buf(std::size_t(64) << 10);
    boost::system::error_code ec;
    for (const std::size_t goal : {kLargeBytes / 2, 2 * kLargeBytes}) {
        // The server lingers for a shorter time once all is sent.
        fixture.io.run_for(Millis(1'500));
        const base::TimePoint until = base::monotonicNow() + Millis(10'000);
        while (received < goal && ec != boost::asio::error::eof && base::monotonicNow() < until) {
            received += fixture.socket.read_some(boost::asio::buffer(buf), ec);
            if (ec == boost::asio::error::would_block)
                fixture.io.run_for(Millis(1));
        }
    }
    CHECK(ec == boost::asio::error::eof);
    CHECK(received > kLargeBytes);
}

TEST_CASE("a caller that takes nothing of its response does not keep its connection for ever")
{
    ServerFixture fixture;
    const std::string last = GENERATE("", "Connection: close\r\n");
    CAPTURE(last);
    setIdleTimeout(fixture.server, Millis(300));
    boost::asio::write(fixture.socket,
                       boost::asio::buffer("GET /large HTTP/1.1\r\nHost: h\r\n" + last + "\r\n"));
    fixture.io.run_for(Millis(200));
    REQUIRE(fixture.server.connectionCount() == 1);
    CHECK(runUntilClosed(fixture));
}
