#include "upstream/Upstream.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssop;
using namespace hyssop::upstream;

namespace {

/// An engine's /v1/desired with a scripted answer.
class Desired : public http::ServerHandler
{
public:
    void onRequest(http::ExchangeId id, http::Request request) override
    {
        last = std::move(request);
        ++requests;
        loop->respond(id, response);
    }
    void onPeerClosed(http::ExchangeId) override { }
    void onRejected(http::RejectReason) override { }

    http::Loop *loop = nullptr;
    http::Response response;
    http::Request last;
    int requests = 0;
};

base::TimePoint later()
{
    return base::monotonicNow() + base::Millis(60'000);
}

/// Good for one call, since a loop runs once.
struct Rig
{
    Rig()
        : loop(std::move(*http::Loop::create(64)))
        , calls(loop.get())
    {
        engine.loop = loop.get();
        http::ServerOptions options;
        options.listen = {"127.0.71.1", 0};
        address = *loop->listen(options, &engine);
    }
    orders::OrderResult give(base::TimePoint before)
    {
        orders::SendOrder order;
        order.engine = base::UpstreamId("e");
        order.fencingToken = 4;
        order.assignment = {"d", {"saga", "fjord", "2", "chat"}};
        order.sendDeadline = before;
        std::optional<orders::OrderResult> result;
        calls.give(address, order, [&](orders::OrderResult it) {
            result = it;
            loop->stop();
        });
        loop->run();
        REQUIRE(result);
        return *result;
    }
    tl::expected<orders::ReportedState, ReadFault> read()
    {
        std::optional<tl::expected<orders::ReportedState, ReadFault>> state;
        calls.read(address, [&](const auto &it) {
            state = it;
            loop->stop();
        });
        loop->run();
        REQUIRE(state);
        return *state;
    }

    std::unique_ptr<http::Loop> loop;
    Desired engine;
    base::Endpoint address;
    OrderCalls calls;
};

} // namespace

TEST_CASE("an order carries its fencing number")
{
    Rig rig;
    CHECK(rig.give(later()) == orders::OrderResult::Accepted);
    const auto body = base::parseJson(rig.engine.last.body);
    REQUIRE(body);
    CHECK(*body
          == nlohmann::json({{"fencing", 4},
                             {"model", "saga"},
                             {"adapter", "fjord"},
                             {"version", "2"},
                             {"role", "chat"}}));
}

TEST_CASE("a conflict tells of a newer number, another error of a refusal")
{
    const auto resultAt = [](int status) {
        Rig rig;
        rig.engine.response.status = status;
        return rig.give(later());
    };
    CHECK(resultAt(204) == orders::OrderResult::Accepted);
    CHECK(resultAt(409) == orders::OrderResult::OldFencing);
    CHECK(resultAt(500) == orders::OrderResult::Refused);
}

TEST_CASE("an order whose time is over never leaves")
{
    Rig rig;
    CHECK(rig.give(base::monotonicNow()) == orders::OrderResult::Failed);
    CHECK(rig.engine.requests == 0);
}

TEST_CASE("a reading tells what is wanted and what is loaded")
{
    const auto stateFrom = [](int status, const std::string &body) {
        Rig rig;
        rig.engine.response.status = status;
        rig.engine.response.body = body;
        return rig.read();
    };
    const auto state =
            stateFrom(200, R"({"model":"saga","version":"2","loaded":{"model":"saga"}})");
    REQUIRE(state);
    CHECK(state->desired.version == "2");
    CHECK(state->isLoading());
    CHECK_FALSE(stateFrom(200, R"({"model":"saga","version":"2"})")->isLoading());
    CHECK(stateFrom(200, "[").error() == ReadFault::Malformed);
    CHECK(stateFrom(503, "").error() == ReadFault::Refused);
}
