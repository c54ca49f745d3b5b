#include "group/Group.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::group;
using base::Millis;
using replog::ReplicaId;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

base::Endpoint at(int host)
{
    return {"127.0.0." + std::to_string(host), 7};
}

ReplicaId replica(int host, const char *incarnation)
{
    return ReplicaId(at(host).text() + "." + incarnation);
}

/// Members as seen on host 1, with hosts 1, 2 and 3 as seeds.
DynamicMembers membersWith(std::size_t voters, bool canBootstrap = true)
{
    DynamicMembersOptions options;
    options.self = base::HostId(at(1).text());
    options.dataCentre = base::DataCentreId("a");
    options.seeds = {at(3), at(1), at(2)};
    options.canBootstrap = canBootstrap;
    options.voterCount = voters;
    return {options, kStart};
}

void receiveHello(DynamicMembers &members, const ReplicaId &id, const char *dataCentre,
                  base::TimePoint now, bool isEmpty = false)
{
    members.tick(now);
    members.onHello({id, isEmpty, replica(1, "x"), base::DataCentreId(dataCentre)});
    members.onContact(id, now);
}

const replog::Configuration kThree{{replica(1, "x"), replica(2, "x"), replica(3, "x")}, {}};

} // namespace

TEST_CASE("the seeds bootstrap a group only on the first start and once all their logs are empty")
{
    DynamicMembers members = membersWith(3);
    receiveHello(members, replica(2, "x"), "b", kStart, true);
    CHECK_FALSE(members.bootstrapVoters(replica(1, "x")));
    receiveHello(members, replica(3, "x"), "c", kStart, true);
    REQUIRE(members.bootstrapVoters(replica(1, "x")));
    CHECK(members.bootstrapVoters(replica(1, "x"))->size() == 3);
    // A host that lost its disk must not bootstrap a second group.
    DynamicMembers later = membersWith(3, false);
    receiveHello(later, replica(2, "x"), "b", kStart, true);
    receiveHello(later, replica(3, "x"), "c", kStart, true);
    CHECK_FALSE(later.bootstrapVoters(replica(1, "x")));
}

TEST_CASE("a host that lost its disk is desired under its new id only")
{
    DynamicMembers members = membersWith(3);
    receiveHello(members, replica(2, "x"), "b", kStart);
    receiveHello(members, replica(3, "y"), "c", kStart, true);
    const auto desired = members.desiredReplicas(replica(1, "x"), kThree, kStart);
    CHECK(std::count(desired.voters.begin(), desired.voters.end(), replica(3, "y")) == 1);
    CHECK(std::count(desired.voters.begin(), desired.voters.end(), replica(3, "x")) == 0);
}

TEST_CASE("an unreachable voter is replaced when another host is available and otherwise kept")
{
    DynamicMembers members = membersWith(3);
    receiveHello(members, replica(2, "x"), "b", kStart);
    receiveHello(members, replica(3, "x"), "c", kStart);
    const base::TimePoint later = kStart + Millis(5'000);
    receiveHello(members, replica(2, "x"), "b", later);
    auto desired = members.desiredReplicas(replica(1, "x"), kThree, later);
    CHECK(std::count(desired.voters.begin(), desired.voters.end(), replica(3, "x")) == 1);
    receiveHello(members, replica(4, "x"), "c", later, true);
    CHECK(members.addressOf(base::HostId(at(4).text())) == at(4));
    desired = members.desiredReplicas(replica(1, "x"), kThree, later);
    CHECK(desired.voters.size() == 3);
    CHECK(std::count(desired.voters.begin(), desired.voters.end(), replica(4, "x")) == 1);
    CHECK(std::count(desired.voters.begin(), desired.voters.end(), replica(3, "x")) == 0);
}

TEST_CASE("a host beyond the target number of voters becomes a learner")
{
    DynamicMembers members = membersWith(3);
    receiveHello(members, replica(2, "x"), "b", kStart);
    receiveHello(members, replica(3, "x"), "c", kStart);
    receiveHello(members, replica(4, "x"), "a", kStart, true);
    const auto desired = members.desiredReplicas(replica(1, "x"), kThree, kStart);
    CHECK(desired.voters.size() == 3);
    CHECK(desired.learners == std::vector{replica(4, "x")});
}

TEST_CASE("votes are spread over data centres")
{
    DynamicMembers members = membersWith(5);
    receiveHello(members, replica(2, "x"), "b", kStart);
    receiveHello(members, replica(3, "x"), "c", kStart);
    for (int host = 4; host <= 9; ++host)
        receiveHello(members, replica(host, "x"), host <= 6 ? "a" : host <= 8 ? "b" : "d", kStart);
    const auto desired = members.desiredReplicas(replica(1, "x"), kThree, kStart);
    CHECK(desired.voters.size() == 5);
    // The only data centre without a voter gets one.
    CHECK(std::count(desired.voters.begin(), desired.voters.end(), replica(9, "x")) == 1);
    CHECK(desired.learners.size() == 4);
}

TEST_CASE("a host that is not a seed is removed after 60 s without a Hello")
{
    DynamicMembers members = membersWith(3);
    receiveHello(members, replica(4, "x"), "a", kStart);
    CHECK(members.hosts().size() == 4);
    members.tick(kStart + Millis(59'000));
    CHECK(members.hosts().size() == 4);
    members.tick(kStart + Millis(60'000));
    CHECK(members.hosts().size() == 3);
}
