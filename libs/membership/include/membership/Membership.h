/// Cluster membership of upstreams and entry hosts: announcements, gossip, expiry and draining.
///
/// No I/O; the current time is passed in. The classes are not thread-safe; use each object from one
/// thread only.
#pragma once

#include "base/Base.h"
#include "routing/Routing.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssop::membership {

/// An upstream's description of itself. A higher (incarnation, sequence) replaces a lower one.
struct Announcement
{
    routing::UpstreamInfo upstream;
    std::int64_t sequence = 0;
    base::Endpoint address;
    bool checksFencing = false;
    base::Millis ttl{0};
};

/// Why an announcement is invalid.
struct AnnouncementError
{
    std::string field;
    std::string message;
};

/// Parses and validates the JSON form of an announcement.
tl::expected<Announcement, AnnouncementError> parseAnnouncement(std::string_view json);
/// JSON form of an announcement, as read by parseAnnouncement().
std::string toJson(const Announcement &announcement);

/// A change in a Directory.
struct DirectoryChange
{
    enum class Kind { Updated, Removed };
    Kind kind = Kind::Updated;
    routing::UpstreamInfo upstream;
};

/// Digest of an announcement: its version and a hash of its content.
struct UpstreamDigest
{
    base::UpstreamId id;
    std::uint32_t contentHash = 0; ///< Hash of the incarnation and the content.
    std::int64_t sequence = 0;
};

/// The upstreams of a data centre. A ttl runs on this host's clock from the time of receipt.
///
/// A removed upstream leaves a tombstone, so that an older announcement still in transit between
/// hosts does not bring it back.
class Directory
{
public:
    /// Lifetime of a tombstone.
    static constexpr base::Millis kTombstoneTtl{600'000};

    /// Time added to the ttl of announcements received from now on. An upstream announces itself
    /// only to some hosts, and gossip takes this long to reach the others.
    void setPropagationDelay(base::Millis delay) { m_propagationDelay = delay; }

    /// Applies an announcement from the upstream itself or relayed by another host. Returns the
    /// change, or nothing if the announcement is stale or only extends the ttl.
    std::vector<DirectoryChange> announce(const Announcement &announcement, base::TimePoint now);
    enum class RenewResult {
        Renewed,
        Stale, ///< Not newer than what is known here.
        Unknown, ///< The content with this hash is not known here.
    };
    /// Extends the ttl of an upstream from another host's newer digest.
    RenewResult renew(const UpstreamDigest &digest, base::TimePoint now);
    /// Removes upstreams whose ttl has expired, and returns them.
    std::vector<DirectoryChange> tick(base::TimePoint now);

    /// Returns null if the upstream is unknown. Valid until the next change.
    const Announcement *find(const base::UpstreamId &id) const;
    std::vector<Announcement> all() const;
    std::vector<UpstreamDigest> digests() const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        Announcement announcement;
        std::uint32_t contentHash = 0;
        base::TimePoint expiresAt;
    };
    /// Last known version of a removed upstream.
    struct Tombstone
    {
        base::Incarnation incarnation;
        std::int64_t sequence = 0;
        std::uint32_t contentHash = 0;
        base::TimePoint expiresAt;
    };

    bool isStale(const Announcement &announcement) const;

    std::map<base::UpstreamId, Entry> m_entries;
    std::map<base::UpstreamId, Tombstone> m_tombstones;
    base::Millis m_propagationDelay{0};
};

/// Heartbeat state of a host, as gossiped. A higher (incarnation, sequence) replaces a lower one.
struct HostHeartbeat
{
    base::HostId id;
    base::Incarnation incarnation;
    std::int64_t sequence = 0;
    base::Endpoint address; ///< Address for peer RPC; port 0 if not included.
};

/// A change in a HostTable.
struct HostChange
{
    enum class Kind {
        Alive, ///< New, or alive again after it was dead or replaced.
        Suspected,
        Dead,
        Restarted, ///< Restarted with a higher incarnation; \c incarnation is the old one.
    };
    Kind kind = Kind::Alive;
    base::HostId host;
    base::Incarnation incarnation;
};

