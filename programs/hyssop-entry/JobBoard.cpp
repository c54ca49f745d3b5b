#include "JobBoard.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace hyssop::entry {

namespace {

constexpr base::Millis kFirstRest{200};
constexpr base::Millis kMaxRest{10'000};

/// Codes of errors that a later run would meet again.
bool isLasting(const std::string &code)
{
    static constexpr std::array kLasting{
            std::string_view("unknown_team"), std::string_view("unknown_route"),
            std::string_view("team_not_allowed"), std::string_view("prompt_too_large"),
            std::string_view("bad_request")};
    return std::find(kLasting.begin(), kLasting.end(), code) != kLasting.end();
}

std::string reasonOf(const caller::ErrorBody &error)
{
    return error.message.empty() ? error.code : error.code + ": " + error.message;
}

} // namespace

JobBoard::JobBoard(JobBoardOptions options)
    : m_options(std::move(options))
    , m_rng(m_options.seed)
{ }

std::size_t JobBoard::running() const
{
    return static_cast<std::size_t>(std::count_if(m_held.begin(), m_held.end(), [](const auto &it) {
        return it.second.state != State::Resting;
    }));
}

std::vector<base::JobId> JobBoard::heldIds() const
{
    std::vector<base::JobId> ids;
    ids.reserve(m_held.size());
    for (const auto &[id, held] : m_held)
        ids.push_back(id);
    return ids;
}

std::size_t JobBoard::room() const
{
    if (m_isStopping || running() >= m_options.maxRunning || m_held.size() >= m_options.maxHeld)
        return 0;
    return std::min(m_options.maxRunning - running(), m_options.maxHeld - m_held.size());
}

JobActions JobBoard::onOpenJobs(const std::vector<OpenJob> &jobs)
{
    JobActions actions;
    std::vector<base::JobId> waiting;
    for (const OpenJob &job : jobs) {
        if (m_held.contains(job.id))
            continue;
        if (job.state == ledger::JobState::Waiting) {
            waiting.push_back(job.id);
        } else if (job.owner == m_options.self) {
            // A command to take it arrived after it was given up here.
            m_held[job.id].state = State::Finishing;
            actions.push_back(SendFinishJob{job.id, ledger::JobState::Waiting, {}});
        }
    }
    if (m_isStopping)
        return actions;
    // Hosts look at the same list; a drawn order keeps them from racing for the same jobs.
    std::shuffle(waiting.begin(), waiting.end(), m_rng);
    for (const base::JobId &id : waiting) {
        if (running() >= m_options.maxRunning || m_held.size() >= m_options.maxHeld)
            break;
        m_held[id].state = State::Taking;
        actions.push_back(SendTake{id});
    }
    return actions;
}

JobActions JobBoard::onTaken(const base::JobId &id, std::optional<bool> isMine)
{
    const auto it = m_held.find(id);
    if (it == m_held.end() || it->second.state != State::Taking)
        return {};
    if (isMine && !*isMine) {
        m_held.erase(it);
        return {};
    }
    // Handing over a job that was not taken changes nothing.
    if (!isMine || m_isStopping)
        return finish(id, ledger::JobState::Waiting, {});
    it->second.state = State::Fetching;
    return {FetchJob{id}};
}

JobActions JobBoard::onFetched(const base::JobId &id, const std::optional<TakenJob> &job,
                               base::TimePoint now)
{
    const auto it = m_held.find(id);
    if (it == m_held.end() || it->second.state != State::Fetching)
        return {};
    if (!job || m_isStopping)
        return finish(id, ledger::JobState::Waiting, {});
    if (job->attempts > m_options.maxAttempts)
        return finish(id, ledger::JobState::Failed,
                      "too_many_attempts: the hosts that ran it did not finish");
    if (job->attempts > 1 && !job->mayRepeat)
        return finish(
                id, ledger::JobState::Failed,
                "outcome_unknown: an earlier attempt may have run, and it may not be repeated");
    if (job->remaining <= base::Millis(0))
        return finish(id, ledger::JobState::Failed, "out_of_time");
    Held &held = it->second;
    held.job = *job;
    held.deadline = now + job->remaining;
    held.state = State::Running;
    return {RunJob{id, held.deadline}};
}

JobActions JobBoard::onAnswered(const base::JobId &id, std::string result)
{
    const auto it = m_held.find(id);
    if (it == m_held.end() || it->second.state != State::Running)
        return {};
    return finish(id, ledger::JobState::Done, std::move(result));
}

JobActions JobBoard::onFailed(const base::JobId &id, const caller::ErrorBody &error,
                              base::TimePoint now)
{
    const auto it = m_held.find(id);
    if (it == m_held.end() || it->second.state != State::Running)
        return {};
    Held &held = it->second;
    if (now >= held.deadline)
        return finish(id, ledger::JobState::Failed, "out_of_time");
    if (isLasting(error.code))
        return finish(id, ledger::JobState::Failed, reasonOf(error));
    if (error.outcome == caller::Outcome::NotRun)
        return rest(held, error.retryAfter, now);
    ++held.tries;
    if (!held.job.mayRepeat || held.tries >= m_options.maxTries)
        return finish(id, ledger::JobState::Failed, reasonOf(error));
    return rest(held, error.retryAfter, now);
}

JobActions JobBoard::rest(Held &held, base::Millis retryAfter, base::TimePoint now)
{
    const auto backoff = std::min(kMaxRest, kFirstRest * (1 << std::min(held.rests, 6)));
    ++held.rests;
    held.state = State::Resting;
    held.restsUntil = std::min(now + std::max(retryAfter, backoff), held.deadline);
    return {};
}

void JobBoard::onFinished(const base::JobId &id)
{
    m_held.erase(id);
}

JobActions JobBoard::tick(base::TimePoint now)
{
    JobActions actions;
    for (auto &[id, held] : m_held) {
        if (held.state != State::Resting || held.restsUntil > now)
            continue;
        if (now >= held.deadline) {
            held.state = State::Finishing;
            actions.push_back(SendFinishJob{id, ledger::JobState::Failed, "out_of_time"});
        } else if (running() < m_options.maxRunning) {
            held.state = State::Running;
            actions.push_back(RunJob{id, held.deadline});
        }
    }
    return actions;
}

JobActions JobBoard::stop()
{
    m_isStopping = true;
    JobActions actions;
    for (auto &[id, held] : m_held) {
        const bool isRunning = held.state == State::Running;
        if (!isRunning && held.state != State::Resting)
            continue;
        held.state = State::Finishing;
        if (isRunning)
            actions.push_back(CancelJob{id});
        actions.push_back(SendFinishJob{id, ledger::JobState::Waiting, {}});
    }
    return actions;
}

JobActions JobBoard::finish(const base::JobId &id, ledger::JobState state, std::string result)
{
    m_held[id].state = State::Finishing;
    return {SendFinishJob{id, state, std::move(result)}};
}

} // namespace hyssop::entry
