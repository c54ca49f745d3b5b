#pragma once

#include "base/Base.h"

namespace hyssop::edge {

/// Pause after the last of \a failures consecutive failed queries to a control host. It is short
/// while this host \a awaitsLeader, since it rejects all calls until then.
base::Millis retryPause(int failures, bool awaitsLeader);

/// Retry-After for a call that this host cannot decide, between once and twice a base time;
/// \a random spreads the retries. It is short in the first time after the start of a host.
base::Millis undecidedRetryAfter(base::Millis sinceStart, bool wasConfirmed, std::uint64_t random);

} // namespace hyssop::edge
