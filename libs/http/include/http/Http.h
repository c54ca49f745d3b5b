/// HTTP server and client on one event loop over libwebsockets.
///
/// A Loop belongs to one thread, the one that calls run(). Every handler is called on that thread.
/// Only post() and stop() may be called from other threads.
#pragma once

#include "base/Base.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssop::http {

enum class Method { Get, Post, Put, Delete, Other };

/// Name as it stands in a request line.
std::string_view methodName(Method method);

struct Header
{
    std::string name; ///< Lower case, without colon.
    std::string value;
};

using Headers = std::vector<Header>;

/// Value of the header \a name, or empty text.
std::string_view headerValue(const Headers &headers, std::string_view name);

/// A request whose body has arrived whole.
struct Request
{
    Method method = Method::Other;
    std::string path; ///< Without the query.
    std::string query; ///< After the question mark, as sent.
    Headers headers; ///< The standard ones in use here and those named in ServerOptions.
    std::string body;

    std::string_view header(std::string_view name) const { return headerValue(headers, name); }
    /// Value of the query parameter \a name, or empty text.
    std::string queryValue(std::string_view name) const;
};

struct Response
{
    int status = 200;
    std::string contentType = "application/json";
    Headers headers;
    std::string body;
};

/// A request being answered; never reused within a process.
using ExchangeId = base::Quantity<struct ExchangeTag>;
/// A call to another server; never reused within a process.
using CallId = base::Quantity<struct CallTag>;
using TimerId = base::Quantity<struct TimerTag>;

/// Why a server closed or refused an exchange before its handler saw it.
enum class RejectReason {
    BodyTooLarge,
    LengthRequired,
    BodyTimeout,
    HeadersTooLong,
    MemoryShort, ///< All unfinished bodies together hold too much.
};

std::string_view rejectReasonName(RejectReason reason);

/// Receives the requests of one listening address.
class ServerHandler
{
public:
    virtual ~ServerHandler() = default;
    virtual void onRequest(ExchangeId id, Request request) = 0;
    /// The peer closed the connection before the answer was complete.
    virtual void onPeerClosed(ExchangeId id) = 0;
    /// A request was answered with an error before it reached onRequest().
    virtual void onRejected(RejectReason reason) = 0;
};

struct ServerOptions
{
    base::Endpoint listen; ///< Port 0 takes a free port.
    std::vector<std::string> headers; ///< Lower-case names of further headers to collect.
    std::size_t maxBodyBytes = std::size_t(16) << 20;
    base::Millis bodyTimeout{30'000}; ///< Bound on the arrival of a whole body.
    /// Of all unfinished bodies; above it the largest is rejected. 0 means no limit.
    std::size_t maxHeldBodyBytes = 0;
    /// Above it the connection that has been idle longest is closed. 0 means no limit.
    std::size_t maxConnections = 0;
};

/// How far a failed call had come.
enum class SendState {
    NothingSent, ///< No byte of the request left this process.
    MayHaveArrived, ///< Some bytes left.
};

enum class CallFailure {
    ConnectFailed,
    ConnectTimeout,
    Timeout,
    ClosedEarly, ///< The connection ended or failed before the response was complete.
    InvalidResponse, ///< The received bytes are not a valid HTTP/1.1 response.
};

std::string_view callFailureName(CallFailure failure);

struct CallError
{
    CallFailure failure = CallFailure::ConnectFailed;
    SendState sent = SendState::NothingSent;
};

/// Receives the answer of calls. After onDone() or onFailed() nothing more comes for the call.
class CallHandler
{
public:
    virtual ~CallHandler() = default;
    virtual void onHead(CallId id, int status, const Headers &headers) = 0;
    virtual void onData(CallId id, std::string_view data) = 0;
    /// The answer ended as its framing says. One framed by the end of the connection counts too, if
    /// the server ended it without an error and the whole request could be written.
    virtual void onDone(CallId id) = 0;
    virtual void onFailed(CallId id, const CallError &error) = 0;
};

struct Call
{
    base::Endpoint to;
    Method method = Method::Get;
    std::string path; ///< With the query, if any.
    Headers headers;
    std::string body;
    std::vector<std::string> responseHeaders; ///< Lower-case names to collect.
    base::Millis connectTimeout{2'000};
    base::Millis timeout{30'000}; ///< Until the end of the answer.
    /// Nothing is written from then on, also when this process stood still meanwhile; the call
    /// fails instead. Without it only the timeouts bound the sending.
    std::optional<base::TimePoint> sendBefore = {};
};

/// Why a Loop could not be set up.
struct LoopError
{
    std::string message;
};

/// Event loop that serves and calls HTTP/1.1, with timers and messages from other threads.
class Loop
{
public:
    /// \a maxOpen bounds the accepted connections. Further callers wait until one of these ends.
    static tl::expected<std::unique_ptr<Loop>, LoopError> create(std::size_t maxOpen = 4096);
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// Listens; \a handler must outlive the loop. Returns the address with its actual port.
    tl::expected<base::Endpoint, LoopError> listen(ServerOptions options, ServerHandler *handler);

    /// Answers an exchange whole. An exchange that has ended is ignored.
    void respond(ExchangeId id, Response response);
    /// Starts an answer of unknown length, which ends by closing the connection.
    void startStream(ExchangeId id, int status, std::string contentType, Headers headers);
    void sendStream(ExchangeId id, std::string_view data);
    void endStream(ExchangeId id);
    /// Bytes accepted for the exchange and not yet written to its socket.
    std::size_t unsentBytes(ExchangeId id) const;

    /// Starts a call; \a handler must live until the call ends or is cancelled.
    CallId call(Call call, CallHandler *handler);
    /// Drops a call; its handler hears nothing more.
    void cancel(CallId id);

    TimerId after(base::Millis delay, std::function<void()> action);
    void cancelTimer(TimerId id);

    /// Runs \a action on the loop's thread. Thread-safe.
    void post(std::function<void()> action);
    /// Serves until stop().
    void run();
    /// Makes run() return. Thread-safe.
    void stop();

    struct Context; ///< Defined inside the library.

private:
    explicit Loop(std::unique_ptr<Context> context);
    std::unique_ptr<Context> m_context;
};

} // namespace hyssop::http
