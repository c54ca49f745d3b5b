#include "CallResolver.h"

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

CallResolver makeResolver(bool checksKeys)
{
    const std::string digest = base::sha256Hex("secret");
    CallResolver resolver(checksKeys);
    resolver.setCatalogue(records::Catalogue::build(
            {record(records::Kind::Team, "desk", R"({"keySha256":[")" + digest + R"("]})"),
             record(records::Kind::Team, "other", "{}"),
             record(records::Kind::Route, "notes",
                    R"({"model":"scribe","teams":["desk"],"deadlineMs":5000})"),
             record(records::Kind::Route, "tag", R"({"service":"tag","mayRepeat":false})")},
            nullptr));
    return resolver;
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

TEST_CASE("a missing or unknown key gives 401, a key of another team gives 403")
{
    const CallResolver resolver = makeResolver(true);
    CHECK(resolver.resolve(completion("desk"), kNow).error().status == 401);
    CHECK(resolver.resolve(completion("desk", "wrong"), kNow).error().status == 401);
    CHECK(resolver.resolve(completion("other", "secret"), kNow).error().status == 403);
    CHECK(resolver.resolve(completion("", "secret"), kNow)->team == base::TeamId("desk"));
}

TEST_CASE("without key checks the named team is accepted if it has a record")
{
    const CallResolver resolver = makeResolver(false);
    CHECK(resolver.resolve(completion("desk"), kNow).has_value());
    CHECK(resolver.resolve(completion("nobody"), kNow).error().code == "unknown_team");
    CHECK(resolver.resolve(completion("other"), kNow).error().code == "team_not_allowed");
}

TEST_CASE("a caller may shorten the route's deadline but not lengthen it")
{
    const CallResolver resolver = makeResolver(false);
    auto call = completion("desk");
    call.head.deadline = 2'000ms;
    CHECK(resolver.resolve(call, kNow)->info.deadline == kNow + 2s);
    call.head.deadline = 60'000ms;
    CHECK(resolver.resolve(call, kNow)->info.deadline == kNow + 5s);
}

TEST_CASE("a route is found only for its kind of upstream")
{
    const CallResolver resolver = makeResolver(false);
    auto asService = caller::ServiceCall();
    asService.head.team = "desk";
    asService.service = "notes";
    CHECK(resolver.resolve(asService, kNow).error().code == "unknown_route");
    asService.service = "tag";
    CHECK_FALSE(resolver.resolve(asService, kNow)->info.isRetrySafe);
    auto asCompletion = completion("desk");
    asCompletion.model = "tag";
    CHECK(resolver.resolve(asCompletion, kNow).error().code == "unknown_route");
}

TEST_CASE("without records every call is refused as not run")
{
    CallResolver resolver(false);
    const auto resolved = resolver.resolve(completion("desk"), kNow);
    REQUIRE_FALSE(resolved.has_value());
    CHECK(resolved.error().status == 503);
    CHECK(resolved.error().retryAfter > 0ms);
    CHECK(resolved.error().outcome == caller::Outcome::NotRun);
}
