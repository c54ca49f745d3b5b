#pragma once

#include "Parser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <list>
#include <map>

namespace hyssop::gateway {

class UpstreamConnection;

/// What the connections of one Client share.
struct Client::Shared
{
    boost::asio::io_context *io = nullptr;
    AnswerHandler *handler = nullptr;
    ClientOptions options;
    ClientStats stats;
    std::int64_t lastCallId = 0;
    std::map<CallId, std::shared_ptr<UpstreamConnection>> calls;
    /// Idle connections, the one used last at the end.
    std::map<base::UpstreamId, std::list<std::shared_ptr<UpstreamConnection>>> idleConnections;
};

/// A connection to an upstream: carries one call at a time and is read while it is kept, so that
/// its end is noticed.
class UpstreamConnection final : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(std::shared_ptr<Client::Shared> client, base::UpstreamId upstream);

    void connect(CallId id, Call call);
    void reuse(CallId id, Call call);
    void setPaused(bool isPaused);
    void setResponseTimeout(base::Millis timeout);
    void close();
    /// Whether a request may still be sent, as far as the upstream's announced timeout tells.
    bool isUsable(base::TimePoint now) const { return now < m_usableUntil; }

private:
    void send();
    void read();
    void onRead(boost::system::error_code ec, std::size_t n);
    void process();
    /// False when the answer belongs to an earlier request.
    bool isExpectedResponse() const;
    void onResponseEnd();
    void keepIdle(const Fields &fields);
    void fail(CallFailure failure, std::string detail = {});

    std::shared_ptr<Client::Shared> m_client;
    base::UpstreamId m_upstream;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    boost::asio::steady_timer m_responseTimer;
    CallId m_callId; ///< 0 while it is kept.
    Call m_call;
    std::string m_requestHead;
    std::string m_input;
    std::array<char, 8192> m_readBuffer{};
    std::unique_ptr<Parser<false>> m_parser;
    bool m_isClosed = false;
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isWriting = false;
    bool m_wasRequestSent = false;
    bool m_isReused = false;
    bool m_isHeadDelivered = false;
    bool m_isStrayResponse = false; ///< The answer being read is dropped.
    base::TimePoint m_usableUntil;
};

} // namespace hyssop::gateway
