// Statuses that invalid and unusable requests get at each HTTP port of the programs of the users'
// platform. Guards against connections that end without a status, and against requests that are
// answered only after a body that nobody needs.

#include "PlatformBed.h"
#include "RawConnection.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace hyssop;
using namespace hyssop::harness;

namespace {

constexpr base::Millis kSoon{10'000};
constexpr std::size_t kLongHeadBytes = 100'000;
constexpr std::size_t kUnsentBodyBytes = 1'000'000;

constexpr auto kManifest =
        R"({"Version":1,"Routes":[{"Name":"r","Host":"site.example","PathPrefix":"/book/",)"
        R"("Kind":"idempotent","TimeoutMs":2000,"TargetLatencyMs":200,"Priority":0,)"
        R"("Service":"booking","MaxAttempts":2,"NoAuth":true}],)"
        R"("Services":[{"Name":"booking","HealthPath":"/health","MaxConns":50}]})";

struct Port
{
    std::string name;
    base::Endpoint endpoint;
    std::string path;
};

class StatusBed : public PlatformBed
{
public:
    StatusBed() { REQUIRE(put(0, kManifest, kSoon)); }

    base::Endpoint control() const { return controls.front().listen; }
    /// All ports that strangers can send HTTP to.
    std::vector<Port> ports() const
    {
        const PlatformHost &entry = entries.front();
        base::Endpoint relay = peerEndpoint(entry);
        ++relay.port;
        return {{"callers", entry.listen, "/book/1"},
                {"ready", entry.ready, "/api/ready"},
                {"relay", relay, "/book/1"},
                {"control", control(), "/api/config/put"}};
    }
};

/// Everything that arrives until the server closes the connection.
std::string responseTo(const base::Endpoint &to, const std::string &request)
{
    RawConnection connection(to);
    connection.send(request);
    return connection.receiveAll();
}

std::string head(const std::string &method, const std::string &path, const std::string &fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\n" + fields + "\r\n";
}

void checkStatus(const std::string &response, int status)
{
    CAPTURE(response);
    CHECK(response.starts_with(fmt::format("HTTP/1.1 {} ", status)));
}

} // namespace

TEST_CASE("a head of 100 KB gets status 431 at each port")
{
    const StatusBed bed;
    for (const Port &port : bed.ports()) {
        CAPTURE(port.name);
        checkStatus(
                responseTo(port.endpoint, head("GET", port.path,
                                               "X: " + std::string(kLongHeadBytes, 'x') + "\r\n")),
                431);
        std::string fields;
        while (fields.size() < kLongHeadBytes)
            fields += "a:b\r\n";
        checkStatus(responseTo(port.endpoint, head("GET", port.path, fields)), 431);
        checkStatus(
                responseTo(port.endpoint, head("GET", "/" + std::string(kLongHeadBytes, 'x'), "")),
                431);
    }
}

// Two parties that disagree on where the request ends could be made to see different requests.
TEST_CASE("Content-Length beside Transfer-Encoding gets status 400 and a close at each port")
{
    const StatusBed bed;
    const std::string length = "Content-Length: 5\r\n";
    const std::string chunks = "Transfer-Encoding: chunked\r\n";
    const std::string next = head("GET", "/smuggled", "");
    for (const Port &port : bed.ports()) {
        CAPTURE(port.name);
        for (const std::string &fields : {length + chunks, chunks + length}) {
            const std::string response =
                    responseTo(port.endpoint, head("POST", port.path, fields) + "0\r\n\r\n" + next);
            checkStatus(response, 400);
            CHECK(response.rfind("HTTP/1.1") == 0);
        }
    }
}

TEST_CASE("a wrong method for a known path gets status 405 with Allow")
{
    const StatusBed bed;
    struct Case
    {
        base::Endpoint to;
        std::string method;
        std::string path;
        std::string allow;
    };
    const base::Endpoint ready = bed.entries.front().ready;
    const std::string instance = "/api/instances/i-1";
    const std::vector<Case> cases{
            {ready, "POST", "/api/ready", "GET, HEAD"},
            {ready, "DELETE", "/api/ready", "GET, HEAD"},
            {ready, "PUT", "/metrics", "GET, HEAD"},
            {bed.control(), "GET", "/api/config/put", "POST"},
            {bed.control(), "PUT", "/api/config/put", "POST"},
            {bed.control(), "POST", "/api/config/get", "GET, HEAD"},
            {bed.control(), "GET", instance + "/heartbeat", "POST"},
            {bed.control(), "PATCH", instance + "/heartbeat", "POST"},
            {bed.control(), "DELETE", instance + "/leave", "POST"},
    };
    for (const Case &it : cases) {
        CAPTURE(it.method, it.path);
        const std::string response = responseTo(
                it.to, head(it.method, it.path, "Content-Length: 0\r\nConnection: close\r\n"));
        checkStatus(response, 405);
        CHECK(response.find("\r\nAllow: " + it.allow + "\r\n") != std::string::npos);
    }
}

TEST_CASE("evacuation paths state the allowed method where evacuations are allowed")
{
    PlatformPlan plan;
    plan.controls = 1;
    plan.settings = "Contracts: [\"places\"]\nZones:\n  floro-sal: \"r1\"\nRegion: \"r1\"\n";
    const PlatformBed bed(plan);
    const base::Endpoint control = bed.controls.front().listen;
    const std::string path = "/api/evacuations/floro-sal/start";
    const auto isAnswered = [&] {
        return !responseTo(control, head("GET", "/nowhere", "Connection: close\r\n")).empty();
    };
    REQUIRE(eventually(kSoon, isAnswered));
    const std::string response = responseTo(control, head("GET", path, "Connection: close\r\n"));
    checkStatus(response, 405);
    CHECK(response.find("\r\nAllow: POST\r\n") != std::string::npos);
    // A body that does not arrive whole is not waited for.
    checkStatus(responseTo(control, head("POST", path, "Content-Length: 1000\r\n") + "{"), 400);
}

TEST_CASE("the control API answers a request whose body it cannot use before the body")
{
    const StatusBed bed;
    const auto unfinished = [](const std::string &path, std::size_t length) {
        return head("POST", path, fmt::format("Content-Length: {}\r\n", length)) + "{";
    };
    // A server that waits for the body sends nothing before the connection's read limit.
    checkStatus(responseTo(bed.control(), unfinished("/nowhere", kUnsentBodyBytes)), 404);
    checkStatus(responseTo(bed.control(), unfinished("/api/instances/x", kUnsentBodyBytes)), 404);
    checkStatus(responseTo(bed.control(), unfinished("/api/config/get", kUnsentBodyBytes)), 405);
    checkStatus(responseTo(bed.control(), unfinished("/api/config/put", std::size_t(64) << 20)),
                413);
}

TEST_CASE("the control API accepts a leave without a body, and ids with escapes")
{
    const StatusBed bed;
    CHECK(announce(bed.control(), "i%2D1", "booking", {"127.0.0.1", 9}, 1, false) == 200);
    checkStatus(responseTo(bed.control(),
                           head("POST", "/api/instances/i-1/leave?x=1", "Connection: close\r\n")),
                200);
}
