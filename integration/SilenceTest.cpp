// Sound replicas that fall silent for a while and go on, with real processes.

#include "PlatformBed.h"
#include "Replica.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <future>
#include <iostream>
#include <set>

using namespace hyssop;
using namespace hyssop::harness;
using base::Millis;

namespace {

constexpr Millis kSoon{10'000};
/// A sound replica is silent for a second or so.
constexpr Millis kSilence{1'400};
constexpr Millis kTimeout{6'000};
constexpr int kEvents = 60;
constexpr std::size_t kEngines = 2;

std::string manifest()
{
    return R"({"Version":1,"Routes":[{"Name":"chat","Host":"site.example","PathPrefix":"/chat/",)"
           R"("Kind":"streaming","TimeoutMs":6000,"TargetLatencyMs":300,"Priority":0,)"
           R"("Service":"model","MaxAttempts":2,"NoAuth":false,"Sticky":true,"Resumable":true,)"
           R"("GapTargetMs":250}],"Services":[{"Name":"model","HealthPath":"/health",)"
           R"("MaxConns":200,"Engine":{"Slots":16,"KvCapacityTokens":315000,"Stride":51,)"
           R"("step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,)"
           R"("read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,)"
           R"("usual":{"prompt":5000,"answer":500}}}],)"
           R"("Tenants":[{"Name":"team","ApiKeys":["key"],"Priority":1}]})";
}

bool isWholeStream(const Reply &reply)
{
    std::string events;
    for (int n = 1; n <= kEvents; ++n)
        events += fmt::format("id: {0}\ndata: {0}\n\n", n);
    return reply.isWhole && reply.body == events;
}

constexpr std::size_t kEntryHosts = 5;
constexpr std::size_t kLoadEngines = 4; ///< The first of the upstreams.
constexpr std::size_t kLoadUpstreams = 8;
constexpr std::size_t kCallers = 20;
constexpr Millis kLoadTime{11'000};
constexpr Millis kManifestInterval{1'500};
constexpr Millis kHeartbeat{1'000};
/// Bounds of the settings: a request that is not passed on may meet a close that soon after it was
/// sent, and one that has used that part of its time, in percent, may end beside a manifest.
constexpr Millis kLossSlack{200};
constexpr int kLatePart = 70;
/// Callers use a connection again after up to this part of the limit of idle ones, in percent.
constexpr int kMostIdle = 80;
constexpr std::array<int, 4> kIdleTimeoutsMs{5'000, 1'000, 15'000, 2'000};
constexpr std::array<int, 3> kTimeoutsMs{6'000, 9'000, 7'000};
constexpr std::array<int, 3> kWeights{100, 50, 80};
const std::array<std::optional<int>, 3> kResumeStatuses{std::nullopt, 404, 500};

std::string serviceOf(std::size_t upstream)
{
    return upstream < kLoadEngines ? "model" : upstream % 2 == 0 ? "plain-a" : "plain-b";
}

/// Timeouts, the idle limit, the weights of two services and a team change with each version.
std::string loadManifest(std::size_t version)
{
    const int weight = kWeights.at(version % kWeights.size());
    const int timeout = kTimeoutsMs.at(version % kTimeoutsMs.size());
    const std::string plain =
            fmt::format(R"("Split":[{{"Service":"plain-a","Weight":{}}},)"
                        R"({{"Service":"plain-b","Weight":{}}}],"NoAuth":false}})",
                        weight, 100 - weight);
    const auto route = [timeout](const std::string &name, const std::string &kind, int attempts) {
        return fmt::format(R"({{"Name":"{0}","Host":"site.example","PathPrefix":"/{0}/",)"
                           R"("Kind":"{1}","TimeoutMs":{2},"TargetLatencyMs":300,"Priority":0,)"
                           R"("MaxAttempts":{3},)",
                           name, kind, timeout, attempts);
    };
    return fmt::format(R"({{"Version":{},"Routes":[{}"Service":"model","NoAuth":false,)"
                       R"("Sticky":true,"Resumable":true,"GapTargetMs":250}},{}{},{}{}],)"
                       R"("Services":[{{"Name":"model","HealthPath":"/health","MaxConns":200,)"
                       R"("Engine":{{"Slots":16,"KvCapacityTokens":315000,"Stride":51,)"
                       R"("step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,)"
                       R"("read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,)"
                       R"("report_lag_ms":200.0,"usual":{{"prompt":5000,"answer":500}}}}}},)"
                       R"({{"Name":"plain-a","HealthPath":"/health","MaxConns":200}},)"
                       R"({{"Name":"plain-b","HealthPath":"/health","MaxConns":200}}],)"
                       R"("Limits":{{"IdleTimeoutMs":{}}},"Tenants":[)"
                       R"({{"Name":"team","ApiKeys":["key"],"Priority":1}},)"
                       R"({{"Name":"team-{}","ApiKeys":["key-{}"],"Priority":1}}]}})",
                       version, route("chat", "streaming", 2), route("book", "non_idempotent", 1),
                       plain, route("look", "idempotent", 2), plain,
                       kIdleTimeoutsMs.at(version % kIdleTimeoutsMs.size()), version, version);
}

/// What a caller saw of one call under load.
struct CallSeen
{
    std::string id;
    Reply reply;
    Millis duration{0};
};

/// Callers on kept connections at several entry hosts, beside upstreams that fall silent in turn
/// and manifests one after the other.
class LoadBed : public PlatformBed
{
public:
    LoadBed()
        : PlatformBed({3, kEntryHosts, kLoadUpstreams})
    {
        for (std::size_t n = 0; n < kLoadUpstreams; ++n)
            upstreams.push_back(
                    std::make_unique<Replica>("i-" + std::to_string(n), replicaListen[n]));
        REQUIRE(put(0, loadManifest(1), kSoon));
        REQUIRE(eventually(kSoon, [this] {
            tickHeartbeats(base::monotonicNow());
            return std::all_of(entries.begin(), entries.end(),
                               [this](const PlatformHost &it) { return isReady(it); });
        }));
    }

    void play(std::uint64_t seed)
    {
        base::Rng rng(seed);
        const auto drawMs = [&rng](std::int64_t least, std::int64_t most) {
            return Millis(std::uniform_int_distribution<std::int64_t>(least, most)(rng));
        };
        std::vector<std::thread> callers;
        for (std::size_t n = 0; n < kCallers; ++n)
            callers.emplace_back([this, n, seed] { sendCalls(n, seed + n); });
        const base::TimePoint from = base::monotonicNow();
        std::vector<base::TimePoint> nextSilences;
        for (std::size_t n = 0; n < kLoadUpstreams; ++n)
            nextSilences.push_back(from + drawMs(500, 4'000));
        base::TimePoint nextManifest = from + kManifestInterval;
        for (base::TimePoint now = from; now < from + kLoadTime; now = base::monotonicNow()) {
            tickHeartbeats(now);
            if (now >= nextManifest) {
                nextManifest = now + kManifestInterval;
                ++m_version;
                manifests += put(m_version % 3, loadManifest(m_version), kSoon) ? 1 : 0;
            }
            for (std::size_t n = 0; n < kLoadUpstreams; ++n) {
                if (now < nextSilences[n])
                    continue;
                nextSilences[n] = now + drawMs(4'000, 9'000);
                // Until the next silence, some engines answer resumed streams with errors.
                for (std::size_t i = 0; i < kLoadEngines; ++i)
                    upstreams[i]->answerResumes(kResumeStatuses.at(rng() % kResumeStatuses.size()));
                upstreams[n]->fallSilent(drawMs(900, 1'300));
                ++silences;
            }
            std::this_thread::sleep_for(Millis(10));
        }
        m_isLoadOver = true;
        for (std::thread &it : callers)
            it.join();
    }

    std::set<std::string> requestsThatRan() const
    {
        std::set<std::string> requests;
        for (const auto &upstream : upstreams) {
            for (const Run &it : upstream->runs())
                requests.insert(it.request);
        }
        return requests;
    }

    std::vector<std::unique_ptr<Replica>> upstreams;
    std::vector<CallSeen> calls; ///< To be read after play().
    int manifests = 0;
    int silences = 0;

private:
    void tickHeartbeats(base::TimePoint now)
    {
        if (now < m_nextHeartbeat)
            return;
        m_nextHeartbeat = now + kHeartbeat;
        ++m_sequence;
        for (std::size_t n = 0; n < kLoadUpstreams; ++n)
            announce(controls[n % controls.size()].listen, upstreams[n]->id(), serviceOf(n),
                     replicaOutside[n], m_sequence, false);
    }

    /// The longest that a caller may leave a connection idle under the latest versions.
    Millis mostIdle() const
    {
        const std::size_t newest = m_version;
        int least = kIdleTimeoutsMs.at(newest % kIdleTimeoutsMs.size());
        for (std::size_t n = newest; n > 0 && n + 2 >= newest; --n)
            least = std::min(least, kIdleTimeoutsMs.at(n % kIdleTimeoutsMs.size()));
        return Millis(least * kMostIdle / 100);
    }

    void sendCalls(std::size_t number, std::uint64_t seed)
    {
        base::Rng rng(seed);
        std::unique_ptr<Caller> caller;
        base::TimePoint idleSince;
        for (int count = 0; !m_isLoadOver; ++count) {
            const Millis pause(std::uniform_int_distribution<std::int64_t>(
                    10, rng() % 10 == 0 ? mostIdle().count() : 50)(rng));
            std::this_thread::sleep_for(pause);
            if (!caller || !caller->isOpen() || base::monotonicNow() > idleSince + mostIdle())
                caller = std::make_unique<Caller>(entries[number % entries.size()].listen);
            const bool isStream = number % 2 == 0;
            const std::string target = isStream         ? "/chat/1"
                                       : count % 2 == 0 ? "/book/1"
                                                        : "/look/1";
            CallSeen seen;
            seen.id = fmt::format("c{}-{}", number, count);
            CallOptions options;
            options.body = "for " + seen.id;
            options.closes = false;
            options.limit = 2 * kTimeout;
            options.fields =
                    fmt::format("Request-Id: {}\r\nApi-Key: key\r\nDeadline-Ms: {}\r\n{}", seen.id,
                                kTimeout.count(),
                                isStream ? fmt::format("Model: m\r\nToken-Counts: 1000,{}\r\n"
                                                       "Prompt-Prefix: aa:40,{}:960\r\n",
                                                       kEvents, seen.id)
                                         : "");
            const base::TimePoint sentAt = base::monotonicNow();
            seen.reply = caller->call("POST", target, options);
            idleSince = base::monotonicNow();
            seen.duration = std::chrono::floor<Millis>(idleSince - sentAt);
            const std::lock_guard guard(m_mutex);
            calls.push_back(std::move(seen));
        }
    }

    std::mutex m_mutex;
    std::atomic<std::size_t> m_version{1};
    std::atomic<bool> m_isLoadOver{false};
    std::int64_t m_sequence = 0;
    base::TimePoint m_nextHeartbeat{};
};

/// One entry host and two engines.
class SilenceBed : public PlatformBed
{
public:
    SilenceBed()
        : PlatformBed({3, 1, kEngines})
    {
        for (std::size_t n = 0; n < kEngines; ++n)
            engines.push_back(
                    std::make_unique<Replica>("i-" + std::to_string(n), replicaListen[n]));
        REQUIRE(put(0, manifest(), kSoon));
        REQUIRE(eventually(kSoon, [this] {
            announceEngines();
            return isReady(entries.front());
        }));
    }

    void announceEngines()
    {
        ++m_sequence;
        for (std::size_t n = 0; n < kEngines; ++n)
            announce(controls[n].listen, engines[n]->id(), "model", replicaOutside[n], m_sequence,
                     false);
    }

    std::future<Reply> startChat()
    {
        return std::async(std::launch::async, [this] {
            CallOptions options;
            options.body = "prompt";
            options.closes = false;
            options.limit = 2 * kTimeout;
            options.fields = fmt::format("Request-Id: chat\r\nApi-Key: key\r\nDeadline-Ms: {}\r\n"
                                         "Model: m\r\nToken-Counts: 1000,{}\r\n"
                                         "Prompt-Prefix: aa:40,c1:960\r\n",
                                         kTimeout.count(), kEvents);
            const base::TimePoint sentAt = base::monotonicNow();
            Reply reply = callOnce(entries.front().listen, "POST", "/chat/1", options);
            duration = std::chrono::floor<Millis>(base::monotonicNow() - sentAt);
            return reply;
        });
    }

    /// Waits for a run and returns the engine that has it.
    std::size_t engineInUse() const
    {
        std::size_t used = kEngines;
        REQUIRE(eventually(kSoon, [this, &used] {
            for (std::size_t n = 0; n < kEngines; ++n) {
                if (!engines[n]->runs().empty())
                    used = n;
            }
            return used < kEngines;
        }));
        return used;
    }

    std::vector<std::unique_ptr<Replica>> engines;
    Millis duration{0}; ///< Of the chat, once its reply is there.

private:
    std::int64_t m_sequence = 0;
};

/// Plays a chat whose engine falls silent while the other one answers as \a prepare says.
Reply chatBesideSilence(SilenceBed &bed, const std::function<void(Replica &)> &prepare)
{
    auto chat = bed.startChat();
    const std::size_t used = bed.engineInUse();
    std::this_thread::sleep_for(Millis(200));
    prepare(*bed.engines[1 - used]);
    bed.engines[used]->fallSilent(kSilence);
    Reply reply = chat.get();
    CHECK_FALSE(bed.engines[1 - used]->traffic().arrivals.empty());
    return reply;
}

} // namespace

TEST_CASE("a stream whose resumption is answered with an error does not lose its caller")
{
    const int status = GENERATE(500, 404);
    CAPTURE(status);
    SilenceBed bed;
    const Reply reply = chatBesideSilence(bed, [status](Replica &it) { it.answerResumes(status); });
    CHECK(bed.duration < kTimeout);
    CHECK(isWholeStream(reply));
}

TEST_CASE("a stream is not cut when its engine falls silent and no other one takes it")
{
    SilenceBed bed;
    const Reply reply = chatBesideSilence(bed, [](Replica &it) { it.turnAway(Millis(0)); });
    CHECK(isWholeStream(reply));
}

TEST_CASE("a stream is resumed while its engine is silent")
{
    SilenceBed bed;
    const Reply reply = chatBesideSilence(bed, [](Replica &) {});
    CHECK(isWholeStream(reply));
    std::size_t runs = 0;
    for (const auto &it : bed.engines)
        runs += it->runs().size();
    CHECK(runs == 2);
}

TEST_CASE("no request is cut or left without an end beside silent upstreams and manifests")
{
    LoadBed bed;
    bed.play(20261205);
    const std::set<std::string> ran = bed.requestsThatRan();
    int served = 0;
    for (const CallSeen &it : bed.calls) {
        CAPTURE(it.id, it.reply.status, it.reply.body.size(), it.duration.count());
        const bool isLate = it.duration >= kTimeout * kLatePart / 100;
        const bool isCrossing = !ran.contains(it.id) && it.duration <= kLossSlack;
        CHECK_FALSE(it.reply.isTimedOut);
        CHECK((it.reply.isWhole || isLate || isCrossing));
        served += it.reply.status == 200 && it.reply.isWhole ? 1 : 0;
    }
    std::cout << bed.calls.size() << " calls, " << served << " served, " << bed.manifests
              << " manifests, " << bed.silences << " silences" << std::endl;
    CHECK(bed.manifests >= 5);
    CHECK(bed.silences >= static_cast<int>(kLoadUpstreams));
    // The gate: at most 60 in 100 may be refused or fail.
    CHECK(served * 10 >= static_cast<int>(bed.calls.size()) * 4);
}
