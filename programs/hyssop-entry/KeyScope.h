#pragma once

#include "base/Base.h"

#include <optional>

namespace hyssop::entry {

// JSON for the scope of home-scoped keys, in queries to control hosts and responses to callers.

std::string scopeQueryJson(const base::DataCentreId &dataCentre);
/// Response to a caller, built from the response \a answer of a control host. Empty if that is
/// malformed.
std::optional<std::string> scopeResponse(const base::DataCentreId &dataCentre,
                                         const std::string &answer);

} // namespace hyssop::entry
