#include "Commands.h"

#include "RecordFolder.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <thread>

namespace hyssop::ctl {

namespace {

constexpr base::Millis kPollInterval{200};
constexpr int kMaxTries = 10;

std::string label(const records::Record &record)
{
    return fmt::format("{}/{}", kindName(record.kind), record.name);
}

tl::expected<std::vector<records::Record>, int> readChecked(const std::filesystem::path &folder)
{
    std::vector<records::RecordError> warnings;
    auto records = readFolder(folder, &warnings);
    for (const records::RecordError &warning : warnings)
        fmt::print(stderr, "warning: {}\n", warning.text());
    if (records)
        return *std::move(records);
    for (const records::RecordError &fault : records.error())
        fmt::print(stderr, "{}\n", fault.text());
    return tl::unexpected(static_cast<int>(ExitFailed));
}

const records::Record *find(const std::vector<records::Record> &records,
                            const records::Record &wanted)
{
    for (const records::Record &record : records) {
        if (record.kind == wanted.kind && record.name == wanted.name)
            return &record;
    }
    return nullptr;
}

void printChanges(const records::Record *before, const records::Record &after)
{
    if (!before) {
        fmt::print("{}: new at version {}\n", label(after), after.version.count());
        return;
    }
    fmt::print("{}: version {} to {}\n", label(after), before->version.count(),
               after.version.count());
    for (const records::FieldChange &change : records::diff(*before, after))
        fmt::print("  {}: {} -> {}\n", change.field, change.before.empty() ? "-" : change.before,
                   change.after.empty() ? "-" : change.after);
}

int fail(const operators::ClientError &error)
{
    fmt::print(stderr, "no control host answered: {}\n", error.message);
    return ExitFailed;
}

/// Sends a change until its verdict is known, always under the same change id.
tl::expected<operators::PutReply, operators::ClientError> putUntilKnown(
        operators::Client &client, const operators::PutRequest &request)
{
    tl::expected<operators::PutReply, operators::ClientError> reply =
            tl::unexpected(operators::ClientError{"not asked"});
    for (int n = 0; n < kMaxTries; ++n) {
        reply = client.put(request);
        const bool isKnown = reply && reply->status != operators::PutStatus::Unknown
                             && reply->status != operators::PutStatus::Unavailable;
        if (isKnown)
            return reply;
        std::this_thread::sleep_for(kPollInterval);
    }
    return reply;
}

/// Data centres that the records in force name, whether or not they can be reached.
std::set<base::DataCentreId> knownCentres(operators::Client &client)
{
    std::set<base::DataCentreId> known;
    const auto records = client.records();
    if (!records)
        return known;
    const auto catalogue = records::Catalogue::build(*records, nullptr);
    for (const auto &[name, group] : catalogue->controlGroups()) {
        for (const auto &voter : group.voters)
            known.insert(voter.dataCentre);
    }
    for (const auto &[name, deployment] : catalogue->deployments())
        known.insert(deployment.dataCentre);
    return known;
}

/// Reports of all entry hosts: a control host that hears its group has gathered them; else each is
/// asked for its own.
std::vector<operators::StatusReply> gatheredStatus(operators::Client &client)
{
    const auto status = client.status();
    if (status && status->hasLeaderContact)
        return {*status};
    return client.statusOfAllHosts();
}

bool isInForceEverywhere(const std::vector<operators::DataCentrePropagation> &standings)
{
    return std::all_of(standings.begin(), standings.end(), [](const auto &it) {
        return it.state == operators::PropagationState::InForce;
    });
}

void print(const std::vector<operators::DataCentrePropagation> &standings)
{
    for (const operators::DataCentrePropagation &it : standings) {
        const std::string age = it.hosts == 0 ? ", no host has reported"
                                              : fmt::format(", {} hosts, last report {} ms ago",
                                                            it.hosts, it.ageMs);
        fmt::print("{}: {}{}\n", it.dataCentre.text(), propagationStateName(it.state),
                   it.state == operators::PropagationState::InForce ? "" : age);
    }
}

int waitUntilInForce(operators::Client &client, std::int64_t position, base::Millis wait)
{
    const auto until = base::monotonicNow() + wait;
    const auto known = knownCentres(client);
    std::vector<operators::DataCentrePropagation> standings;
    do {
        standings = propagationByDataCentre(gatheredStatus(client), known, position);
        if (isInForceEverywhere(standings))
            break;
        std::this_thread::sleep_for(kPollInterval);
    } while (base::monotonicNow() < until);
    print(standings);
    return isInForceEverywhere(standings) ? ExitDone : ExitNotInForce;
}

std::string drawChangePrefix()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

} // namespace

int validate(const std::filesystem::path &folder)
{
    const auto records = readChecked(folder);
    if (!records)
        return records.error();
    fmt::print("{} records are valid\n", records->size());
    return ExitDone;
}

int diff(operators::Client &client, const std::filesystem::path &folder)
{
    const auto records = readChecked(folder);
    if (!records)
        return records.error();
    const auto current = client.records();
    if (!current)
        return fail(current.error());
    for (const records::Record &record : *records) {
        const records::Record *before = find(*current, record);
        if (!before || !(*before == record))
            printChanges(before, record);
    }
    return ExitDone;
}

int apply(operators::Client &client, const std::filesystem::path &folder,
          const ApplyOptions &options)
{
    const auto records = readChecked(folder);
    if (!records)
        return records.error();
    const std::string prefix =
            options.changePrefix.empty() ? drawChangePrefix() : options.changePrefix;
    std::int64_t position = 0;
    int code = ExitDone;
    for (const records::Record &record : *records) {
        operators::PutRequest request;
        request.changeId = fmt::format("{}-{}-{}", prefix, label(record), record.version.count());
        request.expectedVersion = records::Version(record.version.count() - 1);
        request.record = record;
        const auto reply = putUntilKnown(client, request);
        if (!reply)
            return fail(reply.error());
        fmt::print("{} version {}: {}{}\n", label(record), record.version.count(),
                   putStatusName(reply->status),
                   reply->message.empty() ? "" : " (" + reply->message + ")");
        if (reply->status == operators::PutStatus::Accepted) {
            position = std::max(position, reply->logIndex);
            continue;
        }
        code = reply->status == operators::PutStatus::Conflict ? ExitConflict : ExitFailed;
        if (reply->current)
            printChanges(&*reply->current, record);
    }
    if (!options.waits || code != ExitDone)
        return code;
    return waitUntilInForce(client, position, options.wait);
}

int get(operators::Client &client)
{
    const auto records = client.records();
    if (!records)
        return fail(records.error());
    for (const records::Record &record : *records)
        fmt::print("{}\n", records::toJson(record));
    return ExitDone;
}

int status(operators::Client &client)
{
    const auto status = client.status();
    if (!status)
        return fail(status.error());
    fmt::print("answered by {}, leader {}, term {}, records at {}{}\n", status->host.text(),
               status->leader.empty() ? "unknown" : status->leader, status->term,
               status->recordsIndex, status->hasLeaderContact ? "" : " (not confirmed)");
    const auto replies = gatheredStatus(client);
    print(propagationByDataCentre(replies, knownCentres(client), status->recordsIndex));
    for (const operators::HostStatus &host : operators::latestHostStatuses(replies))
        fmt::print("  {} {}: at {}, reported {} ms ago\n", host.dataCentre.text(), host.host.text(),
                   host.appliedIndex, host.ageMs);
    return ExitDone;
}

} // namespace hyssop::ctl
