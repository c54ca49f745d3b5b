#include "fleet/Fleet.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::fleet;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr Millis kSilence{4'000};

Upstream upstream(const char *id, std::int64_t born, std::int64_t sequence)
{
    Upstream it;
    it.id = base::UpstreamId(id);
    it.service = base::ServiceId("chat");
    it.address = {"127.0.0.1", 8080};
    it.born = base::Incarnation(born);
    it.sequence = sequence;
    return it;
}

} // namespace

TEST_CASE("a late announcement of an earlier start does not bring it back")
{
    Directory directory(1, kSilence);
    CHECK(directory.announce(upstream("a", 10, 1), kStart) == AnnounceVerdict::New);
    CHECK(directory.announce(upstream("b", 20, 1), kStart) == AnnounceVerdict::New);
    CHECK_FALSE(directory.find(base::UpstreamId("a")));
    CHECK(directory.announce(upstream("a", 10, 2), kStart) == AnnounceVerdict::Stale);
    CHECK(directory.find(base::UpstreamId("b")));
}

TEST_CASE("where starts are not told, an address passes on once its holder is silent")
{
    Directory directory(1, kSilence);
    CHECK(directory.announce(upstream("b", 0, 1), kStart) == AnnounceVerdict::New);
    CHECK(directory.announce(upstream("a", 0, 9), kStart + Millis(1'000))
          == AnnounceVerdict::Stale);
    CHECK(directory.find(base::UpstreamId("b")));
    CHECK(directory.announce(upstream("c", 0, 1), kStart + Millis(2'000)) == AnnounceVerdict::New);
    CHECK_FALSE(directory.find(base::UpstreamId("b")));
    // It was not gone after all.
    CHECK(directory.announce(upstream("b", 0, 2), kStart + Millis(4'000)) == AnnounceVerdict::New);
}

TEST_CASE("a start under a known id begins its sequence anew")
{
    Directory directory(1, kSilence);
    directory.announce(upstream("a", 10, 7), kStart);
    CHECK(directory.announce(upstream("a", 10, 7), kStart) == AnnounceVerdict::Stale);
    CHECK(directory.announce(upstream("a", 30, 1), kStart) == AnnounceVerdict::New);
    CHECK(directory.announce(upstream("a", 10, 8), kStart) == AnnounceVerdict::Stale);
    CHECK(directory.find(base::UpstreamId("a"))->born.count() == 30);
}

TEST_CASE("leaving holds until the next start")
{
    Directory directory(1, kSilence);
    Upstream a = upstream("a", 10, 1);
    directory.announce(a, kStart);
    a.sequence = 2;
    a.isLeaving = true;
    CHECK(directory.announce(a, kStart) == AnnounceVerdict::Changed);
    CHECK(directory.announce(upstream("a", 10, 3), kStart) == AnnounceVerdict::Refreshed);
    CHECK(directory.find(a.id)->isLeaving);
    CHECK(directory.leave(a.id, base::Incarnation(10), kStart) == AnnounceVerdict::Changed);
    CHECK(directory.announce(upstream("a", 10, 4), kStart) == AnnounceVerdict::Stale);
    CHECK(directory.announce(upstream("a", 11, 1), kStart) == AnnounceVerdict::New);
}

TEST_CASE("a late leave of an earlier start takes nothing out")
{
    Directory directory(1, kSilence);
    directory.announce(upstream("a", 20, 1), kStart);
    CHECK(directory.leave(base::UpstreamId("a"), base::Incarnation(10), kStart)
          == AnnounceVerdict::Stale);
    CHECK(directory.find(base::UpstreamId("a")));
}

TEST_CASE("a silent upstream is gone, and comes back when it is heard again")
{
    Directory directory(1, kSilence);
    directory.announce(upstream("a", 10, 1), kStart);
    const std::int64_t seen = directory.revision();
    directory.tick(kStart + kSilence);
    const DirectoryChanges changes = directory.since(1, seen);
    REQUIRE(changes.departed.size() == 1);
    CHECK(changes.departed.front().kind == Departure::TimedOut);
    CHECK(directory.announce(upstream("a", 10, 2), kStart + kSilence) == AnnounceVerdict::New);
}

TEST_CASE("changes since a revision hold only what is newer, another incarnation gets the whole")
{
    Directory directory(5, kSilence);
    directory.announce(upstream("a", 10, 1), kStart);
    const std::int64_t seen = directory.revision();
    CHECK(directory.since(5, seen).upstreams.empty());
    directory.announce(upstream("a", 10, 2), kStart);
    CHECK(directory.since(5, seen).upstreams.empty());
    CHECK(directory.since(4, seen).isSnapshot);
    CHECK(directory.since(4, seen).upstreams.size() == 1);
}
