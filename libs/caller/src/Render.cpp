#include "Render.h"

#include <nlohmann/json.hpp>

namespace hyssop::caller {

using nlohmann::json;

namespace {

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Failed:
        return "failed";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

/// Text that is not UTF-8 is replaced, never a reason to fail.
std::string dump(const json &j)
{
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string toJson(const ErrorBody &error, const base::RequestId &requestId)
{
    json body{{"code", error.code},
              {"message", error.message},
              {"outcome", outcomeName(error.outcome)},
              {"request_id", requestId.text()}};
    if (error.retryAfter.count() > 0)
        body["retry_after_ms"] = error.retryAfter.count();
    return dump({{"error", std::move(body)}});
}

std::string chunkJson(const base::RequestId &id, const std::string &model, bool isChat,
                      const std::string &text)
{
    json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (isChat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    return dump({{"id", id.text()},
                 {"object", isChat ? "chat.completion.chunk" : "text_completion"},
                 {"model", model},
                 {"choices", json::array({std::move(choice)})}});
}

std::string completionJson(const base::RequestId &id, const std::string &model, bool isChat,
                           const std::string &text, std::int64_t tokens)
{
    json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (isChat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    return dump({{"id", id.text()},
                 {"object", isChat ? "chat.completion" : "text_completion"},
                 {"model", model},
                 {"choices", json::array({std::move(choice)})},
                 {"usage", {{"completion_tokens", tokens}}}});
}

} // namespace hyssop::caller
