// Timeouts of callers' connections.

#include "ServerFixture.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::gateway;
using base::Millis;

namespace {

const std::string kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kEndOfResponse = "\r\n\r\nGET ";

void setIdleTimeout(Server &server, Millis timeout)
{
    ServerLimits limits;
    limits.idleTimeout = timeout;
    server.setLimits(limits);
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