/// Failure detector for the entry hosts of a data centre, based on the time since a host's last new
/// heartbeat.
class HostTable
{
public:
    static constexpr base::Millis kSuspectAfter{4'000};
    static constexpr base::Millis kDeadAfter{8'000};
    /// Time after the last heartbeat at which a dead host is removed.
    static constexpr base::Millis kDeadHostRetention{86'400'000};

    explicit HostTable(HostHeartbeat self);

    /// Time added to kSuspectAfter and kDeadAfter, for the delay of gossip.
    void setPropagationDelay(base::Millis delay) { m_propagationDelay = delay; }

    /// Increments this host's own heartbeat.
    void incrementHeartbeat() { ++m_self.sequence; }
    const HostHeartbeat &self() const { return m_self; }
    /// Applies the heartbeat of another host. Stale ones and this host's own are ignored.
    std::vector<HostChange> update(const HostHeartbeat &heartbeat, base::TimePoint now);
    /// Marks silent hosts as suspected, then dead, and returns these changes.
    std::vector<HostChange> tick(base::TimePoint now);

    /// Returns null for an unknown host and for this one. Valid until the next change.
    const HostHeartbeat *find(const base::HostId &id) const;
    bool isDead(const base::HostId &id) const;
    /// All hosts that are not dead, including this one, in id order.
    std::vector<HostHeartbeat> live() const;
    /// Whether a host came up less than \a span ago.
    bool isNew(const base::HostId &id, base::Millis span, base::TimePoint now) const;

private:
    enum class State { Live, Suspected, Dead };
    struct Entry
    {
        HostHeartbeat heartbeat;
        State state = State::Live;
        base::TimePoint upSince; ///< When this incarnation came up, or came up again.
        base::TimePoint lastUpdateAt; ///< When the last new heartbeat arrived.
    };

    HostHeartbeat m_self;
    std::map<base::HostId, Entry> m_entries;
    base::Millis m_propagationDelay{0};
};

/// A gossip message from one host to another.
struct MembershipMessage
{
    HostHeartbeat sender;
    std::vector<HostHeartbeat> heartbeats; ///< Heartbeats of the other hosts.
    std::vector<Announcement> announcements; ///< Changed or requested announcements.
    std::vector<UpstreamDigest> digests; ///< Digests of all upstreams that the sender knows.
    std::vector<base::UpstreamId>
            requestedIds; ///< Upstreams whose announcements the sender requests.
};

/// Configuration of a GossipProtocol.
struct GossipOptions
{
    std::vector<base::Endpoint> seeds; ///< Addresses of the initial hosts.
    /// Gossips only with the seeds, not with addresses learned from other hosts.
    bool usesSeedsOnly = false;
    base::Millis roundInterval{250}; ///< Time between rounds.
    /// Bandwidth limit for digests to all targets together; above it they are sent less often.
    base::Bytes digestBytesPerSecond{3'500};
    std::uint64_t seed = 1;
};

/// Gossip protocol: selects targets and messages for each round and applies received messages.
///
/// Each round sends to a few hosts: in a small data centre to the others in turn, in a large one to
/// a host at a power-of-two distance in id order and to a random one. Changed announcements are
/// sent, a few per round and leaving upstreams first, for as many rounds as they need to reach
/// every host, fewer if other hosts are seen to relay them. Digests, which also renew ttls, are
/// sent as often as their bandwidth limit allows; a host that receives a digest of unknown content
/// requests the announcement.
///
/// Does not own the HostTable and the Directory; both must outlive it.
class GossipProtocol
{
public:
    GossipProtocol(GossipOptions options, HostTable *hosts, Directory *directory);

    struct Outgoing
    {
        base::Endpoint to;
        MembershipMessage message;
    };
    /// Runs a round and returns its messages. To be called at each GossipOptions::roundInterval.
    std::vector<Outgoing> runRound(base::TimePoint now);

    struct MembershipChanges
    {
        std::vector<DirectoryChange> upstreams;
        std::vector<HostChange> hosts;
    };
    /// Applies an announcement from the upstream itself and schedules it for gossip.
    std::vector<DirectoryChange> announce(const Announcement &announcement, base::TimePoint now);
    /// Applies a message from another host.
    MembershipChanges receive(const MembershipMessage &message, base::TimePoint now);
    /// Whether the data centre is small enough that every other host is sent to directly, at least
    /// once per second.
    bool isFullMesh() const;

private:
    std::vector<base::Endpoint> chooseTargets();
    std::vector<base::Endpoint> nextInRotation(const std::vector<base::Endpoint> &known);
    std::vector<base::Endpoint> distantAndRandom(const std::vector<HostHeartbeat> &live,
                                                 const std::vector<base::Endpoint> &known);
    std::size_t targetsPerRound() const;
    /// Rounds until every other host has been sent to; for a small data centre only.
    int roundsPerRotation() const;
    std::vector<base::UpstreamId> mostUrgentAnnouncements() const;
    /// Rounds between digests, so that they stay within their bandwidth limit.
    std::size_t digestInterval() const;
    /// Time that a digest may take to reach every host.
    base::Millis propagationDelay() const;
    void addDigests(MembershipMessage &message, base::TimePoint now) const;
    void addAnnouncements(MembershipMessage &message);
    /// Adds requested announcements and own requests, each sent only to the host concerned.
    void addDirectMessages(std::vector<Outgoing> &out);
    /// Schedules the changed announcements for gossip.
    void scheduleAnnouncements(const std::vector<DirectoryChange> &changes);
    /// Sends an announcement one round less, because another host relays it too.
    void recordDuplicate(const Announcement &announcement);

    GossipOptions m_options;
    HostTable *m_hosts;
    Directory *m_directory;
    base::Rng m_rng;
    std::size_t m_round = 0;
    std::size_t m_lastDigestRound = 0; ///< Round in which digests were last sent.
    std::size_t m_digestRounds = 0; ///< Number of rounds with digests.
    std::vector<base::Endpoint> m_rotation; ///< Hosts not yet sent to in this rotation.
    /// Rounds left to send each changed announcement.
    std::map<base::UpstreamId, int> m_roundsLeft;
    /// Announcements that other hosts requested.
    std::map<base::HostId, std::vector<base::UpstreamId>> m_requestedByHosts;
    /// Announcements to request from other hosts.
    std::map<base::HostId, std::vector<base::UpstreamId>> m_missingContents;
};

} // namespace hyssop::membership
