#include "EngineServer.h"

#include "upstream/Upstream.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssop;
using namespace hyssop::standins;

namespace {

/// Makes calls one after the other and keeps their answers.
class Caller : public http::CallHandler
{
public:
    struct Answer
    {
        int status = 0;
        std::string body;
        bool isFailed = false;
    };

    void add(http::Method method, std::string path, const nlohmann::json &body,
             http::Headers headers = {})
    {
        http::Call call;
        call.to = to;
        call.method = method;
        call.path = std::move(path);
        call.headers = std::move(headers);
        call.headers.push_back({"content-type", "application/json"});
        if (method == http::Method::Post || method == http::Method::Put)
            call.body = body.dump();
        call.timeout = base::Millis(10'000);
        calls.push_back(std::move(call));
    }
    void post(std::string path, const nlohmann::json &body, http::Headers headers = {})
    {
        add(http::Method::Post, std::move(path), body, std::move(headers));
    }
    std::vector<Answer> run()
    {
        next();
        loop->run();
        return answers;
    }

    void onHead(http::CallId, int status, const http::Headers &) override
    {
        answers.back().status = status;
    }
    void onData(http::CallId, std::string_view data) override { answers.back().body += data; }
    void onDone(http::CallId) override { next(); }
    void onFailed(http::CallId, const http::CallError &) override
    {
        answers.back().isFailed = true;
        next();
    }

    http::Loop *loop = nullptr;
    base::Endpoint to;
    std::vector<http::Call> calls;
    std::vector<Answer> answers;

private:
    void next()
    {
        if (answers.size() == calls.size()) {
            loop->stop();
            return;
        }
        answers.emplace_back();
        loop->call(calls[answers.size() - 1], this);
    }
};

struct Rig
{
    explicit Rig(EngineSettings settings = {})
        : loop(std::move(*http::Loop::create(64)))
        , engine(loop.get(), withDefaults(std::move(settings)),
                 [this](const EngineOrder &it) { served.push_back(it.model + '/' + it.role); })
    {
        caller.loop = loop.get();
        caller.to = *engine.listen({"127.0.70.5", 0});
    }
    static EngineSettings withDefaults(EngineSettings settings)
    {
        settings.speed = 1'000;
        settings.loaded.model = "m";
        return settings;
    }
    /// Asks for an answer of \a tokens tokens.
    void complete(const std::string &attempt, int tokens, http::Headers headers = {})
    {
        headers.push_back({"x-attempt-id", attempt});
        headers.push_back({"x-owner", "h/1"});
        caller.post("/v1/completions",
                    {{"model", "m"}, {"prompt", std::string(400, 'p')}, {"max_tokens", tokens}},
                    headers);
    }

    std::unique_ptr<http::Loop> loop;
    std::vector<std::string> served;
    EngineServer engine;
    Caller caller;
};

/// Tokens and offsets of an answer, joined.
std::string tokensOf(const std::string &body, std::int64_t &next)
{
    std::string text;
    upstream::SseParser parser;
    parser.feed(body, [&](std::string_view event) {
        if (event == "[DONE]") {
            text += "[DONE]";
            return;
        }
        const auto json = *base::parseJson(event);
        CHECK(json.at("offset") == next);
        for (const auto &token : json.at("tokens")) {
            text += token.get<std::string>();
            ++next;
        }
    });
    return text;
}

} // namespace

TEST_CASE("an attempt cut off in the middle goes on at the exact offset")
{
    EngineSettings settings;
    settings.faults.closePercent = 100;
    settings.faults.closeAfter = 5;
    Rig rig(settings);
    rig.complete("a", 12);
    rig.caller.post("/v1/attempts/a/resume", {{"offset", 5}});
    rig.caller.post("/v1/attempts/a/resume", {{"offset", 0}});
    rig.caller.post("/v1/attempts/a/resume", {{"offset", 13}});
    rig.caller.post("/v1/attempts/b/resume", {{"offset", 0}});
    const auto answers = rig.caller.run();
    std::int64_t next = 0;
    const std::string first = tokensOf(answers[0].body, next);
    CHECK(next == 5);
    const std::string rest = tokensOf(answers[1].body, next);
    CHECK(next == 12);
    next = 0;
    CHECK(tokensOf(answers[2].body, next) == first + rest);
    CHECK(rest.ends_with("[DONE]"));
    CHECK(answers[3].status == 400);
    CHECK(answers[4].status == 404);
    CHECK(answers[4].body.find("\"not_run\"") != std::string::npos);
}

TEST_CASE("an attempt that arrives after its cancel does not run")
{
    Rig rig;
    rig.caller.add(http::Method::Delete, "/v1/attempts/a", {});
    rig.complete("a", 3);
    const auto answers = rig.caller.run();
    CHECK(answers[0].status == 404);
    CHECK(answers[1].status == 410);
    CHECK(rig.engine.isIdle());
}

TEST_CASE("reservations and held caches are listed by host, and gone once deleted")
{
    Rig rig;
    rig.caller.post(
            "/v1/reservations",
            {{"id", "r"}, {"owner", "h/1"}, {"tokens", 300'000}, {"ttlMs", 10'000}, {"waitMs", 0}});
    rig.caller.post("/v1/reservations", {{"id", "s"},
                                         {"owner", "h/1"},
                                         {"tokens", 300'000},
                                         {"ttlMs", 10'000},
                                         {"waitMs", 30}});
    rig.caller.post("/v1/kv/imports",
                    {{"id", "k"}, {"owner", "h/2"}, {"tokens", 1'000}, {"blocks", {1, 2}}});
    rig.caller.add(http::Method::Get, "/v1/reservations?owner=h", {});
    rig.caller.add(http::Method::Get, "/v1/kv?owner=h", {});
    rig.caller.add(http::Method::Get, "/v1/kv?owner=h/1", {});
    rig.caller.add(http::Method::Delete, "/v1/reservations/r", {});
    rig.caller.add(http::Method::Delete, "/v1/kv/k", {});
    rig.caller.add(http::Method::Get, "/v1/stats", {});
    const auto answers = rig.caller.run();
    CHECK(answers[0].status == 200);
    CHECK(answers[1].status == 409);
    CHECK(answers[2].status == 200);
    CHECK(base::parseJson(answers[3].body)->at("reservations").size() == 1);
    CHECK(base::parseJson(answers[4].body)->at("kv").size() == 1);
    CHECK(base::parseJson(answers[5].body)->at("kv").empty());
    CHECK(base::parseJson(answers[8].body)->at("usedKvTokens") == 0);
}

TEST_CASE("an old fencing number is refused by an engine that checks, and taken by one that does "
          "not")
{
    for (const bool checks : {true, false}) {
        EngineSettings settings;
        settings.checksFencing = checks;
        Rig rig(settings);
        const nlohmann::json newer{{"fencing", 5}, {"model", "m"}, {"role", "decode"}};
        const nlohmann::json older{{"fencing", 4}, {"model", "m"}, {"role", "prefill"}};
        rig.caller.add(http::Method::Put, "/v1/desired", newer);
        rig.caller.add(http::Method::Put, "/v1/desired", older);
        rig.caller.add(http::Method::Get, "/v1/desired", {});
        const auto answers = rig.caller.run();
        CHECK(answers[0].status == 200);
        CHECK(answers[1].status == (checks ? 409 : 200));
        const std::string role = checks ? "decode" : "prefill";
        CHECK(base::parseJson(answers[2].body)->at("loaded").at("role") == role);
        CHECK(rig.served.back() == "m/" + role);
    }
}
