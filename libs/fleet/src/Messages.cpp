#include "fleet/Fleet.h"

#include <nlohmann/json.hpp>

namespace hyssop::fleet {

using nlohmann::json;

namespace {

json toJson(const Upstream &it)
{
    return {it.id.text(),         it.service.text(), it.address.address, it.address.port,
            it.dataCentre.text(), it.born.count(),   it.sequence,        it.slots,
            it.isLeaving};
}

Upstream upstreamFrom(const json &j)
{
    Upstream it;
    it.id = base::UpstreamId(j.at(0));
    it.service = base::ServiceId(j.at(1));
    it.address = {j.at(2), j.at(3)};
    it.dataCentre = base::DataCentreId(j.at(4));
    it.born = base::Incarnation(j.at(5));
    it.sequence = j.at(6);
    it.slots = j.at(7);
    it.isLeaving = j.at(8);
    return it;
}

json toJson(const Departed &it)
{
    return {it.id.text(), it.born.count(), static_cast<int>(it.kind)};
}

Departed departedFrom(const json &j)
{
    return {base::UpstreamId(j.at(0)), base::Incarnation(j.at(1)),
            j.at(2).get<int>() == 0 ? Departure::Left : Departure::TimedOut};
}

json toJson(const UpstreamLoad &it)
{
    return {it.upstream.text(), it.requests, it.kv.count(), it.shorts, it.readingMs};
}

UpstreamLoad upstreamLoadFrom(const json &j)
{
    return {base::UpstreamId(j.at(0)), j.at(1), base::Tokens(j.at(2)), j.at(3), j.at(4)};
}

template <typename T>
json listToJson(const std::vector<T> &list)
{
    json j = json::array();
    for (const T &it : list)
        j.push_back(toJson(it));
    return j;
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

LoadReport sum(const std::vector<LoadReport> &reports)
{
    std::map<base::UpstreamId, UpstreamLoad> upstreams;
    for (const LoadReport &report : reports) {
        for (const UpstreamLoad &it : report.upstreams) {
            UpstreamLoad &all = upstreams[it.upstream];
            all.upstream = it.upstream;
            all.requests += it.requests;
            all.kv += it.kv;
            all.shorts += it.shorts;
            all.readingMs += it.readingMs;
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
                         request.configuration.count(), request.directoryIncarnation,
                         request.directoryRevision, request.wait.count(),
                         listToJson(request.load.upstreams), request.address.text()});
}

std::optional<WatchRequest> decodeWatchRequest(std::string_view bytes)
{
    return decode<WatchRequest>(bytes, [](const json &j) {
        WatchRequest request;
        request.host = base::HostId(j.at(0));
        request.dataCentre = base::DataCentreId(j.at(1));
        request.configuration = Version(j.at(2));
        request.directoryIncarnation = j.at(3);
        request.directoryRevision = j.at(4);
        request.wait = base::Millis(j.at(5));
        request.load = loadFrom(j.at(6));
        request.address =
                base::parseEndpoint(j.at(7).get<std::string>()).value_or(base::Endpoint());
        return request;
    });
}

std::string encode(const WatchReply &reply)
{
    json entries = json::array();
    for (const base::Endpoint &it : reply.entryAddresses)
        entries.push_back(it.text());
    json controls = json::array();
    for (const base::Endpoint &it : reply.controls)
        controls.push_back(it.text());
    return base::toCbor({reply.configuration.count(), reply.text ? json(*reply.text) : json(),
                         reply.isConfirmed, reply.directory.incarnation, reply.directory.revision,
                         reply.directory.isSnapshot, listToJson(reply.directory.upstreams),
                         listToJson(reply.directory.departed), std::move(controls), reply.entries,
                         listToJson(reply.others.upstreams), std::move(entries)});
}

std::optional<WatchReply> decodeWatchReply(std::string_view bytes)
{
    return decode<WatchReply>(bytes, [](const json &j) {
        WatchReply reply;
        reply.configuration = Version(j.at(0));
        if (!j.at(1).is_null())
            reply.text = j.at(1).get<std::string>();
        reply.isConfirmed = j.at(2);
        reply.directory.incarnation = j.at(3);
        reply.directory.revision = j.at(4);
        reply.directory.isSnapshot = j.at(5);
        for (const json &it : j.at(6))
            reply.directory.upstreams.push_back(upstreamFrom(it));
        for (const json &it : j.at(7))
            reply.directory.departed.push_back(departedFrom(it));
        for (const json &it : j.at(8)) {
            if (const auto control = base::parseEndpoint(it.get<std::string>()))
                reply.controls.push_back(*control);
        }
        reply.entries = j.at(9);
        reply.others = loadFrom(j.at(10));
        for (const json &it : j.at(11)) {
            if (const auto entry = base::parseEndpoint(it.get<std::string>()))
                reply.entryAddresses.push_back(*entry);
        }
        return reply;
    });
}

std::string encode(const LoadNews &update)
{
    return base::toCbor({update.host.text(), update.isSnapshot, listToJson(update.upstreams)});
}

std::optional<LoadNews> decodeLoadNews(std::string_view bytes)
{
    return decode<LoadNews>(bytes, [](const json &j) {
        LoadNews update;
        update.host = base::HostId(j.at(0));
        update.isSnapshot = j.at(1);
        for (const json &it : j.at(2))
            update.upstreams.push_back(upstreamLoadFrom(it));
        return update;
    });
}

std::string encode(const PermitRequest &request)
{
    return base::toCbor({request.key.host.text(), request.key.start, request.key.call,
                         request.service.text(), request.readMs, request.wait.count(),
                         request.lateAfter.count(), request.isRelease, request.isHeavy});
}

std::optional<PermitRequest> decodePermitRequest(std::string_view bytes)
{
    return decode<PermitRequest>(bytes, [](const json &j) {
        PermitRequest request;
        request.key = {base::HostId(j.at(0)), j.at(1), j.at(2)};
        request.service = base::ServiceId(j.at(3));
        request.readMs = j.at(4);
        request.wait = base::Millis(j.at(5));
        request.lateAfter = base::Millis(j.at(6));
        request.isRelease = j.at(7);
        request.isHeavy = j.at(8);
        return request;
    });
}

std::string encode(const Relay &relay)
{
    return base::toCbor({listToJson(relay.upstreams), listToJson(relay.left)});
}

std::optional<Relay> decodeRelay(std::string_view bytes)
{
    return decode<Relay>(bytes, [](const json &j) {
        Relay relay;
        for (const json &it : j.at(0))
            relay.upstreams.push_back(upstreamFrom(it));
        for (const json &it : j.at(1))
            relay.left.push_back(departedFrom(it));
        return relay;
    });
}

} // namespace hyssop::fleet
