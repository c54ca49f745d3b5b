#include "group/Group.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::group;
using base::Millis;
using peers::ExecuteStatus;
using Step = CommandPlan::Step;
using Fault = CommandPlan::Fault;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr base::TimePoint kDeadline = kStart + Millis(1'200);

GroupState withReplica()
{
    GroupState state;
    state.hasReplica = true;
    return state;
}

GroupState leading()
{
    GroupState state = withReplica();
    state.isLeader = true;
    return state;
}

GroupState following()
{
    GroupState state = withReplica();
    state.isLeaderKnown = true;
    return state;
}

} // namespace

TEST_CASE("a command goes to the local or remote leader and waits while there is none")
{
    CommandPlan plan(false, true, kDeadline);
    CHECK(plan.nextStep(leading(), kStart) == Step::Propose);
    CHECK(plan.nextStep(following(), kStart) == Step::ForwardToLeader);
    CHECK(plan.nextStep(withReplica(), kStart) == Step::Wait);
    REQUIRE(plan.nextStep(withReplica(), kDeadline) == Step::End);
    CHECK(plan.status() == ExecuteStatus::Unavailable);
}

TEST_CASE("a command for a remote group is forwarded and ends when no host with a replica is known")
{
    CommandPlan plan(false, true, kDeadline);
    GroupState state;
    state.replicaHostCount = 2;
    CHECK(plan.nextStep(state, kStart) == Step::ForwardToReplicaHost);
    REQUIRE(plan.nextStep(GroupState(), kStart) == Step::End);
    CHECK(plan.status() == ExecuteStatus::Unavailable);
}

TEST_CASE("a command ends as NoQuorum once every host with a replica has reported it")
{
    CommandPlan plan(false, true, kDeadline);
    GroupState state;
    state.replicaHostCount = 2;
    CHECK(plan.onStepFailed(Fault::NoQuorum, kStart) == Step::Wait);
    CHECK(plan.nextStep(state, kStart) == Step::ForwardToReplicaHost);
    CHECK(plan.onStepFailed(Fault::NoQuorum, kStart) == Step::Wait);
    REQUIRE(plan.nextStep(state, kStart) == Step::End);
    CHECK(plan.status() == ExecuteStatus::NoQuorum);
}

TEST_CASE("a forwarded command is not forwarded again")
{
    CommandPlan plan(true, true, kDeadline);
    CHECK(plan.nextStep(leading(), kStart) == Step::Propose);
    REQUIRE(plan.nextStep(following(), kStart) == Step::End);
    CHECK(plan.status() == ExecuteStatus::NotLeader);
}

TEST_CASE("an idempotent command is resent after a lost answer")
{
    CommandPlan plan(false, true, kDeadline);
    CHECK(plan.nextStep(following(), kStart) == Step::ForwardToLeader);
    CHECK(plan.onStepFailed(Fault::Lost, kStart) == Step::Wait);
    CHECK(plan.nextStep(withReplica(), kStart) == Step::Wait);
    CHECK(plan.nextStep(leading(), kStart) == Step::Propose);
}

TEST_CASE("a command that must not be repeated ends as Unknown at the first lost answer")
{
    CommandPlan plan(false, false, kDeadline);
    CHECK(plan.onStepFailed(Fault::Refused, kStart) == Step::Wait);
    REQUIRE(plan.onStepFailed(Fault::Lost, kStart) == Step::End);
    CHECK(plan.status() == ExecuteStatus::Unknown);
}

TEST_CASE("after a lost answer no final status says that nothing was recorded")
{
    GroupState alone = withReplica();
    alone.isQuorumReachable = false;
    CommandPlan fresh(false, true, kDeadline);
    REQUIRE(fresh.nextStep(alone, kStart) == Step::End);
    CHECK(fresh.status() == ExecuteStatus::NoQuorum);

    for (const GroupState &state : {alone, GroupState()}) {
        CommandPlan plan(false, true, kDeadline);
        plan.onStepFailed(Fault::Lost, kStart);
        REQUIRE(plan.nextStep(state, kStart) == Step::End);
        CHECK(plan.status() == ExecuteStatus::Unknown);
    }
    CommandPlan late(false, true, kDeadline);
    late.onStepFailed(Fault::Lost, kStart);
    REQUIRE(late.onStepFailed(Fault::Refused, kDeadline) == Step::End);
    CHECK(late.status() == ExecuteStatus::Unknown);
    CommandPlan stopped(false, true, kDeadline);
    stopped.onStepFailed(Fault::Lost, kStart);
    REQUIRE(stopped.stop() == Step::End);
    CHECK(stopped.status() == ExecuteStatus::Unknown);
}

TEST_CASE("the timeout of a forwarded attempt is bounded by the command's deadline")
{
    const CommandPlan plan(false, true, kDeadline);
    CHECK(plan.forwardTimeout(kStart) == Millis(1'000));
    CHECK(plan.forwardTimeout(kDeadline - Millis(30)) == Millis(30));
    CHECK(plan.forwardTimeout(kDeadline) > Millis(0));
}
