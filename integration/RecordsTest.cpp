#include "Calls.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>

using namespace hyssop;
using namespace hyssop::harness;
using operators::PutStatus;

namespace {

/// What a change may take until it is in force.
constexpr base::Millis kInForce{18'000};

nlohmann::json numbered(std::int64_t version)
{
    return route("numbered", version, {{"model", "saga"}, {"deadlineMs", 1'000 + version}});
}

std::int64_t versionAt(System &system, const Host &control, const std::string &name)
{
    const nlohmann::json body = system.client().get(control.operators, "/v1/records").json();
    if (!body.contains("records"))
        return -1;
    for (const nlohmann::json &record : body["records"]) {
        if (record.value("name", "") == name)
            return record.value("version", std::int64_t(0));
    }
    return 0;
}

std::vector<std::filesystem::path> filesBelow(const std::filesystem::path &folder)
{
    std::vector<std::filesystem::path> files;
    for (const auto &it : std::filesystem::recursive_directory_iterator(folder)) {
        if (it.is_regular_file())
            files.push_back(it.path());
    }
    return files;
}

/// The largest file of the global group's log.
std::filesystem::path globalLog(System &system)
{
    std::filesystem::path largest;
    std::uintmax_t size = 0;
    for (const auto &path : filesBelow(system.folder() / "control-1" / "global")) {
        if (std::filesystem::file_size(path) >= size) {
            size = std::filesystem::file_size(path);
            largest = path;
        }
    }
    REQUIRE(size > 0);
    return largest;
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace

TEST_CASE("of operators racing with one version one wins and the others see what won")
{
    System system;
    bringUp(system);
    const Host &control = system.host("control-1");
    for (std::int64_t version = 1; version <= 5; ++version) {
        std::vector<Pending> racers;
        for (int i = 0; i < 4; ++i) {
            nlohmann::json record = numbered(version);
            record["spec"]["deadlineMs"] = 5'000 + i;
            const std::string change = "race-" + std::to_string(version) + "-" + std::to_string(i);
            racers.push_back(startPut(system, control, record, change));
        }
        int winners = 0;
        for (const Pending &racer : racers) {
            const auto reply = operators::putReplyFromJson(racer.wait().body);
            REQUIRE(reply);
            if (reply->status == PutStatus::Accepted) {
                ++winners;
                continue;
            }
            CHECK(reply->status == PutStatus::Conflict);
            REQUIRE(reply->current);
            CHECK(reply->current->version.count() == version);
        }
        CHECK(winners == 1);
    }
}

TEST_CASE("a change sent again gets its first verdict, also after later changes and a restart")
{
    System system;
    bringUp(system);
    Host &control = system.host("control-1");
    REQUIRE(put(system, numbered(1), "first").status == PutStatus::Accepted);
    nlohmann::json loser = numbered(1);
    loser["spec"]["deadlineMs"] = 7;
    REQUIRE(put(system, loser, "loser").status == PutStatus::Conflict);
    for (std::int64_t version = 2; version <= 200; ++version) {
        const std::string change = "later-" + std::to_string(version);
        REQUIRE(put(system, numbered(version), change).status == PutStatus::Accepted);
    }
    CHECK(put(system, numbered(1), "first").status == PutStatus::Accepted);
    CHECK(put(system, loser, "loser").status == PutStatus::Conflict);
    system.kill(control);
    system.start(control);
    system.awaitReady(control);
    CHECK(put(system, numbered(1), "first").status == PutStatus::Accepted);
    CHECK(put(system, loser, "loser").status == PutStatus::Conflict);
    CHECK(versionAt(system, control, "numbered") == 200);
}

TEST_CASE("a control host killed and started again keeps hundreds of changes, and entries never "
          "fall back")
{
    System system;
    bringUp(system);
    Host &control = system.host("control-1");
    const Host &entry = system.host("entry-1-1");
    std::int64_t position = 0;
    for (std::int64_t version = 1; version <= 300; ++version) {
        const std::string change = "change-" + std::to_string(version);
        const operators::PutReply reply = put(system, numbered(version), change);
        REQUIRE(reply.status == PutStatus::Accepted);
        position = reply.logIndex;
    }
    REQUIRE(eventually(base::Millis(18'000), [&] { return appliedAt(system, entry) >= position; }));
    system.kill(control);
    CHECK(appliedAt(system, entry) >= position);
    system.start(control);
    system.awaitReady(control);
    CHECK(versionAt(system, control, "numbered") == 300);
    REQUIRE(put(system, numbered(301), "after").status == PutStatus::Accepted);
    CHECK(eventually(base::Millis(18'000), [&] { return appliedAt(system, entry) > position; }));
}

TEST_CASE("a change whose answer was lost gets its first verdict when it is sent again")
{
    Plan plan;
    plan.hasFaultLinks = true;
    System system(plan);
    bringUp(system);
    const Host &control = system.host("control-1");
    Host through;
    through.operators = control.operatorsThrough;
    system.faults().order("operators", control.name,
                          {{"action", "rules"}, {"direction", "backward"}, {"drop", true}});
    const Pending lost = startPut(system, through, numbered(1), "first");
    REQUIRE(eventually(base::Millis(18'000),
                       [&] { return versionAt(system, control, "numbered") == 1; }));
    const operators::PutReply second = put(system, numbered(2), "second");
    REQUIRE(second.status == PutStatus::Accepted);
    CHECK(lost.now().status == 0);
    system.client().drop(lost);

    system.faults().healAll();
    const auto again = operators::putReplyFromJson(
            startPut(system, through, numbered(1), "first").wait().body);
    REQUIRE(again);
    CHECK(again->status == PutStatus::Accepted);
    CHECK(again->logIndex < second.logIndex);
    const auto other = operators::putReplyFromJson(
            startPut(system, through, numbered(1), "third").wait().body);
    REQUIRE(other);
    CHECK(other->status == PutStatus::Conflict);
    CHECK(versionAt(system, control, "numbered") == 2);
}

TEST_CASE("a frozen control host holds no change up beyond 18 seconds, whoever watched it")
{
    Plan plan;
    plan.dataCentres = {"floro-sal", "forde-sal", "sogndal-sal"};
    plan.voters = 3;
    System system(plan);
    bringUp(system);
    // Each entry host watches the control host of its own data centre.
    Host &frozen = system.host("control-1");
    frozen.process->signal(SIGSTOP);
    operators::PutReply reply;
    const base::TimePoint start = base::monotonicNow();
    REQUIRE(eventually(kInForce, [&] {
        const Answer answer =
                startPut(system, system.host("control-2"), numbered(1), "frozen").wait();
        const auto verdict = operators::putReplyFromJson(answer.body);
        reply = verdict ? *verdict : operators::PutReply();
        return verdict && verdict->status == PutStatus::Accepted;
    }));
    for (const Host *entry : system.hosts(Role::Entry)) {
        INFO(entry->name);
        CHECK(eventually(kInForce, [&] { return appliedAt(system, *entry) >= reply.logIndex; }));
        CHECK(base::monotonicNow() - start < kInForce);
        CHECK(system.client().get(entry->platform, "/ready").body == "ready\n");
    }
    frozen.process->signal(SIGCONT);
}

TEST_CASE("each control host tells how far the entry hosts of every data centre are")
{
    Plan plan;
    plan.dataCentres = {"floro-sal", "forde-sal", "sogndal-sal"};
    plan.voters = 3;
    System system(plan);
    bringUp(system);
    const operators::PutReply reply = put(system, numbered(1), "gathered");
    REQUIRE(reply.status == PutStatus::Accepted);
    for (const Host *control : system.hosts(Role::Control)) {
        INFO(control->name);
        CHECK(eventually(kInForce, [&] {
            const auto status = statusOf(system, *control);
            if (!status)
                return false;
            const auto standings =
                    operators::propagationByDataCentre({*status}, {}, reply.logIndex);
            return standings.size() == plan.dataCentres.size()
                   && std::all_of(standings.begin(), standings.end(), [](const auto &it) {
                          return it.state == operators::PropagationState::InForce;
                      });
        }));
    }
}

TEST_CASE("without control hosts an entry stays ready and says that its records are stale")
{
    System system;
    bringUp(system);
    const Host &entry = system.host("entry-1-1");
    CHECK(metric(system, entry, "hyssop_records_stale") == 0);
    system.kill(system.host("control-1"));
    CHECK(eventually(kInForce, [&] { return metric(system, entry, "hyssop_records_stale") == 1; }));
    const Answer ready = system.client().get(entry.platform, "/ready");
    CHECK(ready.status == 200);
    CHECK(ready.body.find("records stale for") != std::string::npos);
    system.start(system.host("control-1"));
    CHECK(eventually(kInForce, [&] { return metric(system, entry, "hyssop_records_stale") == 0; }));
}

TEST_CASE("a full disk stops changes with a clear error and loses no accepted change")
{
    System system;
    bringUp(system);
    Host &control = system.host("control-1");
    system.stop(control);
    constexpr std::int64_t kDiskBytes = 48'000;
    system.start(control, kDiskBytes);
    system.awaitReady(control);
    std::int64_t accepted = 0;
    // Well beyond what the disk holds.
    for (std::int64_t version = 1; version <= 1'000; ++version) {
        const std::string change = "full-" + std::to_string(version);
        const Answer answer = startPut(system, control, numbered(version), change).wait();
        const auto reply = operators::putReplyFromJson(answer.body);
        if (!answer.isDone || !reply || reply->status != PutStatus::Accepted)
            break;
        accepted = version;
    }
    REQUIRE(accepted > 0);
    REQUIRE(accepted < 1'000);
    // It waits for room instead of ending.
    CHECK_FALSE(control.process->wait(base::Millis(3'000)));
    std::ifstream log(system.folder() / "control-1.log");
    const std::string text((std::istreambuf_iterator<char>(log)), {});
    CHECK(text.find("event=log_suspended") != std::string::npos);
    CHECK(text.find("event=log_failed") == std::string::npos);
    // With room again it goes on, and all that was accepted is there, also after a restart.
    control.process->liftFileLimit();
    int tries = 0;
    REQUIRE(eventually(base::Millis(10'000), [&] {
        const std::int64_t next = versionAt(system, control, "numbered") + 1;
        // A change keeps its first verdict, so each try is a change of its own.
        const std::string change = "room-" + std::to_string(++tries);
        return put(system, numbered(next), change).status == PutStatus::Accepted;
    }));
    ++accepted;
    system.kill(control);
    system.start(control);
    system.awaitReady(control);
    CHECK(versionAt(system, control, "numbered") >= accepted);
    CHECK(versionAt(system, control, "numbered") <= accepted + 1);
}

TEST_CASE("a torn tail is repaired and loses no accepted change")
{
    System system;
    bringUp(system);
    Host &control = system.host("control-1");
    for (std::int64_t version = 1; version <= 50; ++version) {
        const std::string change = "torn-" + std::to_string(version);
        REQUIRE(put(system, numbered(version), change).status == PutStatus::Accepted);
    }
    system.kill(control);
    const std::filesystem::path log = globalLog(system);
    const std::string whole = readFile(log);
    // What a later start would append, of which a crash leaves a part.
    system.start(control);
    system.awaitReady(control);
    REQUIRE(put(system, numbered(51), "torn-51").status == PutStatus::Accepted);
    system.kill(control);
    const std::string later = readFile(log).substr(whole.size());
    REQUIRE(later.size() > 100);
    for (const std::size_t part :
         {std::size_t(1), std::size_t(7), std::size_t(20), std::size_t(40)}) {
        std::ofstream(log, std::ios::trunc | std::ios::binary) << whole << later.substr(0, part);
        system.start(control);
        system.awaitReady(control);
        CHECK(versionAt(system, control, "numbered") == 50);
        system.kill(control);
    }
}

TEST_CASE("a log damaged in its middle stops the host with a clear error")
{
    System system;
    bringUp(system);
    Host &control = system.host("control-1");
    for (std::int64_t version = 1; version <= 50; ++version) {
        const std::string change = "damage-" + std::to_string(version);
        REQUIRE(put(system, numbered(version), change).status == PutStatus::Accepted);
    }
    system.kill(control);
    const std::filesystem::path log = globalLog(system);
    const auto middle = static_cast<std::streamoff>(std::filesystem::file_size(log) / 2);
    std::fstream file(log, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(middle);
    const char byte = static_cast<char>(file.get());
    file.seekp(middle);
    file.put(static_cast<char>(byte ^ 0x55));
    file.close();
    system.start(control);
    const std::optional<Exit> exit = control.process->wait(base::Millis(20'000));
    REQUIRE(exit);
    CHECK(exit->signal == 0);
    CHECK(exit->code != 0);
    std::ifstream text(system.folder() / "control-1.log");
    const std::string all((std::istreambuf_iterator<char>(text)), {});
    CHECK(all.find("event=start_failed") != std::string::npos);
    CHECK(all.find("damaged") != std::string::npos);
}
