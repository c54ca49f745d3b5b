#include "upstream/Upstream.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::upstream;

namespace {

/// An engine that sends the same bytes for each attempt. It confirms the second DELETE and then
/// stops the loop.
class ScriptedEngine : public http::ServerHandler
{
public:
    void onRequest(http::ExchangeId id, http::Request request) override
    {
        if (request.method == http::Method::Delete) {
            ++deleteCount;
            http::Response response;
            response.status = deleteCount < 2 ? 503 : 204;
            loop->respond(id, response);
            if (deleteCount == 2)
                loop->after(base::Millis(20), [this] { loop->stop(); });
            return;
        }
        attemptIdHeader = request.header("x-attempt-id");
        loop->startStream(id, status, "text/event-stream", {});
        loop->sendStream(id, body);
        if (endsResponse)
            loop->endStream(id);
    }
    void onPeerClosed(http::ExchangeId) override { }
    void onRejected(http::RejectReason) override { }

    http::Loop *loop = nullptr;
    int status = 200;
    bool endsResponse = true;
    std::string body;
    std::string attemptIdHeader;
    int deleteCount = 0;
};

class AttemptRecorder : public AttemptListener
{
public:
    void onAccepted(const base::AttemptId &) override { }
    void onTokens(const base::AttemptId &, std::int64_t, const std::vector<std::string> &t) override
    {
        tokenCount += static_cast<int>(t.size());
    }
    void onFinished(const base::AttemptId &) override
    {
        isFinished = true;
        loop->stop();
    }
    void onFailed(const base::AttemptId &, routing::AttemptFault f, base::Millis) override
    {
        fault = f;
        loop->stop();
    }
    void onStrayEvent(const base::AttemptId &) override { ++strayEventCount; }

    http::Loop *loop = nullptr;
    int tokenCount = 0;
    int strayEventCount = 0;
    bool isFinished = false;
    std::optional<routing::AttemptFault> fault;
};

struct Fixture
{
    Fixture()
        : loop(std::move(*http::Loop::create(64)))
        , engines(loop.get(), {base::HostId("h"), base::Incarnation(1)}, &recorder)
    {
        recorder.loop = loop.get();
        engine.loop = loop.get();
        http::ServerOptions options;
        options.listen = {"127.0.0.1", 0};
        options.headers = {"x-attempt-id"};
        address = *loop->listen(options, &engine);
    }
    void run(const std::string &body)
    {
        engine.body = body;
        EngineAttempt attempt;
        attempt.id = base::AttemptId("a1");
        attempt.to = address;
        attempt.body = "{}";
        attempt.timeRemaining = base::Millis(5'000);
        engines.start(attempt);
        loop->run();
    }

    std::unique_ptr<http::Loop> loop;
    ScriptedEngine engine;
    AttemptRecorder recorder;
    EngineClient engines;
    base::Endpoint address;
};

} // namespace

TEST_CASE("events of another attempt are dropped and reported as stray")
{
    Fixture fixture;
    fixture.run("data: {\"attempt\":\"a1\",\"offset\":0,\"tokens\":[\"x\"]}\n\n"
                "data: {\"attempt\":\"a2\",\"offset\":1,\"tokens\":[\"y\"]}\n\n"
                "data: [DONE]\n\n");
    CHECK(fixture.recorder.isFinished);
    CHECK(fixture.recorder.tokenCount == 1);
    CHECK(fixture.recorder.strayEventCount == 1);
    CHECK(fixture.engine.attemptIdHeader == "a1");
}

TEST_CASE("a stream that closes without its end mark fails the attempt")
{
    Fixture fixture;
    fixture.run("data: {\"attempt\":\"a1\",\"offset\":0,\"tokens\":[\"x\"]}\n\n");
    CHECK_FALSE(fixture.recorder.isFinished);
    CHECK(fixture.recorder.fault == routing::AttemptFault::ConnectionClosed);
}

TEST_CASE("an error counts as not run only with the exact outcome field")
{
    const auto faultFor = [](const std::string &body) {
        Fixture fixture;
        fixture.engine.status = 503;
        fixture.run(body);
        return fixture.recorder.fault;
    };
    CHECK(faultFor(R"({"error":{"outcome":"not_run"}})") == routing::AttemptFault::Refused);
    CHECK(faultFor(R"({"error":{"outcome":5}})") == routing::AttemptFault::UpstreamError);
    CHECK(faultFor(R"({"error":"not_run"})") == routing::AttemptFault::UpstreamError);
    CHECK(faultFor("not_run") == routing::AttemptFault::UpstreamError);
}

TEST_CASE("an endless error body is read up to the size limit, not until the timeout")
{
    Fixture fixture;
    fixture.engine.status = 503;
    fixture.engine.endsResponse = false;
    fixture.run(R"({"error":{"outcome":"not_run","message":")"
                + std::string(EngineClient::kMaxErrorBodyBytes, 'x'));
    CHECK(fixture.recorder.fault == routing::AttemptFault::UpstreamError);
}

TEST_CASE("a cancellation is retried until the engine confirms it")
{
    Fixture fixture;
    fixture.engines.cancel(base::AttemptId("a1"), fixture.address);
    CHECK(fixture.engines.unconfirmedCancels() == 1);
    fixture.loop->run();
    CHECK(fixture.engine.deleteCount == 2);
    CHECK(fixture.engines.unconfirmedCancels() == 0);
}

TEST_CASE("block hashes of two prompts agree exactly up to the first different block")
{
    const std::string a(20'000, 'a');
    std::string b = a;
    b[9'000] = 'b';
    CHECK(prefixHashes(a).size() == 4);
    CHECK(prefixHashes(a)[1] == prefixHashes(b)[1]);
    CHECK(prefixHashes(a)[2] != prefixHashes(b)[2]);
    CHECK(prefixHashes(a)[3] != prefixHashes(b)[3]);
    CHECK(estimateTokens(a) == base::Tokens(5'000));
}
