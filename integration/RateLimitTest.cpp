// Upstreams that state a limit on the requests of all entry hosts together, with real processes.

#include "PlatformBed.h"
#include "Replica.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <csignal>

using namespace hyssop;
using namespace hyssop::harness;
using base::Millis;

namespace {

constexpr Millis kSoon{10'000};
/// Replicas announce themselves this often.
constexpr Millis kHeartbeat{1'000};
/// A host counts again this long after a restart or freeze.
constexpr Millis kContact{3'000};
/// A rejected call must be told so within this; it would have been in time for its objective.
constexpr Millis kLatencyObjective{300};
/// All hosts know a limit this long after one of them; what they send until then is not granted.
constexpr Millis kSpread{200};
constexpr std::size_t kEntryHosts = 7;
constexpr std::size_t kReplicas = 3;

std::string manifest()
{
    return fmt::format(
            R"({{"Version":1,"Routes":[{{"Name":"r","Host":"site.example","PathPrefix":"/book/",)"
            R"("Kind":"non_idempotent","TimeoutMs":2000,"TargetLatencyMs":{},"Priority":0,)"
            R"("Service":"booking","MaxAttempts":1,"NoAuth":true}}],)"
            R"("Services":[{{"Name":"booking","HealthPath":"/health","MaxConns":90}}]}})",
            kLatencyObjective.count());
}

/// What a caller saw of one call.
struct CallSeen
{
    std::size_t entry = 0;
    int status = 0;
    bool hasRetryAfter = false;
    base::TimePoint sentAt;
    base::TimePoint endedAt;
};

/// Seven entry hosts, three replicas of a plain service that announce themselves, and callers at
/// all entry hosts.
class LimitBed : public PlatformBed
{
public:
    LimitBed()
        : PlatformBed({3, kEntryHosts, kReplicas})
    {
        for (std::size_t n = 0; n < kReplicas; ++n)
            startReplica(n);
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
    }

    ~LimitBed()
    {
        stopLoad();
        m_isStopping = true;
        m_heartbeats.join();
    }

    Replica &replica(std::size_t n) { return *m_replicas[n]; }

    /// Ends a replica and starts it again under its id.
    void restartReplica(std::size_t n)
    {
        {
            const std::lock_guard guard(m_mutex);
            m_formerTraffic.push_back(m_replicas[n]->traffic());
            m_formerTraffic.back().endedAt = base::monotonicNow();
            m_replicas[n].reset();
            startReplica(n);
        }
        sendHeartbeats();
    }

    /// Sends one call to an entry host and returns the status of its answer.
    int call(std::size_t entry)
    {
        CallOptions options;
        options.body = "ferry";
        options.limit = Millis(3'000);
        options.fields =
                fmt::format("Request-Id: e{}-{}\r\nDeadline-Ms: 1500\r\n", entry, ++m_lastCall);
        return callOnce(entries[entry].listen, "POST", "/book/1", options).status;
    }

    /// Callers send \a perSecond calls at each entry host, one after the other.
    void startLoad(int perSecond)
    {
        for (std::size_t n = 0; n < kEntryHosts; ++n)
            m_callers.emplace_back([this, n, perSecond] { sendCalls(n, perSecond); });
    }

    void stopLoad()
    {
        m_isLoadOver = true;
        for (std::thread &it : m_callers)
            it.join();
        m_callers.clear();
        m_isLoadOver = false;
    }

    void excuse(std::size_t entry, base::TimePoint from, base::TimePoint to)
    {
        m_excuses.emplace_back(entries[entry].name, from, to + kContact);
    }

    std::vector<CallSeen> calls() const
    {
        const std::lock_guard guard(m_mutex);
        return m_calls;
    }

    std::int64_t servedSince(base::TimePoint from) const
    {
        const auto seen = calls();
        return std::count_if(seen.begin(), seen.end(), [from](const CallSeen &it) {
            return it.sentAt >= from && it.status == 200;
        });
    }

    int arrivedAt(std::size_t n, base::TimePoint from) const
    {
        const auto arrivals = m_replicas[n]->traffic().arrivals;
        return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(),
                                              [from](const auto &it) { return it.at >= from; }));
    }

    /// Checks all replicas; returns how many windows were compared.
    int checkLimits() const
    {
        const auto hostOf = [this](const std::string &request) {
            const auto end = request.find('-');
            const bool isCall = request.starts_with('e') && end != std::string::npos;
            return isCall ? entries[std::stoul(request.substr(1, end - 1))].name : std::string();
        };
        const auto isExcused = [this](const std::string &host, base::TimePoint at) {
            return std::any_of(m_excuses.begin(), m_excuses.end(), [&](const auto &it) {
                return std::get<0>(it) == host && at >= std::get<1>(it) && at <= std::get<2>(it);
            });
        };
        std::vector<ReplicaTraffic> all = m_formerTraffic;
        for (const auto &it : m_replicas)
            all.push_back(it->traffic());
        int windows = 0;
        for (const ReplicaTraffic &it : all) {
            const auto excess = worstExcess(it, CountedRequests::OfToldHosts, hostOf, isExcused);
            INFO((excess ? excess->text(m_start) : ""));
            CHECK_FALSE(excess);
            windows += countedWindows(it);
        }
        return windows;
    }

private:
    void startReplica(std::size_t n)
    {
        m_replicas[n] = std::make_unique<Replica>("i-" + std::to_string(n), replicaListen[n]);
        m_born[n] = std::chrono::duration_cast<Millis>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
    }

    void sendHeartbeats()
    {
        for (std::size_t n = 0; n < kReplicas; ++n) {
            std::int64_t born = 0;
            {
                const std::lock_guard guard(m_mutex);
                born = m_born[n];
            }
            for (const PlatformHost &it : controls) {
                if (announce(it.listen, "i-" + std::to_string(n), "booking", replicaListen[n],
                             ++m_lastSequence, false, born)
                    == 200)
                    break;
            }
        }
    }

    void sendCalls(std::size_t entry, int perSecond)
    {
        const auto interval = std::chrono::microseconds(1'000'000 / perSecond);
        base::TimePoint next = base::monotonicNow() + interval * static_cast<int>(entry) / 7;
        for (int count = 0; !m_isLoadOver; ++count) {
            std::this_thread::sleep_until(next);
            next = std::max(next + interval, base::monotonicNow());
            CallOptions options;
            options.body = "ferry";
            options.limit = Millis(3'000);
            options.fields = fmt::format("Request-Id: e{}-{}-{}\r\nDeadline-Ms: 1500\r\n", entry,
                                         ++m_lastCall, count);
            CallSeen seen;
            seen.entry = entry;
            seen.sentAt = base::monotonicNow();
            const Reply reply = callOnce(entries[entry].listen, "POST", "/book/1", options);
            seen.endedAt = base::monotonicNow();
            seen.status = reply.status;
            seen.hasRetryAfter = reply.head.find("Retry-After: ") != std::string::npos;
            const std::lock_guard guard(m_mutex);
            m_calls.push_back(seen);
        }
    }

    const base::TimePoint m_start = base::monotonicNow();
    mutable std::mutex m_mutex;
    std::array<std::unique_ptr<Replica>, kReplicas> m_replicas;
    std::array<std::int64_t, kReplicas> m_born{};
    std::vector<ReplicaTraffic> m_formerTraffic;
    std::atomic<std::int64_t> m_lastSequence{0};
    std::atomic<std::int64_t> m_lastCall{0};
    std::vector<CallSeen> m_calls;
    std::vector<std::tuple<std::string, base::TimePoint, base::TimePoint>> m_excuses;
    std::vector<std::thread> m_callers;
    std::thread m_heartbeats;
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_isLoadOver{false};
};

} // namespace

TEST_CASE(
        "an upstream gets no more requests from all entry hosts together than the limit it states")
{
    LimitBed bed;
    bed.startLoad(6);
    std::this_thread::sleep_for(Millis(1'500));
    const base::TimePoint limitedAt = base::monotonicNow();
    bed.replica(0).limitRequests(2.3);
    std::this_thread::sleep_for(Millis(9'000));
    bed.stopLoad();
    CHECK(bed.checkLimits() > 0);
    // The others take over the rest, and the limited one is not left idle.
    const auto seen = bed.calls();
    CHECK(std::all_of(seen.begin(), seen.end(),
                      [](const CallSeen &it) { return it.status == 200; }));
    CHECK(bed.arrivedAt(0, limitedAt + Millis(1'000)) >= 8);
}

TEST_CASE(
        "a limit that one entry host learns is kept by all others before they get it in an answer")
{
    LimitBed bed;
    for (std::size_t n = 0; n < kReplicas; ++n)
        bed.replica(n).limitRequests(0.2);
    // Sent by one host, until each replica has told it its limit and it has none left.
    const base::TimePoint from = base::monotonicNow();
    REQUIRE(eventually(kSoon, [&bed, from] {
        const bool isRejected = bed.call(0) == 503;
        for (std::size_t n = 0; n < kReplicas; ++n) {
            if (bed.arrivedAt(n, from) == 0)
                return false;
        }
        return isRejected;
    }));
    const base::TimePoint learnedAt = base::monotonicNow();
    std::this_thread::sleep_for(kSpread);
    for (std::size_t n = 1; n < kEntryHosts; ++n) {
        INFO("entry-" << n);
        CHECK(bed.call(n) == 503);
    }
    for (std::size_t n = 0; n < kReplicas; ++n)
        CHECK(bed.arrivedAt(n, learnedAt) == 0);
}

TEST_CASE("calls beyond the limits of all upstreams are rejected at once with a time to come back")
{
    LimitBed bed;
    for (std::size_t n = 0; n < kReplicas; ++n)
        bed.replica(n).limitRequests(1.5);
    bed.startLoad(3);
    std::this_thread::sleep_for(Millis(10'000));
    bed.stopLoad();
    CHECK(bed.checkLimits() > 0);
    int rejected = 0;
    for (const CallSeen &it : bed.calls()) {
        INFO("status " << it.status << " after "
                       << std::chrono::floor<Millis>(it.endedAt - it.sentAt).count() << " ms");
        CHECK((it.status == 200 || (it.status == 503 && it.hasRetryAfter)));
        CHECK(it.endedAt - it.sentAt <= kLatencyObjective);
        rejected += it.status == 503 ? 1 : 0;
    }
    CHECK(rejected > 0);
    // Nearly all of what the three accept together is used, 4.5 requests a second.
    CHECK(bed.servedSince({}) >= 36);
}

TEST_CASE("a request rate limit is followed when it is raised, lowered and dropped", "[.known-red]")
{
    LimitBed bed;
    bed.startLoad(6);
    bed.replica(0).limitRequests(2);
    std::this_thread::sleep_for(Millis(4'500));
    bed.replica(0).limitRequests(6);
    std::this_thread::sleep_for(Millis(1'500));
    const base::TimePoint raisedAt = base::monotonicNow();
    std::this_thread::sleep_for(Millis(3'000));
    CHECK(bed.arrivedAt(0, raisedAt) >= 10);
    bed.replica(0).limitRequests(0.5);
    std::this_thread::sleep_for(Millis(6'000));
    bed.replica(0).limitRequests(std::nullopt);
    std::this_thread::sleep_for(Millis(4'000));
    const base::TimePoint droppedAt = base::monotonicNow();
    std::this_thread::sleep_for(Millis(2'000));
    bed.stopLoad();
    CHECK(bed.checkLimits() > 0);
    // A third of 42 calls a second.
    CHECK(bed.arrivedAt(0, droppedAt) >= 18);
}

TEST_CASE("a rate limit ends when its upstream starts again under the same id")
{
    LimitBed bed;
    bed.startLoad(6);
    bed.replica(0).limitRequests(0.2);
    std::this_thread::sleep_for(Millis(5'000));
    bed.restartReplica(0);
    std::this_thread::sleep_for(Millis(1'500));
    const base::TimePoint restartedAt = base::monotonicNow();
    std::this_thread::sleep_for(Millis(2'000));
    bed.stopLoad();
    CHECK(bed.checkLimits() > 0);
    CHECK(bed.arrivedAt(0, restartedAt) >= 18);
}

TEST_CASE("a rate limit holds while control hosts die and entry hosts freeze and start again")
{
    LimitBed bed;
    bed.startLoad(6);
    bed.replica(0).limitRequests(2.3);
    bed.replica(1).limitRequests(1);
    std::this_thread::sleep_for(Millis(3'500));
    bed.entries[1].process->signal(SIGSTOP);
    const base::TimePoint frozenAt = base::monotonicNow();
    bed.controls[0].process.reset();
    std::this_thread::sleep_for(Millis(2'000));
    bed.entries[1].process->signal(SIGCONT);
    bed.excuse(1, frozenAt, base::monotonicNow());
    const base::TimePoint killedAt = base::monotonicNow();
    bed.entries[2].process.reset();
    bed.start(bed.entries[2]);
    bed.excuse(2, killedAt, base::monotonicNow());
    bed.start(bed.controls[0]);
    std::this_thread::sleep_for(Millis(1'500));
    for (PlatformHost &it : bed.controls)
        it.process->signal(SIGKILL);
    for (PlatformHost &it : bed.controls)
        bed.start(it);
    std::this_thread::sleep_for(Millis(7'000));
    bed.stopLoad();
    CHECK(bed.checkLimits() > 0);
}

TEST_CASE("an upstream that says in an answer that it leaves gets no more requests from any host")
{
    LimitBed bed;
    bed.startLoad(6);
    std::this_thread::sleep_for(Millis(1'500));
    REQUIRE(bed.arrivedAt(0, base::TimePoint()) > 0);
    bed.replica(0).sayLeaving();
    // Its heartbeats go on to say that it is ready.
    std::this_thread::sleep_for(Millis(2'500));
    const base::TimePoint settledAt = base::monotonicNow();
    std::this_thread::sleep_for(Millis(4'000));
    CHECK(bed.arrivedAt(0, settledAt) == 0);
    // Its next start is another upstream.
    bed.restartReplica(0);
    CHECK(eventually(kSoon, [&] { return bed.arrivedAt(0, settledAt) > 0; }));
    bed.stopLoad();
    const auto seen = bed.calls();
    CHECK(std::all_of(seen.begin(), seen.end(),
                      [](const CallSeen &it) { return it.status == 200; }));
}

TEST_CASE("an upstream that asks for a pause gets it from each host that it asked")
{
    LimitBed bed;
    constexpr Millis kPause(4'000);
    bed.startLoad(6);
    std::this_thread::sleep_for(Millis(1'000));
    const base::TimePoint turnedAwayAt = base::monotonicNow();
    bed.replica(0).turnAway(kPause);
    std::this_thread::sleep_for(Millis(3'500));
    // Each host has to be told once; the calls on their way count as well.
    CHECK(bed.arrivedAt(0, turnedAwayAt) <= 2 * static_cast<int>(kEntryHosts));
    bed.replica(0).turnAway({});
    const base::TimePoint servesAt = base::monotonicNow();
    CHECK(eventually(kSoon, [&] { return bed.arrivedAt(0, servesAt) > 0; }));
    bed.stopLoad();
    CHECK(bed.servedSince(turnedAwayAt) > 0);
}
