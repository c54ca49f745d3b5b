#pragma once

#include "JobScheduler.h"

namespace hyssop::entry {

// JSON of jobs in the log, in queries to control hosts, and in responses to callers.

/// Encodes a submission for the log, and decodes the call from it.
std::string jobRequestJson(const caller::SubmitJobCall &call);
std::optional<caller::CompletionCall> parseJobRequest(const std::string &request);

/// Encodes a completed response for the log; \a tokens is its length.
std::string jobResultJson(const std::string &text, std::int64_t tokens);

std::string jobQueryJson(const base::JobId &id);
std::string jobListQueryJson(const base::TeamId &team);

/// Query for jobs to take, which is held for up to \a wait. With \a freeSlots 0 it returns only
/// jobs that \a self runs according to the log but that are not in \a held.
std::string openJobsQueryJson(const ledger::Owner &self, const std::vector<base::JobId> &held,
                              std::size_t freeSlots, base::Millis wait);
std::vector<OpenJob> parseOpenJobs(const std::string &answer);
/// Of several responses to a job query, the one with the job at the highest log index.
std::optional<std::string> latestJobAnswer(const std::vector<std::string> &answers);
/// Whether an up-to-date control host reports that the job does not exist.
bool isConfirmedAbsent(const std::vector<std::string> &answers);
/// Returns the job if it is running and owned by \a self.
std::optional<TakenJob> parseTakenJob(const std::string &answer, const ledger::Owner &self);

/// Responses to callers. jobResponse() returns nothing for a job of another team.
std::string acceptedJobResponse(const base::JobId &id);
std::optional<std::string> jobResponse(const std::string &answer, const base::TeamId &team);
std::string jobListResponse(const std::vector<std::string> &answers, std::size_t unreachableHosts);

} // namespace hyssop::entry
