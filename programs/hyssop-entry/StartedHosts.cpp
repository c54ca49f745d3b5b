#include "StartedHosts.h"

#include <nlohmann/json.hpp>

namespace hyssop::entry {

using nlohmann::json;

std::string startedHostsQueryJson(const base::DataCentreId &dataCentre, std::int64_t revision)
{
    return json{{"dataCentre", dataCentre.text()}, {"revision", revision}}.dump(
            -1, ' ', false, json::error_handler_t::replace);
}

std::optional<ledger::StartedHosts> parseStartedHosts(const std::string &answer)
{
    const auto body = base::parseJson(answer);
    if (!body || !body->is_object() || !body->contains("revision")
        || !body->at("revision").is_number_integer())
        return std::nullopt;
    ledger::StartedHosts started;
    started.revision = body->at("revision");
    const auto hosts = body->find("hosts");
    if (hosts == body->end())
        return started;
    if (!hosts->is_array())
        return std::nullopt;
    for (const json &it : *hosts) {
        const bool isValid = it.is_object() && it.contains("host") && it.at("host").is_string()
                             && it.contains("incarnation")
                             && it.at("incarnation").is_number_integer();
        if (!isValid)
            return std::nullopt;
        started.hosts.push_back({base::HostId(it.at("host").get<std::string>()),
                                 base::Incarnation(it.at("incarnation").get<std::int64_t>())});
    }
    return started;
}

} // namespace hyssop::entry
