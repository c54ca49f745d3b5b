#include "operators/Operators.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace hyssop::operators {

namespace {

constexpr std::string_view kRecordsPath = "/v1/records";
constexpr std::size_t kMaxRecordBytes = std::size_t(1) << 20;

http::Response jsonResponse(int status, std::string body)
{
    http::Response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

http::Response errorResponse(int status, const std::string &code, const std::string &message)
{
    return jsonResponse(status,
                        nlohmann::json{{"error", {{"code", code}, {"message", message}}}}.dump());
}

int httpStatusOf(PutStatus status)
{
    switch (status) {
    case PutStatus::Accepted:
        return 200;
    case PutStatus::Conflict:
        return 409;
    case PutStatus::Invalid:
        return 400;
    case PutStatus::Unavailable:
        return 503;
    case PutStatus::Unknown:
        break;
    }
    return 504;
}

/// Compares in constant time: the duration does not depend on where the strings differ.
bool constantTimeEquals(std::string_view a, std::string_view b)
{
    unsigned char difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < a.size() && i < b.size(); ++i)
        difference |= static_cast<unsigned char>(a[i] ^ b[i]);
    return difference == 0;
}

} // namespace

Server::Server(http::Loop *loop, RequestHandler *handler, std::string token)
    : m_loop(loop)
    , m_handler(handler)
    , m_token(std::move(token))
{ }

tl::expected<base::Endpoint, ListenError> Server::listen(const base::Endpoint &address)
{
    http::ServerOptions options;
    options.listen = address;
    options.headers = {"x-change-id"};
    options.maxBodyBytes = kMaxRecordBytes;
    return m_loop->listen(std::move(options), this).map_error([](const http::LoopError &cause) {
        return ListenError{"operators: " + cause.message};
    });
}

void Server::onRequest(http::ExchangeId id, http::Request request)
{
    if (!m_token.empty()
        && !constantTimeEquals(request.header("authorization"), "Bearer " + m_token)) {
        m_loop->respond(id, errorResponse(401, "unauthorized", "a bearer token is required"));
        return;
    }
    if (request.method == http::Method::Put && request.path.starts_with(kRecordsPath)) {
        handlePut(id, request);
        return;
    }
    if (request.method == http::Method::Get && request.path == kRecordsPath) {
        nlohmann::json list = nlohmann::json::array();
        for (const records::Record &record : m_handler->records())
            list.push_back(nlohmann::json::parse(records::toJson(record), nullptr, false));
        m_loop->respond(id, jsonResponse(200, nlohmann::json{{"records", list}}.dump()));
        return;
    }
    if (request.method == http::Method::Get && request.path == "/v1/status") {
        m_handler->onStatus([this, id](const StatusReply &reply) {
            m_loop->respond(id, jsonResponse(200, toJson(reply)));
        });
        return;
    }
    m_loop->respond(id, errorResponse(404, "unknown_path", "no such path or method"));
}

void Server::handlePut(http::ExchangeId id, const http::Request &request)
{
    auto record = records::recordFromJson(request.body);
    std::optional<records::RecordError> error;
    if (!record)
        error = record.error();
    else
        error = records::validate(*record);
    if (error) {
        m_loop->respond(id, errorResponse(400, "bad_record", error->text()));
        return;
    }
    const std::string path = std::string(kRecordsPath) + "/" + std::string(kindName(record->kind))
                             + "/" + record->name;
    if (request.path != path) {
        m_loop->respond(id, errorResponse(400, "bad_record",
                                          "the path and the body name different records"));
        return;
    }
    PutRequest put;
    put.changeId = request.header("x-change-id");
    std::int64_t replaces = -1;
    const std::string_view match = request.header("if-match");
    std::from_chars(match.begin(), match.end(), replaces);
    if (put.changeId.empty() || replaces < 0) {
        m_loop->respond(
                id, errorResponse(400, "missing_header", "X-Change-Id and If-Match are required"));
        return;
    }
    put.expectedVersion = records::Version(replaces);
    put.record = *std::move(record);
    m_handler->onPut(std::move(put), [this, id](const PutReply &reply) {
        m_loop->respond(id, jsonResponse(httpStatusOf(reply.status), toJson(reply)));
    });
}

} // namespace hyssop::operators
