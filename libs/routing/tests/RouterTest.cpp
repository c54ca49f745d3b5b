#include "RouterFixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace hyssop;
using namespace hyssop::routing;
using namespace std::chrono_literals;

TEST_CASE("a request without an upstream is refused as NotRun")
{
    RouterFixture fixture;
    const auto ends = actionsOf<FailRequest>(fixture.arrive("r", 100));
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].reason == EndReason::NoUpstream);
    CHECK(ends[0].outcome == Outcome::NotRun);
}

TEST_CASE("tokens are forwarded once and in order")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    const base::AttemptId id = fixture.startRequest("r", 100).attempt;
    CHECK(actionsOf<ForwardTokens>(fixture.router.handle(AttemptTokens{id, 0, 2}, fixture.now))
                  .size()
          == 1);
    CHECK(actionsOf<ForwardTokens>(fixture.router.handle(AttemptTokens{id, 0, 2}, fixture.now))
                  .empty());
    const auto overlap =
            actionsOf<ForwardTokens>(fixture.router.handle(AttemptTokens{id, 1, 3}, fixture.now));
    REQUIRE(overlap.size() == 1);
    CHECK(overlap[0].skippedTokens == 1);
    const base::AttemptId other("other");
    CHECK(actionsOf<ForwardTokens>(fixture.router.handle(AttemptTokens{other, 4, 1}, fixture.now))
                  .empty());
    CHECK(actionsOf<CompleteRequest>(fixture.router.handle(AttemptFinished{id}, fixture.now)).size()
          == 1);
}

