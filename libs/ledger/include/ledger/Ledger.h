/// Replicated state machine that holds records, claims, jobs and leases. Deterministic, no I/O.
///
/// The ledger measures time in log time: the leader stamps each command with milliseconds. Log time
/// is monotonic, also across leader changes, and does not advance while the whole group is down.
///
/// Claims, jobs and remembered replies are bounded by LedgerOptions. A claim or job over its bound
/// is rejected with Status::LimitReached and not stored. Retention:
/// - Records and leases are never removed.
/// - The reply to a change id is kept for the next \c maxChangeReplies changes.
/// - A held claim is kept until its owner finishes or releases it, or is retired.
/// - An ended claim, with a known or unknown outcome, is kept for \c claimRetention of log time.
///   Its key is not granted again in that time, and callers must not reuse the key afterwards.
/// - A released claim is kept for \c releaseRetention.
/// - A job is kept until it ends, at the latest at its time limit, and then for \c jobRetention.
#pragma once

#include "base/Base.h"
#include "records/Records.h"
#include "replog/Replog.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hyssop::ledger {

/// One run of the process that holds a claim, a job or a lease.
struct Owner
{
    base::HostId host;
    base::Incarnation incarnation; ///< Higher for each start of the process on that host.

    auto operator<=>(const Owner &other) const = default;
};

/// Changes a record by compare-and-set on its version.
struct PutRecord
{
    std::string changeId; ///< Idempotency key: the first reply is returned for a resend.
    records::Version expectedVersion; ///< Expected current version; 0 if the record must not exist.
    records::Record record;
};

/// Acquires the right to dispatch a non-idempotent call.
struct Claim
{
    base::TeamId team;
    std::string key; ///< Idempotency key of the call; unique within the team.
    std::string requestDigest; ///< Digest of the request's target and body.
    Owner owner;
    /// Id of the owner's attempt. A resend with the same id is accepted while the claim is held.
    /// Without an id the command must not be resent.
    std::string attemptId = {};
};

/// Control group that stores a home-scoped key "home.<data centre>.<incarnation>.<rest>".
struct HomeScope
{
    base::DataCentreId dataCentre;
    std::int64_t incarnation = 0; ///< Incarnation of the data centre's home group.
};

/// Parses the scope of a home-scoped key. Returns nothing for any other key; those are opaque.
std::optional<HomeScope> parseHomeScope(std::string_view key);

/// Releases a claim whose call was not sent. Only the owner and attempt that hold it may do so.
struct ReleaseClaim
{
    base::TeamId team;
    std::string key;
    Owner owner;
    /// Same value as in the claim. Prevents a delayed resend from releasing a later claim.
    std::string attemptId = {};
};

/// Response of an upstream, stored to be returned when the caller repeats the request.
struct Answer
{
    int status = 0; ///< HTTP status code.
    std::string contentType;
    std::string body;

    bool operator==(const Answer &other) const = default;
};

/// Ends a claim with the outcome of its call. Only the owner and attempt that hold it may do so.
struct FinishClaim
{
    base::TeamId team;
    std::string key;
    Owner owner;
    std::optional<Answer> answer; ///< Empty if the outcome is unknown.
    std::string attemptId = {}; ///< Same value as in the claim.
};

/// Sets the incarnation of a new group. Has no effect once the incarnation is set.
struct InitializeGroup
{
    std::int64_t incarnation = 0; ///< Random, not 0.
};

/// Reply::message of a command that was rejected because its owner is retired.
inline constexpr std::string_view kOwnerRetiredMessage = "the owner was retired";

/// Retires a dead owner and all earlier incarnations on its host. Their held claims end with an
/// unknown outcome and their running jobs wait for another owner. Claims and jobs that they request
/// afterwards, for example in a delayed copy of a command, are rejected with Status::NotOwner and
/// \c kOwnerRetiredMessage.
struct RetireOwner
{
    Owner owner;
};

/// Undoes an owner's retirement. Sent only by that owner, which proves that it is alive.
struct ReinstateOwner
{
    Owner owner;
};

