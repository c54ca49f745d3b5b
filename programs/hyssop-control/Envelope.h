#pragma once

#include "replog/Replog.h"

#include <variant>

namespace hyssop::control {

/// What hosts of one group tell each other besides the log, so that they learn each other's ids.
struct Hello
{
    replog::ReplicaId id;
    bool isBlank = false; ///< It holds no entry of the group yet.
    replog::ReplicaId echo; ///< Id last heard from the receiver's host; empty at first.
};

/// A message between hosts of one group.
using Envelope = std::variant<Hello, replog::Message>;

std::string encode(const Envelope &envelope);
std::optional<Envelope> decodeEnvelope(std::string_view bytes);

} // namespace hyssop::control
