#pragma once

#include "JobScheduler.h"

namespace hyssop::entry {

// JSON forms of jobs: in the log, in queries of control hosts, and in answers to callers.

/// What the log keeps of a submission, and the call read back from it.
std::string jobRequestJson(const caller::SubmitJobCall &call);
std::optional<caller::CompletionCall> jobCall(const std::string &request);

/// What the log keeps of a whole answer.
std::string jobResultJson(const std::string &text, std::int64_t tokens);

std::string jobQueryJson(const base::JobId &id);
std::string jobListQueryJson(const base::TeamId &team);

/// Asks for jobs to take, answered within \a wait; \a room 0: only for those that \a self runs by
/// the log without holding them.
std::string openJobsQueryJson(const ledger::Owner &self, const std::vector<base::JobId> &held,
                              std::size_t freeSlots, base::Millis wait);
std::vector<OpenJob> openJobsFrom(const std::string &answer);
/// Of several answers to a job's query, the one that is furthest in the log and holds the job.
std::optional<std::string> newestJob(const std::vector<std::string> &answers);
/// Whether a control host that is up to date has no such job.
bool isKnownAbsent(const std::vector<std::string> &answers);
/// The job, if it runs and \a self has taken it.
std::optional<TakenJob> takenJobFrom(const std::string &answer, const ledger::Owner &self);

/// Answers to callers. A job of another team gives none.
std::string acceptedJobResponse(const base::JobId &id);
std::optional<std::string> jobView(const std::string &answer, const base::TeamId &team);
std::string jobList(const std::vector<std::string> &answers, std::size_t unreachableHosts);

} // namespace hyssop::entry
