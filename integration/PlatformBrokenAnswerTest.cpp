// Upstreams whose answers are broken or none, at the programs of the users' platform. Guards
// against callers that get such an answer as a complete one.

#include "PlatformBed.h"
#include "ScriptedServer.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <array>
#include <atomic>

using namespace hyssop;
using namespace hyssop::harness;
using base::Millis;
using testing::Ending;
using testing::Script;

namespace {

constexpr Millis kSoon{10'000};
constexpr std::size_t kUpstreams = 12;
constexpr std::size_t kCallers = 3;
constexpr std::size_t kUploadBytes = 900'000;
/// Pauses between the last byte of an answer and the reset.
constexpr std::array<Millis, 6> kResetDelays{Millis(0),  Millis(1),  Millis(5),
                                             Millis(20), Millis(80), Millis(300)};
/// Calls of each route with each delay.
constexpr std::size_t kCallsPerDelay = 10;
/// Longer than any call may take.
constexpr Millis kStaysOpen{6'000};
const std::array<std::string, 3> kPaths{"/once/", "/repeat/", "/stream/"};
constexpr auto kEvents = "id: 1\ndata: broken\n\nid: 2\ndata: broken\n\n";

std::string manifest()
{
    std::string routes;
    const auto add = [&routes](const char *path, const char *kind, int attempts) {
        routes += fmt::format(
                R"({}{{"Name":"r{}","Host":"site.example","PathPrefix":"{}","Kind":"{}",)"
                R"("TimeoutMs":4000,"TargetLatencyMs":300,"GapTargetMs":250,"Priority":0,)"
                R"("Service":"booking","MaxAttempts":{},"NoAuth":true}})",
                routes.empty() ? "" : ",", routes.size(), path, kind, attempts);
    };
    add("/once/", "non_idempotent", 1);
    add("/repeat/", "idempotent", 2);
    add("/stream/", "streaming", 1);
    return R"({"Version":1,"Routes":[)" + routes
           + R"(],"Services":[{"Name":"booking","HealthPath":"/health","MaxConns":200}]})";
}

std::string headOf(const std::string &status, const std::string &fields)
{
    return "HTTP/1.1 " + status + " OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n" + fields
           + "\r\n";
}

/// Hosts and upstreams that all follow the same script.
class BrokenBed : public PlatformBed
{
public:
    BrokenBed()
        : PlatformBed(planned())
    {
        REQUIRE(put(0, manifest(), kSoon));
        for (const base::Endpoint &it : replicaListen)
            m_upstreams.push_back(std::make_unique<testing::ScriptedServer>(Script(), it));
        follow({headOf("200", "Content-Length: 2\r\n") + "up", Ending::ReadAndClose});
        for (const PlatformHost &entry : entries)
            REQUIRE(eventually(kSoon, [&] { return isReady(entry) && probe(entry) == 200; }));
    }

    /// All upstreams follow \a script from now on.
    void follow(const Script &script)
    {
        ++m_sequence;
        for (std::size_t n = 0; n < kUpstreams; ++n) {
            m_upstreams[n]->setScript(script);
            announce(controls[n % controls.size()].listen, fmt::format("i-{}", n), "booking",
                     replicaOutside[n], m_sequence, false);
        }
    }
    int requestCount() const
    {
        int n = 0;
        for (const auto &it : m_upstreams)
            n += it->requestCount();
        return n;
    }
    /// One call; no two of them are alike.
    Reply call(const base::Endpoint &to, const std::string &path, std::size_t bodyBytes)
    {
        const int n = ++m_lastCall;
        CallOptions options;
        options.body = fmt::format("{} ", n);
        options.body.resize(std::max(options.body.size(), bodyBytes), 'x');
        options.fields = fmt::format("Request-Id: r{}\r\nDeadline-Ms: 3000\r\n", n);
        return callOnce(to, "POST", fmt::format("{}{}", path, n), options);
    }
    /// Calls of all routes with each of the delays, several at a time, to the entry hosts in turn.
    /// Returns how many answers the callers took as complete.
    int countComplete(const std::string &answer, Ending ending, std::size_t bodyBytes)
    {
        return countComplete(answer, ending, bodyBytes,
                             {entries.front().listen, entries.back().listen});
    }
    int countComplete(const std::string &answer, Ending ending, std::size_t bodyBytes,
                      const std::vector<base::Endpoint> &to)
    {
        std::atomic<int> completeCount = 0;
        for (const Millis delay : kResetDelays) {
            follow({answer, ending, delay});
            std::atomic<std::size_t> next = 0;
            std::vector<std::thread> callers;
            for (std::size_t n = 0; n < kCallers; ++n) {
                callers.emplace_back([&] {
                    for (std::size_t i = next++; i < kCallsPerDelay * kPaths.size(); i = next++) {
                        const Reply reply =
                                call(to[i % to.size()], kPaths[i % kPaths.size()], bodyBytes);
                        completeCount += reply.isWhole && reply.status == 200 ? 1 : 0;
                    }
                });
            }
            for (std::thread &it : callers)
                it.join();
        }
        return completeCount;
    }

    static constexpr int kCalls =
            static_cast<int>(kCallsPerDelay * kPaths.size() * kResetDelays.size());

private:
    static PlatformPlan planned()
    {
        PlatformPlan plan;
        plan.entries = 2;
        plan.replicas = kUpstreams;
        return plan;
    }
    int probe(const PlatformHost &entry) { return call(entry.listen, "/once/", 0).status; }

    std::vector<std::unique_ptr<testing::ScriptedServer>> m_upstreams;
    int m_sequence = 0;
    std::atomic<int> m_lastCall = 0;
};

/// Checks that callers at all routes get an error of this system instead of \a answer, and not only
/// at their time limit.
void checkIsReplaced(BrokenBed &bed, const std::string &answer)
{
    CAPTURE(answer);
    bed.follow({answer, Ending::ReadAndClose, kStaysOpen});
    const int before = bed.requestCount();
    for (const std::string &path : kPaths) {
        const Reply reply = bed.call(bed.entries.front().listen, path, 0);
        CAPTURE(path, reply.head, reply.body);
        CHECK((reply.status == 502 || reply.status == 503));
        CHECK(reply.head.find("Marked") == std::string::npos);
        CHECK(reply.body.find("broken") == std::string::npos);
    }
    CHECK(bed.requestCount() > before);
}

} // namespace

TEST_CASE("answers without a length that are reset during the upload do not reach callers as whole")
{
    BrokenBed bed;
    const int before = bed.requestCount();
    CHECK(bed.countComplete(headOf("200", "Content-Type: text/event-stream\r\n") + kEvents,
                            Ending::Reset, kUploadBytes)
          == 0);
    CHECK(bed.countComplete(headOf("200", ""), Ending::Reset, kUploadBytes) == 0);
    CHECK(bed.countComplete(headOf("200", "Content-Type: text/event-stream\r\n") + kEvents,
                            Ending::ReadAndReset, 0)
          == 0);
    // Most calls are to reach an upstream; some are rejected while upstreams are ejected.
    CHECK(bed.requestCount() - before > 3 * BrokenBed::kCalls / 2);
}

TEST_CASE("answers that are reset during the upload are not whole for a host that relays the call")
{
    BrokenBed bed;
    std::vector<base::Endpoint> relayPorts;
    for (const PlatformHost &it : bed.entries) {
        relayPorts.push_back(bed.peerEndpoint(it));
        ++relayPorts.back().port;
    }
    const std::string head = headOf("200", "Content-Type: text/event-stream\r\n");
    CHECK(bed.countComplete(head + kEvents, Ending::Reset, kUploadBytes, relayPorts) == 0);
    CHECK(bed.countComplete(head + kEvents, Ending::ReadAndClose, 0, relayPorts)
          == BrokenBed::kCalls);
}

TEST_CASE("answers whose status is none are replaced at once")
{
    BrokenBed bed;
    for (const char *status : {"000", "099", "101", "600", "999", "20", "2000"}) {
        checkIsReplaced(bed, headOf(status, "Content-Length: 6\r\n") + "broken");
        checkIsReplaced(bed, headOf(status, "") + "broken");
    }
}

TEST_CASE("answers with a field name that is no token are replaced")
{
    using namespace std::string_literals;
    BrokenBed bed;
    for (const std::string &line : {"Marked X: 1"s, "Marked : 1"s, "Marked\t: 1"s, "Marked\x01: 1"s,
                                    "Marked\0X: 1"s, "Marked\x80: 1"s, ": Marked"s}) {
        checkIsReplaced(bed, headOf("200", line + "\r\nContent-Length: 6\r\n") + "broken");
        checkIsReplaced(bed, headOf("200", line + "\r\n") + "broken");
    }
    checkIsReplaced(bed, headOf("200", "Content-Length : 6\r\n") + "broken");
}

TEST_CASE("sound answers without a length and early ones reach callers whole")
{
    BrokenBed bed;
    const std::string unframed = headOf("200", "Content-Type: text/event-stream\r\n") + kEvents;
    const std::string framed =
            headOf("200", fmt::format("Content-Length: {}\r\n", std::string_view(kEvents).size()))
            + kEvents;
    CHECK(bed.countComplete(unframed, Ending::ReadAndClose, 0) == BrokenBed::kCalls);
    CHECK(bed.countComplete(unframed, Ending::Close, kUploadBytes) == BrokenBed::kCalls);
    CHECK(bed.countComplete(framed, Ending::Close, kUploadBytes) == BrokenBed::kCalls);
}
