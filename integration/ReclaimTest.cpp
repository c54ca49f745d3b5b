#include "Calls.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::harness;

namespace {

constexpr base::Millis kFloorLimit{40'000};

/// Streams that would run for minutes, each begun at its engine.
void startStreams(System &system, const Host &entry, int n)
{
    for (int i = 0; i < n; ++i) {
        Completion completion;
        completion.prompt = "Season archive " + std::to_string(i);
        completion.wantsStream = true;
        completion.maxTokens = 30'000;
        completion.deadlineMs = 600'000;
        REQUIRE(startCompletion(system, entry, completion).waitForBody("data:").status == 200);
    }
}

} // namespace

TEST_CASE("what a killed entry host left at the engines is cancelled by the others")
{
    Plan plan;
    plan.entriesEach = 3;
    plan.enginesEach = 3;
    System system(plan);
    bringUp(system);
    startStreams(system, system.host("entry-1-2"), 6);
    system.kill(system.host("entry-1-2"));
    for (const Host *engine : system.hosts(Role::Engine))
        CHECK(returnsToFloor(system, *engine, kFloorLimit));
}

// The others learned of a host only by its gossip, so what it left stayed when it was killed first.
TEST_CASE("what a killed entry host left is cancelled by one that never heard from that start")
{
    Plan plan;
    plan.entriesEach = 2;
    plan.hasFaultLinks = true;
    System system(plan);
    bringUp(system);
    Host &entry = system.host("entry-1-2");
    system.faults().cut("entry-1-1", "entry-1-2");
    system.faults().cut("entry-1-2", "entry-1-1");
    system.kill(entry);
    system.start(entry);
    system.awaitReady(entry);
    system.awaitUpstreams(entry.dataCentre, 1);
    startStreams(system, entry, 4);
    system.kill(entry);
    CHECK(returnsToFloor(system, system.host("engine-1-1"), kFloorLimit));
}

TEST_CASE("an entry host alone in its data centre cancels what its earlier start left")
{
    System system;
    bringUp(system);
    Host &entry = system.host("entry-1-1");
    startStreams(system, entry, 4);
    system.kill(entry);
    CHECK(engineStats(system, system.host("engine-1-1")).at("running") == 4);
    system.start(entry);
    CHECK(returnsToFloor(system, system.host("engine-1-1"), kFloorLimit));
}
