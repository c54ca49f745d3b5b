#include "LoopContext.h"

#include <array>
#include <cstring>
#include <utility>

namespace hyssop::http {

namespace {

/// Room for the status line and headers of an answer.
constexpr std::size_t kHeadBytes = 4 * 1024;

Method methodOf(lws *wsi)
{
    if (lws_hdr_total_length(wsi, WSI_TOKEN_GET_URI) > 0)
        return Method::Get;
    if (lws_hdr_total_length(wsi, WSI_TOKEN_POST_URI) > 0)
        return Method::Post;
    if (lws_hdr_total_length(wsi, WSI_TOKEN_PUT_URI) > 0)
        return Method::Put;
    if (lws_hdr_total_length(wsi, WSI_TOKEN_DELETE_URI) > 0)
        return Method::Delete;
    return Method::Other;
}

std::string queryOf(lws *wsi)
{
    std::string query;
    std::array<char, 512> buf{};
    for (int n = 0;; ++n) {
        const int length = lws_hdr_copy_fragment(wsi, buf.data(), static_cast<int>(buf.size()),
                                                 WSI_TOKEN_HTTP_URI_ARGS, n);
        if (length <= 0)
            return query;
        if (!query.empty())
            query += '&';
        query.append(buf.data(), static_cast<std::size_t>(length));
    }
}

Request readHead(lws *wsi, const Listener &listener, std::string_view path)
{
    Request request;
    request.method = methodOf(wsi);
    request.path = std::string(path);
    request.query = queryOf(wsi);
    const auto add = [&](std::string name, std::string value) {
        if (!value.empty())
            request.headers.push_back({std::move(name), std::move(value)});
    };
    add("authorization", headerText(wsi, WSI_TOKEN_HTTP_AUTHORIZATION));
    add("if-match", headerText(wsi, WSI_TOKEN_HTTP_IF_MATCH));
    add("content-type", headerText(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE));
    for (std::size_t i = 0; i < listener.headerNames.size(); ++i)
        add(listener.options.headers[i], customHeader(wsi, listener.headerNames[i]));
    return request;
}

void renderHead(Exchange &exchange, int status, const std::string &contentType,
                const Headers &headers, lws_filepos_t length)
{
    std::array<unsigned char, LWS_PRE + kHeadBytes> buf{};
    unsigned char *start = buf.data() + LWS_PRE;
    unsigned char *p = start;
    unsigned char *end = buf.data() + buf.size() - 1;
    lws *wsi = exchange.wsi;
    if (lws_add_http_common_headers(wsi, static_cast<unsigned>(status), contentType.c_str(), length,
                                    &p, end))
        return;
    for (const Header &header : headers) {
        const std::string name = header.name + ":";
        if (lws_add_http_header_by_name(
                    wsi, reinterpret_cast<const unsigned char *>(name.c_str()),
                    reinterpret_cast<const unsigned char *>(header.value.data()),
                    static_cast<int>(header.value.size()), &p, end))
            return;
    }
    if (lws_finalize_http_header(wsi, &p, end))
        return;
    exchange.head.assign(reinterpret_cast<char *>(start), static_cast<std::size_t>(p - start));
}

void answer(Exchange &exchange, const Response &response)
{
    renderHead(exchange, response.status, response.contentType, response.headers,
               response.body.size());
    exchange.out = response.body;
    exchange.isEnded = true;
    lws_callback_on_writable(exchange.wsi);
}

/// Takes an unfinished body out of what its listener holds.
void releaseBody(Exchange &exchange)
{
    if (!exchange.isDelivered)
        exchange.listener->heldBodyBytes -= exchange.request.body.size();
}

void reject(Exchange &exchange, RejectReason reason, int status)
{
    releaseBody(exchange);
    std::string().swap(exchange.request.body);
    exchange.handler->onRejected(reason);
    exchange.closesAfter = true;
    exchange.isDelivered = true;
    Response response;
    response.status = status;
    response.body = std::string(R"({"error":{"code":")") + std::string(rejectReasonName(reason))
                    + R"(","message":"the request was not read","outcome":"not_run"}})";
    answer(exchange, response);
}

void deliver(Loop::Context &context, Exchange &exchange)
{
    if (exchange.isDelivered)
        return;
    releaseBody(exchange);
    exchange.isDelivered = true;
    context.stopTimer(exchange.bodyTimer);
    // The handler bounds the wait for the answer; the library's own timeout would cut it short.
    lws_set_timeout(exchange.wsi, NO_PENDING_TIMEOUT, 0);
    exchange.handler->onRequest(exchange.id, std::move(exchange.request));
}

