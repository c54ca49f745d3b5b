#include "ServerFixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace hyssop;
using namespace hyssop::gateway;
using boost::asio::ip::tcp;

namespace {

/// Records the events of calls.
class ResponseRecorder final : public ResponseHandler
{
public:
    void onHead(CallId, const ResponseHead &head) override { status = head.status; }
    void onBody(CallId, std::string_view data) override { body += data; }
    void onEnd(CallId) override { ++completedCount; }
    void onFailed(CallId, const CallError &callError) override { error = callError; }
    bool hasEnded() const { return completedCount > 0 || error; }
    void reset() { *this = ResponseRecorder(); }

    int status = 0;
    std::string body;
    int completedCount = 0;
    std::optional<CallError> error;
};

/// An upstream for one connection that sends the given responses one by one, each when data has
/// arrived. It can close the connection after the last.
class Upstream
{
public:
    Upstream(boost::asio::io_context *io, std::vector<std::string> responses, bool closesAfterLast)
        : m_acceptor(*io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_socket(*io)
        , m_responses(std::move(responses))
        , m_closesAfterLast(closesAfterLast)
    {
        m_acceptor.async_accept(m_socket, [this](boost::system::error_code ec) {
            ++connections;
            if (!ec)
                respondNext();
        });
    }
    base::Endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    int connections = 0;
    std::string received;

private:
    void respondNext()
    {
        m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
                                 [this](boost::system::error_code ec, std::size_t n) {
                                     if (ec || m_responses.empty())
                                         return;
                                     received.append(m_readBuffer.data(), n);
                                     const std::string response = m_responses.front();
                                     m_responses.erase(m_responses.begin());
                                     boost::asio::write(m_socket, boost::asio::buffer(response));
                                     if (m_closesAfterLast && m_responses.empty())
                                         m_socket.close();
                                     else
                                         respondNext();
                                 });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::vector<std::string> m_responses;
    bool m_closesAfterLast;
    std::array<char, 4096> m_readBuffer{};
};

Call callTo(const Upstream &upstream, const std::string &id)
{
    Call call;
    call.upstream = base::UpstreamId("u");
    call.to = upstream.address();
    call.head = {"POST", "/a", {{"Host", "h"}, {"Request-Id", id}}};
    call.body = std::make_shared<const std::string>("body");
    call.echoFieldName = "Request-Id";
    return call;
}

void runUntilEnded(boost::asio::io_context &io, const ResponseRecorder &recorder)
{
    for (int n = 0; n < 400 && !recorder.hasEnded(); ++n) {
        // An io_context that has run out of work stays stopped until restart().
        io.restart();
        io.run_for(base::Millis(5));
    }
}

std::string responseText(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("hop-by-hop fields are not forwarded")
{
    const Fields fields{{"Host", "a"},       {"Connection", "close, X-Hop"},
                        {"x-hop", "1"},      {"Transfer-Encoding", "chunked"},
                        {"Keep-Alive", "5"}, {"X-End", "2"}};
    const Fields kept = endToEndFields(fields);
    REQUIRE(kept.size() == 2);
    CHECK(kept[0].name == "Host");
    CHECK(kept[1].name == "X-End");
}

TEST_CASE("pipelined requests with a length or in chunks are handled in order")
{
    ServerFixture fixture;
    const std::string received =
            fixture.exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
                             "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n",
                             "POST def");
    CHECK(received.find("POST abc") != std::string::npos);
    CHECK(received.ends_with("POST def"));
}

TEST_CASE("a streamed response is sent in chunks and ends with the last chunk")
{
    ServerFixture fixture;
    const std::string received =
            fixture.exchange("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n", "0\r\n\r\n");
    CHECK(received.find("Transfer-Encoding: chunked") != std::string::npos);
    CHECK(received.ends_with("3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"));
}

TEST_CASE("a caller of HTTP/1.0 gets a stream without chunks that ends with its connection")
{
    ServerFixture fixture;
    const std::string received = fixture.exchange(
            "GET /stream HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", "never");
    CHECK(received.find("Transfer-Encoding") == std::string::npos);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.ends_with("\r\n\r\nonetwo"));
    CHECK(fixture.end == boost::asio::error::eof);
}

TEST_CASE("a stream that breaks off does not look complete to its caller")
{
    ServerFixture old;
    old.exchange("GET /broken HTTP/1.0\r\nHost: h\r\n\r\n", "never");
    CHECK(old.end == boost::asio::error::connection_reset);
    ServerFixture fixture;
    const std::string received =
            fixture.exchange("GET /broken HTTP/1.1\r\nHost: h\r\n\r\n", "never");
    CHECK_FALSE(received.ends_with("0\r\n\r\n"));
    CHECK(fixture.end);
}

TEST_CASE("a request with conflicting lengths is rejected and what follows is not parsed")
{
    ServerFixture fixture;
    const std::string received = fixture.exchange(
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: "
            "chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
            "never");
    CHECK(received.starts_with("HTTP/1.1 400"));
    CHECK(received.find("X-Echo") == std::string::npos);
    CHECK(fixture.echo.rejectedStatus == 400);
}

TEST_CASE("headers and bodies above the limits are rejected with status 431 and 413")
{
    ServerFixture headers;
    CHECK(headers.exchange("GET /a HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
                           "never")
                  .starts_with("HTTP/1.1 431"));
    ServerFixture bodies;
    ServerLimits limits;
    limits.maxBodyBytes = 10;
    bodies.server.setLimits(limits);
    CHECK(bodies.exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", "never")
                  .starts_with("HTTP/1.1 413"));
}

TEST_CASE("a caller that sends its headers too slowly gets status 408")
{
    ServerFixture fixture;
    ServerLimits limits;
    limits.headerTimeout = base::Millis(100);
    fixture.server.setLimits(limits);
    CHECK(fixture.exchange("GET /a HTTP/1.1\r\n", "never").starts_with("HTTP/1.1 408"));
}

TEST_CASE("a disconnect is detected while the request is handled")
{
    ServerFixture fixture;
    boost::asio::write(fixture.socket,
                       boost::asio::buffer(std::string("GET /hang HTTP/1.1\r\nHost: h\r\n\r\n")));
    fixture.io.run_for(base::Millis(50));
    CHECK(fixture.echo.disconnectCount == 0);
    fixture.socket.close();
    fixture.io.run_for(base::Millis(50));
    CHECK(fixture.echo.disconnectCount == 1);
}

TEST_CASE("a request that its handler forgets does not leave its caller waiting")
{
    ServerFixture fixture;
    const std::string received =
            fixture.exchange("GET /dropped HTTP/1.1\r\nHost: h\r\n\r\n", "never");
    CHECK(received.starts_with("HTTP/1.1 502"));
    CHECK(fixture.end == boost::asio::error::eof);
    CHECK(fixture.server.stats().abandoned == 1);
    CHECK(fixture.server.stats().open() == 0);
}

TEST_CASE("an exchange may outlive its server")
{
    auto fixture = std::make_unique<ServerFixture>();
    boost::asio::write(fixture->socket,
                       boost::asio::buffer(std::string("GET /hang HTTP/1.1\r\nHost: h\r\n\r\n")));
    fixture->io.run_for(base::Millis(50));
    const std::shared_ptr<Exchange> exchange = fixture->echo.lastUnanswered();
    REQUIRE(exchange);
    fixture.reset();
    exchange->respond(200, {}, "late");
}

TEST_CASE("a response that begins anew in the midst of a streamed one breaks it off")
{
    ServerFixture fixture;
    const std::string received =
            fixture.exchange("GET /twice HTTP/1.1\r\nHost: h\r\n\r\n", "never");
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK_FALSE(received.ends_with("0\r\n\r\n"));
    CHECK(fixture.end == boost::asio::error::eof);
    CHECK(fixture.server.stats().abandoned == 1);
    CHECK(fixture.server.stats().open() == 0);
}

TEST_CASE("each request that was read whole is counted with its end")
{
    ServerFixture fixture;
    fixture.exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET ");
    fixture.exchange("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n", "0\r\n\r\n");
    CHECK(fixture.server.stats().answered == 2);
    boost::asio::write(fixture.socket,
                       boost::asio::buffer(std::string("GET /hang HTTP/1.1\r\nHost: h\r\n\r\n")));
    fixture.io.run_for(base::Millis(50));
    CHECK(fixture.server.stats().open() == 1);
    fixture.socket.close();
    fixture.io.run_for(base::Millis(50));
    CHECK(fixture.server.stats().disconnected == 1);
    ServerFixture broken;
    broken.exchange("GET /broken HTTP/1.1\r\nHost: h\r\n\r\n", "never");
    CHECK(broken.server.stats().brokenOff == 1);
    for (const ServerFixture *it : {&fixture, &broken})
        CHECK(it->server.stats().open() == 0);
}

TEST_CASE("responses carry Connection: close once a close is announced")
{
    ServerFixture fixture;
    fixture.server.announceClose();
    const std::string received = fixture.exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "never");
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.ends_with("GET "));
}

