#include "Summary.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace hyssop::bench {

using nlohmann::json;

namespace {

constexpr auto kWithLong = "with-long";

/// Values of one figure, one a seed.
using Figures = std::map<std::string, std::vector<double>>;

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

const json *classOf(const json &report, const std::string &name)
{
    for (const json &one : report.at("classes")) {
        if (one.at("class") == name)
            return &one;
    }
    return nullptr;
}

void addFigures(const json &report, Figures &figures)
{
    for (const json &one : report.at("classes")) {
        const std::string name = one.at("class");
        if (one.at("answered").get<int>() == 0)
            continue;
        figures[name + " first p50 ms"].push_back(one.at("firstTokenP50Ms"));
        figures[name + " first p95 ms"].push_back(one.at("firstTokenP95Ms"));
        if (one.at("gapP95Ms").get<double>() > 0)
            figures[name + " gap p95 ms"].push_back(one.at("gapP95Ms"));
    }
    figures["in time, share"].push_back(report.at("inTime"));
}

/// Adds the slowdown of short requests for each seed that has both reports.
void addSlowdowns(const std::vector<json> &reports, const std::string &policy, Figures &figures)
{
    for (const json &with : reports) {
        if (with.at("policy") != policy || with.at("variant") != kWithLong)
            continue;
        for (const json &without : reports) {
            const bool isPair = without.at("policy") == policy && without.at("variant") != kWithLong
                                && without.at("seed") == with.at("seed");
            const json *a = classOf(with, "to 4k");
            const json *b = isPair ? classOf(without, "to 4k") : nullptr;
            if (!a || !b || b->at("firstTokenP95Ms").get<double>() <= 0)
                continue;
            figures["slowdown of short, p95"].push_back(a->at("firstTokenP95Ms").get<double>()
                                                        / b->at("firstTokenP95Ms").get<double>());
        }
    }
}

} // namespace

std::string summaryTable(const std::vector<json> &reports)
{
    std::vector<std::string> policies;
    std::map<std::string, Figures> byPolicy;
    for (const json &report : reports) {
        const std::string policy = report.at("policy");
        if (std::find(policies.begin(), policies.end(), policy) == policies.end())
            policies.push_back(policy);
        if (report.at("variant") == kWithLong)
            addFigures(report, byPolicy[policy]);
    }
    for (const std::string &policy : policies)
        addSlowdowns(reports, policy, byPolicy[policy]);

    std::string table = fmt::format("{:<26}", "median over seeds");
    for (const std::string &policy : policies)
        table += fmt::format("{:>20}{:>9}", policy, "ratio");
    table += '\n';
    if (policies.empty())
        return table;
    for (const auto &[name, values] : byPolicy[policies.front()]) {
        table += fmt::format("{:<26}", name);
        const double base = median(values);
        for (const std::string &policy : policies) {
            const auto it = byPolicy[policy].find(name);
            const double value = it == byPolicy[policy].end() ? 0 : median(it->second);
            table += fmt::format("{:>20.2f}{:>9.2f}", value, base > 0 ? value / base : 0);
        }
        table += '\n';
    }
    return table;
}

} // namespace hyssop::bench
