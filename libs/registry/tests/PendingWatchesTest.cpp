#include "PendingWatches.h"
#include "PublishedRevision.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::registry;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

fleet::WatchRequest watchRequest(std::int64_t version, std::int64_t revision)
{
    fleet::WatchRequest request;
    request.configurationVersion = fleet::ConfigurationVersion(version);
    request.directoryIncarnation = 1;
    request.directoryRevision = revision;
    request.maxWait = Millis(1'000);
    return request;
}

} // namespace

TEST_CASE("a watch is answered when a newer revision exists or its wait is over")
{
    PendingWatches watches;
    int answered = 0;
    const auto count = [&answered](const auto &) { ++answered; };
    PendingWatches::Revisions state{fleet::ConfigurationVersion(3), 1, 5};
    watches.add(watchRequest(3, 5), count, kStart);
    watches.add(watchRequest(2, 5), count, kStart);
    watches.answerReady(state, kStart);
    CHECK(answered == 1);
    state.directoryRevision = 6;
    watches.answerReady(state, kStart);
    CHECK(answered == 2);
    watches.add(watchRequest(3, 6), count, kStart);
    watches.answerReady(state, kStart + Millis(999));
    CHECK(answered == 2);
    watches.answerReady(state, kStart + Millis(1'000));
    CHECK(answered == 3);
    CHECK(watches.size() == 0);
}

TEST_CASE("a watch with another directory incarnation is answered at once")
{
    PendingWatches watches;
    int answered = 0;
    watches.add(
            watchRequest(3, 50), [&answered](const auto &) { ++answered; }, kStart);
    watches.answerReady({fleet::ConfigurationVersion(3), 2, 1}, kStart);
    CHECK(answered == 1);
}

TEST_CASE("a watch is answered when rate limits change, unless its host knows the change")
{
    PendingWatches watches;
    int answered = 0;
    const auto count = [&answered](const auto &) { ++answered; };
    fleet::WatchRequest informed = watchRequest(3, 5);
    informed.factsRevision = 2;
    watches.add(watchRequest(3, 5), count, kStart);
    watches.add(informed, count, kStart);
    watches.answerReady({fleet::ConfigurationVersion(3), 1, 5, 0}, kStart);
    CHECK(answered == 0);
    watches.answerReady({fleet::ConfigurationVersion(3), 1, 5, 2}, kStart);
    CHECK(answered == 1);
    CHECK(watches.size() == 1);
}

TEST_CASE("hosts that wait at a new leader learn of it in time, and not all at once")
{
    PendingWatches watches;
    int answered = 0;
    constexpr int kHosts = 300;
    for (int n = 0; n < kHosts; ++n) {
        fleet::WatchRequest request = watchRequest(3, 5);
        request.maxWait = Millis(2'000);
        watches.add(
                request, [&answered](const auto &) { ++answered; }, kStart);
    }
    watches.answerWithin(Millis(500), kStart);
    const PendingWatches::Revisions state{fleet::ConfigurationVersion(3), 1, 5};
    int before = 0;
    for (Millis at(0); at <= Millis(500); at += Millis(20)) {
        watches.answerReady(state, kStart + at);
        CHECK(answered - before <= kHosts / 20);
        before = answered;
    }
    CHECK(answered == kHosts);
}

TEST_CASE(
        "hundreds of upstreams that announce themselves at once cost each host a few answers only")
{
    constexpr int kHosts = 300;
    constexpr int kUpstreams = 150;
    constexpr Millis kHeartbeat(1'200);
    PendingWatches watches;
    PublishedRevision published(Millis(100));
    int answers = 0;
    std::int64_t revision = 0;
    std::int64_t known = 0;
    const std::function<void(base::TimePoint)> watch = [&](base::TimePoint now) {
        fleet::WatchRequest request = watchRequest(3, known);
        request.maxWait = Millis(2'000);
        watches.add(
                request, [&](const auto &) { ++answers; }, now);
    };
    for (int n = 0; n < kHosts; ++n)
        watch(kStart);
    for (int n = 1; n <= kUpstreams; ++n) {
        const base::TimePoint now = kStart + kHeartbeat * n / kUpstreams;
        revision = n;
        const int before = answers;
        known = published.read(revision, now);
        watches.answerReady({fleet::ConfigurationVersion(3), 1, known}, now);
        for (int host = 0; host < answers - before; ++host)
            watch(now);
    }
    CHECK(answers <= kHosts * 13);
    // The last change is not kept back for longer than the interval.
    CHECK(published.read(revision, kStart + kHeartbeat + Millis(100)) == revision);
}
