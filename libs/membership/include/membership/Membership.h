/// Which upstreams and hosts are there: announcements and their spread, expiry and draining.
///
/// No I/O; the present time is an argument. A Directory belongs to one thread.
#pragma once

#include "base/Base.h"
#include "routing/Routing.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssop::membership {

/// What an upstream says of itself. A higher (incarnation, sequence) replaces a lower one.
struct Announcement
{
    routing::UpstreamInfo upstream;
    std::int64_t sequence = 0;
    base::Endpoint address;
    bool checksFencing = false;
    base::Millis ttl{0};
};

struct AnnouncementError
{
    std::string field;
    std::string message;
};

tl::expected<Announcement, AnnouncementError> parseAnnouncement(std::string_view json);
std::string toJson(const Announcement &announcement);

/// What changed in the directory.
struct DirectoryChange
{
    enum class Kind { Seen, Gone };
    Kind kind = Kind::Seen;
    routing::UpstreamInfo upstream;
};

/// An announcement's place in time, without its content.
struct UpstreamRow
{
    base::UpstreamId id;
    std::uint32_t contentTag = 0; ///< Of incarnation and content.
    std::int64_t sequence = 0;
};

/// The upstreams of a data centre. Life times run on this host's clock from the receipt.
///
/// What has ended is remembered for a while, so that an older announcement which is still under
/// way between hosts does not bring it back.
class Directory
{
public:
    /// How long an ended upstream is remembered.
    static constexpr base::Millis kTombstoneTtl{600'000};

    /// Time added to each ttl from here on: an upstream tells only some hosts, and what they pass
    /// on takes so long to arrive.
    void setPropagationDelay(base::Millis delay) { m_propagationDelay = delay; }

    /// Takes an announcement, from the upstream itself or passed on by another host; answers with
    /// the change, if its content is news.
    std::vector<DirectoryChange> announce(const Announcement &announcement, base::TimePoint now);
    enum class RenewResult {
        Renewed,
        Stale, ///< Nothing new.
        Unknown, ///< The content belonging to the row is not held here.
    };
    /// Renews an upstream that another host has heard from later.
    RenewResult renew(const UpstreamRow &row, base::TimePoint now);
    /// Drops what has outlived its ttl.
    std::vector<DirectoryChange> tick(base::TimePoint now);

    const Announcement *find(const base::UpstreamId &id) const;
    std::vector<Announcement> all() const;
    std::vector<UpstreamRow> digests() const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        Announcement announcement;
        std::uint32_t contentTag = 0;
        base::TimePoint expiresAt;
    };
    /// Last word of an upstream that has ended.
    struct Tombstone
    {
        base::Incarnation incarnation;
        std::int64_t sequence = 0;
        std::uint32_t contentTag = 0;
        base::TimePoint expiresAt;
    };

    bool isStale(const Announcement &announcement) const;

    std::map<base::UpstreamId, Entry> m_entries;
    std::map<base::UpstreamId, Tombstone> m_tombstones;
    base::Millis m_propagationDelay{0};
};

/// What hosts tell each other of one host. A higher (incarnation, sequence) replaces a lower one.
struct HostRow
{
    base::HostId id;
    base::Incarnation incarnation;
    std::int64_t sequence = 0;
    base::Endpoint address; ///< For RPC of peers; port 0 when not told.
};

struct HostChange
{
    enum class Kind {
        Seen, ///< There, or there again.
        Suspected,
        Dead,
        Replaced, ///< Back under a higher incarnation; \c incarnation is the one that ended.
    };
    Kind kind = Kind::Seen;
    base::HostId host;
    base::Incarnation incarnation;
};