TEST_CASE("the connection of a completed call is reused for the next call")
{
    boost::asio::io_context io;
    Upstream upstream(&io, {responseText("1", "first"), responseText("2", "second")}, false);
    ResponseRecorder first;
    Client client(&io, &first);
    client.start(callTo(upstream, "1"));
    runUntilEnded(io, first);
    CHECK(first.body == "first");
    client.start(callTo(upstream, "2"));
    for (int n = 0; n < 400 && first.completedCount < 2; ++n)
        io.run_for(base::Millis(5));
    CHECK(first.body == "firstsecond");
    CHECK(upstream.connections == 1);
    CHECK(client.stats().reuses == 1);
    CHECK(upstream.received.find("Content-Length: 4\r\n\r\nbody") != std::string::npos);
}

TEST_CASE("a late response to an earlier request is dropped")
{
    boost::asio::io_context io;
    Upstream upstream(&io, {responseText("0", "stray") + responseText("1", "own")}, false);
    ResponseRecorder recorder;
    Client client(&io, &recorder);
    client.start(callTo(upstream, "1"));
    runUntilEnded(io, recorder);
    CHECK(recorder.body == "own");
    CHECK(client.stats().strayResponses == 1);
}

TEST_CASE("a response without an id on a kept connection is not taken for that of the next call")
{
    // A faulty upstream sends additional bytes after a complete response. Their Not-Executed does
    // not belong to the next request, which runs; taken for its answer, it would run twice.
    const std::string unidentified =
            "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string emptyId =
            "HTTP/1.1 400 Bad Request\r\nRequest-Id:\r\nContent-Length: 0\r\n\r\n";
    for (const std::string &extra : {unidentified, emptyId}) {
        boost::asio::io_context io;
        Upstream upstream(&io, {responseText("1", "first"), extra + responseText("2", "own")},
                          false);
        ResponseRecorder recorder;
        Client client(&io, &recorder);
        client.start(callTo(upstream, "1"));
        runUntilEnded(io, recorder);
        REQUIRE(recorder.completedCount == 1);
        recorder.reset();
        client.start(callTo(upstream, "2"));
        runUntilEnded(io, recorder);
        CHECK(client.stats().reuses == 1);
        CHECK(recorder.status == 0);
        CHECK(recorder.completedCount == 0);
        REQUIRE(recorder.error);
        CHECK(recorder.error->wasSent);
        CHECK(recorder.error->failure == CallFailure::UnidentifiedResponse);
        CHECK(client.stats().strayResponses == 1);
        CHECK(client.stats().unidentifiedResponses == 1);
    }
}

