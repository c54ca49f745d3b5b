// A manifest takes the last tenant away, and with it its key. Later than RevokeMs after the ack, no
// request with that key may run.

#include "Bed.h"

using namespace review;

namespace {

constexpr double kRevoke = 5.0; ///< RevokeMs of the settings.
const std::string kKey = "n2ctnfzs989anu6wsjnb";
const std::string kOtherKey = "k7pq0v2m4x9dd31trw8s"; ///< No manifest ever holds it.

std::string manifest(int version, const std::string &tenants)
{
    return "{\"Version\":" + std::to_string(version)
           + ",\"Routes\":[{\"Name\":\"r-fi6y7z5\",\"Host\":\"ficu95.example\",\"PathPrefix\":"
             "\"/lohu930/\",\"Kind\":\"idempotent\",\"TimeoutMs\":2000,\"TargetLatencyMs\":300,"
             "\"Priority\":2,\"Service\":\"wuno96b\",\"MaxAttempts\":2,\"NoAuth\":false}],"
             "\"Services\":[{\"Name\":\"wuno96b\",\"HealthPath\":\"/health\",\"MaxConns\":96,"
             "\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,"
             "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
             "\"Tenants\":["
           + tenants + "]}";
}

} // namespace

int main()
{
    openRecord();
    Bed bed;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (const char *zone : {"hall-a", "hall-b", "hall-c"}) {
        replicas.push_back(std::make_unique<Replica>(&bed, "wuno96b", zone, 6));
        replicas.back()->start();
    }
    const std::string tenant =
            "{\"Name\":\"hule930\",\"ApiKeys\":[\"" + kKey + "\"],\"Priority\":1}";
    if (bed.put(manifest(3, tenant), 20) < 0 || !bed.awaitReady(20)) {
        note("the deployment did not start");
        return 2;
    }
    const auto send = [&bed](const std::string &key, std::size_t n) {
        Headers headers{
                {"Host", "ficu95.example"}, {"Request-Id", newId()}, {"Deadline-Ms", "2000"}};
        if (!key.empty())
            headers.emplace_back("Api-Key", key);
        const Response response = call(bed.entries[n % bed.entries.size()].front, "GET",
                                       "/lohu930/2f", headers, "", 2.5);
        note("request " + headers[1].second + " with key '" + key
             + "': " + std::to_string(response.status) + " " + response.end);
        return std::pair(headers[1].second, response.status);
    };
    sleepFor(1);
    int served = 0;
    for (std::size_t n = 0; n < 4; ++n)
        served += send(kKey, n).second == 200 ? 1 : 0;
    const bool isRefused = send(kOtherKey, 0).second == 401;
    if (served < 4 || !isRefused) {
        note("the deployment doesn't serve as it should before the change");
        return 2;
    }
    double ackedAt = now();
    if (isTroubled()) {
        note("the operator takes the tenant and its key away (version 7)");
        ackedAt = bed.put(manifest(7, ""), 20);
        if (ackedAt < 0)
            return 2;
    }
    sleepFor(ackedAt + kRevoke + 1 - now());
    std::set<std::string> late;
    for (std::size_t n = 0; n < 20; ++n) {
        late.insert(send(kKey, n).first);
        if (isTroubled())
            late.insert(send(n % 2 == 0 ? "" : kOtherKey, n).first);
        sleepFor(0.1);
    }
    int runs = 0;
    for (const auto &replica : replicas) {
        for (const Arrival &it : replica->arrivals()) {
            if (!it.hasRun || !late.contains(it.request))
                continue;
            ++runs;
            note("replica " + it.replica + " ran " + it.request + " for tenant '" + it.tenant
                 + "'");
        }
    }
    note(std::to_string(runs) + " of " + std::to_string(late.size())
         + " requests ran that were sent over " + std::to_string(kRevoke) + " s after the ack");
    if (!isTroubled())
        return runs == static_cast<int>(late.size()) ? 0 : 1;
    note(runs > 0 ? "BROKEN: CONFIG" : "held: CONFIG");
    return runs > 0 ? 1 : 0;
}
