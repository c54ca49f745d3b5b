#include "group/Group.h"

#include <algorithm>

namespace hyssop::group {

namespace {

/// A replica that sends nothing for this long is unreachable; four times the Hello interval.
constexpr base::Millis kReachableTimeout{2'000};

} // namespace

GroupMembers::GroupMembers(base::HostId self, std::vector<HostAddress> hosts, base::TimePoint now)
    : m_self(std::move(self))
    , m_createdAt(now)
{
    setHosts(std::move(hosts));
}

void GroupMembers::setHosts(std::vector<HostAddress> hosts)
{
    m_hosts = std::move(hosts);
    for (const HostAddress &host : m_hosts)
        m_addresses[host.host] = host.address;
}

bool GroupMembers::isMember() const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(),
                       [this](const HostAddress &host) { return host.host == m_self; });
}

std::optional<base::Endpoint> GroupMembers::addressOf(const base::HostId &host) const
{
    const auto it = m_addresses.find(host);
    if (it == m_addresses.end())
        return std::nullopt;
    return it->second;
}

Hello GroupMembers::helloTo(const base::HostId &host, const replog::ReplicaId &self, bool isEmpty)
{
    const auto hello = m_hellos.find(host);
    return {self, isEmpty, hello == m_hellos.end() ? replog::ReplicaId() : hello->second.id, {}};
}

void GroupMembers::onHello(const Hello &hello)
{
    m_hellos[replog::hostOf(hello.id)] = hello;
}

void GroupMembers::onContact(const replog::ReplicaId &id, base::TimePoint now)
{
    m_lastContactAt[id] = now;
}

bool GroupMembers::isQuorumReachable(const replog::ReplicaId &self,
                                     const replog::Configuration &configuration,
                                     base::TimePoint now) const
{
    if (now < m_createdAt + kReachableTimeout || configuration.voters.empty())
        return true;
    const auto &voters = configuration.voters;
    const auto reachableCount = std::count_if(voters.begin(), voters.end(), [&](const auto &voter) {
        return voter == self || isReachable(voter, now);
    });
    return static_cast<std::size_t>(reachableCount) > voters.size() / 2;
}

bool GroupMembers::isReachable(const replog::ReplicaId &id, base::TimePoint now) const
{
    const auto it = m_lastContactAt.find(id);
    return it != m_lastContactAt.end() && now < it->second + kReachableTimeout;
}

void GroupMembers::removeHost(const base::HostId &host)
{
    m_hellos.erase(host);
    std::erase_if(m_lastContactAt,
                  [&host](const auto &it) { return replog::hostOf(it.first) == host; });
}

replog::DesiredReplicas GroupMembers::desiredReplicas(const replog::ReplicaId &self,
                                                      const replog::Configuration &configuration,
                                                      base::TimePoint) const
{
    return {desiredVoters(self, configuration), {}};
}

std::optional<std::vector<replog::ReplicaId>> GroupMembers::bootstrapVoters(
        const replog::ReplicaId &self) const
{
    if (m_hosts.empty() || m_hosts.front().host != m_self)
        return std::nullopt;
    std::vector<replog::ReplicaId> voters{self};
    for (const HostAddress &host : m_hosts) {
        if (host.host == m_self)
            continue;
        const auto it = m_hellos.find(host.host);
        // The echoed id shows that the Hello was sent after this replica incarnation was created.
        if (it == m_hellos.end() || !it->second.isEmpty || it->second.echoedId != self)
            return std::nullopt;
        voters.push_back(it->second.id);
    }
    return voters;
}

std::vector<replog::ReplicaId> GroupMembers::desiredVoters(
        const replog::ReplicaId &self, const replog::Configuration &configuration) const
{
    std::vector<replog::ReplicaId> ids;
    for (const HostAddress &host : m_hosts) {
        if (host.host == m_self) {
            ids.push_back(self);
            continue;
        }
        if (const auto it = m_hellos.find(host.host); it != m_hellos.end()) {
            ids.push_back(it->second.id);
            continue;
        }
        const auto voter =
                std::find_if(configuration.voters.begin(), configuration.voters.end(),
                             [&host](const auto &id) { return replog::hostOf(id) == host.host; });
        if (voter != configuration.voters.end())
            ids.push_back(*voter);
    }
    return ids;
}

} // namespace hyssop::group
