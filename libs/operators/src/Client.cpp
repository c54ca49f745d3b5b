#include "operators/Operators.h"

#include <nlohmann/json.hpp>

namespace hyssop::operators {

namespace {

constexpr std::size_t kMaxConnections = 16;
constexpr int kHttpServiceUnavailable = 503;

/// Collects the response of one call.
class ResponseCollector final : public http::CallHandler
{
public:
    explicit ResponseCollector(http::Loop *loop)
        : m_loop(loop)
    { }

    void onHead(http::CallId, int s, const http::Headers &) override { status = s; }
    void onData(http::CallId, std::string_view data) override { body += data; }
    void onDone(http::CallId) override
    {
        m_loop->post([this] { end(true); });
    }
    void onFailed(http::CallId, const http::CallError &error) override
    {
        failure = http::callFailureName(error.failure);
        m_loop->post([this] { end(false); });
    }

    int status = 0;
    std::string body;
    std::string failure;
    bool isComplete = false;
    bool isEnded = false;

private:
    void end(bool isCompleteResponse)
    {
        isComplete = isCompleteResponse;
        isEnded = true;
    }

    http::Loop *m_loop;
};

} // namespace

Client::Client(std::vector<base::Endpoint> controlHosts, std::string token, base::Millis timeout)
    : m_controlAddresses(std::move(controlHosts))
    , m_token(std::move(token))
    , m_timeout(timeout)
{ }

Client::~Client() = default;

tl::expected<Client::Reply, ClientError> Client::requestFrom(http::Call call,
                                                             const base::Endpoint &to)
{
    auto loop = http::Loop::create(kMaxConnections);
    if (!loop)
        return tl::unexpected(ClientError{loop.error().message});
    call.to = to;
    call.timeout = m_timeout;
    ResponseCollector collector(loop->get());
    (*loop)->call(std::move(call), &collector);
    http::Loop *rawLoop = loop->get();
    // Stops the loop once the response is complete or the call has failed.
    std::function<void()> stopWhenEnded = [&collector, rawLoop, &stopWhenEnded] {
        if (collector.isEnded)
            rawLoop->stop();
        else
            rawLoop->after(base::Millis(1), stopWhenEnded);
    };
    rawLoop->after(base::Millis(1), stopWhenEnded);
    rawLoop->run();
    if (!collector.isComplete)
        return tl::unexpected(ClientError{to.text() + ": " + collector.failure});
    return Reply{collector.status, collector.body};
}

tl::expected<Client::Reply, ClientError> Client::requestFromAny(const http::Call &call)
{
    ClientError lastError{"no control host is configured"};
    for (const base::Endpoint &to : m_controlAddresses) {
        http::Call copy = call;
        if (!m_token.empty())
            copy.headers.push_back({"authorization", "Bearer " + m_token});
        auto reply = requestFrom(std::move(copy), to);
        if (reply && reply->status != kHttpServiceUnavailable)
            return reply;
        lastError = reply ? ClientError{to.text() + ": " + reply->body} : reply.error();
    }
    return tl::unexpected(lastError);
}

tl::expected<PutReply, ClientError> Client::put(const PutRequest &request)
{
    http::Call call;
    call.method = http::Method::Put;
    call.path =
            "/v1/records/" + std::string(kindName(request.record.kind)) + "/" + request.record.name;
    call.headers = {{"content-type", "application/json"},
                    {"if-match", std::to_string(request.expectedVersion.count())},
                    {"x-change-id", request.changeId}};
    call.body = records::toJson(request.record);
    const auto reply = requestFromAny(call);
    if (!reply)
        return tl::unexpected(reply.error());
    if (const auto put = putReplyFromJson(reply->body))
        return *put;
    PutReply invalidReply;
    invalidReply.status = PutStatus::Invalid;
    invalidReply.message = reply->body;
    return invalidReply;
}

tl::expected<std::vector<records::Record>, ClientError> Client::records()
{
    http::Call call;
    call.path = "/v1/records";
    const auto reply = requestFromAny(call);
    if (!reply)
        return tl::unexpected(reply.error());
    const auto body = base::parseJson(reply->body);
    if (!body || !body->is_object() || !body->contains("records"))
        return tl::unexpected(ClientError{"unexpected reply: " + reply->body});
    std::vector<records::Record> records;
    for (const auto &item : body->at("records")) {
        if (auto record = records::recordFromJson(item.dump()))
            records.push_back(*std::move(record));
    }
    return records;
}

tl::expected<StatusReply, ClientError> Client::status()
{
    http::Call call;
    call.path = "/v1/status";
    const auto reply = requestFromAny(call);
    if (!reply)
        return tl::unexpected(reply.error());
    if (auto status = statusFromJson(reply->body))
        return *std::move(status);
    return tl::unexpected(ClientError{"unexpected reply: " + reply->body});
}

std::vector<StatusReply> Client::statusOfAllHosts()
{
    std::vector<StatusReply> replies;
    for (const base::Endpoint &to : m_controlAddresses) {
        http::Call call;
        call.path = "/v1/status";
        if (!m_token.empty())
            call.headers.push_back({"authorization", "Bearer " + m_token});
        const auto reply = requestFrom(std::move(call), to);
        auto status = reply ? statusFromJson(reply->body) : std::nullopt;
        if (status)
            replies.push_back(*std::move(status));
    }
    return replies;
}

} // namespace hyssop::operators
