#include "Workload.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::harness;

namespace {

constexpr std::uint64_t kSeed = 20261203;

} // namespace

TEST_CASE("at twice the capacity every admitted request ends in its time and refusals say when to "
          "come back",
          "[.known-red]")
{
    Plan plan;
    plan.engineFlags = {"--prefill-rate", "40000"};
    System system(plan);
    bringUp(system);
    constexpr std::int64_t kDeadlineMs = 4'000;
    constexpr int kRequests = 120;
    // 4,000 tokens at 40,000 a second: ten requests a second are the engine's capacity.
    std::vector<std::pair<Completion, Pending>> calls;
    for (int i = 0; i < kRequests; ++i) {
        Completion completion;
        completion.prompt = longPrompt("overload-" + std::to_string(i), 4'000);
        completion.deadlineMs = kDeadlineMs;
        calls.emplace_back(completion,
                           startCompletion(system, system.host("entry-1-1"), completion));
        const base::TimePoint next = base::monotonicNow() + base::Millis(50);
        eventually(base::Millis(1'000), [&] { return base::monotonicNow() >= next; });
    }
    int answered = 0;
    int refused = 0;
    for (const auto &[completion, pending] : calls) {
        const Answer answer = pending.wait();
        const Completed completed = readCompletion(answer, completion);
        INFO(completed.status << " " << completed.code());
        CHECK_FALSE(completed.isBrokenOff);
        if (completed.isWhole) {
            ++answered;
            CHECK(completed.text == expectedText(completion.prompt, completion.maxTokens));
            continue;
        }
        // Admission refuses what cannot be done; nothing admitted is lost to its deadline.
        ++refused;
        CHECK((completed.status == 503 || completed.status == 429));
        CHECK(completed.outcome() == "not_run");
        CHECK_FALSE(http::headerValue(answer.headers, "retry-after").empty());
        CHECK(completed.error.value("retry_after_ms", 0) > 0);
    }
    INFO("answered " << answered << " refused " << refused);
    CHECK(answered >= kRequests / 4);
    CHECK(refused > 0);
    CHECK(returnsToFloor(system, system.host("engine-1-1"), base::Millis(20'000)));
}

TEST_CASE("after a thousand long prompts with faults every engine's memory is back at its floor")
{
    Plan plan;
    plan.entriesEach = 2;
    plan.enginesEach = 3;
    plan.hasFaultLinks = true;
    plan.engineFlags = {"--speed", "500", "--kv-tokens", "60000"};
    System system(plan);
    bringUp(system);
    base::Rng rng(kSeed);
    WARN("seed " << kSeed);
    Scorecard scorecard;
    WorkloadOptions options;
    options.seed = kSeed;
    options.ratePerSecond = 100;
    options.bookingPercent = 0;
    options.longPercent = 100;
    options.longTokens = 5'000;
    options.deadlineMs = 8'000;
    Workload workload(&system, &scorecard, options);
    while (workload.started() < 1'000) {
        workload.runFor(base::Millis(400));
        const auto engines = system.hosts(Role::Engine);
        const Host &engine = *engines[rng() % engines.size()];
        if (rng() % 2 == 0) {
            system.faults().order("entries", engine.name, {{"action", "reset"}});
            continue;
        }
        Host &entry = *system.hosts(Role::Entry)[rng() % 2];
        workload.takeOut(entry);
        system.kill(entry);
        workload.excuse(entry);
        system.start(entry);
        workload.runUntil(base::Millis(30'000), [&] {
            return system.client().get(entry.platform, "/ready").status == 200;
        });
        workload.putBack(entry);
    }
    workload.drain();
    INFO(scorecard.text());
    CHECK(scorecard.brokenInAll() == 0);
    for (Host *engine : system.hosts(Role::Engine)) {
        INFO(engine->name << " " << engineStats(system, *engine).dump());
        CHECK(returnsToFloor(system, *engine, base::Millis(40'000)));
    }
}
