#pragma once

#include "Runner.h"

#include <nlohmann/json_fwd.hpp>

namespace hyssop::bench {

/// Value at \a quantile (0 to 1) of \a values, which is sorted in place; 0 for none.
base::Micros quantile(std::vector<base::Micros> &values, double quantile);

/// What was run, as it stands in the report.
struct RunLabel
{
    std::string mix;
    std::string policy; ///< Named by the caller of the bench; the system under load has it set.
    std::string variant; ///< "with-long" or "without-long".
    std::uint64_t seed = 0;
    std::int64_t rate = 0; ///< Requests a second.
};

nlohmann::json reportJson(const std::vector<Sample> &samples, const RunLabel &label);
std::string reportTable(const nlohmann::json &report);

/// One line for each sample that did not end as expected.
std::vector<std::string> unexpectedEndings(const std::vector<Sample> &samples);

} // namespace hyssop::bench
