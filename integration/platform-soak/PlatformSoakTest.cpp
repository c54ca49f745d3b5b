// The programs of the users' platform under faults drawn from a seed.

#include "Checks.h"
#include "Faults.h"
#include "Load.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

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
    const base::TimePoint end = base::monotonicNow() + length;
    while (base::monotonicNow() < end) {
        faults.tick(base::monotonicNow());
        std::this_thread::sleep_for(kTick);
    }
    faults.stop();
    load.stopCrashes();
    replicas.dropLimits();
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
    const base::TimePoint calmFrom = base::monotonicNow();
    std::this_thread::sleep_for(kCalm);
    load.stop();
    manifests.stop();
    Scorecard scorecard;
    const bool isFree = eventually(kFreeLimit, [&] { return replicas.reservations() == 0; });
    scorecard.check(Promise::MemoryReturns, isFree, "reservations are left");
    const std::string last = Operator::textOf(manifests.acknowledged());
    std::int64_t read = 0;
    CHECK(eventually(kRecoverLimit, [&] {
        read = versionIn(callOnce(bed.controls[0].listen, "GET", "/api/config/get").body);
        return read > 0;
    }));
    scorecard.check(Promise::ConfigurationHolds, read >= manifests.acknowledged(),
                    "the last acknowledged manifest is gone");
    replicas.stop();
    Checks checks(&history, replicas.runs(), &scorecard);
    checks.checkCalls();
    checks.checkLeaving();
    checks.checkReads();
    checks.checkKeys();
    int limitWindows = 0;
    const auto excesses = checks.rateLimitExcesses(replicas.traffic(), limitWindows);
    const auto deadly = checks.deadlyExcesses(replicas.traffic(), replicas.deadlyCrashes());
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
