#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

namespace hyssop::upstream {

namespace {

constexpr auto kPath = "/v1/desired";
constexpr std::size_t kMaxAnswerBytes = 64 * 1024;
constexpr int kStatusOk = 200;
constexpr int kFirstErrorStatus = 300;
constexpr int kStatusConflict = 409;

bool isSuccess(int status)
{
    return status >= kStatusOk && status < kFirstErrorStatus;
}

std::string textOf(const nlohmann::json &json, const char *field)
{
    const auto it = json.find(field);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

orders::EngineTarget targetFrom(const nlohmann::json &json)
{
    return {textOf(json, "model"), textOf(json, "adapter"), textOf(json, "version"),
            textOf(json, "role")};
}

tl::expected<orders::ReportedState, ReadFault> readBackFrom(int status, const std::string &body)
{
    if (!isSuccess(status))
        return tl::unexpected(ReadFault::Refused);
    const auto json = base::parseJson(body);
    if (!json || !json->is_object())
        return tl::unexpected(ReadFault::Malformed);
    orders::ReportedState state;
    state.desired = targetFrom(*json);
    const auto loaded = json->find("loaded");
    const bool tellsLoaded = loaded != json->end() && loaded->is_object();
    state.loaded = tellsLoaded ? targetFrom(*loaded) : state.desired;
    return state;
}

orders::OrderResult resultOf(int status)
{
    if (isSuccess(status))
        return orders::OrderResult::Accepted;
    return status == kStatusConflict ? orders::OrderResult::OldFencing
                                     : orders::OrderResult::Refused;
}

} // namespace

std::string_view readFaultName(ReadFault fault)
{
    switch (fault) {
    case ReadFault::NoAnswer:
        return "no_answer";
    case ReadFault::Refused:
        return "refused";
    case ReadFault::Malformed:
        return "malformed";
    }
    return "unknown";
}

OrderCalls::OrderCalls(http::Loop *loop)
    : m_loop(loop)
{ }

OrderCalls::~OrderCalls()
{
    for (const auto &[id, open] : m_calls)
        m_loop->cancel(id);
}

void OrderCalls::read(const base::Endpoint &engine, OnRead onRead)
{
    http::Call call;
    call.to = engine;
    call.path = kPath;
    call.timeout = orders::kOrderTimeout;
    Open open;
    open.onRead = std::move(onRead);
    m_calls.emplace(m_loop->call(std::move(call), this), std::move(open));
}

void OrderCalls::give(const base::Endpoint &engine, const orders::SendOrder &order,
                      OnOrdered onOrdered)
{
    const orders::EngineTarget &target = order.assignment.target;
    http::Call call;
    call.to = engine;
    call.method = http::Method::Put;
    call.path = kPath;
    call.headers = {{"content-type", "application/json"}};
    call.body = nlohmann::json{{"fencing", order.fencingToken},
                               {"model", target.model},
                               {"adapter", target.adapter},
                               {"version", target.version},
                               {"role", target.role}}
                        .dump();
    call.timeout = orders::kOrderTimeout;
    call.sendBefore = order.sendDeadline;
    Open open;
    open.onOrdered = std::move(onOrdered);
    m_calls.emplace(m_loop->call(std::move(call), this), std::move(open));
}

OrderCalls::Open OrderCalls::take(http::CallId id)
{
    const auto it = m_calls.find(id);
    Open open = std::move(it->second);
    m_calls.erase(it);
    return open;
}

void OrderCalls::onHead(http::CallId id, int status, const http::Headers &)
{
    m_calls.at(id).status = status;
}

void OrderCalls::onData(http::CallId id, std::string_view data)
{
    Open &open = m_calls.at(id);
    // What is cut off here is malformed then.
    open.body += data.substr(0, kMaxAnswerBytes - std::min(kMaxAnswerBytes, open.body.size()));
}

void OrderCalls::onDone(http::CallId id)
{
    const Open open = take(id);
    if (open.onRead)
        open.onRead(readBackFrom(open.status, open.body));
    else
        open.onOrdered(resultOf(open.status));
}

void OrderCalls::onFailed(http::CallId id, const http::CallError &)
{
    const Open open = take(id);
    if (open.onRead)
        open.onRead(tl::unexpected(ReadFault::NoAnswer));
    else
        open.onOrdered(orders::OrderResult::Failed);
}

} // namespace hyssop::upstream
