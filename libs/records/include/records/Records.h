/// Records that operators declare: parsing from YAML, validation and typed access. No I/O.
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

/// Name of the kind as used in YAML, JSON and URL paths.
std::string_view kindName(Kind kind);
std::optional<Kind> parseKind(std::string_view name);

/// Scheduling class of a request. Lower values are scheduled first.
enum class Urgency { Urgent = 0, Normal = 1, Batch = 2 };

inline constexpr int kUrgencyCount = 3; ///< Number of urgencies.

/// Name of the urgency as used in YAML, JSON and headers.
std::string_view urgencyName(Urgency urgency);
std::optional<Urgency> parseUrgency(std::string_view name);

/// Newest schema version that this program can read.
inline constexpr int kNewestSchema = 2;

/// Bounds on new records, checked by validate(). Stored records are read regardless of their size.
inline constexpr std::size_t kMaxSpecBytes = 64 * 1024;
inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr int kMaxSpecDepth = 16;

/// Version of a record's content; 0 if the record does not exist.
using Version = base::Quantity<struct VersionTag>;

/// Reason why a record is invalid, and its location.
struct RecordError
{
    std::string file; ///< Empty if the record is not from a file.
    int line = 0; ///< From 1; 0 if unknown.
    std::string field; ///< Dotted path, such as "spec.weight"; empty for the whole record.
    std::string message;

    /// "file:line: field: message", without the parts that are unknown.
    std::string text() const;
};

/// A record as stored. The spec is JSON text with sorted keys and includes unknown fields.
struct Record
{
    Kind kind = Kind::Team;
    std::string name;
    int schema = 1; ///< Version of the schema that the spec follows.
    Version version;
    std::string spec = "{}";

    bool operator==(const Record &other) const = default;
};

/// JSON text of a whole record with sorted keys.
std::string toJson(const Record &record);
/// Parses a record. Neither the spec's fields nor the bounds on new records are checked.
tl::expected<Record, RecordError> recordFromJson(std::string_view text);

/// Parses and validates every document of a YAML file. Returns all records, or the errors of all
/// invalid documents. If \a warnings is given, it receives unknown fields that are probably
/// misspelt. \a file is used in errors only.
tl::expected<std::vector<Record>, std::vector<RecordError>> readYaml(
        const std::string &file, const std::string &text,
        std::vector<RecordError> *warnings = nullptr);

/// Spec of a team. The limits apply to each entry host separately.
struct TeamSpec
{
    int weight = 1; ///< Share relative to other teams, 1..1000.
    int maxRequests = 1000; ///< Admitted requests that have not ended.
    base::Tokens maxTokens{8'000'000}; ///< Outstanding uncached prompt tokens.
    int maxLongPrompts = 8; ///< Outstanding long prompts.
    std::vector<std::string> keySha256; ///< SHA-256 digests of the callers' bearer keys, in hex.
};

/// Spec of a route, which maps a model or service name in a request to upstreams.
struct RouteSpec
{
    base::ModelId model; ///< Set for a route to engines.
    base::ServiceId service; ///< Set for a route to a plain service.
    std::string adapter;
    std::string modelVersion;
    std::vector<base::TeamId> teams; ///< Teams that may use the route; empty for all.
    Urgency urgency = Urgency::Normal; ///< Default when the request names none.
    base::Millis deadline{60'000}; ///< For urgencies that are not in \c deadlines.
    std::map<Urgency, base::Millis> deadlines; ///< Deadline per urgency, from schema 2 on.
    bool isRetrySafe = true; ///< Whether a call may be executed more than once.
    std::string role; ///< Role that the upstreams must have; empty for any.

    /// Time limit for a request of the given urgency.
    base::Millis deadlineFor(Urgency urgency) const;
};

/// Spec of a control group: the voters of the replicated log with the same name.
struct ControlGroupSpec
{
    struct Voter
    {
        base::HostId host;
        base::Endpoint address; ///< Address on which the host listens for peers.
        base::DataCentreId dataCentre;

