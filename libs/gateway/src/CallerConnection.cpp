#include "CallerConnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace hyssop::gateway {

namespace {

/// Limit on buffered bytes of further requests while a request is handled. Reading pauses above it.
constexpr std::size_t kMaxPipelinedBytes = std::size_t(64) << 10;
/// Time for a caller to read the last response and close the connection. Closing it at once might
/// reset the connection and lose the response.
constexpr base::Millis kLingerTimeout{1'000};

namespace http = boost::beast::http;

} // namespace

CallerConnection::CallerConnection(Server::Shared *server, boost::asio::ip::tcp::socket socket)
    : m_server(server)
    , m_socket(std::move(socket))
{ }

void CallerConnection::open(base::TimePoint now)
{
    boost::system::error_code ec;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    setState(State::Idle, now);
    read();
}

void CallerConnection::setState(State state, base::TimePoint now)
{
    m_state = state;
    m_stateSince = now;
    m_progressAt = now;
    m_isTimeoutOver = false;
    m_wasFoundIdle = false;
    if (state == State::Idle)
        m_idleTimeout = m_server->limits.idleTimeout;
}

void CallerConnection::extendIdleTimeout()
{
    m_idleTimeout = std::max(m_idleTimeout, m_server->limits.idleTimeout);
}

void CallerConnection::read()
{
    if (m_isReading || m_state == State::Closed || m_input.size() > kMaxPipelinedBytes)
        return;
    m_isReading = true;
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
                             [self = shared_from_this()](boost::system::error_code ec,
                                                         std::size_t n) { self->onRead(ec, n); });
}

void CallerConnection::onRead(boost::system::error_code ec, std::size_t n)
{
    m_isReading = false;
    if (m_state == State::Closed)
        return;
    if (ec) {
        close();
        return;
    }
    if (m_state != State::Closing) {
        m_input.append(m_readBuffer.data(), n);
        process(base::monotonicNow());
    }
    read();
}

void CallerConnection::process(base::TimePoint now)
{
    if (m_state == State::Idle && !m_input.empty()) {
        m_parser = std::make_unique<Parser<true>>();
        m_parser->header_limit(static_cast<std::uint32_t>(m_server->limits.maxHeaderBytes));
        m_parser->body_limit(m_server->limits.maxBodyBytes);
        setState(State::ReadingHeaders, now);
        m_firstByteAt = now;
        m_expectsContinue = false;
    }
    if (m_state != State::ReadingHeaders && m_state != State::ReadingBody)
        return;
    boost::beast::error_code ec;
    if (!feed(*m_parser, m_input, ec)) {
        if (ec == http::error::header_limit)
            return reject(431, "headers too long");
        if (ec == http::error::body_limit)
            return reject(413, "body too long");
        return reject(400, ec.message());
    }
    if (m_state == State::ReadingHeaders && m_parser->is_header_done()) {
        setState(State::ReadingBody, now);
        const auto expect = fieldValue(m_parser->fields, "expect");
        if (!m_parser->is_done() && expect && equalsIgnoreCase(*expect, "100-continue")) {
            m_output += "HTTP/1.1 100 Continue\r\n\r\n";
            flush();
        }
    }
    if (m_parser->is_done())
        deliverRequest(now);
}

void CallerConnection::deliverRequest(base::TimePoint now)
{
    setState(State::Responding, now);
    m_acceptsChunks = m_parser->version >= 11;
    m_isKeepAlive = m_parser->keep_alive() && m_acceptsChunks;
    RequestHead head{std::move(m_parser->method), std::move(m_parser->target),
                     std::move(m_parser->fields)};
    const auto exchange = std::make_shared<Exchange>(weak_from_this(), std::move(head),
                                                     std::move(m_parser->body), m_firstByteAt);
    m_exchange = exchange;
    m_parser.reset();
    ++m_server->stats.requests;
    m_server->handler->onRequest(exchange);
}

void CallerConnection::reject(int status, std::string_view reason)
{
    m_server->handler->onRejected(status, reason);
    m_output += statusLine(status);
    m_output += "Content-Length: 0\r\nConnection: close\r\n\r\n";
    m_parser.reset();
    startClosing();
}

bool CallerConnection::shouldCloseAfterResponse() const
{
    return !m_isKeepAlive || m_server->isCloseAnnounced;
}

void CallerConnection::write(std::string_view data)
{
    if (m_state == State::Closed)
        return;
    m_output += data;
    flush();
}

void CallerConnection::flush()
{
    if (!m_writeBuffer.empty() || m_output.empty() || m_state == State::Closed)
        return;
    m_writeBuffer.swap(m_output);
    m_writtenBytes = 0;
    writeSome();
}