TEST_CASE("a response without an id on a new connection is not taken for that of its call")
{
    boost::asio::io_context io;
    Upstream upstream(&io, {"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
                      false);
    ResponseRecorder recorder;
    Client client(&io, &recorder);
    client.start(callTo(upstream, "1"));
    runUntilEnded(io, recorder);
    CHECK(recorder.status == 0);
    CHECK(recorder.error);
}

TEST_CASE("responses need no id where the protocol echoes none")
{
    boost::asio::io_context io;
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
    Upstream upstream(&io, {response, response}, false);
    ResponseRecorder recorder;
    Client client(&io, &recorder);
    for (int n = 1; n <= 2; ++n) {
        Call call = callTo(upstream, "1");
        call.echoFieldName.clear();
        client.start(call);
        for (int k = 0; k < 400 && recorder.completedCount < n; ++k) {
            io.restart();
            io.run_for(base::Millis(5));
        }
    }
    CHECK(recorder.body == "ownown");
    CHECK(client.stats().reuses == 1);
}

TEST_CASE("a connection that carried a response to another request is not used again")
{
    boost::asio::io_context io;
    Upstream upstream(&io, {responseText("0", "stray") + responseText("1", "own")}, false);
    ResponseRecorder recorder;
    Client client(&io, &recorder);
    client.start(callTo(upstream, "1"));
    runUntilEnded(io, recorder);
    REQUIRE(recorder.body == "own");
    client.start(callTo(upstream, "2"));
    CHECK(client.stats().reuses == 0);
}

TEST_CASE("a late response to a request with an id is not taken for that of one without")
{
    boost::asio::io_context io;
    Upstream upstream(
            &io,
            {responseText("0", "stray") + "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"},
            false);
    ResponseRecorder recorder;
    Client client(&io, &recorder);
    Call order = callTo(upstream, "");
    std::erase_if(order.head.fields, [](const Field &it) { return it.name == "Request-Id"; });
    client.start(order);
    runUntilEnded(io, recorder);
    CHECK(recorder.status == 409);
    CHECK(recorder.body.empty());
    CHECK(client.stats().strayResponses == 1);
}

TEST_CASE("a truncated response is a failure, one framed by the end of the connection is complete")
{
    boost::asio::io_context io;
    Upstream truncated(&io, {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nabc"},
                       true);
    ResponseRecorder first;
    Client client(&io, &first);
    client.start(callTo(truncated, "1"));
    runUntilEnded(io, first);
    REQUIRE(first.error);
    CHECK(first.error->failure == CallFailure::ResponseTruncated);
    Upstream unframed(&io, {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nabc"}, true);
    ResponseRecorder second;
    Client other(&io, &second);
    other.start(callTo(unframed, "1"));
    runUntilEnded(io, second);
    CHECK(second.completedCount == 1);
    CHECK(second.body == "abc");
}

TEST_CASE("an invalid response, a closed connection and a failed connect are distinct failures")
{
    boost::asio::io_context io;
    Upstream garbage(&io, {"no answer at all\r\n\r\n"}, false);
    ResponseRecorder first;
    Client client(&io, &first);
    client.start(callTo(garbage, "1"));
    runUntilEnded(io, first);
    REQUIRE(first.error);
    CHECK(first.error->failure == CallFailure::InvalidResponse);
    Upstream closing(&io, {""}, true);
    ResponseRecorder second;
    Client other(&io, &second);
    other.start(callTo(closing, "1"));
    runUntilEnded(io, second);
    REQUIRE(second.error);
    CHECK(second.error->failure == CallFailure::ConnectionClosed);
    CHECK(second.error->wasSent);
    // No process listens on port 1.
    Call unreachable = callTo(closing, "1");
    unreachable.upstream = base::UpstreamId("v");
    unreachable.to.port = 1;
    ResponseRecorder third;
    Client last(&io, &third);
    last.start(unreachable);
    runUntilEnded(io, third);
    REQUIRE(third.error);
    CHECK(third.error->failure == CallFailure::ConnectFailed);
    CHECK_FALSE(third.error->wasSent);
}

TEST_CASE("a call fails when its response does not end within the timeout")
{
    boost::asio::io_context io;
    Upstream silent(&io, {}, false);
    ResponseRecorder first;
    Client client(&io, &first);
    Call call = callTo(silent, "1");
    call.responseTimeout = base::Millis(50);
    client.start(call);
    runUntilEnded(io, first);
    REQUIRE(first.error);
    CHECK(first.error->failure == CallFailure::ResponseTimeout);
    CHECK(first.error->wasSent);

    Upstream stalling(&io, {"HTTP/1.1 503 No\r\nRequest-Id: 2\r\nContent-Length: 9\r\n\r\nabc"},
                      false);
    ResponseRecorder second;
    Client other(&io, &second);
    const CallId id = other.start(callTo(stalling, "2"));
    for (int n = 0; n < 400 && second.status == 0; ++n) {
        io.restart();
        io.run_for(base::Millis(5));
    }
    REQUIRE(second.status == 503);
    other.setResponseTimeout(id, base::Millis(50));
    runUntilEnded(io, second);
    REQUIRE(second.error);
    CHECK(second.error->failure == CallFailure::ResponseTimeout);
}

TEST_CASE("the timeout of a completed call does not affect the next call on its connection")
{
    boost::asio::io_context io;
    Upstream upstream(&io, {responseText("1", "a")}, false);
    ResponseRecorder first;
    Client client(&io, &first);
    Call call = callTo(upstream, "1");
    call.responseTimeout = base::Millis(60);
    client.start(call);
    runUntilEnded(io, first);
    REQUIRE(first.completedCount == 1);
    client.start(callTo(upstream, "2"));
    CHECK(client.stats().reuses == 1);
    io.restart();
    io.run_for(base::Millis(150));
    CHECK_FALSE(first.error);
}

TEST_CASE("calls that may not reuse a connection do not leave more idle ones than allowed")
{
    boost::asio::io_context io;
    EchoHandler echo;
    Server server(&io, &echo);
    const base::Endpoint address = *server.listen({"127.0.0.1", 0});
    ResponseRecorder recorder;
    Client client(&io, &recorder);
    for (int n = 0; n < 8; ++n) {
        Call call;
        call.upstream = base::UpstreamId("u");
        call.to = address;
        call.head = {"POST", "/a", {{"Host", "h"}}};
        call.canReuseConnection = false;
        call.maxIdleConnections = 2;
        client.start(std::move(call));
    }
    for (int n = 0; n < 400 && (recorder.completedCount < 8 || server.connectionCount() > 2); ++n) {
        io.restart();
        io.run_for(base::Millis(5));
    }
    CHECK(recorder.completedCount == 8);
    CHECK(server.connectionCount() == 2);
}

TEST_CASE("a probe tells an address where nothing listens from one that accepts connections")
{
    boost::asio::io_context io;
    EchoHandler echo;
    Server server(&io, &echo);
    const base::Endpoint address = *server.listen({"127.0.0.1", 0});
    tcp::acceptor closed(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const base::Endpoint closedAddress{"127.0.0.1", closed.local_endpoint().port()};
    closed.close();
    class : public ResponseHandler
    {
        void onHead(CallId, const ResponseHead &) override { }
        void onBody(CallId, std::string_view) override { }
        void onEnd(CallId) override { }
        void onFailed(CallId, const CallError &) override { }
    } handler;
    auto client = std::make_unique<Client>(&io, &handler);
    std::vector<ProbeResult> results;
    const auto probe = [&](const base::Endpoint &to) {
        const std::size_t before = results.size();
        client->probe(to, base::Millis(400), [&](ProbeResult it) { results.push_back(it); });
        CHECK(results.size() == before);
        for (int n = 0; n < 100 && results.size() == before; ++n)
            io.run_for(base::Millis(10));
    };
    probe(address);
    probe(closedAddress);
    CHECK(results == std::vector<ProbeResult>{ProbeResult::Accepted, ProbeResult::Refused});
    // The owner of a client that is gone is not called.
    client->probe(address, base::Millis(400), [&](ProbeResult it) { results.push_back(it); });
    client.reset();
    io.run_for(base::Millis(100));
    CHECK(results.size() == 2);
}
