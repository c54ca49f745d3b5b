#include "membership/Membership.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace hyssop::membership {

namespace {

/// With at most this many other hosts, each host sends to every other.
constexpr std::size_t kMaxFullMeshPeers = 7;
/// Targets per round in that case, and with more hosts.
constexpr std::size_t kFullMeshTargets = 3;
constexpr std::size_t kGossipTargets = 2;
/// Approximate encoded size of a digest and of a host's heartbeat.
constexpr std::size_t kUpstreamDigestBytes = 12;
constexpr std::size_t kHostDigestBytes = 14;
/// Limits per message on changed announcements and on requested ones.
constexpr std::size_t kMaxAnnouncementsPerMessage = 4;
constexpr std::size_t kMaxRequestedContents = 16;
/// Longest time between digests.
constexpr std::size_t kMaxDigestIntervalRounds = 8;
/// Seeds that are not a known host are tried every this many rounds.
constexpr std::size_t kSeedIntervalRounds = 4;
/// A host's address is always gossiped for kNewHostPeriod after it came up, later only at this
/// interval of rounds.
constexpr base::Millis kNewHostPeriod{5'000};
constexpr std::size_t kAddressIntervalRounds = 32;

bool contains(const std::vector<base::Endpoint> &list, const base::Endpoint &address)
{
    return std::find(list.begin(), list.end(), address) != list.end();
}

} // namespace

GossipProtocol::GossipProtocol(GossipOptions options, HostTable *hosts, Directory *directory)
    : m_options(std::move(options))
    , m_hosts(hosts)
    , m_directory(directory)
    , m_rng(m_options.seed)
{ }

bool GossipProtocol::isFullMesh() const
{
    return m_hosts->live().size() <= kMaxFullMeshPeers + 1;
}

std::size_t GossipProtocol::targetsPerRound() const
{
    const std::size_t others = m_hosts->live().size() - 1;
    return isFullMesh() ? std::min(others, kFullMeshTargets) : kGossipTargets;
}

int GossipProtocol::roundsPerRotation() const
{
    const std::size_t others = m_hosts->live().size() - 1;
    return std::max(1, static_cast<int>((others + kFullMeshTargets - 1) / kFullMeshTargets));
}

std::vector<base::Endpoint> GossipProtocol::nextInRotation(const std::vector<base::Endpoint> &known)
{
    std::vector<base::Endpoint> chosen;
    while (chosen.size() < std::min(known.size(), kFullMeshTargets)) {
        if (m_rotation.empty()) {
            // Random order, so that rounds with digests do not always go to the same hosts.
            m_rotation = known;
            std::shuffle(m_rotation.begin(), m_rotation.end(), m_rng);
        }
        if (contains(known, m_rotation.back()) && !contains(chosen, m_rotation.back()))
            chosen.push_back(m_rotation.back());
        m_rotation.pop_back();
    }
    return chosen;
}

std::vector<base::Endpoint> GossipProtocol::distantAndRandom(
        const std::vector<HostHeartbeat> &live, const std::vector<base::Endpoint> &known)
{
    const auto isSelf = [this](const HostHeartbeat &it) { return it.id == m_hosts->self().id; };
    const auto self =
            static_cast<std::size_t>(std::find_if(live.begin(), live.end(), isSelf) - live.begin());
    const auto distances = static_cast<std::size_t>(std::bit_width(live.size() - 1));
    const std::size_t distance = std::size_t(1) << (m_digestRounds % distances);
    std::vector<base::Endpoint> chosen{live[(self + distance) % live.size()].address};
    const std::size_t n = std::uniform_int_distribution<std::size_t>(0, known.size() - 1)(m_rng);
    if (!contains(chosen, known[n]))
        chosen.push_back(known[n]);
    return chosen;
}

std::vector<base::Endpoint> GossipProtocol::chooseTargets()
{
    if (m_options.usesSeedsOnly)
        return m_options.seeds;
    const std::vector<HostHeartbeat> live = m_hosts->live();
    std::vector<base::Endpoint> known;
    for (const HostHeartbeat &heartbeat : live) {
        if (heartbeat.id != m_hosts->self().id && heartbeat.address.port != 0)
            known.push_back(heartbeat.address);
    }
    std::vector<base::Endpoint> chosen = known.size() > kMaxFullMeshPeers
                                                 ? distantAndRandom(live, known)
                                                 : nextInRotation(known);
    if (m_round % kSeedIntervalRounds == 0 || known.empty()) {
        for (const base::Endpoint &seed : m_options.seeds) {
            if (!contains(known, seed))
                chosen.push_back(seed);
        }
    }
    std::erase_if(chosen, [](const base::Endpoint &it) { return it.port == 0; });
    return chosen;
}

std::size_t GossipProtocol::digestInterval() const
{
    const std::size_t hosts = m_hosts->live().size();
    const std::size_t bytes = m_directory->size() * kUpstreamDigestBytes + hosts * kHostDigestBytes;
    const auto bytesPerRound = static_cast<std::size_t>(m_options.digestBytesPerSecond.count()
                                                        * m_options.roundInterval.count() / 1'000);
    return std::clamp<std::size_t>((bytes * targetsPerRound() + bytesPerRound - 1) / bytesPerRound,
                                   1, kMaxDigestIntervalRounds);
}

base::Millis GossipProtocol::propagationDelay() const
{
    const auto hosts = static_cast<unsigned>(m_hosts->live().size());
    const int rounds =
            isFullMesh() ? 2 * roundsPerRotation() : 2 * static_cast<int>(std::bit_width(hosts));
    return m_options.roundInterval * static_cast<int>(digestInterval()) * rounds;
}

void GossipProtocol::addDigests(MembershipMessage &message, base::TimePoint now) const
{
    message.digests = m_directory->digests();
    const bool includesAddresses = m_round % kAddressIntervalRounds < kMaxDigestIntervalRounds;
    for (HostHeartbeat &heartbeat : m_hosts->live()) {
        if (heartbeat.id == m_hosts->self().id)
            continue;
        if (!includesAddresses && !m_hosts->isNew(heartbeat.id, kNewHostPeriod, now))
            heartbeat.address = {};
        message.heartbeats.push_back(std::move(heartbeat));
    }
}

std::vector<base::UpstreamId> GossipProtocol::mostUrgentAnnouncements() const
{
    // Leaving upstreams first, then those with the most rounds left.
    std::vector<std::pair<int, base::UpstreamId>> order;
    for (const auto &[id, rounds] : m_roundsLeft) {
        const bool isLeaving = m_directory->find(id)->upstream.isLeaving;
        order.emplace_back(isLeaving ? std::numeric_limits<int>::max() : rounds, id);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<base::UpstreamId> ids;
    for (std::size_t n = 0; n < std::min(order.size(), kMaxAnnouncementsPerMessage); ++n)
        ids.push_back(order[n].second);
    return ids;
}

void GossipProtocol::addAnnouncements(MembershipMessage &message)
{
    std::erase_if(m_roundsLeft, [this](const auto &it) {
        return it.second <= 0 || !m_directory->find(it.first);
    });
    for (const base::UpstreamId &id : mostUrgentAnnouncements()) {
        message.announcements.push_back(*m_directory->find(id));
        --m_roundsLeft[id];
    }
}

std::vector<GossipProtocol::Outgoing> GossipProtocol::runRound(base::TimePoint now)
{
    ++m_round;
    m_hosts->incrementHeartbeat();
    m_hosts->setPropagationDelay(propagationDelay());
    m_directory->setPropagationDelay(propagationDelay());
    MembershipMessage common;
    common.sender = m_hosts->self();
    addAnnouncements(common);
    const std::vector<base::Endpoint> chosen = chooseTargets();
    if (m_round - m_lastDigestRound >= digestInterval()) {
        m_lastDigestRound = m_round;
        ++m_digestRounds;
        addDigests(common, now);
    }
    std::vector<Outgoing> out;
    out.reserve(chosen.size());
    for (const base::Endpoint &to : chosen)
        out.push_back({to, common});
    addDirectMessages(out);
    return out;
}

void GossipProtocol::addDirectMessages(std::vector<Outgoing> &out)
{
    std::map<base::HostId, MembershipMessage> direct;
    for (const auto &[host, ids] : std::exchange(m_requestedByHosts, {})) {
        for (const base::UpstreamId &id : ids) {
            if (const Announcement *it = m_directory->find(id))
                direct[host].announcements.push_back(*it);
        }
    }
    for (auto &[host, ids] : std::exchange(m_missingContents, {}))
        direct[host].requestedIds = std::move(ids);
    for (auto &[host, message] : direct) {
        const HostHeartbeat *heartbeat = m_hosts->find(host);
        message.sender = m_hosts->self();
        if (m_options.usesSeedsOnly) {
            // It is not known which seed leads to the host, so send to all.
            for (const base::Endpoint &seed : m_options.seeds)
                out.push_back({seed, message});
        } else if (heartbeat && heartbeat->address.port != 0) {
            out.push_back({heartbeat->address, std::move(message)});
        }
    }
}

void GossipProtocol::scheduleAnnouncements(const std::vector<DirectoryChange> &changes)
{
    const auto hosts = static_cast<unsigned>(m_hosts->live().size());
    const int rounds = isFullMesh() ? 2 * roundsPerRotation()
                                    : 2 * static_cast<int>(std::bit_width(hosts)) + 2;
    for (const DirectoryChange &change : changes)
        m_roundsLeft[change.upstream.id] = rounds;
}

std::vector<DirectoryChange> GossipProtocol::announce(const Announcement &announcement,
                                                      base::TimePoint now)
{
    const auto changes = m_directory->announce(announcement, now);
    scheduleAnnouncements(changes);
    return changes;
}

void GossipProtocol::recordDuplicate(const Announcement &announcement)
{
    const auto it = m_roundsLeft.find(announcement.upstream.id);
    const Announcement *current = m_directory->find(announcement.upstream.id);
    // A host that relays this version has it. A host that relays an older one does not have it yet.
    if (it != m_roundsLeft.end() && current && announcement.sequence >= current->sequence)
        --it->second;
}

GossipProtocol::MembershipChanges GossipProtocol::receive(const MembershipMessage &message,
                                                          base::TimePoint now)
{
    MembershipChanges changes;
    const auto updateHost = [&](const HostHeartbeat &heartbeat) {
        const auto updates = m_hosts->update(heartbeat, now);
        changes.hosts.insert(changes.hosts.end(), updates.begin(), updates.end());
    };
    updateHost(message.sender);
    for (const HostHeartbeat &heartbeat : message.heartbeats)
        updateHost(heartbeat);
    for (const Announcement &announcement : message.announcements) {
        const auto updates = m_directory->announce(announcement, now);
        scheduleAnnouncements(updates);
        if (updates.empty())
            recordDuplicate(announcement);
        changes.upstreams.insert(changes.upstreams.end(), updates.begin(), updates.end());
    }
    std::vector<base::UpstreamId> missing;
    for (const UpstreamDigest &digest : message.digests) {
        if (m_directory->renew(digest, now) == Directory::RenewResult::Unknown
            && missing.size() < kMaxRequestedContents)
            missing.push_back(digest.id);
    }
    if (!missing.empty())
        m_missingContents[message.sender.id] = std::move(missing);
    if (!message.requestedIds.empty()) {
        auto &requested = m_requestedByHosts[message.sender.id];
        requested = message.requestedIds;
        requested.resize(std::min(requested.size(), kMaxRequestedContents));
    }
    return changes;
}

} // namespace hyssop::membership
