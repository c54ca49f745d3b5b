#include "CrashSuspects.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::registry;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const base::ServiceId kService("model");
/// Requests were sent so long before a crash, unless a test says otherwise.
constexpr Millis kRunTime{500};
const fleet::Fingerprint kPart(1);
const fleet::Fingerprint kOther(2);

fleet::CrashReport crash(int upstream, std::vector<fleet::Fingerprint> contents,
                         Millis age = Millis(0), bool wasTrial = false)
{
    fleet::CrashReport report{
            base::UpstreamId(std::to_string(upstream)), base::Incarnation(1), age, {}};
    for (const fleet::Fingerprint it : contents)
        report.contents.push_back({it, wasTrial, age + kRunTime, {}});
    return report;
}

fleet::TrialKey key(int call)
{
    return {base::HostId("e"), 1, call};
}

struct Fixture
{
    CrashSuspects suspects;
    std::vector<fleet::TrialReply> replies;
    int lastCall = 0;
    int lastUpstream = 0;

    void report(const fleet::CrashReport &report, base::TimePoint now)
    {
        suspects.report({base::HostId("e"), {report}, {}, {}, {}}, now);
    }
    void answer(fleet::Fingerprint content, base::TimePoint now)
    {
        suspects.report({base::HostId("e"), {}, {content}, {}, {}}, now);
    }
    /// Returns whether a trial is granted at once.
    bool requestTrial(const std::vector<fleet::Fingerprint> &contents, base::TimePoint now)
    {
        const std::size_t before = replies.size();
        suspects.requestTrial(
                {key(++lastCall), kService, contents, Millis(150)},
                [this](const auto &it) { replies.push_back(it); }, now);
        return replies.size() > before && replies.back().isGranted;
    }
    void failTrial(const std::vector<fleet::Fingerprint> &contents, base::TimePoint now)
    {
        suspects.report({base::HostId("e"),
                         {crash(++lastUpstream, contents, Millis(0), true)},
                         {},
                         {},
                         key(lastCall)},
                        now);
    }
    /// Content with \a count crashes and as many failed trials more.
    void quarantine(const std::vector<fleet::Fingerprint> &contents, base::TimePoint now)
    {
        report(crash(++lastUpstream, contents), now - Millis(1'000));
        report(crash(++lastUpstream, contents), now - Millis(500));
        for (int n = 0; n < 2; ++n) {
            REQUIRE(requestTrial(contents, now));
            failTrial(contents, now);
        }
    }
    fleet::Quarantine quarantineOf(fleet::Fingerprint content, base::TimePoint now) const
    {
        for (const fleet::CrashSuspect &it : suspects.suspects(now)) {
            if (it.fingerprint == content)
                return it.quarantine;
        }
        return fleet::Quarantine::None;
    }
};

} // namespace

TEST_CASE("a crash that several hosts report counts once")
{
    Fixture it;
    for (int n = 0; n < 7; ++n)
        it.report(crash(1, {kPart}, Millis(n * 150)), kStart + Millis(n * 150));
    CHECK(it.suspects.suspects(kStart + Millis(2'000)).empty());
}

TEST_CASE("upstreams that crash at the same moment make no content suspect")
{
    Fixture it;
    // Reports of a thousand upstreams, the last ones long after the crash.
    for (int n = 0; n < 1'000; ++n)
        it.report(crash(n, {kPart}, Millis(n)), kStart + Millis(n));
    CHECK(it.suspects.suspects(kStart + Millis(2'000)).empty());
}

TEST_CASE("a request that was sent after a crash counts for the next one, however soon it comes")
{
    Fixture it;
    it.report(crash(1, {kPart}), kStart);
    fleet::CrashReport second = crash(2, {kPart});
    second.contents[0].sentAge = Millis(49);
    it.report(second, kStart + Millis(50));
    CHECK(it.suspects.suspects(kStart + Millis(60)).size() == 1);
}

TEST_CASE("content is suspect after two crashes and not after an answer between them")
{
    Fixture it;
    it.report(crash(1, {kPart, kOther}), kStart);
    it.answer(kOther, kStart + Millis(200));
    it.report(crash(2, {kPart, kOther}), kStart + Millis(400));
    const auto suspects = it.suspects.suspects(kStart + Millis(500));
    REQUIRE(suspects.size() == 1);
    CHECK(suspects[0].fingerprint == kPart);
    CHECK(suspects[0].crashes == 2);
    CHECK(suspects[0].crashAge == Millis(500));
    it.answer(kPart, kStart + Millis(600));
    CHECK(it.suspects.suspects(kStart + Millis(700)).empty());
}

TEST_CASE("an answer that a host saw between two crashes counts when it reports the second one")
{
    Fixture it;
    it.report(crash(1, {kPart}), kStart);
    fleet::CrashReport second = crash(2, {kPart});
    second.contents[0].answeredAge = Millis(100);
    it.report(second, kStart + Millis(400));
    CHECK(it.suspects.suspects(kStart + Millis(500)).empty());
    second = crash(3, {kPart});
    second.contents[0].answeredAge = Millis(700);
    it.report(second, kStart + Millis(800));
    CHECK(it.suspects.suspects(kStart + Millis(900)).size() == 1);
}

TEST_CASE("trials of a service run one at a time")
{
    Fixture it;
    for (const fleet::Fingerprint content : {kPart, kOther}) {
        it.report(crash(1, {content}), kStart);
        it.report(crash(2, {content}), kStart + Millis(300));
    }
    const base::TimePoint now = kStart + Millis(400);
    CHECK(it.requestTrial({kPart}, now));
    CHECK_FALSE(it.requestTrial({kOther}, now));
    CHECK(it.requestTrial({fleet::Fingerprint(3)}, now));
    // The second one is granted when the first one has ended.
    it.suspects.report({base::HostId("e"), {}, {kPart}, {}, key(1)}, now + Millis(50));
    REQUIRE(it.replies.size() == 3);
    CHECK(it.replies[2].isGranted);
    // A host that dies in a trial does not block the others.
    CHECK_FALSE(it.requestTrial({kOther}, now + Millis(5'000)));
    it.suspects.tick(now + Millis(5'100));
    REQUIRE(it.replies.size() == 4);
    CHECK(it.replies[3].isGranted);
}

TEST_CASE("a call that gets no trial in time is told when to come back")
{
    Fixture it;
    it.report(crash(1, {kPart}), kStart);
    it.report(crash(2, {kPart}), kStart + Millis(300));
    CHECK(it.requestTrial({kPart}, kStart + Millis(400)));
    CHECK_FALSE(it.requestTrial({kPart}, kStart + Millis(400)));
    it.suspects.tick(kStart + Millis(550));
    REQUIRE(it.replies.size() == 2);
    CHECK_FALSE(it.replies[1].isGranted);
    CHECK(it.replies[1].retryAfter > Millis(0));
}

TEST_CASE("content that crashes its trials is quarantined, and no more than three run in a day")
{
    Fixture it;
    it.quarantine({kPart}, kStart);
    CHECK(it.quarantineOf(kPart, kStart) == fleet::Quarantine::Full);
    int trials = 0;
    for (Millis at{0}; at < Millis(24 * 3'600'000); at += Millis(10'000)) {
        if (it.requestTrial({kPart}, kStart + at)) {
            ++trials;
            it.failTrial({kPart}, kStart + at + Millis(100));
        }
    }
    CHECK(trials == 3);
    CHECK(it.quarantineOf(kPart, kStart + Millis(24 * 3'600'000)) == fleet::Quarantine::Full);
}

TEST_CASE("a crash that shows only after its trial has ended counts for the trial")
{
    Fixture it;
    it.report(crash(1, {kPart}), kStart);
    it.report(crash(2, {kPart}), kStart + Millis(300));
    for (int n = 0; n < 2; ++n) {
        const base::TimePoint now = kStart + Millis(5'000 * (n + 1));
        REQUIRE(it.requestTrial({kPart}, now));
        it.suspects.report({base::HostId("e"), {}, {}, {}, key(it.lastCall)}, now + Millis(50));
        it.lastUpstream = 10 + n;
        it.failTrial({kPart}, now + Millis(3'000));
    }
    CHECK(it.quarantineOf(kPart, kStart + Millis(15'000)) == fleet::Quarantine::Full);
}

TEST_CASE("an answered trial ends a quarantine")
{
    Fixture it;
    it.quarantine({kPart}, kStart);
    CHECK_FALSE(it.requestTrial({kPart}, kStart + Millis(30'000)));
    CHECK(it.replies.back().retryAfter == Millis(30'000));
    REQUIRE(it.requestTrial({kPart}, kStart + Millis(60'000)));
    it.answer(kPart, kStart + Millis(61'000));
    CHECK(it.suspects.suspects(kStart + Millis(61'000)).empty());
}

TEST_CASE("of two suspects that crash together only one that crashes alone is quarantined for all")
{
    Fixture it;
    it.quarantine({kPart, kOther}, kStart);
    CHECK(it.quarantineOf(kPart, kStart) == fleet::Quarantine::Joint);
    CHECK(it.quarantineOf(kOther, kStart) == fleet::Quarantine::Joint);
    CHECK_FALSE(it.requestTrial({kPart, kOther}, kStart + Millis(100)));
    REQUIRE(it.requestTrial({kOther}, kStart + Millis(200)));
    it.answer(kOther, kStart + Millis(300));
    CHECK(it.quarantineOf(kPart, kStart + Millis(300)) == fleet::Quarantine::Full);
    CHECK(it.quarantineOf(kOther, kStart + Millis(300)) == fleet::Quarantine::None);
}

TEST_CASE("a trial that another suspect's crash interrupts proves nothing")
{
    Fixture it;
    it.report(crash(1, {kPart}), kStart - Millis(900));
    it.report(crash(2, {kPart, kOther}), kStart - Millis(600));
    it.report(crash(3, {kPart, kOther}), kStart - Millis(300));
    REQUIRE(it.requestTrial({kPart}, kStart));
    // A request with the other content was in flight there too, from another host.
    it.report(crash(4, {kOther}), kStart + Millis(50));
    it.lastUpstream = 3;
    it.failTrial({kPart}, kStart + Millis(50));
    CHECK(it.quarantineOf(kPart, kStart + Millis(100)) == fleet::Quarantine::None);
}

TEST_CASE("a new leader keeps the quarantines that hosts know")
{
    Fixture former;
    former.quarantine({kPart}, kStart);
    auto known = former.suspects.suspects(kStart + Millis(10'000));
    known.at(0).failedTrials = 0; // The crashes of former trials are not passed on.
    Fixture it;
    for (int n = 0; n < 3; ++n)
        it.suspects.report({base::HostId("e"), {}, {}, known, {}}, kStart + Millis(10'000));
    CHECK(it.suspects.suspects(kStart + Millis(10'000)) == known);
    CHECK_FALSE(it.requestTrial({kPart}, kStart + Millis(20'000)));
    CHECK(it.requestTrial({kPart}, kStart + Millis(60'000)));
}

TEST_CASE("what is kept of crashes is bounded and ends with time")
{
    Fixture it;
    for (int n = 0; n < 20'000; ++n)
        it.report(crash(n, {fleet::Fingerprint(n)}), kStart + Millis(n));
    CHECK(it.suspects.size() <= 16'384);
    it.report(crash(1, {kPart}), kStart + Millis(4'000'000));
    CHECK(it.suspects.size() == 1);
    for (int n = 0; n < 200; ++n) {
        it.report(crash(1, {fleet::Fingerprint(n)}), kStart + Millis(4'000'000));
        it.report(crash(2, {fleet::Fingerprint(n)}), kStart + Millis(4'001'000));
    }
    CHECK(it.suspects.suspects(kStart + Millis(4'002'000)).size() <= CrashSuspects::kMaxPublished);
}
