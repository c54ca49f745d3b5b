#include "fleet/Fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssop;
using namespace hyssop::fleet;
using base::Millis;

namespace {

CrashSuspect suspect(std::int64_t fingerprint, Quarantine quarantine, Millis nextTrialIn)
{
    return {Fingerprint(fingerprint), 4, 2, quarantine, 1, Millis(700), nextTrialIn};
}

} // namespace

TEST_CASE("evidence of crashes, trials and suspects are read back as they were sent")
{
    CrashEvidence evidence;
    evidence.host = base::HostId("e");
    evidence.crashes = {
            {base::UpstreamId("u"),
             base::Incarnation(7),
             Millis(30),
             {{Fingerprint(-5), true, Millis(90), Millis(400)}, {Fingerprint(6), false, {}, {}}}}};
    evidence.answered = {Fingerprint(8)};
    evidence.suspects = {suspect(9, Quarantine::Joint, Millis(60'000))};
    evidence.endedTrial = TrialKey{base::HostId("e"), 3, 4};
    const auto read = decodeCrashEvidence(encode(evidence));
    REQUIRE(read);
    CHECK(read->host == evidence.host);
    CHECK(read->crashes == evidence.crashes);
    CHECK(read->answered == evidence.answered);
    CHECK(read->suspects == evidence.suspects);
    CHECK(read->endedTrial == evidence.endedTrial);
    CHECK_FALSE(decodeCrashEvidence(encode(CrashEvidence()))->endedTrial);

    const TrialRequest request{{base::HostId("e"), 3, 4},
                               base::ServiceId("s"),
                               {Fingerprint(1), Fingerprint(2)},
                               Millis(150)};
    const auto readRequest = decodeTrialRequest(encode(request));
    REQUIRE(readRequest);
    CHECK(readRequest->key == request.key);
    CHECK(readRequest->service == request.service);
    CHECK(readRequest->fingerprints == request.fingerprints);
    CHECK(readRequest->maxWait == request.maxWait);
    CHECK(decodeTrialReply(encode(TrialReply{true, Millis(5)}))->isGranted);
    CHECK(decodeTrialReply(encode(TrialReply{false, Millis(5)}))->retryAfter == Millis(5));

    WatchReply reply;
    reply.crashSuspects = evidence.suspects;
    CHECK(decodeWatchReply(encode(reply))->crashSuspects == reply.crashSuspects);
}

TEST_CASE("messages about crashes that cannot be read are refused")
{
    CHECK_FALSE(decodeCrashEvidence("no message"));
    CHECK_FALSE(decodeTrialRequest(""));
    CHECK_FALSE(decodeTrialReply(base::toCbor(nlohmann::json::array({"yes", "soon"}))));
    // A state that this version does not know counts as the strictest one.
    const auto empty = nlohmann::json::array();
    const auto unknown = nlohmann::json::array({1, 2, 0, 9, 0, 10, 20});
    const std::string bytes = base::toCbor(
            nlohmann::json::array({"e", empty, empty, nlohmann::json::array({unknown}), nullptr}));
    REQUIRE(decodeCrashEvidence(bytes));
    CHECK(decodeCrashEvidence(bytes)->suspects.at(0).quarantine == Quarantine::Full);
}

TEST_CASE("a watch reply of an earlier control host names no suspects")
{
    const auto empty = nlohmann::json::array();
    const auto reply = decodeWatchReply(base::toCbor(nlohmann::json::array(
            {1, nullptr, true, 1, 1, false, empty, empty, empty, 1, empty, empty, empty, 5, 480})));
    REQUIRE(reply);
    CHECK(reply->factsRevision == 5);
    CHECK(reply->crashSuspects.empty());
}

TEST_CASE("a request is held back by full quarantines and by two joint ones")
{
    const CrashSuspect open = suspect(1, Quarantine::None, Millis(0));
    const CrashSuspect joint = suspect(2, Quarantine::Joint, Millis(100));
    const CrashSuspect other = suspect(3, Quarantine::Joint, Millis(300));
    const CrashSuspect full = suspect(4, Quarantine::Full, Millis(200));
    CHECK(nextTrialIn({open, joint}) == Millis(0));
    CHECK(nextTrialIn({joint, other}) == Millis(300));
    CHECK(nextTrialIn({open, full, joint}) == Millis(200));
    CHECK(quarantinedIn({open, full, joint}) == std::vector<CrashSuspect>{full});
}

TEST_CASE("the ages of a report grow by the time for which it was kept")
{
    CrashReport report{base::UpstreamId("u"), base::Incarnation(1), Millis(10), {}};
    report.contents = {{Fingerprint(1), false, Millis(50), Millis(200)},
                       {Fingerprint(2), false, Millis(60), {}}};
    report.addAge(Millis(1'000));
    CHECK(report.age == Millis(1'010));
    CHECK(report.contents[0].sentAge == Millis(1'050));
    CHECK(report.contents[0].answeredAge == Millis(1'200));
    CHECK_FALSE(report.contents[1].answeredAge);
}

TEST_CASE("content has other fingerprints at another service and with its texts divided otherwise")
{
    const base::ServiceId a("a");
    CHECK(fingerprintOf(a, {"part", "1"}) == fingerprintOf(a, {"part", "1"}));
    CHECK(fingerprintOf(a, {"part", "1"}) != fingerprintOf(base::ServiceId("b"), {"part", "1"}));
    CHECK(fingerprintOf(a, {"part", "12"}) != fingerprintOf(a, {"part", "1", "2"}));
    CHECK(fingerprintOf(a, {"request", "t", "/a", "b"})
          != fingerprintOf(a, {"request", "t", "/ab", ""}));
}
