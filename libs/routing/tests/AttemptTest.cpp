#include "RouterFixture.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::routing;
using namespace std::chrono_literals;

namespace {

/// Starts an attempt, accepts it and delivers \a tokens tokens.
StartAttempt startStreaming(RouterFixture &fixture, std::int64_t tokens)
{
    const StartAttempt start = fixture.startRequest("r", 100);
    fixture.router.handle(AttemptAccepted{start.attempt}, fixture.now);
    if (tokens > 0)
        fixture.router.handle(AttemptTokens{start.attempt, 0, tokens}, fixture.now);
    return start;
}

} // namespace

TEST_CASE("a broken stream is resumed at the same engine and offset")
{
    RouterFixture fixture;
    fixture.addEngine("e1");
    fixture.addEngine("e2");
    const auto first = startStreaming(fixture, 5);
    const Actions broken = fixture.router.handle(
            AttemptFailed{first.attempt, AttemptFault::ConnectionClosed, {}}, fixture.now);
    CHECK(actionsOf<CancelAttempt>(broken).empty());
    CHECK(actionsOf<RetryScheduled>(broken).size() == 1);
    const auto again = actionsOf<StartAttempt>(fixture.advanceTo(kStart + 1s));
    REQUIRE(again.size() == 1);
    CHECK(again[0].isResume);
    CHECK(again[0].resumeOffset == 5);
    CHECK(again[0].attempt == first.attempt);
    CHECK(again[0].upstream == first.upstream);
}

TEST_CASE("a stream that cannot be resumed ends as StreamBroken and is not restarted")
{
    RouterFixture fixture;
    fixture.addEngine("e1");
    fixture.addEngine("e2");
    const auto first = startStreaming(fixture, 5);
    fixture.router.handle(AttemptFailed{first.attempt, AttemptFault::ConnectionClosed, {}},
                          fixture.now);
    fixture.advanceTo(kStart + 1s);
    const Actions refused = fixture.router.handle(
            AttemptFailed{first.attempt, AttemptFault::Refused, {}}, fixture.now);
    const auto ends = actionsOf<FailRequest>(refused);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].reason == EndReason::StreamBroken);
    CHECK(ends[0].outcome == Outcome::Failed);
    CHECK(actionsOf<CancelAttempt>(refused).size() == 1);
    CHECK(actionsOf<StartAttempt>(fixture.advanceTo(kStart + 70s)).empty());
}

TEST_CASE("a refused resume does not prove that the request did not run")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    RequestInfo request = fixture.request("r", 100);
    request.isRetrySafe = false;
    const auto start = actionsOf<StartAttempt>(fixture.arrive(request)).at(0);
    fixture.router.handle(AttemptAccepted{start.attempt}, fixture.now);
    fixture.router.handle(AttemptFailed{start.attempt, AttemptFault::ConnectionClosed, {}},
                          fixture.now);
    fixture.advanceTo(kStart + 1s);
    const Actions refused = fixture.router.handle(
            AttemptFailed{start.attempt, AttemptFault::Refused, {}}, fixture.now);
    CHECK(actionsOf<FailRequest>(refused).at(0).outcome == Outcome::Failed);
}

TEST_CASE("a failed connect is retried at another upstream")
{
    RouterFixture fixture;
    fixture.addEngine("e1");
    fixture.addEngine("e2");
    const auto first = fixture.startRequest("r", 100);
    fixture.router.handle(AttemptFailed{first.attempt, AttemptFault::ConnectFailed, {}},
                          fixture.now);
    const auto again = actionsOf<StartAttempt>(fixture.advanceTo(kStart + 1s));
    REQUIRE(again.size() == 1);
    CHECK(again[0].attempt != first.attempt);
    CHECK(again[0].upstream != first.upstream);
    CHECK_FALSE(again[0].isResume);
}

TEST_CASE("a non-repeatable call without a claim is not retried once a byte was sent")
{
    const auto fault = GENERATE(AttemptFault::Refused, AttemptFault::Timeout,
                                AttemptFault::ConnectionClosed, AttemptFault::UpstreamError);
    RouterFixture fixture;
    fixture.addEngine("e1");
    fixture.addEngine("e2");
    RequestInfo request = fixture.request("r", 100);
    request.isRetrySafe = false;
    const auto first = actionsOf<StartAttempt>(fixture.arrive(request)).at(0);
    const Actions failed =
            fixture.router.handle(AttemptFailed{first.attempt, fault, 300ms}, fixture.now);
    const auto ends = actionsOf<FailRequest>(failed);
    REQUIRE(ends.size() == 1);
    const bool isRefused = fault == AttemptFault::Refused;
    CHECK(ends[0].outcome == (isRefused ? Outcome::NotRun : Outcome::Failed));
    CHECK(ends[0].retryAfter == (isRefused ? 300ms : 0ms));
    CHECK(actionsOf<StartAttempt>(fixture.advanceTo(kStart + 61s)).empty());
}

