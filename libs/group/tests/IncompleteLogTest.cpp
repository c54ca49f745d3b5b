// Hosts whose log lacks a segment between two others.

#include "Cluster.h"

using namespace hyssop;
using namespace hyssop::group;
using base::Millis;

namespace {

/// Removes the middle one of three segments, each of which a start of the storage has begun.
void removeMiddleSegment(const std::filesystem::path &folder)
{
    for (int n = 0; n < 2; ++n) {
        const auto storage = replog::makeFileStorage(folder, base::Bytes(1));
        REQUIRE(storage->open());
        REQUIRE(storage->sync());
    }
    std::vector<std::filesystem::path> segments;
    for (const auto &it : std::filesystem::directory_iterator(folder)) {
        if (it.path().filename().string().starts_with("segment-"))
            segments.push_back(it.path());
    }
    std::sort(segments.begin(), segments.end());
    REQUIRE(segments.size() >= 3);
    std::filesystem::remove(segments[1]);
}

} // namespace

// Guards against a host that ends at each start, keeps its vote, or answers from a part of its log.
TEST_CASE("a host whose log lacks a segment joins again under a new id and learns all from others")
{
    Cluster cluster;
    for (const int host : {1, 2, 3})
        cluster.start(host, {1, 2, 3}, true);
    cluster.run(Millis(5'000));
    REQUIRE(cluster.leader() != 0);
    REQUIRE(cluster.put(cluster.leader(), 3));
    const std::int64_t incarnation = cluster.incarnation(cluster.leader());
    cluster.stop(3);
    const auto before =
            replog::loadReplicaId(cluster.folder(3), base::HostId(cluster.address(3).text()), 0);
    REQUIRE(before);
    removeMiddleSegment(cluster.folder(3));
    cluster.run(Millis(3'000));
    REQUIRE(cluster.put(cluster.leader(), 4));

    cluster.start(3, {1, 2, 3}, true);
    // It knows nothing, instead of what the first segment holds, and has no vote.
    CHECK(cluster.isEmpty(3));
    CHECK(cluster.version(3) == 0);
    cluster.run(Millis(10'000));
    CHECK(cluster.version(3) == 4);
    CHECK(cluster.incarnation(3) == incarnation);
    const auto &voters = cluster.configuration(cluster.leader()).voters;
    CHECK(voters.size() == 3);
    CHECK(std::count(voters.begin(), voters.end(), *before) == 0);
    CHECK(cluster.hasVote(3));
    CHECK(std::filesystem::exists(cluster.folder(3) / "incomplete-log-1" / "replica-id"));
    // The repair is not repeated at the next start.
    cluster.stop(3);
    cluster.start(3, {1, 2, 3}, true);
    CHECK_FALSE(cluster.isEmpty(3));
}

// Guards against a second group that forgets what the first had acknowledged: hosts whose logs were
// set aside are empty as on the first start.
TEST_CASE("hosts whose logs were set aside found no group")
{
    Cluster cluster;
    for (const int host : {1, 2, 3})
        cluster.start(host, {1, 2, 3}, true);
    cluster.run(Millis(5'000));
    REQUIRE(cluster.put(cluster.leader(), 3));
    for (const int host : {1, 2, 3})
        cluster.stop(host);
    const int lastDamaged = GENERATE(1, 2, 3);
    // The others have lost their disks.
    for (const int host : {1, 2, 3}) {
        if (host != lastDamaged)
            cluster.loseDisk(host);
    }
    removeMiddleSegment(cluster.folder(lastDamaged));
    for (const int host : {1, 2, 3})
        cluster.start(host, {1, 2, 3}, true);
    cluster.run(Millis(20'000));
    CHECK(cluster.leader() == 0);
    for (const int host : {1, 2, 3})
        CHECK(cluster.isEmpty(host));
}
