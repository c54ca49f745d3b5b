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
constexpr int kEvents = 12;
/// Requests that crash replicas may reach them so often, kContact after the last counted crash.
constexpr int kAllowedArrivals = 3;
/// Crashes after which that counts, of a part and of a request.
constexpr std::size_t kPartCrashes = 5;
constexpr std::size_t kRequestCrashes = 3;
const std::string kDeadlyPart = "dead";

std::string manifest()
{
    return R"({"Version":1,"Routes":[{"Name":"chat","Host":"site.example","PathPrefix":"/chat/",)"
           R"("Kind":"streaming","TimeoutMs":6000,"TargetLatencyMs":300,"Priority":0,)"
           R"("Service":"model","MaxAttempts":2,"NoAuth":false,"Sticky":true,"Resumable":true,)"
           R"("GapTargetMs":250},{"Name":"look","Host":"site.example","PathPrefix":"/look/",)"
           R"("Kind":"idempotent","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":0,)"
           R"("Service":"lookup","MaxAttempts":3,"NoAuth":false}],)"
           R"("Services":[{"Name":"model","HealthPath":"/health",)"
           R"("MaxConns":200,"Engine":{"Slots":16,"KvCapacityTokens":315000,"Stride":51,)"
           R"("step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,)"
           R"("read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,)"
           R"("usual":{"prompt":5000,"answer":500}}},)"
           R"({"Name":"lookup","HealthPath":"/health","MaxConns":200}],)"
           R"("Tenants":[{"Name":"team","ApiKeys":["key"],"Priority":1},)"
           R"({"Name":"other","ApiKeys":["key-2"],"Priority":1}]})";
}

/// A call as its sender makes it.
struct PlannedCall
{
    std::string target;
    std::string body;
    std::string fields;
    std::string key = "key";
    bool isChunked = false;
};
/// Makes call \a count of an entry host. Ids differ between all calls.
using CallMaker = std::function<PlannedCall(std::size_t entry, int count)>;

