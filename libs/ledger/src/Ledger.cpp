#include "ledger/Ledger.h"

#include <charconv>

namespace hyssop::ledger {

namespace {

Reply makeReply(Status status, std::string message = {})
{
    Reply reply;
    reply.status = status;
    reply.message = std::move(message);
    return reply;
}

bool hasEnded(JobState state)
{
    return state == JobState::Done || state == JobState::Failed;
}

} // namespace

std::optional<HomeScope> parseHomeScope(std::string_view key)
{
    constexpr std::string_view kPrefix = "home.";
    if (!key.starts_with(kPrefix))
        return std::nullopt;
    key.remove_prefix(kPrefix.size());
    const auto dataCentreEnd = key.find('.');
    if (dataCentreEnd == 0 || dataCentreEnd == std::string_view::npos)
        return std::nullopt;
    const auto incarnationEnd = key.find('.', dataCentreEnd + 1);
    if (incarnationEnd == std::string_view::npos || incarnationEnd + 1 == key.size())
        return std::nullopt;
    HomeScope scope{base::DataCentreId(std::string(key.substr(0, dataCentreEnd)))};
    const char *const numberEnd = key.data() + incarnationEnd;
    const auto [parsed, ec] =
            std::from_chars(key.data() + dataCentreEnd + 1, numberEnd, scope.incarnation);
    if (ec != std::errc() || parsed != numberEnd)
        return std::nullopt;
    return scope;
}

bool isSafeToResend(const Command &command)
{
    if (const auto *claim = std::get_if<Claim>(&command))
        return !claim->attemptId.empty();
    if (const auto *release = std::get_if<ReleaseClaim>(&command))
        return !release->attemptId.empty();
    // PutRecord is deduplicated by change id. The other commands are idempotent.
    return true;
}

std::string_view jobStateName(JobState state)
{
    switch (state) {
    case JobState::Waiting:
        return "waiting";
    case JobState::Running:
        return "running";
    case JobState::Done:
        return "done";
    case JobState::Failed:
        return "failed";
    }
    return "unknown";
}

std::string_view statusName(Status status)
{
    switch (status) {
    case Status::Accepted:
        return "accepted";
    case Status::Conflict:
        return "conflict";
    case Status::Pending:
        return "pending";
    case Status::Answered:
        return "answered";
    case Status::OutcomeUnknown:
        return "outcome_unknown";
    case Status::NotFound:
        return "not_found";
    case Status::NotOwner:
        return "not_owner";
    case Status::LimitReached:
        return "full";
    case Status::Malformed:
        return "malformed";
    }
    return "unknown";
}

Ledger::Ledger(LedgerOptions options)
    : m_options(options)
{ }

Reply Ledger::apply(const replog::Entry &entry)
{
    m_position = entry.position;
    if (entry.kind != replog::EntryKind::Command)
        return makeReply(Status::Accepted);
    const auto stamped = decodeCommand(entry.payload);
    if (!stamped)
        return makeReply(Status::Malformed);
    m_logTimeMs = std::max(m_logTimeMs, stamped->logTimeMs);
    expireByLogTime();
    return std::visit([this](const auto &command) { return execute(command); }, stamped->command);
}

Reply Ledger::execute(const PutRecord &command)
{
    if (const auto it = m_repliesByChangeId.find(command.changeId); it != m_repliesByChangeId.end())
        return it->second;
    const RecordKey key{command.record.kind, command.record.name};
    const auto current = m_records.find(key);
    const records::Version currentVersion =
            current == m_records.end() ? records::Version() : current->second.version;
    Reply reply;
    if (current != m_records.end() && current->second == command.record) {
        reply = makeReply(Status::Accepted, "already in force");
    } else if (currentVersion != command.expectedVersion
               || command.record.version <= currentVersion) {
        reply = makeReply(Status::Conflict, "another version is in force");
        if (current != m_records.end())
            reply.currentRecord = current->second;
    } else {
        m_records[key] = command.record;
        m_recordsPosition = m_position;
    }
    if (reply.status == Status::Accepted)
        reply.logIndex = m_recordsPosition.index.count();
    m_repliesByChangeId.emplace(command.changeId, reply);
    m_changeIdOrder.push_back(command.changeId);
    if (m_changeIdOrder.size() > m_options.maxChangeReplies) {
        m_repliesByChangeId.erase(m_changeIdOrder.front());
        m_changeIdOrder.pop_front();
    }
    return reply;
}

bool Ledger::isFromOtherIncarnation(const std::string &key) const
{
    const std::optional<HomeScope> scope = parseHomeScope(key);
    return scope && scope->incarnation != m_groupIncarnation;
}

Reply Ledger::execute(const Claim &command)
{
    if (isFromOtherIncarnation(command.key))
        return makeReply(Status::Conflict, "scope");
    const ClaimKey key{command.team, command.key};
    const auto it = m_claims.find(key);
    const bool isFree = it == m_claims.end() || it->second.state == ClaimState::Released;
    if (isFree && isRetired(command.owner))
        return makeReply(Status::NotOwner, std::string(kOwnerRetiredMessage));
    if (it == m_claims.end()) {
        if (m_claims.size() >= m_options.maxClaims)
            return makeReply(Status::LimitReached, "the limit of stored claims is reached");
        m_claims.emplace(key, ClaimEntry{command.requestDigest,
                                         command.owner,
                                         command.attemptId,
                                         ClaimState::Held,
                                         {},
                                         0});
        return makeReply(Status::Accepted);
    }
    ClaimEntry &claim = it->second;
    if (claim.state == ClaimState::Released) {
        const bool isReleasedAttempt =
                claim.owner == command.owner && claim.attempt == command.attemptId;
        if (isReleasedAttempt && !command.attemptId.empty())
            return makeReply(Status::NotOwner, "the attempt was released");
        claim = ClaimEntry{
                command.requestDigest, command.owner, command.attemptId, ClaimState::Held, {}, 0};
        return makeReply(Status::Accepted);
    }
    if (claim.digest != command.requestDigest)
        return makeReply(Status::Conflict, "the key was used with another request");
    if (claim.state == ClaimState::Unknown)
        return makeReply(Status::OutcomeUnknown);
    if (claim.state == ClaimState::Held) {
        const bool isSameAttempt = !command.attemptId.empty() && claim.owner == command.owner
                                   && claim.attempt == command.attemptId;
        return makeReply(isSameAttempt ? Status::Accepted : Status::Pending);
    }
    Reply reply = makeReply(Status::Answered);
    reply.answer = claim.answer;
    return reply;
}

Reply Ledger::execute(const ReleaseClaim &command)
{
    const ClaimKey key{command.team, command.key};
    const auto it = m_claims.find(key);
    const bool isKnown = it != m_claims.end();
    if (isKnown && (it->second.owner != command.owner || it->second.attempt != command.attemptId))
        return makeReply(Status::NotOwner);
    if (isKnown && it->second.state == ClaimState::Released)
        return makeReply(Status::Accepted);
    if (isKnown && it->second.state != ClaimState::Held)
        return makeReply(Status::NotOwner);
    const bool hasRoom = isKnown || m_claims.size() < m_options.maxClaims;
    if (command.attemptId.empty() || !hasRoom) {
        m_claims.erase(key);
        return makeReply(isKnown ? Status::Accepted : Status::NotFound);
    }
    // The released attempt is kept for a while so that a delayed copy of its claim is rejected.
    m_claims[key] =
            ClaimEntry{{}, command.owner, command.attemptId, ClaimState::Released, {}, m_logTimeMs};
    return makeReply(isKnown ? Status::Accepted : Status::NotFound);
}

Reply Ledger::execute(const FinishClaim &command)
{
    const auto it = m_claims.find({command.team, command.key});
    if (it == m_claims.end())
        return makeReply(Status::NotFound);
    if (it->second.owner != command.owner || it->second.attempt != command.attemptId)
        return makeReply(Status::NotOwner);
    // An owner that was retired by mistake may still report the actual outcome.
    if (it->second.state == ClaimState::Answered)
        return makeReply(Status::Accepted);
    it->second.state = command.answer ? ClaimState::Answered : ClaimState::Unknown;
    it->second.answer = command.answer;
    it->second.endedAtMs = m_logTimeMs;
    return makeReply(Status::Accepted);
}

bool Ledger::isRetired(const Owner &owner) const
{
    const auto it = m_retirements.find(owner.host);
    return it != m_retirements.end() && owner.incarnation <= it->second.incarnation;
}

Reply Ledger::execute(const ReinstateOwner &command)
{
    if (isRetired(command.owner))
        m_retirements.erase(command.owner.host);
    return makeReply(Status::Accepted);
}

Reply Ledger::execute(const RetireOwner &command)
{
    if (!isRetired(command.owner))
        m_retirements[command.owner.host].incarnation = command.owner.incarnation;
    m_retirements[command.owner.host].retiredAtMs = m_logTimeMs;
    for (auto &[key, claim] : m_claims) {
        if (!isRetired(claim.owner) || claim.state != ClaimState::Held)
            continue;
        claim.state = ClaimState::Unknown;
        claim.endedAtMs = m_logTimeMs;
    }
    for (auto &[id, job] : m_jobs) {
        if (isRetired(job.owner) && job.state == JobState::Running)
            job.state = JobState::Waiting;
    }
    return makeReply(Status::Accepted);
}

Reply Ledger::execute(const SubmitJob &command)
{
    if (const auto it = m_jobs.find(command.id); it != m_jobs.end()) {
        const bool isSameJob =
                it->second.request == command.request && it->second.team == command.team;
        return makeReply(isSameJob ? Status::Accepted : Status::Conflict);
    }
    if (m_jobs.size() >= m_options.maxJobs)
        return makeReply(Status::LimitReached, "the limit of stored jobs is reached");
    Job job;
    job.id = command.id;
    job.team = command.team;
    job.request = command.request;
    job.submittedAtMs = m_logTimeMs;
    job.timeLimitMs = command.timeLimit.count();
    m_jobs.emplace(command.id, std::move(job));
    return makeReply(Status::Accepted);
}

Reply Ledger::execute(const TakeJob &command)
{
    const auto it = m_jobs.find(command.id);
    if (it == m_jobs.end())
        return makeReply(Status::NotFound);
    Job &job = it->second;
    if (job.state == JobState::Running && job.owner == command.owner)
        return makeReply(Status::Accepted);
    if (isRetired(command.owner))
        return makeReply(Status::NotOwner, std::string(kOwnerRetiredMessage));
    if (job.state != JobState::Waiting)
        return makeReply(Status::Conflict, std::string(jobStateName(job.state)));
    job.state = JobState::Running;
    job.owner = command.owner;
    ++job.attemptCount;
    return makeReply(Status::Accepted);
}

Reply Ledger::execute(const FinishJob &command)
{
    const auto it = m_jobs.find(command.id);
    if (it == m_jobs.end())
        return makeReply(Status::NotFound);
    Job &job = it->second;
    if (hasEnded(job.state))
        return makeReply(job.state == command.state ? Status::Accepted : Status::Conflict);
    if (job.state != JobState::Running || job.owner != command.owner)
        return makeReply(Status::NotOwner);
    job.state = command.state;
    job.result = command.result;
    job.endedAtMs = hasEnded(command.state) ? m_logTimeMs : 0;
    return makeReply(Status::Accepted);
}

Reply Ledger::execute(const TakeLease &command)
{
    Lease &lease = m_leases[command.name];
    const bool isHeld = m_logTimeMs < lease.expiresAtMs;
    if (isHeld && lease.owner != command.owner)
        return makeReply(Status::Conflict, lease.owner.host.text());
    if (!isHeld || lease.owner != command.owner)
        lease.fencing = ++m_lastFencingToken;
    lease.owner = command.owner;
    lease.expiresAtMs = m_logTimeMs + command.duration.count();
    Reply reply = makeReply(Status::Accepted);
    reply.fencingToken = lease.fencing;
    return reply;
}

Reply Ledger::execute(const InitializeGroup &command)
{
    if (m_groupIncarnation == 0)
        m_groupIncarnation = command.incarnation;
    return makeReply(Status::Accepted);
}

Reply Ledger::execute(const PutConfiguration &command)
{
    if (!m_configuration || command.version > m_configuration->version)
        m_configuration = StoredConfiguration{command.version, command.text, m_position};
    Reply reply = makeReply(Status::Accepted);
    reply.logIndex = m_configuration->position.index.count();
    return reply;
}

Reply Ledger::execute(const PutCrashSuspects &command)
{
    if (command.text.size() > kMaxCrashSuspectsBytes)
        return makeReply(Status::LimitReached, "the text is too long");
    m_crashSuspects.reset();
    if (!command.text.empty())
        m_crashSuspects = StoredCrashSuspects{command.text, m_logTimeMs};
    return makeReply(Status::Accepted);
}

void Ledger::expireByLogTime()
{
    if (m_crashSuspects
        && m_crashSuspects->storedAtMs + m_options.crashSuspectsRetention.count() < m_logTimeMs)
        m_crashSuspects.reset();
    const std::int64_t claimCutoffMs = m_logTimeMs - m_options.claimRetention.count();
    const std::int64_t releaseCutoffMs = m_logTimeMs - m_options.releaseRetention.count();
    std::erase_if(m_claims, [claimCutoffMs, releaseCutoffMs](const auto &it) {
        const bool isReleased = it.second.state == ClaimState::Released;
        return it.second.state != ClaimState::Held
               && it.second.endedAtMs < (isReleased ? releaseCutoffMs : claimCutoffMs);
    });
    const std::int64_t retirementCutoffMs = m_logTimeMs - m_options.retirementRetention.count();
    std::erase_if(m_retirements, [this, retirementCutoffMs](const auto &it) {
        if (it.second.retiredAtMs >= retirementCutoffMs)
            return false;
        forgetStart({it.first, it.second.incarnation});
        return true;
    });
    const std::int64_t jobCutoffMs = m_logTimeMs - m_options.jobRetention.count();
    for (auto &[id, job] : m_jobs) {
        if (hasEnded(job.state) || job.timeLimitMs == 0
            || m_logTimeMs < job.submittedAtMs + job.timeLimitMs)
            continue;
        job.state = JobState::Failed;
        job.result = "out_of_time";
        job.endedAtMs = m_logTimeMs;
    }
    std::erase_if(m_jobs, [jobCutoffMs](const auto &it) {
        return hasEnded(it.second.state) && it.second.endedAtMs < jobCutoffMs;
    });
}

std::vector<records::Record> Ledger::records() const
{
    std::vector<records::Record> all;
    all.reserve(m_records.size());
    for (const auto &[key, record] : m_records)
        all.push_back(record);
    return all;
}

const records::Record *Ledger::record(records::Kind kind, const std::string &name) const
{
    const auto it = m_records.find({kind, name});
    return it == m_records.end() ? nullptr : &it->second;
}

const Job *Ledger::job(const base::JobId &id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

std::vector<const Job *> Ledger::jobsOfTeam(const base::TeamId &team) const
{
    std::vector<const Job *> jobs;
    for (const auto &[id, job] : m_jobs) {
        if (job.team == team)
            jobs.push_back(&job);
    }
    return jobs;
}

std::vector<const Job *> Ledger::jobsInState(JobState state) const
{
    std::vector<const Job *> jobs;
    for (const auto &[id, job] : m_jobs) {
        if (job.state == state)
            jobs.push_back(&job);
    }
    return jobs;
}

} // namespace hyssop::ledger
