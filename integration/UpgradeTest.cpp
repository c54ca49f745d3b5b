// Hosts that are replaced one by one by another build while callers send and the configuration
// changes, with real processes. HYSSOP_PRODUCTION names a folder with the programs of the build
// that runs first (see tools/build-production); without it, this build is replaced by itself.

#include "PlatformBed.h"
#include "Replica.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <thread>

using namespace hyssop;
using namespace hyssop::harness;
using base::Millis;

namespace {

constexpr Millis kSoon{15'000};
constexpr Millis kHeartbeat{1'000};
/// The users' bounds, as in the settings of the bed.
constexpr Millis kRevocation{5'000};
constexpr Millis kPropagation{2'000};
constexpr Millis kSlack{1'000};
constexpr Millis kChangeInterval{1'500};
constexpr Millis kCallInterval{120};
/// After it a caller gives up; deadlines of calls are shorter.
constexpr Millis kCallLimit{9'000};
/// The load balancer notices within it that a host is to stop.
constexpr Millis kBalancerDelay{400};
/// A host that is asked to stop ends within it.
constexpr Millis kStopLimit{12'000};
/// The key of a version works for so many versions.
constexpr std::int64_t kKeyVersions = 4;
/// How long each mix of builds runs.
constexpr Millis kMix{2'500};
constexpr std::size_t kControls = 3;
constexpr std::size_t kEntryHosts = 4;
constexpr std::size_t kReplicas = 6; ///< Engines first, then those of the plain service.
constexpr std::size_t kEngines = 4;
constexpr std::size_t kCallersPerKind = 6;
constexpr int kEvents = 12;

/// Folder of the build that runs first; empty for this one.
std::filesystem::path production()
{
    const char *folder = std::getenv("HYSSOP_PRODUCTION");
    return folder ? folder : "";
}

std::string keyOf(std::int64_t version)
{
    return fmt::format("key-{}", version);
}

std::string manifest(std::int64_t version)
{
    std::string keys;
    for (std::int64_t n = 0; n < kKeyVersions; ++n)
        keys += fmt::format(R"({}"{}")", n > 0 ? "," : "", keyOf(version - n));
    return fmt::format(
            R"({{"Version":{0},"Routes":[{{"Name":"chat","Host":"site.example",)"
            R"("PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":6000,"TargetLatencyMs":300,)"
            R"("Priority":0,"Service":"model","MaxAttempts":2,"NoAuth":false,"Sticky":true,)"
            R"("Resumable":true,"GapTargetMs":250}},{{"Name":"book","Host":"site.example",)"
            R"("PathPrefix":"/book/","Kind":"non_idempotent","TimeoutMs":{1},)"
            R"("TargetLatencyMs":300,"Priority":0,"Service":"booking","MaxAttempts":1,)"
            R"("NoAuth":false}}],"Services":[{{"Name":"model","HealthPath":"/health",)"
            R"("MaxConns":200,"Engine":{{"Slots":16,"KvCapacityTokens":315000,"Stride":51,)"
            R"("step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,)"
            R"("read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,)"
            R"("usual":{{"prompt":5000,"answer":500}}}}}},{{"Name":"booking",)"
            R"("HealthPath":"/health","MaxConns":200}}],"Tenants":[{{"Name":"team",)"
            R"("ApiKeys":["key"],"Priority":1}},{{"Name":"guest","ApiKeys":[{2}],)"
            R"("Priority":1}}]}})",
            version, 4'000 + version % 2 * 500, keys);
}

std::int64_t versionIn(const std::string &manifest)
{
    const auto json = nlohmann::json::parse(manifest, nullptr, false);
    return json.is_object() ? json.value("Version", std::int64_t(0)) : 0;
}

/// What became of the calls.
struct Outcomes
{
    int sent = 0;
    int served = 0;
    int rejected = 0;
    std::vector<std::string> unanswered; ///< Ended without an answer, or with part of one.
    std::vector<std::string> failed; ///< Errors other than rejections.
    std::set<std::string> notRun; ///< Bookings that callers were told had not run.
};

class UpgradeBed : public PlatformBed
{
public:
    UpgradeBed()
        : PlatformBed({kControls, kEntryHosts, kReplicas, false, false, production()})
        , m_isServing(kEntryHosts)
    {
        for (std::size_t n = 0; n < kReplicas; ++n)
            m_replicas.push_back(
                    std::make_unique<Replica>("i-" + std::to_string(n), replicaListen[n]));
        REQUIRE(put(0, manifest(m_version), kSoon));
        m_acked[m_version] = base::monotonicNow();
        m_threads.emplace_back([this] { sendHeartbeats(); });
        REQUIRE(eventually(kSoon, [this] {
            return std::all_of(entries.begin(), entries.end(),
                               [this](const PlatformHost &it) { return serves(it); });
        }));
        for (auto &it : m_isServing)
            it = true;
        for (std::size_t n = 0; n < kCallersPerKind; ++n) {
            m_threads.emplace_back([this] { sendCalls(true); });
            m_threads.emplace_back([this] { sendCalls(false); });
        }
        m_threads.emplace_back([this] { changeConfiguration(); });
        m_threads.emplace_back([this] { tryKeys(); });
        std::this_thread::sleep_for(kMix);
    }

    ~UpgradeBed() { stopLoad(); }

    void stopLoad()
    {
        m_isStopping = true;
        for (std::thread &it : m_threads)
            it.join();
        m_threads.clear();
    }

    /// Stops a host as an operator does, and starts the other build on it.
    void replace(PlatformHost &host, const std::filesystem::path &folder)
    {
        const bool isEntry = host.data.empty();
        const std::size_t number = numberOf(host);
        host.process->signal(SIGTERM);
        if (isEntry) {
            std::this_thread::sleep_for(kBalancerDelay);
            m_isServing[number] = false;
        }
        const auto exit = host.process->wait(kStopLimit);
        REQUIRE(exit);
        CHECK(exit->code == 0);
        host.folder = folder;
        start(host);
        if (isEntry) {
            REQUIRE(eventually(kSoon, [&] { return isReady(host); }));
            CHECK(serves(host));
            m_isServing[number] = true;
        } else {
            REQUIRE(eventually(kSoon, [&] { return readVersion(host) > 0; }));
        }
        std::this_thread::sleep_for(kMix);
    }

    /// Whether calls of both kinds are served.
    bool serves(const PlatformHost &entry)
    {
        return isReady(entry) && sendCall(entry, true, false).status == 200
               && sendCall(entry, false, false).status == 200;
    }

    /// The control host that took the lead last.
    PlatformHost &leader()
    {
        PlatformHost *found = nullptr;
        std::int64_t highest = 0;
        for (PlatformHost &it : controls) {
            const std::int64_t term = lastTermLed(it);
            if (term > highest) {
                highest = term;
                found = &it;
            }
        }
        REQUIRE(found);
        return *found;
    }

    /// Stops the load and holds what was seen against the users' rules.
    void check()
    {
        std::this_thread::sleep_for(kRevocation);
        stopLoad();
        const std::int64_t lastAcked = m_acked.rbegin()->first;
        for (PlatformHost &it : controls) {
            const std::int64_t read = readVersion(it);
            CHECK(read >= lastAcked);
            CHECK(read <= m_version);
        }
        int repeated = 0;
        int falselyRefused = 0;
        std::map<std::string, int> runs;
        for (const auto &replica : m_replicas) {
            for (const Run &it : replica->runs()) {
                if (it.request.starts_with("book"))
                    repeated += ++runs[it.request] == 2 ? 1 : 0;
                falselyRefused += m_outcomes.notRun.contains(it.request) ? 1 : 0;
            }
        }
        WARN("replaced build: " << (production().empty() ? "this one" : production().string())
                                << "; calls " << m_outcomes.sent << ", served " << m_outcomes.served
                                << ", rejected " << m_outcomes.rejected << ", failed "
                                << m_outcomes.failed.size() << ", unanswered "
                                << m_outcomes.unanswered.size() << "; changes " << m_acked.size()
                                << "; keys tried " << m_keysTried << ", withdrawn ones "
                                << m_withdrawnTried << "; reads " << m_reads);
        CAPTURE(m_outcomes.unanswered, m_outcomes.failed, m_keyFaults);
        CHECK(m_outcomes.unanswered.empty());
        CHECK(m_outcomes.failed.empty());
        CHECK(m_outcomes.served >= m_outcomes.sent * 99 / 100);
        CHECK(repeated == 0);
        CHECK(falselyRefused == 0);
        CHECK(m_keyFaults.empty());
        CHECK(m_reverted == 0);
        CHECK(m_withdrawnTried > 0);
        CHECK(m_acked.size() > 10);
    }

private:
    static std::int64_t readVersion(const PlatformHost &control)
    {
        CallOptions options;
        options.limit = Millis(1'000);
        const Reply reply = callOnce(control.listen, "GET", "/api/config/get", options);
        return reply.status == 200 && reply.isWhole ? versionIn(reply.body) : 0;
    }

    /// Last term in which a control host took the lead, by its log; 0 for none.
    static std::int64_t lastTermLed(const PlatformHost &control)
    {
        constexpr std::string_view kTerm = " term=";
        std::int64_t term = 0;
        std::ifstream log(control.log);
        for (std::string line; std::getline(log, line);) {
            const auto at = line.find(kTerm);
            if (line.find("event=leadership_taken") != std::string::npos && at != std::string::npos)
                term = std::stoll(line.substr(at + kTerm.size()));
        }
        return term;
    }

    void sendHeartbeats()
    {
        for (std::int64_t sequence = 1; !m_isStopping; ++sequence) {
            for (std::size_t n = 0; n < kReplicas; ++n) {
                // A replica tries the next control host when one does not answer.
                for (std::size_t i = 0; i < kControls; ++i) {
                    if (announce(controls[(n + i) % kControls].listen, m_replicas[n]->id(),
                                 n < kEngines ? "model" : "booking", replicaOutside[n], sequence,
                                 false)
                        == 200)
                        break;
                }
            }
            std::this_thread::sleep_for(kHeartbeat);
        }
    }

    std::size_t pickEntry(base::Rng &rng) const
    {
        std::vector<std::size_t> serving;
        for (std::size_t n = 0; n < kEntryHosts; ++n) {
            if (m_isServing[n])
                serving.push_back(n);
        }
        return serving[rng() % serving.size()];
    }

    void sendCalls(bool isStream)
    {
        base::Rng rng(static_cast<std::uint64_t>(++m_lastCaller));
        while (!m_isStopping) {
            const base::TimePoint next = base::monotonicNow() + kCallInterval;
            sendCall(entries[pickEntry(rng)], isStream, true);
            std::this_thread::sleep_until(next);
        }
    }

    Reply sendCall(const PlatformHost &entry, bool isStream, bool isNoted)
    {
        const int number = ++m_lastCall;
        const std::string id = fmt::format("{}-{}", isStream ? "chat" : "book", number);
        CallOptions options;
        options.body = "of " + id;
        options.limit = kCallLimit;
        options.fields = fmt::format("Request-Id: {}\r\nApi-Key: key\r\nDeadline-Ms: {}\r\n", id,
                                     isStream ? 5'000 : 3'000);
        if (isStream)
            options.fields += fmt::format("Model: m\r\nToken-Counts: 1000,{}\r\nPrompt-Prefix: "
                                          "aa:40,c{:x}:960\r\n",
                                          kEvents, number);
        const Reply reply =
                callOnce(entry.listen, "POST", isStream ? "/chat/1" : "/book/1", options);
        if (isNoted)
            note(id, isStream, reply, id + " " + options.body);
        return reply;
    }

    static std::size_t numberOf(const PlatformHost &host)
    {
        return static_cast<std::size_t>(host.name.back() - '0');
    }

    void note(const std::string &id, bool isStream, const Reply &reply, const std::string &expected)
    {
        const std::lock_guard guard(m_mutex);
        ++m_outcomes.sent;
        if (reply.status == 0 || !reply.isWhole) {
            m_outcomes.unanswered.push_back(fmt::format("{} {}", id, reply.status));
        } else if (reply.status == 200 && (isStream || reply.body == expected)) {
            ++m_outcomes.served;
        } else if (reply.status == 503 || reply.status == 429) {
            ++m_outcomes.rejected;
            if (!isStream)
                m_outcomes.notRun.insert(id);
        } else {
            m_outcomes.failed.push_back(fmt::format("{} {}", id, reply.status));
        }
    }

    void changeConfiguration()
    {
        for (std::size_t n = 0; !m_isStopping; ++n) {
            const std::int64_t version = ++m_version;
            const std::string text = manifest(version);
            std::size_t to = n;
            while (!m_isStopping && !put(to % kControls, text, Millis(300)))
                ++to;
            if (m_isStopping)
                return;
            {
                const std::lock_guard guard(m_mutex);
                m_acked[version] = base::monotonicNow();
            }
            const base::TimePoint next = base::monotonicNow() + kChangeInterval;
            for (std::size_t i = 0; base::monotonicNow() < next; ++i) {
                const std::int64_t read = readVersion(controls[i % kControls]);
                m_reads += read > 0 ? 1 : 0;
                m_reverted += read > 0 && read < version ? 1 : 0;
                std::this_thread::sleep_for(Millis(150));
            }
        }
    }

    /// Tries keys that were withdrawn for longer than the bound, and those that have to be known.
    void tryKeys()
    {
        base::Rng rng(99);
        while (!m_isStopping) {
            std::this_thread::sleep_for(Millis(80));
            const base::TimePoint now = base::monotonicNow();
            std::int64_t withdrawn = 0;
            std::int64_t known = 0;
            std::int64_t latest = 0;
            {
                const std::lock_guard guard(m_mutex);
                for (const auto &[version, at] : m_acked) {
                    if (now >= at + kRevocation)
                        withdrawn = version - kKeyVersions;
                    if (now >= at + kPropagation + kSlack)
                        known = version;
                    latest = version;
                }
            }
            const std::size_t entry = pickEntry(rng);
            if (withdrawn > 0) {
                const int status = callWith(keyOf(withdrawn), entry);
                ++m_withdrawnTried;
                if (status == 200)
                    addKeyFault(fmt::format("withdrawn {} works at {}", withdrawn, entry));
            }
            // One more version may be on its way.
            if (known > 0 && latest + 1 < known + kKeyVersions) {
                const int status = callWith(keyOf(known), entry);
                ++m_keysTried;
                if (status == 401)
                    addKeyFault(fmt::format("{} not known at {}", known, entry));
            }
        }
    }

    int callWith(const std::string &key, std::size_t entry)
    {
        CallOptions options;
        options.fields = fmt::format("Request-Id: try-{}\r\nApi-Key: {}\r\nDeadline-Ms: 2000\r\n",
                                     ++m_lastCall, key);
        options.body = "key";
        return callOnce(entries[entry].listen, "POST", "/book/1", options).status;
    }

    void addKeyFault(std::string fault)
    {
        const std::lock_guard guard(m_mutex);
        m_keyFaults.push_back(std::move(fault));
    }

    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<std::atomic<bool>> m_isServing;
    Outcomes m_outcomes;
    std::map<std::int64_t, base::TimePoint> m_acked;
    std::vector<std::string> m_keyFaults;
    std::atomic<std::int64_t> m_version{1};
    std::atomic<int> m_lastCaller{0};
    std::atomic<int> m_lastCall{0};
    std::atomic<int> m_keysTried{0};
    std::atomic<int> m_withdrawnTried{0};
    std::atomic<int> m_reads{0};
    std::atomic<int> m_reverted{0};
    std::atomic<bool> m_isStopping{false};
    std::vector<std::thread> m_threads;
};

} // namespace

TEST_CASE("hosts replaced one by one lose no caller, configuration or withdrawal of a key")
{
    UpgradeBed bed;
    bed.replace(bed.entries[0], "");
    bed.replace(bed.controls[0], "");
    bed.replace(bed.entries[1], "");
    bed.replace(bed.controls[1], "");
    bed.replace(bed.entries[2], "");
    // One of each goes back and forth.
    bed.replace(bed.controls[0], production());
    bed.replace(bed.entries[0], production());
    bed.replace(bed.controls[2], "");
    bed.replace(bed.entries[3], "");
    bed.replace(bed.entries[0], "");
    bed.replace(bed.controls[0], "");
    // What it knows now comes from control hosts of the other build only.
    bed.replace(bed.entries[1], production());
    bed.check();
}

TEST_CASE("a leader of either build with followers of the other loses no caller, configuration or "
          "key")
{
    UpgradeBed bed;
    PlatformHost &first = bed.leader();
    for (PlatformHost &it : bed.controls) {
        if (&it != &first)
            bed.replace(it, "");
    }
    CHECK(&bed.leader() == &first);
    bed.replace(bed.entries[0], "");
    bed.replace(first, production());
    PlatformHost &second = bed.leader();
    CHECK(&second != &first);
    bed.replace(bed.entries[1], "");
    for (PlatformHost &it : bed.controls) {
        if (&it != &second && &it != &first)
            bed.replace(it, production());
    }
    CHECK(&bed.leader() == &second);
    bed.check();
}
