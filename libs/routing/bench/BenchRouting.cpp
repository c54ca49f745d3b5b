// CPU time of the router per request, by number of upstreams. A benchmark, not a test.

#include "routing/Routing.h"

#include <fmt/format.h>

#include <ctime>
#include <deque>

using namespace hyssop;
using namespace hyssop::routing;

namespace {

constexpr int kTeams = 2'500;
constexpr int kModels = 36;
constexpr int kRequests = 20'000;

std::string numberedName(const char *prefix, int n)
{
    return prefix + std::to_string(n);
}

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/// A router with \a upstreams engines that serve \a models models; a single model is the worst
/// case.
class RouterBench
{
public:
    RouterBench(int upstreams, int models)
        : m_models(models)
        , m_router(options())
    {
        std::vector<records::Record> teams;
        teams.reserve(kTeams);
        for (int n = 0; n < kTeams; ++n)
            teams.push_back(
                    {records::Kind::Team, numberedName("team-", n), 1, records::Version(1), "{}"});
        m_router.handle(CatalogueChanged{records::Catalogue::build(teams, nullptr)}, m_now);
        for (int n = 0; n < upstreams; ++n) {
            UpstreamInfo info;
            info.id = base::UpstreamId(numberedName("engine-", n));
            info.models = {numberedName("model-", n % models)};
            info.kvTokens = base::Tokens(400'000);
            m_router.handle(UpstreamUpdated{info}, m_now);
        }
    }

    /// Keeps \a open attempts in flight. Returns the CPU time per request in microseconds.
    double run(std::size_t open)
    {
        const double start = processorSeconds();
        for (int n = 0; n < kRequests; ++n) {
            arrive(n);
            while (m_running.size() > open)
                finishOldest();
        }
        while (!m_running.empty())
            finishOldest();
        return (processorSeconds() - start) * 1e6 / kRequests;
    }

private:
    static RouterOptions options()
    {
        RouterOptions options;
        options.host = base::HostId("bench");
        options.maxQueued = 1'000'000;
        return options;
    }

    void arrive(int n)
    {
        m_now += base::Micros(500);
        RequestInfo request;
        request.id = base::RequestId(numberedName("r", ++m_lastRequestNumber));
        request.team = base::TeamId(numberedName("team-", n * 7 % kTeams));
        request.modelOrService = numberedName("model-", n % m_models);
        request.urgency = static_cast<records::Urgency>(n % records::kUrgencyCount);
        request.promptTokens = base::Tokens(n % 50 == 0 ? 100'000 : 1'000 + n % 8'000);
        request.maxOutputTokens = base::Tokens(64);
        for (std::uint64_t block = 0; block < 4; ++block)
            request.prefixHashes.push_back(block * 1'000 + static_cast<std::uint64_t>(n) % 40);
        request.deadline = m_now + std::chrono::minutes(10);
        recordStarts(m_router.handle(RequestArrived{request}, m_now));
    }

    void finishOldest()
    {
        const base::AttemptId id = m_running.front();
        m_running.pop_front();
        m_now += base::Micros(200);
        recordStarts(m_router.handle(AttemptTokens{id, 0, 1}, m_now));
        recordStarts(m_router.handle(AttemptFinished{id}, m_now));
    }

    void recordStarts(const Actions &actions)
    {
        for (const Action &action : actions) {
            if (const auto *start = std::get_if<StartAttempt>(&action))
                m_running.push_back(start->attempt);
        }
    }

    int m_models;
    base::TimePoint m_now{std::chrono::hours(1)};
    Router m_router;
    int m_lastRequestNumber = 0;
    std::deque<base::AttemptId> m_running;
};

} // namespace

int main()
{
    fmt::print("CPU time of routing per request (arrival, first token, end), us\n");
    fmt::print("{:>10} {:>8} {:>14} {:>14}\n", "upstreams", "models", "light load", "queues full");
    for (const int upstreams : {16, 88, 880}) {
        for (const int models : {1, kModels}) {
            if (models > upstreams)
                continue;
            const auto count = static_cast<std::size_t>(upstreams);
            const double light = RouterBench(upstreams, models).run(count / 2);
            const double full = RouterBench(upstreams, models).run(count * 64);
            fmt::print("{:>10} {:>8} {:>14.1f} {:>14.1f}\n", upstreams, models, light, full);
        }
    }
    return 0;
}