enum class JobState { Waiting, Running, Done, Failed };

/// Name of the state as used in JSON.
std::string_view jobStateName(JobState state);

/// Queues a job. Accepted again for the same id, team and request.
struct SubmitJob
{
    base::JobId id;
    base::TeamId team;
    std::string request; ///< JSON body of the completion.
    /// Log time from submission after which the job fails with "out_of_time"; 0 for no limit.
    base::Millis timeLimit{0};
};

/// Assigns a waiting job to the owner, which runs it.
struct TakeJob
{
    base::JobId id;
    Owner owner;
};

/// Ends a job or returns it to the queue. Only the owner that runs it may do so.
struct FinishJob
{
    base::JobId id;
    Owner owner;
    JobState state = JobState::Done; ///< Waiting requeues the job; Done or Failed end it.
    std::string result; ///< Response of the job, or the reason for the failure.
};

/// Acquires or renews a named lease.
struct TakeLease
{
    std::string name;
    Owner owner;
    base::Millis duration{0}; ///< Log time from this command until the lease expires.
};

/// Stores a complete configuration as source text under its own version. The highest version is in
/// force. A command with the same or a lower version is accepted and has no effect.
struct PutConfiguration
{
    std::int64_t version = 0;
    std::string text;
};

/// Begins or ends the evacuation of a data centre, to whose upstreams nothing is sent meanwhile.
///
/// It is stored as a lease of the reserved name evacuationLeaseName(), held by the owner "on" or
/// "off". Builds that do not know the command apply it as that lease and keep it in their
/// snapshots, so that an evacuation survives on the disks of hosts of an earlier build.
struct SetEvacuation
{
    base::DataCentreId dataCentre;
    bool isEvacuated = true;
};

/// Name of the lease that stores whether \a dataCentre is evacuated.
std::string evacuationLeaseName(const base::DataCentreId &dataCentre);

/// Evacuated data centres.
struct Evacuations
{
    std::int64_t revision = 0; ///< Grows with each SetEvacuation; 0 before the first one.
    std::vector<base::DataCentreId> dataCentres; ///< In order.
};

/// Configuration in force.
struct StoredConfiguration
{
    std::int64_t version = 0;
    std::string text; ///< Unmodified source text.
    replog::Position position; ///< Log position of the command that stored it.
};

/// Replaces what is known of content that crashes upstreams. The group does not read the text.
struct PutCrashSuspects
{
    std::string text; ///< Empty for nothing; at most kMaxCrashSuspectsBytes.
};

/// Some 64 suspects take 3 KB.
inline constexpr std::size_t kMaxCrashSuspectsBytes = 16'384;

/// What was last stored of content that crashes upstreams.
struct StoredCrashSuspects
{
    std::string text;
    std::int64_t storedAtMs = 0; ///< Log time.
};

/// Command by which an entry host makes its start known in its home group, before it sends anything
/// to upstreams. Others learn of it there even if it ends before it has reached any of them.
///
/// It is a lease of a reserved name, so that builds that do not read it keep it.
TakeLease startOfEntryHost(const Owner &owner);

/// Latest start of each entry host of the home group.
struct StartedHosts
{
    std::int64_t revision = 0; ///< Grows with each start; 0 before the first one.
    std::vector<Owner> hosts; ///< Without those that were retired.
};

using Command = std::variant<PutRecord, Claim, ReleaseClaim, FinishClaim, RetireOwner, SubmitJob,
                             TakeJob, FinishJob, TakeLease, InitializeGroup, ReinstateOwner,
                             PutConfiguration, PutCrashSuspects, SetEvacuation>;

/// Whether a command is idempotent, so that it may be resent after a lost reply.
bool isSafeToResend(const Command &command);