/// Liveness of the entry hosts of a data centre, by how long nothing new was heard of them.
class HostTable
{
public:
    static constexpr base::Millis kSuspectAfter{4'000};
    static constexpr base::Millis kDeadAfter{8'000};
    /// How long a dead host is remembered.
    static constexpr base::Millis kDeadHostRetention{86'400'000};

    explicit HostTable(HostRow self);

    /// Time added to both bounds from here on, for what the news of a host takes to arrive.
    void setPropagationDelay(base::Millis delay) { m_propagationDelay = delay; }

    /// Counts this host's own heartbeat on.
    void incrementHeartbeat() { ++m_self.sequence; }
    const HostRow &self() const { return m_self; }
    std::vector<HostChange> update(const HostRow &row, base::TimePoint now);
    std::vector<HostChange> tick(base::TimePoint now);

    const HostRow *find(const base::HostId &id) const;
    bool isDead(const base::HostId &id) const;
    /// Every host that is not dead, this one included, in id order.
    std::vector<HostRow> live() const;
    /// Whether a host has come up within \a span.
    bool isNew(const base::HostId &id, base::Millis span, base::TimePoint now) const;

private:
    enum class State { Live, Suspected, Dead };
    struct Entry
    {
        HostRow row;
        State state = State::Live;
        base::TimePoint upSince; ///< First heard of this incarnation.
        base::TimePoint lastUpdateAt; ///< Last news.
    };

    HostRow m_self;
    std::map<base::HostId, Entry> m_entries;
    base::Millis m_propagationDelay{0};
};

/// What one host tells another in one message.
struct SpreadMessage
{
    HostRow from;
    std::vector<HostRow> hosts;
    std::vector<Announcement> news;
    std::vector<UpstreamRow> seen;
    std::vector<base::UpstreamId> wanted; ///< Contents that the sender lacks.
};

struct SpreadOptions
{
    std::vector<base::Endpoint> seeds; ///< Addresses of hosts to begin with.
    bool usesSeedsOnly = false; ///< Addresses that hosts tell of are not used.
    base::Millis beat{250};
    /// Bound on what rows cost, all targets together; they go out less often beyond it.
    base::Bytes digestBytesPerSecond{3'500};
    std::uint64_t seed = 1;
};

/// Decides what is told to whom, beat by beat, and takes in what is heard.
///
/// Each beat goes to a few hosts: in a small data centre to the others in turn, in a large one to
/// one at a doubling distance and to one drawn by chance. Changed contents, a few a beat and
/// leaving upstreams first, go out for as many beats as they need to reach everyone, or until
/// others are heard to pass them on. Rows, which renew and serve as a digest, go out as often as
/// their bound allows; a host that sees a row without its content asks for it.
class Spread
{
public:
    Spread(SpreadOptions options, HostTable *hosts, Directory *directory);

    struct Outgoing
    {
        base::Endpoint to;
        SpreadMessage message;
    };
    std::vector<Outgoing> beat(base::TimePoint now);

    struct Changes
    {
        std::vector<DirectoryChange> upstreams;
        std::vector<HostChange> hosts;
    };
    /// Takes an announcement from the upstream itself.
    std::vector<DirectoryChange> announce(const Announcement &announcement, base::TimePoint now);
    Changes receive(const SpreadMessage &message, base::TimePoint now);
    /// Whether every other host is told itself, within a second.
    bool tellsAll() const;

private:
    std::vector<base::Endpoint> chooseTargets();
    std::vector<base::Endpoint> nextInRotation(const std::vector<base::Endpoint> &known);
    std::vector<base::Endpoint> distantAndRandom(const std::vector<HostRow> &live,
                                                 const std::vector<base::Endpoint> &known);
    std::size_t targetsPerRound() const;
    /// Beats in which each other host has been told itself; only in a small data centre.
    int roundsPerRotation() const;
    std::vector<base::UpstreamId> mostUrgentAnnouncements() const;
    /// Beats from rows to rows, so that they keep to their bound.
    std::size_t digestInterval() const;
    /// Time that a row may take to reach every host.
    base::Millis propagationDelay() const;
    void addDigests(SpreadMessage &message, base::TimePoint now) const;
    void addAnnouncements(SpreadMessage &message);
    /// Contents asked for, and questions, for their hosts alone.
    void addDirectMessages(std::vector<Outgoing> &out);
    void scheduleAnnouncements(const std::vector<DirectoryChange> &changes);
    /// Another host has told what this one is telling.
    void recordDuplicate(const Announcement &announcement);

    SpreadOptions m_options;
    HostTable *m_hosts;
    Directory *m_directory;
    base::Rng m_rng;
    std::size_t m_round = 0;
    std::size_t m_lastDigestRound = 0; ///< Beat on which rows last went out.
    std::size_t m_digestRounds = 0; ///< Times that rows went out.
    std::vector<base::Endpoint> m_rotation; ///< Hosts that are yet to be told in this turn.
    std::map<base::UpstreamId, int> m_roundsLeft; ///< Beats left for each changed content.
    std::map<base::HostId, std::vector<base::UpstreamId>>
            m_requestedByHosts; ///< Asked for by other hosts.
    std::map<base::HostId, std::vector<base::UpstreamId>>
            m_missingContents; ///< To be asked of them.
};

} // namespace hyssop::membership
