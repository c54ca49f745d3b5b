#include "Calls.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::harness;
using operators::PutStatus;

namespace {

constexpr base::Millis kInForceLimit{18'000};

Plan threeCentres(bool hasFaultLinks)
{
    Plan plan;
    plan.dataCentres = {"floro-sal", "forde-sal", "sogndal-sal"};
    plan.voters = 3;
    plan.servicesEach = 1;
    plan.hasFaultLinks = hasFaultLinks;
    return plan;
}

/// Claims of an entry host that ended so.
double claimsOf(System &system, const Host &entry, const std::string &result)
{
    return metric(system, entry, "hyssop_claims_total", "result=\"" + result + "\"");
}

std::int64_t runsEverywhere(System &system, const std::string &key)
{
    std::int64_t runs = 0;
    for (const Host *service : system.hosts(Role::Service))
        runs += runsOf(system, *service, key);
    return runs;
}

} // namespace

TEST_CASE("a claim asked of any control host reaches the group's leader")
{
    System system(threeCentres(false));
    bringUp(system);
    for (Host *entry : system.hosts(Role::Entry)) {
        INFO(entry->name);
        CHECK(startBooking(system, *entry, "key-" + entry->name).wait().status == 200);
        CHECK(runsEverywhere(system, "key-" + entry->name) == 1);
    }
}

TEST_CASE("a data centre cut off goes on serving, refuses opaque keys, and joins again with "
          "nothing lost")
{
    System system(threeCentres(true));
    bringUp(system);
    Host &entry = *system.hosts(Role::Entry, "floro-sal").front();
    Host &outside = *system.hosts(Role::Entry, "forde-sal").front();
    Host &control = *system.hosts(Role::Control, "floro-sal").front();
    REQUIRE(startBooking(system, entry, "before").wait().status == 200);
    const std::int64_t heldBefore = appliedAt(system, entry);
    system.cutOff("floro-sal");

    Completion completion;
    const Completed completed = complete(system, entry, completion);
    CHECK(completed.isWhole);
    const Answer refused = startBooking(system, entry, "during").wait();
    CHECK(refused.status == 503);
    CHECK(refused.json()["error"].value("outcome", "") == "not_run");
    CHECK(refused.json()["error"].value("retry_after_ms", 0) > 0);

    // A host that cannot reach a majority accepts nothing, whether it led before or not.
    const auto isolated = operators::putReplyFromJson(
            startPut(system, control, team("office-7", 1, {{"weight", 7}}), "isolated")
                    .wait()
                    .body);
    REQUIRE(isolated);
    CHECK(isolated->status != PutStatus::Accepted);

    const auto accepted = put(system, team("office-8", 1, {{"weight", 8}}), "outside");
    REQUIRE(accepted.status == PutStatus::Accepted);
    CHECK(eventually(kInForceLimit,
                     [&] { return appliedAt(system, outside) >= accepted.logIndex; }));
    CHECK(appliedAt(system, entry) >= heldBefore);
    CHECK(appliedAt(system, entry) < accepted.logIndex);

    system.faults().healAll();
    CHECK(eventually(kInForceLimit, [&] { return appliedAt(system, entry) >= accepted.logIndex; }));
    CHECK(eventually(kInForceLimit,
                     [&] { return startBooking(system, entry, "during").wait().status == 200; }));
    CHECK(runsEverywhere(system, "before") == 1);
    CHECK(runsEverywhere(system, "during") == 1);
}

TEST_CASE("a data centre cut off on every link runs bookings with home-scoped keys exactly once")
{
    System system(threeCentres(true));
    bringUp(system);
    Host &entry = *system.hosts(Role::Entry, "floro-sal").front();
    system.cutOff("floro-sal");
    const Answer scope = askScope(system, entry);
    REQUIRE(scope.status == 200);
    CHECK(scope.json().value("data_centre", "") == "floro-sal");
    const std::string key = scope.json().value("key_prefix", "") + "order-1";

    const Answer first = startBooking(system, entry, key).wait();
    CHECK(first.status == 200);
    const Answer again = startBooking(system, entry, key).wait();
    CHECK(again.status == 200);
    CHECK(again.body == first.body);
    const Answer other = startBooking(system, entry, key, "{\"bikes\":3}").wait();
    CHECK(other.json()["error"].value("code", "") == "key_conflict");
    CHECK(runsEverywhere(system, key) == 1);
}

TEST_CASE("a home group that lost its disk refuses keys of its earlier incarnation as not run")
{
    Plan plan;
    plan.servicesEach = 1;
    System system(plan);
    bringUp(system);
    Host &entry = system.host("entry-1-1");
    Host &control = system.host("control-1");
    const std::string before = askScope(system, entry).json().value("key_prefix", "");
    REQUIRE(startBooking(system, entry, before + "order-1").wait().status == 200);
    system.kill(control);
    std::filesystem::remove_all(system.folder() / "control-1" / "home-floro-sal");
    system.start(control);
    system.awaitReady(control);

    Answer scope;
    REQUIRE(eventually(kInForceLimit, [&] {
        scope = askScope(system, entry);
        return scope.status == 200;
    }));
    const std::string after = scope.json().value("key_prefix", "");
    CHECK(after != before);
    for (const char *name : {"order-1", "order-2"}) {
        const Answer refused = startBooking(system, entry, before + name).wait();
        CHECK(refused.status == 409);
        CHECK(refused.json()["error"].value("code", "") == "key_scope");
        CHECK(refused.json()["error"].value("outcome", "") == "not_run");
    }
    CHECK(startBooking(system, entry, after + "order-2").wait().status == 200);
    CHECK(runsEverywhere(system, before + "order-1") == 1);
    CHECK(runsEverywhere(system, before + "order-2") == 0);
    CHECK(runsEverywhere(system, after + "order-2") == 1);
}

TEST_CASE("a data centre cut off refuses an opaque key after one question to its control host")
{
    System system(threeCentres(true));
    bringUp(system);
    Host &entry = *system.hosts(Role::Entry, "floro-sal").front();
    system.cutOff("floro-sal");
    int calls = 0;
    REQUIRE(eventually(kInForceLimit, [&] {
        CHECK(startBooking(system, entry, "cut-" + std::to_string(++calls)).wait().status == 503);
        return metric(system, entry, "hyssop_control_tries_failed_total", "no_quorum") > 0;
    }));
    constexpr int kRefused = 5;
    const double refusedBefore = claimsOf(system, entry, "not_recorded");
    const double unsureBefore = claimsOf(system, entry, "may_be_recorded");
    for (int i = 0; i < kRefused; ++i) {
        const Answer refused = startBooking(system, entry, "late-" + std::to_string(i)).wait();
        const auto error = refused.json()["error"];
        CHECK(error.value("code", "") == "claims_unreachable");
        CHECK(error.value("outcome", "") == "not_run");
        CHECK(error.value("retry_after_ms", 0) > 0);
    }
    // One claim each, with a certain answer: none was waited for or sent again.
    CHECK(claimsOf(system, entry, "not_recorded") == refusedBefore + kRefused);
    CHECK(claimsOf(system, entry, "may_be_recorded") == unsureBefore);
    system.faults().healAll();
    CHECK(eventually(kInForceLimit,
                     [&] { return startBooking(system, entry, "late-0").wait().status == 200; }));
    CHECK(runsEverywhere(system, "late-0") == 1);
}
