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
/// Limit on unsent bytes of earlier responses above which the next pipelined request waits.
constexpr std::size_t kMaxUnsentBytes = std::size_t(64) << 10;
/// A caller that reads less than this of a waiting response within the idle timeout is cut off: 273
/// bytes a second by default, below any link that carries a request of legal size in its time.
constexpr std::size_t kMinReadBytes = 4'096;
/// Buffers above this size are freed when they are empty.
constexpr std::size_t kMaxIdleBufferBytes = std::size_t(64) << 10;
/// Held for each connection besides its buffers: socket, parser and entries in tables.
constexpr std::size_t kOverheadBytes = 2'048;
/// Handlers hold the head of a request up to three times: as it arrived, as it is forwarded and as
/// text.
constexpr std::size_t kHeadCopies = 3;
/// Least time between two log lines about connections that were given up.
constexpr base::Millis kShedLogInterval{1'000};

void freeIfLarge(std::string &buf)
{
    if (buf.empty() && buf.capacity() > kMaxIdleBufferBytes)
        std::string().swap(buf);
}

namespace http = boost::beast::http;

} // namespace

CallerConnection::CallerConnection(Server::Shared *server, boost::asio::ip::tcp::socket socket)
    : m_server(server)
    , m_socket(std::move(socket))
{ }

CallerConnection::~CallerConnection()
{
    leaveAccount();
}

void CallerConnection::open(base::TimePoint now)
{
    boost::system::error_code ec;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    if (m_server->resources) {
        m_resources = m_server->resources;
        m_accountEntry = m_resources->m_account.add(now);
        m_resources->m_connections[m_accountEntry->id] = weak_from_this();
    }
    setState(State::Idle, now);
    updateAccount();
    if (m_resources && m_resources->m_account.isOverConnections())
        m_resources->shedConnection(*this, now);
    read();
}

void CallerConnection::setState(State state, base::TimePoint now)
{
    m_state = state;
    m_stateSince = now;
    m_progressAt = now;
    m_isTimeoutOver = false;
    m_wasFoundIdle = false;
    m_rateSince = now;
    m_rateBytes = 0;
    if (state == State::Idle)
        m_idleTimeout = m_server->limits.idleTimeout;
    if (!m_accountEntry)
        return;
    const auto activity = [&] {
        switch (state) {
        case State::Idle:
            return CallerActivity::Idle;
        case State::ReadingHeaders:
        case State::ReadingBody:
            return CallerActivity::Reading;
        case State::Responding:
            return CallerActivity::Responding;
        case State::Closing:
        case State::Closed:
            break;
        }
        return CallerActivity::Closing;
    };
    m_resources->m_account.setActivity(*m_accountEntry, activity(), now);
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
    if (m_state != State::Closing && !m_isBodySkipped) {
        const base::TimePoint now = base::monotonicNow();
        m_input.append(m_readBuffer.data(), n);
        m_rateBytes += n;
        if (m_accountEntry && m_state != State::Responding)
            CallerAccount::addTransferred(*m_accountEntry, n, now);
        process(now);
        updateAccount();
    }
    read();
}

