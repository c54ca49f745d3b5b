#pragma once

#include "ledger/Ledger.h"

namespace hyssop::entry {

/// Request body of a "started-hosts" query. \a revision is that of the last answer; 0 for none.
std::string startedHostsQueryJson(const base::DataCentreId &dataCentre, std::int64_t revision);
/// Parses the answer to that query. \c hosts is empty if nothing changed. Returns nothing if
/// \a answer is invalid.
std::optional<ledger::StartedHosts> parseStartedHosts(const std::string &answer);

} // namespace hyssop::entry
