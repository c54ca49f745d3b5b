#include "UpstreamConnection.h"

#include <boost/asio/write.hpp>

#include <charconv>
#include <netinet/tcp.h>

namespace hyssop::gateway {

namespace {

using boost::asio::ip::tcp;

/// Time after which a connection with unacknowledged data fails. Without it a peer that no longer
/// responds would keep the connection open.
constexpr int kTcpUserTimeoutMs = 5'000;
/// Limit on bytes in succession that add nothing to the response: interim responses, those to other
/// requests, chunk extensions and trailer fields.
constexpr std::size_t kMaxUndeliveredBytes = std::size_t(1) << 20;

/// Returns the timeout in a field "Keep-Alive: timeout=N", with N in seconds, or nothing.
std::optional<base::Millis> announcedKeepAlive(const Fields &fields)
{
    const auto value = fieldValue(fields, "keep-alive");
    if (!value)
        return std::nullopt;
    const auto position = value->find("timeout=");
    if (position == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = value->substr(position + 8);
    int seconds = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (ec != std::errc() || end == digits.data())
        return std::nullopt;
    return base::Millis(seconds * 1'000);
}

} // namespace

UpstreamConnection::UpstreamConnection(std::shared_ptr<Client::Shared> client,
                                       base::UpstreamId upstream)
    : m_client(std::move(client))
    , m_upstream(std::move(upstream))
    , m_socket(*m_client->io)
    , m_connectTimer(*m_client->io)
    , m_responseTimer(*m_client->io)
{ }

void UpstreamConnection::connect(CallId id, Call call)
{
    m_callId = id;
    m_call = std::move(call);
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address_v4(m_call.to.address, ec);
    const auto self = shared_from_this();
    if (ec) {
        boost::asio::post(*m_client->io, [self] { self->fail(CallFailure::ConnectFailed); });
        return;
    }
    m_connectTimer.expires_after(m_call.connectTimeout);
    m_connectTimer.async_wait([self](boost::system::error_code e) {
        if (!e && !self->m_isClosed)
            self->fail(CallFailure::ConnectTimeout);
    });
    ++m_client->stats.connects;
    m_socket.async_connect(tcp::endpoint(ip, m_call.to.port), [self](boost::system::error_code e) {
        if (self->m_isClosed)
            return;
        self->m_connectTimer.cancel();
        if (e)
            return self->fail(CallFailure::ConnectFailed, e.message());
        boost::system::error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        ::setsockopt(self->m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
        self->send();
        self->read();
    });
}

void UpstreamConnection::reuse(CallId id, Call call)
{
    m_callId = id;
    m_call = std::move(call);
    m_isReused = true;
    ++m_client->stats.reuses;
    send();
    read();
}

void UpstreamConnection::send()
{
    m_parser = std::make_unique<http1::Parser<false>>();
    m_parser->skip(m_call.head.method == "HEAD");
    m_isHeadDelivered = false;
    m_isStrayResponse = false;
    m_undeliveredBytes = 0;
    m_requestHead = m_call.head.method + " " + m_call.head.target + " HTTP/1.1\r\n";
    http1::appendFields(m_requestHead, m_call.head.fields);
    const std::size_t size = m_call.body ? m_call.body->size() : 0;
    if (size > 0 || (m_call.head.method != "GET" && m_call.head.method != "HEAD"))
        m_requestHead += "Content-Length: " + std::to_string(size) + "\r\n";
    m_requestHead += "\r\n";
    m_isWriting = true;
    m_writeError = {};
    m_hasResponseEnded = false;
    m_wasRequestSent = true;
    const std::array<boost::asio::const_buffer, 2> buffers{
            boost::asio::buffer(m_requestHead),
            size > 0 ? boost::asio::buffer(*m_call.body) : boost::asio::const_buffer()};
    boost::asio::async_write(
            m_socket, buffers,
            [self = shared_from_this(), body = m_call.body](boost::system::error_code ec,
                                                            std::size_t) { self->onWritten(ec); });
}

void UpstreamConnection::onWritten(boost::system::error_code ec)
{
    m_isWriting = false;
    m_writeError = ec;
    if (m_hasResponseEnded && !m_isClosed)
        completeAtEndOfFile();
}

void UpstreamConnection::read()
{
    if (m_isReading || m_isPaused || m_isClosed)
        return;
    m_isReading = true;
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
                             [self = shared_from_this()](boost::system::error_code ec,
                                                         std::size_t n) { self->onRead(ec, n); });
}

void UpstreamConnection::onRead(boost::system::error_code ec, std::size_t n)
{
    m_isReading = false;
    if (m_isClosed)
        return;
    if (m_callId == CallId()) {
        // An idle connection may only end. Any data on it is unsolicited.
        if (!ec)
            ++m_client->stats.strayResponses;
        return close();
    }
    if (ec == boost::asio::error::eof && m_isHeadDelivered && m_parser->need_eof()) {
        m_hasResponseEnded = true;
        return completeAtEndOfFile();
    }
    if (ec)
        return fail(m_isHeadDelivered || (m_parser && m_parser->got_some())
                            ? CallFailure::ResponseTruncated
                            : CallFailure::ConnectionClosed,
                    ec.message());
    m_input.append(m_readBuffer.data(), n);
    m_undeliveredBytes += n;
    process();
    if (m_callId != CallId() && m_undeliveredBytes > kMaxUndeliveredBytes)
        fail(CallFailure::InvalidResponse, "too many bytes that are no part of the response");
    read();
}

void UpstreamConnection::completeAtEndOfFile()
{
    // The system reports a reset once. If it reports it to the write, reading ends as though the
    // upstream had closed the connection.
    if (m_isWriting)
        return;
    boost::system::error_code ec = m_writeError;
    if (!ec)
        m_parser->put_eof(ec);
    if (ec)
        return fail(CallFailure::ResponseTruncated, ec.message());
    onResponseEnd();
}

UpstreamConnection::ResponseOrigin UpstreamConnection::responseOrigin() const
{
    if (m_call.echoFieldName.empty())
        return ResponseOrigin::Expected;
    const std::string_view echoed = fieldValue(m_parser->fields, m_call.echoFieldName).value_or("");
    const std::string_view sent = fieldValue(m_call.head.fields, m_call.echoFieldName).value_or("");
    if (echoed != sent)
        return echoed.empty() ? ResponseOrigin::Unidentified : ResponseOrigin::OtherRequest;
    return sent.empty() ? ResponseOrigin::UnidentifiedRequest : ResponseOrigin::Expected;
}

void UpstreamConnection::process()
{
    while (!m_isClosed && m_callId != CallId() && !m_input.empty()) {
        boost::beast::error_code ec;
        if (!http1::feed(*m_parser, m_input, ec))
            return fail(CallFailure::InvalidResponse, ec.message());
        if (!m_parser->is_header_done())
            return;
        const bool isInterim = m_parser->status < 200;
        if (!m_isHeadDelivered && !m_isStrayResponse && !isInterim) {
            const ResponseOrigin origin = responseOrigin();
            if (origin == ResponseOrigin::Unidentified) {
                ++m_client->stats.strayResponses;
                ++m_client->stats.unidentifiedResponses;
                return fail(CallFailure::UnidentifiedResponse,
                            "status " + std::to_string(m_parser->status) + " without an id");
            }
            m_isStrayResponse = origin == ResponseOrigin::OtherRequest;
            m_hasStrayResponse = m_hasStrayResponse || m_isStrayResponse;
            if (!m_isStrayResponse) {
                m_isHeadDelivered = true;
                m_undeliveredBytes = 0;
                m_client->handler->onHead(m_callId,
                                          {m_parser->status, m_parser->fields, m_parser->length,
                                           origin == ResponseOrigin::Expected});
            }
        }
        if (m_isClosed)
            return;
        const std::string body = std::exchange(m_parser->body, {});
        if (m_isHeadDelivered && !body.empty()) {
            m_undeliveredBytes = 0;
            m_client->handler->onBody(m_callId, body);
        }
        if (m_isClosed || !m_parser->is_done())
            return;
        if (m_isStrayResponse || isInterim) {
            m_client->stats.strayResponses += m_isStrayResponse ? 1 : 0;
            m_isStrayResponse = false;
            m_parser = std::make_unique<http1::Parser<false>>();
            m_parser->skip(m_call.head.method == "HEAD");
            continue;
        }
        return onResponseEnd();
    }
}

void UpstreamConnection::onResponseEnd()
{
    const CallId id = std::exchange(m_callId, CallId());
    m_responseTimer.cancel();
    m_client->calls.erase(id);
    // An upstream that sent one response too many may send more.
    const bool isReusable =
            m_parser->keep_alive() && !m_isWriting && m_input.empty() && !m_hasStrayResponse;
    if (!m_input.empty())
        ++m_client->stats.strayResponses;
    const Fields fields = std::move(m_parser->fields);
    const std::size_t maxIdleConnections = m_call.maxIdleConnections;
    m_parser.reset();
    m_call = {};
    if (isReusable)
        keepIdle(fields, maxIdleConnections);
    else
        close();
    m_client->handler->onEnd(id);
}

void UpstreamConnection::keepIdle(const Fields &fields, std::size_t maxIdleConnections)
{
    const ClientOptions &options = m_client->options;
    const auto announced = announcedKeepAlive(fields);
    const base::Millis keepAlive =
            announced ? *announced - options.keepAliveMargin : options.defaultKeepAlive;
    auto &idle = m_client->idleConnections[m_upstream];
    if (keepAlive <= base::Millis(0) || idle.size() >= maxIdleConnections)
        return close();
    m_usableUntil = base::monotonicNow() + keepAlive;
    idle.push_back(shared_from_this());
}

void UpstreamConnection::setPaused(bool isPaused)
{
    m_isPaused = isPaused;
    read();
}

void UpstreamConnection::setResponseTimeout(base::Millis timeout)
{
    m_responseTimer.expires_after(timeout);
    m_responseTimer.async_wait(
            [self = shared_from_this(), id = m_callId](boost::system::error_code ec) {
                // The connection may carry another call when the timer fires.
                if (!ec && !self->m_isClosed && self->m_callId == id)
                    self->fail(CallFailure::ResponseTimeout);
            });
}

void UpstreamConnection::fail(CallFailure failure, std::string detail)
{
    const CallId id = std::exchange(m_callId, CallId());
    const CallError error{failure, m_wasRequestSent, m_isReused, std::move(detail)};
    m_client->calls.erase(id);
    close();
    if (id != CallId())
        m_client->handler->onFailed(id, error);
}

void UpstreamConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    const auto self = shared_from_this();
    boost::system::error_code ec;
    m_connectTimer.cancel(ec);
    m_responseTimer.cancel(ec);
    m_socket.close(ec);
    const auto it = m_client->idleConnections.find(m_upstream);
    if (it != m_client->idleConnections.end()) {
        it->second.remove(self);
        if (it->second.empty())
            m_client->idleConnections.erase(it);
    }
}

Client::Client(boost::asio::io_context *io, ResponseHandler *handler, ClientOptions options)
    : m_shared(std::make_shared<Shared>())
{
    m_shared->io = io;
    m_shared->handler = handler;
    m_shared->options = options;
}

Client::~Client()
{
    for (const auto &[id, connection] : std::exchange(m_shared->calls, {}))
        connection->close();
    for (const auto &[upstream, connections] : std::exchange(m_shared->idleConnections, {})) {
        for (const auto &connection : connections)
            connection->close();
    }
}

CallId Client::start(Call call)
{
    const CallId id(++m_shared->lastCallId);
    const base::Millis timeout = call.responseTimeout;
    const base::TimePoint now = base::monotonicNow();
    std::shared_ptr<UpstreamConnection> connection;
    const auto idle = m_shared->idleConnections.find(call.upstream);
    if (idle != m_shared->idleConnections.end()) {
        // The loop uses a copy, because close() removes the connection from the list.
        for (const auto &it : std::list(idle->second)) {
            if (!it->isUsable(now))
                it->close();
        }
    }
    const auto usable = m_shared->idleConnections.find(call.upstream);
    if (call.canReuseConnection && usable != m_shared->idleConnections.end()) {
        connection = usable->second.back();
        usable->second.pop_back();
        if (usable->second.empty())
            m_shared->idleConnections.erase(usable);
        m_shared->calls.emplace(id, connection);
        connection->reuse(id, std::move(call));
    } else {
        connection = std::make_shared<UpstreamConnection>(m_shared, call.upstream);
        m_shared->calls.emplace(id, connection);
        connection->connect(id, std::move(call));
    }
    if (timeout > base::Millis(0))
        connection->setResponseTimeout(timeout);
    return id;
}

void Client::cancel(CallId id)
{
    const auto it = m_shared->calls.find(id);
    if (it == m_shared->calls.end())
        return;
    const auto connection = it->second;
    m_shared->calls.erase(it);
    connection->close();
}

void Client::setResponseTimeout(CallId id, base::Millis timeout)
{
    const auto it = m_shared->calls.find(id);
    if (it != m_shared->calls.end())
        it->second->setResponseTimeout(timeout);
}

void Client::setPaused(CallId id, bool isPaused)
{
    const auto it = m_shared->calls.find(id);
    if (it != m_shared->calls.end())
        it->second->setPaused(isPaused);
}

void Client::probe(const base::Endpoint &to, base::Millis timeout,
                   std::function<void(ProbeResult)> done)
{
    struct Probe
    {
        explicit Probe(boost::asio::io_context *io)
            : socket(*io)
            , timer(*io)
        { }
        tcp::socket socket;
        boost::asio::steady_timer timer;
    };
    const auto probe = std::make_shared<Probe>(m_shared->io);
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address_v4(to.address, ec);
    probe->timer.expires_after(timeout);
    // Closing the socket ends the connection attempt.
    probe->timer.async_wait([probe](boost::system::error_code e) {
        boost::system::error_code ignored;
        if (!e)
            probe->socket.close(ignored);
    });
    probe->socket.async_connect(tcp::endpoint(ip, to.port),
                                [probe, done = std::move(done),
                                 client = std::weak_ptr(m_shared)](boost::system::error_code e) {
                                    probe->timer.cancel();
                                    if (client.expired())
                                        return;
                                    if (e == boost::asio::error::connection_refused)
                                        return done(ProbeResult::Refused);
                                    done(e ? ProbeResult::NoAnswer : ProbeResult::Accepted);
                                });
}

void Client::closeIdle(const base::UpstreamId &upstream)
{
    const auto it = m_shared->idleConnections.find(upstream);
    if (it == m_shared->idleConnections.end())
        return;
    for (const auto &connection : std::list(it->second))
        connection->close();
}

const ClientStats &Client::stats() const
{
    return m_shared->stats;
}

} // namespace hyssop::gateway
