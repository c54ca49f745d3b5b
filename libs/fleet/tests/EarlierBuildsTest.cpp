// Messages as earlier builds wrote them, and what these read of present ones. Each file of golden/
// was written by the build of the commit that it is named after.

#include "fleet/Fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>

using namespace hyssop;
using namespace hyssop::fleet;
using base::Millis;
using nlohmann::json;

namespace {

struct Build
{
    std::string commit;
    bool exchangesLoad = true; ///< Its entry hosts send loads by datagrams.
    bool sizesAreShared = true; ///< Its permits name routes.
};

std::vector<Build> builds()
{
    return {{"b51654d", false, false}, {"bc49b41", true, false}, {"bff58e5", true, true}};
}

/// The messages of a build by their names.
std::map<std::string, std::string> messagesOf(const Build &build)
{
    std::ifstream file(std::string(HYSSOP_GOLDEN_DIR) + "/" + build.commit + ".txt");
    std::map<std::string, std::string> messages;
    std::string name;
    std::string digits;
    while (file >> name >> digits) {
        std::string &bytes = messages[name];
        for (std::size_t n = 0; n + 1 < digits.size(); n += 2)
            bytes += static_cast<char>(std::stoi(digits.substr(n, 2), nullptr, 16));
    }
    return messages;
}

Upstream upstream()
{
    Upstream it;
    it.id = base::UpstreamId("u1");
    it.service = base::ServiceId("model");
    it.address = {"10.0.0.9", 9000};
    it.dataCentre = base::DataCentreId("floro-sal");
    it.incarnation = base::Incarnation(77);
    it.sequence = 5;
    it.slots = 16;
    it.isLeaving = true;
    return it;
}

UpstreamLoad load()
{
    return {base::UpstreamId("u1"), 3, base::Tokens(4'000), 2, 150};
}

RateLimitReport rateLimit()
{
    return {base::UpstreamId("u1"),
            base::Incarnation(77),
            RequestRate(12),
            Millis(30),
            Millis(40),
            6};
}

CrashSuspect suspect()
{
    return {Fingerprint(99), 3, 1, Quarantine::Joint, 2, Millis(500), Millis(250)};
}

void checkReply(const WatchReply &reply, const Build &build)
{
    CHECK(reply.configurationVersion.count() == 42);
    CHECK(reply.isConfirmed);
    CHECK(reply.directory.incarnation == 8);
    CHECK(reply.directory.revision == 12);
    CHECK(reply.directory.isSnapshot);
    CHECK(reply.directory.upstreams == std::vector{upstream()});
    REQUIRE(reply.directory.departed.size() == 1);
    CHECK(reply.directory.departed.front().kind == DepartureKind::TimedOut);
    CHECK(reply.controlHosts == std::vector<base::Endpoint>{{"10.0.0.5", 7000}});
    CHECK(reply.entryHostCount == 4);
    REQUIRE(reply.loadPeers);
    CHECK(*reply.loadPeers == std::vector<LoadPeer>{{{"10.0.0.2", 7000}, {}}});
    CHECK(reply.distantLoad.upstreams == std::vector{load()});
    CHECK(reply.includesPeers == !build.exchangesLoad);
    REQUIRE(reply.rateLimits.size() == 1);
    CHECK(reply.rateLimits.front().rate.count() == 12);
    CHECK(reply.rateLimits.front().unplannedRequests == 6);
    CHECK(reply.factsRevision == 13);
    CHECK(reply.heldFor == Millis(14));
    CHECK(reply.crashSuspects == std::vector{suspect()});
    CHECK(reply.knowsCrashSuspects);
}

/// Whether a build that reads the first fields of \a message as it wrote them finds its own values
/// there, and fields of the same kinds.
void checkPrefix(const std::string &message, const std::string &golden)
{
    const json present = json::from_cbor(message);
    const json earlier = json::from_cbor(golden);
    REQUIRE(present.size() >= earlier.size());
    for (std::size_t n = 0; n < earlier.size(); ++n) {
        CAPTURE(n);
        const bool isSame = present[n] == earlier[n];
        CHECK(isSame);
    }
}

} // namespace

TEST_CASE("watches of earlier builds are read whole, and earlier builds read present ones")
{
    const Build build = GENERATE(from_range(builds()));
    CAPTURE(build.commit);
    const auto messages = messagesOf(build);
    const auto request = decodeWatchRequest(messages.at("watch-request"));
    REQUIRE(request);
    CHECK(request->host.text() == "entry-1");
    CHECK(request->address == base::Endpoint{"10.0.0.1", 7000});
    CHECK(request->configurationVersion.count() == 41);
    CHECK(request->directoryRevision == 9);
    CHECK(request->maxWait == Millis(500));
    CHECK(request->load.upstreams == std::vector{load()});
    CHECK(request->factsRevision == 10);
    CHECK(request->exchangesLoad == build.exchangesLoad);
    CHECK(request->acceptsDelta == build.exchangesLoad);
    CHECK_FALSE(request->acceptsPackedDirectory);
    checkPrefix(encode(*request), messages.at("watch-request"));

    const auto reply = decodeWatchReply(messages.at("watch-reply"));
    REQUIRE(reply);
    checkReply(*reply, build);
    CHECK(decompressText(*reply->packedConfiguration) == "{\"Version\":42}");
    if (!build.exchangesLoad)
        checkPrefix(encode(*reply), messages.at("watch-reply"));
}

TEST_CASE("deltas of earlier builds are applied")
{
    const std::string base = R"({"a":[{"n":1},{"n":2},{"n":3}]})";
    const std::string target = R"({"a":[{"n":1},{"n":4},{"n":3}]})";
    for (const char *commit : {"bc49b41", "bff58e5"}) {
        CAPTURE(commit);
        const auto reply = decodeWatchReply(messagesOf({commit}).at("watch-reply-with-delta"));
        REQUIRE(reply);
        REQUIRE(reply->configurationDelta);
        CHECK(reply->deltaBase.count() == 41);
        CHECK(applyDelta(base, *reply->configurationDelta) == target);
        CHECK(makeDelta(base, target) == *reply->configurationDelta);
    }
}

TEST_CASE("loads, permits and shares of limits of earlier builds are read, and the reverse")
{
    const Build build = GENERATE(from_range(builds()));
    CAPTURE(build.commit);
    const auto messages = messagesOf(build);
    const auto update = decodeLoadUpdate(messages.at("load-update"));
    REQUIRE(update);
    CHECK(update->isSnapshot);
    CHECK(update->upstreams == std::vector{load()});
    CHECK(update->sequence == (build.exchangesLoad ? 22 : 0));
    checkPrefix(encode(*update), messages.at("load-update"));

    const auto permit = decodePermitRequest(messages.at("permit-request"));
    REQUIRE(permit);
    CHECK(permit->key.call == 32);
    CHECK(permit->prefillMs == 900);
    CHECK(permit->maxWait == Millis(3'000));
    CHECK(permit->isOversized);
    CHECK_FALSE(permit->isExclusive);
    CHECK(permit->route == (build.sizesAreShared ? "chat" : ""));
    CHECK(permit->idleWait == Millis(build.sizesAreShared ? 1'500 : 3'000));
    checkPrefix(encode(*permit), messages.at("permit-request"));
    const auto release = decodePermitRequest(messages.at("permit-release"));
    REQUIRE(release);
    CHECK(release->isRelease);
    CHECK(release->isPrefilled == build.sizesAreShared);

    const auto grant = decodeSendGrantRequest(messages.at("send-grant-request"));
    REQUIRE(grant);
    REQUIRE(grant->limits.size() == 1);
    CHECK(grant->limits.front().rate == rateLimit().rate);
    CHECK(grant->wanted == 2);
    CHECK(grant->maxWait == Millis(400));
    checkPrefix(encode(*grant), messages.at("send-grant-request"));
    const auto granted = decodeSendGrantReply(messages.at("send-grant-reply"));
    REQUIRE(granted);
    CHECK(granted->count == 2);
    CHECK(granted->retryAfter == Millis(60));
    checkPrefix(encode(*granted), messages.at("send-grant-reply"));
}

TEST_CASE("crashes, trials and announcements of earlier builds are read, and the reverse")
{
    const Build build = GENERATE(from_range(builds()));
    CAPTURE(build.commit);
    const auto messages = messagesOf(build);
    const auto evidence = decodeCrashEvidence(messages.at("crash-evidence"));
    REQUIRE(evidence);
    REQUIRE(evidence->crashes.size() == 1);
    REQUIRE(evidence->crashes.front().contents.size() == 2);
    CHECK(evidence->crashes.front().contents.front().answeredAge == Millis(90));
    CHECK(evidence->suspects == std::vector{suspect()});
    REQUIRE(evidence->endedTrial);
    CHECK(evidence->endedTrial->call == 33);
    checkPrefix(encode(*evidence), messages.at("crash-evidence"));
    const auto trial = decodeTrialRequest(messages.at("trial-request"));
    REQUIRE(trial);
    CHECK(trial->fingerprints == std::vector{Fingerprint(99)});
    checkPrefix(encode(*trial), messages.at("trial-request"));
    const auto decided = decodeTrialReply(messages.at("trial-reply"));
    REQUIRE(decided);
    CHECK(decided->isGranted);
    checkPrefix(encode(*decided), messages.at("trial-reply"));
    const auto relay = decodeRelayedAnnouncements(messages.at("relayed-announcements"));
    REQUIRE(relay);
    CHECK(relay->upstreams == std::vector{upstream()});
    CHECK(relay->leaving.size() == (build.exchangesLoad ? 1 : 0));
    checkPrefix(encode(*relay), messages.at("relayed-announcements"));
    CHECK(decompressText(messages.at("packed-text")) == "{\"Version\":42}");
}

TEST_CASE("suspects are not taken for cleared by a control host that keeps no account of them")
{
    constexpr std::size_t kFieldsBeforeSuspects = 15;
    const json fields = json::from_cbor(encode(WatchReply()));
    const std::vector<json> first(fields.begin(), fields.begin() + kFieldsBeforeSuspects);
    const auto reply = decodeWatchReply(base::toCbor(json(first)));
    REQUIRE(reply);
    CHECK_FALSE(reply->knowsCrashSuspects);
    CHECK(decodeWatchReply(encode(WatchReply()))->knowsCrashSuspects);
}
