#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

namespace hyssop::upstream {

namespace {

constexpr auto kOutcomeHeader = "x-outcome";
constexpr auto kNotRunOutcome = "not_run";
constexpr std::size_t kMaxResponseBytes = std::size_t(16) << 20;

} // namespace

ServiceClient::ServiceClient(http::Loop *loop, OwnerId owner, ServiceListener *listener)
    : m_loop(loop)
    , m_owner(std::move(owner))
    , m_listener(listener)
{ }

void ServiceClient::start(ServiceCall serviceCall)
{
    http::Call call;
    call.to = serviceCall.to;
    call.method = serviceCall.method;
    call.path = std::move(serviceCall.path);
    call.body = std::move(serviceCall.body);
    call.headers = {{"content-type", serviceCall.contentType},
                    {"x-attempt-id", serviceCall.id.text()},
                    {"x-owner", m_owner.text()},
                    {"x-remaining-ms", std::to_string(serviceCall.remaining.count())}};
    if (!serviceCall.idempotencyKey.empty())
        call.headers.push_back({"idempotency-key", serviceCall.idempotencyKey});
    call.responseHeaders = {kOutcomeHeader};
    call.timeout = serviceCall.remaining;
    const http::CallId id = m_loop->call(std::move(call), this);
    m_calls.emplace(id, PendingCall{serviceCall.id, {}});
    m_callIds.emplace(serviceCall.id, id);
}

void ServiceClient::cancel(const base::AttemptId &id)
{
    const auto it = m_callIds.find(id);
    if (it == m_callIds.end())
        return;
    m_loop->cancel(it->second);
    m_calls.erase(it->second);
    m_callIds.erase(it);
}

void ServiceClient::onHead(http::CallId id, int status, const http::Headers &headers)
{
    PendingCall &pending = m_calls.at(id);
    pending.response.status = status;
    pending.response.contentType = http::headerValue(headers, "content-type");
    // The service did not start the request. A negative status marks this until onDone(), since
    // the response does not keep this header.
    if (http::headerValue(headers, kOutcomeHeader) == kNotRunOutcome)
        pending.response.status = -status;
}

void ServiceClient::onData(http::CallId id, std::string_view data)
{
    PendingCall &pending = m_calls.at(id);
    pending.response.body += data;
    if (pending.response.body.size() <= kMaxResponseBytes)
        return;
    const base::AttemptId attempt = pending.attemptId;
    cancel(attempt);
    m_listener->onFailed(attempt, routing::AttemptFault::UpstreamError);
}

void ServiceClient::onDone(http::CallId id)
{
    const auto it = m_calls.find(id);
    const PendingCall pending = std::move(it->second);
    m_calls.erase(it);
    m_callIds.erase(pending.attemptId);
    if (pending.response.status < 0)
        m_listener->onFailed(pending.attemptId, routing::AttemptFault::Refused);
    else
        m_listener->onResponse(pending.attemptId, pending.response);
}

void ServiceClient::onFailed(http::CallId id, const http::CallError &error)
{
    const auto it = m_calls.find(id);
    const base::AttemptId attempt = it->second.attemptId;
    m_calls.erase(it);
    m_callIds.erase(attempt);
    if (error.sent == http::SendState::NothingSent)
        m_listener->onFailed(attempt, routing::AttemptFault::ConnectFailed);
    else if (error.failure == http::CallFailure::Timeout)
        m_listener->onFailed(attempt, routing::AttemptFault::Timeout);
    else
        m_listener->onFailed(attempt, routing::AttemptFault::ConnectionClosed);
}

} // namespace hyssop::upstream
