#include "LoopContext.h"

namespace hyssop::http {

namespace {

PendingCall *callOf(lws *wsi)
{
    const auto id = reinterpret_cast<std::intptr_t>(lws_get_opaque_user_data(wsi));
    PendingCall *call = contextOf(wsi).call(CallId(id));
    if (call)
        call->wsi = wsi;
    return call;
}

/// The call's own timers bound it; the library's would cut an answer off that comes late.
void liftLibraryTimeout(Loop::Context &context, CallId id)
{
    // The library sets its timeout after the callback, so it is lifted on the loop's next turn.
    context.startTimer(base::Millis(0), [&context, id] {
        const PendingCall *pending = context.call(id);
        if (pending && pending->wsi)
            lws_set_timeout(pending->wsi, NO_PENDING_TIMEOUT, 0);
    });
}

bool appendHeaders(lws *wsi, PendingCall &pending, unsigned char **p, unsigned char *end)
{
    const auto add = [&](const std::string &name, const std::string &value) {
        const std::string withColon = name + ":";
        return lws_add_http_header_by_name(
                       wsi, reinterpret_cast<const unsigned char *>(withColon.c_str()),
                       reinterpret_cast<const unsigned char *>(value.data()),
                       static_cast<int>(value.size()), p, end)
               == 0;
    };
    for (const Header &header : pending.call.headers) {
        if (!add(header.name, header.value))
            return false;
    }
    const bool hasBody = pending.call.method == Method::Post || pending.call.method == Method::Put;
    if (!hasBody) {
        liftLibraryTimeout(contextOf(wsi), pending.id);
        return true;
    }
    if (!add("content-length", std::to_string(pending.call.body.size())))
        return false;
    if (!pending.call.body.empty()) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    return true;
}

int writeBody(lws *wsi, PendingCall &pending)
{
    const std::string &body = pending.call.body;
    if (pending.bodySent >= body.size())
        return 0;
    const std::size_t n = std::min(body.size() - pending.bodySent, kWriteChunkBytes);
    std::string buf(LWS_PRE, '\0');
    buf.append(body, pending.bodySent, n);
    pending.bodySent += n;
    const bool isLast = pending.bodySent == body.size();
    if (isLast) {
        lws_client_http_body_pending(wsi, 0);
        liftLibraryTimeout(contextOf(wsi), pending.id);
    } else {
        lws_callback_on_writable(wsi);
    }
    return lws_write(wsi, reinterpret_cast<unsigned char *>(buf.data()) + LWS_PRE, n,
                     isLast ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
                           < 0
                   ? -1
                   : 0;
}

void readHead(lws *wsi, PendingCall &pending)
{
    Headers headers;
    const std::string length = headerText(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    if (!length.empty())
        pending.expectedBytes = std::strtoull(length.c_str(), nullptr, 10);
    pending.isChunked = !headerText(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING).empty();
    const std::string type = headerText(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
    if (!type.empty())
        headers.push_back({"content-type", type});
    const std::string retryAfter = headerText(wsi, WSI_TOKEN_HTTP_RETRY_AFTER);
    if (!retryAfter.empty())
        headers.push_back({"retry-after", retryAfter});
    for (const std::string &name : pending.call.responseHeaders) {
        const std::string key = name + ":";
        const std::string text = customHeader(wsi, key);
        if (text.empty())
            continue;
        headers.push_back({name, text});
    }
    pending.hasHead = true;
    Loop::Context &context = contextOf(wsi);
    context.stopTimer(pending.connectTimer);
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    pending.handler->onHead(pending.id, static_cast<int>(lws_http_client_http_response(wsi)),
                            headers);
}

void finishCall(Loop::Context &context, CallId id)
{
    const auto it = context.calls.find(id.count());
    if (it == context.calls.end())
        return;
    const std::unique_ptr<PendingCall> owned = std::move(it->second);
    context.calls.erase(it);
    context.stopTimer(owned->connectTimer);
    context.stopTimer(owned->timer);
    owned->handler->onDone(id);
}

/// Whether the bytes so far are all that the framing of the answer asks for.
bool isWhole(const PendingCall &pending)
{
    if (!pending.hasHead)
        return false;
    if (pending.isComplete)
        return true;
    if (pending.expectedBytes)
        return pending.receivedBytes >= *pending.expectedBytes;
    return !pending.isChunked;
}

void closed(lws *wsi, PendingCall &pending)
{
    if (isWhole(pending))
        finishCall(contextOf(wsi), pending.id);
    else
        failCall(contextOf(wsi), pending.id, CallFailure::ClosedEarly);
}

int pullData(lws *wsi)
{
    std::string buf(LWS_PRE + kWriteChunkBytes, '\0');
    char *p = buf.data() + LWS_PRE;
    int n = static_cast<int>(kWriteChunkBytes);
    return lws_http_client_read(wsi, &p, &n) < 0 ? -1 : 0;
}

} // namespace

void failCall(Loop::Context &context, CallId id, CallFailure failure)
{
    const auto it = context.calls.find(id.count());
    if (it == context.calls.end())
        return;
    const std::unique_ptr<PendingCall> owned = std::move(it->second);
    context.calls.erase(it);
    context.stopTimer(owned->connectTimer);
    context.stopTimer(owned->timer);
    if (owned->wsi)
        lws_set_timeout(owned->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    CallError error;
    error.failure = failure;
    error.sent = owned->hasSent ? SendState::MayHaveArrived : SendState::NothingSent;
    owned->handler->onFailed(id, error);
}

/// Handles what happens on the connection of an open call; -1 closes the connection.
int callProgressed(lws *wsi, PendingCall &pending, lws_callback_reasons reason, void *in,
                   std::size_t len)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
        pending.hasSent = true;
        auto **p = static_cast<unsigned char **>(in);
        return appendHeaders(wsi, pending, p, *p + len) ? 0 : -1;
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return writeBody(wsi, pending);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        readHead(wsi, pending);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return pullData(wsi);
    default: // LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ
        pending.receivedBytes += len;
        pending.handler->onData(pending.id, std::string_view(static_cast<const char *>(in), len));
        return 0;
    }
}

/// Handles the end of an open call's connection.
void callEnded(lws *wsi, PendingCall &pending, lws_callback_reasons reason)
{
    pending.wsi = nullptr;
    if (reason == LWS_CALLBACK_COMPLETED_CLIENT_HTTP) {
        pending.isComplete = true;
        finishCall(contextOf(wsi), pending.id);
    } else if (reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR) {
        failCall(contextOf(wsi), pending.id,
                 pending.hasSent ? CallFailure::ClosedEarly : CallFailure::ConnectFailed);
    } else {
        closed(wsi, pending);
    }
}

int clientCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t len)
{
    if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED || !wsi)
        return 0;
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ: {
        PendingCall *pending = callOf(wsi);
        return pending ? callProgressed(wsi, *pending, reason, in, len) : -1;
    }
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        if (PendingCall *pending = callOf(wsi))
            callEnded(wsi, *pending, reason);
        return reason == LWS_CALLBACK_COMPLETED_CLIENT_HTTP ? -1 : 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
}

CallId Loop::call(Call call, CallHandler *handler)
{
    Context &context = *m_context;
    auto owned = std::make_unique<PendingCall>();
    PendingCall &pending = *owned;
    pending.id = CallId(++context.lastId);
    pending.call = std::move(call);
    pending.handler = handler;
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
    context.startTimer(base::Millis(0), [&context, id] {
        PendingCall *started = context.call(id);
        if (!started)
            return;
        lws_client_connect_info info{};
        info.context = context.lwsContext;
        info.vhost = context.clientVhost;
        info.address = started->call.to.address.c_str();
        info.port = started->call.to.port;
        info.path = started->call.path.c_str();
        info.host = info.address;
        const std::string method(methodName(started->call.method));
        info.method = method.c_str();
        info.local_protocol_name = "hyssop-client";
        info.opaque_user_data = reinterpret_cast<void *>(static_cast<std::intptr_t>(id.count()));
        if (!lws_client_connect_via_info(&info)) {
            if (PendingCall *failed = context.call(id))
                failed->wsi = nullptr;
            failCall(context, id, CallFailure::ConnectFailed);
        }
    });
    return id;
}

void Loop::cancel(CallId id)
{
    const auto it = m_context->calls.find(id.count());
    if (it == m_context->calls.end())
        return;
    const std::unique_ptr<PendingCall> owned = std::move(it->second);
    m_context->calls.erase(it);
    m_context->stopTimer(owned->connectTimer);
    m_context->stopTimer(owned->timer);
    if (owned->wsi)
        lws_set_timeout(owned->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

} // namespace hyssop::http
