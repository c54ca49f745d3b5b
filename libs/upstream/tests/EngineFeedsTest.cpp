#include "upstream/Upstream.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::upstream;

namespace {

constexpr auto kLoad = "data: {\"type\":\"load\",\"ageMs\":40,\"running\":2,\"waiting\":1,"
                       "\"queuedPromptTokens\":900,\"usedKvTokens\":5000}\n\n";
constexpr auto kCache = "data: {\"type\":\"cache\",\"epoch\":3,\"sequence\":7,"
                        "\"added\":[18446744073709551615],\"removed\":[4]}\n\n";

/// An engine that sends one text on each feed and then closes it if closesFeed is set.
class FakeEngine : public http::ServerHandler
{
public:
    void onRequest(http::ExchangeId id, http::Request request) override
    {
        lastPath = request.path;
        feedExchange = id;
        loop->startStream(id, 200, "text/event-stream", {});
        loop->sendStream(id, feedTexts[std::min(openedFeeds, feedTexts.size() - 1)]);
        ++openedFeeds;
        if (closesFeed)
            loop->endStream(id);
    }
    void onPeerClosed(http::ExchangeId) override { }
    void onRejected(http::RejectReason) override { }

    http::Loop *loop = nullptr;
    std::vector<std::string> feedTexts;
    std::size_t openedFeeds = 0;
    bool closesFeed = true;
    http::ExchangeId feedExchange;
    std::string lastPath;
};

} // namespace

TEST_CASE("a feed that ends is opened again, and malformed events are counted")
{
    auto loop = std::move(*http::Loop::create(64));
    FakeEngine engine;
    engine.loop = loop.get();
    engine.feedTexts = {std::string("data: {\"type\":\"load\"}\n\n") + kLoad, kCache};
    http::ServerOptions options;
    options.listen = {"127.0.70.1", 0};
    const base::Endpoint address = *loop->listen(options, &engine);
    std::optional<routing::LoadReported> load;
    std::optional<routing::CacheChanged> change;
    EngineFeeds feeds(
            loop.get(), [&](const routing::LoadReported &it) { load = it; },
            [&](const routing::CacheChanged &it) {
                change = it;
                loop->stop();
            });
    feeds.subscribe(base::UpstreamId("e1"), address);
    loop->run();
    CHECK(engine.lastPath == "/v1/events");
    CHECK(feeds.malformedCount() == 1);
    REQUIRE(load);
    CHECK(load->upstream == base::UpstreamId("e1"));
    CHECK(load->age == base::Millis(40));
    CHECK(load->usedKvTokens == base::Tokens(5'000));
    REQUIRE(change);
    CHECK(change->sequence == 7);
    CHECK(change->added == std::vector<std::uint64_t>{18'446'744'073'709'551'615U});
    feeds.unsubscribe(base::UpstreamId("e1"));
}

TEST_CASE("an event with a negative number or an invalid field is malformed")
{
    const base::UpstreamId id("e1");
    CHECK_FALSE(parseEngineEvent(id, "{\"type\":\"load\",\"ageMs\":-1,\"running\":0,\"waiting\":0,"
                                     "\"queuedPromptTokens\":0,\"usedKvTokens\":0}"));
    CHECK_FALSE(parseEngineEvent(id, "{\"type\":\"cache\",\"epoch\":1,\"sequence\":1,"
                                     "\"added\":[\"x\"],\"removed\":[]}"));
    CHECK_FALSE(parseEngineEvent(id, "[]"));
}

TEST_CASE("an event with a number above its limit is malformed")
{
    const base::UpstreamId id("e1");
    CHECK_FALSE(parseEngineEvent(id, "{\"type\":\"load\",\"ageMs\":9000000000000000000,"
                                     "\"running\":0,\"waiting\":0,"
                                     "\"queuedPromptTokens\":0,\"usedKvTokens\":0}"));
    CHECK_FALSE(parseEngineEvent(id, "{\"type\":\"load\",\"ageMs\":1,\"running\":4294967297,"
                                     "\"waiting\":0,\"queuedPromptTokens\":0,"
                                     "\"usedKvTokens\":0}"));
}

TEST_CASE("an engine that stops reporting becomes quiet until it reports again")
{
    auto loop = std::move(*http::Loop::create(64));
    FakeEngine engine;
    engine.loop = loop.get();
    engine.closesFeed = false;
    engine.feedTexts = {kLoad};
    http::ServerOptions options;
    options.listen = {"127.0.70.1", 0};
    const base::Endpoint address = *loop->listen(options, &engine);
    const base::UpstreamId id("e1");
    std::vector<bool> quietChanges;
    EngineFeeds feeds(
            loop.get(), [](const auto &) {}, [](const auto &) {},
            [&](const base::UpstreamId &, bool isQuiet) {
                quietChanges.push_back(isQuiet);
                if (isQuiet)
                    engine.loop->sendStream(engine.feedExchange, kLoad);
                else
                    loop->stop();
            },
            base::Millis(20));
    feeds.subscribe(id, address);
    loop->run();
    CHECK(quietChanges == std::vector<bool>{true, false});
    CHECK_FALSE(feeds.isQuiet(id));
}
