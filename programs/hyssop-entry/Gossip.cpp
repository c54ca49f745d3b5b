#include "Gossip.h"

#include "Packing.h"

#include <nlohmann/json.hpp>

namespace hyssop::entry {

namespace {

using membership::HostHeartbeat;
using nlohmann::json;

// Announcements are sent as received. Rows are sent repeatedly and therefore packed.

void packHost(PackWriter &writer, const HostHeartbeat &row, HostHeartbeat &last)
{
    std::int64_t incarnation = last.incarnation.count();
    writer.prefixCompressed(row.id.text());
    writer.delta(row.incarnation.count(), incarnation);
    writer.delta(row.sequence, last.sequence);
    writer.string(row.address.port == 0 ? std::string() : row.address.text());
    last.incarnation = row.incarnation;
}

HostHeartbeat unpackHost(PackReader &reader, HostHeartbeat &last)
{
    std::int64_t incarnation = last.incarnation.count();
    HostHeartbeat row;
    row.id = base::HostId(reader.prefixCompressed());
    row.incarnation = base::Incarnation(reader.delta(incarnation));
    row.sequence = reader.delta(last.sequence);
    const std::string address = reader.string();
    if (!address.empty())
        row.address = base::parseEndpoint(address).value_or(base::Endpoint());
    last.incarnation = row.incarnation;
    return row;
}

std::string packHosts(const membership::MembershipMessage &spread)
{
    PackWriter writer;
    HostHeartbeat last;
    packHost(writer, spread.sender, last);
    for (const HostHeartbeat &row : spread.heartbeats)
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

bool unpackHosts(PackReader reader, membership::MembershipMessage &spread)
{
    HostHeartbeat last;
    spread.sender = unpackHost(reader, last);
    while (reader.hasMore())
        spread.heartbeats.push_back(unpackHost(reader, last));
    return !reader.isMalformed();
}

std::string packSeen(const std::vector<membership::UpstreamDigest> &rows)
{
    PackWriter writer;
    std::int64_t last = 0;
    for (const membership::UpstreamDigest &row : rows) {
        writer.prefixCompressed(row.id.text());
        writer.fixed32(row.contentHash);
        writer.delta(row.sequence, last);
    }
    return writer.take();
}

bool unpackSeen(PackReader reader, std::vector<membership::UpstreamDigest> &rows)
{
    std::int64_t last = 0;
    while (reader.hasMore()) {
        membership::UpstreamDigest row;
        row.id = base::UpstreamId(reader.prefixCompressed());
        row.contentHash = reader.fixed32();
        row.sequence = reader.delta(last);
        rows.push_back(std::move(row));
    }
    return !reader.isMalformed();
}

std::string packOutstanding(const std::vector<routing::PeerLoadReport> &reports)
{
    PackWriter writer;
    for (const routing::PeerLoadReport &one : reports) {
        writer.prefixCompressed(one.upstream.text());
        writer.varint(static_cast<std::uint64_t>(one.promptTokens.count()));
        writer.varint(static_cast<std::uint64_t>(one.requests));
        writer.varint(static_cast<std::uint64_t>(one.longPromptTokens.count()));
        writer.varint(static_cast<std::uint64_t>(one.kvTokens.count()));
    }
    return writer.take();
}

bool unpackOutstanding(PackReader reader, std::vector<routing::PeerLoadReport> &reports)
{
    while (reader.hasMore()) {
        routing::PeerLoadReport one;
        one.upstream = base::UpstreamId(reader.prefixCompressed());
        one.promptTokens = base::Tokens(static_cast<std::int64_t>(reader.varint()));
        one.requests = static_cast<int>(reader.varint());
        one.longPromptTokens = base::Tokens(static_cast<std::int64_t>(reader.varint()));
        one.kvTokens = base::Tokens(static_cast<std::int64_t>(reader.varint()));
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

std::string encodeGossip(const GossipBody &body)
{
    json news = json::array();
    for (const membership::Announcement &announcement : body.spread.announcements)
        news.push_back(membership::toJson(announcement));
    json wanted = json::array();
    for (const base::UpstreamId &id : body.spread.requestedIds)
        wanted.push_back(id.text());
    json j{binary(packHosts(body.spread)), news, binary(packSeen(body.spread.digests)), wanted,
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
                  && unpackSeen(PackReader(seen), body.spread.digests)
                  && unpackOutstanding(PackReader(outstanding), body.outstanding);
        for (const json &one : j.at(1)) {
            if (auto announcement = membership::parseAnnouncement(one.get<std::string>()))
                body.spread.announcements.push_back(*std::move(announcement));
        }
        for (const json &id : j.at(3))
            body.spread.requestedIds.emplace_back(id.get<std::string>());
        if (j.size() > 5)
            body.handedOver = deletionsFromJson(j.at(5));
    } catch (const json::exception &) {
        return std::nullopt;
    }
    return isValid ? std::optional(std::move(body)) : std::nullopt;
}

} // namespace hyssop::entry
