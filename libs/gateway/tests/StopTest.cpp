// A server that stops while callers send requests.

#include "ServerFixture.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::gateway;
using base::Millis;
using boost::asio::ip::tcp;

namespace {

const std::string kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

std::vector<tcp::socket> connect(ServerFixture &fixture, int count)
{
    std::vector<tcp::socket> callers;
    for (int n = 0; n < count; ++n) {
        callers.emplace_back(fixture.io);
        callers.back().connect(
                {boost::asio::ip::make_address(fixture.address.address), fixture.address.port});
    }
    return callers;
}

void send(tcp::socket &socket, const std::string &bytes)
{
    boost::asio::write(socket, boost::asio::buffer(bytes));
}

void closeIdleFor(ServerFixture &fixture, Millis duration)
{
    const base::TimePoint until = base::monotonicNow() + duration;
    while (base::monotonicNow() < until) {
        fixture.server.closeIdle();
        fixture.io.run_for(Millis(20));
    }
}

} // namespace

TEST_CASE("a server that stops serves the requests of connections that it has not accepted yet")
{
    constexpr int kCallers = 100;
    ServerFixture fixture;
    std::vector<tcp::socket> callers = connect(fixture, kCallers);
    for (tcp::socket &it : callers)
        send(it, kRequest);
    fixture.server.announceClose();
    fixture.server.stopListening();
    closeIdleFor(fixture, Millis(200));
    CHECK(fixture.server.stats().answered == kCallers);
    tcp::socket late(fixture.io);
    boost::system::error_code ec;
    late.connect({boost::asio::ip::make_address(fixture.address.address), fixture.address.port},
                 ec);
    CHECK(ec == boost::asio::error::connection_refused);
}

TEST_CASE("a server that stops serves what has arrived and closes what is idle")
{
    ServerFixture fixture;
    std::vector<tcp::socket> callers = connect(fixture, 3);
    tcp::socket &silent = callers[0];
    tcp::socket &slow = callers[1];
    tcp::socket &quick = callers[2];
    send(slow, kRequest.substr(0, 10));
    fixture.io.run_for(Millis(50));
    REQUIRE(fixture.server.connectionCount() == 4);
    send(quick, kRequest);
    fixture.server.announceClose();
    fixture.server.stopListening();
    closeIdleFor(fixture, Millis(100));
    CHECK(fixture.server.stats().answered == 1);
    std::array<char, 4096> buf{};
    boost::system::error_code ec;
    silent.read_some(boost::asio::buffer(buf), ec);
    CHECK(ec == boost::asio::error::eof);
    send(slow, kRequest.substr(10));
    closeIdleFor(fixture, Millis(100));
    CHECK(fixture.server.stats().answered == 2);
    for (tcp::socket *it : {&quick, &slow}) {
        const std::size_t n = it->read_some(boost::asio::buffer(buf), ec);
        const std::string_view response(buf.data(), n);
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK(response.find("Connection: close") != std::string_view::npos);
        it->close();
    }
    closeIdleFor(fixture, Millis(50));
    CHECK(fixture.server.connectionCount() == 0);
}

TEST_CASE("a server that stops does not close a connection whose request arrived during a pause")
{
    constexpr int kCallers = 300;
    ServerFixture fixture;
    std::vector<tcp::socket> callers = connect(fixture, kCallers);
    fixture.io.run_for(Millis(50));
    fixture.server.closeIdle();
    for (tcp::socket &it : callers)
        send(it, kRequest);
    fixture.server.closeIdle();
    fixture.io.run_for(Millis(100));
    CHECK(fixture.server.stats().answered == kCallers);
}
