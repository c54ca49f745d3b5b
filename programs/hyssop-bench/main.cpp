#include "Report.h"
#include "Summary.h"
#include "Trace.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

using namespace hyssop;

namespace {

/// Prompts above this are long, as in the routes' limits.
constexpr std::int64_t kLongPromptTokens = 32'000;

base::SettingsBuilder settingsBuilder()
{
    base::SettingsBuilder builder("hyssop-bench",
                                  "Sends a seeded load and reports what came back.");
    builder.endpoints("entries", "Callers' addresses of entry hosts", "")
            .choice("mix", "Mix of work", "vestfjord", {"vestfjord", "kyklos"})
            .number("rate", "Requests a second", 10, 1, 10'000)
            .number("seconds", "Length of the load", 10, 1, 3'600)
            .number("seed", "Seed of the plan", 1, 0, 1'000'000'000)
            .number("max-prompt", "Longer prompts, in tokens, are left out", 1'000'000, 1,
                    1'000'000)
            .millis("deadline-ms", "Deadline asked for", base::Millis(120'000), base::Millis(1),
                    base::Millis(3'600'000))
            .text("trace", "File of a trace to replay in place of a mix", "")
            .text("write-trace", "Write the plan as a trace to this file and send nothing", "")
            .text("expect", "Ending or reason code that a written trace states for every request",
                  "")
            .text("policy", "Policy of the system under load, for the report", "")
            .choice("report", "Form of the report", "table", {"table", "json"})
            .toggle("summarize", "Compare reports in JSON, given as files, and send nothing")
            .positional("Reports to summarize");
    return builder;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

int fail(const std::string &message)
{
    fmt::print(stderr, "{}\n", message);
    return 1;
}

int summarize(const std::vector<std::string> &files)
{
    std::vector<nlohmann::json> reports;
    for (const std::string &path : files) {
        const auto text = readFile(path);
        auto report = text ? base::parseJson(*text) : std::nullopt;
        if (!report || !report->is_object() || !report->contains("policy"))
            return fail(path + " is not a report");
        reports.push_back(*std::move(report));
    }
    fmt::print("{}", bench::summaryTable(reports));
    return 0;
}

tl::expected<std::vector<bench::PlannedRequest>, std::string> planFrom(
        const base::Settings &settings)
{
    if (const std::string &path = settings.text("trace"); !path.empty()) {
        const auto text = readFile(path);
        if (!text)
            return tl::unexpected("cannot read " + path);
        auto plan = bench::readTrace(*text);
        if (!plan)
            return tl::unexpected(
                    fmt::format("{}:{}: {}", path, plan.error().line, plan.error().message));
        return *std::move(plan);
    }
    bench::PlanOptions options;
    options.requestsPerSecond = static_cast<double>(settings.number("rate"));
    options.duration = std::chrono::seconds(settings.number("seconds"));
    options.seed = static_cast<std::uint64_t>(settings.number("seed"));
    options.maxPrompt = base::Tokens(settings.number("max-prompt"));
    if (!settings.text("expect").empty())
        options.expected = {settings.text("expect")};
    return bench::makePlan(bench::mixByName(settings.text("mix")), options);
}

bench::RunLabel labelFrom(const base::Settings &settings)
{
    bench::RunLabel label;
    label.mix = settings.text("mix");
    label.policy = settings.text("policy");
    label.variant =
            settings.number("max-prompt") > kLongPromptTokens ? "with-long" : "without-long";
    label.seed = static_cast<std::uint64_t>(settings.number("seed"));
    label.rate = settings.number("rate");
    return label;
}

int run(const base::Settings &settings, std::vector<bench::PlannedRequest> plan)
{
    bench::RunOptions options;
    options.entries = settings.endpoints("entries");
    options.deadline = settings.millis("deadline-ms");
    if (options.entries.empty()) {
        fmt::print(stderr, "--entries: is required\n");
        return base::kExitBadSettings;
    }
    bench::Runner runner(std::move(plan), options);
    const auto samples = runner.run();
    if (!samples)
        return fail(samples.error().message);
    const bench::RunLabel label = labelFrom(settings);
    const nlohmann::json report = bench::reportJson(*samples, label);
    if (settings.text("report") == "json")
        fmt::print("{}\n", report.dump(2));
    else
        fmt::print("mix {}, seed {}, {} requests a second\n{}", label.mix, label.seed, label.rate,
                   bench::reportTable(report));
    const auto unexpected = bench::unexpectedEndings(*samples);
    for (const std::string &line : unexpected)
        fmt::print(stderr, "{}\n", line);
    return unexpected.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    const auto settings = base::settingsForMain(settingsBuilder(), argc, argv);
    if (!settings)
        return settings.error();
    if (settings->isOn("summarize"))
        return summarize(settings->words());
    auto plan = planFrom(*settings);
    if (!plan)
        return fail(plan.error());
    const std::string &path = settings->text("write-trace");
    if (path.empty())
        return run(*settings, *std::move(plan));
    std::ofstream(path) << bench::writeTrace(*plan);
    return 0;
}
