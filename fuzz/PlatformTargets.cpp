#include "PlatformTargets.h"

#include "Announcement.h"
#include "fleet/Fleet.h"
#include "ManifestReader.h"
#include "Settings.h"
#include "WireProtocol.h"

namespace hyssop::fuzz {

namespace {

constexpr auto kManifest =
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/","Kind":"streaming",)"
        R"("TimeoutMs":10,"Split":[{"Service":"s","Weight":1}],"MaxAttempts":2}],)"
        R"("Services":[{"Name":"s","HealthPath":"/h","MaxConns":3,"Engine":{"Slots":16}}],)"
        R"("Tenants":[{"Name":"t","ApiKeys":["k"]}],"Limits":{"MaxBodyBytes":9}})";
constexpr auto kHeartbeat =
        R"({"Service":"s","Address":"127.0.0.9:80","Zone":"z","Version":"v",)"
        R"("Slots":16,"State":"ready","ColdRemainingMs":0,"Seq":4,"born":1700000000000})";
constexpr auto kSettings = "Node: a\nZone: z\nIp: 127.0.0.1\nInternalPorts: [7, 9]\nSeeds:\n"
                           "  - 127.0.0.1:8\nBounds: {RevokeMs: 5}\n";

/// What was read passes the checks, so that every host takes what one accepted.
bool manifestHolds(std::string_view bytes)
{
    const auto read = platform::ManifestReader().parse(bytes);
    if (!read)
        return !read.error().message.empty();
    if (!fleet::validate(*read) || read->version.count() < 1)
        return false;
    const fleet::RouteTable table(*read);
    for (const fleet::Route &route : read->routes) {
        const fleet::Route *found = table.findRoute(route.host, route.pathPrefix);
        if (!found || !table.findService(fleet::RouteTable::pickService(*found, 0.5)))
            return false;
    }
    return true;
}

bool heartbeatHolds(std::string_view bytes)
{
    const auto read = platform::parseHeartbeat(base::UpstreamId("i"), bytes);
    return !read || (read->slots > 0 && read->address.port > 0 && read->id.text() == "i");
}

bool leaveHolds(std::string_view bytes)
{
    platform::parseLeaveStartTime(bytes);
    return true;
}

bool settingsHold(std::string_view bytes)
{
    const auto read = platform::parseSettings(std::string(bytes));
    return read || !read.error().message.empty();
}

/// The first byte chooses the bound that gets the rest. What is accepted is in range.
bool boundsHold(std::string_view bytes)
{
    static const std::vector<std::string> kNames{"RevokeMs",         "ConfigDeadlineMs",
                                                 "GraceS",           "RetryBudgetRatio",
                                                 "RetryBudgetExtra", "BudgetWindowS"};
    if (bytes.empty())
        return true;
    const std::string &name = kNames[static_cast<unsigned char>(bytes.front()) % kNames.size()];
    const auto read = platform::parseSettings(
            "Node: a\nZone: z\nIp: 127.0.0.1\nInternalPorts: [7, 9]\nSeeds: []\nBounds:\n  " + name
            + ": " + std::string(bytes.substr(1)) + "\n");
    const base::Millis zero(0);
    return !read
           || (read->maxKeyRevocationDelay > zero && read->maxConfigurationDelay > zero
               && read->stopTimeout > zero && read->retryWindow > zero && read->retryRatio >= 0
               && read->retryAllowance >= 0);
}

/// The first byte chooses the field that gets the rest.
bool headersHold(std::string_view bytes)
{
    static const std::vector<std::string> kNames{"Token-Counts", "Deadline-Ms", "Instance-Load",
                                                 "At-Server"};
    if (bytes.empty())
        return true;
    const std::string &name = kNames[static_cast<unsigned char>(bytes.front()) % kNames.size()];
    const gateway::Fields fields{{name, std::string(bytes.substr(1))}};
    const platform::WireProtocol protocol;
    const auto facts = protocol.parseRequest({"GET", "/", fields});
    const bool isSane = !facts
                        || (facts->promptTokens.count() >= 0 && facts->maxOutputTokens.count() >= 0
                            && facts->timeout.value_or(base::Millis(0)) >= base::Millis(0));
    protocol.parseResponse({200, fields, {}});
    return isSane;
}

/// Messages that are read survive a turn through their encoding.
template <typename Decode>
bool survives(std::string_view bytes, const Decode &decode)
{
    const auto message = decode(bytes);
    if (!message)
        return true;
    const std::string text = fleet::encode(*message);
    const auto again = decode(text);
    return again && fleet::encode(*again) == text;
}

bool fleetMessagesHold(std::string_view bytes)
{
    return survives(bytes, fleet::decodeWatchRequest) && survives(bytes, fleet::decodeWatchReply)
           && survives(bytes, fleet::decodeLoadUpdate)
           && survives(bytes, fleet::decodePermitRequest)
           && survives(bytes, fleet::decodeRelayedAnnouncements);
}

std::vector<std::string> exampleFleetMessages()
{
    fleet::WatchReply reply;
    reply.configurationVersion = fleet::ConfigurationVersion(3);
    reply.packedConfiguration = "text";
    reply.directory.upstreams.emplace_back();
    reply.controlHosts = {{"127.0.0.1", 7}};
    reply.loadPeers = {{{"127.0.0.2", 7}, base::DataCentreId("north")}};
    reply.distantLoad.upstreams.emplace_back();
    fleet::RelayedAnnouncements relay;
    relay.departed.emplace_back();
    fleet::LoadUpdate news;
    news.upstreams.emplace_back();
    return {fleet::encode(reply), fleet::encode(fleet::WatchRequest()), fleet::encode(news),
            fleet::encode(fleet::PermitRequest()), fleet::encode(relay)};
}

} // namespace

std::vector<Target> platformTargets()
{
    return {{"manifest", manifestHolds, {kManifest}},
            {"heartbeat", heartbeatHolds, {kHeartbeat}},
            {"leave", leaveHolds, {R"({"born":5})"}},
            {"platform-settings", settingsHold, {kSettings}},
            {"platform-bounds", boundsHold, {"a3", "b3.0", "c3.5", "d3e2", "e-1", "f.inf"}},
            {"platform-headers", headersHold, {"a1460,80", "b100", "c3,0,8", "d127.0.0.1:80"}},
            {"fleet-message", fleetMessagesHold, exampleFleetMessages()}};
}

} // namespace hyssop::fuzz
