#include "fleet/Fleet.h"

#include <algorithm>
#include <cmath>

namespace hyssop::fleet {

namespace {

using Checked = tl::expected<void, ConfigurationError>;

Checked makeError(std::string subject, std::string message)
{
    return tl::unexpected(ConfigurationError{std::move(subject), std::move(message)});
}

Checked checkRoute(const Route &route, const std::set<base::ServiceId> &services)
{
    if (route.host.empty())
        return makeError(route.name, "the host name is empty");
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/'
        || route.pathPrefix.back() != '/')
        return makeError(route.name, "the path prefix must begin and end with a slash");
    if (route.timeout <= base::Millis(0))
        return makeError(route.name, "the timeout must be greater than 0");
    if (route.maxAttempts < 1)
        return makeError(route.name, "at least one attempt must be allowed");
    double total = 0;
    for (const WeightedService &it : route.services) {
        if (!services.contains(it.service))
            return makeError(route.name, "service " + it.service.text() + " does not exist");
        if (it.weight < 0)
            return makeError(route.name, "a weight is negative");
        total += it.weight;
    }
    if (!(total > 0) || !std::isfinite(total))
        return makeError(route.name, "the sum of the weights must be finite and greater than 0");
    return {};
}

} // namespace

Checked validate(const Configuration &configuration)
{
    std::set<base::ServiceId> services;
    for (const Service &service : configuration.services) {
        if (service.id.isEmpty() || !services.insert(service.id).second)
            return makeError(service.id.text(), "the service name is empty or not unique");
    }
    std::set<std::pair<std::string, std::string>> hostsAndPaths;
    for (const Route &route : configuration.routes) {
        if (const auto checked = checkRoute(route, services); !checked)
            return checked;
        if (!hostsAndPaths.insert({route.host, route.pathPrefix}).second)
            return makeError(route.name, "another route has the same host and path prefix");
    }
    std::map<std::string, base::TeamId> keys;
    for (const Team &team : configuration.teams) {
        for (const std::string &key : team.keys) {
            const auto [it, isNew] = keys.emplace(key, team.id);
            if (!isNew && it->second != team.id)
                return makeError(team.id.text(), "a key also belongs to team " + it->second.text());
        }
    }
    return {};
}

} // namespace hyssop::fleet
