#include "fleet/Fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssop;
using namespace hyssop::fleet;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr Millis kRetention{5'000};
const base::HostId kFirst("first");
const base::HostId kSecond("second");

Upstream upstream(const char *id, std::int64_t born, std::uint16_t port)
{
    Upstream it;
    it.id = base::UpstreamId(id);
    it.address = {"127.0.0.1", port};
    it.incarnation = base::Incarnation(born);
    it.sequence = 1;
    return it;
}

DirectoryChanges snapshot(std::vector<Upstream> upstreams)
{
    DirectoryChanges changes;
    changes.isSnapshot = true;
    changes.upstreams = std::move(upstreams);
    return changes;
}

DirectoryChanges departure(const char *id, std::int64_t born, DepartureKind departure)
{
    DirectoryChanges changes;
    changes.departed.push_back({base::UpstreamId(id), base::Incarnation(born), departure});
    return changes;
}

} // namespace

TEST_CASE("upstreams are retained for a while when all control hosts restart empty")
{
    FleetView view(kRetention);
    view.apply(kFirst, snapshot({upstream("a", 10, 1)}), kStart);
    view.apply(kFirst, snapshot({}), kStart + Millis(100));
    CHECK(view.removeExpired(kStart + Millis(4'000)).removed.empty());
    CHECK(view.size() == 1);
    CHECK(view.removeExpired(kStart + Millis(6'000)).removed.size() == 1);
}

TEST_CASE("an upstream that timed out at one control host stays while another lists it")
{
    FleetView view(kRetention);
    view.apply(kFirst, snapshot({upstream("a", 10, 1)}), kStart);
    view.apply(kSecond, snapshot({upstream("a", 10, 1)}), kStart);
    CHECK(view.apply(kFirst, departure("a", 10, DepartureKind::TimedOut), kStart).removed.empty());
    CHECK(view.apply(kSecond, departure("a", 10, DepartureKind::TimedOut), kStart).removed.size()
          == 1);
}

TEST_CASE("an upstream that left is removed and an older listing does not restore it")
{
    FleetView view(kRetention);
    view.apply(kFirst, snapshot({upstream("a", 10, 1)}), kStart);
    view.apply(kSecond, snapshot({upstream("a", 10, 1)}), kStart);
    CHECK(view.apply(kFirst, departure("a", 10, DepartureKind::Left), kStart).removed.size() == 1);
    CHECK(view.apply(kSecond, snapshot({upstream("a", 10, 1)}), kStart).upstreams.empty());
    CHECK(view.apply(kSecond, snapshot({upstream("a", 11, 1)}), kStart).upstreams.size() == 1);
}

TEST_CASE("draining is kept when another control host does not know of it")
{
    FleetView view(kRetention);
    Upstream leaving = upstream("a", 10, 1);
    leaving.isLeaving = true;
    view.apply(kFirst, snapshot({leaving}), kStart);
    CHECK(view.apply(kSecond, snapshot({upstream("a", 10, 1)}), kStart).upstreams.empty());
}

TEST_CASE("an upstream that said it leaves stays so for that start, whatever is announced of it")
{
    FleetView view(kRetention);
    view.apply(kFirst, snapshot({upstream("a", 10, 1)}), kStart);
    CHECK(view.markLeaving({base::UpstreamId("a"), base::Incarnation(9)}).upstreams.empty());
    const auto changes = view.markLeaving({base::UpstreamId("a"), base::Incarnation(10)});
    REQUIRE(changes.upstreams.size() == 1);
    CHECK(changes.upstreams.front().isLeaving);
    CHECK(view.markLeaving({base::UpstreamId("a"), base::Incarnation(10)}).upstreams.empty());
    CHECK(view.apply(kSecond, snapshot({upstream("a", 10, 5)}), kStart).upstreams.empty());
    const auto restarted = view.apply(kSecond, snapshot({upstream("a", 11, 1)}), kStart);
    REQUIRE(restarted.upstreams.size() == 1);
    CHECK_FALSE(restarted.upstreams.front().isLeaving);
}

TEST_CASE("an address belongs to the upstream with the latest start")
{
    FleetView view(kRetention);
    view.apply(kFirst, snapshot({upstream("a", 10, 1)}), kStart);
    const auto changes = view.apply(kSecond, snapshot({upstream("b", 20, 1)}), kStart);
    CHECK(changes.removed == std::vector{base::UpstreamId("a")});
    CHECK(view.apply(kFirst, snapshot({upstream("a", 10, 1)}), kStart).upstreams.empty());
}

TEST_CASE("messages are equal after encoding and decoding")
{
    WatchReply reply;
    reply.configurationVersion = ConfigurationVersion(7);
    reply.packedConfiguration = "text";
    reply.isConfirmed = true;
    reply.directory = snapshot({upstream("a", 10, 1)});
    reply.controlHosts = {{"127.0.0.1", 5}};
    reply.distantLoad.upstreams = {{base::UpstreamId("a"), 2, base::Tokens(9), 1, 70}};
    const auto read = decodeWatchReply(encode(reply));
    REQUIRE(read);
    CHECK(read->packedConfiguration == reply.packedConfiguration);
    CHECK(read->directory.upstreams == reply.directory.upstreams);
    CHECK(read->distantLoad == reply.distantLoad);
    CHECK(read->controlHosts == reply.controlHosts);
    CHECK_FALSE(read->loadPeers);
    reply.loadPeers = {{{"127.0.0.2", 6}, base::DataCentreId("north")}, {{"127.0.0.3", 6}, {}}};
    reply.loadPeersRevision = 9;
    CHECK(decodeWatchReply(encode(reply))->loadPeers == reply.loadPeers);
    reply.distantPeers = {{{"127.0.0.4", 6}, base::DataCentreId("south")}};
    CHECK(decodeWatchReply(encode(reply))->distantPeers == reply.distantPeers);
    CHECK(decodeWatchReply(encode(reply))->loadPeersRevision == 9);
    CHECK_FALSE(decodeWatchReply("no message"));
    WatchRequest request;
    request.load = reply.distantLoad;
    CHECK(decodeWatchRequest(encode(request))->load == request.load);
    request.factsRevision = 4;
    request.loadPeersRevision = 8;
    CHECK(decodeWatchRequest(encode(request))->loadPeersRevision == 8);
    reply.factsRevision = 5;
    CHECK(decodeWatchRequest(encode(request))->factsRevision == 4);
    reply.heldFor = Millis(480);
    CHECK(decodeWatchReply(encode(reply))->factsRevision == 5);
    reply.configurationDelta = "delta";
    reply.deltaBase = ConfigurationVersion(6);
    CHECK(decodeWatchReply(encode(reply))->configurationDelta == "delta");
    CHECK(decodeWatchReply(encode(reply))->deltaBase.count() == 6);
    request.acceptsDelta = true;
    CHECK(decodeWatchRequest(encode(request))->acceptsDelta);
    CHECK(decodeWatchReply(encode(reply))->heldFor == Millis(480));
}

TEST_CASE("a packed directory is read as one that is not, and a damaged one is rejected")
{
    WatchReply reply;
    constexpr int kUpstreams = 3'000;
    std::vector<Upstream> upstreams;
    upstreams.reserve(kUpstreams);
    for (int n = 0; n < kUpstreams; ++n)
        upstreams.push_back(upstream(("i-" + std::to_string(n * 7'919)).c_str(), n, 1));
    reply.directory = snapshot(upstreams);
    reply.directory.departed = {{base::UpstreamId("x"), base::Incarnation(3), DepartureKind::Left}};
    const std::string plain = encode(reply);
    reply.packedDirectory = packDirectory(reply.directory);
    const std::string packed = encode(reply);
    CHECK(packed.size() < plain.size() / 3);
    const auto read = decodeWatchReply(packed);
    REQUIRE(read);
    CHECK(read->directory.isSnapshot);
    CHECK(read->directory.upstreams == reply.directory.upstreams);
    REQUIRE(read->directory.departed.size() == 1);
    CHECK(read->directory.departed.front().id.text() == "x");
    reply.packedDirectory.resize(reply.packedDirectory.size() / 2);
    CHECK_FALSE(decodeWatchReply(encode(reply)));
}

TEST_CASE("a load update that is split for datagrams is whole again after all its parts")
{
    LoadUpdate update;
    update.host = base::HostId("e");
    update.isSnapshot = true;
    update.startId = 6;
    for (const char *id : {"a", "b", "c", "d", "e"})
        update.upstreams.push_back({base::UpstreamId(id), 1, {}, 0, 0});
    const auto parts = splitUpdate(update, 2, 10);
    REQUIRE(parts.size() == 3);
    std::vector<UpstreamLoad> upstreams;
    for (std::size_t n = 0; n < parts.size(); ++n) {
        const auto read = decodeLoadUpdate(encode(parts[n]));
        REQUIRE(read);
        CHECK(read->host == update.host);
        CHECK(read->startId == 6);
        CHECK(read->sequence == 11 + static_cast<std::int64_t>(n));
        // A second part that cleared what the first one said would lose it.
        CHECK(read->isSnapshot == (n == 0));
        upstreams.insert(upstreams.end(), read->upstreams.begin(), read->upstreams.end());
    }
    CHECK(upstreams == update.upstreams);
    update.upstreams.clear();
    CHECK(splitUpdate(update, 2, 10).size() == 1);
}

TEST_CASE("a watch of a host that knows no revisions of rate limits is not answered for them")
{
    const std::string bytes = base::toCbor(
            nlohmann::json::array({"e", "d", 3, 1, 5, 500, nlohmann::json::array(), ""}));
    const auto request = decodeWatchRequest(bytes);
    REQUIRE(request);
    CHECK(request->factsRevision == std::numeric_limits<std::int64_t>::max());
}

TEST_CASE("a reply to a permit request says how long it waited and is read by earlier versions")
{
    const std::string granted = encode(PermitReply{true, base::Millis(1'250)});
    CHECK_FALSE(granted.empty());
    CHECK(decodePermitReply(granted).isGranted);
    CHECK(decodePermitReply(granted).waited == base::Millis(1'250));
    CHECK(encode(PermitReply{}).empty());
    CHECK_FALSE(decodePermitReply("").isGranted);
    const PermitReply earlier = decodePermitReply("granted");
    CHECK(earlier.isGranted);
    CHECK_FALSE(earlier.waited);
}

TEST_CASE("an oversized prompt of an earlier entry host is prefilled alone")
{
    PermitRequest request;
    request.isOversized = true;
    request.dataCentre = base::DataCentreId("d");
    request.route = "r";
    request.idleWait = base::Millis(7);
    request.isPrefilled = true;
    const auto read = decodePermitRequest(encode(request));
    REQUIRE(read);
    CHECK(read->route == request.route);
    CHECK(read->idleWait == request.idleWait);
    CHECK(read->isPrefilled);
    CHECK(read->dataCentre == request.dataCentre);
    CHECK_FALSE(read->isExclusive);
    const auto earlier = decodePermitRequest(
            base::toCbor(nlohmann::json::array({"e", 1, 7, "s", 900, 500, 400, false, true})));
    REQUIRE(earlier);
    CHECK(earlier->isExclusive);
    CHECK(earlier->idleWait == earlier->maxWait);
    CHECK(earlier->dataCentre.text().empty());
}

TEST_CASE("a directory that lists a start of an upstream under another service changes nothing")
{
    FleetView view(kRetention);
    const Upstream real = upstream("a", 10, 1);
    view.apply(kFirst, snapshot({real}), kStart);
    Upstream foreign = real;
    foreign.service = base::ServiceId("other");
    foreign.sequence = 1'000;
    CHECK(view.apply(kSecond, snapshot({foreign}), kStart).upstreams.empty());
    CHECK(view.apply(kSecond, departure("a", 10, DepartureKind::TimedOut), kStart).removed.empty());
    CHECK(view.size() == 1);
}
