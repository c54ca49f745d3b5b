#pragma once

#include "replog/Replog.h"

#include <nlohmann/json.hpp>

namespace hyssop::replog {

/// Encodes a checksummed frame: a header with the length, a checksum of the length and a checksum
/// of the body, then the body as CBOR.
std::string encodeFrame(const nlohmann::json &json);

enum class FrameState {
    Complete,
    Incomplete, ///< The frame is truncated, or only zeros follow.
    Damaged,
};

/// Decodes the frame at the start of \a rest into \a json and removes it when it is complete.
FrameState decodeFrame(std::string_view &rest, nlohmann::json &json);

nlohmann::json snapshotToJson(const Snapshot &snapshot);
/// Throws nlohmann::json::exception on malformed input.
Snapshot snapshotFromJson(const nlohmann::json &json);

} // namespace hyssop::replog
