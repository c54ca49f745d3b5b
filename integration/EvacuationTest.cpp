// Evacuation of a data centre under load, with real processes.

#include "PlatformBed.h"
#include "Replica.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <mutex>

using namespace hyssop;
using namespace hyssop::harness;
using base::Millis;

namespace {

constexpr Millis kSoon{10'000};
/// Bound on the time from the acknowledgement until the order is in force at each host.
constexpr Millis kEvacuationBound{5'000};
constexpr Millis kHeartbeat{1'000};
constexpr std::size_t kReplicas = 4;
const std::string kNorth = "floro-sal";
const std::string kSouth = "forde-sal";
constexpr auto kSettings = "Contracts: [\"places\"]\nZones:\n  floro-sal: \"r1\"\n"
                           "  forde-sal: \"r2\"\nRegion: \"r1\"\n";

/// \a fields are added to the route.
std::string manifest(const std::string &fields = {})
{
    return R"({"Version":1,"Routes":[{"Name":"r","Host":"site.example","PathPrefix":"/book/",)"
           R"("Kind":"idempotent","TimeoutMs":2000,"TargetLatencyMs":200,"Priority":0,)"
           + fields
           + R"("Service":"booking","MaxAttempts":2,"NoAuth":true}],)"
             R"("Services":[{"Name":"booking","HealthPath":"/health","MaxConns":50}]})";
}

/// Two entry hosts with callers, and replicas of which every second one is in the other data
/// centre.
class EvacuationBed : public PlatformBed
{
public:
    explicit EvacuationBed(const std::string &settings = kSettings,
                           const std::string &fieldsOfRoute = {})
        : PlatformBed({3, 2, kReplicas, false, false, {}, settings})
    {
        for (std::size_t n = 0; n < kReplicas; ++n)
            m_replicas.push_back(std::make_unique<Replica>(idOf(n), replicaListen[n]));
        REQUIRE(put(0, manifest(fieldsOfRoute), kSoon));
        m_heartbeats = std::thread([this] {
            while (!m_isStopping) {
                sendHeartbeats();
                std::this_thread::sleep_for(kHeartbeat);
            }
        });
        awaitReady();
        for (std::size_t n = 0; n < entries.size(); ++n)
            m_callers.emplace_back([this, n] { sendCalls(n); });
    }
    ~EvacuationBed()
    {
        m_isStopping = true;
        m_heartbeats.join();
        for (std::thread &it : m_callers)
            it.join();
    }

    void awaitReady()
    {
        REQUIRE(eventually(kSoon, [this] {
            return std::all_of(entries.begin(), entries.end(),
                               [this](const PlatformHost &it) { return isReady(it); });
        }));
    }
    int order(std::size_t control, const std::string &path, const std::string &body = {},
              const char *method = "POST") const
    {
        CallOptions options;
        options.body = body;
        options.limit = Millis(1'000);
        return callOnce(controls[control].listen, method, "/api/evacuations/" + path, options)
                .status;
    }
    /// Sends an order to one control host after the other until one acknowledges it.
    bool orderUntilAcknowledged(const std::string &path) const
    {
        std::size_t n = 0;
        return eventually(kSoon, [&] { return order(n++ % controls.size(), path) == 200; });
    }
    /// Requests that reached the replicas of a data centre after \a from.
    std::size_t arrivals(const std::string &dataCentre, base::TimePoint from) const
    {
        std::size_t count = 0;
        for (std::size_t n = 0; n < kReplicas; ++n) {
            if (dataCentreOf(n) != dataCentre)
                continue;
            for (const auto &it : m_replicas[n]->runs())
                count += it.at >= from ? 1 : 0;
        }
        return count;
    }
    void restartAll()
    {
        for (auto *hosts : {&controls, &entries}) {
            for (PlatformHost &it : *hosts)
                it.process->signal(SIGKILL);
        }
        for (auto *hosts : {&controls, &entries}) {
            for (PlatformHost &it : *hosts)
                start(it);
        }
    }
    int servedCalls() const { return m_servedCalls; }

private:
    static std::string idOf(std::size_t n) { return "i-" + std::to_string(n); }
    static const std::string &dataCentreOf(std::size_t n) { return n % 2 == 0 ? kNorth : kSouth; }
    void sendHeartbeats()
    {
        ++m_sequence;
        for (std::size_t n = 0; n < kReplicas; ++n) {
            const base::Endpoint &control = controls[(m_sequence + n) % controls.size()].listen;
            announce(control, idOf(n), "booking", replicaOutside[n],
                     static_cast<std::int64_t>(m_sequence), false, 0, dataCentreOf(n));
        }
    }
    void sendCalls(std::size_t entry)
    {
        while (!m_isStopping) {
            CallOptions options;
            options.body = "ferry";
            options.fields =
                    fmt::format("Request-Id: e{}-{}\r\nDeadline-Ms: 1500\r\n", entry, ++m_lastCall);
            m_servedCalls +=
                    callOnce(entries[entry].listen, "POST", "/book/1", options).status == 200;
            std::this_thread::sleep_for(Millis(10));
        }
    }

    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::size_t m_sequence = 0;
    std::atomic<int> m_lastCall{0};
    std::atomic<int> m_servedCalls{0};
    std::atomic<bool> m_isStopping{false};
    std::thread m_heartbeats;
    std::vector<std::thread> m_callers;
};

} // namespace

TEST_CASE("an evacuated data centre gets no requests until the evacuation ends, also after all "
          "processes were killed")
{
    EvacuationBed bed;
    const base::TimePoint start = base::monotonicNow();
    REQUIRE(eventually(kSoon, [&] {
        return bed.arrivals(kNorth, start) > 0 && bed.arrivals(kSouth, start) > 0;
    }));

    REQUIRE(bed.orderUntilAcknowledged(kNorth + "/start"));
    const base::TimePoint acknowledgedAt = base::monotonicNow();
    CHECK(bed.orderUntilAcknowledged(kNorth + "/start"));
    const base::TimePoint inForceAt = acknowledgedAt + kEvacuationBound;
    std::this_thread::sleep_until(inForceAt + Millis(1'000));
    CHECK(bed.arrivals(kNorth, inForceAt) == 0);
    CHECK(bed.arrivals(kSouth, inForceAt) > 0);

    bed.restartAll();
    bed.awaitReady();
    const int served = bed.servedCalls();
    std::this_thread::sleep_for(Millis(2'000));
    CHECK(bed.servedCalls() > served);
    CHECK(bed.arrivals(kNorth, inForceAt) == 0);

    REQUIRE(bed.orderUntilAcknowledged(kNorth + "/end"));
    const base::TimePoint endedAt = base::monotonicNow();
    CHECK(eventually(kSoon, [&] { return bed.arrivals(kNorth, endedAt) > 0; }));
}

// Killed right after the acknowledgement, no host has had the time to write anything later.
TEST_CASE("an order that was just acknowledged survives the loss of all processes")
{
    EvacuationBed bed;
    REQUIRE(bed.orderUntilAcknowledged(kSouth + "/start"));
    const base::TimePoint acknowledgedAt = base::monotonicNow();
    bed.restartAll();
    bed.awaitReady();
    const base::TimePoint readyAt = std::max(base::monotonicNow(), acknowledgedAt);
    std::this_thread::sleep_for(Millis(2'000));
    CHECK(bed.arrivals(kSouth, readyAt) == 0);
    CHECK(bed.arrivals(kNorth, readyAt) > 0);
}

TEST_CASE("an order that is not valid changes nothing")
{
    EvacuationBed bed;
    CHECK(bed.order(0, "atlantis/start") == 400);
    CHECK(bed.order(0, kNorth + "/start", "{}") == 400);
    CHECK(bed.order(0, kNorth + "/start", "", "GET") == 405);
    CHECK(bed.order(0, kNorth + "/pause") == 404);
    std::this_thread::sleep_for(Millis(1'000));
    const base::TimePoint now = base::monotonicNow();
    CHECK(eventually(kSoon, [&] { return bed.arrivals(kNorth, now) > 0; }));
}

TEST_CASE("calls are rejected with a time to come back while all data centres are evacuated")
{
    EvacuationBed bed;
    REQUIRE(bed.orderUntilAcknowledged(kNorth + "/start"));
    REQUIRE(bed.orderUntilAcknowledged(kSouth + "/start"));
    const auto call = [&] {
        CallOptions options;
        options.body = "ferry";
        options.fields = "Request-Id: all\r\nDeadline-Ms: 1500\r\n";
        return callOnce(bed.entries.front().listen, "POST", "/book/1", options);
    };
    REQUIRE(eventually(kEvacuationBound, [&] { return call().status == 503; }));
    CHECK(call().head.find("Retry-After: ") != std::string::npos);
    REQUIRE(bed.orderUntilAcknowledged(kSouth + "/end"));
    CHECK(eventually(kEvacuationBound, [&] { return call().status == 200; }));
}

TEST_CASE("there are no evacuations where the settings do not name their contract")
{
    EvacuationBed bed("Zones:\n  floro-sal: \"r1\"\n");
    CHECK(bed.order(0, kNorth + "/start") == 404);
}

TEST_CASE("requests do not leave the regions of their route, also when these are evacuated")
{
    EvacuationBed bed(kSettings, R"("AllowedRegions":["r2"],)");
    const base::TimePoint start = base::monotonicNow();
    REQUIRE(eventually(kSoon, [&] { return bed.arrivals(kSouth, start) > 20; }));
    REQUIRE(bed.orderUntilAcknowledged(kSouth + "/start"));
    const base::TimePoint inForceAt = base::monotonicNow() + kEvacuationBound;
    std::this_thread::sleep_until(inForceAt + Millis(1'000));
    CHECK(bed.arrivals(kSouth, inForceAt) == 0);
    CHECK(bed.arrivals(kNorth, start) == 0);
    const int served = bed.servedCalls();
    REQUIRE(bed.orderUntilAcknowledged(kSouth + "/end"));
    CHECK(eventually(kSoon, [&] { return bed.servedCalls() > served + 20; }));
    CHECK(bed.arrivals(kNorth, start) == 0);
}
