#include "process/Process.h"

namespace hyssop::process {

Server::Server(http::Loop *loop, Metrics *metrics, std::function<void()> refresh)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_refresh(std::move(refresh))
{ }

tl::expected<base::Endpoint, ListenError> Server::listen(const base::Endpoint &address)
{
    http::ServerOptions options;
    options.listen = address;
    options.maxBodyBytes = 0;
    return m_loop->listen(std::move(options), this).map_error([](const http::LoopError &cause) {
        return ListenError{"the platform: " + cause.message};
    });
}

void Server::addPage(const std::string &path, std::function<std::string()> render)
{
    m_pages[path] = std::move(render);
}

void Server::onRequest(http::ExchangeId id, http::Request request)
{
    http::Response response;
    response.contentType = "text/plain; version=0.0.4";
    if (request.path == "/ready") {
        response.status = m_isReady ? 200 : 503;
        response.body = m_isReady ? "ready\n" : "not ready\n";
        if (m_note)
            response.body += m_note();
    } else if (request.path == "/live") {
        response.body = "live\n";
    } else if (request.path == "/metrics") {
        if (m_refresh)
            m_refresh();
        response.body = m_metrics->text();
    } else if (const auto page = m_pages.find(request.path); page != m_pages.end()) {
        response.contentType = "application/json";
        response.body = page->second();
    } else {
        response.status = 404;
        response.body = "not found\n";
    }
    m_loop->respond(id, std::move(response));
}

} // namespace hyssop::process
