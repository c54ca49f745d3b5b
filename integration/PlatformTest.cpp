// The programs of the users' platform, as real processes on loopback addresses.

#include "Crowd.h"
#include "PlatformBed.h"
#include "RawConnection.h"
#include "Replica.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <regex>

using namespace hyssop;
using namespace hyssop::harness;
using base::Millis;

namespace {

/// Bounds of the stated settings, with time for a busy machine.
constexpr Millis kSoon{10'000};

std::string manifest(int version, const std::string &keys)
{
    return fmt::format(
            R"({{"Version":{},"Routes":[{{"Name":"r","Host":"site.example","PathPrefix":"/book/",)"
            R"("Kind":"non_idempotent","TimeoutMs":2000,"TargetLatencyMs":100,"Priority":0,)"
            R"("Service":"booking","MaxAttempts":1,"NoAuth":false}}],)"
            R"("Services":[{{"Name":"booking","HealthPath":"/health","MaxConns":50}}],)"
            R"("Tenants":[{{"Name":"team","ApiKeys":[{}]}}]}})",
            version, keys);
}

/// Three control hosts, an entry host and the address of a replica.
class Bed : public PlatformBed
{
public:
    bool put(std::size_t control, const std::string &text)
    {
        return PlatformBed::put(control, text, kSoon);
    }
    int beat(std::size_t control, int sequence, const char *state)
    {
        return announce(controls[control].listen, "i-1", "booking", replicaListen.front(), sequence,
                        std::string(state) == "draining");
    }
    Reply book(const std::string &key, const std::string &target = "/book/1")
    {
        CallOptions options;
        options.body = "ferry";
        ++m_lastRequest;
        options.fields =
                "Request-Id: " + lastId() + "\r\nApi-Key: " + key + "\r\nDeadline-Ms: 1500\r\n";
        return callOnce(entries.front().listen, "POST", target, options);
    }
    std::string lastId() const { return "r" + std::to_string(m_lastRequest); }
    bool isReady() { return PlatformBed::isReady(entries.front()); }
    std::string read(std::size_t control)
    {
        return callOnce(controls[control].listen, "GET", "/api/config/get").body;
    }
    int putOnce(std::size_t control, const std::string &text)
    {
        CallOptions options;
        options.body = text;
        return callOnce(controls[control].listen, "POST", "/api/config/put", options).status;
    }

private:
    int m_lastRequest = 0;
};

/// Callers that send one request after the other to an entry host until it is gone.
class StopLoad
{
public:
    explicit StopLoad(const base::Endpoint &to)
    {
        constexpr int kThreads = 6; // Of each kind.
        for (int n = 0; n < kThreads; ++n) {
            m_threads.emplace_back([this, to] { useKept(to); });
            m_threads.emplace_back([this, to] { useNew(to); });
            m_threads.emplace_back([this, to] { sendSlowly(to); });
        }
    }
    ~StopLoad() { wait(); }
    StopLoad(const StopLoad &) = delete;
    StopLoad &operator=(const StopLoad &) = delete;

    void wait()
    {
        for (std::thread &it : m_threads) {
            if (it.joinable())
                it.join();
        }
    }

    std::atomic<int> sent = 0; ///< Requests.
    std::atomic<int> answered = 0; ///< Completely.
    std::atomic<int> cutMidway = 0; ///< Only a part of the answer came.
    std::atomic<int> unanswered = 0; ///< No byte of an answer came.
    std::atomic<int> unansweredSlow = 0; ///< Those of them whose head came before their body.

private:
    std::string nextId() { return "load" + std::to_string(++sent); }
    void count(bool isWhole, bool hasBegun)
    {
        ++(isWhole ? answered : hasBegun ? cutMidway : unanswered);
    }
    void callOn(Caller &caller, bool closes)
    {
        CallOptions options;
        options.body = "ferry";
        options.closes = closes;
        options.fields = "Request-Id: " + nextId() + "\r\nApi-Key: k1\r\nDeadline-Ms: 1500\r\n";
        const Reply reply = caller.call("POST", "/book/1", options);
        count(reply.isWhole, reply.status != 0);
    }
    void useKept(const base::Endpoint &to)
    {
        for (;;) {
            Caller caller(to);
            if (!caller.isOpen())
                return;
            while (caller.isOpen()) {
                callOn(caller, false);
                std::this_thread::sleep_for(Millis(10));
            }
        }
    }
    void useNew(const base::Endpoint &to)
    {
        for (;;) {
            Caller caller(to);
            if (!caller.isOpen())
                return;
            callOn(caller, true);
            std::this_thread::sleep_for(Millis(5));
        }
    }
    void sendSlowly(const base::Endpoint &to)
    {
        while (Caller(to).isOpen()) {
            RawConnection connection(to);
            connection.send("POST /book/1 HTTP/1.1\r\nHost: site.example\r\nApi-Key: k1\r\n"
                            "Connection: close\r\nContent-Length: 5\r\nDeadline-Ms: 1500\r\n"
                            "Request-Id: "
                            + nextId() + "\r\n\r\nfe");
            std::this_thread::sleep_for(Millis(100));
            connection.send("rry");
            const std::string answer = connection.receiveAll();
            unansweredSlow += answer.empty() ? 1 : 0;
            count(answer.ends_with("ferry") || answer.ends_with("\r\n\r\n"), !answer.empty());
        }
    }

    std::vector<std::thread> m_threads;
};

/// The number after \a name in the last line of \a log with event=stopped; -1 without one.
int stoppedCount(const std::filesystem::path &log, const std::string &name)
{
    std::ifstream file(log);
    int count = -1;
    for (std::string line; std::getline(file, line);) {
        std::smatch match;
        if (line.find("event=stopped ") != std::string::npos
            && std::regex_search(line, match, std::regex(" " + name + "=(\\d+)")))
            count = std::stoi(match[1]);
    }
    return count;
}

} // namespace

TEST_CASE("calls are forwarded by an accepted manifest, also after a control host died")
{
    Bed bed;
    Replica replica("i-1", bed.replicaListen.front());
    REQUIRE(eventually(kSoon, [&] { return bed.book("k1").status != 0; }));
    CHECK(bed.book("k1").status == 503);
    const std::string first = manifest(3, R"("k1","k2")");
    REQUIRE(bed.put(1, first));
    REQUIRE(bed.beat(0, 1, "ready") == 200);
    REQUIRE(eventually(kSoon, [&] { return bed.isReady(); }));

    const Reply booked = bed.book("k1");
    CHECK(booked.status == 200);
    CHECK(booked.body == bed.lastId() + " ferry");
    REQUIRE(replica.seen().size() == 1);
    const gateway::Fields fields = replica.seen().front().fields;
    CHECK(gateway::fieldValue(fields, "Tenant") == "team");
    CHECK(gateway::fieldValue(fields, "Expect-Instance") == "i-1");
    CHECK_FALSE(gateway::fieldValue(fields, "Api-Key"));
    CHECK(bed.book("k3").status == 401);
    CHECK(bed.book("k1", "/other/1").status == 404);

    // Refused manifests change nothing; a resent one is acknowledged and changes nothing either.
    CHECK(bed.putOnce(0, first.substr(0, 90)) == 400);
    CHECK(bed.putOnce(2, manifest(2, R"("k9")")) == 200);
    CHECK(bed.read(2) == first);

    bed.controls[0].process.reset();
    const std::string second = manifest(9, R"("k2")");
    REQUIRE(bed.put(1, second));
    // The key that was taken away opens nothing once the change was acknowledged and its bound
    // over.
    std::this_thread::sleep_for(Millis(2'000));
    CHECK(bed.book("k1").status == 401);
    CHECK(bed.book("k2").status == 200);
    REQUIRE(eventually(kSoon, [&] { return bed.read(2) == second; }));
}

// Guards against limits on callers' memory that the largest legal request exceeds on its own.
TEST_CASE("one body of the largest legal size is served by a host with 112 MB")
{
    constexpr std::size_t kMaxBodyBytes = 4'194'304;
    PlatformPlan plan;
    plan.memoryMb = 112;
    plan.maxFds = 2'870;
    PlatformBed bed(plan);
    Replica replica("i-1", bed.replicaListen.front());
    std::string text = manifest(1, R"("k1")");
    text.replace(text.find("2000"), 4, "9000");
    text.insert(1, fmt::format(R"("Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":{},)"
                               R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},)",
                               kMaxBodyBytes));
    REQUIRE(bed.put(0, text, kSoon));
    const PlatformHost &entry = bed.entries.front();
    const bool isChunked = GENERATE(false, true);
    CAPTURE(isChunked);
    REQUIRE(announce(bed.controls.front().listen, "i-1", "booking", bed.replicaListen.front(), 1,
                     false)
            == 200);
    REQUIRE(eventually(kSoon, [&] { return bed.isReady(entry); }));
    CallOptions options;
    options.fields = "Request-Id: large\r\nApi-Key: k1\r\n";
    options.body = std::string(kMaxBodyBytes, 'x');
    options.isChunked = isChunked;
    const Reply reply = callOnce(entry.listen, "POST", "/book/1", options);
    CHECK(reply.status == 200);
    CHECK(reply.isWhole);
    CHECK(reply.body.size() == std::string("large ").size() + kMaxBodyBytes);
    CHECK(replica.runs().size() == 1);
    const std::int64_t peakMb = peakMemory(entry.process->id()).count() >> 20;
    std::cout << "peak_mb=" << peakMb << " chunked=" << isChunked << "\n";
    CHECK(peakMb > 0);
    CHECK(peakMb <= plan.memoryMb);
}

TEST_CASE("removing the last team does not open the routes")
{
    Bed bed;
    Replica replica("i-1", bed.replicaListen.front());
    REQUIRE(bed.put(0, manifest(1, R"("k1")")));
    REQUIRE(bed.beat(0, 1, "ready") == 200);
    REQUIRE(eventually(kSoon, [&] { return bed.isReady(); }));
    REQUIRE(bed.book("k1").status == 200);
    std::string withoutTeams = manifest(2, "");
    const std::size_t from = withoutTeams.find(R"([{"Name":"team")");
    withoutTeams.replace(from, withoutTeams.size() - from, "[]}");
    REQUIRE(bed.put(0, withoutTeams));
    std::this_thread::sleep_for(Millis(2'000));
    const std::size_t before = replica.seen().size();
    for (const char *key : {"k1", "never-assigned", ""})
        CHECK(bed.book(key).status == 401);
    CHECK(callOnce(bed.entries.front().listen, "POST", "/book/1").status == 401);
    CHECK(replica.seen().size() == before);
    // It cannot be told whether null stands for an empty list or for an absent one.
    std::string nullTeams = withoutTeams;
    nullTeams.replace(nullTeams.size() - 3, 2, "null");
    nullTeams.replace(nullTeams.find("\"Version\":2"), 11, "\"Version\":3");
    CHECK(bed.putOnce(0, nullTeams) == 400);
    CHECK(bed.book("k1").status == 401);
}

TEST_CASE("messages of another writer neither move nor remove a replica")
{
    Bed bed;
    Replica replica("i-1", bed.replicaListen.front());
    REQUIRE(bed.put(0, manifest(1, R"("k1")")));
    REQUIRE(bed.beat(0, 1, "ready") == 200);
    REQUIRE(eventually(kSoon, [&] { return bed.isReady(); }));
    REQUIRE(bed.book("k1").status == 200);
    const base::Endpoint control = bed.controls[0].listen;
    const auto post = [&](const char *call, const std::string &body) {
        CallOptions options;
        options.body = body;
        return callOnce(control, "POST", std::string("/api/instances/i-1/") + call, options).status;
    };
    const std::string address = bed.replicaListen.front().text();
    CHECK(post("heartbeat", fmt::format(R"({{"Service":"other","Address":"{}","Zone":"floro-sal",)"
                                        R"("Slots":6,"State":"ready","Seq":1000}})",
                                        address))
          == 400);
    // Complete, but of a service that the manifest does not name.
    CHECK(announce(control, "i-1", "other", bed.replicaListen.front(), 1'000, false, 0) == 200);
    CHECK(announce(control, "i-2", "other", bed.replicaListen.front(), 1'000, false, 5) == 200);
    for (const char *body : {"bye", R"({"born":"5"})", R"({"born":null})", "[]"})
        CHECK(post("leave", body) == 400);
    CHECK(bed.book("k1").status == 200);
    // The replica's own announcements, with lower numbers, still keep it listed.
    constexpr Millis kAnnounceTimeout(4'100); // 3.5 s with the stated interval, and some time.
    const auto until = base::monotonicNow() + kAnnounceTimeout;
    for (int sequence = 2; base::monotonicNow() < until; ++sequence) {
        CHECK(bed.beat(0, sequence, "ready") == 200);
        std::this_thread::sleep_for(Millis(300));
    }
    CHECK(bed.book("k1").status == 200);
    CHECK(post("leave", "") == 200);
    CHECK(eventually(kSoon, [&] { return bed.book("k1").status == 503; }));
}

TEST_CASE("a leaving replica gets no new calls, and a stopping entry host ends by itself")
{
    Bed bed;
    Replica replica("i-1", bed.replicaListen.front());
    REQUIRE(bed.put(0, manifest(1, R"("k1")")));
    REQUIRE(bed.beat(2, 1, "ready") == 200);
    REQUIRE(eventually(kSoon, [&] { return bed.isReady(); }));
    CHECK(bed.book("k1").status == 200);
    REQUIRE(bed.beat(1, 2, "draining") == 200);
    std::this_thread::sleep_for(Millis(500));
    const std::size_t before = replica.seen().size();
    const Reply refused = bed.book("k1");
    CHECK(refused.status == 503);
    CHECK(refused.head.find("Retry-After: ") != std::string::npos);
    CHECK(replica.seen().size() == before);

    bed.entries.front().process->signal(SIGTERM);
    REQUIRE(eventually(Millis(2'000), [&] { return !bed.isReady(); }));
    const auto exit = bed.entries.front().process->wait(Millis(8'000));
    REQUIRE(exit);
    CHECK(exit->code == 0);
}

TEST_CASE("each request that a stopping entry host reads gets a complete answer")
{
    // The pause ends when the host may close what is idle, so that much waits to be read.
    const bool isPaused = GENERATE(false, true);
    CAPTURE(isPaused);
    Bed bed;
    Replica replica("i-1", bed.replicaListen.front());
    REQUIRE(bed.put(0, manifest(1, R"("k1")")));
    REQUIRE(bed.beat(2, 1, "ready") == 200);
    REQUIRE(eventually(kSoon, [&] { return bed.isReady(); }));
    PlatformHost &entry = bed.entries.front();
    StopLoad load(entry.listen);
    std::this_thread::sleep_for(Millis(500));
    entry.process->signal(SIGTERM);
    if (isPaused) {
        std::this_thread::sleep_for(Millis(2'200));
        entry.process->signal(SIGSTOP);
        std::this_thread::sleep_for(Millis(600));
        entry.process->signal(SIGCONT);
    }
    const auto exit = entry.process->wait(Millis(8'000));
    REQUIRE(exit);
    CHECK(exit->code == 0);
    load.wait();
    CAPTURE(load.sent, load.answered, load.cutMidway, load.unanswered, load.unansweredSlow);
    CHECK(load.answered > 100);
    CHECK(load.cutMidway == 0);
    CHECK(stoppedCount(entry.log, "requests") == load.answered);
    CHECK(stoppedCount(entry.log, "open") == 0);
    CHECK(load.unansweredSlow == 0);
    // Each kept connection may meet its close once.
    CHECK(load.unanswered <= 6);
}

TEST_CASE("a control host that lost its disk joins as a new voter, and the accepted manifest stays")
{
    Bed bed;
    const std::string first = manifest(3, R"("k1")");
    REQUIRE(bed.put(0, first));
    bed.wipe(bed.controls[0]);
    bed.start(bed.controls[0]);
    // The empty host must know the manifest before another disk may be lost.
    REQUIRE(eventually(kSoon, [&] { return bed.read(0) == first; }));
    std::this_thread::sleep_for(Millis(4'000));
    bed.wipe(bed.controls[1]);
    bed.start(bed.controls[1]);
    REQUIRE(eventually(kSoon, [&] { return bed.read(1) == first; }));
    const std::string second = manifest(4, R"("k2")");
    REQUIRE(bed.put(1, second));
    std::this_thread::sleep_for(Millis(4'000));
    bed.wipe(bed.controls[2]);
    bed.start(bed.controls[2]);
    for (std::size_t n = 0; n < bed.controls.size(); ++n)
        REQUIRE(eventually(kSoon, [&] { return bed.read(n) == second; }));
}

TEST_CASE("all control hosts killed right after an acknowledgement come back with the manifest")
{
    Bed bed;
    const std::string first = manifest(3, R"("k1")");
    REQUIRE(bed.put(0, first));
    for (PlatformHost &it : bed.controls)
        it.process->signal(SIGKILL);
    for (PlatformHost &it : bed.controls)
        bed.start(it);
    REQUIRE(eventually(kSoon, [&] { return bed.read(2) == first; }));
    // One disk is lost together with the processes.
    bed.wipe(bed.controls[1]);
    for (PlatformHost &it : bed.controls)
        it.process.reset();
    for (PlatformHost &it : bed.controls)
        bed.start(it);
    REQUIRE(eventually(kSoon, [&] { return bed.read(1) == first; }));
}

TEST_CASE("a control host whose disk is full does not keep the others from going on")
{
    Bed bed;
    REQUIRE(bed.put(0, manifest(3, R"("k1")")));
    bed.controls[0].process.reset();
    bed.start(bed.controls[0], 256);
    REQUIRE(bed.put(1, manifest(4, R"("k1")")));
    REQUIRE(bed.put(2, manifest(5, R"("k1")")));
    bed.controls[0].process.reset();
    bed.start(bed.controls[0]);
    REQUIRE(eventually(kSoon, [&] { return bed.read(0) == manifest(5, R"("k1")"); }));
}

TEST_CASE("a control host does not end on a full disk and takes part again once there is room")
{
    Bed bed;
    REQUIRE(bed.put(0, manifest(3, R"("k1")")));
    PlatformHost &full = bed.controls[0];
    full.process.reset();
    bed.start(full, 256);
    REQUIRE(bed.put(1, manifest(4, R"("k1")")));
    REQUIRE(bed.put(2, manifest(5, R"("k1")")));
    std::this_thread::sleep_for(base::Millis(2'000));
    CHECK(full.process->isRunning());
    full.process->liftFileLimit();
    CHECK(eventually(kSoon, [&] { return bed.read(0) == manifest(5, R"("k1")"); }));
}

TEST_CASE("control hosts whose disks are all full acknowledge nothing, and lose nothing")
{
    Bed bed;
    REQUIRE(bed.put(0, manifest(3, R"("k1")")));
    for (PlatformHost &it : bed.controls) {
        it.process.reset();
        bed.start(it, std::size_t(1) << 30);
    }
    for (std::size_t n = 0; n < bed.controls.size(); ++n)
        REQUIRE(eventually(kSoon, [&] { return bed.read(n) == manifest(3, R"("k1")"); }));
    for (PlatformHost &it : bed.controls)
        it.process->limitFiles(1);
    CHECK_FALSE(bed.put(0, manifest(4, R"("k1")")));
    CHECK_FALSE(bed.put(1, manifest(5, R"("k1")")));
    for (PlatformHost &it : bed.controls) {
        CHECK(it.process->isRunning());
        it.process->liftFileLimit();
    }
    REQUIRE(eventually(kSoon, [&] { return bed.put(2, manifest(6, R"("k1")")); }));
    for (std::size_t n = 0; n < bed.controls.size(); ++n)
        CHECK(eventually(kSoon, [&] { return bed.read(n) == manifest(6, R"("k1")"); }));
}
