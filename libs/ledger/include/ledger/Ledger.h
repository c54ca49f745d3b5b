/// State machine on the replicated log: records, claims, jobs and leases. Deterministic, no I/O.
///
/// Time inside the ledger is that of the log: milliseconds stamped on each command by the leader,
/// never falling from one command to the next, also when leadership moves. It stands still while
/// the whole group is down.
///
/// Everything stored is bounded; LedgerOptions holds the bounds. What is refused for a bound gets
/// Status::Full and nothing is stored. Kept are:
/// - records and leases, without end;
/// - the verdict on each change id, until \c maxVerdicts later ones;
/// - a claim that is held, until its owner finishes or releases it or is retired;
/// - an ended claim, of known or unknown outcome, for \c claimRetention of log time. Within it the
///   key is never granted again; callers must not use a key again later than that;
/// - a job until it ends, at its own time limit at the latest, then for \c jobRetention.
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

/// Process that holds a claim, a job or a lease.
struct Owner
{
    base::HostId host;
    base::Incarnation incarnation;

    auto operator<=>(const Owner &other) const = default;
};

/// Changes a record by compare-and-set on its version.
struct PutRecord
{
    std::string changeId;
    records::Version replaces; ///< 0 when the record must be absent.
    records::Record record;
};

/// Takes the right to dispatch a call that may not be repeated.
struct Claim
{
    base::TeamId team;
    std::string key;
    std::string digest; ///< Of the request's target and body.
    Owner owner;
    /// Names one flow of the owner. The same claim sent again is accepted again while it is held;
    /// empty makes the command unsafe to resend.
    std::string attempt = {};
};

/// Where a home-scoped key "home.<data centre>.<incarnation>.<rest>" is kept.
struct HomeScope
{
    base::DataCentreId dataCentre;
    std::int64_t incarnation = 0; ///< Of the data centre's home group.
};

/// Scope that a key names; empty for every other key, which is opaque.
std::optional<HomeScope> homeScopeOf(std::string_view key);

/// Gives a claim back; allowed only to its owner and attempt, when nothing was sent.
struct ReleaseClaim
{
    base::TeamId team;
    std::string key;
    Owner owner;
    std::string attempt = {}; ///< As in the claim; keeps a late resend from freeing another one.
};

/// Answer of an upstream, kept for callers that ask again.
struct Answer
{
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const Answer &other) const = default;
};

struct FinishClaim
{
    base::TeamId team;
    std::string key;
    Owner owner;
    std::optional<Answer> answer; ///< Empty: the outcome is unknown.
    std::string attempt = {}; ///< As in the claim.
};

/// Gives an empty group its incarnation; later ones change nothing.
struct FoundGroup
{
    std::int64_t incarnation = 0; ///< Random, not 0.
};

/// Message of a refusal to a retired owner.
inline constexpr std::string_view kRetired = "the owner was retired";

/// Marks every open claim of a dead owner and of its host's earlier starts as of unknown outcome,
/// and frees their jobs. What they ask for later, as a copy that was still on its way, is refused
/// with Status::NotOwner and \c kRetired.
struct RetireOwner
{
    Owner owner;
};

/// Takes an owner's retirement back; sent only by that owner, which is alive then.
struct ReinstateOwner
{
    Owner owner;
};

enum class JobState { Waiting, Running, Done, Failed };

std::string_view jobStateName(JobState state);

struct SubmitJob
{
    base::JobId id;
    base::TeamId team;
    std::string request; ///< JSON body of the completion.
    base::Millis limit{0}; ///< Time from submission until the job fails as out of time.
};

struct TakeJob
{
    base::JobId id;
    Owner owner;
};

struct FinishJob
{
    base::JobId id;
    Owner owner;
    JobState state = JobState::Done; ///< Waiting hands the job over; Done or Failed end it.
    std::string result; ///< The answer, or the reason of the failure.
};

/// Takes or renews a lease by name.
struct TakeLease
{
    std::string name;
    Owner owner;
    base::Millis duration{0};
};

/// A whole configuration under a version of its own, as its source text. The highest version is in
/// force; one that is not higher is accepted and changes nothing.
struct PutConfiguration
{
    std::int64_t version = 0;
    std::string text;
};

/// Configuration in force.
struct StoredConfiguration
{
    std::int64_t version = 0;
    std::string text; ///< As it was put.
    replog::Position position;
};

using Command =
        std::variant<PutRecord, Claim, ReleaseClaim, FinishClaim, RetireOwner, SubmitJob, TakeJob,
                     FinishJob, TakeLease, FoundGroup, ReinstateOwner, PutConfiguration>;

/// Whether the ledger answers a command that is sent again as it did the first time.
bool mayResend(const Command &command);

