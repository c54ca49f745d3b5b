#include "Rig.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::routing;
using namespace std::chrono_literals;

namespace {

/// An attempt that has delivered \a tokens tokens.
StartAttempt streaming(Rig &rig, std::int64_t tokens)
{
    const StartAttempt start = rig.started("r", 100);
    rig.router.handle(AttemptAccepted{start.attempt}, rig.now);
    if (tokens > 0)
        rig.router.handle(AttemptTokens{start.attempt, 0, tokens}, rig.now);
    return start;
}

} // namespace

TEST_CASE("a stream that broke off is resumed at its engine and offset")
{
    Rig rig;
    rig.addEngine("e1");
    rig.addEngine("e2");
    const auto first = streaming(rig, 5);
    const Actions broken =
            rig.router.handle(AttemptFailed{first.attempt, AttemptFault::ClosedEarly, {}}, rig.now);
    CHECK(only<CancelAttempt>(broken).empty());
    CHECK(only<RetryNoted>(broken).size() == 1);
    const auto again = only<StartAttempt>(rig.runTo(kStart + 1s));
    REQUIRE(again.size() == 1);
    CHECK(again[0].resumesStream);
    CHECK(again[0].resumeOffset == 5);
    CHECK(again[0].attempt == first.attempt);
    CHECK(again[0].upstream == first.upstream);
}

TEST_CASE("a stream that cannot be resumed ends as broken and is never started anew")
{
    Rig rig;
    rig.addEngine("e1");
    rig.addEngine("e2");
    const auto first = streaming(rig, 5);
    rig.router.handle(AttemptFailed{first.attempt, AttemptFault::ClosedEarly, {}}, rig.now);
    rig.runTo(kStart + 1s);
    const Actions refused =
            rig.router.handle(AttemptFailed{first.attempt, AttemptFault::Refused, {}}, rig.now);
    const auto ends = only<EndRequest>(refused);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].reason == Reason::StreamBroken);
    CHECK(ends[0].outcome == Outcome::Failed);
    CHECK(only<CancelAttempt>(refused).size() == 1);
    CHECK(only<StartAttempt>(rig.runTo(kStart + 70s)).empty());
}

TEST_CASE("a refused resume is not taken for proof that nothing ran")
{
    Rig rig;
    rig.addEngine("e");
    RequestInfo request = rig.request("r", 100);
    request.mayRepeat = false;
    const auto start = only<StartAttempt>(rig.arrive(request)).at(0);
    rig.router.handle(AttemptAccepted{start.attempt}, rig.now);
    rig.router.handle(AttemptFailed{start.attempt, AttemptFault::ClosedEarly, {}}, rig.now);
    rig.runTo(kStart + 1s);
    const Actions refused =
            rig.router.handle(AttemptFailed{start.attempt, AttemptFault::Refused, {}}, rig.now);
    CHECK(only<EndRequest>(refused).at(0).outcome == Outcome::Failed);
}

TEST_CASE("a connection that was never made is retried at another upstream")
{
    Rig rig;
    rig.addEngine("e1");
    rig.addEngine("e2");
    const auto first = rig.started("r", 100);
    rig.router.handle(AttemptFailed{first.attempt, AttemptFault::ConnectFailed, {}}, rig.now);
    const auto again = only<StartAttempt>(rig.runTo(kStart + 1s));
    REQUIRE(again.size() == 1);
    CHECK(again[0].attempt != first.attempt);
    CHECK(again[0].upstream != first.upstream);
    CHECK_FALSE(again[0].resumesStream);
}

TEST_CASE("a call without a claim that may not be repeated is not sent again once a byte has left")
{
    const auto fault = GENERATE(AttemptFault::Refused, AttemptFault::Timeout,
                                AttemptFault::ClosedEarly, AttemptFault::UpstreamError);
    Rig rig;
    rig.addEngine("e1");
    rig.addEngine("e2");
    RequestInfo request = rig.request("r", 100);
    request.mayRepeat = false;
    const auto first = only<StartAttempt>(rig.arrive(request)).at(0);
    const Actions failed = rig.router.handle(AttemptFailed{first.attempt, fault, 300ms}, rig.now);
    const auto ends = only<EndRequest>(failed);
    REQUIRE(ends.size() == 1);
    const bool isRefused = fault == AttemptFault::Refused;
    CHECK(ends[0].outcome == (isRefused ? Outcome::NotRun : Outcome::Failed));
    CHECK(ends[0].retryAfter == (isRefused ? 300ms : 0ms));
    CHECK(only<StartAttempt>(rig.runTo(kStart + 61s)).empty());
}

