#include "JobScheduler.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace hyssop::entry {

namespace {

constexpr base::Millis kFirstBackoff{200};
constexpr base::Millis kMaxBackoff{10'000};

/// Whether a later run would fail with the same error code.
bool isPermanentError(const std::string &code)
{
    static constexpr std::array kPermanentErrors{
            std::string_view("unknown_team"), std::string_view("unknown_route"),
            std::string_view("team_not_allowed"), std::string_view("prompt_too_large"),
            std::string_view("bad_request")};
    return std::find(kPermanentErrors.begin(), kPermanentErrors.end(), code)
           != kPermanentErrors.end();
}

std::string failureReason(const caller::ErrorBody &error)
{
    return error.message.empty() ? error.code : error.code + ": " + error.message;
}

} // namespace

JobScheduler::JobScheduler(JobSchedulerOptions options)
    : m_options(std::move(options))
    , m_rng(m_options.seed)
{ }

std::size_t JobScheduler::runningCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_heldJobs.begin(), m_heldJobs.end(),
                          [](const auto &it) { return it.second.state != State::BackingOff; }));
}

std::vector<base::JobId> JobScheduler::heldIds() const
{
    std::vector<base::JobId> ids;
    ids.reserve(m_heldJobs.size());
    for (const auto &[id, held] : m_heldJobs)
        ids.push_back(id);
    return ids;
}

std::size_t JobScheduler::freeSlots() const
{
    if (m_isStopping || runningCount() >= m_options.maxRunning
        || m_heldJobs.size() >= m_options.maxHeld)
        return 0;
    return std::min(m_options.maxRunning - runningCount(), m_options.maxHeld - m_heldJobs.size());
}

JobActions JobScheduler::onOpenJobs(const std::vector<OpenJob> &jobs)
{
    JobActions actions;
    std::vector<base::JobId> waiting;
    for (const OpenJob &job : jobs) {
        if (m_heldJobs.contains(job.id))
            continue;
        if (job.state == ledger::JobState::Waiting) {
            waiting.push_back(job.id);
        } else if (job.owner == m_options.self) {
            // The take command took effect after this host had returned the job.
            m_heldJobs[job.id].state = State::Finishing;
            actions.push_back(SendFinishJob{job.id, ledger::JobState::Waiting, {}});
        }
    }
    if (m_isStopping)
        return actions;
    // All hosts see the same list; a random order keeps them from racing for the same jobs.
    std::shuffle(waiting.begin(), waiting.end(), m_rng);
    for (const base::JobId &id : waiting) {
        if (runningCount() >= m_options.maxRunning || m_heldJobs.size() >= m_options.maxHeld)
            break;
        m_heldJobs[id].state = State::Taking;
        actions.push_back(SendTakeJob{id});
    }
    return actions;
}

JobActions JobScheduler::onTaken(const base::JobId &id, std::optional<bool> isMine)
{
    const auto it = m_heldJobs.find(id);
    if (it == m_heldJobs.end() || it->second.state != State::Taking)
        return {};
    if (isMine && !*isMine) {
        m_heldJobs.erase(it);
        return {};
    }
    // Returning a job that was not taken has no effect.
    if (!isMine || m_isStopping)
        return finish(id, ledger::JobState::Waiting, {});
    it->second.state = State::Fetching;
    return {FetchJob{id}};
}

JobActions JobScheduler::onFetched(const base::JobId &id, const std::optional<TakenJob> &job,
                                   base::TimePoint now)
{
    const auto it = m_heldJobs.find(id);
    if (it == m_heldJobs.end() || it->second.state != State::Fetching)
        return {};
    if (!job || m_isStopping)
        return finish(id, ledger::JobState::Waiting, {});
    if (job->attempts > m_options.maxAttempts)
        return finish(id, ledger::JobState::Failed,
                      "too_many_attempts: the hosts that ran it did not finish");
    if (job->attempts > 1 && !job->isRetrySafe)
        return finish(
                id, ledger::JobState::Failed,
                "outcome_unknown: an earlier attempt may have run, and it may not be repeated");
    if (job->remaining <= base::Millis(0))
        return finish(id, ledger::JobState::Failed, "out_of_time");
    HeldJob &held = it->second;
    held.job = *job;
    held.deadline = now + job->remaining;
    held.state = State::Running;
    return {RunJob{id, held.deadline}};
}

JobActions JobScheduler::onRunCompleted(const base::JobId &id, std::string result)
{
    const auto it = m_heldJobs.find(id);
    if (it == m_heldJobs.end() || it->second.state != State::Running)
        return {};
    return finish(id, ledger::JobState::Done, std::move(result));
}

JobActions JobScheduler::onRunFailed(const base::JobId &id, const caller::ErrorBody &error,
                                     base::TimePoint now)
{
    const auto it = m_heldJobs.find(id);
    if (it == m_heldJobs.end() || it->second.state != State::Running)
        return {};
    HeldJob &held = it->second;
    if (now >= held.deadline)
        return finish(id, ledger::JobState::Failed, "out_of_time");
    if (isPermanentError(error.code))
        return finish(id, ledger::JobState::Failed, failureReason(error));
    if (error.outcome == caller::Outcome::NotRun)
        return backOff(held, error.retryAfter, now);
    ++held.failedRuns;
    if (!held.job.isRetrySafe || held.failedRuns >= m_options.maxFailedRuns)
        return finish(id, ledger::JobState::Failed, failureReason(error));
    return backOff(held, error.retryAfter, now);
}

JobActions JobScheduler::backOff(HeldJob &held, base::Millis retryAfter, base::TimePoint now)
{
    const auto backoff = std::min(kMaxBackoff, kFirstBackoff * (1 << std::min(held.backoffs, 6)));
    ++held.backoffs;
    held.state = State::BackingOff;
    held.retryAt = std::min(now + std::max(retryAfter, backoff), held.deadline);
    return {};
}

void JobScheduler::onFinishRecorded(const base::JobId &id)
{
    m_heldJobs.erase(id);
}

JobActions JobScheduler::tick(base::TimePoint now)
{
    JobActions actions;
    for (auto &[id, held] : m_heldJobs) {
        if (held.state != State::BackingOff || held.retryAt > now)
            continue;
        if (now >= held.deadline) {
            held.state = State::Finishing;
            actions.push_back(SendFinishJob{id, ledger::JobState::Failed, "out_of_time"});
        } else if (runningCount() < m_options.maxRunning) {
            held.state = State::Running;
            actions.push_back(RunJob{id, held.deadline});
        }
    }
    return actions;
}

JobActions JobScheduler::stop()
{
    m_isStopping = true;
    JobActions actions;
    for (auto &[id, held] : m_heldJobs) {
        const bool isRunning = held.state == State::Running;
        if (!isRunning && held.state != State::BackingOff)
            continue;
        held.state = State::Finishing;
        if (isRunning)
            actions.push_back(CancelJob{id});
        actions.push_back(SendFinishJob{id, ledger::JobState::Waiting, {}});
    }
    return actions;
}

JobActions JobScheduler::finish(const base::JobId &id, ledger::JobState state, std::string result)
{
    m_heldJobs[id].state = State::Finishing;
    return {SendFinishJob{id, state, std::move(result)}};
}

} // namespace hyssop::entry