TEST_CASE("an urgent request overtakes requests queued earlier")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    const auto first = fixture.startRequest("a", 250'000);
    // The KV cache fits only one of them.
    CHECK(fixture.arrive("b", 250'000).empty());
    CHECK(fixture.arrive("c", 250'000, records::Urgency::Urgent).empty());
    const auto next = actionsOf<StartAttempt>(
            fixture.router.handle(AttemptFinished{first.attempt}, fixture.now));
    REQUIRE(next.size() == 1);
    CHECK(next[0].request == base::RequestId("c"));
}

TEST_CASE("a blocked request starts when any upstream gains room")
{
    const std::string freed = GENERATE("e1", "e2", "e3");
    RouterFixture fixture;
    std::map<std::string, base::AttemptId> holders;
    for (const std::string id : {"e1", "e2", "e3"}) {
        fixture.addEngine(id);
        holders[id] = fixture.startRequest("of-" + id, 30'000).attempt;
    }
    CHECK(fixture.arrive("waits", 30'000).empty());
    // Another engine changes without gaining room.
    const std::string other = freed == "e1" ? "e2" : "e1";
    PeerLoadReport report;
    report.host = base::HostId("h2");
    report.upstream = base::UpstreamId(other);
    report.promptTokens = base::Tokens(50'000);
    CHECK(fixture.router.handle(report, fixture.now).empty());
    const auto next = actionsOf<StartAttempt>(
            fixture.router.handle(AttemptFinished{holders.at(freed)}, fixture.now));
    REQUIRE(next.size() == 1);
    CHECK(next[0].request == base::RequestId("waits"));
    CHECK(next[0].upstream == base::UpstreamId(freed));
}

TEST_CASE("every admitted request ends at its deadline")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    const base::AttemptId busy = fixture.startRequest("a", 250'000).attempt;
    // The KV cache fits only one of them.
    CHECK(actionsOf<StartAttempt>(fixture.arrive("b", 250'000)).empty());
    const base::AttemptId streaming = fixture.startRequest("c", 100).attempt;
    fixture.router.handle(AttemptTokens{streaming, 0, 1}, fixture.now);
    Actions actions;
    // The first request keeps receiving tokens, so only its deadline can end it.
    for (int second = 1; second <= 60; ++second) {
        for (const Action &action : fixture.advanceTo(kStart + std::chrono::seconds(second)))
            actions.push_back(action);
        fixture.router.handle(AttemptTokens{busy, second - 1, 1}, fixture.now);
    }
    std::map<base::RequestId, Outcome> outcomes;
    for (const FailRequest &end : actionsOf<FailRequest>(actions))
        CHECK(outcomes.emplace(end.request, end.outcome).second);
    CHECK(outcomes
          == std::map<base::RequestId, Outcome>{{base::RequestId("a"), Outcome::Failed},
                                                {base::RequestId("b"), Outcome::NotRun},
                                                {base::RequestId("c"), Outcome::Failed}});
    std::set<base::AttemptId> cancelled;
    for (const CancelAttempt &cancel : actionsOf<CancelAttempt>(actions))
        cancelled.insert(cancel.attempt);
    CHECK(cancelled.contains(busy));
    CHECK(cancelled.contains(streaming));
    CHECK(fixture.router.stats().activeRequests == 0);
    CHECK(fixture.router.nextTick() == base::TimePoint::max());
}

TEST_CASE("a non-repeatable call is not retried once it may have run")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    RequestInfo request = fixture.request("r", 100);
    request.isRetrySafe = false;
    const auto starts = actionsOf<StartAttempt>(fixture.arrive(request));
    const AttemptFailed failed{starts.at(0).attempt, AttemptFault::Timeout, {}};
    const Actions actions = fixture.router.handle(failed, fixture.now);
    CHECK(actionsOf<FailRequest>(actions).at(0).outcome == Outcome::Failed);
    CHECK(actionsOf<StartAttempt>(fixture.advanceTo(kStart + 61s)).empty());
}

TEST_CASE("a request is refused on arrival if outstanding work makes its deadline unreachable")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    fixture.arrive("first", 120'000);
    RequestInfo request = fixture.request("r", 60'000);
    request.deadline = fixture.now + 4s;
    const auto ends = actionsOf<FailRequest>(fixture.arrive(request));
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].reason == EndReason::DeadlineTooShort);
    CHECK(ends[0].outcome == Outcome::NotRun);
    // 180,000 tokens take 6 s at the initial rate.
    CHECK(ends[0].retryAfter >= 2s);
    CHECK(ends[0].retryAfter < 3s);
}

TEST_CASE("outstanding work of other hosts does not inflate the estimated queue time without bound")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    PeerLoadReport report;
    report.host = base::HostId("h2");
    report.upstream = base::UpstreamId("e");
    report.promptTokens = base::Tokens(40'000);
    fixture.router.handle(report, fixture.now);
    CHECK(fixture.arrive("waits", 20'000).empty());
    // 60,000 tokens ahead at half the rate and 20,000 of its own fit well within the minute.
    CHECK(fixture.arrive("r", 20'000).empty());
    CHECK(fixture.router.stats().queuedRequests == 2);
}

TEST_CASE("each team limit refuses with its own reason")
{
    const auto team =
            teamRecord("shop", R"({"maxRequests":3,"maxTokens":200000,"maxLongPrompts":1})");
    RouterFixture fixture(testOptions(), {team});
    for (const char *id : {"e1", "e2", "e3"})
        fixture.addEngine(id);
    const auto reasonOf = [&](const std::string &id, std::int64_t prompt) {
        return actionsOf<FailRequest>(fixture.arrive(id, prompt)).at(0).reason;
    };
    const auto first = fixture.startRequest("a", 40'000);
    CHECK(reasonOf("b", 40'000) == EndReason::TeamLongPromptLimit);
    CHECK(reasonOf("c", 170'000) == EndReason::TeamTokenLimit);
    fixture.arrive("d", 100);
    fixture.arrive("e", 100);
    CHECK(reasonOf("f", 100) == EndReason::TeamRequestLimit);
    fixture.router.handle(AttemptFinished{first.attempt}, fixture.now);
    CHECK(actionsOf<FailRequest>(fixture.arrive("g", 40'000)).empty());
}

TEST_CASE("the total body size of open requests is limited")
{
    RouterOptions options = testOptions();
    options.maxOpenBodyBytes = base::Bytes(1'000);
    RouterFixture fixture(options);
    fixture.addEngine("e");
    RequestInfo request = fixture.request("a", 100);
    request.bodyBytes = base::Bytes(600);
    const auto first = actionsOf<StartAttempt>(fixture.arrive(request)).at(0);
    request.id = base::RequestId("b");
    CHECK(actionsOf<FailRequest>(fixture.arrive(request)).at(0).reason == EndReason::QueueFull);
    fixture.router.handle(AttemptFinished{first.attempt}, fixture.now);
    CHECK(actionsOf<StartAttempt>(fixture.arrive(request)).size() == 1);
}

TEST_CASE("a short prompt gets a higher engine priority than a long one")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    const auto longPrompt = fixture.startRequest("long", 300'000);
    const auto shortPrompt = fixture.startRequest("short", 1'000);
    CHECK(shortPrompt.priority < longPrompt.priority);
}

TEST_CASE("long prompts leave at least a fifth of the engines, and at least one, to short prompts")
{
    RouterFixture fixture;
    for (const char *id : {"e1", "e2", "e3", "e4"})
        fixture.addEngine(id);
    std::set<base::UpstreamId> used;
    for (int n = 0; n < 6; ++n) {
        for (const auto &start :
             actionsOf<StartAttempt>(fixture.arrive("r" + std::to_string(n), 60'000)))
            used.insert(start.upstream);
    }
    CHECK(used.size() == 3);
    CHECK(fixture.router.stats().queuedRequests == 3);
}

TEST_CASE("long prompts use only as many engines as their share of the tokens needs")
{
    RouterFixture fixture;
    for (int n = 0; n < 10; ++n)
        fixture.addEngine("e" + std::to_string(n));
    // A tenth of the arriving tokens belongs to long prompts.
    int last = 0;
    std::set<base::UpstreamId> used;
    for (int n = 0; n < 20; ++n) {
        for (int m = 0; m < 60; ++m) {
            const auto start = fixture.startRequest("s" + std::to_string(++last), 9'000);
            fixture.router.handle(AttemptFinished{start.attempt}, fixture.now);
        }
        used.insert(fixture.startRequest("l" + std::to_string(n), 60'000).upstream);
        if (n % 2 == 1)
            fixture.advanceTo(fixture.now + 61s);
    }
    CHECK(used.size() == 2);
}

TEST_CASE("a peer's outstanding work counts until its report expires")
{
    RouterFixture fixture;
    fixture.addEngine("e1");
    fixture.addEngine("e2");
    PeerLoadReport report;
    report.host = base::HostId("h2");
    report.promptTokens = base::Tokens(100'000);
    for (const char *id : {"e1", "e2"}) {
        report.upstream = base::UpstreamId(id);
        fixture.router.handle(report, fixture.now);
    }
    CHECK(fixture.arrive("r", 1'000).empty());
    const auto starts = actionsOf<StartAttempt>(fixture.advanceTo(kStart + 2s));
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].request == base::RequestId("r"));
}

TEST_CASE("a request is placed at the engine that has its prefix cached")
{
    RouterFixture fixture;
    for (const char *id : {"e1", "e2", "e3"})
        fixture.addEngine(id);
    CacheChanged cached;
    cached.upstream = base::UpstreamId("e3");
    cached.epoch = 1;
    cached.sequence = 1;
    cached.added = {11, 12, 13, 14};
    fixture.router.handle(cached, fixture.now);
    RequestInfo request = fixture.request("r", 5'000);
    request.prefixHashes = {11, 12, 13, 14};
    CHECK(actionsOf<StartAttempt>(fixture.arrive(request)).at(0).upstream
          == base::UpstreamId("e3"));
}

TEST_CASE("another data centre is used if the local one cannot meet the deadline")
{
    RouterFixture fixture;
    fixture.addEngine("own");
    fixture.addEngine("far", "hall-b");
    CHECK(fixture.startRequest("a", 130'000).upstream == base::UpstreamId("own"));
    RequestInfo request = fixture.request("b", 90'000);
    request.deadline = fixture.now + 6s;
    CHECK(actionsOf<StartAttempt>(fixture.arrive(request)).at(0).upstream
          == base::UpstreamId("far"));
}

TEST_CASE("a leaving upstream gets no new requests and finishes its open ones")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    const auto start = fixture.startRequest("a", 100);
    UpstreamInfo leaving = RouterFixture::engine("e");
    leaving.isLeaving = true;
    CHECK(fixture.router.handle(UpstreamUpdated{leaving}, fixture.now).empty());
    CHECK(actionsOf<FailRequest>(fixture.arrive("b", 100)).at(0).reason == EndReason::NoUpstream);
    fixture.router.handle(AttemptTokens{start.attempt, 0, 1}, fixture.now);
    const Actions end = fixture.router.handle(AttemptFinished{start.attempt}, fixture.now);
    CHECK(actionsOf<CompleteRequest>(end).size() == 1);
}

TEST_CASE("round-robin and least-outstanding assign requests on arrival regardless of load")
{
    for (const std::string policy : {"round-robin", "least-outstanding"}) {
        RouterFixture fixture(testOptions(policy));
        for (const char *id : {"e1", "e2"})
            fixture.addEngine(id);
        std::map<base::UpstreamId, int> starts;
        for (int n = 0; n < 10; ++n)
            ++starts[fixture.startRequest("r" + std::to_string(n), 30'000).upstream];
        CHECK(starts[base::UpstreamId("e1")] == 5);
        CHECK(starts[base::UpstreamId("e2")] == 5);
    }
}

TEST_CASE("a prompt larger than one engine starts on a complete gang in id order or waits")
{
    RouterFixture fixture;
    for (const char *id : {"e4", "e2", "e3", "e1"})
        fixture.addEngine(id);
    const auto start = fixture.startRequest("big", 1'000'000);
    REQUIRE(start.otherGangMembers.size() == 2);
    CHECK(start.upstream < start.otherGangMembers[0]);
    CHECK(start.otherGangMembers[0] < start.otherGangMembers[1]);
    CHECK(start.kvTokensPerEngine.count() * 3 >= 1'000'016);
    CHECK(fixture.arrive("second", 1'000'000).empty());
    // Short prompts can still use the engines.
    CHECK(actionsOf<StartAttempt>(fixture.arrive("short", 1'000)).size() == 1);
    const auto next = actionsOf<StartAttempt>(
            fixture.router.handle(AttemptFinished{start.attempt}, fixture.now));
    REQUIRE(next.size() == 1);
    CHECK(next[0].request == base::RequestId("second"));
    CHECK(actionsOf<FailRequest>(fixture.arrive("huge", 2'000'000)).at(0).reason
          == EndReason::PromptTooLarge);
}

TEST_CASE("a queued request is refused as soon as its deadline becomes unreachable")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    fixture.startRequest("first", 300'000);
    // The KV cache fits only one of them; 150,000 tokens take 5 s at the initial rate.
    RequestInfo request = fixture.request("r", 150'000);
    request.deadline = fixture.now + 30s;
    CHECK(fixture.arrive(request).empty());
    CHECK(actionsOf<FailRequest>(fixture.advanceTo(kStart + 24s)).empty());
    const auto ends = actionsOf<FailRequest>(fixture.advanceTo(kStart + 25s));
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].request == base::RequestId("r"));
    CHECK(ends[0].reason == EndReason::DeadlineTooShort);
    CHECK(ends[0].outcome == Outcome::NotRun);
    CHECK(ends[0].retryAfter > 0s);
}
