#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

namespace hyssop::upstream {

namespace {

constexpr auto kEndMark = "[DONE]";
constexpr base::Millis kCancelTimeout{1'000};
constexpr base::Millis kCancelRetry{200};
/// Cancels are given up when the engine has been gone for longer than its work could last.
constexpr int kMaxCancelTries = 600;
constexpr int kStatusOk = 200;

routing::AttemptFault faultOf(const http::CallError &error)
{
    if (error.sent == http::SendState::NothingSent)
        return routing::AttemptFault::ConnectFailed;
    return error.failure == http::CallFailure::Timeout ? routing::AttemptFault::Timeout
                                                       : routing::AttemptFault::ClosedEarly;
}

/// Whether an error body says that the engine did not start.
bool saysNotRun(const std::string &body)
{
    const auto json = base::parseJson(body);
    if (!json || !json->is_object())
        return false;
    const auto error = json->find("error");
    return error != json->end() && error->is_object() && error->value("outcome", "") == "not_run";
}

} // namespace

Engines::Engines(http::Loop *loop, OwnerName owner, AttemptListener *listener)
    : m_loop(loop)
    , m_owner(std::move(owner))
    , m_listener(listener)
{ }

Engines::~Engines()
{
    for (const auto &[id, stream] : m_streams)
        m_loop->cancel(id);
    for (const auto &[id, cancel] : m_cancels)
        m_loop->cancel(id);
    for (const auto &[timer, id] : m_waits)
        m_loop->cancelTimer(timer);
}

void Engines::start(EngineAttempt attempt)
{
    if (const auto it = m_calls.find(attempt.id); it != m_calls.end()) {
        // A stalled connection gives way to the one that resumes.
        m_loop->cancel(it->second);
        m_streams.erase(it->second);
        m_calls.erase(it);
    }
    http::Call call;
    call.to = attempt.to;
    call.method = http::Method::Post;
    call.path = "/v1/completions";
    call.body = std::move(attempt.body);
    if (attempt.resumesStream) {
        call.path = "/v1/attempts/" + attempt.id.text() + "/resume";
        call.body = nlohmann::json{{"offset", attempt.resumeOffset}}.dump();
    }
    call.headers = {{"content-type", "application/json"},
                    {"x-attempt-id", attempt.id.text()},
                    {"x-owner", m_owner.text()},
                    {"x-remaining-ms", std::to_string(attempt.remaining.count())},
                    {"x-priority", std::to_string(attempt.priority)}};
    call.timeout = attempt.remaining;
    const http::CallId id = m_loop->call(std::move(call), this);
    Stream stream;
    stream.id = attempt.id;
    m_calls.emplace(attempt.id, id);
    m_streams.emplace(id, std::move(stream));
}

void Engines::cancel(const base::AttemptId &id, const base::Endpoint &to)
{
    if (const auto it = m_calls.find(id); it != m_calls.end()) {
        m_loop->cancel(it->second);
        m_streams.erase(it->second);
        m_calls.erase(it);
    }
    sendCancel({id, to});
}

void Engines::sendCancel(Cancel cancel)
{
    ++cancel.tries;
    http::Call call;
    call.to = cancel.to;
    call.method = http::Method::Delete;
    call.path = "/v1/attempts/" + cancel.id.text();
    call.headers = {{"x-owner", m_owner.text()}};
    call.timeout = kCancelTimeout;
    m_cancels.emplace(m_loop->call(std::move(call), this), std::move(cancel));
}

void Engines::endCancel(http::CallId id, bool isConfirmed)
{
    const auto it = m_cancels.find(id);
    const Cancel cancel = it->second;
    m_cancels.erase(it);
    if (isConfirmed || cancel.tries >= kMaxCancelTries)
        return;
    auto timer = std::make_shared<http::TimerId>();
    *timer = m_loop->after(kCancelRetry, [this, cancel, timer] {
        m_waits.erase(*timer);
        sendCancel(cancel);
    });
    m_waits.emplace(*timer, cancel.id);
}

void Engines::onHead(http::CallId id, int status, const http::Headers &headers)
{
    if (const auto it = m_cancels.find(id); it != m_cancels.end()) {
        it->second.status = status;
        return;
    }
    Stream &stream = m_streams.at(id);
    stream.status = status;
    const std::string_view retryAfter = http::headerValue(headers, "retry-after");
    if (!retryAfter.empty())
        stream.retryAfter = std::chrono::seconds(std::atoi(std::string(retryAfter).c_str()));
    if (status == kStatusOk) {
        const base::AttemptId attempt = stream.id;
        m_listener->onAccepted(attempt);
    }
}

void Engines::onEvent(Stream &stream, std::string_view data)
{
    if (stream.isDone)
        return;
    if (data == kEndMark) {
        stream.isDone = true;
        return;
    }
    const auto json = base::parseJson(data);
    const bool isTokens = json && json->is_object() && json->contains("attempt")
                          && json->contains("offset") && json->contains("tokens");
    const base::AttemptId id = stream.id;
    if (!isTokens || json->at("attempt") != id.text() || !json->at("offset").is_number_integer()
        || !json->at("tokens").is_array()) {
        m_listener->onStrayEvent(id);
        return;
    }
    std::vector<std::string> tokens;
    for (const auto &token : json->at("tokens"))
        tokens.push_back(token.is_string() ? token.get<std::string>() : std::string());
    m_listener->onTokens(id, json->at("offset").get<std::int64_t>(), tokens);
}

void Engines::onData(http::CallId id, std::string_view data)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    if (it->second.status != kStatusOk) {
        it->second.errorBody += data;
        return;
    }
    // The listener may cancel the attempt in the middle of the batch.
    SseParser parser = std::move(it->second.parser);
    const bool isSound = parser.feed(data, [this, id](std::string_view event) {
        if (const auto stream = m_streams.find(id); stream != m_streams.end())
            onEvent(stream->second, event);
    });
    const auto again = m_streams.find(id);
    if (again == m_streams.end())
        return;
    again->second.parser = std::move(parser);
    if (!isSound) {
        m_loop->cancel(id);
        fail(id, routing::AttemptFault::StreamMismatch);
    }
}

void Engines::onDone(http::CallId id)
{
    if (const auto it = m_cancels.find(id); it != m_cancels.end()) {
        const int status = it->second.status;
        endCancel(id, status == kStatusOk || status == 204 || status == 404);
        return;
    }
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    if (it->second.status != kStatusOk) {
        fail(id, saysNotRun(it->second.errorBody) ? routing::AttemptFault::Refused
                                                  : routing::AttemptFault::UpstreamError);
        return;
    }
    if (!it->second.isDone) {
        fail(id, routing::AttemptFault::ClosedEarly);
        return;
    }
    const base::AttemptId attempt = it->second.id;
    m_calls.erase(attempt);
    m_streams.erase(it);
    m_listener->onFinished(attempt);
}

void Engines::onFailed(http::CallId id, const http::CallError &error)
{
    if (m_cancels.contains(id))
        endCancel(id, false);
    else
        fail(id, faultOf(error));
}

void Engines::fail(http::CallId id, routing::AttemptFault fault)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    const Stream stream = std::move(it->second);
    m_calls.erase(stream.id);
    m_streams.erase(it);
    m_listener->onFailed(stream.id, fault, stream.retryAfter);
}

} // namespace hyssop::upstream
