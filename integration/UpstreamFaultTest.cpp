#include "Calls.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace hyssop;
using namespace hyssop::harness;

namespace {

constexpr base::Millis kFloorLimit{30'000};

/// Answered whole and rightly, or failed with an error that was told; never wrong, never cut off
/// without a word.
void checkRightOrTold(const Completed &completed, const Completion &completion)
{
    INFO(completion.prompt << " status " << completed.status << " code " << completed.code());
    CHECK_FALSE(completed.isBrokenOff);
    const std::string whole = expectedText(completion.prompt, completion.maxTokens);
    if (completed.isWhole)
        CHECK(completed.text == whole);
    else
        CHECK(whole.starts_with(completed.text));
}

using Streams = std::vector<std::pair<Completion, Pending>>;

/// Streams that have all begun at their engines.
Streams startStreams(System &system, const std::string &name, int n, std::int64_t maxTokens)
{
    Streams streams;
    for (int i = 0; i < n; ++i) {
        Completion completion;
        completion.prompt = name + " " + std::to_string(i);
        completion.wantsStream = true;
        completion.maxTokens = maxTokens;
        streams.emplace_back(completion,
                             startCompletion(system, system.host("entry-1-1"), completion));
    }
    for (const auto &[completion, pending] : streams)
        REQUIRE(pending.waitForBody("data:").status == 200);
    return streams;
}

} // namespace

TEST_CASE("an engine killed mid-stream gives the exact rest or an explicit error event")
{
    Plan plan;
    plan.enginesEach = 2;
    System system(plan);
    bringUp(system);
    const Streams calls = startStreams(system, "Route dossier", 20, 400);
    system.kill(system.host("engine-1-1"));
    for (const auto &[completion, pending] : calls)
        checkRightOrTold(readCompletion(pending.wait(), completion), completion);
    CHECK(returnsToFloor(system, system.host("engine-1-2"), kFloorLimit));
}

TEST_CASE("requests not begun on a killed engine are answered by another")
{
    Plan plan;
    plan.enginesEach = 2;
    System system(plan);
    bringUp(system);
    system.kill(system.host("engine-1-1"));
    for (int i = 0; i < 10; ++i) {
        Completion completion;
        completion.prompt = "After the kill " + std::to_string(i);
        const Completed completed = complete(system, system.host("entry-1-1"), completion);
        INFO(completed.code());
        CHECK(completed.isWhole);
        CHECK(completed.text == expectedText(completion.prompt, completion.maxTokens));
    }
}

TEST_CASE("an engine that stalls silently does not hold a request past its deadline",
          "[.known-red]")
{
    System system;
    bringUp(system);
    Completion completion;
    completion.wantsStream = true;
    completion.maxTokens = 100'000;
    completion.deadlineMs = 1'500;
    const Pending pending = startCompletion(system, system.host("entry-1-1"), completion);
    REQUIRE(pending.waitForBody("data:").status == 200);
    system.host("engine-1-1").process->signal(SIGSTOP);
    const Completed completed = readCompletion(pending.wait(), completion);
    CHECK_FALSE(completed.isWhole);
    CHECK(completed.code() == "out_of_time");
    CHECK(completed.outcome() == "failed");
    system.host("engine-1-1").process->signal(SIGCONT);
    CHECK(returnsToFloor(system, system.host("engine-1-1"), kFloorLimit));
}

TEST_CASE("a service's answer lost after it ran is not asked for a second time")
{
    Plan plan;
    plan.entriesEach = 2;
    plan.servicesEach = 1;
    plan.hasFaultLinks = true;
    plan.serviceFlags = {"--delay-ms", "300"};
    System system(plan);
    bringUp(system);
    const Host &service = system.host("service-1-1");
    const Pending pending = startBooking(system, system.host("entry-1-1"), "lost-answer");
    REQUIRE(eventually(base::Millis(10'000),
                       [&] { return runsOf(system, service, "lost-answer") == 1; }));
    system.faults().order("entries", service.name, {{"action", "reset"}});
    const Answer answer = pending.wait();
    CHECK(answer.status >= 500);
    const std::string outcome = answer.json()["error"].value("outcome", "");
    CHECK((outcome == "failed" || outcome == "unknown"));
    // The same key again, through either entry: never a second run.
    for (Host *entry : system.hosts(Role::Entry))
        startBooking(system, *entry, "lost-answer").wait();
    CHECK(runsOf(system, service, "lost-answer") == 1);
}

TEST_CASE("a booking with a key, asked through all entries at once, runs once")
{
    Plan plan;
    plan.entriesEach = 3;
    plan.servicesEach = 2;
    System system(plan);
    bringUp(system);
    for (int round = 0; round < 5; ++round) {
        const std::string key = "bikes-" + std::to_string(round);
        std::vector<Pending> calls;
        for (int i = 0; i < 4; ++i) {
            for (Host *entry : system.hosts(Role::Entry))
                calls.push_back(startBooking(system, *entry, key));
        }
        std::string first;
        for (const Pending &pending : calls) {
            const Answer answer = pending.wait();
            INFO(answer.body);
            CHECK(answer.status == 200);
            if (first.empty())
                first = answer.body;
            CHECK(answer.body == first);
        }
        std::int64_t runs = 0;
        for (Host *service : system.hosts(Role::Service))
            runs += runsOf(system, *service, key);
        CHECK(runs == 1);
    }
}

TEST_CASE("the same key with another body is refused and does not run")
{
    Plan plan;
    plan.servicesEach = 1;
    System system(plan);
    bringUp(system);
    const Host &entry = system.host("entry-1-1");
    REQUIRE(startBooking(system, entry, "one", "{\"bikes\":2}").wait().status == 200);
    const Answer other = startBooking(system, entry, "one", "{\"bikes\":3}").wait();
    CHECK(other.status == 409);
    CHECK(other.json()["error"].value("outcome", "") == "not_run");
    CHECK(totalRuns(system, system.host("service-1-1")) == 1);
}

TEST_CASE("a leaving engine gets no new work and finishes what it has")
{
    Plan plan;
    plan.enginesEach = 2;
    plan.entriesEach = 2;
    System system(plan);
    bringUp(system);
    const Host &leaving = system.host("engine-1-1");
    const Streams calls = startStreams(system, "In flight", 8, 300);
    http::Call announce;
    announce.to = system.host("entry-1-1").upstreams;
    announce.method = http::Method::Post;
    announce.path = "/v1/announcements";
    announce.body = nlohmann::json{
            {"id", leaving.name},
            {"incarnation", 9'000'000'000'000'000'000LL},
            {"sequence", 1},
            {"kind", "engine"},
            {"address", leaving.serves.text()},
            {"dataCentre", leaving.dataCentre},
            {"role", ""},
            {"models", {"saga"}},
            {"kvTokens", 400'000},
            {"checksFencing", false},
            {"state", "leaving"},
            {"ttlMs",
             60'000}}.dump();
    const Pending announcing = system.client().start(announce);
    REQUIRE(announcing.wait().status == 200);
    const base::TimePoint announced = base::monotonicNow();
    REQUIRE(eventually(base::Millis(3'000),
                       [&] { return base::monotonicNow() - announced >= base::Millis(2'900); }));
    const auto attempts = [&](const std::string &entry) {
        return metric(system, system.host(entry), "hyssop_attempts_total", leaving.name);
    };
    const double before = attempts("entry-1-1") + attempts("entry-1-2");
    for (int i = 0; i < 20; ++i) {
        Completion completion;
        completion.prompt = "After the notice " + std::to_string(i);
        Host *entry = system.hosts(Role::Entry)[static_cast<std::size_t>(i % 2)];
        CHECK(complete(system, *entry, completion).isWhole);
    }
    CHECK(attempts("entry-1-1") + attempts("entry-1-2") == before);
    for (const auto &[completion, pending] : calls) {
        const Completed completed = readCompletion(pending.wait(), completion);
        CHECK(completed.isWhole);
        CHECK(completed.text == expectedText(completion.prompt, completion.maxTokens));
    }
}
