#pragma once

#include "base/Base.h"
#include "records/Records.h"

#include <string>
#include <vector>

namespace hyssop::bench {

enum class Target { Completion, Service };

/// Class of a prompt by its tokens: to 4k, to 32k, to 100k, above.
enum class LengthClass { Short, Medium, Long, Huge };

inline constexpr int kLengthClasses = 4;

LengthClass lengthClassOf(base::Tokens prompt);
std::string_view lengthClassName(LengthClass length);

/// One request of a plan.
struct PlannedRequest
{
    base::Millis at{0}; ///< Since the start.
    Target target = Target::Completion;
    std::string route; ///< Model or service name.
    std::string team;
    records::Urgency urgency = records::Urgency::Normal;
    base::Tokens prompt;
    std::int64_t maxTokens = 0;
    std::uint64_t promptSeed = 0; ///< Requests of one seed share a prefix.
    std::string key; ///< Idempotency key of a service call.
    std::string variant; ///< Part of a service call's body; another one makes it another request.
    base::Millis deadline{0}; ///< Asked for; 0: that of the run.
    /// Endings or reason codes of which one must come; empty: any final answer of its own.
    std::vector<std::string> expected;
};

/// A kind of work within a mix.
struct WorkClass
{
    double share = 0; ///< Of all requests.
    Target target = Target::Completion;
    std::string route;
    records::Urgency urgency = records::Urgency::Normal;
    std::int64_t minPrompt = 0; ///< Tokens; lengths are log-uniform up to maxPrompt.
    std::int64_t maxPrompt = 0;
    std::int64_t outputTokens = 0;
};

struct Mix
{
    std::string name;
    std::vector<WorkClass> classes;
    std::vector<std::string> teams; ///< The first ones are large.
};

/// "vestfjord" or "kyklos".
Mix mixByName(const std::string &name);

struct PlanOptions
{
    double requestsPerSecond = 10;
    base::Millis duration{10'000};
    std::uint64_t seed = 1;
    base::Tokens maxPrompt{1'000'000}; ///< Longer prompts are left out of the plan.
    std::vector<std::string> expected; ///< Of every request.
};

/// Same mix, options and seed: same plan.
std::vector<PlannedRequest> makePlan(const Mix &mix, const PlanOptions &options);

} // namespace hyssop::bench
