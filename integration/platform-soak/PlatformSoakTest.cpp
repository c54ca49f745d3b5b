// The programs of the users' platform under faults drawn from a seed.

#include "Checks.h"
#include "Faults.h"
#include "Load.h"

#include <catch2/catch.hpp>
#include <fmt/ranges.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace hyssop;
using namespace hyssop::harness;
using namespace hyssop::platformsoak;

namespace {

constexpr std::int64_t kDefaultSeconds = 12;
constexpr base::Millis kStartLimit{20'000};
constexpr base::Millis kHealLimit{20'000};
/// All must serve again this long after the last fault.
constexpr base::Millis kRecoverLimit{15'000};
/// Memory that no call uses is given back within this.
constexpr base::Millis kFreeLimit{4'000};
constexpr base::Millis kTick{20};
/// Faults of all kinds, before a time of planned work.
constexpr base::Millis kRound{30'000};
/// Stops, reloads and silences after them, without unplanned faults that would excuse anything.
constexpr base::Millis kPlanned{7'000};
/// Load without faults at the end, of which at least half is to be served.
constexpr base::Millis kCalm{2'500};

std::int64_t numberFrom(const char *variable, std::int64_t fallback)
{
    const char *text = std::getenv(variable);
    return text ? std::atoll(text) : fallback;
}

/// How large a run is; some go up to the limits of the machine.
PlatformPlan planFromEnvironment()
{
    PlatformPlan plan;
    plan.controls = static_cast<std::size_t>(numberFrom("HYSSOP_SOAK_CONTROLS", 3));
    plan.entries = static_cast<std::size_t>(numberFrom("HYSSOP_SOAK_ENTRIES", 3));
    plan.replicas = static_cast<std::size_t>(numberFrom("HYSSOP_SOAK_REPLICAS", 6));
    plan.hasFaultLinks = true;
    plan.hasUplinkGate = true;
    if (const char *folder = std::getenv("HYSSOP_PRODUCTION"))
        plan.folder = folder;
    return plan;
}

bool isAnyServed(PlatformBed &bed)
{
    CallOptions options;
    options.limit = base::Millis(1'500);
    options.fields = "Request-Id: probe\r\nApi-Key: " + keyOf(0) + "\r\nDeadline-Ms: 1000\r\n";
    return callOnce(bed.entries.front().listen, "GET", "/look/1", options).status == 200;
}

/// How an entry host's requests ended, by the names of its counters.
struct Counters
{
    base::TimePoint askedAt;
    base::TimePoint answeredAt;
    std::map<std::string, std::int64_t> values; ///< Empty when it did not answer.
};

Counters readCounters(const PlatformHost &entry)
{
    const std::string prefix = "hyssop_caller_";
    Counters counters;
    counters.askedAt = base::monotonicNow();
    std::istringstream lines(callOnce(entry.ready, "GET", "/metrics").body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(prefix))
            counters.values[line.substr(prefix.size(), line.find(' ') - prefix.size())] =
                    std::atoll(line.c_str() + line.find(' '));
    }
    counters.answeredAt = base::monotonicNow();
    return counters;
}

/// Holds the counters of a host that nothing asks any more against each other and against what
/// callers saw since \a before.
void checkCounters(const PlatformHost &entry, Counters before, const std::vector<CallRecord> &calls)
{
    std::map<std::string, std::int64_t> now;
    CHECK(eventually(kFreeLimit, [&] {
        now = readCounters(entry).values;
        return now.contains("requests") && now["requests_open"] == 0;
    }));
    INFO(entry.name << ": " << fmt::format("{}, before {}", now, before.values));
    CHECK(now["requests"]
          == now["requests_answered"] + now["requests_broken_off"] + now["requests_abandoned"]
                     + now["requests_left"] + now["requests_open"]);
    CHECK(now["requests_abandoned"] == 0);
    std::int64_t answered = 0;
    std::int64_t ended = 0;
    for (const CallRecord &it : calls) {
        if (it.entry != entry.name || !it.isConnected)
            continue;
        answered += it.sentAt >= before.answeredAt && it.isWhole ? 1 : 0;
        ended += it.endedAt >= before.askedAt ? 1 : 0;
    }
    CHECK(now["requests_answered"] - before.values["requests_answered"] >= answered);
    CHECK(now["requests"] - before.values["requests"] <= ended);
    // Also of processes that were killed.
    std::ifstream log(entry.log);
    const std::string text(std::istreambuf_iterator<char>(log), {});
    CHECK(text.find("event=response_abandoned") == std::string::npos);
}

void soak(std::uint64_t seed, base::Millis length)
{
    std::cout << "seed " << seed << ", " << length.count() << " ms" << std::endl;
    PlatformBed bed(planFromEnvironment());
    History history;
    ReplicaPool replicas(&bed, &history, seed + 1);
    Operator manifests(&bed, &history, seed + 2);
    REQUIRE(eventually(kStartLimit, [&] {
        return std::all_of(bed.entries.begin(), bed.entries.end(),
                           [&](const PlatformHost &it) { return bed.isReady(it); });
    }));
    REQUIRE(eventually(kStartLimit, [&] { return isAnyServed(bed); }));
    const auto callers = static_cast<std::size_t>(numberFrom("HYSSOP_SOAK_CALLERS", 12));
    Load load(&bed, &manifests, &history, seed + 3, callers);
    FaultDriver faults(&bed, &replicas, &history, seed);
    const auto runFaults = [&faults](base::Millis duration) {
        const base::TimePoint end = base::monotonicNow() + duration;
        while (base::monotonicNow() < end) {
            faults.tick(base::monotonicNow());
            std::this_thread::sleep_for(kTick);
        }
        faults.stop();
    };
    const auto recover = [&] {
        REQUIRE(eventually(kHealLimit, [&] {
            faults.tick(base::monotonicNow());
            return faults.isWhole() && replicas.isWhole();
        }));
        bed.faults().healAll();
        CHECK(eventually(kRecoverLimit, [&] {
            return std::all_of(bed.entries.begin(), bed.entries.end(),
                               [&](const PlatformHost &it) { return bed.isReady(it); })
                   && isAnyServed(bed);
        }));
    };
    const base::TimePoint end = base::monotonicNow() + length;
    for (bool isLast = false; !isLast;) {
        faults.goOn(FaultChoice::All);
        const auto left = std::chrono::floor<base::Millis>(end - base::monotonicNow());
        isLast = left <= kRound;
        runFaults(std::min(left, kRound));
        if (isLast) {
            load.stopCrashes();
            replicas.dropLimits();
        }
        recover();
        faults.goOn(FaultChoice::Planned);
        runFaults(kPlanned);
        if (isLast)
            replicas.stopRefusals();
        recover();
    }
    const base::TimePoint calmFrom = base::monotonicNow();
    std::vector<Counters> before;
    for (const PlatformHost &it : bed.entries)
        before.push_back(readCounters(it));
    std::this_thread::sleep_for(kCalm);
    load.stop();
    manifests.stop();
    Scorecard scorecard;
    const bool isFree = eventually(kFreeLimit, [&] { return replicas.reservations() == 0; });
    scorecard.check(Promise::MemoryReturns, isFree, "reservations are left");
    std::int64_t read = 0;
    CHECK(eventually(kRecoverLimit, [&] {
        read = versionIn(callOnce(bed.controls[0].listen, "GET", "/api/config/get").body);
        return read > 0;
    }));
    scorecard.check(Promise::ConfigurationHolds, read >= manifests.acknowledged(),
                    "the last acknowledged manifest is gone");
    for (std::size_t n = 0; n < bed.entries.size(); ++n)
        checkCounters(bed.entries[n], before[n], history.calls());
    replicas.stop();
    Checks checks(&history, replicas.runs(), replicas.traffic(), replicas.deadlyCrashes(),
                  &scorecard);
    checks.checkCalls();
    checks.checkLeaving();
    checks.checkReads();
    checks.checkKeys();
    int limitWindows = 0;
    const auto excesses = checks.rateLimitExcesses(limitWindows);
    const auto deadly = checks.deadlyExcesses();
    for (const std::string &it : faults.badStops())
        scorecard.check(Promise::GracefulStop, false, it);
    const auto served = std::count_if(history.calls().begin(), history.calls().end(),
                                      [](const auto &it) { return it.status == 200; });
    const auto isCalm = [calmFrom](const CallRecord &it) { return it.sentAt >= calmFrom; };
    const auto calm = std::count_if(history.calls().begin(), history.calls().end(), isCalm);
    const auto calmServed =
            std::count_if(history.calls().begin(), history.calls().end(),
                          [&](const CallRecord &it) { return isCalm(it) && it.status == 200; });
    std::cout << history.calls().size() << " calls, " << served << " served, "
              << history.acks().size() << " manifests, " << faults.stops() << " stops\n"
              << scorecard.text() << "request rate limits: " << limitWindows << " windows of 4 s, "
              << excesses.size() << " replicas over their limit\n"
              << replicas.deadlyCrashes().size() << " crashes by requests\n"
              << std::flush;
    for (const std::string &it : excesses)
        FAIL_CHECK(it);
    for (const std::string &it : deadly)
        FAIL_CHECK(it);
    CHECK(limitWindows > 0);
    for (const std::string &it : faults.unexpectedEnds())
        FAIL_CHECK(it);
    CHECK(scorecard.brokenInAll() == 0);
    CHECK(calm > 0);
    CHECK(calmServed * 2 >= calm);
}

} // namespace

TEST_CASE("under faults drawn from a seed the platform's programs keep the promises", "[soak]")
{
    const std::int64_t seconds = numberFrom("HYSSOP_SOAK_SECONDS", kDefaultSeconds);
    const std::int64_t seed = numberFrom("HYSSOP_SOAK_SEED", 20261204);
    soak(static_cast<std::uint64_t>(seed), base::Millis(seconds * 1'000));
}

TEST_CASE("seeds of the soak that failed once pass")
{
    // 1: a full disk and a killed control host left no majority; the check then asked for a quarter
    // of all calls to be served while none could be.
    // 714: requests that crash replicas went on while calls without faults were to be served.
    for (const std::uint64_t seed : {std::uint64_t(1), std::uint64_t(714)})
        soak(seed, base::Millis(kDefaultSeconds * 1'000));
}