/// Result of a command.
enum class Status {
    Accepted, ///< The command took effect, now or when it was first sent.
    Conflict, ///< Different content, owner or digest exists; \c Reply::currentRecord has a
              ///< record's.
    Pending, ///< The claim is held and its outcome is not known yet.
    Answered, ///< The claim has ended; \c Reply::answer holds the outcome.
    OutcomeUnknown, ///< The claim ended without an outcome; the call may have been executed.
    NotFound,
    NotOwner, ///< Another owner or attempt holds the item, or the owner is retired.
    LimitReached, ///< A bound on stored items is reached.
    Malformed, ///< The log entry could not be decoded.
};

/// Name of the status in logs and metrics.
std::string_view statusName(Status status);

/// Result of one command as returned to its sender.
struct Reply
{
    Status status = Status::Accepted;
    std::string message;
    std::optional<records::Record> currentRecord; ///< Record in force, on a conflict.
    std::optional<Answer> answer; ///< Stored response of an ended claim.
    std::int64_t fencingToken = 0; ///< Fencing token of the acquired lease.
    std::int64_t logIndex = 0; ///< Log index of an accepted change.
};

/// Asynchronous completion request and its progress.
struct Job
{
    base::JobId id;
    base::TeamId team;
    std::string request; ///< JSON body of the completion.
    JobState state = JobState::Waiting;
    Owner owner; ///< Last owner that took the job.
    std::string result; ///< Response, or the reason for the failure.
    int attemptCount = 0; ///< Number of times the job was taken.
    std::int64_t submittedAtMs = 0; ///< Log time.
    std::int64_t timeLimitMs = 0; ///< Time from submission to failure; 0 for no limit.
    std::int64_t endedAtMs = 0; ///< Log time; 0 until the job has ended.
};

/// Bounds of a ledger. Retention times are in log time. All replicas of a group must use the same
/// values, because the state depends on them.
struct LedgerOptions
{
    std::size_t maxChangeReplies = 20'000; ///< Change ids whose replies are kept.
    std::size_t maxClaims = 200'000; ///< Held, ended and released claims together.
    std::size_t maxJobs = 50'000; ///< Including ended jobs.
    base::Millis claimRetention{24LL * 3600 * 1000}; ///< For ended claims.
    /// For retired owners. No copy of a command stays in transit for longer.
    base::Millis retirementRetention{10LL * 60 * 1000};
    base::Millis releaseRetention{10LL * 60 * 1000}; ///< For released claims.
    base::Millis jobRetention{24LL * 3600 * 1000}; ///< For ended jobs.
    /// For crash suspects that nobody stored again; the leader forgets them after the same time.
    base::Millis crashSuspectsRetention{48LL * 3600 * 1000};
};

/// State of one group. Not thread-safe. Returned pointers and references are valid until the next
/// call of apply() or restore().
class Ledger
{
public:
    explicit Ledger(LedgerOptions options = {});

    /// Applies one log entry. Entries must be applied in log order.
    Reply apply(const replog::Entry &entry);

    /// Position of the last applied entry.
    replog::Position position() const { return m_position; }
    /// Position of the last change to a record.
    replog::Position recordsPosition() const { return m_recordsPosition; }
    std::vector<records::Record> records() const;
    /// Null if there is no such record.
    const records::Record *record(records::Kind kind, const std::string &name) const;
    /// Empty until the first PutConfiguration.
    const std::optional<StoredConfiguration> &configuration() const { return m_configuration; }
    /// Empty while nothing is stored.
    const std::optional<StoredCrashSuspects> &crashSuspects() const { return m_crashSuspects; }
    Evacuations evacuations() const;
    StartedHosts startedHosts() const;
    /// Null if there is no such job.
    const Job *job(const base::JobId &id) const;
    /// Jobs of one team, ordered by id.
    std::vector<const Job *> jobsOfTeam(const base::TeamId &team) const;
    /// Jobs in one state, ordered by id.
    std::vector<const Job *> jobsInState(JobState state) const;
    /// Number of stored claims: held, ended and released.
    std::size_t claimCount() const { return m_claims.size(); }
    /// Random number set by InitializeGroup; 0 before. A home-scoped key
    /// "home.<data centre>.<group incarnation>.<rest>" is rejected by a group of another
    /// incarnation, because that group cannot know whether the call was executed.
    std::int64_t groupIncarnation() const { return m_groupIncarnation; }
    /// Log time of the last applied command, in milliseconds.
    std::int64_t logTimeMs() const { return m_logTimeMs; }

