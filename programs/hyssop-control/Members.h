#pragma once

#include "Envelope.h"

#include <map>

namespace hyssop::control {

/// A host of a group and where its process listens for peers.
struct HostAddress
{
    base::HostId host;
    base::Endpoint address;

    bool operator==(const HostAddress &other) const = default;
};

/// Hosts that shall carry a group, and which replica each of them has now. No I/O.
class Members
{
public:
    Members(base::HostId self, std::vector<HostAddress> hosts, base::TimePoint now);

    /// Replaces the hosts that shall carry the group; those before stay reachable.
    void setHosts(std::vector<HostAddress> hosts);
    const std::vector<HostAddress> &hosts() const { return m_hosts; }
    /// Whether this host shall carry the group.
    bool isMember() const;
    std::optional<base::Endpoint> addressOf(const base::HostId &host) const;

    /// The greeting to send to \a host.
    Hello helloTo(const base::HostId &host, const replog::ReplicaId &self, bool isBlank) const;
    void onHello(const Hello &hello);

    /// Notes that a replica was heard, by a greeting or by a message of the log.
    void onHeard(const replog::ReplicaId &id, base::TimePoint now);
    /// Whether a majority of the voters, \a self among them, was heard lately. True within the
    /// first moments too, when nobody can have been heard yet.
    bool isQuorumInReach(const replog::ReplicaId &self, const replog::Configuration &configuration,
                         base::TimePoint now) const;

    /// Voters of a new group, once every host has said to this very replica that it is blank. Only
    /// the first host founds.
    std::optional<std::vector<replog::ReplicaId>> foundingVoters(
            const replog::ReplicaId &self) const;

    /// Ids that shall vote; a host that was not heard of keeps the id that votes for it now.
    std::vector<replog::ReplicaId> wanted(const replog::ReplicaId &self,
                                          const replog::Configuration &configuration) const;

private:
    base::HostId m_self;
    std::vector<HostAddress> m_hosts;
    std::map<base::HostId, base::Endpoint> m_addresses; ///< Of every host ever named.
    std::map<base::HostId, Hello> m_heard;
    base::TimePoint m_since;
    std::map<replog::ReplicaId, base::TimePoint> m_heardAt;
};

} // namespace hyssop::control
