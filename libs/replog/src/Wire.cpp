#include "Wire.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hyssop::replog {

using nlohmann::json;

namespace {

std::string toBytes(const json &j)
{
    return base::toCbor(j);
}

json toJson(const std::vector<ReplicaId> &ids)
{
    json j = json::array();
    for (const ReplicaId &id : ids)
        j.push_back(id.text());
    return j;
}

std::vector<ReplicaId> idsFromJson(const json &j)
{
    std::vector<ReplicaId> ids;
    for (const json &element : j)
        ids.emplace_back(element.get<std::string>());
    return ids;
}

json toJson(const Configuration &configuration)
{
    return json::array({toJson(configuration.voters), toJson(configuration.learners)});
}

Configuration configurationFromJson(const json &j)
{
    return {idsFromJson(j.at(0)), idsFromJson(j.at(1))};
}

json toJson(const std::vector<Entry> &entries)
{
    json j = json::array();
    for (const Entry &entry : entries)
        j.push_back({entry.position.term.count(), entry.position.index.count(),
                     static_cast<int>(entry.kind), entry.payload});
    return j;
}

EntryKind entryKindFromJson(const json &j)
{
    const int kind = j.get<int>();
    if (kind < 0 || kind > static_cast<int>(EntryKind::Voters))
        throw json::other_error::create(500, "unknown entry kind", &j);
    return static_cast<EntryKind>(kind);
}

std::vector<Entry> entriesFromJson(const json &j)
{
    std::vector<Entry> entries;
    for (const json &element : j)
        entries.push_back({{Term(element.at(0).get<std::int64_t>()),
                            Index(element.at(1).get<std::int64_t>())},
                           entryKindFromJson(element.at(2)),
                           element.at(3).get<std::string>()});
    return entries;
}

/// Whether the entries directly follow the message's position with non-decreasing terms.
bool isWellFormed(const ProtocolMessage &wire)
{
    if (wire.term.count() < 0 || wire.position.index.count() < 0 || wire.offset < 0)
        return false;
    Position before = wire.position;
    for (const Entry &entry : wire.entries) {
        if (entry.position.index != before.index + Index(1) || entry.position.term < before.term)
            return false;
        if (entry.kind == EntryKind::Voters && !decodeConfiguration(entry.payload))
            return false;
        before = entry.position;
    }
    return wire.entries.empty() || before.term <= wire.term;
}

ProtocolMessage messageFromJson(const json &j)
{
    const int kind = j.at(0).get<int>();
    if (kind < 0 || kind > static_cast<int>(MessageKind::TimeoutNow))
        throw json::other_error::create(500, "unknown message kind", &j);
    ProtocolMessage wire;
    wire.kind = static_cast<MessageKind>(kind);
    wire.term = Term(j.at(1).get<std::int64_t>());
    wire.position = {Term(j.at(2).get<std::int64_t>()), Index(j.at(3).get<std::int64_t>())};
    wire.commitIndex = Index(j.at(4).get<std::int64_t>());
    wire.sentAtUs = j.at(5).get<std::int64_t>();
    wire.isOk = j.at(6).get<bool>();
    wire.matchIndex = Index(j.at(7).get<std::int64_t>());
    wire.entries = entriesFromJson(j.at(8));
    if (j.size() > 9) {
        wire.offset = j.at(9).get<std::int64_t>();
        wire.totalBytes = j.at(10).get<std::int64_t>();
        wire.chunk = j.at(11).get<std::string>();
        wire.configuration = configurationFromJson(j.at(12));
    }
    return wire;
}

} // namespace

bool Configuration::isVoter(const ReplicaId &id) const
{
    return std::find(voters.begin(), voters.end(), id) != voters.end();
}

bool Configuration::isLearner(const ReplicaId &id) const
{
    return std::find(learners.begin(), learners.end(), id) != learners.end();
}

std::string encode(const Configuration &configuration)
{
    return toBytes(toJson(configuration));
}

std::optional<Configuration> decodeConfiguration(std::string_view bytes)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return std::nullopt;
    const json &j = *parsed;
    try {
        return configurationFromJson(j);
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string encode(const ProtocolMessage &wire)
{
    json j{static_cast<int>(wire.kind),
           wire.term.count(),
           wire.position.term.count(),
           wire.position.index.count(),
           wire.commitIndex.count(),
           wire.sentAtUs,
           wire.isOk,
           wire.matchIndex.count(),
           toJson(wire.entries)};
    const bool isSnapshot =
            wire.kind == MessageKind::SnapshotChunk || wire.kind == MessageKind::SnapshotReply;
    if (isSnapshot) {
        j.push_back(wire.offset);
        j.push_back(wire.totalBytes);
        j.push_back(wire.chunk);
        j.push_back(toJson(wire.configuration));
    }
    return toBytes(j);
}

std::optional<ProtocolMessage> decodeProtocolMessage(std::string_view bytes)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return std::nullopt;
    const json &j = *parsed;
    try {
        ProtocolMessage wire = messageFromJson(j);
        if (!isWellFormed(wire))
            return std::nullopt;
        return wire;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace hyssop::replog
