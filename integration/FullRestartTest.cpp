// Restart of all processes of a deployment at once. Reports the time of each step of the start.

#include "PlatformBed.h"
#include "Replica.h"

#include <catch2/catch.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <optional>
#include <thread>

using namespace hyssop;
using namespace hyssop::harness;
using base::Millis;

namespace {

constexpr Millis kSoon{20'000};
constexpr Millis kHeartbeat{1'000};
/// Time between the loss of all processes and their start.
constexpr Millis kDownTime{1'000};
constexpr std::size_t kControls = 3;
constexpr std::size_t kEntries = 3;
constexpr std::size_t kReplicas = 4;
constexpr auto kManifest =
        R"({"Version":1,"Routes":[{"Name":"r","Host":"site.example","PathPrefix":"/book/",)"
        R"("Kind":"idempotent","TimeoutMs":2000,"TargetLatencyMs":200,"Priority":0,)"
        R"("Service":"booking","MaxAttempts":2,"NoAuth":true}],)"
        R"("Services":[{"Name":"booking","HealthPath":"/health","MaxConns":50}]})";

using WallTime = std::chrono::system_clock::time_point;

/// Steps as the hosts log them.
const std::vector<std::string> kControlSteps{"event=log_recovered", "event=started",
                                             "event=first_contact", "event=leader_known",
                                             "event=leadership_taken"};
const std::vector<std::string> kEntrySteps{"event=started",         "step=first_contact",
                                           "step=leader_known",     "step=configuration_confirmed",
                                           "step=directory_usable", "step=ready",
                                           "step=first_response"};

/// Time of a log line, which starts with "ts=2026-01-31T10:20:30.123Z".
WallTime timeOf(const std::string &line)
{
    std::tm parts{};
    const char *rest = ::strptime(line.c_str(), "ts=%Y-%m-%dT%H:%M:%S", &parts);
    REQUIRE(rest);
    REQUIRE(*rest == '.');
    return std::chrono::system_clock::from_time_t(::timegm(&parts)) + Millis(std::stoi(rest + 1));
}

/// Hosts under load, with a caller at each entry host that retries as a 503 tells it.
class RestartBed : public PlatformBed
{
public:
    RestartBed()
        : PlatformBed({kControls, kEntries, kReplicas})
    {
        for (std::size_t n = 0; n < kReplicas; ++n)
            m_replicas.push_back(std::make_unique<Replica>(idOf(n), replicaListen[n]));
        REQUIRE(put(0, kManifest, kSoon));
        for (std::size_t n = 0; n < kReplicas; ++n)
            m_heartbeats.emplace_back([this, n] { sendHeartbeats(n); });
        REQUIRE(eventually(kSoon, [this] {
            return std::all_of(entries.begin(), entries.end(),
                               [this](const PlatformHost &it) { return isReady(it); });
        }));
        for (std::size_t n = 0; n < kEntries; ++n)
            m_callers.emplace_back([this, n] { sendCalls(n); });
    }
    ~RestartBed()
    {
        m_isStopping = true;
        for (std::thread &it : m_heartbeats)
            it.join();
        for (std::thread &it : m_callers)
            it.join();
    }

    void restartAll()
    {
        for (auto *hosts : {&controls, &entries}) {
            for (PlatformHost &it : *hosts)
                it.process->signal(SIGKILL);
        }
        std::this_thread::sleep_for(kDownTime);
        m_restartedAt = std::chrono::system_clock::now();
        for (auto *hosts : {&controls, &entries}) {
            for (PlatformHost &it : *hosts)
                start(it);
        }
    }
    /// Time from the restart to the first line of the host that holds \a step; empty without one.
    std::optional<Millis> timeOfStep(const PlatformHost &host, const std::string &step) const
    {
        std::ifstream log(host.log);
        for (std::string line; std::getline(log, line);) {
            const bool isStep = line.starts_with("ts=") && line.find(step) != std::string::npos;
            if (isStep && timeOf(line) >= std::chrono::floor<Millis>(m_restartedAt))
                return std::chrono::floor<Millis>(timeOf(line) - m_restartedAt);
        }
        return std::nullopt;
    }
    void report(const PlatformHost &host, const std::vector<std::string> &steps) const
    {
        std::string text = "full_restart host=" + host.name;
        for (const std::string &step : steps) {
            const auto at = timeOfStep(host, step);
            text += fmt::format(" {}={}", step.substr(step.find('=') + 1), at ? at->count() : -1);
        }
        std::cout << text << '\n';
    }
    int rejectedCalls() const { return m_rejectedCalls; }

private:
    static std::string idOf(std::size_t n) { return "i-" + std::to_string(n); }
    void sendHeartbeats(std::size_t n)
    {
        std::this_thread::sleep_for(kHeartbeat * n / kReplicas);
        for (std::size_t sequence = 1; !m_isStopping; ++sequence) {
            const base::TimePoint next = base::monotonicNow() + kHeartbeat;
            announce(controls[(sequence + n) % kControls].listen, idOf(n), "booking",
                     replicaOutside[n], static_cast<std::int64_t>(sequence), false);
            std::this_thread::sleep_until(next);
        }
    }
    void sendCalls(std::size_t entry)
    {
        while (!m_isStopping) {
            CallOptions options;
            options.body = "ferry";
            options.fields =
                    fmt::format("Request-Id: e{}-{}\r\nDeadline-Ms: 1500\r\n", entry, ++m_lastCall);
            const auto response = callOnce(entries[entry].listen, "POST", "/book/1", options);
            m_rejectedCalls += response.status == 503;
            std::this_thread::sleep_for(Millis(10));
        }
    }

    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<std::thread> m_heartbeats;
    std::vector<std::thread> m_callers;
    std::atomic<int> m_lastCall{0};
    std::atomic<int> m_rejectedCalls{0};
    std::atomic<bool> m_isStopping{false};
    WallTime m_restartedAt;
};

} // namespace

// Guards against a host that never serves again after the loss of all processes, and against steps
// that are missing in the log. The reported times have no bound here.
TEST_CASE("all hosts serve again after all processes were killed, and log each step of the start")
{
    RestartBed bed;
    std::this_thread::sleep_for(Millis(1'500));
    bed.restartAll();
    CHECK(eventually(kSoon, [&] {
        return std::all_of(bed.entries.begin(), bed.entries.end(), [&](const PlatformHost &it) {
            return bed.timeOfStep(it, "step=first_response").has_value();
        });
    }));
    for (const PlatformHost &it : bed.controls) {
        bed.report(it, kControlSteps);
        CHECK(bed.timeOfStep(it, "event=log_recovered"));
        CHECK(bed.timeOfStep(it, "event=first_contact"));
        CHECK((bed.timeOfStep(it, "event=leader_known")
               || bed.timeOfStep(it, "event=leadership_taken")));
    }
    for (const PlatformHost &it : bed.entries) {
        bed.report(it, kEntrySteps);
        for (const std::string &step : kEntrySteps)
            CHECK(bed.timeOfStep(it, step));
    }
    std::cout << "full_restart rejected_calls=" << bed.rejectedCalls() << '\n';
}
