#include "caller/Caller.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace hyssop::caller {

namespace {

using nlohmann::json;

constexpr std::int64_t kDefaultMaxTokens = 256;
constexpr std::int64_t kMaxMaxTokens = 1'000'000;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::string_view kServices = "/v1/services/";
constexpr std::string_view kJobs = "/v1/jobs";

tl::unexpected<ErrorBody> bad(std::string code, std::string message, int status = 400)
{
    return tl::unexpected(ErrorBody{status, std::move(code), std::move(message)});
}

tl::expected<CallHead, ErrorBody> parseHead(const http::Request &request,
                                            const base::RequestId &freshId)
{
    CallHead head;
    const std::string_view given = request.header("x-request-id");
    if (given.size() > kMaxKeyBytes)
        return bad("bad_header", "X-Request-Id is too long");
    head.requestId = given.empty() ? freshId : base::RequestId(std::string(given));
    head.team = request.header("x-team");
    const std::string_view authorization = request.header("authorization");
    constexpr std::string_view bearer = "Bearer ";
    if (authorization.starts_with(bearer))
        head.bearerKey = authorization.substr(bearer.size());
    if (const std::string_view text = request.header("x-urgency"); !text.empty()) {
        head.urgency = records::parseUrgency(text);
        if (!head.urgency)
            return bad("bad_header", "X-Urgency is not urgent, normal or batch");
    }
    if (const std::string_view text = request.header("x-deadline-ms"); !text.empty()) {
        std::int64_t ms = 0;
        const auto [end, ec] = std::from_chars(text.begin(), text.end(), ms);
        if (ec != std::errc() || end != text.end() || ms < 1 || ms > kMaxDeadlineMs)
            return bad("bad_header", "X-Deadline-Ms is not a whole number from 1 to 86400000");
        head.deadline = base::Millis(ms);
    }
    head.idempotencyKey = request.header("idempotency-key");
    if (head.idempotencyKey.size() > kMaxKeyBytes)
        return bad("bad_header", "Idempotency-Key is longer than 256 bytes");
    return head;
}

/// Text of a chat's messages, or nothing when one is malformed.
std::optional<std::string> chatPrompt(const json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return std::nullopt;
    std::string prompt;
    for (const json &message : *messages) {
        if (!message.is_object())
            return std::nullopt;
        const auto role = message.find("role");
        const auto content = message.find("content");
        if (role == message.end() || !role->is_string() || content == message.end()
            || !content->is_string())
            return std::nullopt;
        prompt += role->get_ref<const std::string &>();
        prompt += ": ";
        prompt += content->get_ref<const std::string &>();
        prompt += '\n';
    }
    return prompt;
}

tl::expected<Call, ErrorBody> parseService(const http::Request &request, CallHead head)
{
    ServiceCall call;
    call.head = std::move(head);
    const std::string_view rest = std::string_view(request.path).substr(kServices.size());
    const auto slash = rest.find('/');
    call.service = rest.substr(0, slash);
    if (call.service.empty())
        return bad("unknown_path", "the name of the service is missing", 404);
    call.path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    if (!request.query.empty())
        call.path += "?" + request.query;
    call.method = request.method;
    call.contentType = request.header("content-type");
    call.body = request.body;
    return Call(std::move(call));
}

tl::expected<Call, ErrorBody> parseJobs(const http::Request &request, CallHead head)
{
    if (request.method == http::Method::Post && request.path == kJobs) {
        auto completion = parseCompletion(request.body,
                                          request.body.find("\"messages\"") != std::string::npos);
        if (!completion)
            return tl::unexpected(completion.error());
        completion->head = head;
        return Call(SubmitJobCall{std::move(head), *std::move(completion), request.body});
    }
    if (request.method == http::Method::Get && request.path == kJobs) {
        if (head.team.empty())
            head.team = request.queryValue("team");
        return Call(ListJobsCall{std::move(head)});
    }
    if (request.method == http::Method::Get)
        return Call(
                GetJobCall{std::move(head), base::JobId(request.path.substr(kJobs.size() + 1))});
    return bad("unknown_path", "no such path or method", 404);
}

} // namespace

std::vector<std::string> callHeaders()
{
    return {"x-team", "x-urgency", "x-deadline-ms", "idempotency-key", "x-request-id"};
}

tl::expected<CompletionCall, ErrorBody> parseCompletion(std::string_view text, bool isChat)
{
    const auto body = base::parseJson(text);
    if (!body || !body->is_object())
        return bad("bad_json", "the body is not a JSON object");
    CompletionCall call;
    call.isChat = isChat;
    const auto model = body->find("model");
    if (model == body->end() || !model->is_string())
        return bad("missing_field", "model is missing or not text");
    call.model = model->get<std::string>();
    if (isChat) {
        auto prompt = chatPrompt(*body);
        if (!prompt)
            return bad("missing_field", "messages is missing or not a list of role and content");
        call.prompt = *std::move(prompt);
    } else {
        const auto prompt = body->find("prompt");
        if (prompt == body->end() || !prompt->is_string())
            return bad("missing_field", "prompt is missing or not text");
        call.prompt = prompt->get<std::string>();
    }
    call.maxTokens = kDefaultMaxTokens;
    if (const auto it = body->find("max_tokens"); it != body->end()) {
        if (!it->is_number_integer() || it->get<std::int64_t>() < 1
            || it->get<std::int64_t>() > kMaxMaxTokens)
            return bad("bad_field", "max_tokens is not a whole number from 1 to 1000000");
        call.maxTokens = it->get<std::int64_t>();
    }
    if (const auto it = body->find("stream"); it != body->end()) {
        if (!it->is_boolean())
            return bad("bad_field", "stream is not true or false");
        call.wantsStream = it->get<bool>();
    }
    return call;
}

tl::expected<Call, ErrorBody> parseCall(const http::Request &request,
                                        const base::RequestId &freshId)
{
    auto head = parseHead(request, freshId);
    if (!head)
        return tl::unexpected(head.error());
    const std::string &path = request.path;
    if (path.starts_with(kServices))
        return parseService(request, *std::move(head));
    if (path == kJobs || path.starts_with("/v1/jobs/"))
        return parseJobs(request, *std::move(head));
    if (path == "/v1/scope" && request.method == http::Method::Get)
        return Call(ScopeCall{*std::move(head)});
    const bool isChat = path == "/v1/chat/completions";
    if ((isChat || path == "/v1/completions") && request.method == http::Method::Post) {
        auto completion = parseCompletion(request.body, isChat);
        if (!completion)
            return tl::unexpected(completion.error());
        completion->head = *std::move(head);
        return Call(*std::move(completion));
    }
    return bad("unknown_path", "no such path or method", 404);
}

} // namespace hyssop::caller
