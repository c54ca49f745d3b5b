#pragma once

#include "operators/Operators.h"

namespace hyssop::ctl {

/// Changes one team's record \a changes times and prints for each data centre how long a change
/// took from its acceptance until it was in force: p50, p95 and worst, in milliseconds.
int measure(operators::Client &client, const std::string &team, int changes, base::Millis wait);

} // namespace hyssop::ctl
