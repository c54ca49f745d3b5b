#include "upstream/Upstream.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssop;
using namespace hyssop::upstream;

namespace {

/// Serves /v1/desired of an engine with a preset response.
class DesiredStateServer : public http::ServerHandler
{
public:
    void onRequest(http::ExchangeId id, http::Request request) override
    {
        lastRequest = std::move(request);
        ++requestCount;
        loop->respond(id, response);
    }
    void onPeerClosed(http::ExchangeId) override { }
    void onRejected(http::RejectReason) override { }

    http::Loop *loop = nullptr;
    http::Response response;
    http::Request lastRequest;
    int requestCount = 0;
};

base::TimePoint distantDeadline()
{
    return base::monotonicNow() + base::Millis(60'000);
}

/// Usable for one call, since a loop runs only once.
struct Fixture
{
    Fixture()
        : loop(std::move(*http::Loop::create(64)))
        , orderCalls(loop.get())
    {
        engine.loop = loop.get();
        http::ServerOptions options;
        options.listen = {"127.0.71.1", 0};
        address = *loop->listen(options, &engine);
    }
    orders::OrderResult sendOrder(base::TimePoint deadline)
    {
        orders::SendOrder order;
        order.engine = base::UpstreamId("e");
        order.fencingToken = 4;
        order.assignment = {"d", {"saga", "fjord", "2", "chat"}};
        order.sendDeadline = deadline;
        std::optional<orders::OrderResult> result;
        orderCalls.send(address, order, [&](orders::OrderResult it) {
            result = it;
            loop->stop();
        });
        loop->run();
        REQUIRE(result);
        return *result;
    }
    tl::expected<orders::ReportedState, ReadError> readState()
    {
        std::optional<tl::expected<orders::ReportedState, ReadError>> state;
        orderCalls.readState(address, [&](const auto &it) {
            state = it;
            loop->stop();
        });
        loop->run();
        REQUIRE(state);
        return *state;
    }

    std::unique_ptr<http::Loop> loop;
    DesiredStateServer engine;
    base::Endpoint address;
    OrderClient orderCalls;
};

} // namespace

TEST_CASE("an order carries its fencing token")
{
    Fixture fixture;
    CHECK(fixture.sendOrder(distantDeadline()) == orders::OrderResult::Accepted);
    const auto body = base::parseJson(fixture.engine.lastRequest.body);
    REQUIRE(body);
    CHECK(*body
          == nlohmann::json({{"fencing", 4},
                             {"model", "saga"},
                             {"adapter", "fjord"},
                             {"version", "2"},
                             {"role", "chat"}}));
}

TEST_CASE("status 409 means an old fencing token, another error status a refusal")
{
    const auto resultForStatus = [](int status) {
        Fixture fixture;
        fixture.engine.response.status = status;
        return fixture.sendOrder(distantDeadline());
    };
    CHECK(resultForStatus(204) == orders::OrderResult::Accepted);
    CHECK(resultForStatus(409) == orders::OrderResult::OldFencing);
    CHECK(resultForStatus(500) == orders::OrderResult::Refused);
}

TEST_CASE("an order past its send deadline is not sent")
{
    Fixture fixture;
    CHECK(fixture.sendOrder(base::monotonicNow()) == orders::OrderResult::Failed);
    CHECK(fixture.engine.requestCount == 0);
}

TEST_CASE("the reported state holds the desired and the loaded target")
{
    const auto stateFrom = [](int status, const std::string &body) {
        Fixture fixture;
        fixture.engine.response.status = status;
        fixture.engine.response.body = body;
        return fixture.readState();
    };
    const auto state =
            stateFrom(200, R"({"model":"saga","version":"2","loaded":{"model":"saga"}})");
    REQUIRE(state);
    CHECK(state->desired.version == "2");
    CHECK(state->isLoading());
    CHECK_FALSE(stateFrom(200, R"({"model":"saga","version":"2"})")->isLoading());
    CHECK(stateFrom(200, "[").error() == ReadError::Malformed);
    CHECK(stateFrom(503, "").error() == ReadError::Refused);
}
