#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

namespace hyssop::upstream {

namespace {

constexpr auto kDesiredPath = "/v1/desired";
constexpr std::size_t kMaxResponseBytes = 64 * 1024;
constexpr int kStatusOk = 200;
constexpr int kFirstErrorStatus = 300;
constexpr int kStatusConflict = 409;

bool isSuccess(int status)
{
    return status >= kStatusOk && status < kFirstErrorStatus;
}

std::string stringField(const nlohmann::json &json, const char *field)
{
    const auto it = json.find(field);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

orders::EngineTarget parseTarget(const nlohmann::json &json)
{
    return {stringField(json, "model"), stringField(json, "adapter"), stringField(json, "version"),
            stringField(json, "role")};
}

tl::expected<orders::ReportedState, ReadError> parseReportedState(int status,
                                                                  const std::string &body)
{
    if (!isSuccess(status))
        return tl::unexpected(ReadError::Refused);
    const auto json = base::parseJson(body);
    if (!json || !json->is_object())
        return tl::unexpected(ReadError::Malformed);
    orders::ReportedState state;
    state.desired = parseTarget(*json);
    const auto loaded = json->find("loaded");
    const bool hasLoaded = loaded != json->end() && loaded->is_object();
    state.loaded = hasLoaded ? parseTarget(*loaded) : state.desired;
    return state;
}

orders::OrderResult resultFromStatus(int status)
{
    if (isSuccess(status))
        return orders::OrderResult::Accepted;
    return status == kStatusConflict ? orders::OrderResult::OldFencing
                                     : orders::OrderResult::Refused;
}

} // namespace

std::string_view readErrorName(ReadError error)
{
    switch (error) {
    case ReadError::NoResponse:
        return "no_answer";
    case ReadError::Refused:
        return "refused";
    case ReadError::Malformed:
        return "malformed";
    }
    return "unknown";
}

OrderClient::OrderClient(http::Loop *loop)
    : m_loop(loop)
{ }

OrderClient::~OrderClient()
{
    for (const auto &[id, pending] : m_calls)
        m_loop->cancel(id);
}

void OrderClient::readState(const base::Endpoint &engine, OnStateRead onStateRead)
{
    http::Call call;
    call.to = engine;
    call.path = kDesiredPath;
    call.timeout = orders::kOrderTimeout;
    PendingCall pending;
    pending.onStateRead = std::move(onStateRead);
    m_calls.emplace(m_loop->call(std::move(call), this), std::move(pending));
}

void OrderClient::send(const base::Endpoint &engine, const orders::SendOrder &order,
                       OnOrderResult onOrderResult)
{
    const orders::EngineTarget &target = order.assignment.target;
    http::Call call;
    call.to = engine;
    call.method = http::Method::Put;
    call.path = kDesiredPath;
    call.headers = {{"content-type", "application/json"}};
    call.body = nlohmann::json{{"fencing", order.fencingToken},
                               {"model", target.model},
                               {"adapter", target.adapter},
                               {"version", target.version},
                               {"role", target.role}}
                        .dump();
    call.timeout = orders::kOrderTimeout;
    call.sendBefore = order.sendDeadline;
    PendingCall pending;
    pending.onOrderResult = std::move(onOrderResult);
    m_calls.emplace(m_loop->call(std::move(call), this), std::move(pending));
}

OrderClient::PendingCall OrderClient::takeCall(http::CallId id)
{
    const auto it = m_calls.find(id);
    PendingCall pending = std::move(it->second);
    m_calls.erase(it);
    return pending;
}

void OrderClient::onHead(http::CallId id, int status, const http::Headers &)
{
    m_calls.at(id).status = status;
}

void OrderClient::onData(http::CallId id, std::string_view data)
{
    PendingCall &pending = m_calls.at(id);
    // A body that is truncated here fails to parse later.
    pending.body +=
            data.substr(0, kMaxResponseBytes - std::min(kMaxResponseBytes, pending.body.size()));
}

void OrderClient::onDone(http::CallId id)
{
    const PendingCall pending = takeCall(id);
    if (pending.onStateRead)
        pending.onStateRead(parseReportedState(pending.status, pending.body));
    else
        pending.onOrderResult(resultFromStatus(pending.status));
}

void OrderClient::onFailed(http::CallId id, const http::CallError &)
{
    const PendingCall pending = takeCall(id);
    if (pending.onStateRead)
        pending.onStateRead(tl::unexpected(ReadError::NoResponse));
    else
        pending.onOrderResult(orders::OrderResult::Failed);
}

} // namespace hyssop::upstream
