#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

namespace hyssop::upstream {

namespace {

constexpr std::size_t kMaxAnnouncementBytes = 64 * 1024;

http::Response errorResponse(int status, std::string code, std::string message)
{
    http::Response response;
    response.status = status;
    response.body =
            nlohmann::json{{"error", {{"code", std::move(code)}, {"message", std::move(message)}}}}
                    .dump();
    return response;
}

} // namespace

AnnouncementServer::AnnouncementServer(http::Loop *loop, OnAnnouncement onAnnouncement)
    : m_loop(loop)
    , m_onAnnouncement(std::move(onAnnouncement))
{ }

tl::expected<base::Endpoint, ListenError> AnnouncementServer::listen(const base::Endpoint &address)
{
    http::ServerOptions options;
    options.listen = address;
    options.maxBodyBytes = kMaxAnnouncementBytes;
    options.bodyTimeout = base::Millis(5'000);
    return m_loop->listen(std::move(options), this).map_error([](const http::LoopError &error) {
        return ListenError{"announcements: " + error.message};
    });
}

void AnnouncementServer::onRequest(http::ExchangeId id, http::Request request)
{
    if (request.method != http::Method::Post || request.path != "/v1/announcements") {
        m_loop->respond(id, errorResponse(404, "not_found",
                                          "this address only accepts POST /v1/announcements"));
        return;
    }
    const auto announcement = membership::parseAnnouncement(request.body);
    if (!announcement) {
        ++m_malformedCount;
        m_loop->respond(id, errorResponse(400, "bad_announcement",
                                          announcement.error().field + ": "
                                                  + announcement.error().message));
        return;
    }
    m_onAnnouncement(*announcement);
    http::Response response;
    response.body = "{}";
    m_loop->respond(id, std::move(response));
}

} // namespace hyssop::upstream
