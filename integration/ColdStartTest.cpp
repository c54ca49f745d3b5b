// Upstreams that turn cold under load, with real processes.

#include "PlatformBed.h"
#include "Replica.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>

using namespace hyssop;
using namespace hyssop::harness;
using base::Millis;

namespace {

constexpr Millis kSoon{10'000};
constexpr Millis kHeartbeat{500};
constexpr Millis kColdTime{6'000};
/// From the first announcement of a cold upstream until all hosts know of it.
constexpr Millis kNotice{2'000};
constexpr Millis kSecond{1'000};
constexpr std::size_t kReplicas = 2;
/// Four requests a second, once, and two more.
constexpr int kBound = 6;
constexpr auto kSettings = "Bounds:\n  ColdOver: 1.0\n  ColdSlack: 2\n";

std::string manifest(const std::string &fieldsOfService)
{
    return R"({"Version":1,"Routes":[{"Name":"r","Host":"site.example","PathPrefix":"/book/",)"
           R"("Kind":"idempotent","TimeoutMs":2000,"TargetLatencyMs":200,"Priority":0,)"
           R"("Service":"booking","MaxAttempts":2,"NoAuth":true}],)"
           R"("Services":[{"Name":"booking","HealthPath":"/health",)"
           + fieldsOfService + R"("MaxConns":50}]})";
}

/// Entry hosts under load, and replicas that announce themselves.
class ColdBed : public PlatformBed
{
public:
    explicit ColdBed(const std::string &fieldsOfService)
        : PlatformBed({3, 2, kReplicas, false, false, {}, kSettings})
    {
        for (std::size_t n = 0; n < kReplicas; ++n)
            m_replicas.push_back(std::make_unique<Replica>(idOf(n), replicaListen[n]));
        REQUIRE(put(0, manifest(fieldsOfService), kSoon));
        m_heartbeats = std::thread([this] {
            while (!m_isStopping) {
                sendHeartbeats();
                std::this_thread::sleep_for(kHeartbeat);
            }
        });
        REQUIRE(eventually(kSoon, [this] {
            return std::all_of(entries.begin(), entries.end(),
                               [this](const PlatformHost &it) { return isReady(it); });
        }));
        for (std::size_t n = 0; n < entries.size(); ++n)
            m_callers.emplace_back([this, n] { sendCalls(n); });
    }
    ~ColdBed()
    {
        m_isStopping = true;
        m_heartbeats.join();
        for (std::thread &it : m_callers)
            it.join();
    }

    /// All replicas announce from now on that they are cold until then.
    void turnCold() { m_coldUntil = base::monotonicNow() + kColdTime; }
    /// The largest number of requests that reached one replica in a second between \a from and
    /// \a to.
    int mostInOneSecond(base::TimePoint from, base::TimePoint to) const
    {
        std::ptrdiff_t most = 0;
        for (const auto &replica : m_replicas) {
            const auto runs = replica->runs();
            for (const auto &first : runs) {
                if (first.at < from || first.at + kSecond > to)
                    continue;
                most = std::max(most, std::count_if(runs.begin(), runs.end(), [&](const auto &it) {
                                    return it.at >= first.at && it.at < first.at + kSecond;
                                }));
            }
        }
        return static_cast<int>(most);
    }
    std::size_t runsSince(base::TimePoint from) const
    {
        std::size_t count = 0;
        for (const auto &replica : m_replicas) {
            for (const auto &it : replica->runs())
                count += it.at >= from ? 1 : 0;
        }
        return count;
    }

private:
    static std::string idOf(std::size_t n) { return "i-" + std::to_string(n); }
    void sendHeartbeats()
    {
        ++m_sequence;
        const auto left = std::chrono::floor<Millis>(m_coldUntil.load() - base::monotonicNow());
        for (std::size_t n = 0; n < kReplicas; ++n)
            announce(controls[(m_sequence + n) % controls.size()].listen, idOf(n), "booking",
                     replicaOutside[n], static_cast<std::int64_t>(m_sequence), false, 0,
                     "floro-sal", std::max(left, Millis(0)));
    }
    void sendCalls(std::size_t entry)
    {
        while (!m_isStopping) {
            CallOptions options;
            options.body = "ferry";
            options.fields =
                    fmt::format("Request-Id: e{}-{}\r\nDeadline-Ms: 1500\r\n", entry, ++m_lastCall);
            callOnce(entries[entry].listen, "POST", "/book/1", options);
            std::this_thread::sleep_for(Millis(5));
        }
    }

    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::size_t m_sequence = 0;
    std::atomic<base::TimePoint> m_coldUntil{base::TimePoint()};
    std::atomic<int> m_lastCall{0};
    std::atomic<bool> m_isStopping{false};
    std::thread m_heartbeats;
    std::vector<std::thread> m_callers;
};

} // namespace

// Above its bound a cold upstream crashes, just when its capacity is needed.
TEST_CASE("upstreams that turn cold get few requests until they are warm")
{
    ColdBed bed(R"("ColdS":3,"ColdPerS":4,)");
    REQUIRE(eventually(kSoon, [&] { return bed.runsSince(base::TimePoint()) > 100; }));
    const base::TimePoint coldAt = base::monotonicNow();
    bed.turnCold();
    std::this_thread::sleep_until(coldAt + kColdTime);
    // Requests that are delayed on the way arrive together with those of the next second.
    CHECK(bed.mostInOneSecond(coldAt + kNotice, coldAt + kColdTime) <= 2 * kBound);
    CHECK(bed.runsSince(coldAt + kNotice) > 0);
    const std::size_t served = bed.runsSince(base::TimePoint());
    CHECK(eventually(kSoon, [&] { return bed.runsSince(base::TimePoint()) > served + 100; }));
}

TEST_CASE("upstreams of a service without a bound get as many requests while they are cold")
{
    ColdBed bed("");
    REQUIRE(eventually(kSoon, [&] { return bed.runsSince(base::TimePoint()) > 100; }));
    const base::TimePoint coldAt = base::monotonicNow();
    bed.turnCold();
    std::this_thread::sleep_until(coldAt + kColdTime);
    CHECK(bed.mostInOneSecond(coldAt + kNotice, coldAt + kColdTime) > 2 * kBound);
}
