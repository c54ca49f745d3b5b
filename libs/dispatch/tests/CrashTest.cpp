// Crashes of upstreams and calls with suspect content, as one entry host treats them.

#include "AnsweredContent.h"

#include "FirstAction.h"
#include "ReportedContent.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::dispatch;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const base::ServiceId kService("plain");
const fleet::Fingerprint kPart(1);

class Fixture
{
public:
    Fixture()
        : dispatcher({base::HostId("e"), base::DataCentreId("a")})
    {
        dispatcher.handle(ServicesChanged{{{kService, {}, {}, {}}}}, kStart);
        for (int n = 0; n < 3; ++n)
            dispatcher.handle(UpstreamUpdated{upstream(n)}, kStart);
    }

    static fleet::Upstream upstream(int n, std::int64_t incarnation = 1)
    {
        fleet::Upstream it;
        it.id = base::UpstreamId("u" + std::to_string(n));
        it.service = kService;
        it.address = {"127.0.0.1", static_cast<std::uint16_t>(8'000 + n)};
        it.dataCentre = base::DataCentreId("a");
        it.incarnation = base::Incarnation(incarnation);
        it.slots = 6;
        return it;
    }

    Actions arrive(std::vector<fleet::Fingerprint> fingerprints, base::TimePoint at = kStart,
                   bool isRetrySafe = false)
    {
        CallInfo call;
        call.id = CallId(++lastCall);
        call.service = kService;
        call.isRetrySafe = isRetrySafe;
        call.maxAttempts = 3;
        call.arrivedAt = at;
        call.deadline = at + Millis(5'000);
        call.latencyObjective = Millis(300);
        call.fingerprints = std::move(fingerprints);
        return dispatcher.handle(CallArrived{call}, at);
    }
    Actions lose(base::TimePoint at)
    {
        return dispatcher.handle(AttemptFailed{CallId(lastCall), AttemptFault::AnswerLost}, at);
    }
    Actions suspect(fleet::Quarantine quarantine, Millis nextTrialIn, base::TimePoint at = kStart,
                    Millis crashAge = Millis(500))
    {
        const fleet::CrashSuspect suspect{kPart, 4, 2, quarantine, 0, crashAge, nextTrialIn};
        return dispatcher.handle(CrashSuspectsReceived{{suspect}, at, true}, at);
    }

    Dispatcher dispatcher;
    std::int64_t lastCall = 0;
};

} // namespace

TEST_CASE("an upstream that loses an answer is probed, and reported when it refuses connections")
{
    Fixture it;
    const Actions sent = it.arrive({kPart});
    REQUIRE(first<SendAttempt>(sent));
    const Actions lost = it.lose(kStart + Millis(10));
    REQUIRE(first<ProbeUpstream>(lost));
    CHECK_FALSE(first<ReportCrash>(lost));
    const fleet::Upstream upstream = first<ProbeUpstream>(lost)->upstream;
    const Actions probed = it.dispatcher.handle(
            UpstreamProbed{upstream.id, upstream.incarnation, true}, kStart + Millis(12));
    const ReportCrash *report = first<ReportCrash>(probed);
    REQUIRE(report);
    CHECK(report->report.upstream == upstream.id);
    CHECK(report->report.age == Millis(2));
    REQUIRE(report->report.contents.size() == 1);
    CHECK(report->report.contents[0].fingerprint == kPart);
    CHECK(first<UpstreamEjected>(probed));
}

TEST_CASE("an upstream that loses an answer and accepts connections has not crashed")
{
    Fixture it;
    it.arrive({kPart});
    const Actions lost = it.lose(kStart + Millis(10));
    const fleet::Upstream upstream = first<ProbeUpstream>(lost)->upstream;
    const Actions probed = it.dispatcher.handle(
            UpstreamProbed{upstream.id, upstream.incarnation, false}, kStart + Millis(12));
    CHECK_FALSE(first<ReportCrash>(probed));
}

TEST_CASE("a start that replaces an upstream which lost answers shows that it crashed")
{
    for (const bool keepsId : {false, true}) {
        Fixture it;
        it.arrive({kPart});
        fleet::Upstream upstream = first<ProbeUpstream>(it.lose(kStart + Millis(10)))->upstream;
        it.dispatcher.handle(UpstreamProbed{upstream.id, upstream.incarnation, false},
                             kStart + Millis(12));
        upstream.incarnation = base::Incarnation(2);
        if (!keepsId)
            upstream.id = base::UpstreamId("new");
        const Actions restarted =
                it.dispatcher.handle(UpstreamUpdated{upstream}, kStart + Millis(900));
        REQUIRE(first<ReportCrash>(restarted));
        CHECK(first<ReportCrash>(restarted)->source == CrashSource::Restart);
        CHECK(first<ReportCrash>(restarted)->report.age == Millis(890));
    }
}

TEST_CASE("what a leaving upstream loses with its end is no crash")
{
    Fixture it;
    const Actions sent = it.arrive({kPart});
    fleet::Upstream upstream = first<SendAttempt>(sent)->upstream;
    upstream.isLeaving = true;
    ++upstream.sequence;
    it.dispatcher.handle(UpstreamUpdated{upstream}, kStart + Millis(5));
    CHECK_FALSE(first<ProbeUpstream>(it.lose(kStart + Millis(10))));
}

TEST_CASE("a call with quarantined content is rejected at once with the time of the next trial")
{
    Fixture it;
    it.suspect(fleet::Quarantine::Full, Millis(40'000));
    const Actions actions = it.arrive({kPart});
    CHECK_FALSE(first<SendAttempt>(actions));
    const RejectCall *rejected = first<RejectCall>(actions);
    REQUIRE(rejected);
    CHECK(rejected->reason == FailureReason::Quarantined);
    CHECK(rejected->retryAfter == Millis(40'000));
    CHECK(first<SendAttempt>(it.arrive({fleet::Fingerprint(2)})));
}

TEST_CASE("a call that has run before its content was quarantined is not rejected as not run")
{
    Fixture it;
    it.arrive({kPart}, kStart, true);
    it.suspect(fleet::Quarantine::Full, Millis(40'000));
    const Actions lost = it.lose(kStart + Millis(10));
    CHECK_FALSE(first<RejectCall>(lost));
    CHECK_FALSE(first<SendAttempt>(lost));
    REQUIRE(first<FailCall>(lost));
    CHECK(first<FailCall>(lost)->reason == FailureReason::Quarantined);
}

TEST_CASE("a call with suspect content waits for a trial and is not retried after it failed")
{
    Fixture it;
    it.suspect(fleet::Quarantine::None, Millis(0));
    const Actions waiting = it.arrive({kPart}, kStart, true);
    CHECK_FALSE(first<SendAttempt>(waiting));
    REQUIRE(first<RequestTrial>(waiting));
    CHECK(first<RequestTrial>(waiting)->fingerprints == std::vector<fleet::Fingerprint>{kPart});
    const Actions granted = it.dispatcher.handle(
            TrialDecided{CallId(it.lastCall), true, {true, Millis(0)}}, kStart + Millis(2));
    REQUIRE(first<SendAttempt>(granted));
    const Actions lost = it.lose(kStart + Millis(10));
    CHECK_FALSE(first<SendAttempt>(lost));
    CHECK_FALSE(first<RetryScheduled>(lost));
    CHECK(first<FailCall>(lost));
    CHECK_FALSE(first<EndTrial>(lost));
    const fleet::Upstream upstream = first<ProbeUpstream>(lost)->upstream;
    const Actions probed = it.dispatcher.handle(
            UpstreamProbed{upstream.id, upstream.incarnation, true}, kStart + Millis(12));
    REQUIRE(first<ReportCrash>(probed));
    CHECK(first<ReportCrash>(probed)->trial == CallId(it.lastCall));
    CHECK(first<ReportCrash>(probed)->report.contents[0].wasTrial);
}

TEST_CASE(
        "a trial ends when its call leaves, and when its upstream lost the answer without a crash")
{
    Fixture it;
    it.suspect(fleet::Quarantine::None, Millis(0));
    it.arrive({kPart});
    CHECK(first<EndTrial>(it.dispatcher.handle(CallerDisconnected{CallId(it.lastCall)}, kStart)));
    it.arrive({kPart});
    it.dispatcher.handle(TrialDecided{CallId(it.lastCall), true, {true, Millis(0)}}, kStart);
    const Actions lost = it.lose(kStart + Millis(10));
    const fleet::Upstream upstream = first<ProbeUpstream>(lost)->upstream;
    CHECK(first<EndTrial>(it.dispatcher.handle(
            UpstreamProbed{upstream.id, upstream.incarnation, false}, kStart + Millis(12))));
    // It did crash, as its next start shows.
    fleet::Upstream next = upstream;
    next.incarnation = base::Incarnation(2);
    const Actions restarted = it.dispatcher.handle(UpstreamUpdated{next}, kStart + Millis(15));
    CHECK_FALSE(first<EndTrial>(restarted));
    REQUIRE(first<ReportCrash>(restarted));
    CHECK(first<ReportCrash>(restarted)->trial == CallId(it.lastCall));
    // A grant that comes after its call has left is given back.
    CHECK(first<EndTrial>(it.dispatcher.handle(
            TrialDecided{CallId(it.lastCall), true, {true, Millis(0)}}, kStart + Millis(20))));
}

TEST_CASE("a host that was paused does not use a trial whose time has passed")
{
    Fixture it;
    it.suspect(fleet::Quarantine::None, Millis(0));
    it.arrive({kPart});
    const Actions late = it.dispatcher.handle(
            TrialDecided{CallId(it.lastCall), true, {true, Millis(0)}}, kStart + Millis(3'000));
    CHECK_FALSE(first<SendAttempt>(late));
    const Actions ended = it.dispatcher.tick(kStart + Millis(3'000));
    CHECK(first<RejectCall>(ended));
    CHECK(first<EndTrial>(ended));
}

TEST_CASE("an answered trial clears its content, at once for this host")
{
    Fixture it;
    it.suspect(fleet::Quarantine::None, Millis(0));
    it.arrive({kPart});
    it.dispatcher.handle(TrialDecided{CallId(it.lastCall), true, {true, Millis(0)}}, kStart);
    const Actions answered =
            it.dispatcher.handle(AttemptSucceeded{CallId(it.lastCall)}, kStart + Millis(100));
    REQUIRE(first<ReportAnswered>(answered));
    CHECK(first<EndTrial>(answered));
    CHECK(first<SendAttempt>(it.arrive({kPart}, kStart + Millis(101))));
    CHECK(it.dispatcher.crashSuspects(kStart + Millis(101)).empty());
}

TEST_CASE("an error of the upstream and a first event alone clear no content")
{
    Fixture it;
    it.suspect(fleet::Quarantine::None, Millis(0));
    it.arrive({kPart});
    it.dispatcher.handle(TrialDecided{CallId(it.lastCall), true, {true, Millis(0)}}, kStart);
    CHECK_FALSE(first<ReportAnswered>(
            it.dispatcher.handle(AnswerProgressed{CallId(it.lastCall)}, kStart + Millis(50))));
    CHECK_FALSE(first<ReportAnswered>(it.dispatcher.handle(
            AttemptSucceeded{CallId(it.lastCall), false}, kStart + Millis(60))));
    CHECK(it.dispatcher.crashSuspects(kStart + Millis(70)).size() == 1);
}

TEST_CASE("a stream that goes on clears its content before it ends")
{
    Fixture it;
    it.suspect(fleet::Quarantine::None, Millis(0));
    it.arrive({kPart});
    it.dispatcher.handle(TrialDecided{CallId(it.lastCall), true, {true, Millis(0)}}, kStart);
    it.dispatcher.handle(AnswerProgressed{CallId(it.lastCall)}, kStart + Millis(50));
    CHECK(first<ReportAnswered>(
            it.dispatcher.handle(AnswerProgressed{CallId(it.lastCall)}, kStart + Millis(600))));
}

TEST_CASE("a host that saw content answered since its first crash says so")
{
    Fixture it;
    it.arrive({kPart});
    it.dispatcher.handle(AttemptSucceeded{CallId(it.lastCall)}, kStart + Millis(100));
    const Actions newer =
            it.suspect(fleet::Quarantine::None, Millis(0), kStart + Millis(300), Millis(250));
    CHECK(first<ReportAnswered>(newer));
    CHECK(it.dispatcher.crashSuspects(kStart + Millis(300)).empty());
    const Actions older =
            it.suspect(fleet::Quarantine::None, Millis(0), kStart + Millis(400), Millis(250));
    CHECK_FALSE(first<ReportAnswered>(older));
    CHECK(it.dispatcher.crashSuspects(kStart + Millis(400)).size() == 1);
}

TEST_CASE("a host without a leader keeps what it knows of suspect content")
{
    Fixture it;
    it.suspect(fleet::Quarantine::None, Millis(0));
    it.arrive({kPart});
    const Actions undecided =
            it.dispatcher.handle(TrialDecided{CallId(it.lastCall), false, {}}, kStart + Millis(1));
    REQUIRE(first<RejectCall>(undecided));
    CHECK(first<RejectCall>(undecided)->retryAfter > Millis(0));
    // The reply of a new leader that has not heard of it yet.
    it.dispatcher.handle(CrashSuspectsReceived{{}, kStart + Millis(900), false},
                         kStart + Millis(900));
    CHECK(it.dispatcher.crashSuspects(kStart + Millis(900)).size() == 1);
    it.dispatcher.handle(CrashSuspectsReceived{{}, kStart + Millis(950), true},
                         kStart + Millis(950));
    CHECK(it.dispatcher.crashSuspects(kStart + Millis(950)).empty());
}

TEST_CASE("suspect content gets no trial beside an attempt that has stalled with it")
{
    Fixture it;
    REQUIRE(first<SendAttempt>(it.arrive({kPart}, kStart, true)));
    it.suspect(fleet::Quarantine::Full, Millis(0), kStart + Millis(400));
    const Actions due = it.dispatcher.tick(kStart + Millis(950));
    CHECK_FALSE(first<KeepStalledAttempt>(due));
    CHECK_FALSE(first<RequestTrial>(due));
    CHECK_FALSE(first<SendAttempt>(due));
}

TEST_CASE("the memory of answered content is bounded and forgets the oldest first")
{
    AnsweredContent answered;
    for (int n = 0; n < 40'000; ++n) {
        answered.record(fleet::Fingerprint(n), kStart + Millis(n));
        answered.record(fleet::Fingerprint(0), kStart + Millis(n));
    }
    CHECK(answered.size() <= AnsweredContent::kMaxSize);
    CHECK(answered.lastAnswered(fleet::Fingerprint(39'999)) == kStart + Millis(39'999));
    CHECK(answered.lastAnswered(fleet::Fingerprint(0)));
    CHECK_FALSE(answered.lastAnswered(fleet::Fingerprint(1)));
}

// Messages of any size would take the processor time of a control host.
TEST_CASE("a report of many parts is cut and keeps the requests and what was lost before")
{
    const auto attemptOf = [](std::int64_t first) {
        LostAttempt attempt;
        attempt.fingerprints = {kPart};
        for (std::int64_t n = 0; n < 1'600; ++n)
            attempt.fingerprints.emplace_back(first + n);
        attempt.at = kStart;
        return attempt;
    };
    const auto contains = [](const auto &contents, fleet::Fingerprint part) {
        return std::any_of(contents.begin(), contents.end(),
                           [part](const auto &it) { return it.fingerprint == part; });
    };
    ReportedContent reported;
    AnsweredContent answered;
    const auto select = [&](int upstream, std::int64_t first) {
        std::vector<LostAttempt> attempts;
        for (std::int64_t n = 0; n < 8; ++n)
            attempts.push_back(attemptOf(first + n * 10'000));
        return reported.select({base::UpstreamId(std::to_string(upstream)), {}}, attempts, answered,
                               kStart + Millis(upstream));
    };
    CHECK(select(1, 100'000).size() <= ReportedContent::kMaxParts + 8);
    for (int n = 2; n < 10; ++n) {
        const auto contents = select(n, n * 100'000);
        CHECK(contents.size() == ReportedContent::kMaxParts + 8);
        CHECK(contains(contents, kPart));
        for (std::int64_t request = 0; request < 8; ++request)
            CHECK(contains(contents, fleet::Fingerprint(n * 100'000 + request * 10'000 + 1'599)));
    }
}

// Parts that are left out at one crash are reported at another one.
TEST_CASE("no part is left out of all reports")
{
    AnsweredContent answered;
    std::vector<LostAttempt> attempts(1);
    for (std::int64_t n = 0; n < 4'000; ++n)
        attempts[0].fingerprints.emplace_back(n);
    std::set<fleet::Fingerprint> seen;
    for (int n = 0; n < 40; ++n) {
        ReportedContent ofOtherHost;
        for (const auto &it : ofOtherHost.select({base::UpstreamId(std::to_string(n)), {}},
                                                 attempts, answered, kStart))
            seen.insert(it.fingerprint);
    }
    CHECK(seen.size() == 4'000);
}
