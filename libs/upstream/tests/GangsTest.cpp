#include "upstream/Upstream.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssop;
using namespace hyssop::upstream;

namespace {

/// Engines that note what they are asked, and refuse memory at one address if told to.
class Reservations : public http::ServerHandler
{
public:
    void onRequest(http::ExchangeId id, http::Request request) override
    {
        http::Response response;
        if (request.method == http::Method::Delete) {
            log.push_back("delete " + request.path);
        } else {
            const auto body = *base::parseJson(request.body);
            log.push_back("ask " + std::to_string(body.at("tokens").get<int>()));
            ++asked;
            if (asked == silentAt)
                return;
            if (asked == refusedAt)
                response.status = 409;
        }
        loop->respond(id, response);
    }
    void onPeerClosed(http::ExchangeId) override { }
    void onRejected(http::RejectReason) override { }

    http::Loop *loop = nullptr;
    int asked = 0;
    int refusedAt = 0;
    int silentAt = 0;
    std::vector<std::string> log;
};

struct Rig
{
    Rig()
        : loop(std::move(*http::Loop::create(64)))
        , gangs(
                  loop.get(), {base::HostId("h"), base::Incarnation(1)},
                  [this](const base::AttemptId &id) {
                      lost.push_back(id);
                      heldAtLoss = gangs.held();
                      stopWhenReleased();
                  },
                  base::Millis(10))
    {
        engines.loop = loop.get();
        http::ServerOptions options;
        // Three engines behind one handler.
        for (const char *address : {"127.0.70.1", "127.0.70.2", "127.0.70.3"}) {
            options.listen = {address, 0};
            addresses.push_back(*loop->listen(options, &engines));
        }
    }
    GangOrder order(base::Millis limit) const
    {
        return {base::AttemptId("g1"),
                {{base::UpstreamId("a"), addresses[0], base::Tokens(10)},
                 {base::UpstreamId("b"), addresses[1], base::Tokens(20)},
                 {base::UpstreamId("c"), addresses[2], base::Tokens(30)}},
                limit};
    }
    /// Reserves, gives back what is held, and serves until the engines have confirmed that.
    bool reserveAndRelease(base::Millis limit = base::Millis(5'000))
    {
        std::optional<bool> isHeld;
        gangs.reserve(order(limit), [&](bool it) {
            isHeld = it;
            heldAtAnswer = gangs.held();
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

    std::size_t heldAtAnswer = 0;
    std::size_t heldAtLoss = 0;
    std::vector<base::AttemptId> lost;
    std::unique_ptr<http::Loop> loop;
    Reservations engines;
    Gangs gangs;
    std::vector<base::Endpoint> addresses;
};

} // namespace

TEST_CASE("a gang is asked for in id order and given back whole")
{
    Rig rig;
    REQUIRE(rig.reserveAndRelease());
    CHECK(rig.heldAtAnswer == 1);
    CHECK(rig.gangs.held() == 0);
    const std::string gone = "delete /v1/reservations/g1";
    CHECK(rig.engines.log
          == std::vector<std::string>{"ask 10", "ask 20", "ask 30", gone, gone, gone});
}

TEST_CASE("a gang with one refusal gives back what it had taken and asks no further")
{
    Rig rig;
    rig.engines.refusedAt = 2;
    CHECK_FALSE(rig.reserveAndRelease());
    CHECK(rig.heldAtAnswer == 0);
    const std::string gone = "delete /v1/reservations/g1";
    CHECK(rig.engines.log == std::vector<std::string>{"ask 10", "ask 20", gone, gone});
}

TEST_CASE("a gang whose engine stays silent is given back at its limit")
{
    Rig rig;
    rig.engines.silentAt = 2;
    CHECK_FALSE(rig.reserveAndRelease(base::Millis(50)));
    CHECK(rig.heldAtAnswer == 0);
}

TEST_CASE("a gang released while it is being reserved gives no answer and holds nothing")
{
    Rig rig;
    bool isAnswered = false;
    rig.gangs.reserve(rig.order(base::Millis(5'000)), [&](bool) { isAnswered = true; });
    rig.gangs.release(base::AttemptId("g1"));
    CHECK(rig.gangs.held() == 0);
    rig.stopWhenReleased();
    rig.loop->run();
    CHECK_FALSE(isAnswered);
}

TEST_CASE("a gang of which one engine refuses to renew is given back whole and told as lost")
{
    Rig rig;
    // Three questions reserve, three renew; in the next round the second engine has lost its part.
    rig.engines.refusedAt = 8;
    std::vector<bool> answers;
    rig.gangs.reserve(rig.order(base::Millis(5'000)), [&](bool it) { answers.push_back(it); });
    rig.loop->run();
    CHECK(answers == std::vector<bool>{true});
    CHECK(rig.lost == std::vector{base::AttemptId("g1")});
    CHECK(rig.heldAtLoss == 0);
    CHECK(std::count(rig.engines.log.begin(), rig.engines.log.end(),
                     std::string("delete /v1/reservations/g1"))
          == 3);
}
