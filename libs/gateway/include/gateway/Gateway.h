/// HTTP/1.1 server and client for proxying, on Boost.Asio with the parsers of Boost.Beast.
///
/// A Server buffers requests of callers and can stream the responses. A Client sends requests to
/// upstreams over persistent connections and streams the responses. Both expose all header fields
/// and distinguish complete from truncated responses. Nothing here is thread-safe. Everything runs
/// on the thread that runs the io_context.
#pragma once

#include "base/Base.h"
#include "gateway/CallerAccount.h"
#include "http1/Http1.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssop::gateway {

using http1::equalsIgnoreCase;
using http1::Field;
using http1::Fields;
using http1::fieldValue;

/// Returns the fields to forward: all except hop-by-hop fields and those that frame the body.
Fields endToEndFields(const Fields &fields);

/// Request line and header fields of a request.
struct RequestHead
{
    std::string method;
    std::string target; ///< Path and query, as sent.
    Fields fields;
};

/// Limits on the size and the arrival time of requests.
struct ServerLimits
{
    std::size_t maxHeaderBytes = std::size_t(16) << 10;
    std::size_t maxBodyBytes = std::size_t(4) << 20;
    base::Millis headerTimeout{3'000}; ///< From the first byte of a request to its last header.
    base::Millis bodyTimeout{10'000}; ///< From the last header to the end of the body.
    base::Millis idleTimeout{15'000}; ///< Of a connection that waits for a request.
};

class CallerConnection;

/// A request of a caller and its response. After the response has ended or the caller has
/// disconnected, functions that send have no effect. An exchange that is destroyed before its
/// response has ended gets status 502, or closes its connection if the response has started.
class Exchange
{
public:
    Exchange(std::weak_ptr<CallerConnection> connection, RequestHead head, std::string body,
             base::TimePoint arrivedAt);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    const RequestHead &head() const { return m_head; }
    const std::string &body() const { return m_body; }
    /// Time at which the first byte of the request arrived.
    base::TimePoint arrivedAt() const { return m_arrivedAt; }
    /// Moves the body out, for a request that is still needed after its exchange.
    std::string takeBody() { return std::move(m_body); }

    /// Sends a complete response. The response to HEAD has a Content-Length but no body. A streamed
    /// response that was started is broken off instead.
    void respond(int status, const Fields &fields, std::string_view body);
    /// Starts a streamed response, which is sent in chunks.
    void start(int status, const Fields &fields);
    /// Sends a part of the body of a streamed response.
    void send(std::string_view data);
    /// Completes a streamed response.
    void finish();
    /// Closes the connection. The caller sees a streamed response as incomplete.
    void abort();
    /// States how many bytes the handler holds for the response, apart from what was sent.
    void setBuffered(std::size_t bytes);
    /// Whether the body was not read, as CallerHandler::wantsBody() said.
    bool isBodySkipped() const { return m_isBodySkipped; }
    /// Number of bytes that wait to be written to the connection.
    std::size_t unsentBytes() const;
    /// Returns whether start() was called.
    bool isStarted() const { return m_isStarted; }

private:
    friend class CallerConnection;
    /// Breaks the response off, which the handler can no longer complete.
    void abandon(std::string_view reason);

    std::weak_ptr<CallerConnection> m_connection;
    RequestHead m_head;
    std::string m_body;
    base::TimePoint m_arrivedAt;
    bool m_isStarted = false;
    bool m_isEnded = false;
    bool m_isBodySkipped = false;
};

/// Receives the requests of a Server.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;
    /// The head of a request has arrived and its body has not arrived whole. If the response does
    /// not depend on the body, false lets onRequest() follow at once, without it. The connection
    /// closes after the response then.
    virtual bool wantsBody(const RequestHead &) { return true; }
    /// Longest time for a body to arrive, ServerLimits::bodyTimeout by default. Called after
    /// wantsBody() returned true.
    virtual base::Millis bodyTimeout(const RequestHead &, base::Millis usual) { return usual; }
    /// A request has arrived, including its body. The handler owns the exchange.
    virtual void onRequest(const std::shared_ptr<Exchange> &exchange) = 0;
    /// The connection was closed or failed before the response was complete.
    virtual void onCallerDisconnected(Exchange &exchange) = 0;
    /// All data sent so far has been written to the connection.
    virtual void onDrained(Exchange &exchange) = 0;
    /// A request got \a status as response because it was malformed, too large or too slow.
    virtual void onRejected(int status, std::string_view reason) = 0;
};

/// Why the server could not listen on an address.
struct ListenError
{
    std::string message;
};

/// What several servers of a process hold for their callers together, and its limits. Connections
/// are given up as CallerAccount decides.
class CallerResources
{
public:
    explicit CallerResources(CallerLimits limits)
        : m_account(limits)
    { }

    const CallerAccount &account() const { return m_account; }
    /// Connections given up so far, by reason.
    std::int64_t shedCount(ShedReason reason) const
    {
        return m_shedCounts[static_cast<std::size_t>(reason)];
    }

private:
    friend class CallerConnection;

    void shedMemory(base::TimePoint now);
    void shedConnection(const CallerConnection &newest, base::TimePoint now);
    void shed(CallerAccount::Victim victim, base::TimePoint now);
    /// Counts and logs a connection that was given up.
    void noteShed(ShedReason reason, base::TimePoint now);

    CallerAccount m_account;
    std::unordered_map<std::int64_t, std::weak_ptr<CallerConnection>> m_connections;
    std::array<std::int64_t, 6> m_shedCounts{};
    bool m_isShedPosted = false;
    std::int64_t m_unloggedSheds = 0;
    base::TimePoint m_lastLogAt{};
};

/// HTTP/1.1 server for callers. \a io and \a handler must outlive it.
class Server
{
public:
    /// Counters since the server was created. Each request that was read whole ends in one way.
    struct Stats
    {
        std::int64_t requests = 0; ///< Requests that were read whole.
        std::int64_t answered = 0; ///< Got a complete response.
        std::int64_t brokenOff = 0; ///< The handler closed the connection instead.
        std::int64_t abandoned = 0; ///< The handler forgot them or could not complete the response.
        std::int64_t disconnected = 0; ///< The caller closed its connection first.

        /// Requests without an end.
        std::int64_t open() const
        {
            return requests - answered - brokenOff - abandoned - disconnected;
        }
    };

    /// \a resources may be shared with other servers on the same thread; without them nothing is
    /// limited.
    Server(boost::asio::io_context *io, CallerHandler *handler,
           std::shared_ptr<CallerResources> resources = nullptr);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Listens on \a address, one of several. Port 0 selects a free port. Returns the address with
    /// the actual port.
    tl::expected<base::Endpoint, ListenError> listen(const base::Endpoint &address);
    /// Sets the limits. Sizes apply from the next request on, timeouts at once. A connection that
    /// is idle keeps the longest idle timeout since it became so.
    void setLimits(const ServerLimits &limits);
    /// Sends "Connection: close" in all responses that start from now on, and closes their
    /// connections afterwards.
    void announceClose();
    /// Accepts the connections that wait for it and stops listening.
    void stopListening();
    /// Closes the connections that this function found idle at the call before, too, and from which
    /// nothing has arrived since. To be called again and again while the server stops.
    void closeIdle();
    /// Number of open connections.
    std::size_t connectionCount() const;
    const Stats &stats() const;

    struct Shared; ///< Defined inside the library.

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Identifies a call of a Client. 0 identifies none.
using CallId = base::Quantity<struct GatewayCallTag>;

/// Why a call failed.
enum class CallFailure {
    ConnectFailed,
    ConnectTimeout,
    ConnectionClosed, ///< The connection ended or failed before the first byte of the response.
    ResponseTruncated, ///< The connection ended or failed in the middle of the response.
    InvalidResponse, ///< The received bytes are not a valid HTTP/1.1 response.
    ResponseTimeout, ///< The response did not end within the timeout of the call.
    /// The request has an id and the response has none, so it may belong to no request.
    UnidentifiedResponse,
};

/// Returns the name of a failure as used in logs and metrics.
std::string_view callFailureName(CallFailure failure);

/// Failure of a call.
struct CallError
{
    CallFailure failure = CallFailure::ConnectFailed;
    bool wasSent = false; ///< Sending had started, so the upstream may have received the request.
    bool isConnectionReused = false; ///< The connection had carried a request before.
    std::string detail = {}; ///< Message of the system or the parser, for logs.
};

/// Status and header fields of a response.
struct ResponseHead
{
    int status = 0;
    Fields fields;
    std::optional<std::uint64_t> contentLength; ///< Empty if the response states no length.
    /// The id of the request stands in the response, or the protocol echoes none. If false, the
    /// request has no id, and the response may belong to no request.
    bool isIdentified = true;
};

/// Receives the responses of calls. onEnd() or onFailed() is the last event of a call.
class ResponseHandler
{
public:
    virtual ~ResponseHandler() = default;
    /// The status and all header fields have arrived. Not called for 1xx responses.
    virtual void onHead(CallId id, const ResponseHead &head) = 0;
    /// A part of the body has arrived. \a data is valid during the call only.
    virtual void onBody(CallId id, std::string_view data) = 0;
    /// The response is complete according to its framing. One that is framed by the end of its
    /// connection is complete if the whole request could be written, too.
    virtual void onEnd(CallId id) = 0;
    /// The call has failed and its connection is closed.
    virtual void onFailed(CallId id, const CallError &error) = 0;
};

/// A request to an upstream.
struct Call
{
    /// Connections are pooled by this id, since another upstream may take over an address.
    base::UpstreamId upstream;
    base::Endpoint to;
    RequestHead head; ///< Without the fields that frame the body.
    std::shared_ptr<const std::string> body; ///< May be null or empty.
    /// Name of a field that responses copy from their request. A response with another value
    /// belongs to an earlier request and is dropped, also if this request lacks the field. If the
    /// request has the field and a response doesn't, the call fails: additional bytes after an
    /// earlier response would otherwise be taken for the answer. Nothing is compared if this is
    /// empty.
    std::string echoFieldName;
    base::Millis connectTimeout{500};
    base::Millis responseTimeout{0}; ///< From start() to the end of the response. 0 means no limit.
    /// Allows an idle connection to be reused, which the upstream may close during the request.
    bool canReuseConnection = true;
    /// The connection is closed after the call if so many to this upstream are idle.
    std::size_t maxIdleConnections = 64;
};

/// Result of a connection attempt without a request.
enum class ProbeResult {
    Accepted,
    Refused, ///< Nothing listens at the address.
    NoAnswer, ///< It took too long, or the address cannot be reached.
};

/// Settings for the connection pools of a Client.
struct ClientOptions
{
    /// An idle connection is not reused within this time before the timeout that the upstream
    /// announced.
    base::Millis keepAliveMargin{1'000};
    /// Idle time after which a connection is not reused, if the upstream announced no timeout.
    base::Millis defaultKeepAlive{4'000};
};

/// Counters of a Client since it was created.
struct ClientStats
{
    std::int64_t connects = 0; ///< New connections, including failed ones.
    std::int64_t reuses = 0; ///< Calls on a reused connection.
    std::int64_t strayResponses =
            0; ///< Responses, or data between responses, that match no request.
    std::int64_t unidentifiedResponses = 0; ///< Those of them that carry no id.
};

/// HTTP/1.1 client for upstreams with a connection pool for each upstream. \a io and \a handler
/// must outlive it.
class Client
{
public:
    Client(boost::asio::io_context *io, ResponseHandler *handler, ClientOptions options = {});
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Starts a call. The handler receives its events after this function has returned.
    CallId start(Call call);
    /// Closes the connection of a call. The handler receives no further events of the call.
    void cancel(CallId id);
    /// Fails a call unless its response ends within \a timeout from now. Replaces the previous
    /// timeout of the call.
    void setResponseTimeout(CallId id, base::Millis timeout);
    /// Pauses or resumes reading the response of a call. A read that has started still completes.
    void setPaused(CallId id, bool isPaused);
    /// Connects to an address and closes the connection. Calls \a done after this function has
    /// returned, unless the client is destroyed before.
    void probe(const base::Endpoint &to, base::Millis timeout,
               std::function<void(ProbeResult)> done);
    /// Closes the idle connections to an upstream that was removed.
    void closeIdle(const base::UpstreamId &upstream);
    /// Counters for metrics.
    const ClientStats &stats() const;

    struct Shared; ///< Defined inside the library.

private:
    std::shared_ptr<Shared> m_shared;
};

} // namespace hyssop::gateway