int beginExchange(lws *wsi, std::int64_t *slot, std::string_view path)
{
    Loop::Context &context = contextOf(wsi);
    auto *listener = static_cast<Listener *>(lws_vhost_user(lws_get_vhost(wsi)));
    auto owned = std::make_unique<Exchange>();
    Exchange &exchange = *owned;
    exchange.id = ExchangeId(++context.lastId);
    exchange.wsi = wsi;
    exchange.handler = listener->handler;
    exchange.listener = listener;
    listener->idle.remove(wsi);
    exchange.maxBodyBytes = listener->options.maxBodyBytes;
    exchange.request = readHead(wsi, *listener, path);
    context.exchanges.emplace(exchange.id.count(), std::move(owned));
    *slot = exchange.id.count();

    const std::string length = headerText(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    const bool mayHaveBody =
            exchange.request.method == Method::Post || exchange.request.method == Method::Put;
    if (length.empty() && mayHaveBody) {
        reject(exchange, RejectReason::LengthRequired, 411);
        return 0;
    }
    const std::size_t n = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    if (n > exchange.maxBodyBytes) {
        reject(exchange, RejectReason::BodyTooLarge, 413);
        return 0;
    }
    if (n == 0) {
        deliver(context, exchange);
        return 0;
    }
    exchange.request.body.reserve(n);
    exchange.bodyTimer =
            context.startTimer(listener->options.bodyTimeout, [&context, id = exchange.id] {
                Exchange *late = context.exchange(id);
                if (late && !late->isDelivered)
                    reject(*late, RejectReason::BodyTimeout, 408);
            });
    return 0;
}

/// False when the connection is broken.
bool writeOut(lws *wsi, std::string_view bytes, lws_write_protocol protocol)
{
    // libwebsockets writes its framing into the room before the bytes.
    std::string buf(LWS_PRE, '\0');
    buf += bytes;
    auto *start = reinterpret_cast<unsigned char *>(buf.data()) + LWS_PRE;
    return lws_write(wsi, start, bytes.size(), protocol) >= 0;
}

/// Writes what is next of the answer; false when the connection is broken.
bool writeNext(lws *wsi, Exchange &exchange)
{
    // Header blocks that this library did not end itself are sent as they are.
    if (!exchange.head.empty())
        return writeOut(wsi, std::exchange(exchange.head, {}), LWS_WRITE_HTTP_HEADERS);
    if (exchange.out.empty())
        return true;
    const std::string bytes = exchange.out.substr(0, kWriteChunkBytes);
    exchange.out.erase(0, bytes.size());
    const bool isLast = exchange.isEnded && exchange.out.empty();
    return writeOut(wsi, bytes, isLast ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
}

/// Returns -1 when the connection is to be closed.
int writeSome(lws *wsi, std::int64_t *slot)
{
    Loop::Context &context = contextOf(wsi);
    Exchange *exchange = context.exchange(ExchangeId(*slot));
    if (!exchange)
        return 0;
    const bool wasHead = !exchange->head.empty();
    if (!writeNext(wsi, *exchange))
        return -1;
    const bool isWhole = exchange->isEnded && exchange->out.empty();
    if (!exchange->out.empty() || (wasHead && !isWhole)) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    if (!exchange->isEnded)
        return 0;
    const bool closes = exchange->closesAfter;
    Listener &listener = *exchange->listener;
    context.stopTimer(exchange->bodyTimer);
    context.exchanges.erase(*slot);
    *slot = 0;
    if (closes)
        return -1;
    if (listener.connections.contains(wsi))
        listener.idle.push_back(wsi);
    return lws_http_transaction_completed(wsi) ? -1 : 0;
}

void connectionClosed(lws *wsi, std::int64_t *slot)
{
    Loop::Context &context = contextOf(wsi);
    const auto it = context.exchanges.find(*slot);
    *slot = 0;
    if (it == context.exchanges.end())
        return;
    const std::unique_ptr<Exchange> exchange = std::move(it->second);
    context.exchanges.erase(it);
    releaseBody(*exchange);
    context.stopTimer(exchange->bodyTimer);
    if (exchange->isDelivered && !context.isStopping)
        exchange->handler->onPeerClosed(exchange->id);
}

/// Rejects the largest unfinished body of a listener.
void rejectLargest(Loop::Context &context, const Listener &listener)
{
    Exchange *largest = nullptr;
    for (const auto &[id, exchange] : context.exchanges)
        if (exchange->listener == &listener && !exchange->isDelivered
            && (!largest || exchange->request.body.size() > largest->request.body.size()))
            largest = exchange.get();
    if (largest)
        reject(*largest, RejectReason::MemoryShort, 503);
}

void connectionOpened(lws *wsi)
{
    auto *listener = static_cast<Listener *>(lws_vhost_user(lws_get_vhost(wsi)));
    if (!listener || !listener->connections.insert(wsi).second)
        return;
    listener->idle.push_back(wsi);
    const std::size_t limit = listener->options.maxConnections;
    if (limit == 0 || listener->connections.size() <= limit)
        return;
    lws *longest = listener->idle.front();
    listener->idle.pop_front();
    // It counts no longer, so that the next one does not find it again before it has ended.
    listener->connections.erase(longest);
    // At once, since a burst would otherwise open far more before the first one is closed. A
    // connection can't be closed like this in a callback of its own.
    lws_set_timeout(longest, PENDING_TIMEOUT_USER_OK,
                    longest == wsi ? LWS_TO_KILL_ASYNC : LWS_TO_KILL_SYNC);
}

void connectionDestroyed(lws *wsi)
{
    lws_vhost *vhost = lws_get_vhost(wsi);
    auto *listener = vhost ? static_cast<Listener *>(lws_vhost_user(vhost)) : nullptr;
    if (listener && listener->connections.erase(wsi) > 0)
        listener->idle.remove(wsi);
}

void addBody(lws *wsi, std::int64_t *slot, const void *in, std::size_t len)
{
    Exchange *exchange = contextOf(wsi).exchange(ExchangeId(*slot));
    if (!exchange || exchange->isDelivered)
        return;
    if (exchange->request.body.size() + len > exchange->maxBodyBytes) {
        reject(*exchange, RejectReason::BodyTooLarge, 413);
        return;
    }
    exchange->request.body.append(static_cast<const char *>(in), len);
    Listener &listener = *exchange->listener;
    listener.heldBodyBytes += len;
    if (listener.options.maxHeldBodyBytes > 0
        && listener.heldBodyBytes > listener.options.maxHeldBodyBytes)
        rejectLargest(contextOf(wsi), listener);
}

} // namespace

int serverCallback(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t len)
{
    auto *slot = static_cast<std::int64_t *>(user);
    switch (reason) {
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
        connectionOpened(wsi);
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
        connectionDestroyed(wsi);
        return 0;
    case LWS_CALLBACK_HTTP:
        return beginExchange(wsi, slot, std::string_view(static_cast<const char *>(in), len));
    case LWS_CALLBACK_HTTP_BODY:
        addBody(wsi, slot, in, len);
        return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (Exchange *exchange = contextOf(wsi).exchange(ExchangeId(*slot)))
            deliver(contextOf(wsi), *exchange);
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return writeSome(wsi, slot);
    case LWS_CALLBACK_CLOSED_HTTP:
        if (slot)
            connectionClosed(wsi, slot);
        return 0;
    case LWS_CALLBACK_EVENT_WAIT_CANCELLED:
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
}

void Loop::respond(ExchangeId id, Response response)
{
    Exchange *exchange = m_context->exchange(id);
    if (exchange && !exchange->isEnded)
        answer(*exchange, response);
}

void Loop::startStream(ExchangeId id, int status, std::string contentType, Headers headers)
{
    Exchange *exchange = m_context->exchange(id);
    if (!exchange)
        return;
    exchange->closesAfter = true;
    renderHead(*exchange, status, contentType, headers, LWS_ILLEGAL_HTTP_CONTENT_LEN);
    lws_callback_on_writable(exchange->wsi);
}

void Loop::sendStream(ExchangeId id, std::string_view data)
{
    Exchange *exchange = m_context->exchange(id);
    if (!exchange)
        return;
    exchange->out.append(data);
    lws_callback_on_writable(exchange->wsi);
}

void Loop::endStream(ExchangeId id)
{
    Exchange *exchange = m_context->exchange(id);
    if (!exchange)
        return;
    exchange->isEnded = true;
    lws_callback_on_writable(exchange->wsi);
}

std::size_t Loop::unsentBytes(ExchangeId id) const
{
    const Exchange *exchange = m_context->exchange(id);
    return exchange ? exchange->out.size() : 0;
}

} // namespace hyssop::http
