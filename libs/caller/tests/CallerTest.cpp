#include "caller/Caller.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::caller;

namespace {

const base::RequestId kFresh("fresh");

http::Request post(std::string path, std::string body, http::Headers headers = {})
{
    http::Request request;
    request.method = http::Method::Post;
    request.path = std::move(path);
    request.body = std::move(body);
    request.headers = std::move(headers);
    return request;
}

std::string codeOf(const http::Request &request)
{
    const auto call = parseCall(request, kFresh);
    return call ? "" : call.error().code;
}

} // namespace

TEST_CASE("a completion is read with its headers")
{
    const auto call =
            parseCall(post("/v1/completions", R"({"model":"m","prompt":"hi","stream":true})",
                           {{"x-team", "shop"},
                            {"x-urgency", "urgent"},
                            {"x-deadline-ms", "500"},
                            {"authorization", "Bearer k"}}),
                      kFresh);
    REQUIRE(call);
    const auto &completion = std::get<CompletionCall>(*call);
    CHECK(completion.head.team == "shop");
    CHECK(completion.head.bearerKey == "k");
    CHECK(completion.head.urgency == records::Urgency::Urgent);
    CHECK(completion.head.deadline == base::Millis(500));
    CHECK(completion.head.requestId == kFresh);
    CHECK(completion.wantsStream);
}

TEST_CASE("a chat's messages become one prompt in order")
{
    const auto call = parseCall(
            post("/v1/chat/completions",
                 R"({"model":"m","messages":[{"role":"user","content":"a"},{"role":"x","content":"b"}]})"),
            kFresh);
    REQUIRE(call);
    CHECK(std::get<CompletionCall>(*call).prompt == "user: a\nx: b\n");
}

TEST_CASE("bad input has a reason code each")
{
    CHECK(codeOf(post("/v1/completions", "{")) == "bad_json");
    CHECK(codeOf(post("/v1/completions", R"({"prompt":"x"})")) == "missing_field");
    CHECK(codeOf(post("/v1/completions", R"({"model":"m"})")) == "missing_field");
    CHECK(codeOf(post("/v1/completions", R"({"model":"m","prompt":"x","max_tokens":0})"))
          == "bad_field");
    CHECK(codeOf(post("/v1/completions", R"({"model":"m","prompt":"x"})", {{"x-urgency", "soon"}}))
          == "bad_header");
    CHECK(codeOf(post("/v1/nothing", "{}")) == "unknown_path");
    CHECK(codeOf(post("/v1/services/", "{}")) == "unknown_path");
}

TEST_CASE("a service call keeps path, query and key")
{
    http::Request request = post("/v1/services/ferry/check/now", "{}", {{"idempotency-key", "k1"}});
    request.query = "quay=2";
    const auto call = parseCall(request, kFresh);
    REQUIRE(call);
    const auto &service = std::get<ServiceCall>(*call);
    CHECK(service.service == "ferry");
    CHECK(service.path == "/check/now?quay=2");
    CHECK(service.head.idempotencyKey == "k1");
}

TEST_CASE("an error answer carries code, outcome and when to come back")
{
    const std::string json = toJson({429, "queue_full", "full", Outcome::NotRun, base::Millis(250)},
                                    base::RequestId("r1"));
    CHECK(json
          == R"({"error":{"code":"queue_full","message":"full","outcome":"not_run","request_id":"r1","retry_after_ms":250}})");
}
