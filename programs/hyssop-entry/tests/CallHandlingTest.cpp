#include "CallHandling.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::entry;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint kNow{std::chrono::seconds(1'000)};

records::Record record(records::Kind kind, const std::string &name, const std::string &spec)
{
    return {kind, name, 1, records::Version(1), spec};
}

CallHandling handling(bool checksKeys)
{
    const std::string digest = base::sha256Hex("secret");
    CallHandling calls(checksKeys);
    calls.setCatalogue(records::Catalogue::build(
            {record(records::Kind::Team, "desk", R"({"keySha256":[")" + digest + R"("]})"),
             record(records::Kind::Team, "other", "{}"),
             record(records::Kind::Route, "notes",
                    R"({"model":"scribe","teams":["desk"],"deadlineMs":5000})"),
             record(records::Kind::Route, "tag", R"({"service":"tag","mayRepeat":false})")},
            nullptr));
    return calls;
}

caller::CompletionCall completion(const std::string &team, const std::string &key = "")
{
    caller::CompletionCall call;
    call.head.team = team;
    call.head.bearerKey = key;
    call.model = "notes";
    call.prompt = "what changed";
    call.maxTokens = 8;
    return call;
}

} // namespace

TEST_CASE("a missing or unknown key is 401, another team's key 403")
{
    const CallHandling calls = handling(true);
    CHECK(calls.read(completion("desk"), kNow).error().status == 401);
    CHECK(calls.read(completion("desk", "wrong"), kNow).error().status == 401);
    CHECK(calls.read(completion("other", "secret"), kNow).error().status == 403);
    CHECK(calls.read(completion("", "secret"), kNow)->team == base::TeamId("desk"));
}

TEST_CASE("without keys the named team counts, if it has a record")
{
    const CallHandling calls = handling(false);
    CHECK(calls.read(completion("desk"), kNow).has_value());
    CHECK(calls.read(completion("nobody"), kNow).error().code == "unknown_team");
    CHECK(calls.read(completion("other"), kNow).error().code == "team_not_allowed");
}

TEST_CASE("a caller may shorten the route's deadline but not lengthen it")
{
    const CallHandling calls = handling(false);
    auto call = completion("desk");
    call.head.deadline = 2'000ms;
    CHECK(calls.read(call, kNow)->info.deadline == kNow + 2s);
    call.head.deadline = 60'000ms;
    CHECK(calls.read(call, kNow)->info.deadline == kNow + 5s);
}

TEST_CASE("a route is found for its own kind of upstream only")
{
    const CallHandling calls = handling(false);
    auto asService = caller::ServiceCall();
    asService.head.team = "desk";
    asService.service = "notes";
    CHECK(calls.read(asService, kNow).error().code == "unknown_route");
    asService.service = "tag";
    CHECK_FALSE(calls.read(asService, kNow)->info.mayRepeat);
    auto asCompletion = completion("desk");
    asCompletion.model = "tag";
    CHECK(calls.read(asCompletion, kNow).error().code == "unknown_route");
}

TEST_CASE("before any records every call is refused as not run")
{
    CallHandling calls(false);
    const auto asked = calls.read(completion("desk"), kNow);
    REQUIRE_FALSE(asked.has_value());
    CHECK(asked.error().status == 503);
    CHECK(asked.error().retryAfter > 0ms);
    CHECK(asked.error().outcome == caller::Outcome::NotRun);
}
