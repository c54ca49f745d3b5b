#pragma once

#include "JobWatches.h"
#include "ledger/Ledger.h"
#include "operators/Operators.h"
#include "peers/Peers.h"

namespace hyssop::control {

/// Read-only view of one replication group of this host.
struct GroupView
{
    std::string name;
    const ledger::Ledger *ledger = nullptr;
    bool isConfirmed = false; ///< No newer entry was committed elsewhere.
};

/// Read-only state from which queries are answered. It must not change during a query.
struct QueryView
{
    base::HostId host;
    base::DataCentreId dataCentre;
    std::vector<GroupView> groups;
    std::vector<operators::HostStatus> entryHosts; ///< Those that watch records on this host.
};

/// Parses an "open-jobs" query that names a host as a job watch. Returns nullopt for other queries.
std::optional<JobWatch> parseJobWatch(const peers::QueryRequest &request, base::TimePoint now);
/// Jobs in state Waiting, longest waiting first. They belong to \a ledger.
std::vector<const ledger::Job *> waitingJobs(const ledger::Ledger &ledger);
/// JSON answer to "open-jobs": {confirmed, jobs}, without requests and results.
std::string jobListAnswer(const std::vector<const ledger::Job *> &jobs, const GroupView &group);

/// Parses the "reporters" answer of another control host. Returns an empty list if it is invalid.
std::vector<operators::HostStatus> parseEntryHosts(const std::string &answer);

/// Answers a query by its topic. Returns an empty string if this host cannot answer it.
///
/// Topics with request and answer bodies, all JSON:
/// - "job" {id}: {found, confirmed, index, job};
/// - "jobs" {team}: {groups: [{name, confirmed}], jobs}, without requests and results;
/// - "open-jobs" {}: {confirmed, jobs}, the jobs of this data centre: waiting ones, longest waiting
///   first, then running ones. A body {host, incarnation, held, room, waitMs} makes it a watch, see
///   parseJobWatch();
/// - "scope" {dataCentre}: {incarnation, confirmed} of its home group, incarnation as a string;
/// - "started-hosts" {dataCentre, revision}: {revision, hosts: [{host, incarnation}]}, the entry
/// hosts
///   whose start its home group remembers; without hosts if the revision is the requested one;
/// - "reporters" {}: {host, dataCentre, hosts: [{host, dataCentre, position, ageMs}]}.
std::string answerQuery(const peers::QueryRequest &request, const QueryView &view);

} // namespace hyssop::control
