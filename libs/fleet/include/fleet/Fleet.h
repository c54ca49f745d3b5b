/// Routes and services of a configuration, and the directory of upstreams.
///
/// Nothing here does I/O. A control host keeps a Directory of the upstreams that announce
/// themselves. An entry host merges the directories of all control hosts in a FleetView and looks
/// up routes in a RouteTable. Each object belongs to one thread.
#pragma once

#include "base/Base.h"
#include "fleet/ColdStart.h"
#include "fleet/ConfigurationText.h"
#include "fleet/Evacuations.h"
#include "fleet/LoadPeer.h"
#include "fleet/Regions.h"
#include "fleet/Upstream.h"

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssop::fleet {

/// Version of a whole configuration. The highest one is in force; 0 means none.
using ConfigurationVersion = base::Quantity<struct ConfigurationVersionTag>;

/// A service of a route and its share of the requests.
struct WeightedService
{
    base::ServiceId service;
    double weight = 1;
};

/// Maps requests of one host name and path prefix to services.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    bool isStream = false; ///< Answered by a stream of events.
    bool isIdempotent = false; ///< Safe to run more than once.
    bool isResumable = false; ///< Another upstream may continue the stream.
    bool hasTokenCounts = false; ///< Requests state their token counts.
    bool needsKey = true;
    base::Millis timeout{0}; ///< Longest time a caller waits for an answer.
    base::Millis latencyObjective{0}; ///< Target time to the first event or whole answer.
    base::Millis gapObjective{0}; ///< Target for the longest pause; 0 when none is set.
    int priority = 0; ///< 0 is served first.
    int maxAttempts = 1; ///< Limit on the number of upstreams one request is sent to.
    std::vector<WeightedService> services;
    RegionSet allowedRegions = {};

    /// Whether a request that may have run can be sent again.
    bool isRetrySafe() const { return isIdempotent || (isStream && isResumable); }
};

/// Speed and size of the model engines of a service.
struct EngineSpec
{
    int slots = 1; ///< Concurrent requests.
    base::Tokens kvTokens; ///< KV memory of one engine, in tokens.
    int stepsPerPass = 1; ///< Token steps in a pass with at least one decoding request.
    double stepMs = 1; ///< Duration of one token step.
    double stepPerRequestMs = 0; ///< Added to a step for each decoding request.
    double stepPerThousandContextMs =
            0; ///< Added to a step for each 1,000 of their context tokens.
    double prefillTokensPerMs = 100; ///< Prompt tokens prefilled in a millisecond.
    double msPerMillionPairs = 0; ///< Added for each million pairs of a token and an earlier one.
    double helperStepMs = 0; ///< Added to each step of a prompt that several engines hold.
    base::Tokens meanAnswerTokens; ///< Mean length of answers.
    base::Millis reportAge{0}; ///< Age of the values in a load report.
};

/// Plain service or model whose upstreams serve requests.
struct Service
{
    base::ServiceId id;
    std::string healthPath;
    int maxConnections = 0; ///< Limit for each upstream, over all callers.
    std::optional<EngineSpec> engine; ///< Not set for a plain service.
    ColdStart coldStart = {};
};

/// A customer and its keys.
struct Team
{
    base::TeamId id;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Overrides the priority of the route.
    RegionSet allowedRegions = {};
};

