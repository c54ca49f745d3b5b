#include "JobRunner.h"

#include "JobJson.h"

namespace hyssop::entry {

namespace {

constexpr base::Millis kTickInterval{250};
/// How long a control host may hold a response when there is no job.
constexpr base::Millis kOpenJobsWait{4'000};
/// Shortest time between queries that returned no job.
constexpr base::Millis kMinQueryInterval{500};
constexpr base::Millis kFinishRetryDelay{1'000};
constexpr int kMaxFinishTries = 120;
/// Timeout of a query to one control host.
constexpr base::Millis kHostQueryTimeout{1'500};
/// Time limit of jobs submitted without a deadline.
constexpr base::Millis kDefaultTimeLimit{3'600'000};
/// Largest response that the log stores.
constexpr std::size_t kMaxResultBytes = std::size_t(8) << 20;
constexpr base::Millis kRetryAfter{1'000};

caller::ErrorBody makeError(int status, std::string code, std::string message,
                            caller::Outcome outcome, base::Millis retryAfter = base::Millis(0))
{
    caller::ErrorBody error;
    error.status = status;
    error.code = std::move(code);
    error.message = std::move(message);
    error.outcome = outcome;
    error.retryAfter = retryAfter;
    return error;
}

/// Error of a submission that was not accepted.
caller::ErrorBody submitError(const tl::expected<ledger::Reply, ExecuteFailure> &reply,
                              const base::JobId &id)
{
    if (!reply && reply.error() == ExecuteFailure::MayBeRecorded)
        return makeError(503, "job_unconfirmed",
                         "the job may be recorded as " + id.text() + "; query it by its id",
                         caller::Outcome::Unknown, kRetryAfter);
    if (!reply)
        return makeError(503, "jobs_unreachable", "the log group of jobs is unreachable",
                         caller::Outcome::NotRun, kRetryAfter);
    if (reply->status == ledger::Status::Conflict)
        return makeError(409, "key_conflict", "the key was used with another job",
                         caller::Outcome::NotRun);
    if (reply->status == ledger::Status::LimitReached)
        return makeError(503, "jobs_full", "too many jobs are stored", caller::Outcome::NotRun,
                         kRetryAfter);
    return makeError(503, "job_refused", reply->message, caller::Outcome::NotRun, kRetryAfter);
}

} // namespace

class JobRunner::JobRunSink final : public ResponseSink
{
public:
    JobRunSink(JobRunner *runner, base::JobId id)
        : m_runner(runner)
        , m_id(std::move(id))
    { }

    void addTokens(const std::vector<std::string> &tokens) override
    {
        m_tokens += static_cast<std::int64_t>(tokens.size());
        for (const std::string &token : tokens)
            m_text += token;
    }

    void complete() override
    {
        if (m_text.size() > kMaxResultBytes) {
            fail(makeError(500, "prompt_too_large", "the answer is larger than 8 MiB",
                           caller::Outcome::Failed));
            return;
        }
        m_runner->perform(
                m_runner->m_scheduler.onRunCompleted(m_id, jobResultJson(m_text, m_tokens)));
    }

    void respond(const upstream::ServiceResponse &) override { }

    void fail(const caller::ErrorBody &error) override
    {
        m_runner->m_metrics->count("hyssop_job_runs_failed_total", {{"reason", error.code}});
        m_runner->perform(m_runner->m_scheduler.onRunFailed(m_id, error, base::monotonicNow()));
    }

private:
    JobRunner *m_runner;
    base::JobId m_id;
    std::string m_text;
    std::int64_t m_tokens = 0;
};

struct JobRunner::HostAnswers
{
    std::vector<std::string> answers;
    std::size_t pending = 0;
    std::size_t unreachable = 0; ///< Hosts that sent no response.
};

JobRunner::JobRunner(http::Loop *loop, ControlClient *controlClient, process::Metrics *metrics,
                     RouterDriver *routerDriver, const CallResolver *callResolver, Options options)
    : m_loop(loop)
    , m_controlClient(controlClient)
    , m_metrics(metrics)
    , m_routerDriver(routerDriver)
    , m_callResolver(callResolver)
    , m_options(std::move(options))
    , m_group("home-" + m_options.dataCentre.text())
    , m_rng(m_options.seed)
    , m_scheduler([this] {
        JobSchedulerOptions schedulerOptions;
        schedulerOptions.self = m_options.self;
        schedulerOptions.seed = m_options.seed;
        return schedulerOptions;
    }())
{ }

void JobRunner::start()
{
    tick();
}

void JobRunner::stop()
{
    perform(m_scheduler.stop());
}

void JobRunner::refreshGauges()
{
    m_metrics->set("hyssop_jobs_running", static_cast<double>(m_scheduler.runningCount()));
    m_metrics->set("hyssop_jobs_held", static_cast<double>(m_scheduler.heldCount()));
}

void JobRunner::tick()
{
    const base::TimePoint now = base::monotonicNow();
    perform(m_scheduler.tick(now));
    // A host without free slots needs only the jobs that it runs according to the log.
    const base::Millis interval = m_scheduler.freeSlots() > 0 ? kMinQueryInterval : kOpenJobsWait;
    if (!m_isQueryingOpenJobs && now - m_lastQueriedAt >= interval)
        queryOpenJobs();
    m_loop->after(kTickInterval, [this] { tick(); });
}

void JobRunner::queryOpenJobs()
{
    m_isQueryingOpenJobs = true;
    m_lastQueriedAt = base::monotonicNow();
    const std::size_t freeSlots = m_scheduler.freeSlots();
    const base::Millis wait = freeSlots > 0 ? kOpenJobsWait : base::Millis(0);
    m_controlClient->longPoll(
            "open-jobs", openJobsQueryJson(m_options.self, m_scheduler.heldIds(), freeSlots, wait),
            wait, [this](const auto &answer) { onOpenJobs(answer); });
}

void JobRunner::onOpenJobs(const std::optional<std::string> &answer)
{
    m_isQueryingOpenJobs = false;
    if (!answer)
        return;
    const JobActions actions = m_scheduler.onOpenJobs(parseOpenJobs(*answer));
    perform(actions);
    if (!actions.empty() && m_scheduler.freeSlots() > 0)
        queryOpenJobs();
}

void JobRunner::perform(const JobActions &actions)
{
    for (const JobAction &action : actions)
        std::visit([this](const auto &it) { perform(it); }, action);
}

void JobRunner::perform(const SendTakeJob &action)
{
    m_controlClient->execute(m_group, ledger::TakeJob{action.id, m_options.self},
                             [this, id = action.id](const auto &reply) {
                                 std::optional<bool> isMine;
                                 if (reply)
                                     isMine = reply->status == ledger::Status::Accepted;
                                 else if (reply.error() == ExecuteFailure::NotRecorded)
                                     isMine = false;
                                 perform(m_scheduler.onTaken(id, isMine));
                             });
}

void JobRunner::perform(const FetchJob &action)
{
    queryAllHosts("job", jobQueryJson(action.id),
                  [this, id = action.id](const HostAnswers &collected) {
                      const auto newest = latestJobAnswer(collected.answers);
                      std::optional<TakenJob> job;
                      if (newest)
                          job = parseTaken(id, *newest);
                      if (job)
                          m_takenJobs.insert_or_assign(id, *job);
                      perform(m_scheduler.onFetched(id, job, base::monotonicNow()));
                  });
}

std::optional<TakenJob> JobRunner::parseTaken(const base::JobId &id, const std::string &answer)
{
    auto job = parseTakenJob(answer, m_options.self);
    if (!job)
        return std::nullopt;
    job->id = id;
    const auto request = buildRequest(*job, base::monotonicNow());
    job->isRetrySafe = !request || request->info.isRetrySafe;
    return job;
}

tl::expected<OpenRequest, caller::ErrorBody> JobRunner::buildRequest(const TakenJob &job,
                                                                     base::TimePoint now) const
{
    const auto call = parseJobRequest(job.request);
    if (!call)
        return tl::unexpected(
                makeError(400, "bad_request", "the job cannot be read", caller::Outcome::NotRun));
    const auto resolved = m_callResolver->resolve(job.team, *call, now);
    if (!resolved)
        return tl::unexpected(resolved.error());
    OpenRequest request;
    request.info = resolved->info;
    request.body = engineRequestBody(*call, *resolved->route);
    return request;
}

void JobRunner::perform(const RunJob &action)
{
    const base::TimePoint now = base::monotonicNow();
    auto request = buildRequest(m_takenJobs.at(action.id), now);
    if (!request) {
        perform(m_scheduler.onRunFailed(action.id, request.error(), now));
        return;
    }
    request->info.id = base::RequestId("run-" + std::to_string(++m_lastRunNumber));
    request->info.deadline = action.deadline;
    request->responseSink = std::make_unique<JobRunSink>(this, action.id);
    m_runRequestIds.insert_or_assign(action.id, request->info.id);
    m_routerDriver->submit(*std::move(request));
}

void JobRunner::perform(const CancelJob &action)
{
    m_routerDriver->cancel(m_runRequestIds.at(action.id));
}

void JobRunner::perform(const SendFinishJob &action)
{
    base::logEvent("job_ends_here",
                   {{"job", action.id}, {"state", ledger::jobStateName(action.state)}});
    m_metrics->count("hyssop_jobs_ended_total",
                     {{"state", std::string(ledger::jobStateName(action.state))}});
    finish(action, 0);
}

void JobRunner::finish(const SendFinishJob &action, int tries)
{
    m_controlClient->execute(
            m_group, ledger::FinishJob{action.id, m_options.self, action.state, action.result},
            [this, action, tries](const auto &reply) {
                if (!reply && tries + 1 < kMaxFinishTries) {
                    m_loop->after(kFinishRetryDelay,
                                  [this, action, tries] { finish(action, tries + 1); });
                    return;
                }
                m_scheduler.onFinishRecorded(action.id);
                m_takenJobs.erase(action.id);
                m_runRequestIds.erase(action.id);
            });
}

base::JobId JobRunner::makeJobId(const base::TeamId &team, const std::string &key)
{
    constexpr std::size_t kUniqueChars = 24;
    // The same key gives the same job id, so a submission can be retried.
    const std::string seed = key.empty()
                                     ? std::to_string(m_rng()) + ' ' + std::to_string(m_rng()) + ' '
                                               + m_options.self.host.text() + ' '
                                               + std::to_string(m_options.self.incarnation.count())
                                     : team.text() + '\n' + key;
    const std::string unique = base::sha256Hex(seed).substr(0, kUniqueChars);
    return base::JobId("job-" + m_options.dataCentre.text() + "-" + unique);
}

void JobRunner::submit(std::shared_ptr<ResponseSink> sink, const base::TeamId &team,
                       const caller::SubmitJobCall &call)
{
    const auto resolved = m_callResolver->resolve(team, call.completion, base::monotonicNow());
    if (!resolved) {
        m_metrics->count("hyssop_refusals_total", {{"reason", resolved.error().code}});
        sink->fail(resolved.error());
        return;
    }
    ledger::SubmitJob command;
    command.id = makeJobId(team, call.head.idempotencyKey);
    command.team = team;
    command.request = jobRequestJson(call);
    command.timeLimit = call.head.deadline.value_or(kDefaultTimeLimit);
    m_controlClient->execute(m_group, command, [this, sink, id = command.id](const auto &reply) {
        if (reply && reply->status == ledger::Status::Accepted) {
            m_metrics->count("hyssop_jobs_accepted_total");
            sink->respond({202, "application/json", acceptedJobResponse(id)});
            return;
        }
        const caller::ErrorBody error = submitError(reply, id);
        m_metrics->count("hyssop_refusals_total", {{"reason", error.code}});
        sink->fail(error);
    });
}

void JobRunner::queryAllHosts(const std::string &topic, const std::string &body,
                              std::function<void(const HostAnswers &)> callback)
{
    // A hanging host delays the result by no more than the timeout.
    const auto collected = std::make_shared<HostAnswers>();
    collected->pending = m_controlClient->controlHosts().size();
    for (std::size_t n = 0; n < m_controlClient->controlHosts().size(); ++n) {
        m_controlClient->queryHost(
                n, topic, body,
                [collected, callback](const std::optional<std::string> &answer) {
                    if (answer)
                        collected->answers.push_back(*answer);
                    else
                        ++collected->unreachable;
                    if (--collected->pending == 0)
                        callback(*collected);
                },
                kHostQueryTimeout);
    }
}

void JobRunner::get(const std::shared_ptr<ResponseSink> &sink, const base::TeamId &team,
                    const base::JobId &id)
{
    queryAllHosts("job", jobQueryJson(id), [sink, team](const HostAnswers &collected) {
        const auto newest = latestJobAnswer(collected.answers);
        const auto view = newest ? jobResponse(*newest, team) : std::nullopt;
        if (view) {
            sink->respond({200, "application/json", *view});
        } else if (isConfirmedAbsent(collected.answers) || newest) {
            // A job of another team is reported like a job that does not exist.
            sink->fail(makeError(404, "unknown_job", "the team has no such job",
                                 caller::Outcome::NotRun));
        } else {
            sink->fail(makeError(503, "job_unreachable",
                                 "the control hosts that store the job are unreachable",
                                 caller::Outcome::Unknown, kRetryAfter));
        }
    });
}

void JobRunner::list(const std::shared_ptr<ResponseSink> &sink, const base::TeamId &team)
{
    queryAllHosts("jobs", jobListQueryJson(team), [sink](const HostAnswers &collected) {
        sink->respond({200, "application/json",
                       jobListResponse(collected.answers, collected.unreachable)});
    });
}

} // namespace hyssop::entry
