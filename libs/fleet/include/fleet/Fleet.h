/// What a fleet serves and who serves it: routes of a configuration, and the directory of
/// upstreams.
///
/// Nothing here does I/O. A control host keeps a Directory of the upstreams that announce
/// themselves; an entry host merges the directories of all control hosts in a FleetView and reads
/// routes from a RouteTable. Each object belongs to one thread.
#pragma once

#include "base/Base.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssop::fleet {

/// Version of a whole configuration; the highest is in force. 0 stands for none.
using Version = base::Quantity<struct ConfigurationVersionTag>;

struct WeightedService
{
    base::ServiceId service;
    std::int64_t weight = 1;
};

/// A rule that brings requests of one host name and path prefix to services.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    bool isStream = false; ///< Answered by a series of events.
    bool isIdempotent = false; ///< May run more than once.
    bool isResumable = false; ///< A stream that another upstream may go on with.
    bool carriesPrompt = false; ///< Requests say how many tokens they have.
    bool needsKey = true;
    base::Millis timeout{0}; ///< Longest that a caller is kept waiting.
    base::Millis objective{0}; ///< First event, or whole answer, in time.
    base::Millis gapObjective{0}; ///< Longest pause between events in time; 0 when none is set.
    int priority = 0; ///< 0 goes first.
    int maxAttempts = 1; ///< Upstreams that one request may be sent to.
    std::vector<WeightedService> split;

    /// Whether a request that may have run can be sent again.
    bool mayRepeat() const { return isIdempotent || (isStream && isResumable); }
};

/// Speed and size of the model engines of a service.
struct EngineSpec
{
    int slots = 1; ///< Requests at once.
    base::Tokens kvTokens; ///< Memory of one engine.
    int stepsPerPass = 1; ///< Token steps of a pass in which any request writes.
    double stepMs = 1; ///< Of one token step.
    double stepPerWriterMs = 0; ///< More for each request that writes.
    double stepPerThousandMs = 0; ///< More for each 1,000 tokens of context of those requests.
    double readPerMs = 100; ///< Prompt tokens read in a millisecond.
    double pairsPerMillionMs = 0; ///< For each million pairs of a token and an earlier one.
    double helperHopMs = 0; ///< More for each step of a prompt that is held by several engines.
    base::Tokens usualAnswer; ///< Mean of the answers.
    base::Millis reportLag{0}; ///< Age of what a report tells.
};

struct Service
{
    base::ServiceId id;
    std::string healthPath;
    int maxConnections = 0; ///< Of all callers together, for each upstream.
    std::optional<EngineSpec> engine; ///< Empty for a plain service.
};

struct Team
{
    base::TeamId id;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Goes before the route's.
};

