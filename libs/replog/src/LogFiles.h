#pragma once

#include "Files.h"

#include <string>
#include <vector>

namespace hyssop::replog {

constexpr auto kSnapshotFile = "snapshot";
constexpr auto kReplicaIdFile = "replica-id";
constexpr auto kSegmentPrefix = "segment-";

/// A segment file and the number in its name.
struct SegmentName
{
    std::string name;
    std::int64_t number = 0;
};

/// Segment files in \a folder, in the order in which they were written.
tl::expected<std::vector<SegmentName>, StorageError> listSegments(
        const std::filesystem::path &folder);

/// The first segment whose predecessor is missing; \a segments.end() when there is none.
std::vector<SegmentName>::const_iterator findGap(const std::vector<SegmentName> &segments);

/// Moves the replica id and the files of a log in which a segment is missing to a new folder below
/// \a folder, and logs it. Also completes a move that a crash has interrupted. Does nothing if no
/// segment is missing.
tl::expected<void, StorageError> setAsideIncompleteLog(const std::filesystem::path &folder);

} // namespace hyssop::replog
