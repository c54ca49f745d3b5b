/// HTTP/1.1 forwarding on one event loop over Boost.Asio, with messages parsed by Boost.Beast.
///
/// A Server takes callers' requests whole and lets their answers be sent in parts. A Client sends
/// requests to upstreams over kept connections and hands over the answers as they come. Both pass
/// on every header and tell a complete answer from one that broke off. They belong to the thread
/// that runs their io_context; nothing here may be called from another one.
#pragma once

#include "base/Base.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssop::gateway {

struct Field
{
    std::string name; ///< As sent; names compare without regard to case.
    std::string value;
};

using Fields = std::vector<Field>;

/// Value of the first field \a name, or nothing.
std::optional<std::string_view> fieldValue(const Fields &fields, std::string_view name);
/// Whether two field names are the same.
bool isSameName(std::string_view a, std::string_view b);
/// Fields that concern more than one connection, without those that frame the body.
Fields endToEnd(const Fields &fields);

struct RequestHead
{
    std::string method;
    std::string target; ///< Path and query, as sent.
    Fields fields;
};

/// Bounds on what a caller may send and how long it may take.
struct ServerLimits
{
    std::size_t headerBytes = std::size_t(16) << 10;
    std::size_t bodyBytes = std::size_t(4) << 20;
    base::Millis headerTimeout{3'000}; ///< From the first byte of a request to its last header.
    base::Millis bodyTimeout{10'000}; ///< From the last header to the end of the body.
    base::Millis idleTimeout{15'000}; ///< Of a kept connection.
};

class CallerConnection;

/// One request of a caller and the answer to it. Calls after its end do nothing.
class Exchange
{
public:
    Exchange(std::weak_ptr<CallerConnection> connection, RequestHead head, std::string body,
             base::TimePoint arrivedAt);

    const RequestHead &head() const { return m_head; }
    const std::string &body() const { return m_body; }
    base::TimePoint arrivedAt() const { return m_arrivedAt; } ///< Of its first byte.
    /// Hands the body over, for a request that outlives its exchange's need of it.
    std::string takeBody() { return std::move(m_body); }

    /// Answers whole. An answer to HEAD keeps its length and loses its body.
    void respond(int status, const Fields &fields, std::string_view body);
    /// Starts an answer of unknown length.
    void start(int status, const Fields &fields);
    void send(std::string_view data);
    /// Ends an answer that was started.
    void finish();
    /// Closes the connection, so that an answer that was started is seen to be incomplete.
    void abort();
    /// Bytes of the answer that the caller has not taken yet.
    std::size_t unsent() const;
    bool isStarted() const { return m_isStarted; }

private:
    friend class CallerConnection;
    std::weak_ptr<CallerConnection> m_connection;
    RequestHead m_head;
    std::string m_body;
    base::TimePoint m_arrivedAt;
    bool m_isStarted = false;
    bool m_isEnded = false;
};

/// Receives the requests of one or more listening addresses.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;
    virtual void onRequest(const std::shared_ptr<Exchange> &exchange) = 0;
    /// The caller closed its connection before the answer was complete.
    virtual void onCallerGone(Exchange &exchange) = 0;
    /// The caller has taken what was sent so far.
    virtual void onDrained(Exchange &exchange) = 0;
    /// A request was answered with \a status because it was malformed or over a limit.
    virtual void onRejected(int status, std::string_view reason) = 0;
};

/// Why an address could not be listened on.
struct ListenError
{
    std::string message;
};

class Server
{
public:
    Server(boost::asio::io_context *io, CallerHandler *handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    tl::expected<base::Endpoint, ListenError> listen(const base::Endpoint &address);
    /// Holds for what is read from now on.
    void setLimits(const ServerLimits &limits);
    /// Every answer from now on asks its caller to close the connection.
    void announceClose();
    /// Closes connections that wait for a request, and refuses new ones.
    void closeIdle();
    std::size_t connections() const;

    struct Shared; ///< Defined inside the library.

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

using CallId = base::Quantity<struct GatewayCallTag>;

/// How an upstream's connection failed a call.
enum class CallFailure {
    ConnectFailed,
    ConnectTimeout,
    ConnectionClosed, ///< Before the first byte of the answer.
    ResponseTruncated, ///< In the middle of the answer.
    InvalidResponse, ///< The bytes are no answer of HTTP/1.1.
    ResponseTimeout, ///< The answer did not end within the call's bound.
};

std::string_view faultName(CallFailure failure);

struct CallError
{
    CallFailure fault = CallFailure::ConnectFailed;
    bool wasSent = false; ///< Some bytes of the request left this process.
    bool isConnectionReused = false; ///< The connection had carried a request before.
    std::string detail = {}; ///< Of the system or the parser; for people.
};

struct AnswerHead
{
    int status = 0;
    Fields fields;
    std::optional<std::uint64_t> contentLength; ///< Empty when only the framing ends the body.
};

/// Receives the answers of calls. Nothing more comes after onEnd() or onFault().
class AnswerHandler
{
public:
    virtual ~AnswerHandler() = default;
    virtual void onHead(CallId id, const AnswerHead &head) = 0;
    virtual void onBody(CallId id, std::string_view data) = 0;
    /// The answer is complete by its framing.
    virtual void onEnd(CallId id) = 0;
    virtual void onFault(CallId id, const CallError &error) = 0;
};

struct Call
{
    /// Connections are kept apart by this, since an address may pass to another upstream.
    base::UpstreamId upstream;
    base::Endpoint to;
    RequestHead head; ///< Without the fields that frame the body.
    std::shared_ptr<const std::string> body; ///< May be empty.
    /// Field that every answer echoes from the request; answers with another value in it belong to
    /// an earlier request and are dropped.
    std::string echoField;
    base::Millis connectTimeout{500};
    base::Millis answerTimeout{0}; ///< From start() to the end of the answer; 0 for no bound.
    bool mayUseKept = true; ///< A kept connection may close while the request is on its way.
};

struct ClientOptions
{
    /// A kept connection is not used later than this before the upstream's announced timeout.
    base::Millis keepAliveMargin{1'000};
    /// Idle time for which a connection is kept where the upstream announces none.
    base::Millis defaultKeepAlive{4'000};
    std::size_t maxIdleConnections = 64; ///< For each upstream.
};

/// Figures for counters.
struct ClientStats
{
    std::int64_t connects = 0;
    std::int64_t reuses = 0;
    std::int64_t strays = 0; ///< Answers and bytes that belonged to no request.
};

class Client
{
public:
    Client(boost::asio::io_context *io, AnswerHandler *handler, ClientOptions options = {});
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    CallId start(Call call);
    /// Closes the call's connection; its handler hears nothing more.
    void cancel(CallId id);
    /// Fails the call unless its answer ends within \a limit.
    void endWithin(CallId id, base::Millis timeout);
    /// Stops or goes on reading the answer of a call.
    void setPaused(CallId id, bool isPaused);
    /// Closes the kept connections of an upstream that is gone.
    void forget(const base::UpstreamId &upstream);
    const ClientStats &stats() const;

    struct Shared; ///< Defined inside the library.

private:
    std::shared_ptr<Shared> m_shared;
};

} // namespace hyssop::gateway
