#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

namespace hyssop::upstream {

namespace {

constexpr auto kOutcomeHeader = "x-outcome";
constexpr auto kNotRun = "not_run";
constexpr std::size_t kMaxAnswerBytes = std::size_t(16) << 20;

} // namespace

Services::Services(http::Loop *loop, OwnerName owner, ServiceListener *listener)
    : m_loop(loop)
    , m_owner(std::move(owner))
    , m_listener(listener)
{ }

void Services::start(ServiceCall service)
{
    http::Call call;
    call.to = service.to;
    call.method = service.method;
    call.path = std::move(service.path);
    call.body = std::move(service.body);
    call.headers = {{"content-type", service.contentType},
                    {"x-attempt-id", service.id.text()},
                    {"x-owner", m_owner.text()},
                    {"x-remaining-ms", std::to_string(service.remaining.count())}};
    if (!service.idempotencyKey.empty())
        call.headers.push_back({"idempotency-key", service.idempotencyKey});
    call.responseHeaders = {kOutcomeHeader};
    call.timeout = service.remaining;
    const http::CallId id = m_loop->call(std::move(call), this);
    m_calls.emplace(id, Pending{service.id, {}});
    m_ids.emplace(service.id, id);
}

void Services::cancel(const base::AttemptId &id)
{
    const auto it = m_ids.find(id);
    if (it == m_ids.end())
        return;
    m_loop->cancel(it->second);
    m_calls.erase(it->second);
    m_ids.erase(it);
}

void Services::onHead(http::CallId id, int status, const http::Headers &headers)
{
    Pending &pending = m_calls.at(id);
    pending.answer.status = status;
    pending.answer.contentType = http::headerValue(headers, "content-type");
    // A service that did not start says so; the header is kept out of the answer.
    if (http::headerValue(headers, kOutcomeHeader) == kNotRun)
        pending.answer.status = -status;
}

void Services::onData(http::CallId id, std::string_view data)
{
    Pending &pending = m_calls.at(id);
    pending.answer.body += data;
    if (pending.answer.body.size() <= kMaxAnswerBytes)
        return;
    const base::AttemptId attempt = pending.id;
    cancel(attempt);
    m_listener->onFailed(attempt, routing::AttemptFault::UpstreamError);
}

void Services::onDone(http::CallId id)
{
    const auto it = m_calls.find(id);
    const Pending pending = std::move(it->second);
    m_calls.erase(it);
    m_ids.erase(pending.id);
    if (pending.answer.status < 0)
        m_listener->onFailed(pending.id, routing::AttemptFault::Refused);
    else
        m_listener->onAnswer(pending.id, pending.answer);
}

void Services::onFailed(http::CallId id, const http::CallError &error)
{
    const auto it = m_calls.find(id);
    const base::AttemptId attempt = it->second.id;
    m_calls.erase(it);
    m_ids.erase(attempt);
    if (error.sent == http::SendState::NothingSent)
        m_listener->onFailed(attempt, routing::AttemptFault::ConnectFailed);
    else if (error.failure == http::CallFailure::Timeout)
        m_listener->onFailed(attempt, routing::AttemptFault::Timeout);
    else
        m_listener->onFailed(attempt, routing::AttemptFault::ConnectionClosed);
}

} // namespace hyssop::upstream
