#include "Queries.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssop;
using namespace hyssop::control;
using nlohmann::json;

namespace {

const ledger::Owner kEntry{base::HostId("e1"), base::Incarnation(4)};

struct Rig
{
    Rig()
    {
        run(ledger::SubmitJob{base::JobId("job-hall-a-1"), base::TeamId("desk"), "first",
                              base::Millis(1'000)},
            10);
        run(ledger::SubmitJob{base::JobId("job-hall-a-2"), base::TeamId("other"), "second",
                              base::Millis(1'000)},
            20);
        run(ledger::TakeJob{base::JobId("job-hall-a-1"), kEntry}, 100);
    }

    void run(const ledger::Command &command, std::int64_t timeMs)
    {
        replog::Entry entry;
        entry.position = {replog::Term(1), replog::Index(++index)};
        entry.payload = ledger::encode(command, timeMs);
        home.apply(entry);
    }

    json ask(const std::string &topic, const json &body) const
    {
        QueryView view{base::HostId("c1"), base::DataCentreId("hall-a"), {}, {}};
        view.groups.push_back({"home-hall-a", &home, true});
        view.reporters.push_back({base::HostId("e1"), base::DataCentreId("hall-a"), 7, 40});
        const std::string answer = answerQuery({topic, body.dump()}, view);
        return answer.empty() ? json() : json::parse(answer);
    }

    ledger::Ledger home;
    std::int64_t index = 0;
};

} // namespace

TEST_CASE("a job is told by the host that keeps its group, and by no other")
{
    const Rig rig;
    const json found = rig.ask("job", {{"id", "job-hall-a-1"}});
    CHECK(found.at("found") == true);
    CHECK(found.at("job").at("request") == "first");
    CHECK(found.at("job").at("host") == "e1");
    CHECK(found.at("job").at("remainingMs") == 910);
    CHECK(rig.ask("job", {{"id", "job-hall-a-9"}}).at("found") == false);
    CHECK(rig.ask("job", {{"id", "job-hall-b-1"}}).is_null());
    CHECK(rig.ask("job", {{"id", 7}}).is_null());
}

TEST_CASE("lists hold a team's jobs or the open ones, without requests")
{
    const Rig rig;
    const json listed = rig.ask("jobs", {{"team", "desk"}}).at("jobs");
    REQUIRE(listed.size() == 1);
    CHECK_FALSE(listed[0].contains("request"));
    const json open = rig.ask("open-jobs", json::object()).at("jobs");
    REQUIRE(open.size() == 2);
    CHECK(open[0].at("id") == "job-hall-a-2");
    CHECK(open[0].at("state") == "waiting");
    CHECK(open[1].at("state") == "running");
}

TEST_CASE("the scope of a home group is told once the group has one, by a host that keeps it")
{
    Rig rig;
    const json asked{{"dataCentre", "hall-a"}};
    CHECK(rig.ask("scope", asked).is_null());
    rig.run(ledger::InitializeGroup{9'007'199'254'740'993}, 200);
    CHECK(rig.ask("scope", asked).at("incarnation") == "9007199254740993");
    CHECK(rig.ask("scope", asked).at("confirmed") == true);
    CHECK(rig.ask("scope", {{"dataCentre", "hall-b"}}).is_null());
}

TEST_CASE("reporters are told with their data centre, position and age; other topics are not")
{
    const Rig rig;
    const json hosts = rig.ask("reporters", json::object()).at("hosts");
    REQUIRE(hosts.size() == 1);
    CHECK(hosts[0].at("position") == 7);
    CHECK(hosts[0].at("ageMs") == 40);
    CHECK(rig.ask("weather", json::object()).is_null());
    const auto read = reportersFrom(rig.ask("reporters", json::object()).dump());
    REQUIRE(read.size() == 1);
    CHECK(read[0].host == base::HostId("e1"));
    CHECK(read[0].dataCentre == base::DataCentreId("hall-a"));
    CHECK(read[0].appliedIndex == 7);
    CHECK(read[0].ageMs == 40);
    CHECK(reportersFrom("").empty());
    CHECK(reportersFrom(R"({"hosts":[3,{"host":7}]})").empty());
}

TEST_CASE("a query for open jobs that names its host is a watch with a bounded time")
{
    const base::TimePoint now{std::chrono::hours(1)};
    const auto ask = [now](const json &body) {
        return jobWatchFrom({"open-jobs", body.dump()}, now);
    };
    const auto watch = ask({{"host", "e1"},
                            {"incarnation", 4},
                            {"held", {"job-hall-a-1", 7}},
                            {"room", 3},
                            {"waitMs", 3'600'000}});
    REQUIRE(watch);
    CHECK(watch->owner == kEntry);
    CHECK(watch->held == std::set<base::JobId>{base::JobId("job-hall-a-1")});
    CHECK(watch->room == 3);
    CHECK(watch->until == now + std::chrono::seconds(10));
    CHECK(ask({{"host", "e1"}, {"room", -1}, {"waitMs", -5}})->until == now);
    CHECK(ask({{"host", "e1"}, {"room", -1}})->room == 0);
    CHECK_FALSE(ask(json::object()));
    CHECK_FALSE(jobWatchFrom({"jobs", R"({"host":"e1"})"}, now));
}
