/// Records: what operators declare. YAML in, validated and typed values out. No I/O.
#pragma once

#include "base/Base.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssop::records {

enum class Kind { Team, Route, ControlGroup, Deployment };

inline constexpr Kind kAllKinds[] = {Kind::Team, Kind::Route, Kind::ControlGroup, Kind::Deployment};

std::string_view kindName(Kind kind);
std::optional<Kind> parseKind(std::string_view name);

/// How soon an answer is wanted; lower values go first.
enum class Urgency { Urgent = 0, Normal = 1, Batch = 2 };

inline constexpr int kUrgencies = 3;

std::string_view urgencyName(Urgency urgency);
std::optional<Urgency> parseUrgency(std::string_view name);

/// Newest schema this program reads.
inline constexpr int kNewestSchema = 2;

/// Bounds on a record that is to be accepted. What is already stored is read whatever its size.
inline constexpr std::size_t kMaxSpecBytes = 64 * 1024;
inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr int kMaxSpecDepth = 16;

/// Version of one record's content; 0 means absent.
using Version = base::Quantity<struct VersionTag>;

/// Why a record was not accepted, and where it stands.
struct RecordError
{
    std::string file;
    int line = 0; ///< From 1; 0 when not known.
    std::string field; ///< Dotted path, such as "spec.weight".
    std::string message;

    std::string text() const;
};

/// One record as stored: its content is JSON text with sorted keys, unknown fields included.
struct Record
{
    Kind kind = Kind::Team;
    std::string name;
    int schema = 1;
    Version version;
    std::string spec = "{}";

    bool operator==(const Record &other) const = default;
};

/// JSON text of a whole record, keys sorted.
std::string toJson(const Record &record);
tl::expected<Record, RecordError> recordFromJson(std::string_view text);

/// Reads every document of a YAML file and checks each one. \a warnings, where given, receives the
/// unknown fields that look like misspelt known ones.
tl::expected<std::vector<Record>, std::vector<RecordError>> readYaml(
        const std::string &file, const std::string &text,
        std::vector<RecordError> *warnings = nullptr);

/// Content of a team's record.
struct TeamSpec
{
    int weight = 1; ///< Share against other teams, 1..1000.
    int maxRequests = 1000; ///< Requests admitted and not ended, at one entry.
    base::Tokens maxTokens{8'000'000}; ///< Uncached prompt tokens outstanding, at one entry.
    int maxLongPrompts = 8; ///< Long prompts outstanding, at one entry.
    std::vector<std::string> keySha256; ///< Hexadecimal digests of the bearer keys of callers.
};

/// Content of a route's record: what a model or service name given by callers leads to.
struct RouteSpec
{
    base::ModelId model; ///< Set for a route to engines.
    base::ServiceId service; ///< Set for a route to a plain service.
    std::string adapter;
    std::string modelVersion;
    std::vector<base::TeamId> teams; ///< Who may use it; empty means every team.
    Urgency urgency = Urgency::Normal; ///< Where the caller names none.
    base::Millis deadline{60'000}; ///< For an urgency without its own.
    std::map<Urgency, base::Millis> deadlines; ///< Schema 2: bound for each urgency.
    bool mayRepeat = true; ///< Whether a call may run more than once.
    std::string role; ///< Role of upstreams to use; empty means any.

    base::Millis deadlineFor(Urgency urgency) const;
};

/// Content of a control group's record: who votes in the replicated log of that name.
struct ControlGroupSpec
{
    struct Voter
    {
        base::HostId host;
        base::Endpoint address; ///< Where the host listens for peers.
        base::DataCentreId dataCentre;

        bool operator==(const Voter &other) const = default;
    };
    std::vector<Voter> voters; ///< 1 to 7, no host or address twice.
};

/// Whether engines refuse an order that carries an old fencing number.
enum class Fencing { Checked, Ignored };

/// Content of a deployment's record: what a number of engines of one data centre should hold.
struct DeploymentSpec
{
    base::ModelId model;
    std::string adapter;
    std::string modelVersion;
    std::string role;
    base::DataCentreId dataCentre;
    int replicas = 1; ///< Engines that should hold the model, 0..1000.
    Fencing fencing = Fencing::Checked;
    int loadsPerMinute = 6; ///< Bound on loads from the weight store, 1..600.
    std::vector<base::UpstreamId> upstreams; ///< Engines that may be used; empty: any.
    bool mayUnloadLast = false; ///< Whether a route in force may lose its last engine to it.
};

tl::expected<TeamSpec, RecordError> readTeam(const Record &record);
tl::expected<RouteSpec, RecordError> readRoute(const Record &record);
tl::expected<ControlGroupSpec, RecordError> readControlGroup(const Record &record);
tl::expected<DeploymentSpec, RecordError> readDeployment(const Record &record);

/// Checks a record that is to be accepted: its bounds, and its content by kind and schema.
std::optional<RecordError> validate(const Record &record);

/// Unknown fields that look like a misspelt known one. Other unknown fields are kept in silence.
std::vector<RecordError> misspeltFields(const Record &record);

/// One field that differs between two records.
struct FieldChange
{
    std::string field;
    std::string before; ///< JSON text; empty when absent.
    std::string after;
};

std::vector<FieldChange> diff(const Record &before, const Record &after);

/// Typed view of all records in force, immutable once built; shared between threads.
class Catalogue
{
public:
    /// Of several records of one kind and name the newest readable one is in force. Where there is
    /// none, the last readable content comes from \a previous.
    static std::shared_ptr<const Catalogue> build(const std::vector<Record> &records,
                                                  const Catalogue *previous);

    const TeamSpec *team(const base::TeamId &id) const;
    const RouteSpec *route(const std::string &name) const;
    const std::map<std::string, RouteSpec> &routes() const { return m_routes; }
    const std::map<base::TeamId, TeamSpec> &teams() const { return m_teams; }
    const std::map<std::string, DeploymentSpec> &deployments() const { return m_deployments; }
    const std::map<std::string, ControlGroupSpec> &controlGroups() const { return m_controlGroups; }
    /// Team whose record holds the digest of a caller's key.
    const base::TeamId *teamOfKey(const std::string &sha256) const;
    /// Records kept but not readable by this program.
    const std::vector<std::string> &unreadable() const { return m_unreadable; }

private:
    bool addIfReadable(const Record &record);
    void copyFromPrevious(const Catalogue &previous, const Record &record);

    std::map<base::TeamId, TeamSpec> m_teams;
    std::map<std::string, RouteSpec> m_routes;
    std::map<std::string, DeploymentSpec> m_deployments;
    std::map<std::string, ControlGroupSpec> m_controlGroups;
    std::map<std::string, base::TeamId> m_teamsByKey;
    std::vector<std::string> m_unreadable;
};

} // namespace hyssop::records
