#include "Commands.h"

#include "RecordFolder.h"

#include <fmt/format.h>

#include <set>
#include <thread>

namespace hyssop::ctl {

namespace {

constexpr base::Millis kPollInterval{200};
constexpr int kMaxTries = 10;
/// A host that has not reported for longer counts as unreachable.
constexpr std::int64_t kUnreachableMs = 5'000;

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

/// Hosts of each data centre that are behind \a position or silent.
struct Progress
{
    std::set<std::string> inForce;
    std::set<std::string> behind;
    std::set<std::string> unreachable;
};

Progress progressOf(const operators::StatusReply &status, std::int64_t position)
{
    Progress progress;
    for (const operators::HostStatus &host : status.hosts) {
        const std::string &name = host.dataCentre.text();
        if (host.ageMs > kUnreachableMs)
            progress.unreachable.insert(name);
        else if (host.position < position)
            progress.behind.insert(name);
        else
            progress.inForce.insert(name);
    }
    for (const std::string &name : progress.unreachable)
        progress.inForce.erase(name);
    for (const std::string &name : progress.behind)
        progress.inForce.erase(name);
    return progress;
}

int waitUntilInForce(operators::Client &client, std::int64_t position, base::Millis wait)
{
    const auto until = base::monotonicNow() + wait;
    Progress progress;
    do {
        const auto status = client.status();
        if (!status)
            return fail(status.error());
        progress = progressOf(*status, position);
        if (progress.behind.empty() && progress.unreachable.empty())
            break;
        std::this_thread::sleep_for(kPollInterval);
    } while (base::monotonicNow() < until);
    for (const std::string &name : progress.inForce)
        fmt::print("{}: in force\n", name);
    for (const std::string &name : progress.behind)
        fmt::print("{}: not yet in force\n", name);
    for (const std::string &name : progress.unreachable)
        fmt::print("{}: unreachable\n", name);
    return progress.behind.empty() && progress.unreachable.empty() ? ExitDone : ExitNotInForce;
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
        request.replaces = records::Version(record.version.count() - 1);
        request.record = record;
        const auto reply = putUntilKnown(client, request);
        if (!reply)
            return fail(reply.error());
        fmt::print("{} version {}: {}{}\n", label(record), record.version.count(),
                   putStatusName(reply->status),
                   reply->message.empty() ? "" : " (" + reply->message + ")");
        if (reply->status == operators::PutStatus::Accepted) {
            position = std::max(position, reply->position);
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
               status->leader.empty() ? "unknown" : status->leader, status->term, status->position,
               status->isConfirmed ? "" : " (not confirmed)");
    for (const operators::HostStatus &host : status->hosts) {
        const char *state = "in force";
        if (host.ageMs > kUnreachableMs)
            state = "unreachable";
        else if (host.position < status->position)
            state = "behind";
        fmt::print("{} {}: {} at {}, reported {} ms ago\n", host.dataCentre.text(),
                   host.host.text(), state, host.position, host.ageMs);
    }
    return ExitDone;
}

} // namespace hyssop::ctl
