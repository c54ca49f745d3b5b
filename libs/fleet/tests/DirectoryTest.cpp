#include "fleet/Fleet.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::fleet;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr Millis kAnnounceTimeout{4'000};

Upstream upstream(const char *id, std::int64_t born, std::int64_t sequence)
{
    Upstream it;
    it.id = base::UpstreamId(id);
    it.service = base::ServiceId("chat");
    it.address = {"127.0.0.1", 8080};
    it.incarnation = base::Incarnation(born);
    it.sequence = sequence;
    return it;
}

} // namespace

TEST_CASE("a delayed announcement of an earlier start does not restore the upstream")
{
    Directory directory(1, kAnnounceTimeout);
    CHECK(directory.announce(upstream("a", 10, 1), kStart) == AnnounceResult::New);
    CHECK(directory.announce(upstream("b", 20, 1), kStart) == AnnounceResult::New);
    CHECK_FALSE(directory.find(base::UpstreamId("a")));
    CHECK(directory.announce(upstream("a", 10, 2), kStart) == AnnounceResult::Stale);
    CHECK(directory.find(base::UpstreamId("b")));
}

TEST_CASE("without start times an address changes owner after half of the announce timeout")
{
    Directory directory(1, kAnnounceTimeout);
    CHECK(directory.announce(upstream("b", 0, 1), kStart) == AnnounceResult::New);
    CHECK(directory.announce(upstream("a", 0, 9), kStart + Millis(1'000)) == AnnounceResult::Stale);
    CHECK(directory.find(base::UpstreamId("b")));
    CHECK(directory.announce(upstream("c", 0, 1), kStart + Millis(2'000)) == AnnounceResult::New);
    CHECK_FALSE(directory.find(base::UpstreamId("b")));
    // The former owner was still running.
    CHECK(directory.announce(upstream("b", 0, 2), kStart + Millis(4'000)) == AnnounceResult::New);
}

TEST_CASE("a restart with a known id starts a new sequence")
{
    Directory directory(1, kAnnounceTimeout);
    directory.announce(upstream("a", 10, 7), kStart);
    CHECK(directory.announce(upstream("a", 10, 7), kStart) == AnnounceResult::Stale);
    CHECK(directory.announce(upstream("a", 30, 1), kStart) == AnnounceResult::New);
    CHECK(directory.announce(upstream("a", 10, 8), kStart) == AnnounceResult::Stale);
    CHECK(directory.find(base::UpstreamId("a"))->incarnation.count() == 30);
}

TEST_CASE("a late announcement that says ready does not bring back an upstream that said it leaves")
{
    Directory directory(1, kAnnounceTimeout);
    directory.announce(upstream("a", 10, 1), kStart);
    const LeavingUpstream leaving{base::UpstreamId("a"), base::Incarnation(10)};
    CHECK(directory.markLeaving({leaving.id, base::Incarnation(9)}) == AnnounceResult::Stale);
    const std::int64_t before = directory.revision();
    CHECK(directory.markLeaving(leaving) == AnnounceResult::Changed);
    CHECK(directory.revision() > before);
    CHECK(directory.markLeaving(leaving) == AnnounceResult::Unchanged);
    directory.announce(upstream("a", 10, 2), kStart);
    CHECK(directory.find(leaving.id)->isLeaving);
    directory.announce(upstream("a", 20, 1), kStart);
    CHECK_FALSE(directory.find(leaving.id)->isLeaving);
}

TEST_CASE("draining lasts until the next start")
{
    Directory directory(1, kAnnounceTimeout);
    Upstream a = upstream("a", 10, 1);
    directory.announce(a, kStart);
    a.sequence = 2;
    a.isLeaving = true;
    CHECK(directory.announce(a, kStart) == AnnounceResult::Changed);
    CHECK(directory.announce(upstream("a", 10, 3), kStart) == AnnounceResult::Unchanged);
    CHECK(directory.find(a.id)->isLeaving);
    CHECK(directory.leave(a.id, base::Incarnation(10), kStart) == AnnounceResult::Changed);
    CHECK(directory.announce(upstream("a", 10, 4), kStart) == AnnounceResult::Stale);
    CHECK(directory.announce(upstream("a", 11, 1), kStart) == AnnounceResult::New);
}

TEST_CASE("a delayed departure of an earlier start removes nothing")
{
    Directory directory(1, kAnnounceTimeout);
    directory.announce(upstream("a", 20, 1), kStart);
    CHECK(directory.leave(base::UpstreamId("a"), base::Incarnation(10), kStart)
          == AnnounceResult::Stale);
    CHECK(directory.find(base::UpstreamId("a")));
}

TEST_CASE("an upstream times out and returns with its next announcement")
{
    Directory directory(1, kAnnounceTimeout);
    directory.announce(upstream("a", 10, 1), kStart);
    const std::int64_t seen = directory.revision();
    directory.removeExpired(kStart + kAnnounceTimeout);
    const DirectoryChanges changes = directory.changesSince(1, seen);
    REQUIRE(changes.departed.size() == 1);
    CHECK(changes.departed.front().kind == DepartureKind::TimedOut);
    CHECK(directory.announce(upstream("a", 10, 2), kStart + kAnnounceTimeout)
          == AnnounceResult::New);
}

TEST_CASE(
        "changes since a revision hold newer entries only and another incarnation gets a snapshot")
{
    Directory directory(5, kAnnounceTimeout);
    directory.announce(upstream("a", 10, 1), kStart);
    const std::int64_t seen = directory.revision();
    CHECK(directory.changesSince(5, seen).upstreams.empty());
    directory.announce(upstream("a", 10, 2), kStart);
    CHECK(directory.changesSince(5, seen).upstreams.empty());
    CHECK(directory.changesSince(4, seen).isSnapshot);
    CHECK(directory.changesSince(4, seen).upstreams.size() == 1);
}

TEST_CASE("a draining upstream that timed out is not made ready by a delayed announcement")
{
    Directory directory(1, kAnnounceTimeout);
    for (const std::int64_t born : {0, 10}) {
        Upstream a = upstream("a", born, 5);
        a.isLeaving = true;
        directory.announce(a, kStart);
        directory.removeExpired(kStart + kAnnounceTimeout);
        REQUIRE_FALSE(directory.find(a.id));
        CHECK(directory.announce(upstream("a", born, 4), kStart + kAnnounceTimeout)
              == AnnounceResult::Stale);
        CHECK(directory.announce(upstream("a", born, 6), kStart + kAnnounceTimeout)
              == AnnounceResult::New);
        CHECK(directory.find(a.id)->isLeaving);
    }
}

TEST_CASE("a restarted control host that accepts a delayed announcement learns of the departure")
{
    Directory running(1, kAnnounceTimeout);
    Directory restarted(2, kAnnounceTimeout);
    running.announce(upstream("a", 10, 5), kStart);
    running.leave(base::UpstreamId("a"), base::Incarnation(10), kStart);
    const Upstream late = upstream("a", 10, 4);
    REQUIRE(restarted.announce(late, kStart) == AnnounceResult::New);
    REQUIRE(running.announce(late, kStart) == AnnounceResult::Stale);
    const auto departures = running.departuresOf({late, upstream("a", 20, 1)});
    REQUIRE(departures.size() == 1);
    restarted.leave(departures.front().id, departures.front().incarnation, kStart);
    CHECK_FALSE(restarted.find(late.id));
}

TEST_CASE("a departure without a start time that reaches a restarted control host first is kept")
{
    Directory restarted(1, kAnnounceTimeout);
    const Upstream a = upstream("a", 0, 7);
    CHECK(restarted.leave(a.id, std::nullopt, kStart) == AnnounceResult::Changed);
    CHECK(restarted.leave(a.id, std::nullopt, kStart) == AnnounceResult::Unchanged);
    CHECK(restarted.announce(a, kStart) == AnnounceResult::Stale);
    const DirectoryChanges changes = restarted.changesSince(1, 0);
    REQUIRE(changes.departed.size() == 1);
    CHECK(changes.departed.front().kind == DepartureKind::Left);
    CHECK(restarted.announce(upstream("a", 10, 1), kStart) == AnnounceResult::New);
}

TEST_CASE("a start of an upstream does not change its service or data centre")
{
    for (const std::int64_t born : {0, 10}) {
        Directory directory(1, kAnnounceTimeout);
        Upstream real = upstream("a", born, 1);
        real.dataCentre = base::DataCentreId("dc");
        REQUIRE(directory.announce(real, kStart) == AnnounceResult::New);
        Upstream otherService = real;
        otherService.service = base::ServiceId("summary");
        otherService.sequence = 1'000;
        Upstream otherDataCentre = real;
        otherDataCentre.dataCentre = base::DataCentreId("other");
        otherDataCentre.sequence = 1'000;
        const std::int64_t before = directory.revision();
        CHECK(directory.announce(otherService, kStart) == AnnounceResult::Conflicting);
        CHECK(directory.announce(otherDataCentre, kStart) == AnnounceResult::Conflicting);
        CHECK(directory.revision() == before);
        CHECK(*directory.find(real.id) == real);
        // The sequence of the ignored announcements does not make later ones of the upstream old.
        real.sequence = 2;
        CHECK(directory.announce(real, kStart + kAnnounceTimeout / 2) == AnnounceResult::Unchanged);
        directory.removeExpired(kStart + kAnnounceTimeout);
        REQUIRE(directory.find(real.id));
        // After its announcements stopped, the start is still of that service.
        directory.removeExpired(kStart + kAnnounceTimeout * 2);
        REQUIRE_FALSE(directory.find(real.id));
        const auto expected = born > 0 ? AnnounceResult::Conflicting : AnnounceResult::New;
        CHECK(directory.announce(otherService, kStart + kAnnounceTimeout * 2) == expected);
        Upstream next = otherService;
        next.incarnation = base::Incarnation(20);
        CHECK(directory.announce(next, kStart + kAnnounceTimeout * 2) == AnnounceResult::New);
    }
}

TEST_CASE("one announcement of another service before the first real one does not last")
{
    Directory directory(1, kAnnounceTimeout);
    Upstream foreign = upstream("a", 10, 1'000);
    foreign.service = base::ServiceId("summary");
    REQUIRE(directory.announce(foreign, kStart) == AnnounceResult::New);
    const Upstream real = upstream("a", 10, 1);
    CHECK(directory.announce(real, kStart) == AnnounceResult::Conflicting);
    directory.removeExpired(kStart + kAnnounceTimeout);
    Upstream next = real;
    next.sequence = 1'001;
    CHECK(directory.announce(next, kStart + kAnnounceTimeout) == AnnounceResult::New);
}

TEST_CASE("an upstream of a service that the configuration does not name replaces no other one")
{
    Directory directory(1, kAnnounceTimeout);
    directory.setServices({base::ServiceId("chat")});
    REQUIRE(directory.announce(upstream("a", 10, 1), kStart) == AnnounceResult::New);
    const auto foreign = [](const char *id, std::int64_t born) {
        Upstream it = upstream(id, born, 1'000);
        it.service = base::ServiceId("unknown");
        return it;
    };
    // A later start, under its id or at its address.
    CHECK(directory.announce(foreign("a", 20), kStart) == AnnounceResult::Conflicting);
    CHECK(directory.announce(foreign("b", 20), kStart) == AnnounceResult::Conflicting);
    CHECK(directory.announce(foreign("b", 20), kStart + kAnnounceTimeout / 2)
          == AnnounceResult::Conflicting);
    CHECK(directory.announce(upstream("a", 10, 2), kStart) == AnnounceResult::Unchanged);
}

TEST_CASE("changes hold upstreams of named services only, and others once they are named")
{
    Directory directory(1, kAnnounceTimeout);
    const Upstream a = upstream("a", 10, 1);
    // No configuration is known yet.
    REQUIRE(directory.announce(a, kStart) == AnnounceResult::New);
    CHECK(directory.changesSince(0, 0).upstreams.size() == 1);
    directory.setServices({base::ServiceId("summary")});
    CHECK(directory.changesSince(0, 0).upstreams.empty());
    CHECK(directory.announce(upstream("a", 10, 2), kStart) == AnnounceResult::Unchanged);
    const std::int64_t seen = directory.revision();
    directory.setServices({base::ServiceId("summary"), a.service});
    REQUIRE(directory.changesSince(1, seen).upstreams.size() == 1);
    const std::int64_t later = directory.revision();
    directory.setServices({a.service});
    CHECK(directory.revision() == later);
    CHECK(directory.changesSince(0, 0).upstreams.front().id == a.id);
}

TEST_CASE("a remaining cold time that counts down is no change")
{
    Directory directory(1, kAnnounceTimeout);
    Upstream a = upstream("a", 10, 1);
    a.coldRemaining = Millis(5'000);
    directory.announce(a, kStart);
    const std::int64_t seen = directory.revision();
    a.sequence = 2;
    a.coldRemaining = Millis(3'800);
    const base::TimePoint later = kStart + Millis(1'200);
    CHECK(directory.announce(a, later) == AnnounceResult::Unchanged);
    CHECK(directory.revision() == seen);
    CHECK(directory.find(a.id)->coldRemaining == Millis(3'800));
    // A delay of half a second on the way is none either.
    a.sequence = 3;
    a.coldRemaining = Millis(3'000);
    CHECK(directory.announce(a, kStart + Millis(2'500)) == AnnounceResult::Unchanged);
}

// Entry hosts bound what they send to an upstream only while they know that it is cold.
TEST_CASE("entry hosts are told when an upstream turns cold again or is warm before its time")
{
    Directory directory(1, kAnnounceTimeout);
    FleetView view(Millis(10'000));
    Upstream a = upstream("a", 10, 1);
    std::int64_t known = 0;
    const auto announce = [&](int ms, int coldMs) {
        const base::TimePoint now = kStart + Millis(ms);
        ++a.sequence;
        a.coldRemaining = Millis(coldMs);
        directory.announce(a, now);
        const DirectoryChanges changes = directory.changesSince(1, known);
        known = directory.revision();
        return view.apply(base::HostId("control"), changes, now).upstreams;
    };
    CHECK(announce(0, 0).size() == 1);
    CHECK(announce(1'000, 0).empty());
    const auto cold = announce(2'000, 3'000);
    REQUIRE(cold.size() == 1);
    CHECK(cold.front().coldRemaining == Millis(3'000));
    CHECK(announce(3'200, 1'800).empty());
    const auto warm = announce(3'500, 0);
    REQUIRE(warm.size() == 1);
    CHECK(warm.front().coldRemaining == Millis(0));
    CHECK(announce(9'000, 0).empty());
}

TEST_CASE("an upstream counts as cold for the time of its service after its start")
{
    Upstream a = upstream("a", 0, 1);
    a.incarnation = base::Incarnation(1'700'000'000'000);
    const Millis started(1'700'000'000'000);
    const ColdStart coldStart{Millis(3'000), 26};
    CHECK(coldTimeOf(a, coldStart, started + Millis(1'000)) == Millis(2'000));
    CHECK(coldTimeOf(a, coldStart, started + Millis(5'000)) <= Millis(0));
    // Its clock is ahead: nothing is known of its age.
    CHECK(coldTimeOf(a, coldStart, started - Millis(1)) == Millis(0));
    a.coldRemaining = Millis(4'000);
    CHECK(coldTimeOf(a, coldStart, started + Millis(1'000)) == Millis(4'000));
    // Nothing changes for services without a bound.
    CHECK(coldTimeOf(a, {Millis(3'000), 0}, started + Millis(1'000)) == Millis(0));
    a.incarnation = base::Incarnation();
    a.coldRemaining = Millis(0);
    CHECK(coldTimeOf(a, coldStart, started) == Millis(0));
}