/// Bounds on what a caller may send.
struct CallerLimits
{
    base::Bytes header{16 << 10};
    base::Bytes body{4 << 20};
    base::Millis headerTimeout{3'000};
    base::Millis idleTimeout{15'000};
};

struct Configuration
{
    Version version;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Team> teams;
    CallerLimits limits;
};

/// Why a configuration is refused.
struct ConfigurationError
{
    std::string where; ///< Route, service or team at fault.
    std::string message;
};

/// Checks what goes beyond the form: names, places, weights, timeouts and keys.
tl::expected<void, ConfigurationError> check(const Configuration &configuration);

/// Turns a configuration's source text into its meaning; one for each format of such texts.
class ConfigurationReader
{
public:
    virtual ~ConfigurationReader() = default;
    virtual tl::expected<Configuration, ConfigurationError> read(std::string_view text) const = 0;
};

/// A source text as it is stored and as it travels: every entry host gets each one, and control
/// hosts hand them all out within the bound for changes.
std::string packText(std::string_view text);
/// The source text, also of one that was stored as it is; nothing when \a packed is damaged or the
/// text is longer than any that is accepted.
std::optional<std::string> unpackText(std::string_view packed);

/// Finds what a configuration says of a request.
class RouteTable
{
public:
    explicit RouteTable(Configuration configuration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    Version version() const { return m_configuration.version; }
    const Configuration &configuration() const { return m_configuration; }
    /// Route with the longest prefix of \a path among those of \a host, whose port is left out.
    const Route *find(std::string_view host, std::string_view path) const;
    const Service *service(const base::ServiceId &id) const;
    const Team *findTeamByKey(const std::string &key) const;
    bool hasTeams() const { return !m_configuration.teams.empty(); }
    /// Service that a draw between 0 and 1 falls on by the route's weights.
    static const base::ServiceId &pick(const Route &route, double draw);
    /// Shortest pause between events that a route to \a service asks for; 0 when none does.
    base::Millis shortestGapObjective(const base::ServiceId &service) const;
    /// Likewise the longest.
    base::Millis longestGapObjective(const base::ServiceId &service) const;

private:
    /// Those that routes to \a service ask for, in no order.
    std::vector<base::Millis> gapObjectives(const base::ServiceId &service) const;

    Configuration m_configuration;
    std::map<std::string, std::vector<const Route *>, std::less<>> m_byHost; ///< Longest first.
    std::map<base::ServiceId, const Service *> m_services;
    std::map<std::string, const Team *> m_teamByKey;
};

/// An upstream as it announced itself.
struct Upstream
{
    base::UpstreamId id;
    base::ServiceId service;
    base::Endpoint address;
    base::DataCentreId dataCentre;
    base::Incarnation born; ///< Start of the process, in Unix milliseconds; 0 when not told.
    std::int64_t sequence = 0; ///< Rises with each announcement of one start.
    int slots = 1;
    bool isLeaving = false; ///< Gets no new work.

    bool operator==(const Upstream &other) const = default;
    /// Whether \a other was announced before this one.
    bool isNewerThan(const Upstream &other) const
    {
        return born != other.born ? born > other.born : sequence > other.sequence;
    }
    /// Whether it took the address of \a other over, as far as their starts tell.
    bool replacesAddressOf(const Upstream &other) const
    {
        return id != other.id && address == other.address && other.born > base::Incarnation()
               && born > other.born;
    }
};

/// How an upstream came to be gone.
enum class Departure {
    Left, ///< It said so, or a later start took its address.
    TimedOut, ///< It was not heard of for too long.
};

struct Departed
{
    base::UpstreamId id;
    base::Incarnation born;
    Departure kind = Departure::TimedOut;

    bool operator==(const Departed &other) const = default;
};

/// Changes of a directory since a revision, or all of it.
struct DirectoryChanges
{
    std::int64_t incarnation = 0; ///< Of the directory; a restarted host begins anew.
    std::int64_t revision = 0;
    bool isSnapshot = false; ///< What is not in \c upstreams is not in the directory.
    std::vector<Upstream> upstreams;
    std::vector<Departed> departed;
};

enum class AnnounceVerdict {
    New, ///< A start not heard of before.
    Changed, ///< It begins to leave, or says something else anew.
    Refreshed, ///< As before.
    Stale, ///< Older than what is known; it changes nothing.
};

std::string_view announceVerdictName(AnnounceVerdict verdict);

/// Upstreams that a control host heard of, itself or through another control host.
class Directory
{
public:
    /// \a incarnation differs between starts; an upstream silent for \a silence is gone.
    Directory(std::int64_t incarnation, base::Millis silence);

    AnnounceVerdict announce(const Upstream &upstream, base::TimePoint now);
    /// Takes an upstream out. An earlier start than the one known is \c Stale.
    AnnounceVerdict leave(const base::UpstreamId &id, std::optional<base::Incarnation> born,
                          base::TimePoint now);
    void tick(base::TimePoint now);

    std::int64_t incarnation() const { return m_incarnation; }
    std::int64_t revision() const { return m_revision; }
    DirectoryChanges since(std::int64_t incarnation, std::int64_t revision) const;
    std::size_t size() const { return m_entries.size(); }
    const Upstream *find(const base::UpstreamId &id) const;

private:
    struct Entry
    {
        Upstream upstream;
        std::int64_t revision = 0;
        base::TimePoint lastAnnouncedAt;
    };
    struct Tombstone
    {
        Departed departed;
        std::int64_t revision = 0;
        base::TimePoint departedAt;
    };

    void remove(const base::UpstreamId &id, Departure departure, base::TimePoint now);
    bool isSuperseded(const Upstream &upstream) const;
    /// Whether an upstream that was heard just now has the address of \a upstream, and nothing
    /// tells which of the two started later.
    bool isAddressInUse(const Upstream &upstream, base::TimePoint now) const;

    std::int64_t m_incarnation;
    base::Millis m_announceTimeout;
    std::int64_t m_revision = 0;
    std::int64_t m_prunedRevision = 0; ///< Departures up to this revision are not kept any more.
    std::map<base::UpstreamId, Entry> m_entries;
    std::map<base::UpstreamId, Tombstone> m_tombstones;
};

/// What an entry host knows of the upstreams, from the directories of several control hosts.
class FleetView
{
public:
    /// An upstream that no directory lists any more, though none says that it went, stays for
    /// \a retention: control hosts that restart know nothing until they hear it again.
    explicit FleetView(base::Millis retention);

    /// Changes of the view.
    struct Changes
    {
        std::vector<Upstream> upstreams; ///< New or changed.
        std::vector<base::UpstreamId> removed;
    };

    Changes apply(const base::HostId &control, const DirectoryChanges &changes,
                  base::TimePoint now);
    Changes removeExpired(base::TimePoint now);
    std::size_t size() const { return m_entries.size(); }
    bool isEmpty() const { return m_entries.empty(); }

private:
    struct Entry
    {
        Upstream upstream;
        std::set<base::HostId> listedBy;
        base::TimePoint lastListedAt; ///< When a directory last listed it.
    };

    void applyUpstream(const base::HostId &control, const Upstream &upstream, base::TimePoint now,
                       Changes &changes);
    void removeUpstream(const base::UpstreamId &id, Changes &changes);
    /// Whether another upstream that started later has the address.
    bool isAddressTakenOver(const Upstream &upstream) const;

    base::Millis m_retention;
    std::map<base::UpstreamId, Entry> m_entries;
    std::map<base::UpstreamId, std::pair<base::Incarnation, base::TimePoint>> m_leftUpstreams;
};

/// What one entry host has outstanding at an upstream, or all others together.
struct UpstreamLoad
{
    base::UpstreamId upstream;
    int requests = 0;
    base::Tokens kv; ///< Memory that they hold or will.
    int shorts = 0; ///< Those of \c requests whose prompts share engines with others.
    std::int64_t readingMs = 0; ///< Reading of prompts that has not ended, for engines.

    bool operator==(const UpstreamLoad &other) const = default;
};

struct LoadReport
{
    std::vector<UpstreamLoad> upstreams;

    bool operator==(const LoadReport &other) const = default;
};

/// Adds up the reports of several hosts.
LoadReport sum(const std::vector<LoadReport> &reports);

/// Topics of what entry hosts ask control hosts, and what these tell each other.
inline constexpr auto kWatchTopic = "fleet-watch";
inline constexpr auto kRelayTopic = "fleet-relay";
inline constexpr auto kPermitTopic = "read-permit";

/// An entry host asks a control host what has changed.
struct WatchRequest
{
    base::HostId host;
    base::DataCentreId dataCentre;
    base::Endpoint address; ///< Where its peers reach it.
    Version configuration; ///< Held by the asking host.
    std::int64_t directoryIncarnation = 0;
    std::int64_t directoryRevision = 0;
    base::Millis wait{0}; ///< How long the answer may be held back when nothing is newer.
    LoadReport load;
};

struct WatchReply
{
    Version configuration; ///< Highest that this control host has applied.
    std::optional<std::string>
            text; ///< Its packed source, when the asking host holds an older one.
    /// The control host leads and holds its lease: no higher version was accepted when it answered.
    bool isConfirmed = false;
    DirectoryChanges directory;
    std::vector<base::Endpoint> controls; ///< Control hosts known.
    int entries = 1; ///< Entry hosts that ask, the asking one among them.
    std::vector<base::Endpoint> entryAddresses; ///< Of some other entry hosts, to tell loads to.
    LoadReport others; ///< Of all other entry hosts.
};

/// CBOR, and back; empty on bytes that are no such message.
std::string encode(const WatchRequest &request);
std::string encode(const WatchReply &reply);
std::optional<WatchRequest> decodeWatchRequest(std::string_view bytes);
std::optional<WatchReply> decodeWatchReply(std::string_view bytes);

/// What an entry host tells others of its load, as it changes.
struct LoadNews
{
    base::HostId host;
    bool isSnapshot = false; ///< What is not in \c upstreams has nothing outstanding.
    std::vector<UpstreamLoad> upstreams;
};
std::string encode(const LoadNews &update);
std::optional<LoadNews> decodeLoadNews(std::string_view bytes);

/// A call of an entry host, unique among all hosts and starts.
struct PermitKey
{
    base::HostId host;
    std::int64_t start = 0; ///< Random number of the host's start.
    std::int64_t call = 0;

    auto operator<=>(const PermitKey &other) const = default;
};

/// An entry host asks to read a long prompt, or tells that it has.
struct PermitRequest
{
    PermitKey key;
    base::ServiceId service;
    std::int64_t readMs = 0; ///< Reading of the whole prompt on one engine.
    base::Millis wait{0}; ///< How long it may be held back.
    base::Millis lateAfter{0}; ///< Its answer is late when it is held back for longer.
    bool isHeavy = false; ///< Granted only while nothing else is read or waits.
    bool isRelease = false;
};
std::string encode(const PermitRequest &request);
std::optional<PermitRequest> decodePermitRequest(std::string_view bytes);

/// What control hosts tell each other of announcements that they took in.
struct Relay
{
    std::vector<Upstream> upstreams;
    std::vector<Departed> left;
};
std::string encode(const Relay &relay);
std::optional<Relay> decodeRelay(std::string_view bytes);

} // namespace hyssop::fleet
