#include "System.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <numeric>
#include <set>

using namespace hyssop;
using namespace hyssop::harness;

namespace {

const std::filesystem::path kSource(HYSSOP_SOURCE_DIR);
constexpr base::Millis kRunLimit{120'000};
constexpr base::Millis kApplyLimit{30'000};
/// Prompts above this many tokens are the longest class; one in fifty at the target.
constexpr std::int64_t kHugePrompt = 100'000;

/// What a trace has to hold, so that replaying it shows something.
struct Shares
{
    int requests = 0;
    int services = 0;
    int hugePrompts = 0;
    std::set<std::string> urgencies;
    std::set<std::string> outcomes;
};

Shares sharesOf(const std::filesystem::path &trace)
{
    Shares shares;
    std::ifstream file(trace);
    std::string line;
    while (std::getline(file, line)) {
        const auto request = base::parseJson(line);
        REQUIRE(request);
        ++shares.requests;
        shares.services += request->at("target") == "service" ? 1 : 0;
        shares.hugePrompts += request->value("prompt", std::int64_t(0)) > kHugePrompt ? 1 : 0;
        shares.urgencies.insert(request->at("urgency").get<std::string>());
        for (const auto &outcome : request->at("expect"))
            shares.outcomes.insert(outcome.get<std::string>());
    }
    return shares;
}

std::string joined(const std::vector<std::string> &texts)
{
    return std::accumulate(texts.begin(), texts.end(), std::string(),
                           [](const std::string &all, const std::string &one) {
                               return all.empty() ? one : all + "," + one;
                           });
}

/// Runs one of the programs to its end and answers with its exit code.
int run(const System &system, const std::string &program, std::vector<std::string> arguments,
        base::Millis limit)
{
    ProcessOptions options;
    options.program = program;
    options.arguments = std::move(arguments);
    options.log = system.folder() / (program + ".log");
    Process process(options);
    const auto exit = process.wait(limit);
    return exit ? exit->code : -1;
}

void replay(const std::string &mix, Plan plan)
{
    plan.entriesEach = 2;
    plan.servicesEach = 1;
    // Model time runs ten times faster, so that the longest prompts end within the test's limit.
    plan.engineFlags = {"--kv-tokens", "400000", "--speed", "10"};
    System system(plan);
    std::vector<std::string> operators;
    for (const Host *control : system.hosts(Role::Control))
        operators.push_back(control->operators.text());
    REQUIRE(run(system, "hyssopctl",
                {"--controls", joined(operators), "--wait", "apply",
                 (kSource / "examples" / mix).string()},
                kApplyLimit)
            == 0);
    system.awaitAllReady();
    for (const std::string &dataCentre : plan.dataCentres)
        system.awaitUpstreams(dataCentre, plan.enginesEach + plan.servicesEach);
    std::vector<std::string> entries;
    for (const Host *entry : system.hosts(Role::Entry))
        entries.push_back(entry->callers.text());
    const std::string trace = (kSource / "traces" / (mix + ".jsonl")).string();
    CHECK(run(system, "hyssop-bench",
              {"--entries", joined(entries), "--trace", trace, "--deadline-ms", "60000"}, kRunLimit)
          == 0);
}

} // namespace

TEST_CASE("the traces hold every urgency, long prompts and several outcomes")
{
    for (const char *mix : {"vestfjord", "kyklos"}) {
        const Shares shares = sharesOf(kSource / "traces" / (std::string(mix) + ".jsonl"));
        INFO(mix);
        CHECK(shares.requests >= 100);
        CHECK(shares.services >= shares.requests / 10);
        CHECK(shares.hugePrompts * 50 >= shares.requests);
        CHECK(shares.urgencies.size() == 3);
        CHECK(shares.outcomes.size() >= 5);
    }
}

TEST_CASE("every request of the vestfjord trace ends as stated")
{
    Plan plan;
    plan.dataCentres = {"floro-sal", "forde-sal", "sogndal-sal"};
    plan.enginesEach = 5;
    replay("vestfjord", plan);
}

TEST_CASE("every request of the kyklos trace ends as stated")
{
    Plan plan;
    plan.dataCentres = {"hall-a", "hall-b", "hall-c"};
    plan.model = "scribe";
    plan.service = "tag";
    plan.enginesEach = 4;
    replay("kyklos", plan);
}