void CallerConnection::process(base::TimePoint now)
{
    if (m_state == State::Idle && !m_input.empty()) {
        if (unsentBytes() > kMaxUnsentBytes)
            return;
        m_parser = std::make_unique<http1::Parser<true>>();
        m_parser->header_limit(static_cast<std::uint32_t>(m_server->limits.maxHeaderBytes));
        m_parser->body_limit(m_server->limits.maxBodyBytes);
        setState(State::ReadingHeaders, now);
        m_firstByteAt = now;
        m_expectsContinue = false;
    }
    if (m_state != State::ReadingHeaders && m_state != State::ReadingBody)
        return;
    boost::beast::error_code ec;
    if (!http1::feed(*m_parser, m_input, ec)) {
        if (ec == http::error::header_limit)
            return reject(431, "headers too long");
        if (ec == http::error::body_limit)
            return reject(413, "body too long");
        return reject(400, ec.message());
    }
    if (m_state == State::ReadingHeaders && m_parser->is_header_done()) {
        setState(State::ReadingBody, now);
        m_head = {std::move(m_parser->method), std::move(m_parser->target),
                  std::move(m_parser->fields)};
        if (m_accountEntry) {
            m_headBytes = m_head.fields.capacity() * sizeof(Field);
            for (const Field &field : m_head.fields)
                m_headBytes += field.name.size() + field.value.size();
        }
        if (!m_parser->is_done() && !m_server->handler->wantsBody(m_head)) {
            m_isBodySkipped = true;
            return deliverRequest(now);
        }
        if (!m_parser->is_done())
            m_bodyTimeout = m_server->handler->bodyTimeout(m_head, m_server->limits.bodyTimeout);
        const auto expect = fieldValue(m_head.fields, "expect");
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
    m_isKeepAlive = m_parser->keep_alive() && m_acceptsChunks && !m_isBodySkipped;
    std::string body;
    if (m_isBodySkipped)
        m_input.clear();
    else
        body = std::move(m_parser->body);
    m_bodyBytes = body.capacity();
    m_headBytes *= kHeadCopies;
    const auto exchange = std::make_shared<Exchange>(weak_from_this(), std::move(m_head),
                                                     std::move(body), m_firstByteAt);
    m_head = {};
    exchange->m_isBodySkipped = m_isBodySkipped;
    m_exchange = exchange;
    m_parser.reset();
    ++m_server->stats.requests;
    m_server->handler->onRequest(exchange);
}

void CallerConnection::reject(int status, std::string_view reason)
{
    m_server->handler->onRejected(status, reason);
    m_output += http1::statusLine(status);
    m_output += "Content-Length: 0\r\nConnection: close\r\n\r\n";
    m_parser.reset();
    m_head = {};
    startClosing();
}

bool CallerConnection::shouldCloseAfterResponse() const
{
    return !m_isKeepAlive || m_server->isCloseAnnounced;
}

void CallerConnection::write(std::string &&data)
{
    if (m_state == State::Closed)
        return;
    if (m_output.empty() && data.size() > kMaxIdleBufferBytes)
        m_output = std::move(data);
    else
        m_output += data;
    flush();
    updateAccount();
}

void CallerConnection::setBuffered(std::size_t bytes)
{
    m_bufferedBytes = bytes;
    updateAccount();
}

void CallerConnection::flush()
{
    if (!m_writeBuffer.empty() || m_output.empty() || m_state == State::Closed)
        return;
    m_writeBuffer.swap(m_output);
    m_writtenBytes = 0;
    // The time in which the caller is to read begins with the first byte that waits for it.
    m_progressAt = base::monotonicNow();
    m_readProgressBytes = 0;
    if (m_accountEntry)
        m_accountEntry->progressAt = m_progressAt;
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
                self->noteWritten(n, base::monotonicNow());
                if (self->m_writtenBytes < self->m_writeBuffer.size())
                    return self->writeSome();
                self->m_writeBuffer.clear();
                self->m_writtenBytes = 0;
                freeIfLarge(self->m_writeBuffer);
                if (!self->m_output.empty())
                    return self->flush();
                self->updateAccount();
                if (self->m_state == State::Idle && !self->m_input.empty()) {
                    self->process(base::monotonicNow());
                    self->read();
                } else if (self->m_state == State::Closing) {
                    boost::system::error_code ignored;
                    self->m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
                } else if (const auto exchange = self->m_exchange.lock()) {
                    self->m_server->handler->onDrained(*exchange);
                }
            });
}

void CallerConnection::noteWritten(std::size_t n, base::TimePoint now)
{
    m_readProgressBytes += n;
    if (m_readProgressBytes >= kMinReadBytes) {
        m_readProgressBytes = 0;
        m_progressAt = now;
    }
    if (m_accountEntry)
        CallerAccount::addTransferred(*m_accountEntry, n, now);
}

