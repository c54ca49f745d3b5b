// Entry hosts that lose their links to all upstreams, with real processes.

#include "PlatformBed.h"
#include "Replica.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <map>
#include <set>

using namespace hyssop;
using namespace hyssop::harness;
using base::Millis;

namespace {

constexpr Millis kSoon{10'000};
/// Bound of the settings on how long hosts may take to know a fact.
constexpr Millis kContact{3'000};
constexpr Millis kHeartbeat{1'000};
constexpr Millis kCut{9'000};
/// Links that are back are to be in use after this.
constexpr Millis kReturn{2'000};
constexpr std::size_t kReplicas = 8; ///< Engines first, then those of the plain service.
constexpr std::size_t kEngines = 5;
constexpr int kEvents = 8;

std::string manifest()
{
    return R"({"Version":1,"Routes":[{"Name":"chat","Host":"site.example","PathPrefix":"/chat/",)"
           R"("Kind":"streaming","TimeoutMs":6000,"TargetLatencyMs":300,"Priority":0,)"
           R"("Service":"model","MaxAttempts":2,"NoAuth":false,"Sticky":true,"Resumable":true,)"
           R"("GapTargetMs":250},{"Name":"book","Host":"site.example","PathPrefix":"/book/",)"
           R"("Kind":"non_idempotent","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":0,)"
           R"("Service":"booking","MaxAttempts":1,"NoAuth":false}],)"
           R"("Services":[{"Name":"model","HealthPath":"/health",)"
           R"("MaxConns":200,"Engine":{"Slots":16,"KvCapacityTokens":315000,"Stride":51,)"
           R"("step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,)"
           R"("read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,)"
           R"("usual":{"prompt":5000,"answer":500}}},)"
           R"({"Name":"booking","HealthPath":"/health","MaxConns":200}],)"
           R"("Tenants":[{"Name":"team","ApiKeys":["key"],"Priority":1}]})";
}

struct CutPlan
{
    std::size_t entries = 5;
    std::size_t streamCallers = 4; ///< At each entry host.
    std::size_t bookingCallers = 4;
    /// Each caller's calls begin that far apart, or when the one before has ended.
    Millis callInterval{400};
};

/// What a caller saw of one call, which it sent once.
struct CallSeen
{
    std::size_t entry = 0;
    std::string id;
    bool isStream = false;
    base::TimePoint sentAt;
    int status = 0;
    bool isServed = false;
};

/// Entry hosts behind a gate to engines and replicas of a plain service, and callers at all hosts.
class CutBed : public PlatformBed
{
public:
    explicit CutBed(const CutPlan &plan = {})
        : PlatformBed({3, plan.entries, kReplicas, false, true})
        , m_plan(plan)
    {
        for (std::size_t n = 0; n < kReplicas; ++n) {
            m_replicas.push_back(
                    std::make_unique<Replica>("i-" + std::to_string(n), replicaListen[n]));
        }
        REQUIRE(put(0, manifest(), kSoon));
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
        for (std::size_t n = 0; n < plan.entries; ++n) {
            for (std::size_t i = 0; i < plan.streamCallers; ++i)
                m_callers.emplace_back([this, n] { sendCalls(n, true); });
            for (std::size_t i = 0; i < plan.bookingCallers; ++i)
                m_callers.emplace_back([this, n] { sendCalls(n, false); });
        }
    }

    ~CutBed()
    {
        m_isStopping = true;
        m_heartbeats.join();
        stopLoad();
    }

    void stopLoad()
    {
        m_isLoadOver = true;
        for (std::thread &it : m_callers)
            it.join();
        m_callers.clear();
    }

    void cut(const std::vector<std::size_t> &hosts, Uplinks uplinks)
    {
        for (const std::size_t n : hosts)
            setUplinks(entries[n], uplinks);
    }

    /// Share of the calls of a kind at some hosts that were served, of those sent in that time.
    double servedShare(const std::vector<std::size_t> &hosts, bool isStream, base::TimePoint from,
                       base::TimePoint to) const
    {
        const std::lock_guard guard(m_mutex);
        int sent = 0;
        int served = 0;
        for (const CallSeen &it : m_calls) {
            if (it.isStream != isStream || it.sentAt < from || it.sentAt >= to
                || std::find(hosts.begin(), hosts.end(), it.entry) == hosts.end())
                continue;
            ++sent;
            served += it.isServed ? 1 : 0;
        }
        REQUIRE(sent >= 5);
        return static_cast<double>(served) / sent;
    }

    /// Requests of the plain service that replicas ran more often than once.
    int repeatedBookings() const
    {
        std::map<std::string, int> runs;
        for (const auto &replica : m_replicas) {
            for (const Run &it : replica->runs())
                ++runs[it.request];
        }
        return static_cast<int>(std::count_if(runs.begin(), runs.end(), [](const auto &it) {
            return it.first.starts_with("book") && it.second > 1;
        }));
    }

    /// Bookings that callers were told had not run, and that a replica ran.
    int falselyRefused() const
    {
        std::set<std::string> refused;
        {
            const std::lock_guard guard(m_mutex);
            for (const CallSeen &it : m_calls) {
                if (!it.isStream && (it.status == 503 || it.status == 429))
                    refused.insert(it.id);
            }
        }
        int count = 0;
        for (const auto &replica : m_replicas) {
            for (const Run &it : replica->runs())
                count += refused.contains(it.request) ? 1 : 0;
        }
        return count;
    }

private:
    void sendHeartbeats()
    {
        ++m_sequence;
        for (std::size_t n = 0; n < kReplicas; ++n)
            announce(controls[n % controls.size()].listen, m_replicas[n]->id(),
                     n < kEngines ? "model" : "booking", replicaOutside[n], m_sequence, false);
    }

    void sendCalls(std::size_t entry, bool isStream)
    {
        // The hosts' calls do not all come together.
        std::this_thread::sleep_for(m_plan.callInterval * entry / m_plan.entries);
        while (!m_isLoadOver) {
            const base::TimePoint next = base::monotonicNow() + m_plan.callInterval;
            CallSeen seen;
            seen.entry = entry;
            seen.isStream = isStream;
            seen.id = fmt::format("{}-{}", isStream ? "chat" : "book", ++m_lastCall);
            CallOptions options;
            options.body = "of " + seen.id;
            options.fields = fmt::format("Request-Id: {}\r\nApi-Key: key\r\nDeadline-Ms: {}\r\n",
                                         seen.id, isStream ? 5'000 : 3'000);
            if (isStream)
                options.fields += fmt::format("Model: m\r\nToken-Counts: 1000,{}\r\nPrompt-Prefix: "
                                              "aa:40,c{:x}:960\r\n",
                                              kEvents, static_cast<int>(m_lastCall));
            seen.sentAt = base::monotonicNow();
            const Reply reply = callOnce(entries[entry].listen, "POST",
                                         isStream ? "/chat/1" : "/book/1", options);
            seen.status = reply.status;
            seen.isServed = reply.status == 200 && reply.isWhole
                            && (isStream || reply.body == seen.id + " " + options.body);
            {
                const std::lock_guard guard(m_mutex);
                m_calls.push_back(seen);
            }
            std::this_thread::sleep_until(next);
        }
    }

    const CutPlan m_plan;
    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<CallSeen> m_calls;
    std::atomic<int> m_lastCall{0};
    std::atomic<std::int64_t> m_sequence{0};
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_isLoadOver{false};
    std::thread m_heartbeats;
    std::vector<std::thread> m_callers;
};

/// Cuts some hosts off and checks that their callers are served as often as those elsewhere.
void checkCallersAreServed(Uplinks uplinks, const std::vector<std::size_t> &cutHosts,
                           const CutPlan &plan = {})
{
    CutBed bed(plan);
    std::this_thread::sleep_for(Millis(2'000));
    const base::TimePoint cutAt = base::monotonicNow();
    bed.cut(cutHosts, uplinks);
    std::this_thread::sleep_for(kCut);
    const base::TimePoint joinedAt = base::monotonicNow();
    bed.cut(cutHosts, Uplinks::Open);
    std::this_thread::sleep_for(kReturn + std::max(Millis(2'000), 2 * plan.callInterval));
    const base::TimePoint end = base::monotonicNow();
    std::this_thread::sleep_for(Millis(500));
    bed.stopLoad();
    std::vector<std::size_t> others;
    for (std::size_t n = 0; n < plan.entries; ++n) {
        if (std::find(cutHosts.begin(), cutHosts.end(), n) == cutHosts.end())
            others.push_back(n);
    }
    for (const bool isStream : {true, false}) {
        if ((isStream ? plan.streamCallers : plan.bookingCallers) == 0)
            continue;
        CAPTURE(isStream);
        // The users' bound, of first attempts from kContact after the cut on.
        CHECK(bed.servedShare(cutHosts, isStream, cutAt + kContact, joinedAt)
              >= bed.servedShare(others, isStream, cutAt + kContact, joinedAt) * 2 / 3);
        CHECK(bed.servedShare(others, isStream, cutAt, end) >= 0.99);
        CHECK(bed.servedShare(cutHosts, isStream, joinedAt + kReturn, end) >= 0.99);
    }
    CHECK(bed.repeatedBookings() == 0);
    CHECK(bed.falselyRefused() == 0);
}

} // namespace

TEST_CASE("callers of hosts whose links to upstreams are reset are served as often as others")
{
    checkCallersAreServed(Uplinks::Reset, {0, 2});
}

TEST_CASE("callers of hosts whose links to upstreams fall silent are served as often as others")
{
    checkCallersAreServed(Uplinks::Silent, {0, 2});
}

TEST_CASE("callers of hosts that get no new links to upstreams are served as often as others")
{
    checkCallersAreServed(Uplinks::NoNew, {0, 2});
}

TEST_CASE("callers of a data centre whose hosts all lose their upstreams are served by others")
{
    checkCallersAreServed(Uplinks::Reset, {0, 2, 4});
}

TEST_CASE(
        "callers of most hosts, with few calls each, whose links fall silent are served as others")
{
    checkCallersAreServed(Uplinks::Silent, {0, 1, 2, 3, 4, 5, 6, 7}, {12, 1, 1, Millis(2'000)});
}

TEST_CASE("callers of most hosts, with few calls each, whose links are reset are served as others")
{
    checkCallersAreServed(Uplinks::Reset, {0, 1, 2, 3, 4, 5, 6, 7}, {12, 1, 1, Millis(2'000)});
}

TEST_CASE("bookings at hosts that get nothing else are served as elsewhere when links fall silent")
{
    checkCallersAreServed(Uplinks::Silent, {0, 1, 2, 3}, {12, 0, 1, Millis(3'000)});
}

// Eighty processes, by hand.
TEST_CASE("callers of most of 77 hosts whose links are lost are served as often as others",
          "[.large]")
{
    const Uplinks uplinks = GENERATE(Uplinks::Silent, Uplinks::Reset);
    CAPTURE(static_cast<int>(uplinks));
    constexpr std::size_t kEntries = 77;
    std::vector<std::size_t> cutHosts;
    for (std::size_t n = 0; n < kEntries * 4 / 5; ++n)
        cutHosts.push_back(n);
    checkCallersAreServed(uplinks, cutHosts, {kEntries, 1, 1, Millis(3'000)});
}

TEST_CASE("a planned stop of a host that takes over calls cuts none of them off")
{
    CutBed bed;
    const std::vector<std::size_t> cutHosts{0, 2};
    std::this_thread::sleep_for(Millis(2'000));
    const base::TimePoint cutAt = base::monotonicNow();
    bed.cut(cutHosts, Uplinks::Reset);
    std::this_thread::sleep_for(kContact + Millis(500));
    bed.entries[1].process->signal(SIGTERM);
    std::this_thread::sleep_for(Millis(5'000));
    const base::TimePoint end = base::monotonicNow();
    std::this_thread::sleep_for(Millis(500));
    bed.stopLoad();
    for (const bool isStream : {true, false})
        CHECK(bed.servedShare(cutHosts, isStream, cutAt + kContact, end) == 1);
    CHECK(bed.repeatedBookings() == 0);
    CHECK(bed.falselyRefused() == 0);
}
