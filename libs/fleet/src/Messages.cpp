#include "fleet/Fleet.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hyssop::fleet {

using nlohmann::json;

namespace {

/// A permit that is never released expires after this time for placement plus the prefill time on
/// one engine. While engines are busy, even a very long prompt gets few of them.
constexpr base::Millis kPlacementAllowance{700};
constexpr base::Millis kMaxPermitLifetime{10'000};

json toJson(const Upstream &it)
{
    json fields{it.id.text(),         it.service.text(),      it.address.address, it.address.port,
                it.dataCentre.text(), it.incarnation.count(), it.sequence,        it.slots,
                it.isLeaving};
    if (it.coldRemaining > base::Millis(0))
        fields.push_back(it.coldRemaining.count());
    return fields;
}

Upstream upstreamFrom(const json &j)
{
    Upstream it;
    it.id = base::UpstreamId(j.at(0));
    it.service = base::ServiceId(j.at(1));
    it.address = {j.at(2), j.at(3)};
    it.dataCentre = base::DataCentreId(j.at(4));
    it.incarnation = base::Incarnation(j.at(5));
    it.sequence = j.at(6);
    it.slots = j.at(7);
    it.isLeaving = j.at(8);
    // Missing where it is not cold, and from hosts of earlier versions.
    if (j.size() > 9)
        it.coldRemaining = base::Millis(j.at(9));
    return it;
}

json toJson(const DepartedUpstream &it)
{
    return {it.id.text(), it.incarnation.count(), static_cast<int>(it.kind)};
}

DepartedUpstream departedFrom(const json &j)
{
    return {base::UpstreamId(j.at(0)), base::Incarnation(j.at(1)),
            j.at(2).get<int>() == 0 ? DepartureKind::Left : DepartureKind::TimedOut};
}

json toJson(const LeavingUpstream &it)
{
    return {it.id.text(), it.incarnation.count()};
}

json toJson(const UpstreamLoad &it)
{
    return {it.upstream.text(), it.requests, it.kvTokens.count(), it.shortRequests, it.prefillMs};
}

UpstreamLoad upstreamLoadFrom(const json &j)
{
    return {base::UpstreamId(j.at(0)), j.at(1), base::Tokens(j.at(2)), j.at(3), j.at(4)};
}

json toJson(const RateLimitReport &it)
{
    return {it.upstream.text(),    it.incarnation.count(), it.rate.count(),
            it.requestAge.count(), it.answerAge.count(),   it.unplannedRequests};
}

RateLimitReport rateLimitFrom(const json &j)
{
    return {base::UpstreamId(j.at(0)), base::Incarnation(j.at(1)), RequestRate(j.at(2)),
            base::Millis(j.at(3)),     base::Millis(j.at(4)),      j.at(5)};
}

std::vector<RateLimitReport> rateLimitsFrom(const json &j)
{
    std::vector<RateLimitReport> limits;
    for (const json &it : j)
        limits.push_back(rateLimitFrom(it));
    return limits;
}

json toJson(const Fingerprint &it)
{
    return it.count();
}

json toJson(const CrashSuspect &it)
{
    return {it.fingerprint.count(),          it.crashes,          it.failedTrials,
            static_cast<int>(it.quarantine), it.quarantineTrials, it.crashAge.count(),
            it.nextTrialIn.count()};
}

CrashSuspect crashSuspectFrom(const json &j)
{
    CrashSuspect it;
    it.fingerprint = Fingerprint(j.at(0));
    it.crashes = j.at(1);
    it.failedTrials = j.at(2);
    it.quarantine = static_cast<Quarantine>(std::clamp(j.at(3).get<int>(), 0, 2));
    it.quarantineTrials = j.at(4);
    it.crashAge = base::Millis(j.at(5));
    it.nextTrialIn = base::Millis(j.at(6));
    return it;
}

json toJson(const InterruptedContent &it)
{
    return {it.fingerprint.count(), it.wasTrial, it.sentAge.count(),
            it.answeredAge ? json(it.answeredAge->count()) : json()};
}

InterruptedContent interruptedContentFrom(const json &j)
{
    InterruptedContent it{Fingerprint(j.at(0)), j.at(1), base::Millis(j.at(2)), {}};
    if (!j.at(3).is_null())
        it.answeredAge = base::Millis(j.at(3));
    return it;
}

json toJson(const PermitKey &it)
{
    return {it.host.text(), it.startId, it.call};
}

PermitKey keyFrom(const json &j)
{
    return {base::HostId(j.at(0)), j.at(1), j.at(2)};
}

json toJson(const CrashReport &it);

template <typename T>
json listToJson(const std::vector<T> &list)
{
    json j = json::array();
    for (const T &it : list)
        j.push_back(toJson(it));
    return j;
}

json toJson(const CrashReport &it)
{
    return {it.upstream.text(), it.incarnation.count(), it.age.count(), listToJson(it.contents)};
}

CrashReport crashReportFrom(const json &j)
{
    CrashReport report{
            base::UpstreamId(j.at(0)), base::Incarnation(j.at(1)), base::Millis(j.at(2)), {}};
    for (const json &it : j.at(3))
        report.contents.push_back(interruptedContentFrom(it));
    return report;
}

std::vector<Fingerprint> fingerprintsFrom(const json &j)
{
    std::vector<Fingerprint> fingerprints;
    for (const json &it : j)
        fingerprints.emplace_back(it.get<std::int64_t>());
    return fingerprints;
}

std::vector<CrashSuspect> crashSuspectsFrom(const json &j)
{
    std::vector<CrashSuspect> suspects;
    for (const json &it : j)
        suspects.push_back(crashSuspectFrom(it));
    return suspects;
}

LoadReport loadFrom(const json &j)
{
    LoadReport load;
    for (const json &it : j)
        load.upstreams.push_back(upstreamLoadFrom(it));
    return load;
}

template <typename T, typename Read>
std::optional<T> decode(std::string_view bytes, const Read &read)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return std::nullopt;
    try {
        return read(*parsed);
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

UpstreamLoad &UpstreamLoad::operator+=(const UpstreamLoad &other)
{
    requests += other.requests;
    kvTokens += other.kvTokens;
    shortRequests += other.shortRequests;
    prefillMs += other.prefillMs;
    return *this;
}

UpstreamLoad &UpstreamLoad::operator-=(const UpstreamLoad &other)
{
    requests -= other.requests;
    kvTokens -= other.kvTokens;
    shortRequests -= other.shortRequests;
    prefillMs -= other.prefillMs;
    return *this;
}

std::vector<LoadUpdate> splitUpdate(const LoadUpdate &update, std::size_t maxUpstreams,
                                    std::int64_t sequence)
{
    std::vector<LoadUpdate> parts;
    auto it = update.upstreams.begin();
    do {
        const auto left = static_cast<std::size_t>(update.upstreams.end() - it);
        const auto end = it + static_cast<std::ptrdiff_t>(std::min(maxUpstreams, left));
        LoadUpdate &part = parts.emplace_back();
        part.host = update.host;
        part.isSnapshot = update.isSnapshot && parts.size() == 1;
        part.upstreams.assign(it, end);
        part.startId = update.startId;
        part.unreachableServices = update.unreachableServices;
        part.sequence = ++sequence;
        it = end;
    } while (it != update.upstreams.end());
    return parts;
}

LoadReport sumLoads(const std::vector<LoadReport> &reports)
{
    std::map<base::UpstreamId, UpstreamLoad> upstreams;
    for (const LoadReport &report : reports) {
        for (const UpstreamLoad &it : report.upstreams) {
            UpstreamLoad &sum = upstreams[it.upstream];
            sum.upstream = it.upstream;
            sum += it;
        }
    }
    LoadReport total;
    for (const auto &[id, load] : upstreams)
        total.upstreams.push_back(load);
    return total;
}

std::string encode(const WatchRequest &request)
{
    return base::toCbor({request.host.text(), request.dataCentre.text(),
                         request.configurationVersion.count(), request.directoryIncarnation,
                         request.directoryRevision, request.maxWait.count(),
                         listToJson(request.load.upstreams), request.address.text(),
                         request.factsRevision, request.loadPeersRevision, request.acceptsDelta,
                         request.acceptsPackedDirectory, request.evacuationsRevision});
}

std::optional<WatchRequest> decodeWatchRequest(std::string_view bytes)
{
    return decode<WatchRequest>(bytes, [](const json &j) {
        WatchRequest request;
        request.host = base::HostId(j.at(0));
        request.dataCentre = base::DataCentreId(j.at(1));
        request.configurationVersion = ConfigurationVersion(j.at(2));
        request.directoryIncarnation = j.at(3);
        request.directoryRevision = j.at(4);
        request.maxWait = base::Millis(j.at(5));
        request.load = loadFrom(j.at(6));
        request.address =
                base::parseEndpoint(j.at(7).get<std::string>()).value_or(base::Endpoint());
        // Entry hosts of earlier versions do not wait for rate limits.
        request.factsRevision = j.size() > 8 ? j.at(8).get<std::int64_t>()
                                             : std::numeric_limits<std::int64_t>::max();
        request.exchangesLoad = j.size() > 9;
        if (j.size() > 9)
            request.loadPeersRevision = j.at(9);
        if (j.size() > 10)
            request.acceptsDelta = j.at(10);
        if (j.size() > 11)
            request.acceptsPackedDirectory = j.at(11);
        request.evacuationsRevision =
                j.size() > 12 ? j.at(12).get<std::int64_t>() : kEvacuationsUnread;
        return request;
    });
}

std::string packDirectory(const DirectoryChanges &changes)
{
    return compressText(base::toCbor(
            json::array({listToJson(changes.upstreams), listToJson(changes.departed)})));
}

namespace {

/// Reads the lists of \a changes. Throws json::exception if \a packed is damaged.
void unpackDirectory(const std::string &packed, DirectoryChanges &changes)
{
    const auto bytes = decompressText(packed);
    const json lists = json::from_cbor(bytes.value_or(""));
    for (const json &it : lists.at(0))
        changes.upstreams.push_back(upstreamFrom(it));
    for (const json &it : lists.at(1))
        changes.departed.push_back(departedFrom(it));
}

json evacuationsToJson(const std::optional<Evacuations> &evacuations)
{
    if (!evacuations)
        return nullptr;
    json names = json::array();
    for (const base::DataCentreId &it : evacuations->dataCentres)
        names.push_back(it.text());
    return json::array({evacuations->revision, std::move(names)});
}

/// Addresses and data centres.
std::pair<json, json> loadPeersToJson(const std::vector<LoadPeer> &peers)
{
    std::pair<json, json> lists(json::array(), json::array());
    for (const LoadPeer &it : peers) {
        lists.first.push_back(it.address.text());
        lists.second.push_back(it.dataCentre.text());
    }
    return lists;
}

/// Control hosts of earlier versions send no data centres.
std::vector<LoadPeer> loadPeersFrom(const json &addresses, const json &dataCentres)
{
    std::vector<LoadPeer> peers;
    for (std::size_t n = 0; n < addresses.size(); ++n) {
        const auto address = base::parseEndpoint(addresses[n].get<std::string>());
        if (!address)
            continue;
        peers.push_back({*address, base::DataCentreId(n < dataCentres.size()
                                                              ? dataCentres[n].get<std::string>()
                                                              : std::string())});
    }
    return peers;
}

std::optional<Evacuations> evacuationsFrom(const json &j)
{
    if (j.is_null())
        return std::nullopt;
    Evacuations evacuations;
    evacuations.revision = j.at(0);
    for (const json &it : j.at(1))
        evacuations.dataCentres.insert(base::DataCentreId(it));
    return evacuations;
}

} // namespace

std::string encode(const WatchReply &reply)
{
    const bool isPacked = !reply.packedDirectory.empty();
    json loadPeers;
    json dataCentresOfPeers = json::array();
    if (reply.loadPeers)
        std::tie(loadPeers, dataCentresOfPeers) = loadPeersToJson(*reply.loadPeers);
    auto [distantPeers, dataCentresOfDistantPeers] = loadPeersToJson(reply.distantPeers);
    json controlHosts = json::array();
    for (const base::Endpoint &it : reply.controlHosts)
        controlHosts.push_back(it.text());
    return base::toCbor({reply.configurationVersion.count(),
                         reply.packedConfiguration ? json(*reply.packedConfiguration) : json(),
                         reply.isConfirmed,
                         reply.directory.incarnation,
                         reply.directory.revision,
                         reply.directory.isSnapshot,
                         isPacked ? json::array() : listToJson(reply.directory.upstreams),
                         isPacked ? json::array() : listToJson(reply.directory.departed),
                         std::move(controlHosts),
                         reply.entryHostCount,
                         listToJson(reply.distantLoad.upstreams),
                         std::move(loadPeers),
                         listToJson(reply.rateLimits),
                         reply.factsRevision,
                         reply.heldFor.count(),
                         listToJson(reply.crashSuspects),
                         reply.loadPeersRevision,
                         reply.configurationDelta ? json(*reply.configurationDelta) : json(),
                         reply.deltaBase.count(),
                         reply.packedDirectory,
                         evacuationsToJson(reply.evacuations),
                         std::move(dataCentresOfPeers),
                         std::move(distantPeers),
                         std::move(dataCentresOfDistantPeers)});
}

std::optional<WatchReply> decodeWatchReply(std::string_view bytes)
{
    return decode<WatchReply>(bytes, [](const json &j) {
        WatchReply reply;
        reply.configurationVersion = ConfigurationVersion(j.at(0));
        if (!j.at(1).is_null())
            reply.packedConfiguration = j.at(1).get<std::string>();
        reply.isConfirmed = j.at(2);
        reply.directory.incarnation = j.at(3);
        reply.directory.revision = j.at(4);
        reply.directory.isSnapshot = j.at(5);
        for (const json &it : j.at(6))
            reply.directory.upstreams.push_back(upstreamFrom(it));
        for (const json &it : j.at(7))
            reply.directory.departed.push_back(departedFrom(it));
        for (const json &it : j.at(8)) {
            if (const auto host = base::parseEndpoint(it.get<std::string>()))
                reply.controlHosts.push_back(*host);
        }
        reply.entryHostCount = j.at(9);
        reply.distantLoad = loadFrom(j.at(10));
        if (!j.at(11).is_null())
            reply.loadPeers =
                    loadPeersFrom(j.at(11), j.size() > 21 ? j.at(21) : json(json::array()));
        // Control hosts of earlier versions send no limits.
        if (j.size() > 12)
            reply.rateLimits = rateLimitsFrom(j.at(12));
        if (j.size() > 14) {
            reply.factsRevision = j.at(13);
            reply.heldFor = base::Millis(j.at(14));
        }
        reply.knowsCrashSuspects = j.size() > 15;
        if (j.size() > 15)
            reply.crashSuspects = crashSuspectsFrom(j.at(15));
        reply.includesPeers = j.size() <= 16;
        if (j.size() > 16)
            reply.loadPeersRevision = j.at(16);
        if (j.size() > 18) {
            if (!j.at(17).is_null())
                reply.configurationDelta = j.at(17).get<std::string>();
            reply.deltaBase = ConfigurationVersion(j.at(18));
        }
        if (j.size() > 19 && !j.at(19).get<std::string>().empty())
            unpackDirectory(j.at(19), reply.directory);
        if (j.size() > 20)
            reply.evacuations = evacuationsFrom(j.at(20));
        if (j.size() > 23)
            reply.distantPeers = loadPeersFrom(j.at(22), j.at(23));
        return reply;
    });
}

std::string encode(const LoadUpdate &update)
{
    json unreachableServices = json::array();
    for (const base::ServiceId &it : update.unreachableServices)
        unreachableServices.push_back(it.text());
    return base::toCbor({update.host.text(), update.isSnapshot, listToJson(update.upstreams),
                         update.startId, update.sequence, std::move(unreachableServices)});
}

std::optional<LoadUpdate> decodeLoadUpdate(std::string_view bytes)
{
    return decode<LoadUpdate>(bytes, [](const json &j) {
        LoadUpdate update;
        update.host = base::HostId(j.at(0));
        update.isSnapshot = j.at(1);
        for (const json &it : j.at(2))
            update.upstreams.push_back(upstreamLoadFrom(it));
        if (j.size() > 4) {
            update.startId = j.at(3);
            update.sequence = j.at(4);
        }
        // Hosts of earlier versions do not say what they reach.
        if (j.size() > 5) {
            for (const json &it : j.at(5))
                update.unreachableServices.emplace_back(it.get<std::string>());
        }
        return update;
    });
}

std::string encode(const PermitRequest &request)
{
    return base::toCbor({request.key.host.text(), request.key.startId, request.key.call,
                         request.service.text(), request.prefillMs, request.maxWait.count(),
                         request.lateAfter.count(), request.isRelease, request.isOversized,
                         request.dataCentre.text(), request.isExclusive, request.isPrefilled,
                         request.route, request.idleWait.count()});
}

std::optional<PermitRequest> decodePermitRequest(std::string_view bytes)
{
    return decode<PermitRequest>(bytes, [](const json &j) {
        PermitRequest request;
        request.key = {base::HostId(j.at(0)), j.at(1), j.at(2)};
        request.service = base::ServiceId(j.at(3));
        request.prefillMs = j.at(4);
        request.maxWait = base::Millis(j.at(5));
        request.lateAfter = base::Millis(j.at(6));
        request.isRelease = j.at(7);
        request.isOversized = j.at(8);
        // Entry hosts of earlier versions use all engines.
        request.isExclusive = request.isOversized;
        if (j.size() > 10) {
            request.dataCentre = base::DataCentreId(j.at(9));
            request.isExclusive = j.at(10);
        }
        request.idleWait = request.maxWait;
        if (j.size() > 13) {
            request.isPrefilled = j.at(11);
            request.route = j.at(12);
            request.idleWait = base::Millis(j.at(13));
        }
        return request;
    });
}

base::Millis permitLifetime(std::int64_t prefillMs)
{
    return std::min(kMaxPermitLifetime, kPlacementAllowance + base::Millis(prefillMs));
}

std::string encode(const PermitReply &reply)
{
    // Entry hosts of earlier versions only see whether it is empty.
    return reply.isGranted ? base::toCbor({reply.waited.value_or(base::Millis(0)).count()})
                           : std::string();
}

PermitReply decodePermitReply(std::string_view bytes)
{
    PermitReply reply;
    reply.isGranted = !bytes.empty();
    // Control hosts of earlier versions send a text.
    const auto parsed = base::parseCbor(bytes);
    if (parsed && parsed->is_array() && !parsed->empty() && parsed->front().is_number_integer())
        reply.waited = base::Millis(parsed->front().get<std::int64_t>());
    return reply;
}

std::string encode(const SendGrantRequest &request)
{
    return base::toCbor({request.host.text(), listToJson(request.limits), request.wanted,
                         request.isWaiting, request.priority, request.waited.count(),
                         request.maxWait.count()});
}

std::optional<SendGrantRequest> decodeSendGrantRequest(std::string_view bytes)
{
    return decode<SendGrantRequest>(bytes, [](const json &j) {
        SendGrantRequest request;
        request.host = base::HostId(j.at(0));
        request.limits = rateLimitsFrom(j.at(1));
        request.wanted = j.at(2);
        request.isWaiting = j.at(3);
        request.priority = j.at(4);
        request.waited = base::Millis(j.at(5));
        request.maxWait = base::Millis(j.at(6));
        return request;
    });
}

std::string encode(const SendGrantReply &reply)
{
    return base::toCbor({reply.upstream.text(), reply.count, reply.retryAfter.count()});
}

std::optional<SendGrantReply> decodeSendGrantReply(std::string_view bytes)
{
    return decode<SendGrantReply>(bytes, [](const json &j) {
        SendGrantReply reply;
        reply.upstream = base::UpstreamId(j.at(0));
        reply.count = j.at(1);
        reply.retryAfter = base::Millis(j.at(2));
        return reply;
    });
}

std::string encode(const CrashEvidence &evidence)
{
    return base::toCbor({evidence.host.text(), listToJson(evidence.crashes),
                         listToJson(evidence.answered), listToJson(evidence.suspects),
                         evidence.endedTrial ? toJson(*evidence.endedTrial) : json()});
}

std::optional<CrashEvidence> decodeCrashEvidence(std::string_view bytes)
{
    return decode<CrashEvidence>(bytes, [](const json &j) {
        CrashEvidence evidence;
        evidence.host = base::HostId(j.at(0));
        for (const json &it : j.at(1))
            evidence.crashes.push_back(crashReportFrom(it));
        evidence.answered = fingerprintsFrom(j.at(2));
        evidence.suspects = crashSuspectsFrom(j.at(3));
        if (!j.at(4).is_null())
            evidence.endedTrial = keyFrom(j.at(4));
        return evidence;
    });
}

std::string encode(const TrialRequest &request)
{
    return base::toCbor({toJson(request.key), request.service.text(),
                         listToJson(request.fingerprints), request.maxWait.count()});
}

std::optional<TrialRequest> decodeTrialRequest(std::string_view bytes)
{
    return decode<TrialRequest>(bytes, [](const json &j) {
        TrialRequest request;
        request.key = keyFrom(j.at(0));
        request.service = base::ServiceId(j.at(1));
        request.fingerprints = fingerprintsFrom(j.at(2));
        request.maxWait = base::Millis(j.at(3));
        return request;
    });
}

std::string encode(const TrialReply &reply)
{
    return base::toCbor({reply.isGranted, reply.retryAfter.count()});
}

std::optional<TrialReply> decodeTrialReply(std::string_view bytes)
{
    return decode<TrialReply>(bytes, [](const json &j) {
        return TrialReply{j.at(0), base::Millis(j.at(1))};
    });
}

std::string encode(const RelayedAnnouncements &relay)
{
    return base::toCbor(
            {listToJson(relay.upstreams), listToJson(relay.departed), listToJson(relay.leaving)});
}

std::optional<RelayedAnnouncements> decodeRelayedAnnouncements(std::string_view bytes)
{
    return decode<RelayedAnnouncements>(bytes, [](const json &j) {
        RelayedAnnouncements relay;
        for (const json &it : j.at(0))
            relay.upstreams.push_back(upstreamFrom(it));
        for (const json &it : j.at(1))
            relay.departed.push_back(departedFrom(it));
        if (j.size() > 2) {
            for (const json &it : j.at(2))
                relay.leaving.push_back({base::UpstreamId(it.at(0)), base::Incarnation(it.at(1))});
        }
        return relay;
    });
}

} // namespace hyssop::fleet
