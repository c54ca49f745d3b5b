#include "Workload.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>

using namespace hyssop;
using namespace hyssop::harness;
using operators::PutStatus;

namespace {

constexpr base::Millis kRepairLimit{30'000};
constexpr std::uint64_t kSeed = 20261203;

Plan centres(int count)
{
    const std::vector<std::string> names{"floro-sal", "forde-sal", "sogndal-sal", "voss-sal"};
    Plan plan;
    plan.dataCentres.assign(names.begin(), names.begin() + count);
    plan.voters = 3;
    plan.servicesEach = 1;
    return plan;
}

/// Accepts that many changes of one record, one after the other.
class Changes
{
public:
    explicit Changes(System *system)
        : m_system(system)
    { }

    void add(int count)
    {
        for (int n = 0; n < count; ++n) {
            ++m_version;
            const auto reply = put(*m_system, team("office-9", m_version, {{"weight", m_version}}),
                                   "change-" + std::to_string(m_version));
            INFO(m_version << " " << reply.message);
            REQUIRE(reply.status == PutStatus::Accepted);
        }
    }
    /// Whether a control host comes to hold the last of them.
    bool reach(const Host &control) const
    {
        return eventually(kRepairLimit, [&] { return versionAt(control) == m_version; });
    }

private:
    std::int64_t versionAt(const Host &control) const
    {
        const auto body = m_system->client().get(control.operators, "/v1/records").json();
        if (!body.contains("records"))
            return -1;
        for (const auto &record : body["records"]) {
            if (record.value("name", "") == "office-9")
                return record.value("version", std::int64_t(0));
        }
        return 0;
    }

    System *m_system;
    std::int64_t m_version = 0;
};

/// How often control hosts logged a change of the global group's voters.
int votersChanges(System &system, const std::string &kind, const std::string &host)
{
    int found = 0;
    for (const Host *control : system.hosts(Role::Control)) {
        std::ifstream log(system.folder() / (control->name + ".log"));
        for (std::string line; std::getline(log, line);) {
            const bool isChange =
                    line.find("event=voters_change group=global kind=" + kind) != std::string::npos;
            found += isChange && line.find("replica=" + host + ".") != std::string::npos ? 1 : 0;
        }
    }
    return found;
}

/// The global group's leader among the hosts that run, other than \a spared.
Host &leaderBut(System &system, const Host &spared)
{
    Host *fallback = nullptr;
    for (Host *control : system.hosts(Role::Control)) {
        if (control == &spared || !control->process->isRunning())
            continue;
        fallback = control;
        const auto status = statusOf(system, *control);
        if (status && status->leader.starts_with(control->name + "."))
            return *control;
    }
    REQUIRE(fallback);
    return *fallback;
}

} // namespace

TEST_CASE("a second control host lost right after the repair of a first costs no change")
{
    System system(centres(3));
    bringUp(system);
    Changes changes(&system);
    changes.add(20);
    Host &repaired = system.host("control-2");
    system.kill(repaired);
    std::filesystem::remove_all(system.folder() / repaired.name);
    changes.add(1);
    system.start(repaired);
    REQUIRE(eventually(kRepairLimit,
                       [&] { return votersChanges(system, "promote", repaired.name) > 0; }));
    CHECK(votersChanges(system, "add_learner", repaired.name) > 0);
    CHECK(votersChanges(system, "remove", repaired.name) > 0);
    // Accepted after the promotion, so that one is committed too.
    changes.add(1);

    Host &second = leaderBut(system, repaired);
    system.kill(second);
    changes.add(5);
    CHECK(changes.reach(repaired));
    system.start(second);
    CHECK(changes.reach(second));
    CHECK(startBooking(system, system.host("entry-1-1"), "after").wait().status == 200);
}

// Guards against a control host that ends at each start when a segment file of its log is missing.
TEST_CASE("a control host whose log lacks a segment joins again by itself and costs no change")
{
    System system(centres(3));
    bringUp(system);
    Changes changes(&system);
    changes.add(20);
    Host &repaired = system.host("control-2");
    system.kill(repaired);
    const std::filesystem::path log = system.folder() / repaired.name / "global";
    // An empty segment whose number is beyond the next makes the one before it a missing one.
    REQUIRE(std::filesystem::exists(log / "segment-000000000001"));
    const std::ofstream later(log / "segment-000000000999");
    changes.add(1);
    system.start(repaired);
    REQUIRE(eventually(kRepairLimit,
                       [&] { return votersChanges(system, "promote", repaired.name) > 0; }));
    CHECK(votersChanges(system, "remove", repaired.name) > 0);
    CHECK(std::filesystem::exists(log / "incomplete-log-1" / "segment-000000000001"));
    changes.add(1);
    CHECK(changes.reach(repaired));
}

TEST_CASE("a rolling restart of hosts with several voters under load cuts off, loses and doubles "
          "nothing")
{
    System system(centres(3));
    bringUp(system);
    Changes changes(&system);
    Scorecard scorecard;
    WorkloadOptions options;
    options.seed = kSeed;
    INFO("seed " << kSeed);
    Workload workload(&system, &scorecard, options);
    workload.runFor(base::Millis(500));
    for (const Role role : {Role::Control, Role::Entry}) {
        for (Host *host : system.hosts(role)) {
            workload.restart(*host);
            changes.add(1);
        }
    }
    workload.drain();
    workload.checkBookings();
    INFO(scorecard.text());
    CHECK(workload.answered() > 20);
    CHECK(workload.failed() == 0);
    CHECK(scorecard.brokenInAll() == 0);
    for (const Host *control : system.hosts(Role::Control))
        CHECK(changes.reach(*control));
}

TEST_CASE("a change of the control group gives a new host the vote of another and loses no change")
{
    System system(centres(4));
    bringUp(system);
    Changes changes(&system);
    changes.add(10);
    Host &added = system.host("control-4");
    Host &removed = system.host("control-3");
    system.stop(added);
    auto &arguments = added.arguments;
    const auto voters = std::find(arguments.begin(), arguments.end(), "--global-voters") + 1;
    *voters += "," + added.name + "=" + added.peers.text();
    system.start(added);
    system.awaitReady(added);

    nlohmann::json spec{{"voters", nlohmann::json::array()}};
    for (const char *name : {"control-1", "control-2", "control-4"}) {
        const Host &host = system.host(name);
        spec["voters"].push_back({{"host", host.name},
                                  {"address", host.peers.text()},
                                  {"dataCentre", host.dataCentre}});
    }
    const nlohmann::json record{{"schema", 1},
                                {"kind", "control-group"},
                                {"name", "global"},
                                {"version", 1},
                                {"spec", spec}};
    const auto reply = put(system, record, "move");
    INFO(reply.message);
    REQUIRE(reply.status == PutStatus::Accepted);
    REQUIRE(eventually(kRepairLimit, [&] {
        return votersChanges(system, "promote", added.name) > 0
               && votersChanges(system, "remove", removed.name) > 0;
    }));
    changes.add(1);

    // Entry hosts near the host that left are served through it.
    CHECK(startBooking(system, system.host("entry-3-1"), "through").wait().status == 200);
    system.kill(removed);
    system.kill(leaderBut(system, added));
    changes.add(5);
    CHECK(changes.reach(added));
}
