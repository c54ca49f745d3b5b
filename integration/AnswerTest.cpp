#include "Calls.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::harness;

namespace {

constexpr std::int64_t kEngineTokens = 400'000;
constexpr std::int64_t kMillionTokens = 1'000'000;
constexpr int kCallers = 120;

/// Counts late, crossed and repeated events that an entry host has dropped.
double strayEvents(System &system)
{
    double strays = 0;
    for (const Host *entry : system.hosts(Role::Entry))
        strays += metric(system, *entry, "hyssop_stray_events_total");
    return strays;
}

} // namespace

TEST_CASE("a prompt of a million tokens is answered by engines that hold 400,000 tokens each")
{
    Plan plan;
    plan.enginesEach = 4;
    plan.entryFlags.insert(plan.entryFlags.end(), {"--max-body-bytes", "16777216"});
    plan.engineFlags = {"--kv-tokens", std::to_string(kEngineTokens), "--speed", "20"};
    System system(plan);
    bringUp(system);
    const Host &entry = system.host("entry-1-1");
    Completion history;
    history.model = "archive";
    history.prompt = longPrompt("history", kMillionTokens);
    history.maxTokens = 40;
    history.wantsStream = true;
    const Pending pending = startCompletion(system, entry, history);
    Completion chat;
    chat.prompt = "Beside the long one";
    CHECK(complete(system, entry, chat).isWhole);
    const Completed completed = readCompletion(pending.wait(), history);
    INFO(completed.status << " " << completed.code());
    CHECK(completed.isWhole);
    CHECK(completed.text == expectedText(history.prompt, history.maxTokens));
    for (const Host *engine : system.hosts(Role::Engine))
        CHECK(returnsToFloor(system, *engine, base::Millis(20'000)));
}

TEST_CASE("answers that come late, crossed and twice reach their own callers only")
{
    Plan plan;
    plan.entriesEach = 2;
    plan.enginesEach = 2;
    plan.engineFlags = {"--fail-cross-percent",
                        "30",
                        "--fail-duplicate-percent",
                        "30",
                        "--fail-delay-ms",
                        "40",
                        "--seed",
                        "7"};
    System system(plan);
    bringUp(system);
    checkOwnAnswers(system, kCallers);
    CHECK(strayEvents(system) > 0);
}
