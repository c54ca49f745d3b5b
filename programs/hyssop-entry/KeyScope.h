#pragma once

#include "base/Base.h"

#include <optional>

namespace hyssop::entry {

// Scope of home-scoped keys, in queries of control hosts and in answers to callers.

std::string scopeQueryJson(const base::DataCentreId &dataCentre);
/// Answer to a caller from a control host's answer; empty when that is not readable.
std::optional<std::string> scopeResponse(const base::DataCentreId &dataCentre,
                                         const std::string &answer);

} // namespace hyssop::entry
