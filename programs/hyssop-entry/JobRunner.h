#pragma once

#include "CallResolver.h"
#include "ControlClient.h"
#include "JobScheduler.h"
#include "RouterDriver.h"

#include <functional>

namespace hyssop::entry {

/// Records submitted jobs in the log of this data centre, serves queries on jobs, and runs waiting
/// jobs. Belongs to the loop's thread.
class JobRunner
{
public:
    struct Options
    {
        ledger::Owner self;
        base::DataCentreId dataCentre;
        std::uint64_t seed = 1;
    };

    JobRunner(http::Loop *loop, ControlClient *controlClient, process::Metrics *metrics,
              RouterDriver *routerDriver, const CallResolver *callResolver, Options options);

    /// Starts to poll for waiting jobs.
    void start();
    /// Returns the jobs of this host to the queue.
    void stop();
    /// Whether no job is held.
    bool isIdle() const { return m_scheduler.isEmpty(); }
    void refreshGauges();

    // Calls of callers; the response goes to the given sink.
    void submit(std::shared_ptr<ResponseSink> sink, const base::TeamId &team,
                const caller::SubmitJobCall &call);
    void get(const std::shared_ptr<ResponseSink> &sink, const base::TeamId &team,
             const base::JobId &id);
    void list(const std::shared_ptr<ResponseSink> &sink, const base::TeamId &team);

private:
    /// Collects the response of a run.
    class JobRunSink;
    /// Responses of all control hosts to one query.
    struct HostAnswers;

    void tick();
    void queryOpenJobs();
    void onOpenJobs(const std::optional<std::string> &answer);
    void perform(const JobActions &actions);
    void perform(const SendTakeJob &action);
    void perform(const FetchJob &action);
    void perform(const RunJob &action);
    void perform(const CancelJob &action);
    void perform(const SendFinishJob &action);
    void finish(const SendFinishJob &action, int tries);
    void queryAllHosts(const std::string &topic, const std::string &body,
                       std::function<void(const HostAnswers &)> callback);
    std::optional<TakenJob> parseTaken(const base::JobId &id, const std::string &answer);
    tl::expected<OpenRequest, caller::ErrorBody> buildRequest(const TakenJob &job,
                                                              base::TimePoint now) const;
    base::JobId makeJobId(const base::TeamId &team, const std::string &key);

    http::Loop *m_loop;
    ControlClient *m_controlClient;
    process::Metrics *m_metrics;
    RouterDriver *m_routerDriver;
    const CallResolver *m_callResolver;
    Options m_options;
    std::string m_group;
    base::Rng m_rng;
    JobScheduler m_scheduler;
    bool m_isQueryingOpenJobs = false;
    base::TimePoint m_lastQueriedAt; ///< When control hosts were last queried for open jobs.
    std::int64_t m_lastRunNumber = 0;
    std::map<base::JobId, TakenJob> m_takenJobs;
    std::map<base::JobId, base::RequestId> m_runRequestIds;
};

} // namespace hyssop::entry
