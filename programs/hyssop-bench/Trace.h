#pragma once

#include "Plan.h"

namespace hyssop::bench {

/// What is wrong with a line of a trace.
struct TraceError
{
    int line = 0;
    std::string message;
};

/// Reads a trace: one JSON object a line, in order of time.
tl::expected<std::vector<PlannedRequest>, TraceError> readTrace(const std::string &text);
std::string writeTrace(const std::vector<PlannedRequest> &plan);

} // namespace hyssop::bench
