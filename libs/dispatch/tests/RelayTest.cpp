#include "FirstAction.h"
#include "LinkMonitor.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace hyssop;
using namespace hyssop::dispatch;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

/// A host with upstreams of one service and two other hosts.
class Fixture
{
public:
    static DispatcherOptions defaultOptions()
    {
        DispatcherOptions options;
        options.host = base::HostId("e");
        options.dataCentre = base::DataCentreId("a");
        return options;
    }

    explicit Fixture(int upstreams = 6, DispatcherOptions options = defaultOptions())
        : dispatcher(std::move(options))
    {
        dispatcher.handle(ServicesChanged{{{kService, {}, {}, {}}}}, kStart);
        for (int n = 0; n < upstreams; ++n) {
            fleet::Upstream it;
            it.id = base::UpstreamId("u" + std::to_string(n));
            it.service = kService;
            it.address = {"127.0.0.1", static_cast<std::uint16_t>(8'000 + n)};
            it.dataCentre = base::DataCentreId(n % 2 == 0 ? "a" : "b");
            it.slots = 6;
            dispatcher.handle(UpstreamUpdated{it}, kStart);
        }
        dispatcher.handle(RelayPeersChanged{{{{"127.0.0.2", 1}, base::DataCentreId("a")},
                                             {{"127.0.0.3", 1}, base::DataCentreId("b")}}},
                          kStart);
    }

    CallInfo call(bool isRetrySafe = false)
    {
        CallInfo info;
        info.id = CallId(++lastCall);
        info.service = kService;
        info.isRetrySafe = isRetrySafe;
        info.maxAttempts = 2;
        info.arrivedAt = kStart;
        info.deadline = kStart + Millis(4'000);
        info.latencyObjective = Millis(300);
        return info;
    }

    Actions arrive(const CallInfo &info, base::TimePoint now = kStart)
    {
        return noted(dispatcher.handle(CallArrived{info}, now));
    }

    Actions fail(CallId id, AttemptFault fault, base::TimePoint now = kStart)
    {
        return noted(dispatcher.handle(AttemptFailed{id, fault, {}}, now));
    }

    /// Answers or fails the next probe of a link that was begun.
    Actions endProbe(bool isAnswered, base::TimePoint now = kStart)
    {
        REQUIRE_FALSE(probes.empty());
        const base::UpstreamId upstream = probes.front();
        probes.pop_front();
        return noted(dispatcher.handle(LinkProbed{kService, isAnswered, upstream}, now));
    }

    /// Loses the answer of a call and all probes that follow, until the links count as lost.
    /// Returns the last actions.
    Actions loseLinks()
    {
        if (probes.empty()) {
            const CallInfo info = call();
            REQUIRE(first<SendAttempt>(arrive(info)));
            fail(info.id, AttemptFault::AnswerLost);
        }
        for (int n = 0; n < 20; ++n) {
            const Actions actions = endProbe(false);
            if (first<LinksChanged>(actions))
                return actions;
        }
        FAIL("the links do not count as lost");
        return {};
    }

    const base::ServiceId kService{"s"};
    std::int64_t lastCall = 0;
    Dispatcher dispatcher;
    std::deque<base::UpstreamId> probes; ///< Upstreams whose probes have not ended.

private:
    Actions noted(Actions actions)
    {
        for (const Action &it : actions) {
            if (const auto *probe = std::get_if<ProbeLink>(&it))
                probes.push_back(probe->upstream.id);
        }
        return actions;
    }
};

} // namespace

TEST_CASE("a host that reaches no upstream relays its calls, and probes the links meanwhile")
{
    Fixture fixture;
    const Actions lost = fixture.loseLinks();
    CHECK(first<LinksChanged>(lost)->isLost);
    CHECK(first<ProbeLink>(lost));
    const CallInfo info = fixture.call();
    const Actions actions = fixture.arrive(info);
    const auto *relay = first<RelayCall>(actions);
    REQUIRE(relay);
    CHECK(relay->reason == RelayReason::LinksLost);
    // Of two attempts one is kept back, in case that the relay is lost.
    CHECK(relay->attemptsLeft == 1);
    CHECK_FALSE(first<SendAttempt>(actions));
    // Its answer ends it, and does not show that the links are back.
    CHECK_FALSE(first<LinksChanged>(
            fixture.dispatcher.handle(AttemptSucceeded{info.id}, kStart + Millis(10))));
    CHECK(first<RelayCall>(fixture.arrive(fixture.call(), kStart + Millis(20))));
}

// A relayed call takes its body to the other host, which may be in another region.
TEST_CASE("a call is relayed only to hosts in the regions that it must not leave")
{
    DispatcherOptions options = Fixture::defaultOptions();
    options.regions = {{base::DataCentreId("a"), "r1"}, {base::DataCentreId("b"), "r2"}};
    Fixture fixture(6, options);
    fixture.loseLinks();
    const auto relayOf = [&](const fleet::RegionSet &regions) {
        CallInfo info = fixture.call();
        info.allowedRegions = regions;
        const Actions actions = fixture.arrive(info);
        const auto *relay = first<RelayCall>(actions);
        // Without a host to relay it to, a call is tried at the upstreams that it may go to.
        if (const auto *attempt = first<SendAttempt>(actions)) {
            CHECK_FALSE(relay);
            CHECK(regions->contains(options.regions.at(attempt->upstream.dataCentre)));
        }
        return relay ? relay->peer.address : std::string();
    };
    for (int n = 0; n < 8; ++n) {
        CHECK(relayOf(std::set<std::string>{"r1"}) == "127.0.0.2");
        CHECK(relayOf(std::set<std::string>{"r2"}) == "127.0.0.3");
    }
    CHECK(relayOf(std::set<std::string>{"r3"}).empty());
    CHECK(relayOf(std::set<std::string>()).empty());
    CHECK_FALSE(relayOf(std::nullopt).empty());
    // Control hosts of earlier builds do not tell the data centres of the hosts.
    fixture.dispatcher.handle(RelayPeersChanged{{{{"127.0.0.4", 1}, {}}}}, kStart);
    CHECK(relayOf(std::set<std::string>{"r1", "r2"}).empty());
    CHECK_FALSE(relayOf(std::nullopt).empty());
}

TEST_CASE("calls that are queued when the links are lost are relayed")
{
    Fixture fixture(3);
    std::vector<CallInfo> calls;
    for (int n = 0; n < 25; ++n) {
        calls.push_back(fixture.call());
        fixture.arrive(calls.back());
    }
    int relayed = 0;
    for (int n = 0; n < 18; ++n) {
        for (const Action &it :
             fixture.fail(calls[static_cast<std::size_t>(n)].id, AttemptFault::AnswerLost))
            relayed += std::holds_alternative<RelayCall>(it) ? 1 : 0;
    }
    CHECK(relayed > 0);
    CHECK(fixture.dispatcher.stats(kStart).queued == 0);
}

TEST_CASE("one upstream that loses its answers does not make others unreachable")
{
    LinkMonitor links;
    const base::UpstreamId upstream("u");
    for (int n = 0; n < 20; ++n)
        CHECK_FALSE(links.recordFailure(upstream, 6, kStart + Millis(n), kStart + Millis(n)));
    CHECK_FALSE(links.isLost());
}

TEST_CASE("upstreams that fail one after the other, with answers between, do not count as "
          "unreachable")
{
    LinkMonitor links;
    for (int n = 0; n < 20; ++n) {
        const base::UpstreamId upstream("u" + std::to_string(n));
        const base::TimePoint now = kStart + Millis(10 * n);
        CHECK_FALSE(links.recordFailure(upstream, 30, now, now));
        links.recordAnswer(base::UpstreamId("good"), now + Millis(1));
    }
}

TEST_CASE("answers on connections that were open before do not hide that no new ones are made")
{
    LinkMonitor links;
    links.recordFailure(base::UpstreamId("u1"), 6, kStart, kStart);
    links.recordAnswer(base::UpstreamId("old"), kStart - Millis(500));
    links.recordFailure(base::UpstreamId("u2"), 6, kStart, kStart);
    CHECK(links.recordFailure(base::UpstreamId("u3"), 6, kStart, kStart));
    CHECK_FALSE(links.recordAnswer(base::UpstreamId("old"), kStart - Millis(500)));
    CHECK(links.isLost());
}

TEST_CASE("a call whose attempts reach no upstream is relayed before the links count as lost")
{
    Fixture fixture;
    const CallInfo info = fixture.call();
    REQUIRE(first<SendAttempt>(fixture.arrive(info)));
    CHECK(first<SendAttempt>(fixture.fail(info.id, AttemptFault::NotSent)));
    const Actions actions = fixture.fail(info.id, AttemptFault::NotSent);
    const auto *relay = first<RelayCall>(actions);
    REQUIRE(relay);
    CHECK(relay->reason == RelayReason::NotSent);
}

TEST_CASE("links of which a probe is answered are used again, also for calls that run once only")
{
    Fixture fixture;
    fixture.loseLinks();
    const Actions silent =
            fixture.dispatcher.handle(LinkProbed{fixture.kService, false}, kStart + Millis(50));
    CHECK_FALSE(first<LinksChanged>(silent));
    CHECK(first<RelayCall>(fixture.arrive(fixture.call(), kStart + Millis(60))));
    CHECK(first<ProbeLink>(fixture.dispatcher.tick(kStart + Millis(400))));
    const Actions answered =
            fixture.dispatcher.handle(LinkProbed{fixture.kService, true}, kStart + Millis(450));
    const auto *changed = first<LinksChanged>(answered);
    REQUIRE(changed);
    CHECK_FALSE(changed->isLost);
    // Also by upstreams that were ejected while the links were lost.
    for (int n = 0; n < 6; ++n)
        CHECK(first<SendAttempt>(fixture.arrive(fixture.call(), kStart + Millis(460))));
}

TEST_CASE("upstreams that pause for a second while others answer do not count as unreachable")
{
    LinkMonitor links;
    for (int n = 0; n < 4; ++n) {
        const base::TimePoint sentAt = kStart + Millis(100 * n);
        links.recordAnswer(base::UpstreamId("good"), sentAt + Millis(700));
        CHECK_FALSE(links.recordFailure(base::UpstreamId("u" + std::to_string(n)), 8, sentAt,
                                        sentAt + Millis(1'000)));
        links.recordAnswer(base::UpstreamId("good"), sentAt + Millis(800));
    }
}

TEST_CASE("a relayed call is not relayed on")
{
    Fixture fixture;
    fixture.loseLinks();
    CallInfo info = fixture.call();
    info.isRelayed = true;
    const Actions actions = fixture.arrive(info);
    const auto *rejected = first<RejectCall>(actions);
    REQUIRE(rejected);
    CHECK(rejected->reason == FailureReason::Unreachable);
    CHECK_FALSE(first<RelayCall>(actions));
}

TEST_CASE("a relayed call is not tried over lost links by a host that knows no other host")
{
    Fixture fixture;
    fixture.loseLinks();
    fixture.dispatcher.handle(RelayPeersChanged{}, kStart);
    CallInfo info = fixture.call();
    info.isRelayed = true;
    const Actions actions = fixture.arrive(info);
    CHECK_FALSE(first<SendAttempt>(actions));
    const auto *rejected = first<RejectCall>(actions);
    REQUIRE(rejected);
    CHECK(rejected->reason == FailureReason::Unreachable);
}

TEST_CASE("a call that a host declines is relayed to another one, and rejected when all decline")
{
    Fixture fixture;
    fixture.loseLinks();
    const CallInfo info = fixture.call();
    const Actions actions = fixture.arrive(info);
    REQUIRE(first<RelayCall>(actions));
    const base::Endpoint peer = first<RelayCall>(actions)->peer;
    const Actions again = fixture.fail(info.id, AttemptFault::Refused, kStart + Millis(2));
    REQUIRE(first<RelayCall>(again));
    CHECK_FALSE(first<RelayCall>(again)->peer == peer);
    const Actions declined = fixture.fail(info.id, AttemptFault::Refused, kStart + Millis(4));
    CHECK_FALSE(first<RelayCall>(declined));
    CHECK_FALSE(first<FailCall>(declined));
}

TEST_CASE(
        "a call that one host declines just before its deadline does not end the relays of others")
{
    Fixture fixture;
    fixture.loseLinks();
    CallInfo ending = fixture.call();
    ending.deadline = kStart + Millis(40);
    REQUIRE(first<RelayCall>(fixture.arrive(ending)));
    const Actions declined = fixture.fail(ending.id, AttemptFault::Refused, kStart + Millis(15));
    CHECK(first<RejectCall>(declined));
    CHECK(first<RelayCall>(fixture.arrive(fixture.call(), kStart + Millis(16))));
}

TEST_CASE("a relayed call that may have run is not sent again unless it may be repeated")
{
    Fixture fixture;
    fixture.loseLinks();
    const CallInfo once = fixture.call(false);
    REQUIRE(first<RelayCall>(fixture.arrive(once)));
    CHECK(first<FailCall>(fixture.fail(once.id, AttemptFault::AnswerLost)));
    const CallInfo repeatable = fixture.call(true);
    REQUIRE(first<RelayCall>(fixture.arrive(repeatable)));
    CHECK(first<RelayCall>(fixture.fail(repeatable.id, AttemptFault::AnswerLost)));
}

TEST_CASE("a call that the other host rejects is rejected with the time that it stated")
{
    Fixture fixture;
    fixture.loseLinks();
    const CallInfo info = fixture.call();
    REQUIRE(first<RelayCall>(fixture.arrive(info)));
    const Actions actions =
            fixture.dispatcher.handle(RelayRejected{info.id, Millis(700), false}, kStart);
    const auto *rejected = first<RejectCall>(actions);
    REQUIRE(rejected);
    CHECK(rejected->retryAfter == Millis(700));
    const CallInfo failed = fixture.call();
    REQUIRE(first<RelayCall>(fixture.arrive(failed)));
    CHECK(first<FailCall>(
            fixture.dispatcher.handle(RelayRejected{failed.id, Millis(0), true}, kStart)));
}

TEST_CASE("a caller that leaves ends its relayed call")
{
    Fixture fixture;
    fixture.loseLinks();
    const CallInfo info = fixture.call();
    REQUIRE(first<RelayCall>(fixture.arrive(info)));
    CHECK(first<CancelAttempt>(fixture.dispatcher.handle(CallerDisconnected{info.id}, kStart)));
    CHECK(fixture.dispatcher.ownLoad().upstreams.empty());
}

TEST_CASE("refused connections of a host without links are no crashes of upstreams")
{
    Fixture fixture;
    CallInfo info = fixture.call();
    info.fingerprints = {fleet::Fingerprint(7)};
    const Actions sent = fixture.arrive(info);
    REQUIRE(first<SendAttempt>(sent));
    const fleet::Upstream upstream = first<SendAttempt>(sent)->upstream;
    REQUIRE(first<ProbeUpstream>(fixture.fail(info.id, AttemptFault::AnswerLost)));
    fixture.loseLinks();
    CHECK_FALSE(first<ReportCrash>(fixture.dispatcher.handle(
            UpstreamProbed{upstream.id, upstream.incarnation, true}, kStart + Millis(5))));
    // One that also refuses connections once the links are back has crashed.
    const Actions restored =
            fixture.dispatcher.handle(LinkProbed{fixture.kService, true}, kStart + Millis(20));
    REQUIRE(first<ProbeUpstream>(restored));
    CHECK(first<ReportCrash>(fixture.dispatcher.handle(
            UpstreamProbed{upstream.id, upstream.incarnation, true}, kStart + Millis(25))));
}

TEST_CASE("a host whose unreachable upstreams are all removed does not wake up for probes")
{
    Fixture fixture;
    fixture.loseLinks();
    fixture.dispatcher.handle(LinkProbed{fixture.kService, false}, kStart + Millis(10));
    CHECK(fixture.dispatcher.nextTick() < base::TimePoint::max());
    for (int n = 0; n < 6; ++n)
        fixture.dispatcher.handle(UpstreamRemoved{base::UpstreamId("u" + std::to_string(n))},
                                  kStart + Millis(20));
    fixture.dispatcher.tick(kStart + Millis(20));
    CHECK(fixture.dispatcher.nextTick() == base::TimePoint::max());
}

TEST_CASE("a relayed stream is not relayed again while its host may look for another upstream")
{
    Fixture fixture;
    fixture.loseLinks();
    CallInfo info = fixture.call(true);
    info.isStream = true;
    info.gapObjective = Millis(250);
    info.deadline = kStart + Millis(8'000);
    REQUIRE(first<RelayCall>(fixture.arrive(info)));
    fixture.dispatcher.handle(AnswerProgressed{info.id}, kStart + Millis(100));
    CHECK_FALSE(first<RelayCall>(fixture.dispatcher.tick(kStart + Millis(1'101))));
    CHECK(first<RelayCall>(fixture.dispatcher.tick(kStart + Millis(2'700))));
}

TEST_CASE("a relayed call reaches no more upstreams than its route allows, also after a lost relay")
{
    // The other host may have used every attempt that it was given before its answer was lost.
    for (const int maxAttempts : {1, 2, 3, 4}) {
        Fixture fixture;
        fixture.loseLinks();
        CallInfo info = fixture.call(true);
        info.maxAttempts = maxAttempts;
        int granted = 0;
        Actions actions = fixture.arrive(info);
        for (const auto *relay = first<RelayCall>(actions); relay;
             relay = first<RelayCall>(actions)) {
            granted += relay->attemptsLeft;
            actions = fixture.fail(info.id, AttemptFault::AnswerLost);
        }
        INFO("at most " << maxAttempts);
        CHECK(granted == maxAttempts);
        CHECK(first<FailCall>(actions));
    }
}

TEST_CASE("attempts given to a host that declined a call or was not reached are given to another")
{
    Fixture fixture;
    fixture.loseLinks();
    CallInfo info = fixture.call(true);
    info.maxAttempts = 3;
    const Actions actions = fixture.arrive(info);
    REQUIRE(first<RelayCall>(actions));
    CHECK(first<RelayCall>(actions)->attemptsLeft == 2);
    const Actions again = fixture.fail(info.id, AttemptFault::Refused);
    REQUIRE(first<RelayCall>(again));
    CHECK(first<RelayCall>(again)->attemptsLeft == 2);
}

TEST_CASE("a call that failed at the host it was relayed to is repeated where it may be")
{
    // That host gets one attempt less than the call has, so it may fail with one left.
    for (const bool isRetrySafe : {true, false}) {
        DispatcherOptions options = Fixture::defaultOptions();
        options.retryAllowance = 200;
        Fixture fixture(6, options);
        fixture.loseLinks();
        const CallInfo rejected = fixture.call(isRetrySafe);
        REQUIRE(first<RelayCall>(fixture.arrive(rejected)));
        const Actions actions =
                fixture.dispatcher.handle(RelayRejected{rejected.id, Millis(0), true}, kStart);
        CHECK((first<RelayCall>(actions) != nullptr) == isRetrySafe);
        CHECK((first<FailCall>(actions) != nullptr) == !isRetrySafe);
        const CallInfo failed = fixture.call(isRetrySafe);
        REQUIRE(first<RelayCall>(fixture.arrive(failed)));
        const Actions after = fixture.fail(failed.id, AttemptFault::UpstreamError);
        CHECK((first<RelayCall>(after) != nullptr) == isRetrySafe);
        CHECK((first<ForwardUpstreamError>(after) != nullptr) == !isRetrySafe);
    }
}

TEST_CASE("a call counts for retries at the host that sends it to an upstream only")
{
    // Counted at both hosts, it would allow twice the retries.
    const auto isRetried = [](AttemptFault endOfRelays) {
        DispatcherOptions options = Fixture::defaultOptions();
        options.retryRatio = 0.1;
        options.retryAllowance = 0;
        options.retryWindow = Millis(1'000);
        Fixture fixture(6, options);
        fixture.loseLinks();
        // Calls made before no longer count then.
        const base::TimePoint now = kStart + Millis(1'500);
        for (int n = 0; n < 20; ++n) {
            CallInfo info = fixture.call(false);
            info.deadline = now + Millis(4'000);
            REQUIRE(first<RelayCall>(fixture.arrive(info, now)));
            fixture.fail(info.id, endOfRelays, now);
        }
        fixture.dispatcher.handle(LinkProbed{fixture.kService, true}, now);
        CallInfo info = fixture.call(true);
        info.deadline = now + Millis(4'000);
        REQUIRE(first<SendAttempt>(fixture.arrive(info, now)));
        fixture.probes.clear();
        Actions actions = fixture.fail(info.id, AttemptFault::AnswerLost, now);
        // The links are checked before the last attempt.
        if (!fixture.probes.empty())
            actions = fixture.endProbe(true, now);
        CHECK((first<SendAttempt>(actions) || first<FailCall>(actions)));
        return first<SendAttempt>(actions) != nullptr;
    };
    CHECK_FALSE(isRetried(AttemptFault::UpstreamError));
    CHECK_FALSE(isRetried(AttemptFault::AnswerLost));
}

TEST_CASE("a call that reached no upstream here and was relayed does not count for retries here")
{
    DispatcherOptions options = Fixture::defaultOptions();
    options.retryRatio = 0.1;
    options.retryAllowance = 0;
    Fixture fixture(6, options);
    for (int n = 0; n < 20; ++n) {
        const CallInfo info = fixture.call();
        REQUIRE(first<SendAttempt>(fixture.arrive(info)));
        Actions actions = fixture.fail(info.id, AttemptFault::NotSent);
        while (first<SendAttempt>(actions))
            actions = fixture.fail(info.id, AttemptFault::NotSent);
        REQUIRE(first<RelayCall>(actions));
        fixture.fail(info.id, AttemptFault::UpstreamError);
        fixture.dispatcher.handle(LinkProbed{fixture.kService, true}, kStart);
    }
    const CallInfo info = fixture.call(true);
    REQUIRE(first<SendAttempt>(fixture.arrive(info)));
    CHECK_FALSE(first<SendAttempt>(fixture.fail(info.id, AttemptFault::AnswerLost)));
}

TEST_CASE("one call without an answer is enough for a host to find out that its links are lost")
{
    Fixture fixture;
    const CallInfo lost = fixture.call();
    REQUIRE(first<SendAttempt>(fixture.arrive(lost)));
    const Actions failed = fixture.fail(lost.id, AttemptFault::AnswerLost);
    REQUIRE(first<LinksDoubted>(failed));
    CHECK(first<LinksDoubted>(failed)->doubt == LinkDoubt::Failure);
    CHECK(fixture.probes.size() == 1);
    // A call that may be sent only once waits for the result.
    const CallInfo waiting = fixture.call();
    CHECK_FALSE(first<SendAttempt>(fixture.arrive(waiting)));
    CHECK_FALSE(first<LinksChanged>(fixture.endProbe(false)));
    CHECK(fixture.probes.size() == 3);
    fixture.endProbe(false);
    fixture.endProbe(false);
    const Actions lastFailed = fixture.endProbe(false);
    REQUIRE(first<LinksChanged>(lastFailed));
    CHECK(first<LinksChanged>(lastFailed)->isLost);
    REQUIRE(first<RelayCall>(lastFailed));
    CHECK(first<RelayCall>(lastFailed)->call == waiting.id);
}

TEST_CASE("probes that are not answered for a while show that the links are lost")
{
    Fixture fixture;
    const CallInfo info = fixture.call(true);
    REQUIRE(first<SendAttempt>(fixture.arrive(info)));
    CHECK_FALSE(first<ProbeLink>(fixture.dispatcher.tick(kStart + Millis(390))));
    const Actions doubted = fixture.dispatcher.tick(kStart + Millis(400));
    REQUIRE(first<LinksDoubted>(doubted));
    CHECK(first<LinksDoubted>(doubted)->doubt == LinkDoubt::Silence);
    CHECK(first<ProbeLink>(fixture.dispatcher.tick(kStart + Millis(500))));
    CHECK_FALSE(first<LinksChanged>(fixture.dispatcher.tick(kStart + Millis(790))));
    const Actions lost = fixture.dispatcher.tick(kStart + Millis(800));
    CHECK(first<LinksChanged>(lost));
    // What is silent already is repeated elsewhere.
    const Actions repeated = fixture.dispatcher.tick(kStart + Millis(801));
    CHECK((first<RelayCall>(lost) || first<RelayCall>(repeated)));
}

TEST_CASE("an upstream that is silent while others answer makes no call wait for long")
{
    Fixture fixture;
    const CallInfo silent = fixture.call(true);
    REQUIRE(first<SendAttempt>(fixture.arrive(silent)));
    fixture.dispatcher.tick(kStart + Millis(400));
    const CallInfo waiting = fixture.call();
    CHECK_FALSE(first<SendAttempt>(fixture.arrive(waiting, kStart + Millis(401))));
    const Actions answered =
            fixture.dispatcher.handle(LinkProbed{fixture.kService, true}, kStart + Millis(403));
    REQUIRE(first<SendAttempt>(answered));
    CHECK(first<SendAttempt>(answered)->call == waiting.id);
    CHECK_FALSE(first<CancelAttempt>(answered));
    // The next check begins a second later at the earliest.
    CHECK_FALSE(first<ProbeLink>(fixture.dispatcher.tick(kStart + Millis(1'390))));
}

TEST_CASE("an idle host checks its links before a call that may be sent only once, or is relayed")
{
    for (const bool isRelayed : {false, true}) {
        Fixture fixture;
        fixture.arrive(fixture.call(true));
        const base::TimePoint later = kStart + Millis(20'000);
        fixture.dispatcher.handle(AttemptSucceeded{CallId(fixture.lastCall)}, kStart);
        CallInfo info = fixture.call(isRelayed);
        info.isRelayed = isRelayed;
        info.deadline = later + Millis(4'000);
        const Actions arrived = fixture.arrive(info, later);
        CHECK_FALSE(first<SendAttempt>(arrived));
        REQUIRE(first<LinksDoubted>(arrived));
        CHECK(first<LinksDoubted>(arrived)->doubt == LinkDoubt::Idle);
        CHECK(first<SendAttempt>(fixture.endProbe(true, later + Millis(2))));
        CallInfo next = fixture.call();
        next.deadline = later + Millis(4'000);
        CHECK(first<SendAttempt>(fixture.arrive(next, later + Millis(500))));
    }
}

TEST_CASE("a host that knows no other host sends calls without checking its links")
{
    Fixture fixture;
    fixture.dispatcher.handle(RelayPeersChanged{}, kStart);
    const base::TimePoint later = kStart + Millis(20'000);
    CallInfo info = fixture.call();
    info.deadline = later + Millis(4'000);
    const Actions arrived = fixture.arrive(info, later);
    CHECK(first<SendAttempt>(arrived));
    CHECK_FALSE(first<ProbeLink>(arrived));
    CHECK_FALSE(first<ProbeLink>(fixture.dispatcher.tick(later + Millis(2'000))));
}

TEST_CASE("no call is relayed to a host that states that it does not reach the service either")
{
    Fixture fixture;
    fixture.loseLinks();
    fleet::LoadUpdate update;
    update.host = base::HostId("f");
    update.unreachableServices = {fixture.kService};
    const base::Endpoint cutOff{"127.0.0.2", 1};
    fixture.dispatcher.handle(PeerLoadReceived{update, cutOff}, kStart);
    for (int n = 0; n < 8; ++n) {
        const Actions actions = fixture.arrive(fixture.call());
        REQUIRE(first<RelayCall>(actions));
        CHECK_FALSE(first<RelayCall>(actions)->peer == cutOff);
    }
    // Upstreams that no host reaches get the calls all the same, as they may just be slow.
    fixture.dispatcher.handle(PeerLoadReceived{update, {"127.0.0.3", 1}}, kStart);
    CHECK(first<SendAttempt>(fixture.arrive(fixture.call())));
    // What a host stated expires when it says no more, and ends when it reaches the service again.
    update.unreachableServices.clear();
    fixture.dispatcher.handle(PeerLoadReceived{update, cutOff}, kStart);
    const Actions relayed = fixture.arrive(fixture.call());
    REQUIRE(first<RelayCall>(relayed));
    CHECK(first<RelayCall>(relayed)->peer == cutOff);
    CHECK(fixture.dispatcher.takeLoadUpdate(true).unreachableServices
          == std::vector{fixture.kService});
}

TEST_CASE("a call that all other hosts decline is sent, as upstreams that no host reaches may be "
          "slow")
{
    Fixture fixture;
    fixture.loseLinks();
    const CallInfo info = fixture.call();
    REQUIRE(first<RelayCall>(fixture.arrive(info)));
    REQUIRE(first<RelayCall>(fixture.fail(info.id, AttemptFault::Refused)));
    CHECK(first<SendAttempt>(fixture.fail(info.id, AttemptFault::Refused)));
}

TEST_CASE("a call that six of many hosts decline waits for a probe of the lost links")
{
    for (const bool isAnswered : {true, false}) {
        Fixture fixture;
        RelayPeersChanged peers;
        for (std::uint16_t n = 1; n <= 20; ++n)
            peers.peers.push_back({{"127.0.0.2", n}, base::DataCentreId("a")});
        fixture.dispatcher.handle(peers, kStart);
        fixture.loseLinks();
        const CallInfo info = fixture.call();
        REQUIRE(first<RelayCall>(fixture.arrive(info)));
        for (int n = 1; n < 6; ++n)
            REQUIRE(first<RelayCall>(fixture.fail(info.id, AttemptFault::Refused)));
        const Actions declined = fixture.fail(info.id, AttemptFault::Refused);
        CHECK_FALSE(first<RejectCall>(declined));
        CHECK_FALSE(first<SendAttempt>(declined));
        Actions ended;
        while (!fixture.probes.empty() && !first<SendAttempt>(ended) && !first<RejectCall>(ended))
            ended = fixture.endProbe(isAnswered);
        CHECK((first<SendAttempt>(ended) != nullptr) == isAnswered);
        CHECK((first<RejectCall>(ended) != nullptr) == !isAnswered);
    }
}

TEST_CASE("a call that stalls at lost links is relayed though its host has no share of a retry")
{
    DispatcherOptions options = Fixture::defaultOptions();
    options.retryAllowance = 0;
    Fixture fixture(6, options);
    const CallInfo info = fixture.call(true);
    REQUIRE(first<SendAttempt>(fixture.arrive(info)));
    fixture.fail(info.id, AttemptFault::AnswerLost);
    bool isRelayed = false;
    for (int n = 0; n < 4; ++n) {
        const Actions actions = fixture.endProbe(false);
        CHECK_FALSE(first<FailCall>(actions));
        isRelayed = isRelayed || first<RelayCall>(actions);
    }
    CHECK(isRelayed);
}

TEST_CASE("a call whose upstream lost it takes a retry while the links are sound")
{
    DispatcherOptions options = Fixture::defaultOptions();
    options.retryAllowance = 0;
    Fixture fixture(6, options);
    const CallInfo info = fixture.call(true);
    REQUIRE(first<SendAttempt>(fixture.arrive(info)));
    fixture.fail(info.id, AttemptFault::AnswerLost);
    const Actions sound = fixture.endProbe(true);
    CHECK(first<RetryDenied>(sound));
    CHECK(first<FailCall>(sound));
    CHECK_FALSE(first<SendAttempt>(sound));
}
