#include "records/Records.h"

#include <algorithm>
#include <set>

namespace hyssop::records {

namespace {

std::string qualifiedNameOf(const Record &record)
{
    return std::string(kindName(record.kind)) + "/" + record.name;
}

/// Parses a record's spec into \a out. Returns false if it is not readable.
template <typename Key, typename Spec, typename Read>
bool readInto(const Record &record, const Key &key, Read read, std::map<Key, Spec> &out)
{
    auto spec = read(record);
    if (!spec)
        return false;
    out.emplace(key, *std::move(spec));
    return true;
}

template <typename Key, typename Spec>
void copyEntry(const Key &key, const std::map<Key, Spec> &previous, std::map<Key, Spec> &out)
{
    if (const auto it = previous.find(key); it != previous.end())
        out.insert(*it);
}

} // namespace

bool Catalogue::addIfReadable(const Record &record)
{
    switch (record.kind) {
    case Kind::Team:
        return readInto(record, base::TeamId(record.name), readTeam, m_teams);
    case Kind::Route:
        return readInto(record, record.name, readRoute, m_routes);
    case Kind::ControlGroup:
        return readInto(record, record.name, readControlGroup, m_controlGroups);
    case Kind::Deployment:
        return readInto(record, record.name, readDeployment, m_deployments);
    }
    return false;
}

void Catalogue::copyFromPrevious(const Catalogue &previous, const Record &record)
{
    switch (record.kind) {
    case Kind::Team:
        return copyEntry(base::TeamId(record.name), previous.m_teams, m_teams);
    case Kind::Route:
        return copyEntry(record.name, previous.m_routes, m_routes);
    case Kind::ControlGroup:
        return copyEntry(record.name, previous.m_controlGroups, m_controlGroups);
    case Kind::Deployment:
        return copyEntry(record.name, previous.m_deployments, m_deployments);
    }
}

std::shared_ptr<const Catalogue> Catalogue::build(const std::vector<Record> &records,
                                                  const Catalogue *previous)
{
    std::vector<const Record *> newestFirst;
    newestFirst.reserve(records.size());
    for (const Record &record : records)
        newestFirst.push_back(&record);
    std::stable_sort(newestFirst.begin(), newestFirst.end(),
                     [](const Record *a, const Record *b) { return a->version > b->version; });
    auto catalogue = std::make_shared<Catalogue>();
    std::set<std::string> inForce;
    std::map<std::string, const Record *> unreadable; // The newest of each.
    for (const Record *record : newestFirst) {
        const std::string qualifiedName = qualifiedNameOf(*record);
        if (inForce.contains(qualifiedName))
            continue;
        if (catalogue->addIfReadable(*record))
            inForce.insert(qualifiedName);
        else
            unreadable.emplace(qualifiedName, record);
    }
    for (const auto &[qualifiedName, record] : unreadable) {
        catalogue->m_unreadable.push_back(qualifiedName);
        if (previous && !inForce.contains(qualifiedName))
            catalogue->copyFromPrevious(*previous, *record);
    }
    for (const auto &[id, team] : catalogue->m_teams) {
        for (const std::string &digest : team.keySha256)
            catalogue->m_teamsByKey.emplace(digest, id);
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

const base::TeamId *Catalogue::teamOfKeyDigest(const std::string &sha256) const
{
    const auto it = m_teamsByKey.find(sha256);
    return it == m_teamsByKey.end() ? nullptr : &it->second;
}

} // namespace hyssop::records
