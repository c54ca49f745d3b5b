// Clients that break the rules of the callers' limits, at each port of the programs of the users'
// platform. Each test guards against one kind of traffic making a process outgrow its machine: it
// checks that the process runs, that its memory and its descriptors stay within what its settings
// state, and that an ordinary request is answered then.

#include "Crowd.h"
#include "PlatformBed.h"
#include "Replica.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <iostream>
#include <thread>

using namespace hyssop;
using namespace hyssop::harness;
using base::Millis;

namespace {

constexpr Millis kSoon{10'000};
constexpr Millis kSendLimit{6'000};
constexpr Millis kPollPause{10};

/// Limits of the settings files, far below those of real hosts so that small crowds exceed them.
/// Both programs use about 11 MB without traffic.
constexpr int kMemoryMb = 40;
constexpr int kMaxFds = 400;
/// Limit of the configuration.
constexpr std::size_t kMaxBodyBytes = std::size_t(1) << 20;

enum class Port { Route, NoRoute, Ready, Relay, Control, EntryRpc, ControlRpc };

std::string manifest()
{
    return fmt::format(
            R"({{"Version":1,"Routes":[{{"Name":"r","Host":"site.example","PathPrefix":"/book/",)"
            R"("Kind":"non_idempotent","TimeoutMs":8000,"TargetLatencyMs":100,"Priority":0,)"
            R"("Service":"booking","MaxAttempts":1,"NoAuth":false}}],)"
            R"("Services":[{{"Name":"booking","HealthPath":"/health","MaxConns":500}}],)"
            R"("Tenants":[{{"Name":"team","ApiKeys":["k1"]}}],)"
            R"("Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":{},"HeaderTimeoutMs":3000,)"
            R"("IdleTimeoutMs":15000}}}})",
            kMaxBodyBytes);
}

std::string pathOf(Port port)
{
    switch (port) {
    case Port::NoRoute:
        return "/nowhere";
    case Port::Ready:
        return "/api/ready";
    case Port::Control:
        return "/api/config/put";
    default:
        return "/book/1";
    }
}

/// Beginning of a request, without the end of its head.
std::string beginOf(Port port, const std::string &method)
{
    return method + " " + pathOf(port)
           + " HTTP/1.1\r\nHost: site.example\r\nApi-Key: k1\r\nRequest-Id: q\r\n";
}

// The kinds of traffic.

std::string withLength(Port port, std::size_t length, std::size_t sentBytes)
{
    return beginOf(port, "POST") + fmt::format("Content-Length: {}\r\n\r\n", length)
           + std::string(sentBytes, 'x');
}

std::string inChunks(Port port, std::size_t totalBytes)
{
    constexpr std::size_t kChunkBytes = 512;
    std::string out = beginOf(port, "POST") + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t n = 0; n < totalBytes; n += kChunkBytes)
        out += fmt::format("{:x}\r\n{}\r\n", kChunkBytes, std::string(kChunkBytes, 'x'));
    return out;
}

Traffic unfinishedBody(Port port)
{
    return {withLength(port, kMaxBodyBytes, kMaxBodyBytes - 1)};
}

Traffic drippingBody(Port port)
{
    return {withLength(port, kMaxBodyBytes, kMaxBodyBytes - 4'096), "x"};
}

Traffic unfinishedChunks(Port port)
{
    return {inChunks(port, kMaxBodyBytes - 1'024)};
}

Traffic declaredOverLimit(Port port)
{
    return {withLength(port, std::size_t(64) << 20, 2 * kMaxBodyBytes)};
}

Traffic undeclaredOverLimit(Port port)
{
    return {inChunks(port, 2 * kMaxBodyBytes)};
}

Traffic manyFields(Port port)
{
    constexpr std::size_t kHeadBytes = 16'000;
    std::string out = beginOf(port, "POST") + "Content-Length: 10\r\n";
    while (out.size() < kHeadBytes)
        out += "a:b\r\n";
    return {out + "\r\n123456789"};
}

Traffic unfinishedHead(Port port)
{
    return {beginOf(port, "POST") + "X: " + std::string(15'000, 'x')};
}

Traffic drippingHead(Port port)
{
    return {beginOf(port, "POST") + "X: ", "x"};
}

/// Time for the peer to handle all requests of a crowd that it has taken.
constexpr Millis kPipelineHold{3'000};

Traffic pipelinedRequests(Port port)
{
    constexpr std::size_t kBytes = std::size_t(4) << 20;
    std::string out;
    while (out.size() < kBytes)
        out += beginOf(port, "GET") + "\r\n";
    return {out, "", kPipelineHold};
}

/// Responses a hundred times as long as the requests.
Traffic pipelinedMetrics(Port)
{
    constexpr std::size_t kRequests = 5'000;
    std::string out;
    for (std::size_t n = 0; n < kRequests; ++n)
        out += "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    return {out, "", kPipelineHold};
}

Traffic unreadResponse(Port port)
{
    return {withLength(port, kMaxBodyBytes, kMaxBodyBytes)};
}

Traffic silence(Port)
{
    return {};
}

/// A message of Cap'n Proto with one segment of 1 MB that stops before its end.
Traffic unfinishedMessage(Port)
{
    std::string out(8, '\0');
    const std::uint32_t words = kMaxBodyBytes / 8;
    for (std::size_t n = 0; n < 4; ++n)
        out[4 + n] = static_cast<char>((words >> (8 * n)) & 0xff);
    return {out + std::string(kMaxBodyBytes - 8, '\0')};
}

Traffic garbage(Port)
{
    return {std::string(kMaxBodyBytes, '\x5a')};
}

class Bed
{
public:
    Bed()
        : m_bed([] {
            PlatformPlan plan;
            plan.memoryMb = kMemoryMb;
            plan.maxFds = kMaxFds;
            return plan;
        }())
        , m_replica("i-1", m_bed.replicaListen.front())
    {
        REQUIRE(m_bed.put(0, manifest(), kSoon));
        REQUIRE(beat());
        REQUIRE(eventually(kSoon, [&] { return m_bed.isReady(m_bed.entries.front()); }));
        REQUIRE(isServed(Port::Route));
    }

    base::Endpoint endpoint(Port port)
    {
        const PlatformHost &entry = m_bed.entries.front();
        const base::Endpoint peer = m_bed.peerEndpoint(host(port));
        switch (port) {
        case Port::Ready:
            return entry.ready;
        case Port::Control:
            return host(port).listen;
        case Port::EntryRpc:
        case Port::ControlRpc:
            return peer;
        case Port::Relay:
            return {peer.address, static_cast<std::uint16_t>(peer.port + 1)};
        default:
            return entry.listen;
        }
    }

    PlatformHost &host(Port port)
    {
        return port == Port::Control || port == Port::ControlRpc ? m_bed.controls.front()
                                                                 : m_bed.entries.front();
    }

    bool isServed(Port port)
    {
        return eventually(kSoon, [&] { return isServedOnce(port); });
    }

private:
    bool beat()
    {
        return announce(m_bed.controls.front().listen, "i-1", "booking",
                        m_bed.replicaListen.front(), ++m_sequence, false)
               == 200;
    }

    bool isServedOnce(Port port)
    {
        CallOptions options;
        options.limit = Millis(3'000);
        if (port == Port::Control || port == Port::ControlRpc)
            return callOnce(m_bed.controls.front().listen, "GET", "/api/config/get", options).status
                   == 200;
        if (port == Port::Ready)
            return m_bed.isReady(m_bed.entries.front());
        (void)beat(); // Without announcements the replica would count as gone by now.
        options.body = "ferry";
        options.fields =
                fmt::format("Host: site.example\r\nRequest-Id: o{}\r\nApi-Key: k1\r\n", ++m_calls);
        return callOnce(m_bed.entries.front().listen, "POST", "/book/1", options).status == 200;
    }

    PlatformBed m_bed;
    Replica m_replica;
    std::int64_t m_sequence = 0;
    int m_calls = 0;
};

void checkHolds(Port port, std::size_t clients, Traffic (*trafficOf)(Port))
{
    Bed bed;
    Process &process = *bed.host(port).process;
    std::size_t descriptors = 0;
    {
        Crowd crowd(bed.endpoint(port), clients);
        const Traffic traffic = trafficOf(port);
        crowd.send(traffic, kSendLimit);
        const base::TimePoint until = base::monotonicNow() + traffic.hold;
        while (base::monotonicNow() < until) {
            descriptors = std::max(descriptors, openDescriptors(process.id()));
            std::this_thread::sleep_for(kPollPause);
        }
        CHECK(process.isRunning());
    }
    CHECK(bed.isServed(port));
    const std::int64_t peakKb = peakMemory(process.id()).count() / 1'024;
    std::cout << "peak_kb=" << peakKb << " bound_kb=" << kMemoryMb * 1'024
              << " descriptors=" << descriptors << " bound=" << kMaxFds << " test=\""
              << Catch::getResultCapture().getCurrentTestName() << "\"\n";
    CHECK(process.isRunning());
    CHECK(peakKb > 0);
    CHECK(peakKb <= kMemoryMb * 1'024);
    CHECK(descriptors <= kMaxFds);
}

// Sizes of the crowds. The bytes that all clients of one send are well above the memory, or their
// connections above the descriptors.
constexpr std::size_t kOfBodies = 64;
constexpr std::size_t kOfHeads = 250;
constexpr std::size_t kOfPipelines = 24;
constexpr std::size_t kOfConnections = 600;

} // namespace

TEST_CASE("bodies that stop one byte short at a route")
{
    checkHolds(Port::Route, kOfBodies, unfinishedBody);
}

TEST_CASE("bodies that stop one byte short at a path without a route")
{
    checkHolds(Port::NoRoute, kOfBodies, unfinishedBody);
}

TEST_CASE("bodies that stop one byte short at the readiness port")
{
    checkHolds(Port::Ready, kOfBodies, unfinishedBody);
}

TEST_CASE("bodies that stop one byte short at the relay port")
{
    checkHolds(Port::Relay, kOfBodies, unfinishedBody);
}

TEST_CASE("bodies that stop one byte short at the control API")
{
    checkHolds(Port::Control, kOfBodies, unfinishedBody);
}

TEST_CASE("bodies that arrive byte by byte at a route")
{
    checkHolds(Port::Route, kOfBodies, drippingBody);
}

TEST_CASE("bodies that arrive byte by byte at a path without a route")
{
    checkHolds(Port::NoRoute, kOfBodies, drippingBody);
}

TEST_CASE("bodies that arrive byte by byte at the readiness port")
{
    checkHolds(Port::Ready, kOfBodies, drippingBody);
}

TEST_CASE("bodies that arrive byte by byte at the relay port")
{
    checkHolds(Port::Relay, kOfBodies, drippingBody);
}

TEST_CASE("bodies that arrive byte by byte at the control API")
{
    checkHolds(Port::Control, kOfBodies, drippingBody);
}

TEST_CASE("chunked bodies that do not end at a route")
{
    checkHolds(Port::Route, kOfBodies, unfinishedChunks);
}

TEST_CASE("chunked bodies that do not end at a path without a route")
{
    checkHolds(Port::NoRoute, kOfBodies, unfinishedChunks);
}

TEST_CASE("chunked bodies that do not end at the readiness port")
{
    checkHolds(Port::Ready, kOfBodies, unfinishedChunks);
}

TEST_CASE("chunked bodies that do not end at the relay port")
{
    checkHolds(Port::Relay, kOfBodies, unfinishedChunks);
}

TEST_CASE("chunked bodies that do not end at the control API")
{
    checkHolds(Port::Control, kOfBodies, unfinishedChunks);
}

TEST_CASE("bodies declared over the limit at a route")
{
    checkHolds(Port::Route, kOfBodies, declaredOverLimit);
}

TEST_CASE("bodies declared over the limit at a path without a route")
{
    checkHolds(Port::NoRoute, kOfBodies, declaredOverLimit);
}

TEST_CASE("bodies declared over the limit at the readiness port")
{
    checkHolds(Port::Ready, kOfBodies, declaredOverLimit);
}

TEST_CASE("bodies declared over the limit at the relay port")
{
    checkHolds(Port::Relay, kOfBodies, declaredOverLimit);
}

TEST_CASE("bodies declared over the limit at the control API")
{
    checkHolds(Port::Control, kOfBodies, declaredOverLimit);
}

TEST_CASE("undeclared bodies over the limit at a route")
{
    checkHolds(Port::Route, kOfBodies, undeclaredOverLimit);
}

TEST_CASE("undeclared bodies over the limit at a path without a route")
{
    checkHolds(Port::NoRoute, kOfBodies, undeclaredOverLimit);
}

TEST_CASE("undeclared bodies over the limit at the readiness port")
{
    checkHolds(Port::Ready, kOfBodies, undeclaredOverLimit);
}

TEST_CASE("undeclared bodies over the limit at the relay port")
{
    checkHolds(Port::Relay, kOfBodies, undeclaredOverLimit);
}

TEST_CASE("undeclared bodies over the limit at the control API")
{
    checkHolds(Port::Control, kOfBodies, undeclaredOverLimit);
}

TEST_CASE("heads of very many short fields at a route")
{
    checkHolds(Port::Route, kOfHeads, manyFields);
}

TEST_CASE("heads of very many short fields at a path without a route")
{
    checkHolds(Port::NoRoute, kOfHeads, manyFields);
}

TEST_CASE("heads of very many short fields at the readiness port")
{
    checkHolds(Port::Ready, kOfHeads, manyFields);
}

TEST_CASE("heads of very many short fields at the relay port")
{
    checkHolds(Port::Relay, kOfHeads, manyFields);
}

TEST_CASE("heads of very many short fields at the control API")
{
    checkHolds(Port::Control, kOfHeads, manyFields);
}

TEST_CASE("heads that do not end at a route")
{
    checkHolds(Port::Route, kOfHeads, unfinishedHead);
}

TEST_CASE("heads that do not end at a path without a route")
{
    checkHolds(Port::NoRoute, kOfHeads, unfinishedHead);
}

TEST_CASE("heads that do not end at the readiness port")
{
    checkHolds(Port::Ready, kOfHeads, unfinishedHead);
}

TEST_CASE("heads that do not end at the relay port")
{
    checkHolds(Port::Relay, kOfHeads, unfinishedHead);
}

TEST_CASE("heads that do not end at the control API")
{
    checkHolds(Port::Control, kOfHeads, unfinishedHead);
}

TEST_CASE("heads that arrive byte by byte at a route")
{
    checkHolds(Port::Route, kOfHeads, drippingHead);
}

TEST_CASE("heads that arrive byte by byte at a path without a route")
{
    checkHolds(Port::NoRoute, kOfHeads, drippingHead);
}

TEST_CASE("heads that arrive byte by byte at the readiness port")
{
    checkHolds(Port::Ready, kOfHeads, drippingHead);
}

TEST_CASE("heads that arrive byte by byte at the relay port")
{
    checkHolds(Port::Relay, kOfHeads, drippingHead);
}

TEST_CASE("heads that arrive byte by byte at the control API")
{
    checkHolds(Port::Control, kOfHeads, drippingHead);
}

TEST_CASE("pipelined requests whose responses are not read at a route")
{
    checkHolds(Port::Route, kOfPipelines, pipelinedRequests);
}

TEST_CASE("pipelined requests whose responses are not read at a path without a route")
{
    checkHolds(Port::NoRoute, kOfPipelines, pipelinedRequests);
}

TEST_CASE("pipelined requests whose responses are not read at the readiness port")
{
    checkHolds(Port::Ready, kOfPipelines, pipelinedRequests);
}

TEST_CASE("pipelined requests whose responses are not read at the relay port")
{
    checkHolds(Port::Relay, kOfPipelines, pipelinedRequests);
}

TEST_CASE("pipelined requests whose responses are not read at the control API")
{
    checkHolds(Port::Control, kOfPipelines, pipelinedRequests);
}

TEST_CASE("connections that send nothing at a route")
{
    checkHolds(Port::Route, kOfConnections, silence);
}

TEST_CASE("connections that send nothing at a path without a route")
{
    checkHolds(Port::NoRoute, kOfConnections, silence);
}

TEST_CASE("connections that send nothing at the readiness port")
{
    checkHolds(Port::Ready, kOfConnections, silence);
}

TEST_CASE("connections that send nothing at the relay port")
{
    checkHolds(Port::Relay, kOfConnections, silence);
}

TEST_CASE("connections that send nothing at the control API")
{
    checkHolds(Port::Control, kOfConnections, silence);
}

TEST_CASE("large responses that are not read at a route")
{
    checkHolds(Port::Route, kOfBodies, unreadResponse);
}

TEST_CASE("large responses that are not read at the relay port")
{
    checkHolds(Port::Relay, kOfBodies, unreadResponse);
}

TEST_CASE("messages that do not end at the RPC port of an entry host")
{
    checkHolds(Port::EntryRpc, kOfBodies, unfinishedMessage);
}

TEST_CASE("messages that do not end at the RPC port of a control host")
{
    checkHolds(Port::ControlRpc, kOfBodies, unfinishedMessage);
}

TEST_CASE("bytes that are no messages at the RPC port of an entry host")
{
    checkHolds(Port::EntryRpc, kOfBodies, garbage);
}

TEST_CASE("bytes that are no messages at the RPC port of a control host")
{
    checkHolds(Port::ControlRpc, kOfBodies, garbage);
}

TEST_CASE("connections that send nothing at the RPC port of an entry host")
{
    checkHolds(Port::EntryRpc, kOfConnections, silence);
}

TEST_CASE("connections that send nothing at the RPC port of a control host")
{
    checkHolds(Port::ControlRpc, kOfConnections, silence);
}

TEST_CASE("pipelined requests for the metrics at the readiness port")
{
    checkHolds(Port::Ready, kOfPipelines, pipelinedMetrics);
}
