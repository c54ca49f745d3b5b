#pragma once

#include "gateway/Gateway.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <set>

namespace hyssop::gateway {

/// State that the connections of a Server share.
struct Server::Shared
{
    boost::asio::io_context *io = nullptr;
    CallerHandler *handler = nullptr;
    std::shared_ptr<CallerResources> resources;
    ServerLimits limits;
    bool isCloseAnnounced = false;
    Stats stats;
    std::set<std::shared_ptr<CallerConnection>> connections;
};

/// How a response ended.
enum class ResponseEnd {
    Answered,
    BrokenOff, ///< As its handler asked.
    Abandoned, ///< It cannot be completed.
};

/// Connection of a caller. Handles one request at a time and keeps reading while the response is
/// sent, so that it detects a disconnect.
class CallerConnection final : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(Server::Shared *server, boost::asio::ip::tcp::socket socket);
    ~CallerConnection();

    void open(base::TimePoint now);
    /// Rejects the request that is being read, or closes the connection.
    void shed(ShedReason reason);
    /// Closes the connection or rejects the request if the timeout of the current state was over at
    /// the last check too and nothing has arrived since. After the host stood still, timers are due
    /// before what arrived is read.
    void checkTimeouts(base::TimePoint now);
    /// Adopts the idle timeout that is set if it is longer than the one that it became idle under.
    void extendIdleTimeout();
    /// Closes the connection without any event, before the server is destroyed.
    void detach();
    /// Closes the connection if it was idle at the last call too and nothing has arrived since.
    void closeIfIdle();
    void close();

    // For the exchange.
    void write(std::string &&data);
    void setBuffered(std::size_t bytes);
    /// Ends the response. Closes the connection at once if it is incomplete.
    void endResponse(ResponseEnd end);
    /// Ends a response that cannot be completed, with status 502 unless it has started, and logs
    /// why.
    void abandonResponse(bool isStarted, std::string_view target, std::string_view reason);
    std::size_t unsentBytes() const
    {
        return m_output.size() + m_writeBuffer.size() - m_writtenBytes;
    }
    bool shouldCloseAfterResponse() const;
    void beginResponse() { m_hasCloseHeader = shouldCloseAfterResponse(); }
    bool hasCloseHeader() const { return m_hasCloseHeader; }
    /// Whether the caller understands chunks. If not, a streamed response ends with its connection.
    bool acceptsChunks() const { return m_acceptsChunks; }

private:
    enum class State { Idle, ReadingHeaders, ReadingBody, Responding, Closing, Closed };

    std::int64_t accountId() const { return m_accountEntry ? m_accountEntry->id : 0; }
    /// Brings the account up to date, and has connections given up if too much is held.
    void updateAccount();
    /// Ends the part of the connection in the account.
    void leaveAccount();
    std::size_t heldBytes() const;
    friend class CallerResources;

    void read();
    void onRead(boost::system::error_code ec, std::size_t n);
    void process(base::TimePoint now);
    void deliverRequest(base::TimePoint now);
    void reject(int status, std::string_view reason);
    /// Notes that the socket took \a n bytes of a response.
    void noteWritten(std::size_t n, base::TimePoint now);
    void flush();
    void writeSome();
    void startClosing();
    void setState(State state, base::TimePoint now);
    bool isReadingRequest() const
    {
        return m_state == State::ReadingHeaders || m_state == State::ReadingBody;
    }
    /// Whether the request that is being read arrives below the minimum rate.
    bool isBelowMinimumRate(base::TimePoint now);
    /// Time after which the current state ends by itself, or nothing.
    std::optional<base::Millis> timeout() const;
    bool hasUnreadData() const;

    Server::Shared *m_server;
    boost::asio::ip::tcp::socket m_socket;
    State m_state = State::Idle;
    base::TimePoint m_stateSince; ///< Start of the current state.
    base::TimePoint m_progressAt; ///< Start of the current state, or last write in it.
    bool m_isTimeoutOver = false; ///< At the last check.
    bool m_wasFoundIdle = false; ///< By closeIfIdle() in the current state.
    /// Longest one that was set since the connection became idle. Its caller may know only that.
    base::Millis m_idleTimeout{0};
    base::TimePoint m_firstByteAt;
    base::Millis m_bodyTimeout{0}; ///< Of the request whose body is being read.
    base::TimePoint m_rateSince; ///< Start of the interval in which the rate is measured.
    std::size_t m_rateBytes = 0; ///< Received in it.
    std::unique_ptr<http1::Parser<true>> m_parser;
    RequestHead m_head; ///< Of the request whose body is being read.
    std::shared_ptr<CallerResources> m_resources; ///< Null without limits.
    CallerEntry *m_accountEntry = nullptr; ///< In the resources, while the connection is open.
    std::size_t m_headBytes = 0; ///< Held for the head of the current request.
    std::size_t m_bodyBytes = 0; ///< Held for its body after it was delivered.
    std::size_t m_bufferedBytes = 0; ///< See Exchange::setBuffered().
    std::weak_ptr<Exchange> m_exchange; ///< While its response has not ended.
    std::array<char, 8192> m_readBuffer{};
    std::string m_input;
    std::string m_output;
    std::string m_writeBuffer;
    std::size_t m_writtenBytes = 0; ///< Of the write buffer.
    std::size_t m_readProgressBytes = 0; ///< Written since the last progress.
    bool m_isReading = false;
    bool m_isKeepAlive = true;
    bool m_hasCloseHeader = false;
    bool m_acceptsChunks = true;
    bool m_expectsContinue = false;
    bool m_isBodySkipped = false; ///< What arrives until the response is dropped.
};

} // namespace hyssop::gateway
