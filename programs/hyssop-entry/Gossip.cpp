#include "Gossip.h"

#include "Packing.h"

#include <nlohmann/json.hpp>

namespace hyssop::entry {

namespace {

using membership::HostHeartbeat;
using nlohmann::json;

// Announcements are sent as received. Heartbeats and digests are sent repeatedly and
// therefore packed.

void packHost(PackWriter &writer, const HostHeartbeat &heartbeat, HostHeartbeat &last)
{
    std::int64_t incarnation = last.incarnation.count();
    writer.prefixCompressed(heartbeat.id.text());
    writer.delta(heartbeat.incarnation.count(), incarnation);
    writer.delta(heartbeat.sequence, last.sequence);
    writer.string(heartbeat.address.port == 0 ? std::string() : heartbeat.address.text());
    last.incarnation = heartbeat.incarnation;
}

HostHeartbeat unpackHost(PackReader &reader, HostHeartbeat &last)
{
    std::int64_t incarnation = last.incarnation.count();
    HostHeartbeat heartbeat;
    heartbeat.id = base::HostId(reader.prefixCompressed());
    heartbeat.incarnation = base::Incarnation(reader.delta(incarnation));
    heartbeat.sequence = reader.delta(last.sequence);
    const std::string address = reader.string();
    if (!address.empty())
        heartbeat.address = base::parseEndpoint(address).value_or(base::Endpoint());
    last.incarnation = heartbeat.incarnation;
    return heartbeat;
}

std::string packHosts(const membership::MembershipMessage &message)
{
    PackWriter writer;
    HostHeartbeat last;
    packHost(writer, message.sender, last);
    for (const HostHeartbeat &heartbeat : message.heartbeats)
        packHost(writer, heartbeat, last);
    return writer.take();
}

json toJson(const std::vector<upstream::DeletionQueue::Deletion> &deletions)
{
    json j = json::array();
    for (const upstream::DeletionQueue::Deletion &deletion : deletions)
        j.push_back({deletion.to.text(), deletion.path});
    return j;
}

std::vector<upstream::DeletionQueue::Deletion> deletionsFromJson(const json &j)
{
    std::vector<upstream::DeletionQueue::Deletion> deletions;
    for (const json &element : j) {
        const auto to = base::parseEndpoint(element.at(0).get<std::string>());
        if (to && deletions.size() < kMaxHandedOverDeletions)
            deletions.push_back({*to, element.at(1).get<std::string>()});
    }
    return deletions;
}

bool unpackHosts(PackReader reader, membership::MembershipMessage &message)
{
    HostHeartbeat last;
    message.sender = unpackHost(reader, last);
    while (reader.hasMore())
        message.heartbeats.push_back(unpackHost(reader, last));
    return !reader.isMalformed();
}

std::string packDigests(const std::vector<membership::UpstreamDigest> &digests)
{
    PackWriter writer;
    std::int64_t last = 0;
    for (const membership::UpstreamDigest &digest : digests) {
        writer.prefixCompressed(digest.id.text());
        writer.fixed32(digest.contentHash);
        writer.delta(digest.sequence, last);
    }
    return writer.take();
}

bool unpackDigests(PackReader reader, std::vector<membership::UpstreamDigest> &digests)
{
    std::int64_t last = 0;
    while (reader.hasMore()) {
        membership::UpstreamDigest digest;
        digest.id = base::UpstreamId(reader.prefixCompressed());
        digest.contentHash = reader.fixed32();
        digest.sequence = reader.delta(last);
        digests.push_back(std::move(digest));
    }
    return !reader.isMalformed();
}

std::string packOutstanding(const std::vector<routing::PeerLoadReport> &reports)
{
    PackWriter writer;
    for (const routing::PeerLoadReport &report : reports) {
        writer.prefixCompressed(report.upstream.text());
        writer.varint(static_cast<std::uint64_t>(report.promptTokens.count()));
        writer.varint(static_cast<std::uint64_t>(report.requests));
        writer.varint(static_cast<std::uint64_t>(report.longPromptTokens.count()));
        writer.varint(static_cast<std::uint64_t>(report.kvTokens.count()));
    }
    return writer.take();
}

bool unpackOutstanding(PackReader reader, std::vector<routing::PeerLoadReport> &reports)
{
    while (reader.hasMore()) {
        routing::PeerLoadReport report;
        report.upstream = base::UpstreamId(reader.prefixCompressed());
        report.promptTokens = base::Tokens(static_cast<std::int64_t>(reader.varint()));
        report.requests = static_cast<int>(reader.varint());
        report.longPromptTokens = base::Tokens(static_cast<std::int64_t>(reader.varint()));
        report.kvTokens = base::Tokens(static_cast<std::int64_t>(reader.varint()));
        reports.push_back(std::move(report));
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
    json announcements = json::array();
    for (const membership::Announcement &announcement : body.message.announcements)
        announcements.push_back(membership::toJson(announcement));
    json requestedIds = json::array();
    for (const base::UpstreamId &id : body.message.requestedIds)
        requestedIds.push_back(id.text());
    json j{binary(packHosts(body.message)), announcements,
           binary(packDigests(body.message.digests)), requestedIds,
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
        const std::string digests = binaryAt(j, 2);
        const std::string outstanding = binaryAt(j, 4);
        isValid = unpackHosts(PackReader(hosts), body.message)
                  && unpackDigests(PackReader(digests), body.message.digests)
                  && unpackOutstanding(PackReader(outstanding), body.outstanding);
        for (const json &element : j.at(1)) {
            if (auto announcement = membership::parseAnnouncement(element.get<std::string>()))
                body.message.announcements.push_back(*std::move(announcement));
        }
        for (const json &id : j.at(3))
            body.message.requestedIds.emplace_back(id.get<std::string>());
        if (j.size() > 5)
            body.handedOver = deletionsFromJson(j.at(5));
    } catch (const json::exception &) {
        return std::nullopt;
    }
    return isValid ? std::optional(std::move(body)) : std::nullopt;
}

} // namespace hyssop::entry
