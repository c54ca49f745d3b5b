#include "Simulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace hyssop;
using namespace hyssop::ledger;

namespace {

constexpr int kStepsPerRun = 3'000;

std::int64_t fromEnvironment(const char *name, std::int64_t defaultValue)
{
    const char *text = std::getenv(name);
    return text ? std::atoll(text) : defaultValue;
}

std::optional<std::string> runSimulation(std::uint64_t seed, const Faults &faults, int steps)
{
    return Simulation(seed, faults).run(steps);
}

/// Disables each kind of fault in turn and halves the number of steps while the seed still fails.
std::string minimizeFailure(std::uint64_t seed, int steps)
{
    Faults faults;
    std::string neededFaults;
    const std::pair<const char *, bool Faults::*> kinds[] = {
            {"loss", &Faults::loss},
            {"reorder", &Faults::reorder},
            {"duplication", &Faults::duplication},
            {"partitions", &Faults::partitions},
            {"one-way cuts", &Faults::oneWayCuts},
            {"crashes", &Faults::crashes},
            {"disk losses", &Faults::diskLosses},
            {"clock skew", &Faults::clockSkew},
            {"snapshots", &Faults::snapshots},
            {"leader transfers", &Faults::leaderTransfers},
            {"quick restarts", &Faults::quickRestarts}};
    for (const auto &[name, kind] : kinds) {
        faults.*kind = false;
        if (runSimulation(seed, faults, steps))
            continue;
        faults.*kind = true;
        neededFaults += std::string(neededFaults.empty() ? "" : ", ") + name;
    }
    while (steps > 1 && runSimulation(seed, faults, steps / 2))
        steps /= 2;
    const auto violation = runSimulation(seed, faults, steps);
    return "seed " + std::to_string(seed) + ", " + std::to_string(steps) + " steps, with "
           + neededFaults + ": " + violation.value_or("passes");
}

} // namespace

TEST_CASE("accepted commands survive message loss, reordering, crashes, disk loss, voter changes")
{
    // To run more seeds: HYSSOP_SIM_SEEDS=1000 HYSSOP_SIM_FIRST=1 test-ledger "accepted commands*"
    const std::int64_t first = fromEnvironment("HYSSOP_SIM_FIRST", 1);
    const std::int64_t count = fromEnvironment("HYSSOP_SIM_SEEDS", 25);
    const int steps = static_cast<int>(fromEnvironment("HYSSOP_SIM_STEPS", kStepsPerRun));
    std::size_t acknowledgedCount = 0;
    std::size_t voterChangeCount = 0;
    std::size_t leaderTermCount = 0;
    std::size_t restoreCount = 0;
    for (std::int64_t seed = first; seed < first + count; ++seed) {
        Simulation simulation(static_cast<std::uint64_t>(seed), Faults());
        const auto violation = simulation.run(steps);
        if (violation) {
            std::cout << "seed " << seed << " failed: " << *violation << std::endl;
            FAIL(minimizeFailure(static_cast<std::uint64_t>(seed), steps));
        }
        acknowledgedCount += simulation.acknowledgedCount();
        voterChangeCount += simulation.voterChangeCount();
        leaderTermCount += simulation.leaderTermCount();
        restoreCount += simulation.restoreCount();
    }
    std::cout << "seeds " << first << " to " << first + count - 1 << ": " << acknowledgedCount
              << " commands acknowledged, " << leaderTermCount << " terms with a leader, "
              << voterChangeCount << " voter changes, " << restoreCount << " snapshots restored"
              << std::endl;
    // Checks that the group made progress in spite of the faults.
    CHECK(acknowledgedCount > static_cast<std::size_t>(count) * 100);
    CHECK(voterChangeCount > static_cast<std::size_t>(count));
    CHECK(restoreCount > 0);
}