void CallerConnection::endResponse(ResponseEnd end)
{
    if (m_state == State::Closed)
        return;
    m_exchange.reset();
    m_headBytes = 0;
    m_bodyBytes = 0;
    m_bufferedBytes = 0;
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
    freeIfLarge(m_input);
    updateAccount();
    if (!m_input.empty()) {
        // Posted, because the handler that ended the response may not expect another request yet.
        boost::asio::post(*m_server->io, [self = shared_from_this()] {
            if (self->m_state == State::Closed)
                return;
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
    m_headBytes = 0;
    m_bodyBytes = 0;
    m_bufferedBytes = 0;
    ++m_server->stats.abandoned;
    m_output += http1::statusLine(502);
    m_output += "Content-Length: 0\r\nConnection: close\r\n\r\n";
    startClosing();
}

void CallerConnection::detach()
{
    m_state = State::Closed;
    leaveAccount();
    boost::system::error_code ec;
    m_socket.close(ec);
}

void CallerConnection::startClosing()
{
    setState(State::Closing, base::monotonicNow());
    m_input.clear();
    freeIfLarge(m_input);
    m_headBytes = 0;
    updateAccount();
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
        return m_bodyTimeout;
    case State::Closing:
        // A caller may take longer to read the response than to close the connection afterwards.
        return unsentBytes() > 0 ? m_server->limits.idleTimeout : kLingerTimeout;
    case State::Responding:
        // A response that nobody reads would be held as long as the caller keeps its connection.
        if (unsentBytes() > 0)
            return m_server->limits.idleTimeout;
        break;
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

bool CallerConnection::isBelowMinimumRate(base::TimePoint now)
{
    if (!m_resources || !isReadingRequest())
        return false;
    const CallerLimits &limits = m_resources->m_account.limits();
    if (now - m_rateSince < limits.progressTime)
        return false;
    if (m_rateBytes < static_cast<std::size_t>(limits.progressBytes.count()))
        return true;
    m_rateSince = now;
    m_rateBytes = 0;
    return false;
}

void CallerConnection::checkTimeouts(base::TimePoint now)
{
    const auto limit = timeout();
    const base::TimePoint since = isReadingRequest() ? m_stateSince : m_progressAt;
    const bool isLate = limit && now - since >= *limit;
    const bool isSlow = !isLate && isBelowMinimumRate(now);
    const bool isOver = isLate || isSlow;
    if (!std::exchange(m_isTimeoutOver, isOver) || !isOver)
        return;
    // A caller that sends on without reading keeps its socket full.
    const bool isUnread = m_state == State::Closing || unsentBytes() > 0;
    if (!isUnread && hasUnreadData())
        return;
    if (isSlow)
        m_resources->noteShed(ShedReason::Slow, now);
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
    leaveAccount();
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

std::size_t CallerConnection::heldBytes() const
{
    const std::size_t buffers = m_input.capacity() + m_output.capacity() + m_writeBuffer.capacity();
    std::size_t bytes = sizeof(CallerConnection) + kOverheadBytes + buffers + m_headBytes
                        + m_bodyBytes + m_bufferedBytes;
    // Memory that was reserved for a body of known length is not in use before the bytes arrive.
    if (m_parser)
        bytes += m_parser->length ? m_parser->body.size() : m_parser->body.capacity();
    return bytes;
}

void CallerConnection::updateAccount()
{
    if (!m_accountEntry)
        return;
    m_accountEntry->unreadBytes = unsentBytes();
    m_accountEntry->pipelinedBytes =
            m_state == State::Responding || m_state == State::Idle ? m_input.size() : 0;
    CallerResources &resources = *m_resources;
    resources.m_account.setBytes(*m_accountEntry, heldBytes());
    if (!resources.m_account.isOverMemory() || std::exchange(resources.m_isShedPosted, true))
        return;
    // Posted, because the handler that caused it may be in use of the connection to give up.
    boost::asio::post(*m_server->io, [resources = m_resources] {
        resources->m_isShedPosted = false;
        resources->shedMemory(base::monotonicNow());
    });
}

void CallerConnection::leaveAccount()
{
    if (!m_accountEntry)
        return;
    m_resources->m_connections.erase(m_accountEntry->id);
    m_resources->m_account.remove(std::exchange(m_accountEntry, nullptr));
}

void CallerConnection::shed(ShedReason reason)
{
    if (!isReadingRequest() || unsentBytes() > 0)
        return close();
    if (reason == ShedReason::Stalled)
        return reject(408, "stalled while memory is short");
    reject(503, "memory is short");
}

void CallerResources::shed(CallerAccount::Victim victim, base::TimePoint now)
{
    const auto it = m_connections.find(victim.id);
    const auto connection = it == m_connections.end() ? nullptr : it->second.lock();
    if (!connection)
        return;
    connection->shed(victim.reason);
    noteShed(victim.reason, now);
}

void CallerResources::noteShed(ShedReason reason, base::TimePoint now)
{
    ++m_shedCounts[static_cast<std::size_t>(reason)];
    ++m_unloggedSheds;
    if (now - m_lastLogAt < kShedLogInterval)
        return;
    m_lastLogAt = now;
    base::logEvent("callers_shed", {{"reason", shedReasonName(reason)},
                                    {"count", std::exchange(m_unloggedSheds, 0)},
                                    {"held_bytes", m_account.bytes()},
                                    {"connections", m_account.connectionCount()}});
}

void CallerResources::shedMemory(base::TimePoint now)
{
    for (const CallerAccount::Victim &victim : m_account.memoryVictims(now))
        shed(victim, now);
}

void CallerResources::shedConnection(const CallerConnection &newest, base::TimePoint now)
{
    const CallerAccount::Victim victim = m_account.connectionVictim(newest.accountId(), now);
    const auto it = m_connections.find(victim.id);
    const auto connection = it == m_connections.end() ? nullptr : it->second.lock();
    if (!connection)
        return;
    shed(victim, now);
    // Its descriptor is needed now; a rejected connection would wait for its peer.
    connection->close();
}

} // namespace hyssop::gateway
