#include "Report.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace hyssop::bench {

using nlohmann::json;

namespace {

double toMs(base::Micros us)
{
    return static_cast<double>(us.count()) / 1'000;
}

json classReport(std::string_view name, const std::vector<const Sample *> &samples)
{
    std::vector<base::Micros> firstTokens;
    std::vector<base::Micros> gaps;
    std::int64_t answered = 0;
    for (const Sample *sample : samples) {
        if (sample->ending != Ending::Answered)
            continue;
        ++answered;
        if (sample->firstToken)
            firstTokens.push_back(*sample->firstToken);
        gaps.insert(gaps.end(), sample->gaps.begin(), sample->gaps.end());
    }
    return {{"class", name},
            {"requests", samples.size()},
            {"answered", answered},
            {"firstTokenP50Ms", toMs(quantile(firstTokens, 0.50))},
            {"firstTokenP95Ms", toMs(quantile(firstTokens, 0.95))},
            {"gapP95Ms", toMs(quantile(gaps, 0.95))}};
}

} // namespace

base::Micros quantile(std::vector<base::Micros> &values, double quantile)
{
    if (values.empty())
        return base::Micros(0);
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(quantile * last))];
}

json reportJson(const std::vector<Sample> &samples, const RunLabel &label)
{
    std::array<std::vector<const Sample *>, kLengthClasses> byLength;
    std::vector<const Sample *> services;
    std::map<std::string, std::int64_t> endings;
    std::map<std::string, std::int64_t> codes;
    for (const Sample &sample : samples) {
        ++endings[std::string(endingName(sample.ending))];
        if (!sample.code.empty())
            ++codes[sample.code];
        if (sample.request.target == Target::Service)
            services.push_back(&sample);
        else
            byLength[static_cast<std::size_t>(lengthClassOf(sample.request.prompt))].push_back(
                    &sample);
    }
    json classes = json::array();
    for (std::size_t i = 0; i < byLength.size(); ++i)
        classes.push_back(classReport(lengthClassName(static_cast<LengthClass>(i)), byLength[i]));
    classes.push_back(classReport("services", services));
    const auto answered = static_cast<double>(endings["answered"]);
    return {{"mix", label.mix},
            {"policy", label.policy},
            {"variant", label.variant},
            {"seed", label.seed},
            {"rate", label.rate},
            {"requests", samples.size()},
            {"inTime", samples.empty() ? 0 : answered / static_cast<double>(samples.size())},
            {"classes", classes},
            {"endings", endings},
            {"codes", codes}};
}

std::string reportTable(const json &report)
{
    std::string table = fmt::format("{:<10}{:>10}{:>10}{:>16}{:>16}{:>12}\n", "class", "requests",
                                    "answered", "first p50 ms", "first p95 ms", "gap p95 ms");
    for (const json &one : report.at("classes"))
        table += fmt::format("{:<10}{:>10}{:>10}{:>16.1f}{:>16.1f}{:>12.1f}\n",
                             one.at("class").get<std::string>(), one.at("requests").get<int>(),
                             one.at("answered").get<int>(), one.at("firstTokenP50Ms").get<double>(),
                             one.at("firstTokenP95Ms").get<double>(),
                             one.at("gapP95Ms").get<double>());
    table += "endings:";
    for (const auto &it : report.at("endings").items())
        table += fmt::format(" {}={}", it.key(), it.value().get<int>());
    table += "\nreasons:";
    for (const auto &it : report.at("codes").items())
        table += fmt::format(" {}={}", it.key(), it.value().get<int>());
    return table + "\n";
}

std::vector<std::string> unexpectedEndings(const std::vector<Sample> &samples)
{
    std::vector<std::string> lines;
    for (std::size_t i = 0; i < samples.size(); ++i) {
        const Sample &sample = samples[i];
        if (isAsExpected(sample))
            continue;
        lines.push_back(fmt::format(
                "request {} ({} for {}, {} tokens): {} {}, expected {}", i, sample.request.route,
                sample.request.team, sample.request.prompt.count(), endingName(sample.ending),
                sample.code,
                sample.request.expected.empty()
                        ? "a final answer of its own"
                        : fmt::format("{}", fmt::join(sample.request.expected, " or "))));
    }
    return lines;
}

} // namespace hyssop::bench