/// Limits on requests and connections of callers.
struct CallerLimits
{
    base::Bytes header{16 << 10};
    base::Bytes body{4 << 20};
    base::Millis headerTimeout{3'000};
    base::Millis idleTimeout{15'000};
};

/// Everything that operators configure together.
struct Configuration
{
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<Service> services;
    bool requiresKeys = false; ///< Routes need a key unless they say otherwise, also without teams.
    std::vector<Team> teams;
    CallerLimits limits;
};

/// Why a configuration is rejected.
struct ConfigurationError
{
    std::string subject; ///< Name of the route, service or team at fault.
    std::string message;
};

/// Validates what the parser does not check, such as names, duplicate routes, weights, timeouts and
/// keys.
tl::expected<void, ConfigurationError> validate(const Configuration &configuration);

/// Parses the source text of a configuration. Each text format has its own implementation.
class ConfigurationReader
{
public:
    virtual ~ConfigurationReader() = default;
    virtual tl::expected<Configuration, ConfigurationError> parse(std::string_view text) const = 0;
};

/// Looks up routes, services and teams of a configuration.
class RouteTable
{
public:
    explicit RouteTable(Configuration configuration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    ConfigurationVersion version() const { return m_configuration.version; }
    const Configuration &configuration() const { return m_configuration; }
    /// Route of \a host, ignoring its port, whose prefix is the longest that matches \a path. Null
    /// if none matches.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const Service *findService(const base::ServiceId &id) const;
    const Team *findTeamByKey(const std::string &key) const;
    bool requiresKeys() const { return m_configuration.requiresKeys; }
    /// Chooses a service by the weights of the route. \a draw is a random number from 0 to 1.
    static const base::ServiceId &pickService(const Route &route, double draw);
    /// Shortest gap objective of the routes to \a service; 0 when none has one.
    base::Millis shortestGapObjective(const base::ServiceId &service) const;
    /// Longest gap objective of the routes to \a service; 0 when none has one.
    base::Millis longestGapObjective(const base::ServiceId &service) const;

private:
    /// Gap objectives of the routes to \a service, unordered.
    std::vector<base::Millis> gapObjectives(const base::ServiceId &service) const;

    Configuration m_configuration;
    std::map<std::string, std::vector<const Route *>, std::less<>> m_byHost; ///< Longest first.
    std::map<base::ServiceId, const Service *> m_services;
    std::map<std::string, const Team *> m_teamByKey;
};

/// Identifies content that several requests to one service may have in common, such as a part of
/// their prompts. A hash; 0 identifies none.
using Fingerprint = base::Quantity<struct FingerprintTag>;
/// Fingerprint of \a content, a sequence of texts, at \a service.
Fingerprint fingerprintOf(const base::ServiceId &service,
                          std::initializer_list<std::string_view> content);
/// Hexadecimal text for logs.
std::string fingerprintText(Fingerprint fingerprint);

/// Rate of requests, in thousandths of a request per second.
using RequestRate = base::Quantity<struct RequestRateTag>;
/// Rate of an upstream that states no limit.
inline constexpr RequestRate kUnlimitedRate{std::numeric_limits<std::int64_t>::max()};

/// Rate of requests that an upstream accepts from all entry hosts together, as it stated in an
/// answer.
struct RateLimitStatement
{
    base::Incarnation incarnation; ///< Start of the upstream that made the statement.
    RequestRate rate = kUnlimitedRate;
    base::TimePoint requestSentAt{}; ///< When the request was sent that the answer belongs to.
    base::TimePoint receivedAt{}; ///< When the answer arrived.

    /// Takes over \a other unless it is older. The upstream made a statement at some time between
    /// \c requestSentAt and \c receivedAt, so two of them may overlap; the lower rate then holds.
    /// Returns whether the rate changed.
    bool update(const RateLimitStatement &other);
};

/// A RateLimitStatement in a message. Its times are ages, as clocks of hosts are not compared.
struct RateLimitReport
{
    base::UpstreamId upstream;
    base::Incarnation incarnation;
    RequestRate rate = kUnlimitedRate;
    base::Millis requestAge{0}; ///< Since the request was sent that the answer belongs to.
    base::Millis answerAge{0}; ///< Since the answer arrived.
    int unplannedRequests = 0; ///< Sent there without a grant since the last report.
};

RateLimitReport toReport(const base::UpstreamId &upstream, const RateLimitStatement &statement,
                         base::TimePoint now);
/// The report was made between \a from and \a to; the statement may be that much older.
RateLimitStatement toStatement(const RateLimitReport &report, base::TimePoint from,
                               base::TimePoint to);

/// Which requests with suspect content are rejected until the next trial. All others wait for one.
enum class Quarantine {
    None,
    Joint, ///< Those with other such content, as it is not known which of the two is to blame.
    Full, ///< All of them.
};

/// Name in metrics and logs.
std::string_view quarantineName(Quarantine quarantine);

/// Content that was in flight at several crashes of upstreams, while no request with it was
/// answered. Requests with it run one at a time, as trials, until one of them is answered.
struct CrashSuspect
{
    Fingerprint fingerprint;
    int crashes = 0;
    int failedTrials = 0;
    Quarantine quarantine = Quarantine::None;
    int quarantineTrials = 0; ///< Trials made since it was quarantined.
    base::Millis crashAge{0}; ///< Since the first of the crashes.
    base::Millis nextTrialIn{0}; ///< 0 when the next trial may be made at once.

    bool operator==(const CrashSuspect &other) const = default;
};

/// Those of \a suspects that keep a request with all of them from being sent before their next
/// trial.
std::vector<CrashSuspect> quarantinedIn(const std::vector<CrashSuspect> &suspects);
/// Time until the next trial of a request with all of \a suspects; 0 when it may be made at once.
base::Millis nextTrialIn(const std::vector<CrashSuspect> &suspects);

/// Content of a request that was in flight when an upstream crashed.
struct InterruptedContent
{
    Fingerprint fingerprint;
    bool wasTrial = false;
    base::Millis sentAge{0}; ///< Since the latest request with it was sent there.
    /// Since this host last saw a request with it answered; empty if it never did.
    std::optional<base::Millis> answeredAge;

    bool operator==(const InterruptedContent &other) const = default;
};

/// A crash of an upstream, as one entry host saw it.
struct CrashReport
{
    base::UpstreamId upstream;
    base::Incarnation incarnation;
    base::Millis age{0}; ///< Since its connections ended.
    std::vector<InterruptedContent> contents;

    /// Adds the time for which the report was kept to all its ages.
    void addAge(base::Millis extra);
    bool operator==(const CrashReport &other) const = default;
};

/// Changes of a directory since a revision, or its whole content.
struct DirectoryChanges
{
    std::int64_t incarnation = 0; ///< Start of the directory; each one has its own revisions.
    std::int64_t revision = 0;
    bool isSnapshot = false; ///< Upstreams missing from \c upstreams are not in the directory.
    std::vector<Upstream> upstreams;
    std::vector<DepartedUpstream> departed;
};

/// Result of an announcement or a departure.
enum class AnnounceResult {
    New, ///< First announcement of this start.
    Changed, ///< It began to drain, or other properties changed.
    Unchanged, ///< Nothing changed.
    Stale, ///< Older than the known state and ignored.
    Conflicting, ///< Contradicts what is known of the upstream or its address, and ignored.
};

/// Name in metrics and logs.
std::string_view announceResultName(AnnounceResult result);

/// The upstreams at each address. Looking through all of them for each announcement would cost a
/// control host its processor time with thousands of them.
class AddressIndex
{
public:
    void add(const Upstream &upstream) { m_ids[upstream.address].insert(upstream.id); }
    void remove(const Upstream &upstream);
    /// Ids of those at \a address.
    const std::set<base::UpstreamId> &at(const base::Endpoint &address) const;

private:
    std::map<base::Endpoint, std::set<base::UpstreamId>> m_ids;
};

/// A start of an upstream that said in an answer that it leaves.
struct LeavingUpstream
{
    base::UpstreamId id;
    base::Incarnation incarnation;
};

/// Upstreams known to a control host from their announcements or through another control host.
class Directory
{
public:
    /// \a incarnation differs between starts. An upstream is removed \a announceTimeout after its
    /// last announcement.
    Directory(std::int64_t incarnation, base::Millis announceTimeout);

    AnnounceResult announce(const Upstream &upstream, base::TimePoint now);
    /// Sets the services that the configuration in force names. Until the first call all count as
    /// named. Upstreams of others are kept, as a later configuration may name their service, but
    /// changes do not hold them, and they take over neither an id nor an address of the rest.
    void setServices(std::set<base::ServiceId> services);
    /// Notes that a start of an upstream leaves, whatever its announcements still say.
    AnnounceResult markLeaving(const LeavingUpstream &leaving);
    /// Removes an upstream. Returns \c Stale if \a incarnation is an earlier start than the known
    /// one. The departure of an upstream that is not known, as after a restart, is kept too.
    AnnounceResult leave(const base::UpstreamId &id, std::optional<base::Incarnation> incarnation,
                         base::TimePoint now);
    void removeExpired(base::TimePoint now);

    std::int64_t incarnation() const { return m_incarnation; }
    std::int64_t revision() const { return m_revision; }
    DirectoryChanges changesSince(std::int64_t incarnation, std::int64_t revision) const;
    std::size_t size() const { return m_entries.size(); }
    const Upstream *find(const base::UpstreamId &id) const;
    /// Departures that the sender of announcements does not know of, as after a restart.
    std::vector<DepartedUpstream> departuresOf(const std::vector<Upstream> &announced) const;
    /// Departure of an upstream that is no longer listed; null when none is remembered.
    const DepartedUpstream *findDeparted(const base::UpstreamId &id) const;

private:
    struct Entry
    {
        Upstream upstream;
        std::int64_t revision = 0;
        base::TimePoint lastAnnouncedAt;
        bool isRepeated = false; ///< Announced more than once by the same start.
        base::TimePoint coldUntil{}; ///< As last told to entry hosts.
    };
    struct Tombstone
    {
        DepartedUpstream departed;
        std::int64_t revision = 0;
        base::TimePoint departedAt;
        std::int64_t lastSequence = 0;
        bool wasLeaving = false;
        std::optional<Upstream> lastAnnounced = {}; ///< Set if it was announced more than once.
    };

    void remove(const base::UpstreamId &id, DepartureKind departure, base::TimePoint now);
    /// Tombstone of the same start of \a upstream if that timed out; null otherwise.
    const Tombstone *timedOutStart(const Upstream &upstream) const;
    bool isSuperseded(const Upstream &upstream, base::TimePoint now) const;
    bool isNamed(const Upstream &upstream) const;
    bool isConflicting(const Upstream &upstream) const;
    /// Whether an upstream with a recent announcement has the address of \a upstream and start
    /// times do not show which of the two is newer.
    bool isAddressInUse(const Upstream &upstream, base::TimePoint now) const;

    std::int64_t m_incarnation;
    base::Millis m_announceTimeout;
    std::int64_t m_revision = 0;
    std::int64_t m_prunedRevision = 0; ///< Departures up to this revision have been deleted.
    std::map<base::UpstreamId, Entry> m_entries;
    AddressIndex m_addresses; ///< Of the entries.
    std::map<base::UpstreamId, Tombstone> m_tombstones;
    std::optional<std::set<base::ServiceId>> m_services; ///< Of the configuration in force.
};

/// Upstreams known to an entry host, merged from the directories of several control hosts.
class FleetView
{
public:
    /// An upstream that no directory lists any more, without a reported departure, stays for \a
    /// retention. Control hosts that restart know no upstreams until the next announcements.
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
    /// Notes that a start of an upstream leaves, whatever directories say of that start.
    Changes markLeaving(const LeavingUpstream &leaving);
    std::size_t size() const { return m_entries.size(); }
    bool isEmpty() const { return m_entries.empty(); }

private:
    struct Entry
    {
        Upstream upstream;
        std::set<base::HostId> listedBy;
        base::TimePoint lastListedAt; ///< When a directory last listed it.
        base::TimePoint coldUntil{};
    };

    void applyUpstream(const base::HostId &control, const Upstream &upstream, base::TimePoint now,
                       Changes &changes);
    void removeUpstream(const base::UpstreamId &id, Changes &changes);
    /// Whether another upstream that started later has the address.
    bool isAddressTakenOver(const Upstream &upstream) const;

    base::Millis m_retention;
    std::map<base::UpstreamId, Entry> m_entries;
    AddressIndex m_addresses; ///< Of the entries.
    std::map<base::UpstreamId, std::pair<base::Incarnation, base::TimePoint>> m_leftUpstreams;
};

/// Outstanding load at an upstream, of one entry host or of all others together.
struct UpstreamLoad
{
    base::UpstreamId upstream;
    int requests = 0;
    base::Tokens kvTokens; ///< KV memory that the requests use or may come to use.
    int shortRequests = 0; ///< Those of \c requests whose prompts share engines with others.
    std::int64_t prefillMs = 0; ///< Pending prefill time, for engines.

    UpstreamLoad &operator+=(const UpstreamLoad &other);
    UpstreamLoad &operator-=(const UpstreamLoad &other);
    bool operator==(const UpstreamLoad &other) const = default;
};

/// Load at several upstreams.
struct LoadReport
{
    std::vector<UpstreamLoad> upstreams;

    bool operator==(const LoadReport &other) const = default;
};

/// Adds up the reports of several hosts.
LoadReport sumLoads(const std::vector<LoadReport> &reports);

/// Topics of queries from entry hosts to control hosts and between control hosts.
inline constexpr auto kWatchTopic = "fleet-watch";
inline constexpr auto kRelayTopic = "fleet-relay";
inline constexpr auto kPermitTopic = "read-permit";
inline constexpr auto kRateLimitTopic = "rate-limit";
inline constexpr auto kCrashTopic = "crash-evidence";
inline constexpr auto kTrialTopic = "crash-trial";

/// Long poll of an entry host for changes at a control host.
struct WatchRequest
{
    base::HostId host;
    base::DataCentreId dataCentre;
    base::Endpoint address; ///< Where other entry hosts connect to it.
    ConfigurationVersion configurationVersion; ///< Held by the requesting host.
    bool acceptsDelta = false; ///< It also holds the text of that version.
    bool acceptsPackedDirectory = false; ///< It reads WatchReply::packedDirectory.
    std::int64_t directoryIncarnation = 0;
    std::int64_t directoryRevision = 0;
    base::Millis maxWait{0}; ///< How long the reply may be delayed while nothing is newer.
    LoadReport load;
    /// The host exchanges its load with its peers by datagrams. Not sent: hosts of builds that do
    /// not are known by what their requests lack.
    bool exchangesLoad = true;
    /// Of the last reply of the same control host.
    std::int64_t factsRevision = 0;
    std::int64_t loadPeersRevision = 0; ///< Of the peers that the requesting host uses; 0 for none.
    std::int64_t evacuationsRevision = 0; ///< Of the evacuations that the requesting host knows.
};

/// Reply to a WatchRequest.
struct WatchReply
{
    ConfigurationVersion
            configurationVersion; ///< Highest version that this control host has applied.
    std::optional<std::string>
            packedConfiguration; ///< Its packed source if the requesting host has an older one.
    /// In place of the packed source: a delta from the text of version \c deltaBase.
    std::optional<std::string> configurationDelta;
    ConfigurationVersion deltaBase;
    /// The control host is leader with a valid lease, so that no higher version was accepted before
    /// it replied.
    bool isConfirmed = false;
    DirectoryChanges directory;
    /// The packed form of \c directory, made once for all hosts that get the same. Empty where it
    /// is not packed.
    std::string packedDirectory;
    std::vector<base::Endpoint> controlHosts; ///< Known control hosts.
    int entryHostCount = 1; ///< Entry hosts that poll, including the requesting one.
    /// The hosts that exchange their loads directly with the requesting one, if the request holds
    /// another revision of them.
    std::optional<std::vector<LoadPeer>> loadPeers;
    /// Some entry hosts of other data centres that are no load peers, to relay calls to. Present
    /// with \c loadPeers.
    std::vector<LoadPeer> distantPeers;
    std::int64_t loadPeersRevision = 0; ///< 0 when this control host does not know them.
    LoadReport distantLoad; ///< Load of the entry hosts that are not among these peers.
    /// \c distantLoad is that of all other entry hosts. Not sent: control hosts of builds that
    /// include peers are known by what their replies lack.
    bool includesPeers = false;
    std::vector<RateLimitReport> rateLimits; ///< Limits that are in force or ended lately.
    /// Of what entry hosts share through the leader: \c rateLimits and \c crashSuspects. It grows
    /// with each change.
    std::int64_t factsRevision = 0;
    base::Millis heldFor{0}; ///< From the request to this reply, at the control host.
    std::vector<CrashSuspect> crashSuspects;
    /// The control host keeps account of crash suspects. Not sent: those of builds that do not are
    /// known by what their replies lack.
    bool knowsCrashSuspects = true;
    std::optional<Evacuations> evacuations; ///< Empty from builds that do not know them.
};

/// CBOR encoding and decoding. Decoding returns nothing for bytes that are not a valid message.
std::string encode(const WatchRequest &request);
std::string encode(const WatchReply &reply);
/// Encodes and compresses what WatchReply::packedDirectory holds.
std::string packDirectory(const DirectoryChanges &changes);
std::optional<WatchRequest> decodeWatchRequest(std::string_view bytes);
std::optional<WatchReply> decodeWatchReply(std::string_view bytes);

/// Load that an entry host sends to others when it changes.
struct LoadUpdate
{
    base::HostId host;
    bool isSnapshot = false; ///< Upstreams missing from \c upstreams have no outstanding load.
    std::vector<UpstreamLoad> upstreams;
    std::int64_t startId = 0; ///< Random number drawn at each start of the host.
    std::int64_t sequence = 0; ///< Increases with each update of a start; 0 when not known.
    /// Services whose upstreams the host does not reach now.
    std::vector<base::ServiceId> unreachableServices = {};
};
/// Splits an update into several with at most \a maxUpstreams each, numbered upwards after \a
/// sequence. Later parts of a snapshot add to its first part.
std::vector<LoadUpdate> splitUpdate(const LoadUpdate &update, std::size_t maxUpstreams,
                                    std::int64_t sequence);
std::string encode(const LoadUpdate &update);
std::optional<LoadUpdate> decodeLoadUpdate(std::string_view bytes);

/// Identifies a call of an entry host, unique over all hosts and starts.
struct PermitKey
{
    base::HostId host;
    std::int64_t startId = 0; ///< Random number drawn at each start of the host.
    std::int64_t call = 0;

    auto operator<=>(const PermitKey &other) const = default;
};

/// Request of an entry host for the permit to prefill a long prompt, or its release.
struct PermitRequest
{
    PermitKey key;
    base::ServiceId service;
    std::int64_t prefillMs = 0; ///< Prefill time of the whole prompt on one engine.
    base::Millis maxWait{0}; ///< How long the reply may be delayed.
    base::Millis lateAfter{0}; ///< A grant after this makes the answer miss its objective.
    bool isOversized = false; ///< Exceeds the memory of one engine. Others are granted first.
    bool isExclusive = false; ///< Granted only while no other permit is held.
    bool isRelease = false;
    bool isPrefilled = false; ///< Of a release: the prompt was prefilled.
    std::string route; ///< Sizes of prompts are compared within a route.
    /// How long one that is exclusive waits for a moment without other prefills, unless its size is
    /// passed over.
    base::Millis idleWait{0};
    /// Data centre whose engines are to prefill it; empty for all of them.
    base::DataCentreId dataCentre;
};
/// Lifetime of a permit that is not released, from its grant. \a prefillMs is that of its request.
base::Millis permitLifetime(std::int64_t prefillMs);
std::string encode(const PermitRequest &request);
std::optional<PermitRequest> decodePermitRequest(std::string_view bytes);

/// Reply to a PermitRequest.
struct PermitReply
{
    bool isGranted = false;
    /// Between the request and the reply. Control hosts of earlier versions do not send it.
    std::optional<base::Millis> waited;
};
std::string encode(const PermitReply &reply);
PermitReply decodePermitReply(std::string_view bytes);

/// Report of rate limits, and request of an entry host to send requests to a limited upstream.
struct SendGrantRequest
{
    base::HostId host;
    std::vector<RateLimitReport> limits; ///< Of the upstreams that would do.
    int wanted = 0; ///< Requests to be sent; 0 for a report only.
    bool isWaiting = false; ///< A call waits for the grant. Others come first otherwise.
    int priority = 0; ///< Of the call that waits; 0 is served first.
    base::Millis waited{0}; ///< How long the call has been waiting.
    base::Millis maxWait{0}; ///< How long the call waits on.
};
std::string encode(const SendGrantRequest &request);
std::optional<SendGrantRequest> decodeSendGrantRequest(std::string_view bytes);

/// Reply to a SendGrantRequest.
struct SendGrantReply
{
    base::UpstreamId upstream; ///< Empty when nothing was granted.
    int count = 0; ///< Requests that may be sent to it.
    base::Millis retryAfter{0}; ///< Until a grant is likely, when nothing was granted.
};
std::string encode(const SendGrantReply &reply);
std::optional<SendGrantReply> decodeSendGrantReply(std::string_view bytes);

/// Identifies a trial by the call that makes it.
using TrialKey = PermitKey;

/// What an entry host tells the leader of content under which upstreams crashed.
struct CrashEvidence
{
    base::HostId host;
    std::vector<CrashReport> crashes;
    std::vector<Fingerprint> answered; ///< Suspects with an answered request.
    std::vector<CrashSuspect> suspects; ///< All that the host knows, for a new leader.
    std::optional<TrialKey> endedTrial; ///< \c crashes and \c answered tell how it ended.
};
std::string encode(const CrashEvidence &evidence);
std::optional<CrashEvidence> decodeCrashEvidence(std::string_view bytes);

/// Request of an entry host to send a request with suspect content.
struct TrialRequest
{
    TrialKey key;
    base::ServiceId service;
    std::vector<Fingerprint> fingerprints; ///< Of all its content, suspect or not.
    base::Millis maxWait{0}; ///< How long the reply may be delayed.
};
std::string encode(const TrialRequest &request);
std::optional<TrialRequest> decodeTrialRequest(std::string_view bytes);

/// Reply to a TrialRequest.
struct TrialReply
{
    bool isGranted = false;
    base::Millis retryAfter{0}; ///< Until a trial is likely, when it was not granted.
};
std::string encode(const TrialReply &reply);
std::optional<TrialReply> decodeTrialReply(std::string_view bytes);

/// Announcements that a control host accepted and passes on to the other control hosts.
struct RelayedAnnouncements
{
    std::vector<Upstream> upstreams;
    std::vector<DepartedUpstream> departed;
    std::vector<LeavingUpstream> leaving = {}; ///< Sent by entry hosts.
};
std::string encode(const RelayedAnnouncements &relay);
std::optional<RelayedAnnouncements> decodeRelayedAnnouncements(std::string_view bytes);

} // namespace hyssop::fleet
