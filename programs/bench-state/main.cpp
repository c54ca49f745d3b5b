/// Measures the log of running control hosts: commands a second, their latency, and the longest
/// time without one.
#include "ledger/Ledger.h"
#include "peers/Peers.h"

#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <thread>

using namespace hyssop;

namespace {

constexpr base::Millis kCallTimeout{4'000};
constexpr base::Millis kPauseAfterRefusal{5};

class IgnoringService : public peers::Service
{
public:
    void onWatch(peers::WatchRequest, peers::Answer<peers::WatchReply>) override { }
    void onExecute(peers::ExecuteRequest, peers::Answer<peers::ExecuteReply>) override { }
    void onReplicate(peers::ReplicateMessage) override { }
    void onGossip(peers::GossipMessage) override { }
    void onQuery(peers::QueryRequest, peers::Answer<std::string>) override { }
};

struct Sample
{
    base::TimePoint started;
    base::TimePoint ended;
};

struct Plan
{
    std::vector<base::Endpoint> controls;
    std::string group;
    std::string kind;
    base::TimePoint until;
    std::string run;
};

/// Runs commands one after the other until the plan's end, each at the next control host after a
/// failure.
class Worker
{
public:
    Worker(peers::Node *node, const Plan &plan, int number)
        : m_node(node)
        , m_plan(plan)
        , m_number(number)
        , m_next(static_cast<std::size_t>(number))
    { }

    void run()
    {
        while (base::monotonicNow() < m_plan.until) {
            const Sample sample{base::monotonicNow(), execute()};
            if (m_isDone)
                m_samples.push_back(sample);
            else
                ++m_failures;
        }
    }
    const std::vector<Sample> &samples() const { return m_samples; }
    std::size_t failures() const { return m_failures; }

private:
    ledger::Command command()
    {
        const std::string name = fmt::format("{}-{}-{}", m_plan.run, m_number, ++m_count);
        const ledger::Owner owner{base::HostId("bench"), base::Incarnation(1)};
        if (m_plan.kind == "claims")
            return ledger::Claim{base::TeamId("bench"), name, "digest", owner};
        records::Record record{records::Kind::Team, name, 1, records::Version(1),
                               R"({"weight":1})"};
        return ledger::PutRecord{name, records::Version(0), record};
    }

    base::TimePoint execute()
    {
        std::mutex mutex;
        std::condition_variable condition;
        bool isAnswered = false;
        m_isDone = false;
        const base::Endpoint &to = m_plan.controls[m_next % m_plan.controls.size()];
        m_node->execute(to, {m_plan.group, ledger::encode(command(), 0)}, kCallTimeout,
                        [&](const tl::expected<peers::ExecuteReply, peers::PeerError> &reply) {
                            const std::lock_guard guard(mutex);
                            m_isDone = reply && reply->status == peers::ExecuteStatus::Done;
                            isAnswered = true;
                            condition.notify_one();
                        });
        std::unique_lock lock(mutex);
        condition.wait(lock, [&] { return isAnswered; });
        if (!m_isDone) {
            ++m_next;
            std::this_thread::sleep_for(kPauseAfterRefusal);
        }
        return base::monotonicNow();
    }

    peers::Node *m_node;
    const Plan &m_plan;
    int m_number;
    std::size_t m_next;
    std::int64_t m_count = 0;
    bool m_isDone = false;
    std::size_t m_failures = 0;
    std::vector<Sample> m_samples;
};

double millis(base::TimePoint::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void report(std::vector<Sample> samples, std::size_t failures, double seconds)
{
    std::vector<double> latencies;
    latencies.reserve(samples.size());
    for (const Sample &sample : samples)
        latencies.push_back(millis(sample.ended - sample.started));
    std::sort(latencies.begin(), latencies.end());
    std::sort(samples.begin(), samples.end(),
              [](const Sample &a, const Sample &b) { return a.ended < b.ended; });
    double gap = 0;
    for (std::size_t i = 1; i < samples.size(); ++i)
        gap = std::max(gap, millis(samples[i].ended - samples[i - 1].ended));
    const auto at = [&latencies](double share) {
        const auto last = static_cast<double>(latencies.size() - 1);
        return latencies.empty() ? 0.0 : latencies[static_cast<std::size_t>(share * last)];
    };
    fmt::print("done {} failed {} per second {:.0f} latency ms p50 {:.2f} p95 {:.2f} worst {:.2f} "
               "longest time without {:.0f} ms\n",
               samples.size(), failures, static_cast<double>(samples.size()) / seconds, at(0.5),
               at(0.95), at(1.0), gap);
}

base::SettingsBuilder settingsBuilder()
{
    base::SettingsBuilder builder("bench-state", "Measures the log of running control hosts.");
    builder.endpoints("controls", "Where control hosts listen for peers", "")
            .endpoint("listen", "Own address", "127.0.0.1:0")
            .text("group", "Group that runs the commands", "global")
            .choice("kind", "What is run", "claims", {"claims", "changes"})
            .number("outstanding", "Commands under way at a time", 1, 1, 256)
            .millis("duration-ms", "How long commands are sent", base::Millis(5'000),
                    base::Millis(100), base::Millis(600'000));
    return builder;
}

} // namespace

int main(int argc, char **argv)
{
    const auto settings = base::settingsForMain(settingsBuilder(), argc, argv);
    if (!settings)
        return settings.error();
    IgnoringService service;
    auto node = peers::Node::start(settings->endpoint("listen"), &service);
    if (!node || settings->endpoints("controls").empty())
        return 1;
    const base::TimePoint start = base::monotonicNow();
    const Plan plan{settings->endpoints("controls"), settings->text("group"),
                    settings->text("kind"), start + settings->millis("duration-ms"),
                    std::to_string(start.time_since_epoch().count())};
    std::vector<Worker> workers;
    workers.reserve(static_cast<std::size_t>(settings->number("outstanding")));
    for (int n = 0; n < settings->number("outstanding"); ++n)
        workers.emplace_back(node->get(), plan, n);
    std::vector<std::thread> threads;
    threads.reserve(workers.size());
    for (Worker &worker : workers)
        threads.emplace_back([&worker] { worker.run(); });
    for (std::thread &thread : threads)
        thread.join();
    std::vector<Sample> samples;
    std::size_t failures = 0;
    for (const Worker &worker : workers) {
        samples.insert(samples.end(), worker.samples().begin(), worker.samples().end());
        failures += worker.failures();
    }
    report(std::move(samples), failures, millis(base::monotonicNow() - start) / 1'000);
    return 0;
}