    /// Serializes the whole state. The options are not part of it.
    std::string snapshot() const;
    /// Replaces the state by that of a snapshot. Returns false and changes nothing if \a bytes is
    /// not a valid snapshot.
    bool restore(const std::string &bytes);

private:
    struct RecordKey
    {
        records::Kind kind;
        std::string name;
        auto operator<=>(const RecordKey &other) const = default;
    };
    struct ClaimKey
    {
        base::TeamId team;
        std::string key;
        auto operator<=>(const ClaimKey &other) const = default;
    };
    enum class ClaimState { Held, Answered, Unknown, Released };
    struct ClaimEntry
    {
        std::string digest;
        Owner owner;
        std::string attempt = {};
        ClaimState state = ClaimState::Held;
        std::optional<Answer> answer;
        std::int64_t endedAtMs = 0;
    };
    struct Lease
    {
        Owner owner;
        std::int64_t expiresAtMs = 0;
        std::int64_t fencing = 0;
    };

    struct Retirement
    {
        base::Incarnation incarnation; ///< Highest retired incarnation on the host.
        std::int64_t retiredAtMs = 0;
    };

    Reply execute(const PutRecord &command);
    Reply execute(const Claim &command);
    Reply execute(const ReleaseClaim &command);
    Reply execute(const FinishClaim &command);
    Reply execute(const RetireOwner &command);
    Reply execute(const SubmitJob &command);
    Reply execute(const TakeJob &command);
    Reply execute(const FinishJob &command);
    Reply execute(const TakeLease &command);
    Reply execute(const InitializeGroup &command);
    Reply execute(const ReinstateOwner &command);
    Reply execute(const PutConfiguration &command);
    Reply execute(const PutCrashSuspects &command);
    Reply execute(const SetEvacuation &command);
    bool isRetired(const Owner &owner) const;
    /// Removes the start of \a retired or of an earlier incarnation.
    void forgetStart(const Owner &retired);
    /// Whether a home-scoped key names a group incarnation other than this group's.
    bool isFromOtherIncarnation(const std::string &key) const;
    /// Removes items past their retention time and fails jobs past their time limit.
    void expireByLogTime();
    friend struct SnapshotCodec;

    LedgerOptions m_options;
    replog::Position m_position;
    replog::Position m_recordsPosition;
    std::int64_t m_logTimeMs = 0;
    std::int64_t m_groupIncarnation = 0;
    std::int64_t m_lastFencingToken = 0; ///< Shared by all leases.
    std::optional<StoredConfiguration> m_configuration;
    std::map<RecordKey, records::Record> m_records;
    std::map<std::string, Reply> m_repliesByChangeId;
    std::deque<std::string> m_changeIdOrder; ///< Keys of \c m_repliesByChangeId, oldest first.
    std::map<ClaimKey, ClaimEntry> m_claims;
    std::map<base::JobId, Job> m_jobs;
    std::map<std::string, Lease> m_leases;
    std::map<base::HostId, Retirement> m_retirements;
    std::optional<StoredCrashSuspects> m_crashSuspects;
};

/// Encodes a command for the log as CBOR, stamped with the leader's time in milliseconds.
std::string encode(const Command &command, std::int64_t logTimeMs);

/// Command with the log time that the leader assigned to it.
struct StampedCommand
{
    Command command;
    std::int64_t logTimeMs = 0;
};
/// Returns nothing if \a bytes is not an encoded command.
std::optional<StampedCommand> decodeCommand(std::string_view bytes);

/// Encodes a reply as CBOR.
std::string encode(const Reply &reply);
/// Returns nothing if \a bytes is not an encoded reply.
std::optional<Reply> decodeReply(std::string_view bytes);

} // namespace hyssop::ledger
