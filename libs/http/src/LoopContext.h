#pragma once

#include "http/Http.h"
#include "http1/Http1.h"

#include <libwebsockets.h>

#include <atomic>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace hyssop::http {

struct Listener;

/// One server-side exchange on a connection.
struct Exchange
{
    ExchangeId id;
    lws *wsi = nullptr;
    ServerHandler *handler = nullptr;
    Listener *listener = nullptr;
    Request request;
    std::size_t maxBodyBytes = 0;
    std::string out; ///< Body bytes not yet written.
    std::string head; ///< Rendered status line and headers, written first.
    bool isDelivered = false;
    bool isEnded = false; ///< No more body bytes will be added.
    bool closesAfter = false;
    TimerId bodyTimer;
};

/// A socket that closes with its owner.
class ClientSocket
{
public:
    ClientSocket() = default;
    ~ClientSocket();
    ClientSocket(const ClientSocket &) = delete;
    ClientSocket &operator=(const ClientSocket &) = delete;

    /// Begins to connect; false if that failed at once.
    bool connect(const base::Endpoint &to);
    int fd() const { return m_fd; }

private:
    int m_fd = -1;
};

/// How far a client-side call has come.
enum class CallStage {
    Connecting,
    Writing, ///< The response may arrive meanwhile.
    Written, ///< The response is being read.
    /// Of the request, while the server has ended its side, and with it a response without a
    /// length.
    WritingAfterResponse,
};

/// One client-side call, on a connection of its own.
struct PendingCall
{
    CallId id;
    Call call;
    CallHandler *handler = nullptr;
    ClientSocket socket;
    CallStage stage = CallStage::Connecting;
    std::string request; ///< Head and body.
    std::size_t sentBytes = 0; ///< Of the request.
    bool hasSent = false; ///< Writing has begun.
    bool hasWriteFailed = false;
    std::unique_ptr<http1::Parser<false>> parser;
    std::string input; ///< Received and not yet parsed.
    bool hasHead = false; ///< The handler has got it.
    std::size_t undeliveredBytes = 0; ///< Received since the last part of the response.
    TimerId connectTimer;
    TimerId timer;
};

/// One address a Loop listens on.
struct Listener
{
    ServerOptions options;
    ServerHandler *handler = nullptr;
    std::size_t heldBodyBytes = 0; ///< Of bodies that have not arrived whole.
    std::unordered_set<lws *> connections;
    std::list<lws *>
            idle; ///< Of these, those without a request, in the order in which they became so.
    std::vector<std::string> headerNames; ///< With the trailing colon libwebsockets wants.
};

struct Timer;

/// The library's timer entry with a way back to its owner.
struct TimerEntry
{
    lws_sorted_usec_list_t sul{};
    Timer *timer = nullptr;
};

struct Timer
{
    TimerEntry entry;
    Loop::Context *context = nullptr;
    TimerId id;
    std::function<void()> action;
};

/// State of a Loop; touched by its own thread only, but for the mailbox and the stop flag.
struct Loop::Context
{
    lws_context *lwsContext = nullptr;
    int callPoller = -1; ///< Epoll instance with the sockets of the calls; owned by lwsContext.
    std::vector<std::unique_ptr<Listener>> listeners;
    std::unordered_map<std::int64_t, std::unique_ptr<Exchange>> exchanges;
    std::unordered_map<std::int64_t, std::unique_ptr<PendingCall>> calls;
    std::unordered_map<std::int64_t, std::unique_ptr<Timer>> timers;
    std::int64_t lastId = 0;
    base::Mailbox<std::function<void()>> mailbox;
    std::atomic<bool> isStopping = false;

    TimerId startTimer(base::Millis delay, std::function<void()> action);
    void stopTimer(TimerId id);
    Exchange *exchange(ExchangeId id) const;
    PendingCall *call(CallId id) const;
};

Loop::Context &contextOf(lws *wsi);
/// Value of a header the library knows, or empty text.
std::string headerText(lws *wsi, lws_token_indexes token);
/// Value of another header; \a name is lower case and ends with a colon.
std::string customHeader(lws *wsi, const std::string &name);

int serverCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t len);
int clientCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t len);

/// Bytes written to a socket at a time, and read from one.
inline constexpr std::size_t kWriteChunkBytes = 16 * 1024;
inline constexpr std::size_t kReadChunkBytes = 16 * 1024;
inline constexpr std::size_t kMaxHeaderBytes = 8 * 1024;

} // namespace hyssop::http
