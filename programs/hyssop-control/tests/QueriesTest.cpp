#include "Queries.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssop;
using namespace hyssop::control;
using nlohmann::json;

namespace {

const ledger::Owner kOwner{base::HostId("e1"), base::Incarnation(4)};

struct Fixture
{
    Fixture()
    {
        applyCommand(ledger::SubmitJob{base::JobId("job-hall-a-1"), base::TeamId("desk"), "first",
                                       base::Millis(1'000)},
                     10);
        applyCommand(ledger::SubmitJob{base::JobId("job-hall-a-2"), base::TeamId("other"), "second",
                                       base::Millis(1'000)},
                     20);
        applyCommand(ledger::TakeJob{base::JobId("job-hall-a-1"), kOwner}, 100);
    }

    void applyCommand(const ledger::Command &command, std::int64_t timeMs)
    {
        replog::Entry entry;
        entry.position = {replog::Term(1), replog::Index(++index)};
        entry.payload = ledger::encode(command, timeMs);
        home.apply(entry);
    }

    json query(const std::string &topic, const json &body) const
    {
        QueryView view{base::HostId("c1"), base::DataCentreId("hall-a"), {}, {}};
        view.groups.push_back({"home-hall-a", &home, true});
        view.entryHosts.push_back({base::HostId("e1"), base::DataCentreId("hall-a"), 7, 40});
        const std::string answer = answerQuery({topic, body.dump()}, view);
        return answer.empty() ? json() : json::parse(answer);
    }

    ledger::Ledger home;
    std::int64_t index = 0;
};

} // namespace

TEST_CASE("a job query is answered only by a host that stores the job's group")
{
    const Fixture fixture;
    const json found = fixture.query("job", {{"id", "job-hall-a-1"}});
    CHECK(found.at("found") == true);
    CHECK(found.at("job").at("request") == "first");
    CHECK(found.at("job").at("host") == "e1");
    CHECK(found.at("job").at("remainingMs") == 910);
    CHECK(fixture.query("job", {{"id", "job-hall-a-9"}}).at("found") == false);
    CHECK(fixture.query("job", {{"id", "job-hall-b-1"}}).is_null());
    CHECK(fixture.query("job", {{"id", 7}}).is_null());
}

TEST_CASE("job lists contain a team's jobs or the open ones, without requests")
{
    const Fixture fixture;
    const json listed = fixture.query("jobs", {{"team", "desk"}}).at("jobs");
    REQUIRE(listed.size() == 1);
    CHECK_FALSE(listed[0].contains("request"));
    const json open = fixture.query("open-jobs", json::object()).at("jobs");
    REQUIRE(open.size() == 2);
    CHECK(open[0].at("id") == "job-hall-a-2");
    CHECK(open[0].at("state") == "waiting");
    CHECK(open[1].at("state") == "running");
}

TEST_CASE("a scope query is answered once the home group has a scope, by a host that stores it")
{
    Fixture fixture;
    const json body{{"dataCentre", "hall-a"}};
    CHECK(fixture.query("scope", body).is_null());
    fixture.applyCommand(ledger::InitializeGroup{9'007'199'254'740'993}, 200);
    CHECK(fixture.query("scope", body).at("incarnation") == "9007199254740993");
    CHECK(fixture.query("scope", body).at("confirmed") == true);
    CHECK(fixture.query("scope", {{"dataCentre", "hall-b"}}).is_null());
}

TEST_CASE("a query for started hosts is answered in full only when they changed")
{
    Fixture fixture;
    const json body{{"dataCentre", "hall-a"}, {"revision", 0}};
    CHECK(fixture.query("started-hosts", body).at("revision") == 0);
    fixture.applyCommand(ledger::startOfEntryHost(kOwner), 200);
    const json answer = fixture.query("started-hosts", body);
    REQUIRE(answer.at("hosts").size() == 1);
    CHECK(answer.at("hosts")[0].at("host") == kOwner.host.text());
    CHECK(answer.at("hosts")[0].at("incarnation") == kOwner.incarnation.count());
    const json known{{"dataCentre", "hall-a"}, {"revision", answer.at("revision")}};
    CHECK_FALSE(fixture.query("started-hosts", known).contains("hosts"));
    CHECK(fixture.query("started-hosts", {{"dataCentre", "hall-b"}, {"revision", 0}}).is_null());
}

TEST_CASE("a reporters query returns data centre, position and age; unknown topics get no answer")
{
    const Fixture fixture;
    const json hosts = fixture.query("reporters", json::object()).at("hosts");
    REQUIRE(hosts.size() == 1);
    CHECK(hosts[0].at("position") == 7);
    CHECK(hosts[0].at("ageMs") == 40);
    CHECK(fixture.query("weather", json::object()).is_null());
    const auto entryHosts = parseEntryHosts(fixture.query("reporters", json::object()).dump());
    REQUIRE(entryHosts.size() == 1);
    CHECK(entryHosts[0].host == base::HostId("e1"));
    CHECK(entryHosts[0].dataCentre == base::DataCentreId("hall-a"));
    CHECK(entryHosts[0].appliedIndex == 7);
    CHECK(entryHosts[0].ageMs == 40);
    CHECK(parseEntryHosts("").empty());
    CHECK(parseEntryHosts(R"({"hosts":[3,{"host":7}]})").empty());
}

TEST_CASE("an open-jobs query that names a host is a watch with a bounded wait")
{
    const base::TimePoint now{std::chrono::hours(1)};
    const auto parseWatch = [now](const json &body) {
        return parseJobWatch({"open-jobs", body.dump()}, now);
    };
    const auto watch = parseWatch({{"host", "e1"},
                                   {"incarnation", 4},
                                   {"held", {"job-hall-a-1", 7}},
                                   {"room", 3},
                                   {"waitMs", 3'600'000}});
    REQUIRE(watch);
    CHECK(watch->owner == kOwner);
    CHECK(watch->knownJobs == std::set<base::JobId>{base::JobId("job-hall-a-1")});
    CHECK(watch->capacity == 3);
    CHECK(watch->deadline == now + std::chrono::seconds(10));
    CHECK(parseWatch({{"host", "e1"}, {"room", -1}, {"waitMs", -5}})->deadline == now);
    CHECK(parseWatch({{"host", "e1"}, {"room", -1}})->capacity == 0);
    CHECK_FALSE(parseWatch(json::object()));
    CHECK_FALSE(parseJobWatch({"jobs", R"({"host":"e1"})"}, now));
}
