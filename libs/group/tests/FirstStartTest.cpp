// First start of a group of control hosts: whatever fails meanwhile, two groups must never form.
// See docs/design/first-start.md.

#include "Cluster.h"

using namespace hyssop;
using namespace hyssop::group;
using base::Millis;

namespace {

/// Whether no two of \a hosts have applied entries of different groups.
bool hasOneGroup(const Cluster &cluster, const std::vector<int> &hosts)
{
    std::set<std::int64_t> incarnations;
    for (const int host : hosts) {
        if (cluster.incarnation(host) != 0)
            incarnations.insert(cluster.incarnation(host));
    }
    return incarnations.size() <= 1;
}

} // namespace

// Guards against a rule by which two of three seeds found a group: the hosts that are up cannot
// tell this history from a first start with host 1 down.
TEST_CASE("a seed that lost its disk and one that starts late found no second group")
{
    Cluster cluster;
    for (const int host : {1, 2, 3})
        cluster.start(host, {1, 2, 3}, true);
    cluster.run(Millis(5'000));
    REQUIRE(cluster.put(cluster.leader(), 3));
    // The disks of hosts 2 and 3 are now as if host 2 had lost its own and host 3 had never
    // started.
    for (const int host : {1, 2, 3})
        cluster.stop(host);
    cluster.loseDisk(2);
    cluster.loseDisk(3);
    cluster.start(2, {1, 2, 3}, true);
    cluster.start(3, {1, 2, 3}, true);
    cluster.run(Millis(20'000));
    CHECK(cluster.leader() == 0);
    cluster.start(1, {1, 2, 3}, true);
    cluster.run(Millis(20'000));
    CHECK(hasOneGroup(cluster, {1, 2, 3}));
}

TEST_CASE("seeds that start in two halves, cut off from each other, found one group at most")
{
    const int alone = GENERATE(1, 2, 3);
    Cluster cluster;
    cluster.cutOff(alone);
    for (const int host : {1, 2, 3})
        cluster.start(host, {1, 2, 3}, true);
    cluster.run(Millis(10'000));
    CHECK(hasOneGroup(cluster, {1, 2, 3}));
    cluster.reconnect(alone);
    cluster.run(Millis(10'000));
    REQUIRE(cluster.leader() != 0);
    CHECK(cluster.put(cluster.leader(), 3));
    cluster.run(Millis(2'000));
    CHECK(hasOneGroup(cluster, {1, 2, 3}));
    for (const int host : {1, 2, 3})
        CHECK(cluster.version(host) == 3);
}

// Guards against two first hosts, each of which founds a group with the seeds of its own list.
TEST_CASE("seeds whose lists overlap and have different first hosts found one group at most")
{
    Cluster cluster;
    const std::vector<int> listOfThird = GENERATE(std::vector{1, 2, 3}, std::vector{2, 3, 4});
    cluster.start(1, {1, 2, 3}, true);
    cluster.start(2, {2, 3, 4}, true);
    cluster.start(3, listOfThird, true);
    cluster.start(4, {2, 3, 4}, true);
    // A round of Hellos and one of their echoes, 0.5 s apart; then two hosts see only one of the
    // first hosts each.
    cluster.run(Millis(540));
    for (const int a : {1, 3}) {
        for (const int b : {2, 4})
            cluster.separate(a, b);
    }
    cluster.run(Millis(10'000));
    CHECK(cluster.leaderCount() <= 1);
    CHECK(hasOneGroup(cluster, {1, 2, 3, 4}));
}

// Guards against a seed that is bound for good to a first host which never answered.
TEST_CASE("a list of seeds whose first host is down may be replaced before the group is founded")
{
    Cluster cluster;
    for (const int host : {2, 3})
        cluster.start(host, {1, 2, 3}, true);
    cluster.run(Millis(3'000));
    CHECK(cluster.leader() == 0);
    cluster.start(4, {2, 3, 4}, true);
    for (const int host : {2, 3})
        cluster.members(host).setSeeds(
                {Cluster::address(2), Cluster::address(3), Cluster::address(4)});
    cluster.run(Millis(5'000));
    CHECK(cluster.leader() != 0);
    CHECK(hasOneGroup(cluster, {2, 3, 4}));
}