enum class Status {
    Accepted, ///< The command took effect, now or when it was first sent.
    Conflict, ///< Another content, owner or digest stands there; \c Reply::current shows it.
    Pending, ///< The claim is held and its outcome not yet known.
    Answered, ///< The claim has ended; \c Reply::answer holds the outcome.
    OutcomeUnknown, ///< The claim's owner died; the call may have run.
    NotFound,
    NotOwner,
    Full, ///< A bound on stored items is reached.
    Malformed,
};

std::string_view statusName(Status status);

struct Reply
{
    Status status = Status::Accepted;
    std::string message;
    std::optional<records::Record> current; ///< Record in force, on a conflict.
    std::optional<Answer> answer;
    std::int64_t fencing = 0; ///< Of the lease taken.
    std::int64_t position = 0; ///< Log index that holds an accepted change.
};

struct Job
{
    base::JobId id;
    base::TeamId team;
    std::string request;
    JobState state = JobState::Waiting;
    Owner owner;
    std::string result;
    int attempts = 0; ///< How often it was taken.
    std::int64_t submittedMs = 0; ///< Log time.
    std::int64_t limitMs = 0;
    std::int64_t endedAtMs = 0;
};

struct LedgerOptions
{
    std::size_t maxChangeReplies = 20'000; ///< Change ids remembered.
    std::size_t maxClaims = 200'000;
    std::size_t maxJobs = 50'000;
    base::Millis claimRetention{24LL * 3600 * 1000}; ///< Of ended claims, in log time.
    /// Of retired owners, in log time; no copy of a command is under way for longer.
    base::Millis retirementRetention{10LL * 60 * 1000};
    base::Millis releaseRetention{10LL * 60 * 1000}; ///< Of released attempts, in log time.
    base::Millis jobRetention{24LL * 3600 * 1000}; ///< Of ended jobs, in log time.
};

class Ledger
{
public:
    explicit Ledger(LedgerOptions options = {});

    /// Applies the command encoded in an entry of the log.
    Reply apply(const replog::Entry &entry);

    replog::Position position() const { return m_position; }
    /// Position of the last change of a record.
    replog::Position recordsPosition() const { return m_recordsPosition; }
    std::vector<records::Record> records() const;
    const records::Record *record(records::Kind kind, const std::string &name) const;
    /// Empty until one was put.
    const std::optional<StoredConfiguration> &configuration() const { return m_configuration; }
    const Job *job(const base::JobId &id) const;
    std::vector<const Job *> jobsOf(const base::TeamId &team) const;
    std::vector<const Job *> jobsIn(JobState state) const;
    std::size_t claimCount() const { return m_claims.size(); }
    /// Random number of this group since it was founded; 0 before. A home-scoped key
    /// "home.<data centre>.<group incarnation>.<rest>" is refused by a group of another
    /// incarnation, which cannot know whether the call ran.
    std::int64_t groupIncarnation() const { return m_groupIncarnation; }
    std::int64_t logTimeMs() const { return m_logTimeMs; }

    /// Whole state as bytes, and back; restore() fails on bytes that snapshot() did not write.
    std::string snapshot() const;
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
        base::Incarnation incarnation; ///< Of the latest start that is dead.
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
    Reply execute(const FoundGroup &command);
    Reply execute(const ReinstateOwner &command);
    Reply execute(const PutConfiguration &command);
    bool isRetired(const Owner &owner) const;
    bool isFromOtherIncarnation(const std::string &key) const;
    void expireByLogTime();
    friend struct SnapshotCodec;

    LedgerOptions m_options;
    replog::Position m_position;
    replog::Position m_recordsPosition;
    std::int64_t m_logTimeMs = 0;
    std::int64_t m_groupIncarnation = 0;
    std::int64_t m_lastFencingToken = 0;
    std::optional<StoredConfiguration> m_configuration;
    std::map<RecordKey, records::Record> m_records;
    std::map<std::string, Reply> m_repliesByChangeId;
    std::deque<std::string> m_changeIdOrder;
    std::map<ClaimKey, ClaimEntry> m_claims;
    std::map<base::JobId, Job> m_jobs;
    std::map<std::string, Lease> m_leases;
    std::map<base::HostId, Retirement> m_retirements;
};

/// Encodes a command for the log, stamped with the leader's time.
std::string encode(const Command &command, std::int64_t logTimeMs);
struct StampedCommand
{
    Command command;
    std::int64_t logTimeMs = 0;
};
std::optional<StampedCommand> decodeCommand(std::string_view bytes);

std::string encode(const Reply &reply);
std::optional<Reply> decodeReply(std::string_view bytes);

} // namespace hyssop::ledger
