// Upstreams whose answers are broken or none, at the product's own interface. Guards against
// callers that get such an answer as a complete one, and against an entry host that stops serving.

#include "Caller.h"
#include "Calls.h"
#include "ScriptedServer.h"

#include "membership/Membership.h"

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

constexpr std::size_t kUpstreams = 6;
constexpr std::size_t kCallers = 3;
constexpr std::size_t kUploadBytes = 900'000;
/// Pauses between the last byte of an answer and the reset.
constexpr std::array<Millis, 5> kResetDelays{Millis(0), Millis(1), Millis(5), Millis(20),
                                             Millis(80)};
constexpr std::size_t kCallsPerDelay = 12;
/// Longer than any call may take.
constexpr Millis kStaysOpen{12'000};
constexpr Millis kTtl{60'000};

/// One entry host and services that all follow the same script.
class BrokenServices
{
public:
    BrokenServices()
    {
        bringUp(m_system);
        for (std::size_t n = 0; n < kUpstreams; ++n) {
            m_upstreams.push_back(std::make_unique<testing::ScriptedServer>(Script()));
            announceService(n);
        }
        m_system.awaitUpstreams("floro-sal", kUpstreams + 1);
    }

    /// All upstreams follow \a script from now on.
    void follow(const Script &script)
    {
        for (const auto &it : m_upstreams)
            it->setScript(script);
    }
    int requestCount() const
    {
        int n = 0;
        for (const auto &it : m_upstreams)
            n += it->requestCount();
        return n;
    }
    /// One call with a key of its own.
    Reply call(std::size_t bodyBytes)
    {
        const int n = ++m_lastCall;
        CallOptions options;
        options.body = fmt::format("{} ", n);
        options.body.resize(std::max(options.body.size(), bodyBytes), 'x');
        options.fields = fmt::format("X-Team: office-1\r\nIdempotency-Key: k{}\r\n"
                                     "X-Deadline-Ms: 4000\r\nContent-Type: text/plain\r\n",
                                     n);
        return callOnce(m_system.host("entry-1-1").callers, "POST", "/v1/services/booking/check",
                        options);
    }
    /// Calls with each of the delays, several at a time. Returns how many answers the callers took
    /// as complete.
    int countComplete(const std::string &answer, Ending ending, std::size_t bodyBytes)
    {
        std::atomic<int> completeCount = 0;
        for (const Millis delay : kResetDelays) {
            follow({answer, ending, delay});
            std::atomic<std::size_t> next = 0;
            std::vector<std::thread> callers;
            for (std::size_t n = 0; n < kCallers; ++n) {
                callers.emplace_back([&] {
                    while (next++ < kCallsPerDelay) {
                        const Reply reply = call(bodyBytes);
                        completeCount += reply.isWhole && reply.status == 200 ? 1 : 0;
                    }
                });
            }
            for (std::thread &it : callers)
                it.join();
        }
        return completeCount;
    }
    /// Checks that a caller gets an error of this system instead of \a answer, and not only at its
    /// time limit.
    void checkIsReplaced(const std::string &answer)
    {
        CAPTURE(answer);
        follow({answer, Ending::ReadAndClose, kStaysOpen});
        const int before = requestCount();
        const Reply reply = call(0);
        CAPTURE(reply.head, reply.body);
        CHECK((reply.status == 502 || reply.status == 503));
        CHECK(reply.head.find("Marked") == std::string::npos);
        CHECK(reply.body.find("broken") == std::string::npos);
        CHECK(requestCount() > before);
    }

    static constexpr int kCalls = static_cast<int>(kCallsPerDelay * kResetDelays.size());

private:
    void announceService(std::size_t n)
    {
        membership::Announcement announcement;
        announcement.upstream.id = base::UpstreamId(fmt::format("broken-{}", n));
        announcement.upstream.incarnation = base::Incarnation(1);
        announcement.upstream.dataCentre = base::DataCentreId("floro-sal");
        announcement.upstream.kind = routing::UpstreamKind::Service;
        announcement.upstream.models = {"booking"};
        announcement.sequence = 1;
        announcement.address = m_upstreams[n]->address();
        announcement.ttl = kTtl;
        CallOptions options;
        options.body = membership::toJson(announcement);
        options.fields = "Content-Type: application/json\r\n";
        const Reply reply = callOnce(m_system.host("entry-1-1").upstreams, "POST",
                                     "/v1/announcements", options);
        INFO(reply.body);
        REQUIRE(reply.status / 100 == 2);
    }

    System m_system;
    std::vector<std::unique_ptr<testing::ScriptedServer>> m_upstreams;
    std::atomic<int> m_lastCall = 0;
};

} // namespace

TEST_CASE("answers without a length that are reset do not reach callers as whole")
{
    BrokenServices services;
    const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
    CHECK(services.countComplete(head + "broken", Ending::Reset, 0) == 0);
    CHECK(services.countComplete(head + "broken", Ending::Reset, kUploadBytes) == 0);
    CHECK(services.countComplete(head, Ending::Reset, kUploadBytes) == 0);
    CHECK(services.countComplete(head + "broken", Ending::ReadAndReset, kUploadBytes) == 0);
    // Of four rounds; some calls are rejected while upstreams are ejected.
    CHECK(services.requestCount() > 2 * BrokenServices::kCalls);
}

TEST_CASE("answers that are cut before their framing ends do not reach callers as whole")
{
    BrokenServices services;
    for (const char *framing :
         {"Content-Length: 9\r\n\r\nbroken", "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n"}) {
        CHECK(services.countComplete(std::string("HTTP/1.1 200 OK\r\n") + framing,
                                     Ending::ReadAndClose, 0)
              == 0);
    }
}

TEST_CASE("answers whose status is none are replaced at once")
{
    BrokenServices services;
    for (const char *status : {"000", "099", "101", "600", "999", "20", "2000"}) {
        services.checkIsReplaced(std::string("HTTP/1.1 ") + status
                                 + " OK\r\nContent-Length: 6\r\n\r\nbroken");
    }
}

TEST_CASE("answers with a field name that is no token are replaced")
{
    using namespace std::string_literals;
    BrokenServices services;
    for (const std::string &line : {"Marked X: 1"s, "Marked : 1"s, "Marked\t: 1"s, "Marked\x01: 1"s,
                                    "Marked\0X: 1"s, "Marked\x80: 1"s, ": Marked"s}) {
        services.checkIsReplaced("HTTP/1.1 200 OK\r\n" + line
                                 + "\r\nContent-Length: 6\r\n\r\nbroken");
    }
    services.checkIsReplaced("HTTP/1.1 200 OK\r\nContent-Length : 6\r\n\r\nbroken");
}

TEST_CASE("sound answers without a length and early ones reach callers whole")
{
    BrokenServices services;
    const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nsound";
    const std::string framed = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";
    CHECK(services.countComplete(unframed, Ending::ReadAndClose, 0) == BrokenServices::kCalls);
    CHECK(services.countComplete(framed, Ending::Close, kUploadBytes) == BrokenServices::kCalls);
    CHECK(services.countComplete(unframed, Ending::Close, kUploadBytes) == BrokenServices::kCalls);
}
