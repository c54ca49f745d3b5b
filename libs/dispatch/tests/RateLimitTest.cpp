// Rate limits that upstreams state, as an entry host follows them.

#include "FirstAction.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::dispatch;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const base::ServiceId kPlain("plain");
const base::ServiceId kModel("model");

class Fixture
{
public:
    explicit Fixture(int upstreamCount, const base::ServiceId &ofService = kPlain)
        : service(ofService)
        , dispatcher({base::HostId("e"), base::DataCentreId("a")})
    {
        fleet::EngineSpec engine;
        engine.slots = 16;
        engine.kvTokens = base::Tokens(315'000);
        engine.stepsPerPass = 51;
        engine.stepMs = 0.85;
        engine.prefillTokensPerMs = 177;
        engine.msPerMillionPairs = 0.184;
        engine.meanAnswerTokens = base::Tokens(1'600);
        dispatcher.handle(ServicesChanged{{{kModel, engine, Millis(250), Millis(1'000)},
                                           {kPlain, {}, {}, {}}}},
                          kStart);
        for (int n = 0; n < upstreamCount; ++n)
            dispatcher.handle(UpstreamUpdated{upstream(n)}, kStart);
    }

    fleet::Upstream upstream(int n, std::int64_t incarnation = 1) const
    {
        fleet::Upstream it;
        it.id = base::UpstreamId("u" + std::to_string(n));
        it.service = service;
        it.address = {"127.0.0.1", static_cast<std::uint16_t>(8'000 + n)};
        it.dataCentre = base::DataCentreId("a");
        it.incarnation = base::Incarnation(incarnation);
        it.slots = 6;
        return it;
    }

    /// What a control host knows of upstream \a n.
    Actions limit(int n, std::int64_t rate, base::TimePoint at = kStart)
    {
        const fleet::RateLimitReport report{upstream(n).id, base::Incarnation(1),
                                            fleet::RequestRate(rate)};
        return dispatcher.handle(RateLimitsReceived{{report}, at}, at);
    }

    CallInfo call(base::TimePoint at = kStart)
    {
        CallInfo call;
        call.id = CallId(++lastCall);
        call.service = service;
        call.arrivedAt = at;
        call.deadline = at + Millis(600);
        call.latencyObjective = Millis(100);
        return call;
    }

    Actions arrive(base::TimePoint at = kStart)
    {
        return dispatcher.handle(CallArrived{call(at)}, at);
    }

    SendGrantReceived reply(const char *upstreamId, int count, base::TimePoint requestedAt,
                            Millis retryAfter = Millis(0)) const
    {
        SendGrantReceived event;
        event.service = service;
        event.isWaiting = true;
        event.requestedAt = requestedAt;
        event.reply = {base::UpstreamId(upstreamId), count, retryAfter};
        return event;
    }

    const base::ServiceId service;
    Dispatcher dispatcher;
    std::int64_t lastCall = 0;
};

} // namespace

TEST_CASE("a host with a fresh answer without a limit takes over one that a control host tells")
{
    Fixture fixture(1);
    REQUIRE(first<SendAttempt>(fixture.arrive()));
    const CallId call(fixture.lastCall);
    const auto answeredAt = kStart + Millis(5);
    fixture.dispatcher.handle(RateLimitStated{call, fleet::kUnlimitedRate}, answeredAt);
    fixture.dispatcher.handle(AttemptSucceeded{call}, answeredAt);
    // Stated to another host 20 ms later, while this one's watch was held.
    const fleet::RateLimitReport report{fixture.upstream(0).id, base::Incarnation(1),
                                        fleet::RequestRate(200), Millis(2), Millis(1)};
    const auto at = kStart + Millis(26);
    CHECK(first<RateLimitChanged>(
            fixture.dispatcher.handle(RateLimitsReceived{{report}, at - Millis(480)}, at)));
}

TEST_CASE("a limited upstream gets no call without a grant, and calls move to the others")
{
    Fixture fixture(2);
    fixture.limit(0, 2'000);
    for (int n = 0; n < 6; ++n) {
        const Actions actions = fixture.arrive();
        REQUIRE(first<SendAttempt>(actions));
        CHECK(first<SendAttempt>(actions)->upstream.id.text() == "u1");
    }
}

TEST_CASE("a call that only limited upstreams can serve waits for a grant and uses it once")
{
    Fixture fixture(1);
    fixture.limit(0, 2'000);
    const Actions waiting = fixture.arrive();
    const auto *request = first<RequestSendGrant>(waiting);
    REQUIRE(request);
    CHECK(request->isWaiting);
    CHECK_FALSE(first<SendAttempt>(waiting));
    // A second one waits for the answer to the same request.
    CHECK_FALSE(first<RequestSendGrant>(fixture.arrive(kStart + Millis(1))));
    const base::TimePoint at = kStart + Millis(5);
    const Actions granted = fixture.dispatcher.handle(fixture.reply("u0", 1, kStart), at);
    REQUIRE(first<SendAttempt>(granted));
    CHECK(first<SendAttempt>(granted)->call == CallId(1));
    CHECK(first<RequestSendGrant>(granted));
}

TEST_CASE("a grant that arrives late or is kept too long is not used")
{
    Fixture fixture(1);
    fixture.limit(0, 2'000);
    REQUIRE(first<RequestSendGrant>(fixture.arrive()));
    // The host was paused for two seconds.
    const base::TimePoint late = kStart + Millis(2'000);
    CHECK_FALSE(
            first<SendAttempt>(fixture.dispatcher.handle(fixture.reply("u0", 1, kStart), late)));
    fixture.dispatcher.tick(late);
    fixture.arrive(late);
    fixture.dispatcher.handle(CallerDisconnected{CallId(2)}, late);
    fixture.dispatcher.handle(fixture.reply("u0", 1, late), late);
    CHECK_FALSE(first<SendAttempt>(fixture.arrive(late + Millis(1'100))));
}

TEST_CASE("a call that gets no grant in time is rejected at once with a time to come back")
{
    Fixture fixture(1);
    fixture.limit(0, 1'000);
    REQUIRE(first<RequestSendGrant>(fixture.arrive()));
    const Actions denied =
            fixture.dispatcher.handle(fixture.reply("", 0, kStart, Millis(900)), kStart);
    const auto *rejected = first<RejectCall>(denied);
    REQUIRE(rejected);
    CHECK(rejected->blocker == QueueBlocker::RateLimit);
    CHECK(rejected->retryAfter > Millis(0));
    // So is the next one, without another request.
    const Actions next = fixture.arrive(kStart + Millis(10));
    CHECK(first<RejectCall>(next));
    CHECK_FALSE(first<RequestSendGrant>(next));
}

TEST_CASE("a limit ends with an answer that states none, and with the next start of the upstream")
{
    Fixture fixture(1);
    const auto sent = [&](base::TimePoint at) {
        return first<SendAttempt>(fixture.arrive(at)) != nullptr;
    };
    REQUIRE(sent(kStart));
    const Actions stated = fixture.dispatcher.handle(
            RateLimitStated{CallId(1), fleet::RequestRate(500)}, kStart + Millis(20));
    CHECK(first<RateLimitChanged>(stated));
    CHECK(first<ReportRateLimit>(stated));
    CHECK_FALSE(sent(kStart + Millis(30)));
    fixture.dispatcher.handle(UpstreamUpdated{fixture.upstream(0, 2)}, kStart + Millis(40));
    CHECK(sent(kStart + Millis(50)));
    // An answer of the former start says nothing of the new one.
    fixture.dispatcher.handle(RateLimitStated{CallId(1), fleet::RequestRate(500)},
                              kStart + Millis(60));
    CHECK(sent(kStart + Millis(70)));
}

TEST_CASE("after a restart of the upstream an older announcement does not revive its limit")
{
    Fixture fixture(1);
    fixture.dispatcher.handle(UpstreamUpdated{fixture.upstream(0, 2)}, kStart);
    fixture.limit(0, 1'000);
    CHECK(first<SendAttempt>(fixture.arrive()));
}

TEST_CASE("retries and resumed streams to a limited upstream need a grant too")
{
    Fixture fixture(2);
    CallInfo info = fixture.call();
    info.isRetrySafe = true;
    info.maxAttempts = 2;
    REQUIRE(first<SendAttempt>(fixture.dispatcher.handle(CallArrived{info}, kStart)));
    fixture.limit(0, 1'000);
    fixture.limit(1, 1'000);
    const Actions failed = fixture.dispatcher.handle(
            AttemptFailed{info.id, AttemptFault::AnswerLost, {}}, kStart + Millis(1));
    CHECK_FALSE(first<SendAttempt>(failed));
    CHECK(first<RequestSendGrant>(failed));
}

TEST_CASE("prompts move to engines without a limit, and a limited engine still helps to prefill")
{
    Fixture fixture(4, kModel);
    fixture.limit(0, 2'000);
    fixture.limit(1, 2'000);
    for (int n = 0; n < 8; ++n) {
        CallInfo info = fixture.call();
        info.isStream = true;
        info.promptTokens = base::Tokens(5'000);
        info.maxOutputTokens = base::Tokens(500);
        info.deadline = kStart + Millis(10'000);
        info.latencyObjective = Millis(300);
        info.gapObjective = Millis(250);
        const Actions actions = fixture.dispatcher.handle(CallArrived{info}, kStart);
        REQUIRE(first<SendAttempt>(actions));
        const std::string id = first<SendAttempt>(actions)->upstream.id.text();
        CHECK((id == "u2" || id == "u3"));
    }
}

TEST_CASE("an engine with a rate limit holds no memory for another engine's prompt")
{
    Fixture fixture(6, kModel);
    fixture.limit(0, 2'000);
    fixture.limit(1, 2'000);
    CallInfo info = fixture.call();
    info.isStream = true;
    info.promptTokens = base::Tokens(500'000);
    info.maxOutputTokens = base::Tokens(500);
    info.deadline = kStart + Millis(15'000);
    info.latencyObjective = Millis(6'000);
    info.gapObjective = Millis(1'000);
    REQUIRE(first<RequestPermit>(fixture.dispatcher.handle(CallArrived{info}, kStart)));
    const Actions actions = fixture.dispatcher.handle(PermitGranted{info.id}, kStart);
    const auto *reserve = first<ReserveMemory>(actions);
    REQUIRE(reserve);
    for (const Helper &it : reserve->helpers) {
        if (it.upstream.id.text() == "u0" || it.upstream.id.text() == "u1")
            CHECK(it.kvTokens == base::Tokens());
    }
}

TEST_CASE("grants are requested ahead only beside upstreams without a limit")
{
    Fixture fixture(2);
    fixture.limit(0, 2'000);
    const Actions actions = fixture.arrive();
    const auto *request = first<RequestSendGrant>(actions);
    REQUIRE(request);
    CHECK_FALSE(request->isWaiting);
    REQUIRE(request->limits.size() == 1);
    CHECK(request->limits.front().upstream.text() == "u0");
}

TEST_CASE("orders to a limited upstream are reported, others are not")
{
    Fixture fixture(2);
    fixture.limit(0, 2'000);
    const Actions limited =
            fixture.dispatcher.handle(OrderSent{base::UpstreamId("u0")}, kStart + Millis(1));
    REQUIRE(first<ReportRateLimit>(limited));
    CHECK(first<ReportRateLimit>(limited)->limit.unplannedRequests == 1);
    CHECK_FALSE(first<ReportRateLimit>(
            fixture.dispatcher.handle(OrderSent{base::UpstreamId("u1")}, kStart + Millis(1))));
}