        bool operator==(const Voter &other) const = default;
    };
    std::vector<Voter> voters; ///< 1 to 7 voters with distinct hosts and addresses.
};

/// Whether engines reject an order that carries an outdated fencing token.
enum class Fencing { Checked, Ignored };

/// Spec of a deployment: the model that a number of engines in one data centre should serve.
struct DeploymentSpec
{
    base::ModelId model;
    std::string adapter;
    std::string modelVersion;
    std::string role;
    base::DataCentreId dataCentre;
    int replicas = 1; ///< Number of engines that should serve the model, 0..1000.
    Fencing fencing = Fencing::Checked;
    int loadsPerMinute = 6; ///< Bound on loads from the weight store, 1..600.
    std::vector<base::UpstreamId> upstreams; ///< Engines that may be used; empty for any.
    bool mayUnloadLast = false; ///< Whether it may take the last engine of a route in force.
};

/// Parses the spec of a record, whose kind must match. Fails on an unsupported schema and on
/// missing or invalid fields; unknown fields are ignored.
tl::expected<TeamSpec, RecordError> readTeam(const Record &record);
tl::expected<RouteSpec, RecordError> readRoute(const Record &record);
tl::expected<ControlGroupSpec, RecordError> readControlGroup(const Record &record);
tl::expected<DeploymentSpec, RecordError> readDeployment(const Record &record);

/// Validates a new record: its bounds, and its spec by kind and schema. Returns the first error.
std::optional<RecordError> validate(const Record &record);

/// Warnings for unknown fields that are probably misspelt. Other unknown fields give no warning.
std::vector<RecordError> misspeltFields(const Record &record);

/// Field that differs between two records.
struct FieldChange
{
    std::string field; ///< JSON pointer, such as "/spec/weight".
    std::string before; ///< JSON text; empty if the field is absent.
    std::string after; ///< JSON text; empty if the field is absent.
};

/// Fields that differ, ordered by path. Empty if the records are equal.
std::vector<FieldChange> diff(const Record &before, const Record &after);

/// Typed view of all records in force. Immutable once built, so it may be shared between threads.
class Catalogue
{
public:
    /// Builds the view from \a records. Of several records with the same kind and name, the newest
    /// readable one is in force. If none is readable, the spec is copied from \a previous, which
    /// may be null.
    static std::shared_ptr<const Catalogue> build(const std::vector<Record> &records,
                                                  const Catalogue *previous);

    /// Null if there is no such team; likewise for route().
    const TeamSpec *team(const base::TeamId &id) const;
    const RouteSpec *route(const std::string &name) const;
    const std::map<std::string, RouteSpec> &routes() const { return m_routes; }
    const std::map<base::TeamId, TeamSpec> &teams() const { return m_teams; }
    const std::map<std::string, DeploymentSpec> &deployments() const { return m_deployments; }
    const std::map<std::string, ControlGroupSpec> &controlGroups() const { return m_controlGroups; }
    /// Team that owns the bearer key with this SHA-256 digest in hex; null if there is none.
    const base::TeamId *teamOfKeyDigest(const std::string &sha256) const;
    /// Records that this program cannot read, as "kind/name".
    const std::vector<std::string> &unreadableRecords() const { return m_unreadable; }

private:
    /// Parses a record and adds its spec. Returns false if it is not readable.
    bool addIfReadable(const Record &record);
    void copyFromPrevious(const Catalogue &previous, const Record &record);

    std::map<base::TeamId, TeamSpec> m_teams;
    std::map<std::string, RouteSpec> m_routes;
    std::map<std::string, DeploymentSpec> m_deployments;
    std::map<std::string, ControlGroupSpec> m_controlGroups;
    std::map<std::string, base::TeamId> m_teamsByKey; ///< By SHA-256 digest of the bearer key.
    std::vector<std::string> m_unreadable;
};

} // namespace hyssop::records
