#include "Trace.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace hyssop::bench {

using nlohmann::json;

namespace {

json form(const PlannedRequest &request)
{
    json line{{"atMs", request.at.count()},
              {"target", request.target == Target::Service ? "service" : "completion"},
              {"route", request.route},
              {"team", request.team},
              {"urgency", urgencyName(request.urgency)},
              {"expect", request.expected}};
    if (request.deadline.count() > 0)
        line["deadlineMs"] = request.deadline.count();
    if (request.target == Target::Service) {
        line["key"] = request.key;
        if (!request.variant.empty())
            line["variant"] = request.variant;
        return line;
    }
    line["prompt"] = request.prompt.count();
    line["maxTokens"] = request.maxTokens;
    line["promptSeed"] = request.promptSeed;
    return line;
}

PlannedRequest requestFrom(const json &line)
{
    PlannedRequest request;
    request.at = base::Millis(line.at("atMs").get<std::int64_t>());
    request.target = line.at("target") == "service" ? Target::Service : Target::Completion;
    request.route = line.at("route");
    request.team = line.at("team");
    request.urgency = records::parseUrgency(line.at("urgency").get<std::string>())
                              .value_or(records::Urgency::Normal);
    request.prompt = base::Tokens(line.value("prompt", std::int64_t(1)));
    request.maxTokens = line.value("maxTokens", std::int64_t(0));
    request.promptSeed = line.value("promptSeed", std::uint64_t(0));
    request.key = line.value("key", "");
    request.variant = line.value("variant", "");
    request.deadline = base::Millis(line.value("deadlineMs", std::int64_t(0)));
    request.expected = line.value("expect", std::vector<std::string>());
    return request;
}

} // namespace

tl::expected<std::vector<PlannedRequest>, TraceError> readTrace(const std::string &text)
{
    std::vector<PlannedRequest> plan;
    std::istringstream lines(text);
    std::string line;
    for (int n = 1; std::getline(lines, line); ++n) {
        if (line.empty())
            continue;
        const auto parsed = base::parseJson(line);
        if (!parsed || !parsed->is_object())
            return tl::unexpected(TraceError{n, "not a JSON object"});
        try {
            plan.push_back(requestFrom(*parsed));
        } catch (const json::exception &e) {
            return tl::unexpected(TraceError{n, e.what()});
        }
    }
    return plan;
}

std::string writeTrace(const std::vector<PlannedRequest> &plan)
{
    std::string text;
    for (const PlannedRequest &request : plan)
        text += form(request).dump() + "\n";
    return text;
}

} // namespace hyssop::bench