/// A chat whose prompt shares its first part with all others and its second one with some.
PlannedCall chat(std::size_t entry, int count, const std::string &deadlyPart)
{
    PlannedCall call;
    call.target = "/chat/1";
    call.body = fmt::format("prompt {} of {}", count, entry);
    call.fields = fmt::format("Deadline-Ms: 5000\r\nModel: m\r\nToken-Counts: 1000,{}\r\n"
                              "Prompt-Prefix: aa:40,b{}:400,{}c{:x}:300\r\n",
                              kEvents, count % 5, deadlyPart.empty() ? "" : deadlyPart + ":100,",
                              entry * 100'000 + static_cast<std::size_t>(count));
    return call;
}

PlannedCall lookup(const std::string &body)
{
    PlannedCall call;
    call.target = "/look/1";
    call.body = body;
    call.fields = "Deadline-Ms: 3000\r\n";
    return call;
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

/// Seven entry hosts, replicas of a service, and callers at all entry hosts.
class CrashBed : public PlatformBed
{
public:
    CrashBed(const std::string &service, std::size_t replicas)
        : PlatformBed({3, kEntryHosts, replicas})
        , m_replicas(this, service)
    {
        REQUIRE(put(0, manifest(), kSoon));
        REQUIRE(eventually(kSoon, [this] {
            return std::all_of(entries.begin(), entries.end(),
                               [this](const PlatformHost &it) { return isReady(it); });
        }));
    }

    ~CrashBed() { stopLoad(); }

    /// Kills all processes at once and starts them again.
    void killAll()
    {
        for (auto *hosts : {&controls, &entries}) {
            for (PlatformHost &it : *hosts)
                it.process->signal(SIGKILL);
        }
        for (auto *hosts : {&controls, &entries}) {
            for (PlatformHost &it : *hosts)
                it.process->wait(kSoon);
        }
        for (auto *hosts : {&controls, &entries}) {
            for (PlatformHost &it : *hosts)
                start(it);
        }
        REQUIRE(eventually(kSoon, [this] {
            return std::all_of(entries.begin(), entries.end(),
                               [this](const PlatformHost &it) { return isReady(it); });
        }));
    }

    ReplicaKeeper &replicas() { return m_replicas; }
    const ReplicaKeeper &replicas() const { return m_replicas; }

    /// Callers send \a perSecond calls at each entry host.
    void startLoad(double perSecond, bool isDeadly, const CallMaker &makeCall)
    {
        for (std::size_t n = 0; n < kEntryHosts; ++n)
            m_callers.emplace_back([this, n, perSecond, isDeadly, makeCall] {
                sendCalls(n, perSecond, isDeadly, makeCall);
            });
    }

    void stopLoad()
    {
        m_isLoadOver = true;
        for (std::thread &it : m_callers)
            it.join();
        m_callers.clear();
        m_isLoadOver = false;
    }

    /// Calls that crash nothing and were sent from \a from to \a to.
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
    void sendCalls(std::size_t entry, double perSecond, bool isDeadly, const CallMaker &makeCall)
    {
        const auto interval = std::chrono::microseconds(static_cast<std::int64_t>(1e6 / perSecond));
        base::TimePoint next = base::monotonicNow() + interval * static_cast<int>(entry) / 7;
        for (int count = 0; !m_isLoadOver; ++count) {
            std::this_thread::sleep_until(next);
            next = std::max(next + interval, base::monotonicNow());
            CallSeen seen;
            seen.isDeadly = isDeadly;
            seen.id = fmt::format("{}-{}", isDeadly ? "deadly" : "sound", ++m_lastCall);
            const PlannedCall call = makeCall(entry, count);
            CallOptions options;
            options.body = call.body;
            options.isChunked = call.isChunked;
            options.fields = fmt::format("Request-Id: {}\r\nApi-Key: {}\r\n{}", seen.id, call.key,
                                         call.fields);
            seen.sentAt = base::monotonicNow();
            const Reply reply = callOnce(entries[entry].listen, "POST", call.target, options);
            seen.status = reply.status;
            seen.isWhole = reply.isWhole;
            const std::lock_guard guard(m_mutex);
            m_calls.push_back(seen);
        }
    }

    mutable std::mutex m_mutex;
    ReplicaKeeper m_replicas;
    std::vector<CallSeen> m_calls;
    std::atomic<int> m_lastCall{0};
    std::vector<std::thread> m_callers;
    std::atomic<bool> m_isLoadOver{false};
};

/// Checks the bounds from \a countedCrashes on.
void checkBounds(const CrashBed &bed, std::size_t countedCrashes, base::TimePoint end)
{
    const auto crashes = bed.replicas().crashes();
    REQUIRE(!crashes.empty());
    const base::TimePoint counted = crashes[std::min(countedCrashes, crashes.size()) - 1].at;
    INFO(crashes.size() << " crashes");
    if (crashes.size() >= countedCrashes)
        CHECK(bed.deadlyArrivals(counted + kContact) <= kAllowedArrivals);
    const auto sound = bed.soundCalls(counted + 2 * kContact, end);
    CHECK(CrashBed::servedShare(sound) >= 0.5);
    // None is held back for what others do.
    CHECK(std::count_if(sound.begin(), sound.end(),
                        [](const CallSeen &it) { return it.status == 503; })
          == 0);
}

} // namespace

TEST_CASE("requests with a part that crashes engines stop reaching them, and sound ones go on")
{
    CrashBed bed("model", 6);
    bed.startLoad(3, false, [](std::size_t entry, int count) { return chat(entry, count, ""); });
    std::this_thread::sleep_for(Millis(2'500));
    CHECK(CrashBed::servedShare(bed.soundCalls({}, base::monotonicNow())) == 1);
    bed.replicas().crashOn({{kDeadlyPart}, {}});
    bed.startLoad(0.7, true,
                  [](std::size_t entry, int count) { return chat(entry, count, kDeadlyPart); });
    std::this_thread::sleep_for(Millis(14'000));
    const base::TimePoint end = base::monotonicNow();
    bed.stopLoad();
    checkBounds(bed, kPartCrashes, end);
}

TEST_CASE("a request that crashes the replicas that run it stops reaching them, and others go on")
{
    CrashBed bed("lookup", 3);
    // The same caller asks for other things, and another caller for the same.
    bed.startLoad(2, false, [](std::size_t entry, int count) {
        return lookup(fmt::format("ferry {} of {}", count, entry));
    });
    bed.startLoad(1, false, [](std::size_t, int) {
        PlannedCall call = lookup("deadly ferry");
        call.key = "key-2";
        return call;
    });
    std::this_thread::sleep_for(Millis(2'500));
    CHECK(CrashBed::servedShare(bed.soundCalls({}, base::monotonicNow())) == 1);
    bed.replicas().crashOn({{}, {"team /look/1 deadly ferry"}});
    bed.startLoad(0.5, true, [](std::size_t, int count) {
        PlannedCall call = lookup("deadly ferry");
        call.isChunked = count % 2 == 1;
        return call;
    });
    std::this_thread::sleep_for(Millis(14'000));
    const base::TimePoint end = base::monotonicNow();
    bed.stopLoad();
    checkBounds(bed, kRequestCrashes, end);
}

// What is known must not be paid for again with upstreams after each loss of all processes.
TEST_CASE("a part that crashes engines is still known after all processes were killed at once")
{
    CrashBed bed("model", 6);
    bed.replicas().crashOn({{kDeadlyPart}, {}});
    const auto load = [&bed](Millis duration) {
        bed.startLoad(3, false,
                      [](std::size_t entry, int count) { return chat(entry, count, ""); });
        bed.startLoad(0.7, true,
                      [](std::size_t entry, int count) { return chat(entry, count, kDeadlyPart); });
        std::this_thread::sleep_for(duration);
        bed.stopLoad();
    };
    load(Millis(10'000));
    REQUIRE(bed.replicas().crashes().size() >= 4); // It takes four crashes to quarantine the part.
    bed.killAll();
    std::this_thread::sleep_for(kContact);
    const base::TimePoint inContactAt = base::monotonicNow();
    load(Millis(8'000));
    CHECK(bed.deadlyArrivals(inContactAt) <= kAllowedArrivals);
    CHECK(CrashBed::servedShare(bed.soundCalls(inContactAt + kContact, base::monotonicNow()))
          >= 0.5);
}
