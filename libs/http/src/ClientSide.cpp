#include "LoopContext.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <span>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hyssop::http {

namespace {

/// Events handled before the loop sees to its other work.
constexpr int kMaxPollEvents = 64;
/// Limit on bytes in succession that add nothing to a response: interim responses, chunk extensions
/// and trailer fields.
constexpr std::size_t kMaxUndeliveredBytes = std::size_t(1) << 20;

bool mayStillSend(const PendingCall &pending)
{
    return !pending.call.sendBefore || base::monotonicNow() < *pending.call.sendBefore;
}

std::string renderRequest(const Call &call)
{
    std::string text(methodName(call.method));
    text += " " + call.path + " HTTP/1.1\r\nhost: " + call.to.address + "\r\nconnection: close\r\n";
    for (const Header &header : call.headers)
        text += header.name + ": " + header.value + "\r\n";
    if (call.method == Method::Post || call.method == Method::Put)
        text += "content-length: " + std::to_string(call.body.size()) + "\r\n";
    return text + "\r\n" + call.body;
}

/// Adds the socket of a call to the poller, or adapts what is polled for to its stage.
void updatePolling(const Loop::Context &context, const PendingCall &pending, int operation)
{
    epoll_event event{};
    event.data.u64 = static_cast<std::uint64_t>(pending.id.count());
    if (pending.stage == CallStage::Writing || pending.stage == CallStage::Written)
        event.events |= EPOLLIN;
    if (pending.stage != CallStage::Written)
        event.events |= EPOLLOUT;
    ::epoll_ctl(context.callPoller, operation, pending.socket.fd(), &event);
}

void setStage(const Loop::Context &context, PendingCall &pending, CallStage stage)
{
    pending.stage = stage;
    updatePolling(context, pending, EPOLL_CTL_MOD);
}

/// Takes a call out of the context, which ends its connection and its timers.
std::unique_ptr<PendingCall> takeCall(Loop::Context &context, CallId id)
{
    const auto it = context.calls.find(id.count());
    if (it == context.calls.end())
        return nullptr;
    std::unique_ptr<PendingCall> owned = std::move(it->second);
    context.calls.erase(it);
    context.stopTimer(owned->connectTimer);
    context.stopTimer(owned->timer);
    return owned;
}

void finishCall(Loop::Context &context, CallId id)
{
    if (const auto owned = takeCall(context, id))
        owned->handler->onDone(id);
}

/// Ends a call with an error, once; \a context forgets it.
void failCall(Loop::Context &context, CallId id, CallFailure failure)
{
    const auto owned = takeCall(context, id);
    if (!owned)
        return;
    CallError error;
    error.failure = failure;
    error.sent = owned->hasSent ? SendState::MayHaveArrived : SendState::NothingSent;
    owned->handler->onFailed(id, error);
}

/// Completes a response that is framed by the end of its connection. The system reports a reset
/// once. If it reports it to a write, reading ends as though the server had closed the connection.
void completeAtEndOfFile(Loop::Context &context, PendingCall &pending)
{
    boost::beast::error_code ec;
    pending.parser->put_eof(ec);
    if (ec || pending.hasWriteFailed)
        failCall(context, pending.id, CallFailure::ClosedEarly);
    else
        finishCall(context, pending.id);
}

/// Writes as much of the request as the socket takes.
void writeRequest(Loop::Context &context, PendingCall &pending)
{
    if (!mayStillSend(pending))
        return failCall(context, pending.id,
                        pending.hasSent ? CallFailure::ClosedEarly : CallFailure::ConnectFailed);
    pending.hasSent = true;
    const ssize_t n = ::send(pending.socket.fd(), pending.request.data() + pending.sentBytes,
                             pending.request.size() - pending.sentBytes, MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    // What the server sent before may still be read, and may be complete.
    pending.hasWriteFailed = n < 0;
    pending.sentBytes += static_cast<std::size_t>(std::max<ssize_t>(n, 0));
    if (!pending.hasWriteFailed && pending.sentBytes < pending.request.size())
        return;
    if (pending.stage == CallStage::WritingAfterResponse)
        completeAtEndOfFile(context, pending);
    else
        setStage(context, pending, CallStage::Written);
}

void deliverHead(PendingCall &pending)
{
    const http1::Fields &fields = pending.parser->fields;
    Headers headers;
    const auto add = [&](const std::string &name) {
        const auto value = http1::fieldValue(fields, name);
        if (value && !value->empty())
            headers.push_back({name, std::string(*value)});
    };
    add("content-type");
    add("retry-after");
    for (const std::string &name : pending.call.responseHeaders)
        add(name);
    pending.hasHead = true;
    pending.handler->onHead(pending.id, pending.parser->status, headers);
}

/// Parses what has arrived and passes it on. The handler may end any call meanwhile, also this one.
void parseResponse(Loop::Context &context, CallId id)
{
    for (PendingCall *pending = context.call(id); pending && !pending->input.empty();
         pending = context.call(id)) {
        boost::beast::error_code ec;
        if (!http1::feed(*pending->parser, pending->input, ec))
            return failCall(context, id, CallFailure::InvalidResponse);
        if (!pending->parser->is_header_done())
            return;
        const bool isInterim = pending->parser->status < 200;
        if (!pending->hasHead && !isInterim) {
            pending->undeliveredBytes = 0;
            deliverHead(*pending);
            pending = context.call(id);
            if (!pending)
                return;
        }
        const std::string body = std::exchange(pending->parser->body, {});
        if (!body.empty()) {
            pending->undeliveredBytes = 0;
            pending->handler->onData(id, body);
            pending = context.call(id);
        }
        if (!pending || !pending->parser->is_done())
            return;
        if (!isInterim)
            return finishCall(context, id);
        pending->parser = std::make_unique<http1::Parser<false>>();
    }
}

void endOfFile(Loop::Context &context, PendingCall &pending)
{
    if (!pending.hasHead || !pending.parser->need_eof())
        return failCall(context, pending.id, CallFailure::ClosedEarly);
    if (pending.stage == CallStage::Writing)
        return setStage(context, pending, CallStage::WritingAfterResponse);
    completeAtEndOfFile(context, pending);
}

void readResponse(Loop::Context &context, PendingCall &pending)
{
    const CallId id = pending.id;
    std::array<char, kReadChunkBytes> buf{};
    const ssize_t n = ::recv(pending.socket.fd(), buf.data(), buf.size(), 0);
    if (n < 0) {
        if (errno != EAGAIN && errno != EINTR)
            failCall(context, id, CallFailure::ClosedEarly);
        return;
    }
    if (n == 0)
        return endOfFile(context, pending);
    pending.input.append(buf.data(), static_cast<std::size_t>(n));
    pending.undeliveredBytes += static_cast<std::size_t>(n);
    parseResponse(context, id);
    const PendingCall *current = context.call(id);
    if (current && current->undeliveredBytes > kMaxUndeliveredBytes)
        failCall(context, id, CallFailure::InvalidResponse);
}

/// Continues a call whose connection has been made or has failed to be.
void connected(Loop::Context &context, PendingCall &pending)
{
    int error = 0;
    socklen_t size = sizeof(error);
    if (::getsockopt(pending.socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        return failCall(context, pending.id, CallFailure::ConnectFailed);
    context.stopTimer(pending.connectTimer);
    setStage(context, pending, CallStage::Writing);
    writeRequest(context, pending);
}

/// Handles the epoll events of a call's socket.
void socketReady(Loop::Context &context, CallId id, std::uint32_t events)
{
    PendingCall *pending = context.call(id);
    if (!pending)
        return;
    if (pending->stage == CallStage::Connecting)
        return connected(context, *pending);
    const bool hasFailed = (events & (EPOLLERR | EPOLLHUP)) != 0;
    const bool isWriting = pending->stage != CallStage::Written;
    if (isWriting && (hasFailed || (events & EPOLLOUT) != 0)) {
        writeRequest(context, *pending);
        pending = context.call(id);
    }
    const bool isReading = pending && pending->stage != CallStage::WritingAfterResponse;
    if (isReading && (hasFailed || (events & EPOLLIN) != 0))
        readResponse(context, *pending);
}

void startCall(Loop::Context &context, CallId id)
{
    PendingCall *pending = context.call(id);
    if (!pending)
        return;
    pending->request = renderRequest(pending->call);
    std::string().swap(pending->call.body);
    if (!pending->socket.connect(pending->call.to))
        return failCall(context, id, CallFailure::ConnectFailed);
    updatePolling(context, *pending, EPOLL_CTL_ADD);
}

} // namespace

ClientSocket::~ClientSocket()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

bool ClientSocket::connect(const base::Endpoint &to)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    if (::inet_pton(AF_INET, to.address.c_str(), &address.sin_addr) != 1)
        return false;
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_fd < 0)
        return false;
    const int on = 1;
    ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return ::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
           || errno == EINPROGRESS;
}

int clientCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t len)
{
    if (reason != LWS_CALLBACK_RAW_RX_FILE)
        return wsi ? lws_callback_http_dummy(wsi, reason, user, in, len) : 0;
    Loop::Context &context = contextOf(wsi);
    std::array<epoll_event, kMaxPollEvents> events{};
    const int n = ::epoll_wait(context.callPoller, events.data(), kMaxPollEvents, 0);
    for (const epoll_event &it : std::span(events).first(std::max(n, 0)))
        socketReady(context, CallId(static_cast<std::int64_t>(it.data.u64)), it.events);
    return 0;
}

CallId Loop::call(Call call, CallHandler *handler)
{
    Context &context = *m_context;
    auto owned = std::make_unique<PendingCall>();
    PendingCall &pending = *owned;
    pending.id = CallId(++context.lastId);
    pending.call = std::move(call);
    pending.handler = handler;
    pending.parser = std::make_unique<http1::Parser<false>>();
    const CallId id = pending.id;
    context.calls.emplace(id.count(), std::move(owned));
    pending.connectTimer = context.startTimer(pending.call.connectTimeout, [&context, id] {
        const PendingCall *late = context.call(id);
        if (late && !late->hasSent)
            failCall(context, id, CallFailure::ConnectTimeout);
    });
    pending.timer = context.startTimer(
            pending.call.timeout, [&context, id] { failCall(context, id, CallFailure::Timeout); });
    // Started from the loop so that no handler is called before this function returns.
    context.startTimer(base::Millis(0), [&context, id] { startCall(context, id); });
    return id;
}

void Loop::cancel(CallId id)
{
    takeCall(*m_context, id);
}

} // namespace hyssop::http
