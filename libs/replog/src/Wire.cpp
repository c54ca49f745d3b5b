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

json form(const std::vector<ReplicaId> &ids)
{
    json j = json::array();
    for (const ReplicaId &id : ids)
        j.push_back(id.text());
    return j;
}

std::vector<ReplicaId> idsFrom(const json &j)
{
    std::vector<ReplicaId> ids;
    for (const json &one : j)
        ids.emplace_back(one.get<std::string>());
    return ids;
}

json form(const Configuration &configuration)
{
    return json::array({form(configuration.voters), form(configuration.learners)});
}

Configuration configurationFrom(const json &j)
{
    return {idsFrom(j.at(0)), idsFrom(j.at(1))};
}

json form(const std::vector<Entry> &entries)
{
    json j = json::array();
    for (const Entry &entry : entries)
        j.push_back({entry.position.term.count(), entry.position.index.count(),
                     static_cast<int>(entry.kind), entry.payload});
    return j;
}

EntryKind kindFrom(const json &j)
{
    const int kind = j.get<int>();
    if (kind < 0 || kind > static_cast<int>(EntryKind::Voters))
        throw json::other_error::create(500, "unknown kind of entry", &j);
    return static_cast<EntryKind>(kind);
}

std::vector<Entry> entriesFrom(const json &j)
{
    std::vector<Entry> entries;
    for (const json &one : j)
        entries.push_back(
                {{Term(one.at(0).get<std::int64_t>()), Index(one.at(1).get<std::int64_t>())},
                 kindFrom(one.at(2)),
                 one.at(3).get<std::string>()});
    return entries;
}

/// Whether the entries follow the message's position without a gap and with terms that rise.
bool isWellFormed(const Wire &wire)
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

Wire wireFrom(const json &j)
{
    const int kind = j.at(0).get<int>();
    if (kind < 0 || kind > static_cast<int>(WireKind::TimeoutNow))
        throw json::other_error::create(500, "unknown kind of message", &j);
    Wire wire;
    wire.kind = static_cast<WireKind>(kind);
    wire.term = Term(j.at(1).get<std::int64_t>());
    wire.position = {Term(j.at(2).get<std::int64_t>()), Index(j.at(3).get<std::int64_t>())};
    wire.commit = Index(j.at(4).get<std::int64_t>());
    wire.stamp = j.at(5).get<std::int64_t>();
    wire.isOk = j.at(6).get<bool>();
    wire.index = Index(j.at(7).get<std::int64_t>());
    wire.entries = entriesFrom(j.at(8));
    if (j.size() > 9) {
        wire.offset = j.at(9).get<std::int64_t>();
        wire.total = j.at(10).get<std::int64_t>();
        wire.data = j.at(11).get<std::string>();
        wire.configuration = configurationFrom(j.at(12));
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
    return toBytes(form(configuration));
}

std::optional<Configuration> decodeConfiguration(std::string_view bytes)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return std::nullopt;
    const json &j = *parsed;
    try {
        return configurationFrom(j);
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string encode(const Wire &wire)
{
    json j{static_cast<int>(wire.kind),
           wire.term.count(),
           wire.position.term.count(),
           wire.position.index.count(),
           wire.commit.count(),
           wire.stamp,
           wire.isOk,
           wire.index.count(),
           form(wire.entries)};
    const bool isSnapshot =
            wire.kind == WireKind::SnapshotChunk || wire.kind == WireKind::SnapshotReply;
    if (isSnapshot) {
        j.push_back(wire.offset);
        j.push_back(wire.total);
        j.push_back(wire.data);
        j.push_back(form(wire.configuration));
    }
    return toBytes(j);
}

std::optional<Wire> decodeWire(std::string_view bytes)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return std::nullopt;
    const json &j = *parsed;
    try {
        Wire wire = wireFrom(j);
        if (!isWellFormed(wire))
            return std::nullopt;
        return wire;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace hyssop::replog
