#include "Gossip.h"

#include "Packing.h"

#include <nlohmann/json.hpp>

namespace hyssop::entry {

namespace {

using membership::HostRow;
using nlohmann::json;

// Announcements are sent as received. Rows are sent repeatedly and therefore packed.

void packHost(PackWriter &writer, const HostRow &row, HostRow &last)
{
    std::int64_t incarnation = last.incarnation.count();
    writer.prefixCompressed(row.id.text());
    writer.delta(row.incarnation.count(), incarnation);
    writer.delta(row.sequence, last.sequence);
    writer.string(row.address.port == 0 ? std::string() : row.address.text());
    last.incarnation = row.incarnation;
}

HostRow unpackHost(PackReader &reader, HostRow &last)
{
    std::int64_t incarnation = last.incarnation.count();
    HostRow row;
    row.id = base::HostId(reader.prefixCompressed());
    row.incarnation = base::Incarnation(reader.delta(incarnation));
    row.sequence = reader.delta(last.sequence);
    const std::string address = reader.string();
    if (!address.empty())
        row.address = base::parseEndpoint(address).value_or(base::Endpoint());
    last.incarnation = row.incarnation;
    return row;
}

std::string packHosts(const membership::SpreadMessage &spread)
{
    PackWriter writer;
    HostRow last;
    packHost(writer, spread.from, last);
    for (const HostRow &row : spread.hosts)
        packHost(writer, row, last);
    return writer.take();
}

json toJson(const std::vector<upstream::Deletions::Order> &deletions)
{
    json j = json::array();
    for (const upstream::Deletions::Order &deletion : deletions)
        j.push_back({deletion.to.text(), deletion.path});
    return j;
}

std::vector<upstream::Deletions::Order> deletionsFromJson(const json &j)
{
    std::vector<upstream::Deletions::Order> deletions;
    for (const json &one : j) {
        const auto to = base::parseEndpoint(one.at(0).get<std::string>());
        if (to && deletions.size() < kMaxHandedOverDeletions)
            deletions.push_back({*to, one.at(1).get<std::string>()});
    }
    return deletions;
}

bool unpackHosts(PackReader reader, membership::SpreadMessage &spread)
{
    HostRow last;
    spread.from = unpackHost(reader, last);
    while (reader.hasMore())
        spread.hosts.push_back(unpackHost(reader, last));
    return !reader.isMalformed();
}

std::string packSeen(const std::vector<membership::UpstreamRow> &rows)
{
    PackWriter writer;
    std::int64_t last = 0;
    for (const membership::UpstreamRow &row : rows) {
        writer.prefixCompressed(row.id.text());
        writer.fixed32(row.contentTag);
        writer.delta(row.sequence, last);
    }
    return writer.take();
}

bool unpackSeen(PackReader reader, std::vector<membership::UpstreamRow> &rows)
{
    std::int64_t last = 0;
    while (reader.hasMore()) {
        membership::UpstreamRow row;
        row.id = base::UpstreamId(reader.prefixCompressed());
        row.contentTag = reader.fixed32();
        row.sequence = reader.delta(last);
        rows.push_back(std::move(row));
    }
    return !reader.isMalformed();
}

std::string packOutstanding(const std::vector<routing::PeerOutstanding> &reports)
{
    PackWriter writer;
    for (const routing::PeerOutstanding &one : reports) {
        writer.prefixCompressed(one.upstream.text());
        writer.varint(static_cast<std::uint64_t>(one.prompt.count()));
        writer.varint(static_cast<std::uint64_t>(one.requests));
        writer.varint(static_cast<std::uint64_t>(one.longPrompt.count()));
        writer.varint(static_cast<std::uint64_t>(one.kv.count()));
    }
    return writer.take();
}

bool unpackOutstanding(PackReader reader, std::vector<routing::PeerOutstanding> &reports)
{
    while (reader.hasMore()) {
        routing::PeerOutstanding one;
        one.upstream = base::UpstreamId(reader.prefixCompressed());
        one.prompt = base::Tokens(static_cast<std::int64_t>(reader.varint()));
        one.requests = static_cast<int>(reader.varint());
        one.longPrompt = base::Tokens(static_cast<std::int64_t>(reader.varint()));
        one.kv = base::Tokens(static_cast<std::int64_t>(reader.varint()));
        reports.push_back(std::move(one));
    }
    return !reader.isMalformed();
}

json binary(const std::string &bytes)
{
    return json::binary({bytes.begin(), bytes.end()});
}

/// Binary value at an index. Throws json::exception if there is none.
std::string binaryAt(const json &j, std::size_t field)
{
    const json::binary_t &bytes = j.at(field).get_binary();
    return {bytes.begin(), bytes.end()};
}

} // namespace

std::string encode(const GossipBody &body)
{
    json news = json::array();
    for (const membership::Announcement &announcement : body.spread.news)
        news.push_back(membership::toJson(announcement));
    json wanted = json::array();
    for (const base::UpstreamId &id : body.spread.wanted)
        wanted.push_back(id.text());
    json j{binary(packHosts(body.spread)), news, binary(packSeen(body.spread.seen)), wanted,
           binary(packOutstanding(body.outstanding))};
    if (!body.handedOver.empty())
        j.push_back(toJson(body.handedOver));
    return base::toCbor(j);
}

std::optional<GossipBody> decodeGossip(std::string_view bytes)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return std::nullopt;
    const json &j = *parsed;
    GossipBody body;
    bool isValid = false;
    try {
        const std::string hosts = binaryAt(j, 0);
        const std::string seen = binaryAt(j, 2);
        const std::string outstanding = binaryAt(j, 4);
        isValid = unpackHosts(PackReader(hosts), body.spread)
                  && unpackSeen(PackReader(seen), body.spread.seen)
                  && unpackOutstanding(PackReader(outstanding), body.outstanding);
        for (const json &one : j.at(1)) {
            if (auto announcement = membership::parseAnnouncement(one.get<std::string>()))
                body.spread.news.push_back(*std::move(announcement));
        }
        for (const json &id : j.at(3))
            body.spread.wanted.emplace_back(id.get<std::string>());
        if (j.size() > 5)
            body.handedOver = deletionsFromJson(j.at(5));
    } catch (const json::exception &) {
        return std::nullopt;
    }
    return isValid ? std::optional(std::move(body)) : std::nullopt;
}

} // namespace hyssop::entry