TEST_CASE("a non-repeatable call is retried after a failed connect, or a refusal if claimed")
{
    const bool hasClaim = GENERATE(false, true);
    RouterFixture fixture;
    fixture.addEngine("e1");
    fixture.addEngine("e2");
    RequestInfo request = fixture.request("r", 100);
    request.isRetrySafe = false;
    request.hasIdempotencyClaim = hasClaim;
    const auto first = actionsOf<StartAttempt>(fixture.arrive(request)).at(0);
    const AttemptFault fault = hasClaim ? AttemptFault::Refused : AttemptFault::ConnectFailed;
    fixture.router.handle(AttemptFailed{first.attempt, fault, {}}, fixture.now);
    CHECK(actionsOf<StartAttempt>(fixture.advanceTo(kStart + 1s)).size() == 1);
}

TEST_CASE("a stalled stream is cancelled and counted")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    const auto start = startStreaming(fixture, 3);
    const Actions actions = fixture.advanceTo(kStart + 59s);
    CHECK(actionsOf<StreamStalled>(actions).size() == 2);
    CHECK(actionsOf<StartAttempt>(actions).size() == 1);
    CHECK(actionsOf<CancelAttempt>(actions).size() == 1);
    const auto ends = actionsOf<FailRequest>(actions);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].reason == EndReason::StreamBroken);
}

TEST_CASE("a request fails at once if its retry could only start after the deadline")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    const auto start = fixture.startRequest("r", 100);
    const Actions actions = fixture.router.handle(
            AttemptFailed{start.attempt, AttemptFault::Refused, 90s}, fixture.now);
    const auto ends = actionsOf<FailRequest>(actions);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].outcome == Outcome::NotRun);
    CHECK(ends[0].retryAfter == 30s);
}

TEST_CASE("retries are limited to a share of the requests")
{
    RouterFixture fixture;
    for (const char *id : {"e1", "e2", "e3", "e4"})
        fixture.addEngine(id);
    int retries = 0;
    for (int n = 0; n < 500; ++n) {
        Actions actions = fixture.arrive("r" + std::to_string(n), 10);
        for (int tries = 0; tries < 6 && !actionsOf<StartAttempt>(actions).empty(); ++tries) {
            const auto start = actionsOf<StartAttempt>(actions).at(0);
            const Actions failed = fixture.router.handle(
                    AttemptFailed{start.attempt, AttemptFault::UpstreamError, {}}, fixture.now);
            retries += static_cast<int>(actionsOf<RetryScheduled>(failed).size());
            actions = fixture.advanceTo(fixture.now + 10ms);
            if (actionsOf<StartAttempt>(actions).empty())
                actions = fixture.advanceTo(fixture.now + 100ms);
        }
    }
    CHECK(retries >= 50);
    CHECK(retries < 500);
}

TEST_CASE("failing upstreams are ejected for increasing durations, at most half of them at once")
{
    RouterFixture fixture;
    for (const char *id : {"e1", "e2", "e3"})
        fixture.addEngine(id);
    std::vector<UpstreamEjected> ejections;
    int ends = 0;
    for (int n = 0; n < 200; ++n) {
        Actions actions = fixture.arrive("r" + std::to_string(n), 10);
        const auto due = fixture.advanceTo(fixture.now + 100ms);
        actions.insert(actions.end(), due.begin(), due.end());
        for (const auto &start : actionsOf<StartAttempt>(actions)) {
            const Actions failed = fixture.router.handle(
                    AttemptFailed{start.attempt, AttemptFault::ConnectFailed, {}}, fixture.now);
            for (const UpstreamEjected &ejection : actionsOf<UpstreamEjected>(failed))
                ejections.push_back(ejection);
            ends += static_cast<int>(actionsOf<FailRequest>(failed).size());
        }
    }
    REQUIRE(ejections.size() >= 2);
    CHECK(ejections.back().duration > ejections.front().duration);
    CHECK(fixture.router.stats().ejectedUpstreams <= 1);
    // Each of them was tried and got its answer.
    fixture.advanceTo(fixture.now + 61s);
    CHECK(fixture.router.stats().activeRequests == 0);
    CHECK(ends > 0);
}

TEST_CASE("a caller disconnect cancels its attempt")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    const auto start = startStreaming(fixture, 2);
    const Actions actions =
            fixture.router.handle(CallerDisconnected{base::RequestId("r")}, fixture.now);
    const auto cancels = actionsOf<CancelAttempt>(actions);
    REQUIRE(cancels.size() == 1);
    CHECK(cancels[0].attempt == start.attempt);
    CHECK(fixture.router.stats().activeRequests == 0);
}

TEST_CASE("a stream that goes on while its resume backs off loses no tokens")
{
    RouterFixture fixture;
    fixture.addEngine("e");
    const auto start = startStreaming(fixture, 3);
    bool hasStalled = false;
    while (!hasStalled) {
        fixture.now = std::max(fixture.now, fixture.router.nextTick());
        hasStalled = !actionsOf<StreamStalled>(fixture.router.tick(fixture.now)).empty();
    }
    CHECK(actionsOf<ForwardTokens>(
                  fixture.router.handle(AttemptTokens{start.attempt, 3, 2}, fixture.now))
                  .size()
          == 1);
    fixture.now += base::Millis(1'000);
    CHECK(actionsOf<StartAttempt>(fixture.router.tick(fixture.now)).empty());
    CHECK(actionsOf<CompleteRequest>(
                  fixture.router.handle(AttemptFinished{start.attempt}, fixture.now))
                  .size()
          == 1);
}
