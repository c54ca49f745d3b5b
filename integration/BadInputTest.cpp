#include "Calls.h"
#include "RawConnection.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::harness;
using nlohmann::json;

namespace {

Plan smallPlan()
{
    Plan plan;
    plan.entryFlags = {"--stop-notice-ms",  "100", "--max-body-bytes", "65536",
                       "--body-timeout-ms", "300"};
    return plan;
}

Answer post(System &system, const std::string &path, const std::string &body,
            const http::Headers &headers = {{"x-team", "office-1"}})
{
    http::Call call;
    call.to = system.host("entry-1-1").callers;
    call.method = http::Method::Post;
    call.path = path;
    call.headers = headers;
    call.body = body;
    return system.client().start(std::move(call)).wait();
}

/// A caller that keeps the rules is served as ever.
void checkServes(System &system)
{
    Completion completion;
    completion.prompt = "still served";
    const Completed completed = complete(system, system.host("entry-1-1"), completion);
    CHECK(completed.isWhole);
    CHECK(completed.text == expectedText(completion.prompt, completion.maxTokens));
}

/// A caller that promises a body, sends the beginning and waits gets this status and code.
void checkSentAway(int promisedBytes, int status, const std::string &code)
{
    System system(smallPlan());
    bringUp(system);
    const Host &entry = system.host("entry-1-1");
    RawConnection caller(entry.callers);
    caller.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Team: office-1\r\nContent-Length: "
                + std::to_string(promisedBytes) + "\r\n\r\n{\"model\":\"chat\"");
    const std::string answer = caller.receiveAll();
    CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(status)));
    CHECK(answer.find(code) != std::string::npos);
    CHECK(answer.find("not_run") != std::string::npos);
    CHECK(metric(system, entry, "hyssop_bad_input_total", '"' + code + '"') == 1);
    checkServes(system);
}

struct BadCase
{
    std::string path;
    std::string body;
    http::Headers headers;
    int status;
    std::string code;
    std::string counter; ///< Counter of this code, by its label.
};

std::vector<BadCase> badCases()
{
    const http::Headers good{{"x-team", "office-1"}};
    const std::string bad = "hyssop_bad_input_total";
    const std::string refused = "hyssop_refusals_total";
    const std::string fine = R"({"model":"chat","prompt":"x"})";
    return {{"/v1/completions", "{\"model\":", good, 400, "bad_json", bad},
            {"/v1/completions", "[1,2]", good, 400, "bad_json", bad},
            {"/v1/completions", R"({"prompt":"x"})", good, 400, "missing_field", bad},
            {"/v1/completions", R"({"model":"chat"})", good, 400, "missing_field", bad},
            {"/v1/completions", R"({"model":"chat","prompt":7})", good, 400, "missing_field", bad},
            {"/v1/completions", R"({"model":"chat","prompt":"x","max_tokens":0})", good, 400,
             "bad_field", bad},
            {"/v1/completions", R"({"model":"chat","prompt":"x","stream":"yes"})", good, 400,
             "bad_field", bad},
            {"/v1/chat/completions", R"({"model":"chat","messages":[{"role":1}]})", good, 400,
             "missing_field", bad},
            {"/v1/completions",
             fine,
             {{"x-team", "office-1"}, {"x-urgency", "now"}},
             400,
             "bad_header",
             bad},
            {"/v1/completions",
             fine,
             {{"x-team", "office-1"}, {"x-deadline-ms", "soon"}},
             400,
             "bad_header",
             bad},
            {"/v1/nowhere", fine, good, 404, "unknown_path", bad},
            {"/v1/completions", fine, {{"x-team", "strangers"}}, 403, "unknown_team", refused},
            {"/v1/completions", fine, {}, 403, "unknown_team", refused},
            {"/v1/completions", R"({"model":"none","prompt":"x"})", good, 404, "unknown_route",
             refused},
            {"/v1/completions", R"({"model":"booking","prompt":"x"})", good, 404, "unknown_route",
             refused},
            {"/v1/services/chat/check", "{}", good, 404, "unknown_route", refused}};
}

} // namespace

TEST_CASE("each bad input gets its own code, is counted, is not run and harms nobody else")
{
    System system(smallPlan());
    bringUp(system);
    const Host &entry = system.host("entry-1-1");
    for (const BadCase &it : badCases()) {
        INFO(it.path << " " << it.body << " " << it.code);
        const std::string label = '"' + it.code + '"';
        const double before = metric(system, entry, it.counter, label);
        const Answer answer = post(system, it.path, it.body, it.headers);
        CHECK(answer.status == it.status);
        const json error = answer.json().value("error", json::object());
        CHECK(error.value("code", "") == it.code);
        CHECK(error.value("outcome", "") == "not_run");
        CHECK_FALSE(error.value("request_id", "").empty());
        CHECK(metric(system, entry, it.counter, label) == before + 1);
    }
    checkServes(system);
}

TEST_CASE("a body over the limit is refused with its code before it has arrived")
{
    checkSentAway(70'000, 413, "body_too_large");
}

TEST_CASE("a caller whose body never arrives is sent away in bounded time")
{
    checkSentAway(500, 408, "body_timeout");
}

TEST_CASE("a caller that vanishes frees its engine and harms nobody else")
{
    System system(smallPlan());
    bringUp(system);
    const Host &entry = system.host("entry-1-1");
    const Host &engine = system.host("engine-1-1");
    Completion endless;
    endless.wantsStream = true;
    endless.maxTokens = 100'000;
    const Pending pending = startCompletion(system, entry, endless);
    REQUIRE(pending.waitForBody("data:").status == 200);
    REQUIRE(engineStats(system, engine).value("running", 0) == 1);
    system.client().drop(pending);
    CHECK(returnsToFloor(system, engine, base::Millis(20'000)));
    CHECK(eventually(base::Millis(10'000),
                     [&] { return metric(system, entry, "hyssop_active_requests") == 0; }));
    CHECK(metric(system, entry, "hyssop_refusals_total", "\"caller_gone\"") == 1);
    checkServes(system);
}

TEST_CASE(
        "a caller that does not read its answer is cut off in bounded memory and harms nobody else")
{
    Plan plan = smallPlan();
    plan.entryFlags.insert(plan.entryFlags.end(), {"--max-unsent-bytes", "1048576"});
    plan.engineFlags = {"--speed", "200", "--step-ms", "1"};
    System system(plan);
    bringUp(system);
    const Host &entry = system.host("entry-1-1");
    const Host &engine = system.host("engine-1-1");
    // Far more than the buffers of both ends of a connection hold.
    const std::string body = R"({"model":"chat","prompt":"x","stream":true,"max_tokens":300000})";
    RawConnection caller(entry.callers);
    caller.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Team: office-1\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body);
    CHECK(eventually(base::Millis(20'000),
                     [&] { return metric(system, entry, "hyssop_slow_callers_total") == 1; }));
    CHECK(eventually(base::Millis(10'000),
                     [&] { return metric(system, entry, "hyssop_active_requests") == 0; }));
    CHECK(returnsToFloor(system, engine, base::Millis(20'000)));
    checkServes(system);
}
