#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace hyssop::bench {

/// Medians over seeds of the reports of several policies, with ratios to the first policy named.
///
/// Reports of one policy and seed come in pairs: with and without long prompts; the slowdown of
/// short requests is the quotient of their 95th percentiles.
std::string summaryTable(const std::vector<nlohmann::json> &reports);

} // namespace hyssop::bench
