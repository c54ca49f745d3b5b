#include "http/Http.h"
#include "ScriptedServer.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::http;

namespace {

/// Echoes bodies; "/stream" answers in pieces, "/hang" never.
class Echo : public ServerHandler
{
public:
    void onRequest(ExchangeId id, Request request) override
    {
        lastRequest = request;
        if (request.path == "/hang")
            return;
        if (request.path == "/stream") {
            loop->startStream(id, 200, "text/event-stream", {});
            loop->sendStream(id, "one ");
            loop->after(base::Millis(5), [this, id] {
                loop->sendStream(id, "two");
                loop->endStream(id);
            });
            return;
        }
        Response response;
        response.status = request.body.empty() ? 404 : 200;
        response.body = request.body;
        loop->respond(id, response);
    }
    void onPeerClosed(ExchangeId) override { ++closedPeers; }
    void onRejected(RejectReason reason) override { rejected.push_back(reason); }

    Loop *loop = nullptr;
    Request lastRequest;
    std::vector<RejectReason> rejected;
    int closedPeers = 0;
};

class Collect : public CallHandler
{
public:
    explicit Collect(Loop *l)
        : loop(l)
    { }
    void onHead(CallId, int s, const Headers &) override { status = s; }
    void onData(CallId, std::string_view data) override { body += data; }
    void onDone(CallId) override
    {
        isDone = true;
        loop->stop();
    }
    void onFailed(CallId, const CallError &e) override
    {
        error = e;
        loop->stop();
    }

    Loop *loop;
    int status = 0;
    std::string body;
    bool isDone = false;
    std::optional<CallError> error;
};

struct Rig
{
    Rig()
        : loop(std::move(*Loop::create(64)))
    {
        echo.loop = loop.get();
        ServerOptions options;
        options.listen = {"127.0.0.1", 0};
        options.headers = {"x-team"};
        options.maxBodyBytes = 1 << 20;
        address = *loop->listen(options, &echo);
    }
    Collect call(Method method, std::string path, std::string body, Headers headers = {})
    {
        Collect collect(loop.get());
        Call c;
        c.to = address;
        c.method = method;
        c.path = std::move(path);
        c.body = std::move(body);
        c.headers = std::move(headers);
        c.timeout = timeout;
        loop->call(c, &collect);
        loop->run();
        return collect;
    }

    std::unique_ptr<Loop> loop;
    Echo echo;
    base::Endpoint address;
    base::Millis timeout{5'000};
};

} // namespace

TEST_CASE("a body goes to the server and comes back whole")
{
    Rig rig;
    const std::string body(300'000, 'x');
    const Collect collect = rig.call(Method::Post, "/echo?a=1&b=2", body, {{"x-team", "shop"}});
    CHECK(collect.status == 200);
    CHECK(collect.isDone);
    CHECK(collect.body == body);
    CHECK(rig.echo.lastRequest.header("x-team") == "shop");
    CHECK(rig.echo.lastRequest.queryValue("b") == "2");
}

TEST_CASE("an answer without a body is delivered")
{
    Rig rig;
    const Collect collect = rig.call(Method::Delete, "/nothing", "");
    CHECK(collect.status == 404);
    CHECK(collect.isDone);
}

TEST_CASE("a streamed answer ends with the connection")
{
    Rig rig;
    const Collect collect = rig.call(Method::Post, "/stream", "{}");
    CHECK(collect.body == "one two");
    CHECK(collect.isDone);
}

TEST_CASE("a refused connection is told apart as nothing sent")
{
    Rig rig;
    rig.address.port = 1;
    const Collect collect = rig.call(Method::Post, "/echo", "{}");
    REQUIRE(collect.error);
    CHECK(collect.error->sent == SendState::NothingSent);
}

TEST_CASE("a server that never answers ends in a timeout that may have arrived")
{
    Rig rig;
    rig.timeout = base::Millis(50);
    const Collect collect = rig.call(Method::Post, "/hang", "{}");
    REQUIRE(collect.error);
    CHECK(collect.error->failure == CallFailure::Timeout);
    CHECK(collect.error->sent == SendState::MayHaveArrived);
}

TEST_CASE("a body over the limit is refused before it is read")
{
    Rig rig;
    const Collect collect = rig.call(Method::Post, "/echo", std::string(2 << 20, 'x'));
    CHECK(rig.echo.rejected == std::vector<RejectReason>{RejectReason::BodyTooLarge});
}

TEST_CASE("callers that fill the connections of a loop do not keep it from calling others")
{
    constexpr std::size_t kMaxOpen = 16;
    const auto loop = std::move(*Loop::create(kMaxOpen));
    Echo echo;
    echo.loop = loop.get();
    ServerOptions options;
    options.listen = {"127.0.0.1", 0};
    Call call;
    call.to = *loop->listen(options, &echo);
    call.path = "/hang";
    Collect callers(loop.get());
    for (std::size_t n = 0; n < 2 * kMaxOpen; ++n)
        loop->call(call, &callers);
    const testing::ScriptedServer upstream({"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
    call.to = upstream.address();
    Collect collect(loop.get());
    loop->after(base::Millis(100), [&] { loop->call(call, &collect); });
    loop->run();
    CHECK(collect.isDone);
    CHECK_FALSE(collect.error);
}

TEST_CASE("a loop that ends tells the handlers of open calls nothing more")
{
    Rig rig;
    Collect collect(rig.loop.get());
    Call call;
    call.to = rig.address;
    call.method = Method::Post;
    call.path = "/hang";
    call.body = "{}";
    rig.loop->call(call, &collect);
    rig.loop->after(base::Millis(50), [&rig] { rig.loop->stop(); });
    rig.loop->run();
    REQUIRE(rig.echo.lastRequest.path == "/hang");
    rig.loop.reset();
    CHECK_FALSE(collect.error);
    CHECK_FALSE(collect.isDone);
}
