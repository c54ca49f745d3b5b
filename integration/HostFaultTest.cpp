#include "Workload.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace hyssop;
using namespace hyssop::harness;

namespace {

constexpr base::Millis kFloorLimit{30'000};
/// Tokens of a stream that lasts 24 s at an engine, within its route's deadline.
constexpr std::int64_t kLongAnswer = 3'000;
/// Well before such a stream would have ended by itself.
constexpr base::Millis kReclaimLimit{15'000};
constexpr std::uint64_t kSeed = 20261203;

Plan pairPlan()
{
    Plan plan;
    plan.entriesEach = 2;
    plan.enginesEach = 2;
    plan.servicesEach = 1;
    return plan;
}

std::vector<std::pair<Completion, Pending>> startStreams(System &system, const Host &entry,
                                                         int count, std::int64_t tokens)
{
    std::vector<std::pair<Completion, Pending>> calls;
    for (int i = 0; i < count; ++i) {
        Completion completion;
        completion.prompt = entry.name + " stream " + std::to_string(i);
        completion.wantsStream = true;
        completion.maxTokens = tokens;
        calls.emplace_back(completion, startCompletion(system, entry, completion));
    }
    for (const auto &[completion, pending] : calls)
        REQUIRE(pending.waitForBody("data:").status == 200);
    return calls;
}

void checkAllWhole(const std::vector<std::pair<Completion, Pending>> &calls)
{
    for (const auto &[completion, pending] : calls) {
        const Completed completed = readCompletion(pending.wait(), completion);
        INFO(completion.prompt << " code " << completed.code());
        CHECK(completed.isWhole);
        CHECK(completed.text == expectedText(completion.prompt, completion.maxTokens));
    }
}

} // namespace

TEST_CASE("after an entry is killed under load all engines' memory is back at its floor")
{
    System system(pairPlan());
    bringUp(system);
    Host &entry = system.host("entry-1-1");
    startStreams(system, entry, 30, kLongAnswer);
    std::int64_t used = 0;
    for (Host *engine : system.hosts(Role::Engine))
        used += engineStats(system, *engine).value("usedKvTokens", 0);
    REQUIRE(used > 0);
    system.kill(entry);
    for (Host *engine : system.hosts(Role::Engine)) {
        INFO(engine->name << " " << engineStats(system, *engine).dump());
        CHECK(returnsToFloor(system, *engine, kReclaimLimit));
    }
}

TEST_CASE("an entry that restarts at once still frees what its former process held")
{
    System system(pairPlan());
    bringUp(system);
    Host &entry = system.host("entry-1-1");
    startStreams(system, entry, 10, kLongAnswer);
    system.kill(entry);
    system.start(entry);
    system.awaitReady(entry);
    for (Host *engine : system.hosts(Role::Engine)) {
        INFO(engine->name << " " << engineStats(system, *engine).dump());
        CHECK(returnsToFloor(system, *engine, kReclaimLimit));
    }
}

TEST_CASE("a graceful stop of an entry finishes its streams, refuses new work and exits with 0")
{
    System system(pairPlan());
    bringUp(system);
    Host &entry = system.host("entry-1-1");
    const auto calls = startStreams(system, entry, 20, 300);
    entry.process->signal(SIGTERM);
    REQUIRE(eventually(base::Millis(10'000), [&] {
        return system.client().get(entry.platform, "/ready").status == 503;
    }));
    checkAllWhole(calls);
    const std::optional<Exit> exit = entry.process->wait(base::Millis(30'000));
    REQUIRE(exit);
    CHECK(exit->signal == 0);
    CHECK(exit->code == 0);
    for (Host *engine : system.hosts(Role::Engine))
        CHECK(returnsToFloor(system, *engine, kFloorLimit));
}

TEST_CASE("a rolling restart of every host under load cuts off, loses and doubles nothing")
{
    System system(pairPlan());
    bringUp(system);
    Scorecard scorecard;
    WorkloadOptions options;
    options.seed = kSeed;
    Workload workload(&system, &scorecard, options);
    workload.runFor(base::Millis(500));
    for (const Role role : {Role::Entry, Role::Control}) {
        for (Host *host : system.hosts(role))
            workload.restart(*host);
    }
    workload.drain();
    workload.checkBookings();
    INFO(scorecard.text());
    CHECK(workload.answered() > 20);
    CHECK(workload.failed() == 0);
    CHECK(scorecard.brokenInAll() == 0);
    for (Host *engine : system.hosts(Role::Engine))
        CHECK(returnsToFloor(system, *engine, kFloorLimit));
}

TEST_CASE("an entry host that stops gives cancels no engine has confirmed over to another host")
{
    Plan plan;
    plan.entriesEach = 2;
    System system(plan);
    bringUp(system);
    Host &engine = system.host("engine-1-1");
    Host &entry = system.host("entry-1-1");
    Completion endless;
    endless.wantsStream = true;
    endless.maxTokens = 100'000;
    const Pending pending = startCompletion(system, entry, endless);
    REQUIRE(pending.waitForBody("data:").status == 200);
    engine.process->signal(SIGSTOP);
    system.client().drop(pending);
    REQUIRE(eventually(base::Millis(20'000),
                       [&] { return metric(system, entry, "hyssop_unconfirmed_cancels") == 1; }));
    // The engine confirms nothing, so that only the handing on lets the host end.
    system.stop(entry);
    CHECK(eventually(base::Millis(10'000), [&] {
        return metric(system, system.host("entry-1-2"), "hyssop_taken_over_orders_total") == 1;
    }));
    engine.process->signal(SIGCONT);
    CHECK(returnsToFloor(system, engine, base::Millis(30'000)));
}
