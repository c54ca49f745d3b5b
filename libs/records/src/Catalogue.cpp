#include "records/Records.h"

namespace hyssop::records {

std::shared_ptr<const Catalogue> Catalogue::build(const std::vector<Record> &records,
                                                  const Catalogue *previous)
{
    auto catalogue = std::make_shared<Catalogue>();
    for (const Record &record : records) {
        const std::string label = std::string(kindName(record.kind)) + "/" + record.name;
        if (record.kind == Kind::Team) {
            const base::TeamId id(record.name);
            if (auto team = readTeam(record)) {
                catalogue->m_teams.emplace(id, *std::move(team));
                continue;
            }
            catalogue->m_unreadable.push_back(label);
            if (const TeamSpec *kept = previous ? previous->team(id) : nullptr)
                catalogue->m_teams.emplace(id, *kept);
        } else if (record.kind == Kind::Route) {
            if (auto route = readRoute(record)) {
                catalogue->m_routes.emplace(record.name, *std::move(route));
                continue;
            }
            catalogue->m_unreadable.push_back(label);
            if (const RouteSpec *kept = previous ? previous->route(record.name) : nullptr)
                catalogue->m_routes.emplace(record.name, *kept);
        }
    }
    for (const auto &[id, team] : catalogue->m_teams) {
        for (const std::string &digest : team.keySha256)
            catalogue->m_keys.emplace(digest, id);
    }
    return catalogue;
}

const TeamSpec *Catalogue::team(const base::TeamId &id) const
{
    const auto it = m_teams.find(id);
    return it == m_teams.end() ? nullptr : &it->second;
}

const RouteSpec *Catalogue::route(const std::string &name) const
{
    const auto it = m_routes.find(name);
    return it == m_routes.end() ? nullptr : &it->second;
}

const base::TeamId *Catalogue::teamOfKey(const std::string &sha256) const
{
    const auto it = m_keys.find(sha256);
    return it == m_keys.end() ? nullptr : &it->second;
}

} // namespace hyssop::records
