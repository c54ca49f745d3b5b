#include "fleet/Fleet.h"

#include <algorithm>

namespace hyssop::fleet {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return lower;
}

} // namespace

RouteTable::RouteTable(Configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const Route &route : m_configuration.routes)
        m_byHost[lowerCase(route.host)].push_back(&route);
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
    }
    for (const Service &service : m_configuration.services)
        m_services[service.id] = &service;
    for (const Team &team : m_configuration.teams) {
        for (const std::string &key : team.keys)
            m_teamByKey[key] = &team;
    }
}

const Route *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto it = m_byHost.find(lowerCase(host.substr(0, host.find(':'))));
    if (it == m_byHost.end())
        return nullptr;
    const auto route = std::find_if(it->second.begin(), it->second.end(), [path](const Route *r) {
        return path.starts_with(r->pathPrefix);
    });
    return route == it->second.end() ? nullptr : *route;
}

const Service *RouteTable::findService(const base::ServiceId &id) const
{
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : it->second;
}

const Team *RouteTable::findTeamByKey(const std::string &key) const
{
    const auto it = m_teamByKey.find(key);
    return it == m_teamByKey.end() ? nullptr : it->second;
}

const base::ServiceId &RouteTable::pickService(const Route &route, double draw)
{
    double total = 0;
    for (const WeightedService &it : route.services)
        total += it.weight;
    double left = total * draw;
    for (const WeightedService &it : route.services) {
        left -= it.weight;
        if (left < 0 && it.weight > 0)
            return it.service;
    }
    const auto last = std::find_if(route.services.rbegin(), route.services.rend(),
                                   [](const WeightedService &it) { return it.weight > 0; });
    return last->service;
}

std::vector<base::Millis> RouteTable::gapObjectives(const base::ServiceId &service) const
{
    std::vector<base::Millis> gaps;
    for (const Route &route : m_configuration.routes) {
        const bool usesService =
                std::any_of(route.services.begin(), route.services.end(),
                            [&service](const auto &it) { return it.service == service; });
        if (usesService && route.gapObjective > base::Millis(0))
            gaps.push_back(route.gapObjective);
    }
    return gaps;
}

base::Millis RouteTable::shortestGapObjective(const base::ServiceId &service) const
{
    const std::vector<base::Millis> all = gapObjectives(service);
    return all.empty() ? base::Millis(0) : *std::min_element(all.begin(), all.end());
}

base::Millis RouteTable::longestGapObjective(const base::ServiceId &service) const
{
    const std::vector<base::Millis> all = gapObjectives(service);
    return all.empty() ? base::Millis(0) : *std::max_element(all.begin(), all.end());
}

} // namespace hyssop::fleet
