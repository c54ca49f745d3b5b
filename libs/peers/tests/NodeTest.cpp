#include "peers/Peers.h"

#include <catch2/catch.hpp>

#include <future>

using namespace hyssop;
using namespace hyssop::peers;

namespace {

class Recorder : public Service
{
public:
    void onWatch(WatchRequest request, Answer<WatchReply> answer) override
    {
        WatchReply reply;
        reply.position = {request.applied.term, request.applied.index + 1};
        reply.hasChanged = true;
        reply.records = {"{\"a\":1}", "{}"};
        answer(reply);
    }
    void onExecute(ExecuteRequest request, Answer<ExecuteReply> answer) override
    {
        if (request.group == "hang")
            held = answer;
        else
            answer({ExecuteStatus::Done, request.command + "!", "leader"});
    }
    void onReplicate(ReplicateMessage message) override { replicated.set_value(message.body); }
    void onGossip(GossipMessage) override { }
    void onQuery(QueryRequest request, Answer<std::string> answer) override
    {
        answer(request.body);
    }

    std::promise<std::string> replicated;
    Answer<ExecuteReply> held;
};

const base::Endpoint kAny{"127.0.0.1", 0};
constexpr base::Millis kTimeout{5'000};

tl::expected<ExecuteReply, PeerError> execute(Node &node, const base::Endpoint &to,
                                              const std::string &group, base::Millis timeout)
{
    std::promise<tl::expected<ExecuteReply, PeerError>> done;
    node.execute(to, {group, std::string("a\0b", 3)}, timeout,
                 [&done](auto reply) { done.set_value(std::move(reply)); });
    return done.get_future().get();
}

} // namespace

TEST_CASE("calls carry their fields both ways")
{
    Recorder service;
    const auto server = std::move(*Node::start(kAny, &service));
    const auto client = std::move(*Node::start(kAny, &service));
    const auto executed = execute(*client, server->address(), "g", kTimeout);
    REQUIRE(executed);
    CHECK(executed->reply == std::string("a\0b!", 4));
    CHECK(executed->leader == "leader");

    std::promise<tl::expected<WatchReply, PeerError>> watched;
    client->watch(server->address(), {base::HostId("h"), base::DataCentreId("d"), {2, 7}, {}},
                  kTimeout, [&watched](auto reply) { watched.set_value(std::move(reply)); });
    const auto watch = watched.get_future().get();
    REQUIRE(watch);
    CHECK(watch->position == WirePosition{2, 8});
    CHECK(watch->records.size() == 2);

    client->replicate(server->address(), {"g", "a", "body"}, kTimeout);
    CHECK(service.replicated.get_future().get() == "body");
}

TEST_CASE("a call without an answer ends at its timeout")
{
    Recorder service;
    const auto server = std::move(*Node::start(kAny, &service));
    const auto reply = execute(*server, server->address(), "hang", base::Millis(50));
    REQUIRE_FALSE(reply);
    CHECK(reply.error().fault == CallFault::Timeout);
    CHECK(reply.error().mayHaveArrived);
    service.held = nullptr;
}

TEST_CASE("a process that is not there is unreachable")
{
    Recorder service;
    const auto node = std::move(*Node::start(kAny, &service));
    const auto reply = execute(*node, {"127.0.0.1", 1}, "g", kTimeout);
    REQUIRE_FALSE(reply);
    CHECK_FALSE(reply.error().mayHaveArrived);
}

TEST_CASE("calls after the other side has gone fail, and a later start is found again")
{
    Recorder service;
    const auto client = std::move(*Node::start(kAny, &service));
    auto server = std::move(*Node::start(kAny, &service));
    const base::Endpoint address = server->address();
    CHECK(execute(*client, address, "g", kTimeout));
    server.reset();
    for (int n = 0; n < 3; ++n)
        CHECK_FALSE(execute(*client, address, "g", kTimeout));
    server = std::move(*Node::start(address, &service));
    CHECK(execute(*client, address, "g", kTimeout));
}

TEST_CASE("an answer that is held for longer than its node lives goes nowhere and does no harm")
{
    Recorder service;
    auto server = std::move(*Node::start(kAny, &service));
    const auto client = std::move(*Node::start(kAny, &service));
    CHECK_FALSE(execute(*client, server->address(), "hang", base::Millis(200)));
    REQUIRE(service.held);
    server.reset();
    service.held({ExecuteStatus::Done, "late", "leader"});
    service.held = nullptr;
}
