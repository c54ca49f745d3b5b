#include "CrowdServer.h"

namespace hyssop::standins {

namespace {

constexpr auto kLoadEvent = "data: {\"type\":\"load\",\"ageMs\":200,\"running\":3,\"waiting\":1,"
                            "\"queuedPromptTokens\":20000,\"usedKvTokens\":150000}\n\n";

} // namespace

CrowdServer::CrowdServer(http::Loop *loop, base::Millis loadInterval)
    : m_loop(loop)
    , m_loadInterval(loadInterval)
{
    m_loop->after(m_loadInterval, [this] { report(); });
}

tl::expected<base::Endpoint, http::LoopError> CrowdServer::listen(const base::Endpoint &address)
{
    http::ServerOptions options;
    options.listen = address;
    return m_loop->listen(std::move(options), this);
}

void CrowdServer::onRequest(http::ExchangeId id, http::Request request)
{
    if (request.path != "/v1/events") {
        http::Response response;
        response.status = 404;
        response.body = R"({"attempts":[],"error":{"code":"idle","outcome":"not_run"}})";
        m_loop->respond(id, std::move(response));
        return;
    }
    m_readers.insert(id);
    m_loop->startStream(id, 200, "text/event-stream", {});
}

void CrowdServer::report()
{
    for (const http::ExchangeId id : m_readers)
        m_loop->sendStream(id, kLoadEvent);
    m_loop->after(m_loadInterval, [this] { report(); });
}

} // namespace hyssop::standins
