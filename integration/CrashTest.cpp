// Requests that crash the replicas that run them, with real processes.

#include "ReplicaKeeper.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace hyssop;
using namespace hyssop::harness;
using base::Millis;

namespace {

constexpr Millis kSoon{10'000};
/// Bound of the settings on how long hosts may take to know a fact.
constexpr Millis kContact{3'000};
constexpr std::size_t kEntryHosts = 7;
constexpr std::size_t kReplicas = 6;
constexpr int kEvents = 12;
/// Requests that crash replicas may reach them so often, kContact after the fifth crash.
constexpr int kAllowedArrivals = 3;
constexpr std::size_t kCrashesBeforeBound = 5;
const std::string kDeadlyPart = "dead";

std::string manifest()
{
    return fmt::format(
            R"({{"Version":1,"Routes":[{{"Name":"chat","Host":"site.example","PathPrefix":"/chat/",)"
            R"("Kind":"streaming","TimeoutMs":6000,"TargetLatencyMs":300,"Priority":0,)"
            R"("Service":"model","MaxAttempts":2,"NoAuth":false,"Sticky":true,"Resumable":true,)"
            R"("GapTargetMs":250}}],"Services":[{{"Name":"model","HealthPath":"/health",)"
            R"("MaxConns":200,"Engine":{{"Slots":16,"KvCapacityTokens":315000,"Stride":51,)"
            R"("step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,)"
            R"("read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,)"
            R"("usual":{{"prompt":5000,"answer":500}}}}}}],)"
            R"("Tenants":[{{"Name":"team","ApiKeys":["key"],"Priority":1}}]}})");
}

struct CallSeen
{
    std::string id;
    bool isDeadly = false;
    base::TimePoint sentAt;
    int status = 0;
    bool isWhole = false;

    bool isServed() const { return status == 200 && isWhole; }
};

/// Seven entry hosts, six replicas of a model, and callers at all entry hosts that share a key and
/// the first part of their prompts.
class CrashBed : public PlatformBed
{
public:
    CrashBed()
        : PlatformBed({3, kEntryHosts, kReplicas})
        , m_replicas(this, "model")
    {
        REQUIRE(put(0, manifest(), kSoon));
        REQUIRE(eventually(kSoon, [this] {
            return std::all_of(entries.begin(), entries.end(),
                               [this](const PlatformHost &it) { return isReady(it); });
        }));
    }

    ~CrashBed() { stopLoad(); }

    ReplicaKeeper &replicas() { return m_replicas; }

    /// Callers send \a perSecond calls at each entry host, each with \a deadlyPart unless empty.
    void startLoad(double perSecond, const std::string &deadlyPart)
    {
        for (std::size_t n = 0; n < kEntryHosts; ++n)
            m_callers.emplace_back(
                    [this, n, perSecond, deadlyPart] { sendCalls(n, perSecond, deadlyPart); });
    }

    void stopLoad()
    {
        m_isLoadOver = true;
        for (std::thread &it : m_callers)
            it.join();
        m_callers.clear();
    }

    /// Calls without the deadly part that were sent from \a from to \a to.
    std::vector<CallSeen> soundCalls(base::TimePoint from, base::TimePoint to) const
    {
        const std::lock_guard guard(m_mutex);
        std::vector<CallSeen> calls;
        std::copy_if(m_calls.begin(), m_calls.end(), std::back_inserter(calls),
                     [&](const CallSeen &it) {
                         return !it.isDeadly && it.sentAt >= from && it.sentAt < to;
                     });
        return calls;
    }

    static double servedShare(const std::vector<CallSeen> &calls)
    {
        REQUIRE(calls.size() >= 20);
        const auto served = std::count_if(calls.begin(), calls.end(),
                                          [](const CallSeen &it) { return it.isServed(); });
        return static_cast<double>(served) / static_cast<double>(calls.size());
    }

    /// Deadly requests that reached a replica later than \a from.
    int deadlyArrivals(base::TimePoint from) const
    {
        const auto arrivals = m_replicas.arrivals();
        return static_cast<int>(
                std::count_if(arrivals.begin(), arrivals.end(), [from](const auto &it) {
                    return it.at > from && it.request.starts_with("deadly");
                }));
    }

private:
    void sendCalls(std::size_t entry, double perSecond, const std::string &deadlyPart)
    {
        const auto interval = std::chrono::microseconds(static_cast<std::int64_t>(1e6 / perSecond));
        base::TimePoint next = base::monotonicNow() + interval * static_cast<int>(entry) / 7;
        for (int count = 0; !m_isLoadOver; ++count) {
            std::this_thread::sleep_until(next);
            next = std::max(next + interval, base::monotonicNow());
            const bool isDeadly = !deadlyPart.empty();
            CallSeen seen;
            seen.isDeadly = isDeadly;
            seen.id = fmt::format("{}-{}-{}", isDeadly ? "deadly" : "sound", entry, count);
            CallOptions options;
            options.body = "prompt of " + seen.id;
            options.fields = fmt::format(
                    "Request-Id: {0}\r\nApi-Key: key\r\nDeadline-Ms: 5000\r\nModel: m\r\n"
                    "Token-Counts: 1000,{1}\r\nPrompt-Prefix: aa:40,b{2}:400,{3}c{4:x}:300\r\n",
                    seen.id, kEvents, count % 5, isDeadly ? deadlyPart + ":100," : "",
                    entry * 100'000 + static_cast<std::size_t>(count));
            seen.sentAt = base::monotonicNow();
            const Reply reply = callOnce(entries[entry].listen, "POST", "/chat/1", options);
            seen.status = reply.status;
            seen.isWhole = reply.isWhole;
            const std::lock_guard guard(m_mutex);
            m_calls.push_back(seen);
        }
    }

    mutable std::mutex m_mutex;
    ReplicaKeeper m_replicas;
    std::vector<CallSeen> m_calls;
    std::vector<std::thread> m_callers;
    std::atomic<bool> m_isLoadOver{false};
};

} // namespace

TEST_CASE("requests with a part that crashes engines stop reaching them, and sound ones go on")
{
    CrashBed bed;
    bed.startLoad(3, "");
    std::this_thread::sleep_for(Millis(2'500));
    const base::TimePoint deadlyFrom = base::monotonicNow();
    CHECK(CrashBed::servedShare(bed.soundCalls({}, deadlyFrom)) == 1);
    bed.replicas().crashOn({{kDeadlyPart}});
    bed.startLoad(0.7, kDeadlyPart);
    std::this_thread::sleep_for(Millis(14'000));
    const base::TimePoint end = base::monotonicNow();
    bed.stopLoad();
    const auto crashes = bed.replicas().crashes();
    REQUIRE(!crashes.empty());
    const base::TimePoint lastCounted =
            crashes[std::min(kCrashesBeforeBound, crashes.size()) - 1].at;
    INFO(crashes.size() << " crashes, the last counted one "
                        << std::chrono::floor<Millis>(lastCounted - deadlyFrom).count()
                        << " ms after the first deadly request");
    if (crashes.size() >= kCrashesBeforeBound)
        CHECK(bed.deadlyArrivals(lastCounted + kContact) <= kAllowedArrivals);
    const auto sound = bed.soundCalls(lastCounted + 2 * kContact, end);
    CHECK(CrashBed::servedShare(sound) >= 0.5);
    // None is held back for the part that others have.
    CHECK(std::count_if(sound.begin(), sound.end(),
                        [](const CallSeen &it) { return it.status == 503; })
          == 0);
}
