#pragma once

#include "JobWatches.h"
#include "ledger/Ledger.h"
#include "operators/Operators.h"
#include "peers/Peers.h"

namespace hyssop::control {

/// A group of this host, as a query reads it.
struct GroupView
{
    std::string name;
    const ledger::Ledger *ledger = nullptr;
    bool isConfirmed = false; ///< Nothing newer was committed elsewhere.
};

/// What queries read. Nothing in it changes while one is answered.
struct QueryView
{
    base::HostId host;
    base::DataCentreId dataCentre;
    std::vector<GroupView> groups;
    std::vector<operators::HostStatus> entryHosts; ///< Entry hosts that watch the records here.
};

/// Answers a query by its topic; empty text when this host cannot tell.
///
/// Topics and bodies, all JSON:
/// - "job" {id}: {found, confirmed, index, job};
/// - "jobs" {team}: {groups: [{name, confirmed}], jobs}, without requests and results;
/// - "open-jobs" {}: jobs of this data centre that wait or run, the longest waiting first. With
///   {host, incarnation, held, room, waitMs} it is a watch: see jobWatchFrom();
/// - "scope" {dataCentre}: {incarnation, confirmed} of its home group, the first as text;
/// - "reporters" {}: {host, dataCentre, hosts: [{host, dataCentre, position, ageMs}]}.
/// The watch that a query asks for; empty when it is none.
std::optional<JobWatch> parseJobWatch(const peers::QueryRequest &request, base::TimePoint now);
/// The longest waiting first.
std::vector<const ledger::Job *> waitingJobs(const ledger::Ledger &ledger);
std::string jobListAnswer(const std::vector<const ledger::Job *> &jobs, const GroupView &group);

/// What another control host answers to "reporters"; empty when it cannot be read.
std::vector<operators::HostStatus> parseEntryHosts(const std::string &answer);

std::string answerQuery(const peers::QueryRequest &request, const QueryView &view);

} // namespace hyssop::control
