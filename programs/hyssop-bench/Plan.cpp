#include "Plan.h"

#include <cmath>

namespace hyssop::bench {

namespace {

/// Share of requests that come from the large teams.
constexpr double kLargeTeamShare = 0.6;
constexpr std::size_t kLargeTeams = 3;
/// Prompts of one class share this many different beginnings.
constexpr std::uint64_t kPrefixes = 40;

std::vector<std::string> numberedTeams(const std::string &prefix)
{
    std::vector<std::string> teams;
    for (int n = 1; n <= 10; ++n)
        teams.push_back(prefix + std::to_string(n));
    return teams;
}

const WorkClass &pickClass(const Mix &mix, base::Rng &rng)
{
    double point = std::uniform_real_distribution<>(0, 1)(rng);
    for (const WorkClass &one : mix.classes) {
        if (point < one.share)
            return one;
        point -= one.share;
    }
    return mix.classes.front();
}

std::string pickTeam(const Mix &mix, base::Rng &rng)
{
    const bool isLarge = std::uniform_real_distribution<>(0, 1)(rng) < kLargeTeamShare;
    const std::size_t first = isLarge ? 0 : kLargeTeams;
    const std::size_t last = isLarge ? kLargeTeams - 1 : mix.teams.size() - 1;
    return mix.teams[std::uniform_int_distribution<std::size_t>(first, last)(rng)];
}

base::Tokens pickLength(const WorkClass &work, base::Rng &rng)
{
    const double low = std::log(static_cast<double>(work.minPrompt));
    const double high = std::log(static_cast<double>(work.maxPrompt));
    const double drawn = std::exp(std::uniform_real_distribution<>(low, high)(rng));
    return base::Tokens(static_cast<std::int64_t>(drawn));
}

} // namespace

LengthClass lengthClassOf(base::Tokens prompt)
{
    if (prompt.count() <= 4'000)
        return LengthClass::Short;
    if (prompt.count() <= 32'000)
        return LengthClass::Medium;
    return prompt.count() <= 100'000 ? LengthClass::Long : LengthClass::Huge;
}

std::string_view lengthClassName(LengthClass length)
{
    switch (length) {
    case LengthClass::Short:
        return "to 4k";
    case LengthClass::Medium:
        return "to 32k";
    case LengthClass::Long:
        return "to 100k";
    case LengthClass::Huge:
        return "to 1M";
    }
    return "unknown";
}

Mix mixByName(const std::string &name)
{
    using records::Urgency;
    if (name == "kyklos")
        return {"kyklos",
                {{0.50, Target::Completion, "draft", Urgency::Urgent, 1'000, 16'000, 48},
                 {0.24, Target::Completion, "condense", Urgency::Normal, 8'000, 100'000, 64},
                 {0.02, Target::Completion, "digest", Urgency::Batch, 100'000, 1'000'000, 96},
                 {0.24, Target::Service, "tag", Urgency::Urgent, 1, 1, 0}},
                numberedTeams("desk-")};
    return {"vestfjord",
            {{0.60, Target::Completion, "chat", Urgency::Urgent, 1'000, 8'000, 48},
             {0.16, Target::Completion, "dossier", Urgency::Normal, 8'000, 100'000, 64},
             {0.02, Target::Completion, "archive", Urgency::Batch, 100'000, 1'000'000, 96},
             {0.22, Target::Service, "booking", Urgency::Urgent, 1, 1, 0}},
            numberedTeams("office-")};
}

std::vector<PlannedRequest> makePlan(const Mix &mix, const PlanOptions &options)
{
    base::Rng rng(options.seed);
    std::exponential_distribution<> gap(options.requestsPerSecond);
    std::vector<PlannedRequest> plan;
    double seconds = gap(rng);
    while (seconds * 1'000 < static_cast<double>(options.duration.count())) {
        const WorkClass &work = pickClass(mix, rng);
        PlannedRequest request;
        request.at = base::Millis(static_cast<std::int64_t>(seconds * 1'000));
        request.target = work.target;
        request.route = work.route;
        request.team = pickTeam(mix, rng);
        request.urgency = work.urgency;
        request.prompt = pickLength(work, rng);
        request.maxTokens = work.outputTokens;
        request.promptSeed = rng() % kPrefixes;
        if (work.target == Target::Service)
            request.key = mix.name + "-" + std::to_string(options.seed) + "-"
                          + std::to_string(plan.size());
        request.expected = options.expected;
        seconds += gap(rng);
        if (request.prompt <= options.maxPrompt)
            plan.push_back(std::move(request));
    }
    return plan;
}

} // namespace hyssop::bench
