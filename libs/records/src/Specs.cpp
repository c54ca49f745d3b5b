#include "FieldReader.h"

#include <algorithm>
#include <set>

namespace hyssop::records {

namespace {

constexpr std::int64_t kMaxWeight = 1000;
constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxReplicas = 1000;
constexpr std::int64_t kMaxLoadsPerMinute = 600;
constexpr std::size_t kMaxVoters = 7;

void readDeadlines(FieldReader &reader, RouteSpec &route)
{
    const auto *deadlines = reader.find("deadlinesMs");
    if (!deadlines)
        return;
    if (!deadlines->is_object())
        return reader.setError("deadlinesMs", "not a mapping of urgency to milliseconds");
    for (const auto &it : deadlines->items()) {
        const auto urgency = parseUrgency(it.key());
        const std::string path = "spec.deadlinesMs." + it.key();
        if (!urgency)
            return reader.setErrorAt(path, "not urgent, normal or batch");
        std::int64_t ms = 0;
        reader.parseInteger(path, it.value(), 1, kMaxDeadlineMs, ms);
        route.deadlines[*urgency] = base::Millis(ms);
    }
}

/// Reads a required string of a voter. The path of an error includes the voter's list index.
std::string readVoterField(FieldReader &reader, const nlohmann::json &voter,
                           const std::string &path, const char *field)
{
    const auto it = voter.find(field);
    if (it == voter.end() || !it->is_string() || it->get_ref<const std::string &>().empty()) {
        reader.setErrorAt(path + "." + field, "missing or not a string");
        return {};
    }
    return it->get<std::string>();
}

void readVoters(FieldReader &reader, const nlohmann::json &voters, ControlGroupSpec &group)
{
    std::set<base::HostId> hosts;
    std::set<base::Endpoint> addresses;
    for (std::size_t n = 0; n < voters.size(); ++n) {
        const std::string path = "spec.voters." + std::to_string(n);
        if (!voters[n].is_object())
            return reader.setErrorAt(path, "not a mapping of host, address and dataCentre");
        const base::HostId host(readVoterField(reader, voters[n], path, "host"));
        const auto address =
                base::parseEndpoint(readVoterField(reader, voters[n], path, "address"));
        const base::DataCentreId dataCentre(readVoterField(reader, voters[n], path, "dataCentre"));
        if (!address || address->port == 0)
            return reader.setErrorAt(path + ".address", "not an address and port");
        if (!hosts.insert(host).second)
            return reader.setErrorAt(path + ".host", "listed twice");
        if (!addresses.insert(*address).second)
            return reader.setErrorAt(path + ".address", "listed twice");
        group.voters.push_back({host, *address, dataCentre});
    }
}

std::optional<RecordError> checkSchema(const Record &record)
{
    if (record.schema <= kNewestSchema)
        return std::nullopt;
    return RecordError{"", 0, "schema", "newer than this program supports"};
}

} // namespace

base::Millis RouteSpec::deadlineFor(Urgency u) const
{
    const auto it = deadlines.find(u);
    return it == deadlines.end() ? deadline : it->second;
}

tl::expected<TeamSpec, RecordError> readTeam(const Record &record)
{
    if (const auto error = checkSchema(record))
        return tl::unexpected(*error);
    FieldReader reader(record);
    TeamSpec team;
    std::int64_t weight = team.weight;
    std::int64_t requests = team.maxRequests;
    std::int64_t tokens = team.maxTokens.count();
    std::int64_t longPrompts = team.maxLongPrompts;
    reader.readInteger("weight", 1, kMaxWeight, weight);
    reader.readInteger("maxRequests", 1, kMaxCount, requests);
    reader.readInteger("maxTokens", 1, kMaxCount, tokens);
    reader.readInteger("maxLongPrompts", 0, kMaxCount, longPrompts);
    reader.readStrings("keySha256", team.keySha256);
    if (reader.error())
        return tl::unexpected(*reader.error());
    team.weight = static_cast<int>(weight);
    team.maxRequests = static_cast<int>(requests);
    team.maxTokens = base::Tokens(tokens);
    team.maxLongPrompts = static_cast<int>(longPrompts);
    return team;
}

tl::expected<RouteSpec, RecordError> readRoute(const Record &record)
{
    if (const auto error = checkSchema(record))
        return tl::unexpected(*error);
    FieldReader reader(record);
    RouteSpec route;
    std::string model;
    std::string service;
    std::string urgency(urgencyName(route.urgency));
    std::int64_t deadlineMs = route.deadline.count();
    std::vector<std::string> teams;
    reader.readString("model", model);
    reader.readString("service", service);
    reader.readString("adapter", route.adapter);
    reader.readString("modelVersion", route.modelVersion);
    reader.readString("role", route.role);
    reader.readString("urgency", urgency);
    reader.readInteger("deadlineMs", 1, kMaxDeadlineMs, deadlineMs);
    reader.readBool("mayRepeat", route.isRetrySafe);
    reader.readStrings("teams", teams);
    if (record.schema >= 2)
        readDeadlines(reader, route);
    if (model.empty() == service.empty())
        reader.setError("model", "exactly one of model and service is required");
    if (const auto parsed = parseUrgency(urgency))
        route.urgency = *parsed;
    else
        reader.setError("urgency", "not urgent, normal or batch");
    if (reader.error())
        return tl::unexpected(*reader.error());
    route.model = base::ModelId(model);
    route.service = base::ServiceId(service);
    route.deadline = base::Millis(deadlineMs);
    for (const std::string &team : teams)
        route.teams.emplace_back(team);
    return route;
}

tl::expected<DeploymentSpec, RecordError> readDeployment(const Record &record)
{
    if (const auto error = checkSchema(record))
        return tl::unexpected(*error);
    FieldReader reader(record);
    DeploymentSpec deployment;
    std::string model;
    std::string dataCentre;
    std::string fencing = "checked";
    std::int64_t replicas = deployment.replicas;
    std::int64_t loads = deployment.loadsPerMinute;
    std::vector<std::string> upstreams;
    reader.readString("model", model);
    reader.readString("adapter", deployment.adapter);
    reader.readString("modelVersion", deployment.modelVersion);
    reader.readString("role", deployment.role);
    reader.readString("dataCentre", dataCentre);
    reader.readString("fencing", fencing);
    reader.readInteger("replicas", 0, kMaxReplicas, replicas);
    reader.readInteger("loadsPerMinute", 1, kMaxLoadsPerMinute, loads);
    reader.readStrings("upstreams", upstreams);
    reader.readBool("mayUnloadLast", deployment.mayUnloadLast);
    if (model.empty())
        reader.setError("model", "missing");
    if (dataCentre.empty())
        reader.setError("dataCentre", "missing");
    if (fencing != "checked" && fencing != "ignored")
        reader.setError("fencing", "not checked or ignored");
    if (reader.error())
        return tl::unexpected(*reader.error());
    deployment.model = base::ModelId(model);
    deployment.dataCentre = base::DataCentreId(dataCentre);
    deployment.fencing = fencing == "checked" ? Fencing::Checked : Fencing::Ignored;
    deployment.replicas = static_cast<int>(replicas);
    deployment.loadsPerMinute = static_cast<int>(loads);
    for (const std::string &upstream : upstreams)
        deployment.upstreams.emplace_back(upstream);
    return deployment;
}

tl::expected<ControlGroupSpec, RecordError> readControlGroup(const Record &record)
{
    if (const auto error = checkSchema(record))
        return tl::unexpected(*error);
    FieldReader reader(record);
    ControlGroupSpec group;
    const auto *voters = reader.find("voters");
    if (!voters || !voters->is_array() || voters->empty() || voters->size() > kMaxVoters)
        reader.setError("voters", "not a list of 1 to 7 voters");
    else
        readVoters(reader, *voters, group);
    if (reader.error())
        return tl::unexpected(*reader.error());
    return group;
}

std::optional<RecordError> validateSpec(const Record &record)
{
    const auto errorOf = [](const auto &spec) {
        return spec ? std::nullopt : std::optional<RecordError>(spec.error());
    };
    switch (record.kind) {
    case Kind::Team:
        return errorOf(readTeam(record));
    case Kind::Route:
        return errorOf(readRoute(record));
    case Kind::ControlGroup:
        return errorOf(readControlGroup(record));
    case Kind::Deployment:
        return errorOf(readDeployment(record));
    }
    return std::nullopt;
}

} // namespace hyssop::records
