// Faulty replicas send additional bytes after a complete answer, late, at the point where the next
// answer is expected. The bytes belong to no request, and no consumer may get them.

#include "Bed.h"

#include <algorithm>

using namespace review;

namespace {

constexpr int kSpoiledPercent = 5; ///< Of the answers of a faulty replica.
const std::string kKey = "n2ctnfzs989anu6wsjnb";

std::string manifest()
{
    return "{\"Version\":3,\"Routes\":[{\"Name\":\"r-fi6y7z5\",\"Host\":\"ficu95.example\","
           "\"PathPrefix\":\"/lohu930/\",\"Kind\":\"idempotent\",\"TimeoutMs\":2000,"
           "\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"wuno96b\",\"MaxAttempts\":2,"
           "\"NoAuth\":false}],\"Services\":[{\"Name\":\"wuno96b\",\"HealthPath\":\"/health\","
           "\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":"
           "16384,"
           "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
           "\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\""
           + kKey + "\"],\"Priority\":1}]}";
}

} // namespace

int main()
{
    openRecord();
    Bed bed;
    std::mutex mutex;
    std::map<const Socket *, int> answersOn; ///< By channel.
    std::set<const Socket *> spoiled; ///< Channels with bytes that are still to come.
    int answers = 0;
    int spoils = 0;
    const auto faulty = [&](Replica &replica, Socket &socket, const Request &request, Arrival &it) {
        bool hasRest = false;
        {
            const std::lock_guard guard(mutex);
            hasRest = spoiled.erase(&socket) > 0;
        }
        if (hasRest) {
            note("replica " + replica.id() + " sends bytes that belong to no request before the "
                 + "answer to " + request.header("Request-Id"));
            socket.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            sleepFor(0.005);
        }
        it.hasRun = true;
        replica.serve(socket, request);
        const std::lock_guard guard(mutex);
        ++answers;
        if (isTroubled() && answers * kSpoiledPercent / 100 > spoils) {
            ++spoils;
            spoiled.insert(&socket);
        }
        return true;
    };
    std::vector<std::unique_ptr<Replica>> replicas;
    for (const char *zone : {"hall-a", "hall-b", "hall-c"}) {
        replicas.push_back(std::make_unique<Replica>(&bed, "wuno96b", zone, 6));
        // One of three is faulty.
        if (replicas.size() == 1)
            replicas.back()->setHook(faulty);
        replicas.back()->start();
    }
    if (bed.put(manifest(), 20) < 0 || !bed.awaitReady(20)) {
        note("the deployment did not start");
        return 2;
    }
    sleepFor(1);
    std::atomic<int> open{0};
    std::atomic<int> wrong{0};
    std::map<int, int> statuses;
    const double from = now();
    double dueAt = from;
    std::size_t count = 0;
    for (; now() < from + 40; ++count) {
        ++open;
        std::thread([&, count] {
            const std::string id = newId();
            const Response response =
                    call(bed.entries[count % bed.entries.size()].front, "GET", "/lohu930/2f",
                         {{"Host", "ficu95.example"},
                          {"Request-Id", id},
                          {"Deadline-Ms", "2000"},
                          {"Api-Key", kKey}},
                         "", 2.5);
            const bool isOwn = response.status == 200 && response.header("Response-Seal") != ""
                               && response.body == "done " + id + " ";
            if (response.status == 404 || (response.status == 200 && !isOwn)) {
                ++wrong;
                note("the consumer of " + id + " gets " + std::to_string(response.status)
                     + ", signature '" + response.header("Response-Seal") + "', Request-Id '"
                     + response.header("Request-Id") + "'");
            }
            const std::lock_guard guard(mutex);
            ++statuses[response.status];
            --open;
        }).detach();
        dueAt += 0.02;
        sleepFor(dueAt - now());
    }
    while (open > 0)
        sleepFor(0.05);
    for (const auto &[status, n] : statuses)
        note("status " + std::to_string(status) + ": " + std::to_string(n));
    note(std::to_string(spoils) + " of " + std::to_string(answers)
         + " answers of the faulty replica were followed by such bytes; " + std::to_string(wrong)
         + " of " + std::to_string(count) + " consumers got them as their answer");
    const auto allowed = 5 + count / 500;
    if (static_cast<std::size_t>(wrong) > allowed)
        note("that also breaks DENIED, which allows " + std::to_string(allowed));
    note(wrong > 0 ? "BROKEN: MIXED" : "held: MIXED");
    return wrong > 0 ? 1 : 0;
}