void CallerConnection::writeSome()
{
    m_socket.async_write_some(
            boost::asio::buffer(m_writeBuffer) + m_writtenBytes,
            [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
                if (self->m_state == State::Closed)
                    return;
                if (ec)
                    return self->close();
                self->m_writtenBytes += n;
                self->m_progressAt = base::monotonicNow();
                if (self->m_writtenBytes < self->m_writeBuffer.size())
                    return self->writeSome();
                self->m_writeBuffer.clear();
                self->m_writtenBytes = 0;
                if (!self->m_output.empty())
                    return self->flush();
                if (self->m_state == State::Closing) {
                    boost::system::error_code ignored;
                    self->m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
                } else if (const auto exchange = self->m_exchange.lock()) {
                    self->m_server->handler->onDrained(*exchange);
                }
            });
}

void CallerConnection::endResponse(ResponseEnd end)
{
    if (m_state == State::Closed)
        return;
    m_exchange.reset();
    Server::Stats &stats = m_server->stats;
    ++(end == ResponseEnd::Answered    ? stats.answered
       : end == ResponseEnd::BrokenOff ? stats.brokenOff
                                       : stats.abandoned);
    if (end != ResponseEnd::Answered) {
        // The normal end of the connection would make the response look complete.
        boost::system::error_code ec;
        if (!m_acceptsChunks)
            m_socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        return close();
    }
    if (m_hasCloseHeader)
        return startClosing();
    setState(State::Idle, base::monotonicNow());
    if (!m_input.empty()) {
        // Posted, because the handler that ended the response may not expect another request yet.
        boost::asio::post(*m_server->io, [self = shared_from_this()] {
            self->process(base::monotonicNow());
            self->read();
        });
    }
    read();
}

void CallerConnection::abandonResponse(bool isStarted, std::string_view target,
                                       std::string_view reason)
{
    if (m_state == State::Closed)
        return;
    base::logEvent("response_abandoned", {{"target", target}, {"reason", reason}});
    if (isStarted)
        return endResponse(ResponseEnd::Abandoned);
    m_exchange.reset();
    ++m_server->stats.abandoned;
    m_output += statusLine(502);
    m_output += "Content-Length: 0\r\nConnection: close\r\n\r\n";
    startClosing();
}

void CallerConnection::detach()
{
    m_state = State::Closed;
    boost::system::error_code ec;
    m_socket.close(ec);
}

void CallerConnection::startClosing()
{
    setState(State::Closing, base::monotonicNow());
    m_input.clear();
    if (m_writeBuffer.empty() && m_output.empty()) {
        boost::system::error_code ec;
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    }
    flush();
    read();
}

std::optional<base::Millis> CallerConnection::timeout() const
{
    switch (m_state) {
    case State::Idle:
        return m_idleTimeout;
    case State::ReadingHeaders:
        return m_server->limits.headerTimeout;
    case State::ReadingBody:
        return m_server->limits.bodyTimeout;
    case State::Closing:
        // A caller may take longer to read the response than to close the connection afterwards.
        return unsentBytes() > 0 ? m_server->limits.idleTimeout : kLingerTimeout;
    case State::Responding:
    case State::Closed:
        break;
    }
    return std::nullopt;
}

bool CallerConnection::hasUnreadData() const
{
    boost::system::error_code ec;
    return m_socket.available(ec) > 0;
}

void CallerConnection::checkTimeouts(base::TimePoint now)
{
    const auto limit = timeout();
    const bool isReading = m_state == State::ReadingHeaders || m_state == State::ReadingBody;
    const base::TimePoint since = isReading ? m_stateSince : m_progressAt;
    const bool isOver = limit && now - since >= *limit;
    if (!std::exchange(m_isTimeoutOver, isOver) || !isOver)
        return;
    if (m_state != State::Closing && hasUnreadData())
        return;
    switch (m_state) {
    case State::ReadingHeaders:
        return reject(408, "headers too slow");
    case State::ReadingBody:
        return reject(408, "body too slow");
    default:
        // An idle connection does not linger, which would read a request that crosses the close.
        // The reset that such a request gets instead tells its caller that nobody read it.
        close();
    }
}

void CallerConnection::closeIfIdle()
{
    if (m_state != State::Idle || unsentBytes() > 0 || hasUnreadData())
        return;
    if (std::exchange(m_wasFoundIdle, true))
        close();
}

void CallerConnection::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    const auto self = shared_from_this();
    boost::system::error_code ec;
    m_socket.close(ec);
    m_server->connections.erase(self);
    if (const auto exchange = m_exchange.lock()) {
        m_exchange.reset();
        exchange->m_isEnded = true;
        ++m_server->stats.disconnected;
        m_server->handler->onCallerDisconnected(*exchange);
    }
}

} // namespace hyssop::gateway
