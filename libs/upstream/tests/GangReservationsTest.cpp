#include "upstream/Upstream.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssop;
using namespace hyssop::upstream;

namespace {

/// Engines that log their requests. They can refuse one reservation or leave one unanswered.
class ReservationServer : public http::ServerHandler
{
public:
    void onRequest(http::ExchangeId id, http::Request request) override
    {
        http::Response response;
        if (request.method == http::Method::Delete) {
            log.push_back("delete " + request.path);
        } else {
            const auto body = *base::parseJson(request.body);
            log.push_back("reserve " + std::to_string(body.at("tokens").get<int>()));
            ++requestCount;
            if (requestCount == unansweredRequest)
                return;
            if (requestCount == refusedRequest)
                response.status = 409;
        }
        loop->respond(id, response);
    }
    void onPeerClosed(http::ExchangeId) override { }
    void onRejected(http::RejectReason) override { }

    http::Loop *loop = nullptr;
    int requestCount = 0;
    int refusedRequest = 0;
    int unansweredRequest = 0;
    std::vector<std::string> log;
};

struct Fixture
{
    Fixture()
        : loop(std::move(*http::Loop::create(64)))
        , gangs(
                  loop.get(), {base::HostId("h"), base::Incarnation(1)},
                  [this](const base::AttemptId &id) {
                      lostGangs.push_back(id);
                      heldAtLoss = gangs.gangCount();
                      stopWhenReleased();
                  },
                  base::Millis(10))
    {
        engines.loop = loop.get();
        http::ServerOptions options;
        // One handler serves three engines.
        for (const char *address : {"127.0.70.1", "127.0.70.2", "127.0.70.3"}) {
            options.listen = {address, 0};
            addresses.push_back(*loop->listen(options, &engines));
        }
    }
    GangRequest request(base::Millis limit) const
    {
        return {base::AttemptId("g1"),
                {{base::UpstreamId("a"), addresses[0], base::Tokens(10)},
                 {base::UpstreamId("b"), addresses[1], base::Tokens(20)},
                 {base::UpstreamId("c"), addresses[2], base::Tokens(30)}},
                limit};
    }
    /// Reserves and releases a gang, and runs the loop until the engines have confirmed the
    /// release. Returns whether the gang was held.
    bool reserveAndRelease(base::Millis limit = base::Millis(5'000))
    {
        std::optional<bool> isHeld;
        gangs.reserve(request(limit), [&](bool it) {
            isHeld = it;
            heldAtResult = gangs.gangCount();
            gangs.release(base::AttemptId("g1"));
            stopWhenReleased();
        });
        loop->run();
        return isHeld.value();
    }
    void stopWhenReleased()
    {
        if (gangs.unconfirmedReleases() == 0)
            loop->stop();
        else
            loop->after(base::Millis(1), [this] { stopWhenReleased(); });
    }

    std::size_t heldAtResult = 0;
    std::size_t heldAtLoss = 0;
    std::vector<base::AttemptId> lostGangs;
    std::unique_ptr<http::Loop> loop;
    ReservationServer engines;
    GangReservations gangs;
    std::vector<base::Endpoint> addresses;
};

} // namespace

TEST_CASE("a gang is reserved in order of id and all members are released")
{
    Fixture fixture;
    REQUIRE(fixture.reserveAndRelease());
    CHECK(fixture.heldAtResult == 1);
    CHECK(fixture.gangs.gangCount() == 0);
    const std::string release = "delete /v1/reservations/g1";
    CHECK(fixture.engines.log
          == std::vector<std::string>{"reserve 10", "reserve 20", "reserve 30", release, release,
                                      release});
}

TEST_CASE("a refusal releases the members already asked and stops further requests")
{
    Fixture fixture;
    fixture.engines.refusedRequest = 2;
    CHECK_FALSE(fixture.reserveAndRelease());
    CHECK(fixture.heldAtResult == 0);
    const std::string release = "delete /v1/reservations/g1";
    CHECK(fixture.engines.log
          == std::vector<std::string>{"reserve 10", "reserve 20", release, release});
}

TEST_CASE("a gang is released at its time limit when an engine does not respond")
{
    Fixture fixture;
    fixture.engines.unansweredRequest = 2;
    CHECK_FALSE(fixture.reserveAndRelease(base::Millis(50)));
    CHECK(fixture.heldAtResult == 0);
}

TEST_CASE("a gang released while it is being reserved gets no callback and holds nothing")
{
    Fixture fixture;
    bool isResultReported = false;
    fixture.gangs.reserve(fixture.request(base::Millis(5'000)),
                          [&](bool) { isResultReported = true; });
    fixture.gangs.release(base::AttemptId("g1"));
    CHECK(fixture.gangs.gangCount() == 0);
    fixture.stopWhenReleased();
    fixture.loop->run();
    CHECK_FALSE(isResultReported);
}

TEST_CASE("a gang is released and reported as lost when one engine refuses a renewal")
{
    Fixture fixture;
    // Three requests reserve and three renew. Request 8 is the second of the next renewal.
    fixture.engines.refusedRequest = 8;
    std::vector<bool> results;
    fixture.gangs.reserve(fixture.request(base::Millis(5'000)),
                          [&](bool it) { results.push_back(it); });
    fixture.loop->run();
    CHECK(results == std::vector<bool>{true});
    CHECK(fixture.lostGangs == std::vector{base::AttemptId("g1")});
    CHECK(fixture.heldAtLoss == 0);
    CHECK(std::count(fixture.engines.log.begin(), fixture.engines.log.end(),
                     std::string("delete /v1/reservations/g1"))
          == 3);
}
