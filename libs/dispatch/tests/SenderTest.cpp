// Everything that chooses an upstream asks the send gate. Each test case is one such place; with
// one data centre evacuated, no action may name an upstream there.

#include "FirstAction.h"

#include <catch2/catch.hpp>

#include <set>

using namespace hyssop;
using namespace hyssop::dispatch;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const base::ServiceId kModel("model");
const base::ServiceId kPlain("plain");
const std::string kNorth = "north";
const std::string kSouth = "south";

class SenderFixture
{
public:
    explicit SenderFixture(const base::ServiceId &service, int perDataCentre = 4)
        : dispatcher({base::HostId("e"), base::DataCentreId(kNorth)})
        , m_service(service)
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
        for (int n = 0; n < perDataCentre; ++n) {
            add(kNorth, n);
            add(kSouth, n);
        }
    }

    fleet::Upstream upstream(const std::string &dataCentre, int n) const
    {
        fleet::Upstream it;
        it.id = base::UpstreamId(dataCentre + std::to_string(n));
        it.service = m_service;
        it.address = {dataCentre == kNorth ? "127.0.0.1" : "127.0.0.2",
                      static_cast<std::uint16_t>(8'000 + n)};
        it.dataCentre = base::DataCentreId(dataCentre);
        it.incarnation = base::Incarnation(1);
        it.slots = 6;
        return it;
    }
    void add(const std::string &dataCentre, int n)
    {
        dispatcher.handle(UpstreamUpdated{upstream(dataCentre, n)}, kStart);
    }
    Actions evacuate(const std::set<std::string> &dataCentres, base::TimePoint now = kStart)
    {
        fleet::Evacuations evacuations{++m_revision, {}};
        for (const std::string &it : dataCentres)
            evacuations.dataCentres.insert(base::DataCentreId(it));
        return keep(dispatcher.handle(EvacuationsChanged{evacuations}, now));
    }
    Actions call(std::int64_t tokens = 0, base::TimePoint now = kStart)
    {
        CallInfo info;
        info.id = CallId(++lastCall);
        info.service = m_service;
        info.isStream = tokens > 0;
        info.isRetrySafe = true;
        info.maxAttempts = 4;
        info.promptTokens = base::Tokens(tokens);
        info.maxOutputTokens = base::Tokens(tokens > 0 ? 2'000 : 0);
        info.arrivedAt = now;
        info.deadline = now + Millis(10'000);
        info.latencyObjective = Millis(1'000);
        info.gapObjective = Millis(250);
        info.fingerprints = fingerprints;
        return keep(dispatcher.handle(CallArrived{info}, now));
    }
    Actions handle(const Event &event, base::TimePoint now = kStart)
    {
        return keep(dispatcher.handle(event, now));
    }
    Actions tick(base::TimePoint now) { return keep(dispatcher.tick(now)); }

    /// Data centres that the actions since the last call sent something to.
    std::set<std::string> takeTargets()
    {
        std::set<std::string> targets;
        const auto note = [&](const fleet::Upstream &it) { targets.insert(it.dataCentre.text()); };
        const auto noteHelpers = [&](const std::vector<Helper> &helpers) {
            for (const Helper &it : helpers)
                note(it.upstream);
        };
        for (const Action &it : std::exchange(m_kept, {})) {
            if (const auto *send = std::get_if<SendAttempt>(&it)) {
                note(send->upstream);
                noteHelpers(send->helpers);
            } else if (const auto *reserve = std::get_if<ReserveMemory>(&it)) {
                noteHelpers(reserve->helpers);
            } else if (const auto *probe = std::get_if<ProbeLink>(&it)) {
                note(probe->upstream);
            } else if (const auto *grant = std::get_if<RequestSendGrant>(&it)) {
                for (const auto &limit : grant->limits)
                    targets.insert(limit.upstream.text().substr(0, kNorth.size()));
            }
        }
        return targets;
    }

    Dispatcher dispatcher;
    std::int64_t lastCall = 0;
    std::vector<fleet::Fingerprint> fingerprints;

private:
    Actions keep(Actions actions)
    {
        m_kept.insert(m_kept.end(), actions.begin(), actions.end());
        return actions;
    }

    base::ServiceId m_service;
    std::int64_t m_revision = 0;
    Actions m_kept;
};

const std::set<std::string> kOnlySouth{kSouth};

} // namespace

TEST_CASE("first attempts avoid an evacuated data centre, and return when that ends")
{
    SenderFixture fixture(kPlain);
    fixture.evacuate({kNorth});
    for (int n = 0; n < 12; ++n)
        fixture.call();
    CHECK(fixture.takeTargets() == kOnlySouth);
    fixture.evacuate({});
    for (int n = 0; n < 12; ++n)
        fixture.call();
    CHECK(fixture.takeTargets().contains(kNorth));
}

TEST_CASE("retries of attempts that were lost or refused avoid an evacuated data centre")
{
    for (const AttemptFault fault :
         {AttemptFault::NotSent, AttemptFault::Refused, AttemptFault::AnswerLost}) {
        SenderFixture fixture(kPlain, 1);
        const Actions sent = fixture.call();
        REQUIRE(first<SendAttempt>(sent));
        const std::string used = first<SendAttempt>(sent)->upstream.dataCentre.text();
        fixture.takeTargets();
        fixture.evacuate({used == kNorth ? kSouth : kNorth});
        fixture.handle(AttemptFailed{CallId(1), fault, {}});
        fixture.tick(kStart + Millis(40));
        CHECK(fixture.takeTargets().empty());
    }
}

TEST_CASE("the resume of a stalled stream avoids an evacuated data centre")
{
    SenderFixture fixture(kModel, 1);
    const Actions sent = fixture.call(1'000);
    REQUIRE(first<SendAttempt>(sent));
    const std::string used = first<SendAttempt>(sent)->upstream.dataCentre.text();
    fixture.handle(AnswerProgressed{CallId(1)});
    fixture.takeTargets();
    fixture.evacuate({used == kNorth ? kSouth : kNorth});
    for (int ms = 500; ms < 6'000; ms += 100)
        fixture.tick(kStart + Millis(ms));
    CHECK(fixture.takeTargets().empty());
    fixture.evacuate({}, kStart + Millis(6'000));
    for (int ms = 6'000; ms < 6'500; ms += 100)
        fixture.tick(kStart + Millis(ms));
    CHECK_FALSE(fixture.takeTargets().empty());
}

TEST_CASE("trials of suspect content avoid an evacuated data centre")
{
    SenderFixture fixture(kPlain);
    fixture.fingerprints = {fleet::Fingerprint(7)};
    fleet::CrashSuspect suspect;
    suspect.fingerprint = fleet::Fingerprint(7);
    suspect.crashes = 5;
    fixture.evacuate({kNorth});
    fixture.handle(CrashSuspectsReceived{{suspect}, kStart, true});
    for (int n = 1; n <= 8; ++n) {
        fixture.call();
        fixture.handle(TrialDecided{CallId(n), true, {true, Millis(0)}});
        fixture.handle(AttemptSucceeded{CallId(n), false});
    }
    CHECK(fixture.takeTargets() == kOnlySouth);
}

TEST_CASE("helpers of a prompt are not in an evacuated data centre")
{
    SenderFixture fixture(kModel, 8);
    fixture.evacuate({kNorth});
    for (int n = 0; n < 6; ++n)
        fixture.call(40'000);
    CHECK(fixture.takeTargets() == kOnlySouth);
}

TEST_CASE("memory for an oversized prompt is not reserved in an evacuated data centre")
{
    SenderFixture fixture(kModel, 8);
    fixture.evacuate({kNorth});
    fixture.call(450'000);
    const Actions granted = fixture.handle(PermitGranted{CallId(1)});
    REQUIRE(first<ReserveMemory>(granted));
    const Actions reserved = fixture.handle(ReservationDone{CallId(1), true});
    REQUIRE(first<SendAttempt>(reserved));
    CHECK(fixture.takeTargets() == kOnlySouth);
}

// Between the choice of its engines and the confirmation of their memory, an order may arrive.
TEST_CASE("a prompt whose memory is being reserved is not sent where an evacuation has begun")
{
    SenderFixture fixture(kModel, 8);
    fixture.evacuate({kSouth});
    fixture.call(450'000);
    REQUIRE(first<ReserveMemory>(fixture.handle(PermitGranted{CallId(1)})));
    fixture.takeTargets();
    fixture.evacuate({kNorth});
    const Actions reserved = fixture.handle(ReservationDone{CallId(1), true});
    CHECK(first<ReleaseMemory>(reserved));
    CHECK_FALSE(first<SendAttempt>(reserved));
    CHECK(first<RequestPermit>(reserved));
    REQUIRE(first<ReserveMemory>(fixture.handle(PermitGranted{CallId(1)})));
    REQUIRE(first<SendAttempt>(fixture.handle(ReservationDone{CallId(1), true})));
    CHECK(fixture.takeTargets() == kOnlySouth);
}

TEST_CASE("a call that waits in the queue is not sent where an evacuation has begun")
{
    SenderFixture fixture(kPlain, 1);
    for (int n = 0; n < 13; ++n)
        fixture.call();
    fixture.takeTargets();
    fixture.evacuate({kNorth});
    for (int n = 1; n <= 12; ++n)
        fixture.handle(AttemptSucceeded{CallId(n)});
    CHECK(fixture.takeTargets() == kOnlySouth);
}

TEST_CASE("probes of lost links avoid an evacuated data centre, and wait if there is no other")
{
    SenderFixture fixture(kPlain, 2);
    for (int n = 1; n <= 4; ++n) {
        fixture.call();
        fixture.handle(AttemptFailed{CallId(n), AttemptFault::NotSent, {}});
    }
    fixture.evacuate({kNorth});
    fixture.takeTargets();
    for (int n = 0; n < 20; ++n) {
        fixture.handle(LinkProbed{kPlain, false}, kStart + Millis(400 * n));
        fixture.tick(kStart + Millis(400 * n));
    }
    CHECK(fixture.takeTargets() == kOnlySouth);
    const base::TimePoint later = kStart + Millis(20'000);
    fixture.handle(LinkProbed{kPlain, false}, later);
    fixture.evacuate({kNorth, kSouth}, later);
    for (int n = 0; n < 20; ++n)
        fixture.tick(later + Millis(100 * n));
    CHECK(fixture.takeTargets().empty());
    // Without a probe there is nothing to do before the next one is due.
    CHECK(fixture.dispatcher.nextTick() > later + Millis(1'900));
}

TEST_CASE("grants of limited rates are not asked for in an evacuated data centre")
{
    SenderFixture fixture(kPlain, 2);
    std::vector<fleet::RateLimitReport> limits;
    for (const std::string &dataCentre : {kNorth, kSouth}) {
        fleet::RateLimitReport limit;
        limit.upstream = base::UpstreamId(dataCentre + "0");
        limit.incarnation = base::Incarnation(1);
        limit.rate = fleet::RequestRate(2'000);
        limits.push_back(limit);
    }
    fixture.handle(RateLimitsReceived{limits, kStart});
    fixture.evacuate({kNorth});
    fixture.call();
    CHECK(fixture.takeTargets() == kOnlySouth);
}

TEST_CASE("a relayed call is subject to the evacuations that this host knows")
{
    SenderFixture fixture(kPlain);
    fixture.evacuate({kNorth, kSouth});
    CallInfo info;
    info.id = CallId(1);
    info.service = kPlain;
    info.isRelayed = true;
    info.arrivedAt = kStart;
    info.deadline = kStart + Millis(5'000);
    info.latencyObjective = Millis(1'000);
    const Actions actions = fixture.handle(CallArrived{info});
    REQUIRE(first<RejectCall>(actions));
    CHECK(fixture.takeTargets().empty());
}

TEST_CASE("with all data centres evacuated a call is rejected at once, with the reason and a time")
{
    SenderFixture fixture(kPlain);
    fixture.evacuate({kNorth, kSouth});
    const Actions actions = fixture.call();
    const auto *rejected = first<RejectCall>(actions);
    REQUIRE(rejected);
    CHECK(rejected->reason == FailureReason::Evacuated);
    CHECK(rejected->blocker == QueueBlocker::Evacuated);
    CHECK(rejected->retryAfter >= Millis(2'000));
    CHECK(fixture.dispatcher.stats(kStart).refused.at(SendRefusalReason::Evacuated) == 8);
}

TEST_CASE("a call that runs in an evacuated data centre goes on to its end")
{
    SenderFixture fixture(kModel, 1);
    REQUIRE(first<SendAttempt>(fixture.call(1'000)));
    const Actions evacuated = fixture.evacuate({kNorth, kSouth});
    CHECK_FALSE(first<CancelAttempt>(evacuated));
    const Actions progressed = fixture.handle(AnswerProgressed{CallId(1)});
    CHECK_FALSE(first<CancelAttempt>(progressed));
    fixture.handle(AttemptSucceeded{CallId(1)});
    CHECK(fixture.dispatcher.stats(kStart).active == 0);
}
