#include "membership/Membership.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::membership;

namespace {

constexpr base::TimePoint kStart{std::chrono::seconds(1000)};

Announcement sample(std::int64_t incarnation, std::int64_t sequence, bool isLeaving = false)
{
    Announcement announcement;
    announcement.upstream.id = base::UpstreamId("e1");
    announcement.upstream.incarnation = base::Incarnation(incarnation);
    announcement.upstream.models = {"m"};
    announcement.upstream.isLeaving = isLeaving;
    announcement.sequence = sequence;
    announcement.address = {"127.0.0.1", 9};
    announcement.ttl = base::Millis(1000);
    return announcement;
}

} // namespace

TEST_CASE("an announcement survives a JSON round trip")
{
    const auto again = parseAnnouncement(toJson(sample(1, 2, true)));
    REQUIRE(again);
    CHECK(toJson(*again) == toJson(sample(1, 2, true)));
}

TEST_CASE("a late announcement does not bring a leaving upstream back")
{
    Directory directory;
    CHECK(directory.announce(sample(1, 2, true), kStart).size() == 1);
    CHECK(directory.announce(sample(1, 1), kStart).empty());
    CHECK(directory.find(base::UpstreamId("e1"))->upstream.isLeaving);
    CHECK(directory.announce(sample(2, 0), kStart).size() == 1);
    CHECK_FALSE(directory.find(base::UpstreamId("e1"))->upstream.isLeaving);
}

TEST_CASE("an upstream without announcements is removed after its ttl")
{
    Directory directory;
    directory.announce(sample(1, 1), kStart);
    CHECK(directory.tick(kStart + base::Millis(999)).empty());
    const auto changes = directory.tick(kStart + base::Millis(1000));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].kind == DirectoryChange::Kind::Removed);
}

TEST_CASE("a malformed announcement names its field")
{
    CHECK(parseAnnouncement("{").error().message == "not a JSON object");
    CHECK(parseAnnouncement(R"({"id":"x","incarnation":1,"sequence":1,"kind":"boat"})")
                  .error()
                  .field
          == "kind");
}

TEST_CASE("an older announcement or digest does not bring a removed upstream back")
{
    Directory directory;
    directory.announce(sample(1, 5), kStart);
    const UpstreamDigest digest = directory.digests().front();
    directory.tick(kStart + base::Millis(1000));
    CHECK(directory.announce(sample(1, 5), kStart + base::Millis(1100)).empty());
    CHECK(directory.renew(digest, kStart + base::Millis(1100)) == Directory::RenewResult::Stale);
    CHECK(directory.announce(sample(1, 6), kStart + base::Millis(1200)).size() == 1);
}

TEST_CASE("a digest renews only the content that it was made from")
{
    Directory directory;
    directory.announce(sample(1, 5), kStart);
    Directory other;
    other.announce(sample(1, 7, true), kStart);
    CHECK(directory.renew(other.digests().front(), kStart) == Directory::RenewResult::Unknown);
    CHECK(directory.announce(sample(1, 7, true), kStart).size() == 1);
    CHECK(directory.find(base::UpstreamId("e1"))->upstream.isLeaving);
}

TEST_CASE("the propagation delay is added to the ttl of later announcements")
{
    Directory directory;
    directory.setPropagationDelay(base::Millis(500));
    directory.announce(sample(1, 5), kStart);
    CHECK(directory.tick(kStart + base::Millis(1499)).empty());
    CHECK(directory.tick(kStart + base::Millis(1500)).size() == 1);
}
