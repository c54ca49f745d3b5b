#include "FaultDriver.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace hyssop;
using namespace hyssop::harness;
using namespace hyssop::soak;

namespace {

constexpr std::int64_t kDefaultSeconds = 12;
constexpr std::int64_t kDefaultSeed = 20261203;
/// After each round the load pauses, everything is healed and engines' memory is read.
constexpr base::Millis kRound{45'000};
constexpr base::Millis kShortestRound{10'000};
constexpr base::Millis kSettleLimit{90'000};
constexpr base::Millis kFloorLimit{60'000};

/// Leaving upstreams go on taking work for longer than any may come, so that what does is seen.
constexpr const char *kUpstreamNotice = "6000"; // ms

std::int64_t numberFrom(const char *variable, std::int64_t fallback)
{
    const char *text = std::getenv(variable);
    return text ? std::atoll(text) : fallback;
}

Plan soakPlan()
{
    Plan plan;
    plan.dataCentres = {"floro-sal", "forde-sal", "sogndal-sal"};
    plan.voters = 3;
    plan.entriesEach = 2;
    plan.enginesEach = 3;
    plan.servicesEach = 1;
    plan.hasFaultLinks = true;
    plan.entryFlags = {};
    plan.engineFlags = {"--speed", "4", "--kv-tokens", "60000", "--log-work"};
    // Answers come crossed, twice and broken off; loads and cache events late and with gaps.
    for (const auto &[flag, value] : {std::pair("--fail-cross-percent", "3"),
                                      {"--fail-duplicate-percent", "3"},
                                      {"--fail-refuse-percent", "2"},
                                      {"--fail-stall-percent", "1"},
                                      {"--fail-stall-after", "10"},
                                      {"--fail-close-percent", "2"},
                                      {"--fail-close-after", "20"},
                                      {"--load-lag-ms", "500"},
                                      {"--event-lag-ms", "500"},
                                      {"--event-loss-percent", "5"},
                                      {"--stop-notice-ms", kUpstreamNotice}}) {
        plan.engineFlags.emplace_back(flag);
        plan.engineFlags.emplace_back(value);
    }
    plan.serviceFlags = {
            "--log-work",       "--refuse-percent", "3", "--lose-percent", "2", "--delay-ms", "200",
            "--stop-notice-ms", kUpstreamNotice};
    return plan;
}

std::vector<std::string> namesOf(const std::vector<Host *> &hosts)
{
    std::vector<std::string> names;
    names.reserve(hosts.size());
    for (const Host *host : hosts)
        names.push_back(host->name);
    return names;
}

/// One run: rounds of load and faults, each followed by a pause in which everything must settle.
class Soak
{
public:
    Soak(System *system, std::uint64_t seed)
        : m_system(system)
        , m_rng(seed)
        , m_load(system, &m_scorecard, loadOptions(seed))
        , m_configuration(system, &m_scorecard, seed)
        , m_faults(system, &m_load, &m_configuration, &m_scorecard)
    {
        m_targets = {namesOf(system->hosts(Role::Entry)),
                     namesOf(system->hosts(Role::Control)),
                     namesOf(system->hosts(Role::Engine)),
                     namesOf(system->hosts(Role::Service)),
                     {},
                     {"floro-sal", "forde-sal", "sogndal-sal"}};
        for (const auto *names : {&m_targets.engines, &m_targets.services})
            m_targets.upstreams.insert(m_targets.upstreams.end(), names->begin(), names->end());
    }
    /// Prints the verdict also of a run that was broken off.
    ~Soak() { std::cout << m_load.text() << m_scorecard.text() << std::flush; }
    Soak(const Soak &) = delete;
    Soak &operator=(const Soak &) = delete;

    void run(base::Millis length)
    {
        const base::TimePoint until = base::monotonicNow() + length;
        for (base::TimePoint now = until - length; now < until; now = base::monotonicNow()) {
            const auto left = std::chrono::duration_cast<base::Millis>(until - now);
            round(std::clamp(left, kShortestRound, kRound));
        }
        m_load.checkAgainst(Witness(*m_system));
    }
    const Scorecard &scorecard() const { return m_scorecard; }

private:
    static LoadOptions loadOptions(std::uint64_t seed)
    {
        LoadOptions options;
        options.seed = seed;
        return options;
    }

    void tick()
    {
        const base::TimePoint now = base::monotonicNow();
        m_faults.tick(now);
        m_load.tick(now);
        m_configuration.tick(now);
    }

    void round(base::Millis length)
    {
        const std::vector<FaultStep> steps = drawFaults(m_rng, m_targets, length);
        for (const FaultStep &step : steps)
            std::cout << step.text() << '\n';
        std::cout << std::flush;
        const base::TimePoint start = base::monotonicNow();
        auto next = steps.begin();
        eventually(length + kSettleLimit, [&] {
            const base::TimePoint now = base::monotonicNow();
            for (; next != steps.end() && start + next->at <= now; ++next)
                m_faults.begin(*next, now);
            tick();
            return now - start >= length;
        });
        settle();
    }

    void settle()
    {
        m_load.pause(true);
        m_configuration.pause(true);
        const bool isSettled = eventually(kSettleLimit, [&] {
            tick();
            return m_faults.isWhole() && m_load.open() == 0 && m_load.jobs().open() == 0
                   && m_configuration.isSettled();
        });
        INFO(m_faults.text() << m_configuration.text());
        m_load.giveUp();
        // Without this no verdict on the rest would mean anything.
        REQUIRE(m_faults.isWhole());
        CHECK(isSettled);
        m_configuration.checkContents();
        const base::TimePoint until = base::monotonicNow() + kFloorLimit;
        for (const Host *engine : m_system->hosts(Role::Engine)) {
            const auto left = std::chrono::duration_cast<base::Millis>(
                    std::max(until - base::monotonicNow(), base::TimePoint::duration::zero()));
            m_scorecard.check(Promise::MemoryReturns, returnsToFloor(*m_system, *engine, left),
                              engine->name + " " + engineStats(*m_system, *engine).dump());
        }
        m_load.pause(false);
        m_configuration.pause(false);
    }

    System *m_system;
    Scorecard m_scorecard;
    base::Rng m_rng;
    SoakLoad m_load;
    ConfigurationWatch m_configuration;
    FaultDriver m_faults;
    Targets m_targets;
};

} // namespace

TEST_CASE("under a mixed load with faults drawn from a seed the eight promises hold", "[soak]")
{
    const std::int64_t seconds = numberFrom("HYSSOP_SOAK_SECONDS", kDefaultSeconds);
    const std::int64_t seed = numberFrom("HYSSOP_SOAK_SEED", kDefaultSeed);
    std::cout << "seed " << seed << ", " << seconds << " s" << std::endl;
    System system(soakPlan());
    bringUp(system);
    Soak soak(&system, static_cast<std::uint64_t>(seed));
    soak.run(base::Millis(seconds * 1'000));
    CHECK(soak.scorecard().brokenInAll() == 0);
    for (std::size_t i = 0; i < kPromises; ++i) {
        INFO("promise " << i + 1);
        CHECK(soak.scorecard().checked(static_cast<Promise>(i)) > 0);
    }
}
