#include "Render.h"

namespace hyssop::caller {

namespace {

constexpr auto kRequestIdHeader = "x-request-id";

int retryAfterSeconds(base::Millis wait)
{
    return static_cast<int>(std::chrono::ceil<std::chrono::seconds>(wait).count());
}

} // namespace

Server::Server(http::Loop *loop, Listener *listener, base::HostId host,
               base::Incarnation incarnation)
    : m_loop(loop)
    , m_listener(listener)
    , m_idPrefix("req-" + host.text() + "-" + std::to_string(incarnation.count()) + "-")
{ }

tl::expected<base::Endpoint, ListenError> Server::listen(const base::Endpoint &address,
                                                         std::size_t maxBodyBytes,
                                                         base::Millis bodyTimeout)
{
    http::ServerOptions options;
    options.listen = address;
    options.headers = callHeaders();
    options.maxBodyBytes = maxBodyBytes;
    options.bodyTimeout = bodyTimeout;
    return m_loop->listen(std::move(options), this).map_error([](const http::LoopError &cause) {
        return ListenError{"callers: " + cause.message};
    });
}

void Server::onRequest(http::ExchangeId id, http::Request request)
{
    const base::RequestId freshId(m_idPrefix + std::to_string(++m_lastId));
    auto call = parseCall(request, freshId);
    Open open;
    open.requestId = freshId;
    if (!call) {
        m_listener->onBadInput(call.error().code);
        m_open.emplace(id, std::move(open));
        fail(id, call.error());
        return;
    }
    open.requestId = std::visit([](const auto &it) { return it.head.requestId; }, *call);
    if (const auto *completion = std::get_if<CompletionCall>(&*call)) {
        open.isCompletion = true;
        open.isChat = completion->isChat;
        open.wantsStream = completion->wantsStream;
        open.model = completion->model;
    }
    m_open.emplace(id, std::move(open));
    m_listener->onCall(id, *std::move(call));
}

void Server::onPeerClosed(http::ExchangeId id)
{
    if (m_open.erase(id) > 0)
        m_listener->onCallerGone(id);
}

void Server::onRejected(http::RejectReason reason)
{
    m_listener->onBadInput(http::rejectReasonName(reason));
}

void Server::sendEvent(http::ExchangeId id, const std::string &json)
{
    m_loop->sendStream(id, "data: " + json + "\n\n");
}

void Server::startStream(http::ExchangeId id, Open &open)
{
    if (open.hasStarted)
        return;
    open.hasStarted = true;
    m_loop->startStream(id, 200, "text/event-stream", {{kRequestIdHeader, open.requestId.text()}});
}

void Server::addTokens(http::ExchangeId id, const std::vector<std::string> &tokens)
{
    const auto it = m_open.find(id);
    if (it == m_open.end())
        return;
    Open &open = it->second;
    std::string text;
    for (const std::string &token : tokens)
        text += token;
    open.tokens += static_cast<std::int64_t>(tokens.size());
    if (!open.wantsStream) {
        open.text += text;
        return;
    }
    startStream(id, open);
    sendEvent(id, chunkJson(open.requestId, open.model, open.isChat, text));
}

void Server::complete(http::ExchangeId id)
{
    const auto it = m_open.find(id);
    if (it == m_open.end())
        return;
    Open &open = it->second;
    if (open.wantsStream) {
        startStream(id, open);
        sendEvent(id, "[DONE]");
        m_loop->endStream(id);
        m_open.erase(it);
        return;
    }
    const std::string body =
            completionJson(open.requestId, open.model, open.isChat, open.text, open.tokens);
    answer(id, 200, "application/json", body);
}

void Server::fail(http::ExchangeId id, const ErrorBody &error)
{
    const auto it = m_open.find(id);
    if (it == m_open.end())
        return;
    const Open open = std::move(it->second);
    m_open.erase(it);
    const std::string body = toJson(error, open.requestId);
    if (open.hasStarted) {
        sendEvent(id, body);
        m_loop->endStream(id);
        return;
    }
    http::Response response;
    response.status = error.status;
    response.body = body;
    if (error.retryAfter.count() > 0)
        response.headers.push_back(
                {"retry-after", std::to_string(retryAfterSeconds(error.retryAfter))});
    respond(id, open, std::move(response));
}

void Server::answer(http::ExchangeId id, int status, std::string contentType, std::string body)
{
    const auto it = m_open.find(id);
    if (it == m_open.end())
        return;
    http::Response response;
    response.status = status;
    response.contentType =
            contentType.empty() ? "application/octet-stream" : std::move(contentType);
    response.body = std::move(body);
    const Open open = std::move(it->second);
    m_open.erase(it);
    respond(id, open, std::move(response));
}

void Server::respond(http::ExchangeId id, const Open &open, http::Response response)
{
    response.headers.push_back({kRequestIdHeader, open.requestId.text()});
    if (m_closesConnections)
        response.headers.push_back({"connection", "close"});
    m_loop->respond(id, std::move(response));
}

std::size_t Server::unsentBytes(http::ExchangeId id) const
{
    return m_loop->unsentBytes(id);
}

} // namespace hyssop::caller
