#pragma once

#include "caller/Caller.h"
#include "routing/Routing.h"

namespace hyssop::entry {

/// Error response to a caller for a request that the router ended.
caller::ErrorBody errorFor(const routing::FailRequest &end);

} // namespace hyssop::entry
