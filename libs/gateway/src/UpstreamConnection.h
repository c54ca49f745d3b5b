#pragma once

#include "gateway/Gateway.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <list>
#include <map>

namespace hyssop::gateway {

class UpstreamConnection;

/// State that the connections of a Client share.
struct Client::Shared
{
    boost::asio::io_context *io = nullptr;
    ResponseHandler *handler = nullptr;
    ClientOptions options;
    ClientStats stats;
    std::int64_t lastCallId = 0;
    std::map<CallId, std::shared_ptr<UpstreamConnection>> calls;
    /// Idle connections of each upstream. The most recently used one is last.
    std::map<base::UpstreamId, std::list<std::shared_ptr<UpstreamConnection>>> idleConnections;
};

/// Connection to an upstream. Carries one call at a time and keeps reading while it is idle, so
/// that it detects when the upstream closes it.
class UpstreamConnection final : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(std::shared_ptr<Client::Shared> client, base::UpstreamId upstream);

    void connect(CallId id, Call call);
    void reuse(CallId id, Call call);
    void setPaused(bool isPaused);
    void setResponseTimeout(base::Millis timeout);
    void close();
    /// Returns whether a request may still be sent according to the idle timeout.
    bool isUsable(base::TimePoint now) const { return now < m_usableUntil; }

private:
    void send();
    void read();
    void onRead(boost::system::error_code ec, std::size_t n);
    void onWritten(boost::system::error_code ec);
    /// Completes a response that is framed by the end of its connection, once the request has been
    /// written. If it can't be written, the upstream did not end the response.
    void completeAtEndOfFile();
    void process();
    /// Whether the current response belongs to the request.
    enum class ResponseOrigin {
        Expected, ///< It carries the id of the request, or the protocol echoes none.
        OtherRequest, ///< It carries another id.
        Unidentified, ///< It lacks the id of the request.
        UnidentifiedRequest, ///< Neither of them carries an id.
    };
    ResponseOrigin responseOrigin() const;
    void onResponseEnd();
    /// Adds the connection to the pool, or closes it if it can't be reused.
    void keepIdle(const Fields &fields, std::size_t maxIdleConnections);
    void fail(CallFailure failure, std::string detail = {});

    std::shared_ptr<Client::Shared> m_client;
    base::UpstreamId m_upstream;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    boost::asio::steady_timer m_responseTimer;
    CallId m_callId; ///< 0 while the connection is idle.
    Call m_call;
    std::string m_requestHead;
    std::string m_input;
    std::array<char, 8192> m_readBuffer{};
    std::unique_ptr<http1::Parser<false>> m_parser;
    bool m_isClosed = false;
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isWriting = false;
    bool m_hasResponseEnded = false; ///< The upstream has ended its side of the connection.
    boost::system::error_code m_writeError; ///< Of the request.
    bool m_wasRequestSent = false;
    bool m_isReused = false;
    bool m_isHeadDelivered = false;
    bool m_isStrayResponse = false; ///< The current response is dropped.
    bool m_hasStrayResponse = false; ///< One was dropped on this connection.
    std::size_t m_undeliveredBytes = 0; ///< Received since the last part of the response.
    base::TimePoint m_usableUntil;
};

} // namespace hyssop::gateway
