// Upstreams that send bytes without end until the connection is closed.

#include "gateway/Gateway.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::gateway;
using boost::asio::ip::tcp;

namespace {

/// More than any head or discarded answer may have, and what the sockets hold.
constexpr std::size_t kMaxSentBytes = std::size_t(8) << 20;

class Recorder final : public ResponseHandler
{
public:
    void onHead(CallId, const ResponseHead &) override { hasHead = true; }
    void onBody(CallId, std::string_view data) override { bodyBytes += data.size(); }
    void onEnd(CallId) override { isComplete = true; }
    void onFailed(CallId, const CallError &failed) override { error = failed; }

    bool hasHead = false;
    bool isComplete = false;
    std::size_t bodyBytes = 0;
    std::optional<CallError> error;
};

/// An upstream for one connection that sends \a start and then \a repeated for ever.
class EndlessUpstream
{
public:
    EndlessUpstream(boost::asio::io_context *io, const std::string &start,
                    const std::string &repeated)
        : m_acceptor(*io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_socket(*io)
        , m_next(start)
    {
        while (m_repeated.size() < 64'000)
            m_repeated += repeated;
        m_acceptor.async_accept(m_socket, [this](boost::system::error_code ec) {
            if (!ec)
                send();
        });
    }
    base::Endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    std::size_t sentBytes = 0;
    bool isClosed = false;

private:
    void send()
    {
        boost::asio::async_write(m_socket, boost::asio::buffer(m_next),
                                 [this](boost::system::error_code ec, std::size_t n) {
                                     sentBytes += n;
                                     isClosed = static_cast<bool>(ec);
                                     if (ec || sentBytes > 4 * kMaxSentBytes)
                                         return;
                                     m_next = m_repeated;
                                     send();
                                 });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::string m_next;
    std::string m_repeated;
};

void checkIsClosed(const std::string &start, const std::string &repeated)
{
    boost::asio::io_context io;
    EndlessUpstream upstream(&io, start, repeated);
    Recorder recorder;
    Client client(&io, &recorder);
    Call call;
    call.upstream = base::UpstreamId("u");
    call.to = upstream.address();
    call.head = {"POST", "/a", {{"Host", "h"}, {"Request-Id", "1"}}};
    call.body = std::make_shared<const std::string>("body");
    call.echoFieldName = "Request-Id";
    client.start(call);
    for (int n = 0; n < 2'000 && !upstream.isClosed && upstream.sentBytes < 4 * kMaxSentBytes;
         ++n) {
        io.restart();
        io.run_for(base::Millis(5));
    }
    CHECK(upstream.isClosed);
    CHECK(upstream.sentBytes <= kMaxSentBytes);
    REQUIRE(recorder.error);
    CHECK(recorder.error->failure == CallFailure::InvalidResponse);
    CHECK_FALSE(recorder.isComplete);
}

} // namespace

TEST_CASE("a status line without end is closed")
{
    checkIsClosed("HTTP/1.1 200 ", "x");
}

TEST_CASE("a header field without end is closed")
{
    checkIsClosed("HTTP/1.1 200 OK\r\nA: ", "x");
}

TEST_CASE("header fields without end are closed")
{
    checkIsClosed("HTTP/1.1 200 OK\r\n", "A: b\r\n");
}

TEST_CASE("interim responses without end are closed")
{
    checkIsClosed("", "HTTP/1.1 103 Early Hints\r\n\r\n");
}

TEST_CASE("a response to another request whose body never ends is closed")
{
    checkIsClosed("HTTP/1.1 200 OK\r\nRequest-Id: 0\r\n\r\n", "x");
}

TEST_CASE("responses to other requests without end are closed")
{
    checkIsClosed("", "HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nContent-Length: 3\r\n\r\nabc");
}

TEST_CASE("a chunk size without end is closed")
{
    checkIsClosed("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;a=",
                  "x");
}

TEST_CASE("trailer fields without end are closed")
{
    checkIsClosed("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                  "A: b\r\n");
}
