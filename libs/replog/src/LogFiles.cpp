#include "LogFiles.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>

namespace hyssop::replog {

namespace {

namespace fs = std::filesystem;

using Result = tl::expected<void, StorageError>;

/// Folders of incomplete logs, followed by a number from 1. The name must not begin like that of a
/// segment, by which earlier builds recognize a log.
constexpr auto kSetAsidePrefix = "incomplete-log-";

fs::path setAsideFolder(const fs::path &folder, int number)
{
    return folder / fmt::format("{}{}", kSetAsidePrefix, number);
}

/// Number of the last folder of an incomplete log; 0 when there is none.
int lastSetAsideNumber(const fs::path &folder)
{
    std::error_code ec;
    int number = 0;
    while (fs::exists(setAsideFolder(folder, number + 1), ec))
        ++number;
    return number;
}

Result createFolder(const fs::path &path)
{
    std::error_code ec;
    fs::create_directories(path, ec);
    if (ec)
        return tl::unexpected(
                StorageError{StorageFault::Failed, path.string() + ": " + ec.message()});
    return syncFolder(path.parent_path());
}

/// Moves the file \a name, if it exists.
Result moveFile(const fs::path &from, const fs::path &to, const std::string &name)
{
    std::error_code ec;
    if (!fs::exists(from / name, ec))
        return {};
    fs::rename(from / name, to / name, ec);
    if (ec)
        return tl::unexpected(
                StorageError{StorageFault::Failed, (from / name).string() + ": " + ec.message()});
    return {};
}

/// Makes the renames between two folders durable.
Result syncBoth(const fs::path &from, const fs::path &to)
{
    if (const auto synced = syncFolder(to); !synced)
        return synced;
    return syncFolder(from);
}

} // namespace

tl::expected<std::vector<SegmentName>, StorageError> listSegments(const fs::path &folder)
{
    std::error_code ec;
    std::vector<SegmentName> segments;
    for (const auto &it : fs::directory_iterator(folder, ec)) {
        const std::string name = it.path().filename().string();
        if (name.starts_with(kSegmentPrefix))
            segments.push_back({name, std::atoll(name.c_str() + std::strlen(kSegmentPrefix))});
    }
    if (ec)
        return tl::unexpected(
                StorageError{StorageFault::Failed, folder.string() + ": " + ec.message()});
    std::sort(segments.begin(), segments.end(),
              [](const auto &a, const auto &b) { return a.name < b.name; });
    return segments;
}

std::vector<SegmentName>::const_iterator findGap(const std::vector<SegmentName> &segments)
{
    const auto before =
            std::adjacent_find(segments.begin(), segments.end(), [](const auto &a, const auto &b) {
                return b.number != a.number + 1;
            });
    return before == segments.end() ? before : before + 1;
}

Result setAsideIncompleteLog(const fs::path &folder)
{
    auto segments = listSegments(folder);
    if (!segments)
        return tl::unexpected(segments.error());
    std::error_code ec;
    const bool hasLog = !segments->empty() || fs::exists(folder / kSnapshotFile, ec);
    const int last = lastSetAsideNumber(folder);
    const auto gap = findGap(*segments);
    // A log always has an id, and the id is moved first. The files left by an interrupted move may
    // have no gap among them.
    const bool isInterrupted = hasLog && last > 0 && !fs::exists(folder / kReplicaIdFile, ec);
    if (gap == segments->end() && !isInterrupted)
        return {};
    const fs::path to = setAsideFolder(folder, isInterrupted ? last : last + 1);
    base::logEvent("incomplete_log_set_aside",
                   {{"folder", folder.string()},
                    {"to", to.string()},
                    {"segments", segments->size()},
                    {"after_gap", gap == segments->end() ? std::string() : gap->name}});
    if (const auto created = createFolder(to); !created)
        return created;
    // Without the id, neither this build nor an earlier one opens what is left of the log.
    if (const auto moved = moveFile(folder, to, kReplicaIdFile); !moved)
        return moved;
    if (const auto synced = syncBoth(folder, to); !synced)
        return synced;
    for (const SegmentName &segment : *segments) {
        if (const auto moved = moveFile(folder, to, segment.name); !moved)
            return moved;
    }
    if (const auto moved = moveFile(folder, to, kSnapshotFile); !moved)
        return moved;
    return syncBoth(folder, to);
}

bool hasSetAsideLog(const fs::path &folder)
{
    return lastSetAsideNumber(folder) > 0;
}

} // namespace hyssop::replog
