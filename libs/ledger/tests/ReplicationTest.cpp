#include "Simulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace hyssop;
using namespace hyssop::ledger;

namespace {

constexpr int kSteps = 3'000;

std::int64_t fromEnvironment(const char *name, std::int64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::atoll(text) : fallback;
}

std::optional<std::string> runOnce(std::uint64_t seed, const Faults &faults, int steps)
{
    return Simulation(seed, faults).run(steps);
}

/// Switches off each kind of fault and halves the run for as long as the seed still fails.
std::string shrink(std::uint64_t seed, int steps)
{
    Faults faults;
    std::string needed;
    const std::pair<const char *, bool Faults::*> kinds[] = {{"loss", &Faults::loss},
                                                             {"reorder", &Faults::reorder},
                                                             {"duplication", &Faults::duplication},
                                                             {"partitions", &Faults::partitions},
                                                             {"one-way cuts", &Faults::oneWayCuts},
                                                             {"crashes", &Faults::crashes},
                                                             {"disk losses", &Faults::diskLosses},
                                                             {"clock skew", &Faults::clockSkew},
                                                             {"snapshots", &Faults::snapshots},
                                                             {"hand-overs", &Faults::handOvers}};
    for (const auto &[name, kind] : kinds) {
        faults.*kind = false;
        if (runOnce(seed, faults, steps))
            continue;
        faults.*kind = true;
        needed += std::string(needed.empty() ? "" : ", ") + name;
    }
    while (steps > 1 && runOnce(seed, faults, steps / 2))
        steps /= 2;
    const auto fault = runOnce(seed, faults, steps);
    return "seed " + std::to_string(seed) + ", " + std::to_string(steps) + " steps, with " + needed
           + ": " + fault.value_or("passes");
}

} // namespace

TEST_CASE("accepted commands survive loss, reorder, crashes, lost disks and changes of voters")
{
    // More: HYSSOP_SIM_SEEDS=1000 HYSSOP_SIM_FIRST=1 test-ledger "accepted commands*"
    const std::int64_t first = fromEnvironment("HYSSOP_SIM_FIRST", 1);
    const std::int64_t count = fromEnvironment("HYSSOP_SIM_SEEDS", 25);
    const int steps = static_cast<int>(fromEnvironment("HYSSOP_SIM_STEPS", kSteps));
    std::size_t acknowledged = 0;
    std::size_t changes = 0;
    std::size_t leaders = 0;
    std::size_t restores = 0;
    for (std::int64_t seed = first; seed < first + count; ++seed) {
        Simulation simulation(static_cast<std::uint64_t>(seed), Faults());
        const auto fault = simulation.run(steps);
        if (fault) {
            std::cout << "seed " << seed << " failed: " << *fault << std::endl;
            FAIL(shrink(static_cast<std::uint64_t>(seed), steps));
        }
        acknowledged += simulation.acknowledged();
        changes += simulation.changesOfVoters();
        leaders += simulation.leaders();
        restores += simulation.restores();
    }
    std::cout << "seeds " << first << " to " << first + count - 1 << ": " << acknowledged
              << " commands acknowledged, " << leaders << " terms with a leader, " << changes
              << " changes of voters, " << restores << " snapshots restored" << std::endl;
    // The faults must not have kept the group from working.
    CHECK(acknowledged > static_cast<std::size_t>(count) * 100);
    CHECK(changes > static_cast<std::size_t>(count));
    CHECK(restores > 0);
}
