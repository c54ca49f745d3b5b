#pragma once

#include "replog/Replog.h"

#include <nlohmann/json.hpp>

namespace hyssop::replog {

/// Checksummed unit of a file: a header of length and two checksums, one of which guards the
/// length itself, then the body.
std::string frame(const nlohmann::json &json);

enum class FrameState {
    Whole,
    Incomplete, ///< The bytes end before the frame does, or were never written.
    Damaged,
};

/// Reads the frame at the start of \a rest and removes it when it is whole.
FrameState takeFrame(std::string_view &rest, nlohmann::json &json);

nlohmann::json snapshotToJson(const Snapshot &snapshot);
Snapshot snapshotFromJson(const nlohmann::json &json);

} // namespace hyssop::replog
