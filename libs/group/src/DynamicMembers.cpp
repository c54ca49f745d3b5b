#include "group/Group.h"

#include <algorithm>

namespace hyssop::group {

namespace {

/// A host that is not a seed is removed after this long without a Hello. A restarting machine is
/// back sooner.
constexpr base::Millis kHostExpiry{60'000};

std::vector<HostAddress> sortedAddressesOf(const std::vector<base::Endpoint> &seeds)
{
    std::vector<HostAddress> hosts;
    hosts.reserve(seeds.size());
    for (const base::Endpoint &seed : seeds)
        hosts.push_back({base::HostId(seed.text()), seed});
    // Sorted, so that all seeds agree on the first host, which bootstraps the group.
    std::sort(hosts.begin(), hosts.end(),
              [](const auto &a, const auto &b) { return a.address < b.address; });
    return hosts;
}

} // namespace

DynamicMembers::DynamicMembers(DynamicMembersOptions options, base::TimePoint now)
    : GroupMembers(options.self, sortedAddressesOf(options.seeds), now)
    , m_options(std::move(options))
    , m_lastTickAt(now)
{ }

std::optional<base::Endpoint> DynamicMembers::addressOf(const base::HostId &host) const
{
    return base::parseEndpoint(host.text());
}

Hello DynamicMembers::helloTo(const base::HostId &host, const replog::ReplicaId &self, bool isEmpty)
{
    Hello hello = GroupMembers::helloTo(host, self, isEmpty);
    hello.isEmpty = isEmpty && mayReportEmptyLogTo(host, !hello.echoedId.isEmpty());
    hello.dataCentre = m_options.dataCentre;
    return hello;
}

base::HostId DynamicMembers::firstSeed() const
{
    return m_options.seeds.empty() ? base::HostId()
                                   : sortedAddressesOf(m_options.seeds).front().host;
}

bool DynamicMembers::mayReportEmptyLogTo(const base::HostId &host, bool isIdKnown)
{
    // Hosts whose lists of seeds differ for a while may have different first seeds. If a seed
    // reported its empty log to two of them, each could found a group with it.
    if (!m_possibleFounder.isEmpty())
        return host == m_possibleFounder;
    if (host != firstSeed())
        return false;
    // A host whose current id is not echoed in the Hello ignores the report.
    if (isIdKnown)
        m_possibleFounder = host;
    return true;
}

void DynamicMembers::addHost(const base::HostId &host)
{
    const auto address = base::parseEndpoint(host.text());
    const auto isKnown = std::any_of(hosts().begin(), hosts().end(),
                                     [&host](const auto &it) { return it.host == host; });
    if (!address || isKnown)
        return;
    std::vector<HostAddress> all = hosts();
    all.push_back({host, *address});
    setHosts(std::move(all));
}

void DynamicMembers::onHello(const Hello &hello)
{
    GroupMembers::onHello(hello);
    const base::HostId host = replog::hostOf(hello.id);
    m_lastHelloAt[host] = m_lastTickAt;
    addHost(host);
}

void DynamicMembers::setSeeds(const std::vector<base::Endpoint> &seeds)
{
    m_options.seeds = seeds;
    for (const HostAddress &seed : sortedAddressesOf(seeds))
        addHost(seed.host);
}

void DynamicMembers::tick(base::TimePoint now)
{
    m_lastTickAt = now;
    const auto isExpired = [&](const HostAddress &it) {
        const auto at = m_lastHelloAt.find(it.host);
        const bool isSeed = std::find(m_options.seeds.begin(), m_options.seeds.end(), it.address)
                            != m_options.seeds.end();
        return !isSeed && (at == m_lastHelloAt.end() || now >= at->second + kHostExpiry);
    };
    std::vector<HostAddress> remaining;
    for (const HostAddress &host : hosts()) {
        if (!isExpired(host)) {
            remaining.push_back(host);
            continue;
        }
        m_lastHelloAt.erase(host.host);
        removeHost(host.host);
    }
    if (remaining.size() != hosts().size())
        setHosts(std::move(remaining));
}

std::optional<std::vector<replog::ReplicaId>> DynamicMembers::bootstrapVoters(
        const replog::ReplicaId &self) const
{
    const base::HostId selfHost = replog::hostOf(self);
    const bool isBoundToOther = !m_possibleFounder.isEmpty() && m_possibleFounder != selfHost;
    if (!m_options.canBootstrap || firstSeed() != selfHost || isBoundToOther)
        return std::nullopt;
    std::vector<replog::ReplicaId> voters{self};
    for (const base::Endpoint &seed : m_options.seeds) {
        const base::HostId host(seed.text());
        if (host == replog::hostOf(self))
            continue;
        const auto it = hellos().find(host);
        if (it == hellos().end() || !it->second.isEmpty || it->second.echoedId != self)
            return std::nullopt;
        voters.push_back(it->second.id);
    }
    return voters;
}

replog::DesiredReplicas DynamicMembers::desiredReplicas(const replog::ReplicaId &self,
                                                        const replog::Configuration &configuration,
                                                        base::TimePoint now) const
{
    struct Host
    {
        replog::ReplicaId id;
        base::DataCentreId dataCentre;
    };
    std::vector<Host> votingHosts{{self, m_options.dataCentre}};
    std::vector<Host> nonVoters;
    const auto hasVote = [&configuration](const base::HostId &host) {
        return std::any_of(configuration.voters.begin(), configuration.voters.end(),
                           [&host](const auto &id) { return replog::hostOf(id) == host; });
    };
    for (const auto &[host, hello] : hellos()) {
        if (host == replog::hostOf(self) || !isReachable(hello.id, now))
            continue;
        (hasVote(host) ? votingHosts : nonVoters).push_back({hello.id, hello.dataCentre});
    }
    const auto votersInDataCentre = [&votingHosts](const Host &it) {
        return std::count_if(votingHosts.begin(), votingHosts.end(),
                             [&it](const Host &v) { return v.dataCentre == it.dataCentre; });
    };
    // Spread the votes, so that losing a data centre costs as few of them as possible.
    while (votingHosts.size() < m_options.voterCount && !nonVoters.empty()) {
        const auto best = std::min_element(nonVoters.begin(), nonVoters.end(),
                                           [&](const Host &a, const Host &b) {
                                               return votersInDataCentre(a) < votersInDataCentre(b);
                                           });
        votingHosts.push_back(*best);
        nonVoters.erase(best);
    }
    replog::DesiredReplicas desired;
    for (const Host &host : votingHosts)
        desired.voters.push_back(host.id);
    for (const replog::ReplicaId &voter : configuration.voters) {
        const bool isCounted =
                std::any_of(desired.voters.begin(), desired.voters.end(), [&voter](const auto &id) {
                    return replog::hostOf(id) == replog::hostOf(voter);
                });
        if (desired.voters.size() < m_options.voterCount && !isCounted)
            desired.voters.push_back(voter);
    }
    for (const Host &host : nonVoters)
        desired.learners.push_back(host.id);
    return desired;
}

} // namespace hyssop::group
