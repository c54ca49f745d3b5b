#include "group/Group.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::group;
using base::Millis;
using replog::ReplicaId;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
/// Late enough for every silent replica to be unreachable.
constexpr base::TimePoint kLater = kStart + Millis(10'000);
const ReplicaId kSelf("a.1");
const replog::Configuration kThree{{kSelf, ReplicaId("b.1"), ReplicaId("c.1")}, {}};

HostAddress at(const char *host, std::uint16_t port)
{
    return {base::HostId(host), {"127.0.0.1", port}};
}

GroupMembers membersAt(const char *self)
{
    return GroupMembers(base::HostId(self), {at("a", 1), at("b", 2), at("c", 3)}, kStart);
}

} // namespace

TEST_CASE(
        "only the first host bootstraps, once every other told this replica that its log is empty")
{
    GroupMembers members = membersAt("a");
    members.onHello({ReplicaId("b.1"), true, kSelf});
    CHECK_FALSE(members.bootstrapVoters(kSelf));
    // An echo of an earlier incarnation of this replica does not count.
    members.onHello({ReplicaId("c.1"), true, ReplicaId("a.0")});
    CHECK_FALSE(members.bootstrapVoters(kSelf));
    members.onHello({ReplicaId("c.1"), false, kSelf});
    CHECK_FALSE(members.bootstrapVoters(kSelf));
    members.onHello({ReplicaId("c.1"), true, kSelf});
    CHECK(members.bootstrapVoters(kSelf) == kThree.voters);

    GroupMembers second = membersAt("b");
    second.onHello({ReplicaId("a.1"), true, ReplicaId("b.1")});
    second.onHello({ReplicaId("c.1"), true, ReplicaId("b.1")});
    CHECK_FALSE(second.bootstrapVoters(ReplicaId("b.1")));
}

TEST_CASE("a host with a new replica id is desired under it and a silent one under its old id")
{
    GroupMembers members = membersAt("a");
    CHECK(members.desiredVoters(kSelf, kThree) == kThree.voters);
    members.onHello({ReplicaId("b.2"), true, {}});
    const std::vector<ReplicaId> expected{kSelf, ReplicaId("b.2"), ReplicaId("c.1")};
    CHECK(members.desiredVoters(kSelf, kThree) == expected);
}

TEST_CASE("replaced hosts are no longer desired but their addresses stay known")
{
    GroupMembers members = membersAt("a");
    members.setHosts({at("a", 1), at("d", 4)});
    CHECK(members.desiredVoters(kSelf, kThree) == std::vector<ReplicaId>{kSelf});
    CHECK(members.isMember());
    members.setHosts({at("d", 4)});
    CHECK_FALSE(members.isMember());
    CHECK(members.addressOf(base::HostId("b"))->port == 2);
    CHECK(members.addressOf(base::HostId("d"))->port == 4);
    CHECK_FALSE(members.addressOf(base::HostId("e")));
}

TEST_CASE("a quorum is reachable while messages of a majority of the voters are recent")
{
    GroupMembers members = membersAt("a");
    CHECK(members.isQuorumReachable(kSelf, kThree, kStart));
    CHECK_FALSE(members.isQuorumReachable(kSelf, kThree, kLater));
    members.onContact(ReplicaId("b.1"), kLater);
    CHECK(members.isQuorumReachable(kSelf, kThree, kLater));
    CHECK_FALSE(members.isQuorumReachable(kSelf, kThree, kLater + Millis(10'000)));
}

TEST_CASE("only voters count for a quorum and a single voter is its own quorum")
{
    GroupMembers members = membersAt("a");
    members.onContact(ReplicaId("b.0"), kLater);
    CHECK_FALSE(members.isQuorumReachable(kSelf, kThree, kLater));
    CHECK(members.isQuorumReachable(kSelf, {{kSelf}, {}}, kLater));
    CHECK(members.isQuorumReachable(kSelf, {}, kLater));
    // A learner does not count towards the quorum.
    CHECK_FALSE(members.isQuorumReachable(kSelf, {{ReplicaId("b.1")}, {kSelf}}, kLater));
}