TEST_CASE("a call that may not be repeated is sent again when no byte left or its claim covers it")
{
    const bool hasClaim = GENERATE(false, true);
    Rig rig;
    rig.addEngine("e1");
    rig.addEngine("e2");
    RequestInfo request = rig.request("r", 100);
    request.mayRepeat = false;
    request.hasClaim = hasClaim;
    const auto first = only<StartAttempt>(rig.arrive(request)).at(0);
    const AttemptFault fault = hasClaim ? AttemptFault::Refused : AttemptFault::ConnectFailed;
    rig.router.handle(AttemptFailed{first.attempt, fault, {}}, rig.now);
    CHECK(only<StartAttempt>(rig.runTo(kStart + 1s)).size() == 1);
}

TEST_CASE("a stalled stream is cancelled and counted")
{
    Rig rig;
    rig.addEngine("e");
    const auto start = streaming(rig, 3);
    const Actions actions = rig.runTo(kStart + 59s);
    CHECK(only<StallNoted>(actions).size() == 2);
    CHECK(only<StartAttempt>(actions).size() == 1);
    CHECK(only<CancelAttempt>(actions).size() == 1);
    const auto ends = only<EndRequest>(actions);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].reason == Reason::StreamBroken);
}

TEST_CASE("a retry that could not start before the deadline is not waited for")
{
    Rig rig;
    rig.addEngine("e");
    const auto start = rig.started("r", 100);
    const Actions actions =
            rig.router.handle(AttemptFailed{start.attempt, AttemptFault::Refused, 90s}, rig.now);
    const auto ends = only<EndRequest>(actions);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].outcome == Outcome::NotRun);
    CHECK(ends[0].retryAfter == 30s);
}

TEST_CASE("retries are bounded to a share of the requests")
{
    Rig rig;
    for (const char *id : {"e1", "e2", "e3", "e4"})
        rig.addEngine(id);
    int retries = 0;
    for (int n = 0; n < 500; ++n) {
        Actions actions = rig.arrive("r" + std::to_string(n), 10);
        for (int tries = 0; tries < 6 && !only<StartAttempt>(actions).empty(); ++tries) {
            const auto start = only<StartAttempt>(actions).at(0);
            const Actions failed = rig.router.handle(
                    AttemptFailed{start.attempt, AttemptFault::UpstreamError, {}}, rig.now);
            retries += static_cast<int>(only<RetryNoted>(failed).size());
            actions = rig.runTo(rig.now + 10ms);
            if (only<StartAttempt>(actions).empty())
                actions = rig.runTo(rig.now + 100ms);
        }
    }
    CHECK(retries >= 50);
    CHECK(retries < 500);
}

TEST_CASE("failing upstreams are ejected for growing times, never more than half of them")
{
    Rig rig;
    for (const char *id : {"e1", "e2", "e3"})
        rig.addEngine(id);
    std::vector<EjectionNoted> ejections;
    int ends = 0;
    for (int n = 0; n < 200; ++n) {
        Actions actions = rig.arrive("r" + std::to_string(n), 10);
        const auto fresh = rig.runTo(rig.now + 100ms);
        actions.insert(actions.end(), fresh.begin(), fresh.end());
        for (const auto &start : only<StartAttempt>(actions)) {
            const Actions failed = rig.router.handle(
                    AttemptFailed{start.attempt, AttemptFault::ConnectFailed, {}}, rig.now);
            for (const EjectionNoted &one : only<EjectionNoted>(failed))
                ejections.push_back(one);
            ends += static_cast<int>(only<EndRequest>(failed).size());
        }
    }
    REQUIRE(ejections.size() >= 2);
    CHECK(ejections.back().duration > ejections.front().duration);
    CHECK(rig.router.stats().ejected <= 1);
    // Each of them was tried and got its answer.
    rig.runTo(rig.now + 61s);
    CHECK(rig.router.stats().active == 0);
    CHECK(ends > 0);
}

TEST_CASE("a caller's disconnect cancels its attempt")
{
    Rig rig;
    rig.addEngine("e");
    const auto start = streaming(rig, 2);
    const Actions actions = rig.router.handle(CallerGone{base::RequestId("r")}, rig.now);
    const auto cancels = only<CancelAttempt>(actions);
    REQUIRE(cancels.size() == 1);
    CHECK(cancels[0].attempt == start.attempt);
    CHECK(rig.router.stats().active == 0);
}
