#pragma once

#include "JobWatch.h"
#include "Witness.h"

#include <fstream>
#include <set>

namespace hyssop::soak {

struct LoadOptions
{
    std::uint64_t seed = 1;
    std::int64_t ratePerSecond = 12;
    std::int64_t hugeTokens = 80'000; ///< Of a prompt beyond one engine.
    std::int64_t oversizedTokens = 200'000; ///< Beyond all engines of a data centre together.
    base::Millis deadline{10'000};
    base::Millis jobDeadline{30'000};
};

/// Callers of every kind, drawn from a seed: short, long and huge prompts, streamed or not, service
/// calls with and without keys, calls sent twice, jobs, callers that vanish. Checks each answer.
class SoakLoad
{
public:
    SoakLoad(harness::System *system, harness::Scorecard *scorecard, LoadOptions options);

    void tick(base::TimePoint now);
    void pause(bool isPaused) { m_isPaused = isPaused; }
    std::size_t open() const { return m_open.size() + m_resends.size(); }
    JobWatch &jobs() { return m_jobs; }
    /// Counts calls that have not ended as broken.
    void giveUp();

    /// The balancer sends no new calls to a host.
    void takeOut(const harness::Host &entry) { m_out.insert(entry.name); }
    /// The host serves again after a fault.
    void putBack(const harness::Host &entry);
    /// Connections to the host may break from now on, until it is put back.
    void expectBreaks(const harness::Host &entry);
    /// The host was asked for a planned stop: none of its calls may be cut off.
    void expectGracefulStop(const harness::Host &entry);

    /// Compares what callers were told with what the upstreams wrote down.
    void checkAgainst(const Witness &witness);
    /// Ended calls by kind and code.
    std::string text() const;

private:
    enum class Kind { Short, Long, Huge, Oversized, Job, KeyedCall, HomeCall, PlainCall };
    struct Call
    {
        Kind kind = Kind::Short;
        std::string name;
        std::string entry;
        harness::Completion completion;
        harness::Pending pending;
        base::TimePoint started;
        std::optional<base::TimePoint> vanishes;
        bool mayBreak = false;
        bool wasThereAtStop = false;
        bool isAtStopping = false;
    };
    /// A service call that may not be repeated, as its callers know it.
    struct Once
    {
        std::string key;
        std::string path;
        std::string dataCentre; ///< Of a home-scoped key.
        bool wasAnswered = false;
        bool isUnsure = false; ///< Some copy was not refused as not run.
        int refused = 0; ///< Copies refused as not run.
    };
    struct Resend
    {
        base::TimePoint at;
        Kind kind = Kind::KeyedCall;
        std::string name;
    };
    struct Ending
    {
        std::string code; ///< Empty when the answer is whole.
        std::string outcome;
        bool isToldAll = true; ///< A whole answer or an error came.
        bool isOwn = true;
    };

    void startOne(base::TimePoint now);
    Kind drawKind();
    base::Millis drawDeadline(base::Millis usual);
    const harness::Host *drawEntry(const std::string &dataCentre = "");
    void startModelCall(Kind kind, const std::string &name, base::TimePoint now);
    void startServiceCall(Kind kind, const std::string &name, base::TimePoint now);
    void sendServiceCall(Kind kind, const std::string &name, base::TimePoint now);
    void open(Call call, const harness::Host &entry, base::TimePoint now);
    void vanish(const Call &call);
    void finish(const Call &call);
    Ending readModelCall(const Call &call, const harness::Answer &answer);
    Ending readJob(const Call &call, const harness::Answer &answer);
    Ending readServiceCall(const Call &call, const harness::Answer &answer);
    void checkEnding(const Call &call, const Ending &ending, const harness::Answer &answer);
    void record(const Call &call, const Ending &ending, const harness::Answer &answer);
    std::int64_t draw(std::int64_t below);
    bool happens(int percent) { return draw(100) < percent; }
    static const char *nameOf(Kind kind);

    harness::System *m_system;
    harness::Scorecard *m_scorecard;
    LoadOptions m_options;
    base::Rng m_rng;
    JobWatch m_jobs;
    std::list<Call> m_open;
    std::list<Resend> m_resends;
    std::map<std::string, Once> m_once; ///< By name.
    std::set<std::string> m_notRun; ///< Digests of prompts whose callers were told "not run".
    std::map<std::string, std::string> m_homePrefixes; ///< Of home-scoped keys, by data centre.
    std::set<std::string> m_out;
    std::set<std::string> m_breaking;
    std::set<std::string> m_stopping;
    std::map<std::string, std::int64_t> m_endings;
    std::ofstream m_log; ///< Each call without a whole answer, and why.
    base::TimePoint m_nextStart{};
    std::int64_t m_started = 0;
    bool m_isPaused = false;
};

} // namespace hyssop::soak
