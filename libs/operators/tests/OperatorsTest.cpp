#include "operators/Operators.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace hyssop;
using namespace hyssop::operators;

namespace {

const records::Record kTeam{records::Kind::Team, "shop", 1, records::Version(1), R"({"weight":2})"};

class FakeRequestHandler : public RequestHandler
{
public:
    void onPut(PutRequest request, ReplyCallback<PutReply> answer) override
    {
        lastPut = request;
        PutReply reply;
        reply.status = PutStatus::Conflict;
        reply.current = kTeam;
        answer(reply);
    }
    std::vector<records::Record> records() override { return {kTeam}; }
    void onStatus(ReplyCallback<StatusReply> answer) override
    {
        StatusReply reply;
        reply.host = base::HostId("c1");
        reply.hosts = {{base::HostId("e1"), base::DataCentreId("d1"), 7, 12}};
        answer(reply);
    }
    std::optional<PutRequest> lastPut;
};

struct ServerFixture
{
    explicit ServerFixture(const std::string &token)
        : loop(std::move(*http::Loop::create(64)))
        , server(loop.get(), &handler, token)
    {
        address = *server.listen({"127.0.0.1", 0});
        thread = std::thread([this] { loop->run(); });
    }
    ~ServerFixture()
    {
        loop->stop();
        thread.join();
    }
    Client client(const std::string &token) const
    {
        return Client({{"127.0.0.1", 1}, address}, token, base::Millis(5'000));
    }

    std::unique_ptr<http::Loop> loop;
    FakeRequestHandler handler;
    Server server;
    base::Endpoint address;
    std::thread thread;
};

} // namespace

TEST_CASE("a change is sent to the next control host if the first is unreachable")
{
    const ServerFixture fixture("secret");
    Client client = fixture.client("secret");
    const auto reply = client.put({"c1", records::Version(0), kTeam});
    REQUIRE(reply);
    CHECK(reply->status == PutStatus::Conflict);
    CHECK(reply->current == kTeam);
    REQUIRE(fixture.handler.lastPut);
    CHECK(fixture.handler.lastPut->changeId == "c1");
    CHECK(client.records()->front() == kTeam);
    CHECK(client.status()->hosts.front().appliedIndex == 7);
}

TEST_CASE("a request with a wrong token is rejected")
{
    const ServerFixture fixture("secret");
    Client client = fixture.client("guess");
    const auto reply = client.put({"c1", records::Version(0), kTeam});
    REQUIRE(reply);
    CHECK(reply->status == PutStatus::Invalid);
    CHECK_FALSE(fixture.handler.lastPut);
}

TEST_CASE("a data centre's progress is that of its slowest host, and an unreachable one is listed")
{
    const base::DataCentreId a("a");
    const base::DataCentreId b("b");
    const base::DataCentreId c("c");
    StatusReply first;
    first.hosts = {{base::HostId("a1"), a, 9, 10}, {base::HostId("b1"), b, 7, 20}};
    StatusReply second;
    second.hosts = {{base::HostId("a1"), a, 5, 60'000}, {base::HostId("b2"), b, 9, 30}};
    const auto propagations = propagationByDataCentre({first, second}, {c}, 9);
    REQUIRE(propagations.size() == 3);
    CHECK(propagations[0].state == PropagationState::InForce);
    CHECK(propagations[0].hosts == 1);
    CHECK(propagations[1].state == PropagationState::Behind);
    CHECK(propagations[1].ageMs == 30);
    CHECK(propagations[2].dataCentre == c);
    CHECK(propagations[2].state == PropagationState::Unreachable);

    first.hosts[0].ageMs = kUnreachableAfterMs + 1;
    CHECK(propagationByDataCentre({first}, {}, 9)[0].state == PropagationState::Unreachable);
}

TEST_CASE("a field of the wrong type makes a reply invalid or is ignored")
{
    CHECK_FALSE(putReplyFromJson(R"({"status":7})"));
    const auto reply = putReplyFromJson(R"({"status":"accepted","message":[],"position":"x"})");
    REQUIRE(reply);
    CHECK(reply->status == PutStatus::Accepted);
    CHECK(reply->message.empty());
    CHECK(reply->logIndex == 0);
}
