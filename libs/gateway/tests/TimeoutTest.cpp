// Timeouts of callers' connections.

#include "ServerFixture.h"

#include <catch2/catch.hpp>

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
