#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

namespace hyssop::upstream {

namespace {

constexpr auto kEndMark = "[DONE]";
constexpr int kStatusOk = 200;

routing::AttemptFault attemptFaultFrom(const http::CallError &error)
{
    if (error.sent == http::SendState::NothingSent)
        return routing::AttemptFault::ConnectFailed;
    return error.failure == http::CallFailure::Timeout ? routing::AttemptFault::Timeout
                                                       : routing::AttemptFault::ConnectionClosed;
}

/// Returns whether an error body states that the engine did not start the request.
bool isNotRunError(const std::string &body)
{
    const auto json = base::parseJson(body);
    if (!json || !json->is_object())
        return false;
    const auto error = json->find("error");
    if (error == json->end() || !error->is_object())
        return false;
    const auto outcome = error->find("outcome");
    return outcome != error->end() && *outcome == "not_run";
}

std::string joinIds(const std::vector<base::UpstreamId> &ids)
{
    std::string text;
    for (const base::UpstreamId &id : ids) {
        if (!text.empty())
            text += ',';
        text += id.text();
    }
    return text;
}

} // namespace

EngineClient::EngineClient(http::Loop *loop, OwnerId owner, AttemptListener *listener)
    : m_loop(loop)
    , m_owner(std::move(owner))
    , m_listener(listener)
    , m_deletions(loop, m_owner)
{ }

EngineClient::~EngineClient()
{
    for (const auto &[id, stream] : m_streams)
        m_loop->cancel(id);
}

void EngineClient::start(EngineAttempt attempt)
{
    if (const auto it = m_callIds.find(attempt.id); it != m_callIds.end()) {
        // The attempt resumes on a new connection after the old one has stalled.
        m_loop->cancel(it->second);
        m_streams.erase(it->second);
        m_callIds.erase(it);
    }
    http::Call call;
    call.to = attempt.to;
    call.method = http::Method::Post;
    call.path = "/v1/completions";
    call.body = std::move(attempt.body);
    if (attempt.isResume) {
        call.path = "/v1/attempts/" + attempt.id.text() + "/resume";
        call.body = nlohmann::json{{"offset", attempt.resumeOffset}}.dump();
    }
    call.headers = {{"content-type", "application/json"},
                    {"x-attempt-id", attempt.id.text()},
                    {"x-owner", m_owner.text()},
                    {"x-remaining-ms", std::to_string(attempt.timeRemaining.count())},
                    {"x-priority", std::to_string(attempt.priority)}};
    if (!attempt.gangMembers.empty())
        call.headers.push_back({"x-gang", joinIds(attempt.gangMembers)});
    call.timeout = attempt.timeRemaining;
    const http::CallId id = m_loop->call(std::move(call), this);
    Stream stream;
    stream.attemptId = attempt.id;
    m_callIds.emplace(attempt.id, id);
    m_streams.emplace(id, std::move(stream));
}

void EngineClient::cancel(const base::AttemptId &id, const base::Endpoint &to)
{
    if (const auto it = m_callIds.find(id); it != m_callIds.end()) {
        m_loop->cancel(it->second);
        m_streams.erase(it->second);
        m_callIds.erase(it);
    }
    m_deletions.add(to, "/v1/attempts/" + id.text());
}

void EngineClient::onHead(http::CallId id, int status, const http::Headers &headers)
{
    Stream &stream = m_streams.at(id);
    stream.status = status;
    const std::string_view retryAfter = http::headerValue(headers, "retry-after");
    if (!retryAfter.empty())
        stream.retryAfter = std::chrono::seconds(std::atoi(std::string(retryAfter).c_str()));
    if (status == kStatusOk) {
        const base::AttemptId attempt = stream.attemptId;
        m_listener->onAccepted(attempt);
    }
}

void EngineClient::onEvent(Stream &stream, std::string_view data)
{
    if (stream.hasEndMark)
        return;
    if (data == kEndMark) {
        stream.hasEndMark = true;
        return;
    }
    const auto json = base::parseJson(data);
    const bool hasTokenFields = json && json->is_object() && json->contains("attempt")
                                && json->contains("offset") && json->contains("tokens");
    const base::AttemptId id = stream.attemptId;
    if (!hasTokenFields || json->at("attempt") != id.text()
        || !json->at("offset").is_number_integer() || !json->at("tokens").is_array()) {
        m_listener->onStrayEvent(id);
        return;
    }
    std::vector<std::string> tokens;
    for (const auto &token : json->at("tokens"))
        tokens.push_back(token.is_string() ? token.get<std::string>() : std::string());
    m_listener->onTokens(id, json->at("offset").get<std::int64_t>(), tokens);
}

void EngineClient::onData(http::CallId id, std::string_view data)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    if (it->second.status != kStatusOk) {
        it->second.errorBody += data;
        if (it->second.errorBody.size() > kMaxErrorBodyBytes) {
            m_loop->cancel(id);
            fail(id, routing::AttemptFault::UpstreamError);
        }
        return;
    }
    // The listener may cancel the attempt while the parser runs.
    SseParser parser = std::move(it->second.parser);
    const bool isWellFormed = parser.feed(data, [this, id](std::string_view event) {
        if (const auto stream = m_streams.find(id); stream != m_streams.end())
            onEvent(stream->second, event);
    });
    const auto current = m_streams.find(id);
    if (current == m_streams.end())
        return;
    current->second.parser = std::move(parser);
    if (!isWellFormed) {
        m_loop->cancel(id);
        fail(id, routing::AttemptFault::StreamMismatch);
    }
}

void EngineClient::onDone(http::CallId id)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    if (it->second.status != kStatusOk) {
        fail(id, isNotRunError(it->second.errorBody) ? routing::AttemptFault::Refused
                                                     : routing::AttemptFault::UpstreamError);
        return;
    }
    if (!it->second.hasEndMark) {
        fail(id, routing::AttemptFault::ConnectionClosed);
        return;
    }
    const base::AttemptId attempt = it->second.attemptId;
    m_callIds.erase(attempt);
    m_streams.erase(it);
    m_listener->onFinished(attempt);
}

void EngineClient::onFailed(http::CallId id, const http::CallError &error)
{
    fail(id, attemptFaultFrom(error));
}

void EngineClient::fail(http::CallId id, routing::AttemptFault fault)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    const Stream stream = std::move(it->second);
    m_callIds.erase(stream.attemptId);
    m_streams.erase(it);
    m_listener->onFailed(stream.attemptId, fault, stream.retryAfter);
}

} // namespace hyssop::upstream
