// One part of prompts crashes each replica that begins to write an answer on it. The part stands
// behind 35 others in its prompts, which sound requests share.

#include "Bed.h"

#include <algorithm>

using namespace review;

namespace {

constexpr double kContact = 3.0; ///< ContactMs of the settings.
constexpr double kDown = 3.0; ///< Time after which a crashed replica is back.
const std::string kKey = "n2ctnfzs989anu6wsjnb";
const std::string kDeadlyPart = "dead0bad";

std::string manifest()
{
    return R"({"Version":3,"Routes":[{"Name":"r-2yhvz3p","Host":"ficu95.example",)"
           R"("PathPrefix":"/lohu930/","Kind":"streaming","TimeoutMs":10000,)"
           R"("TargetLatencyMs":300,"Priority":1,"Service":"huvo11a","MaxAttempts":2,)"
           R"("NoAuth":false,"Sticky":true,"Resumable":true,"GapTargetMs":250}],)"
           R"("Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":354,)"
           R"("Protocol":"h1","Tls":false,"Engine":{"Slots":16,"KvCapacityTokens":315000,)"
           R"("KvTokenBytes":163840,"LinkMbps":400000.0,"Stride":51,"Models":[{"Name":"m"}],)"
           R"("step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,)"
           R"("read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,)"
           R"("usual":{"prompt":4960,"answer":1622},"HopMs":0.05}}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
           R"("IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":[")"
           + kKey + R"("],"Priority":1}]})";
}

/// Parts of a prompt: \a shared common ones, then \a special if there is one, then some more
/// common ones and one of the request's own.
std::string partsOf(int shared, const std::string &special)
{
    std::string text;
    for (int n = 0; n < shared; ++n)
        text += "5c1e07" + std::to_string(10 + n) + ":20,";
    if (!special.empty())
        text += special + ":20,";
    return text + "91bd3f06:20," + newId().substr(0, 8) + ":400";
}

} // namespace

int main()
{
    openRecord();
    // DEADLY_PLACE moves the part, to see where it matters.
    const char *place = std::getenv("DEADLY_PLACE");
    const int sharedParts = place ? std::atoi(place) : 35;
    Bed bed;
    std::mutex mutex;
    std::vector<std::pair<double, std::string>> crashes;
    std::vector<std::pair<double, std::string>> deadlyArrivals;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<std::pair<double, Replica *>> restarts;
    std::atomic<bool> isEnding{false};
    const auto hook = [&](Replica &replica, Socket &, const Request &request, Arrival &) {
        const std::string parts = "," + request.header("Prompt-Prefix");
        if (parts.find("," + kDeadlyPart + ":") == std::string::npos)
            return false;
        {
            const std::lock_guard guard(mutex);
            deadlyArrivals.emplace_back(now(), request.header("Request-Id"));
        }
        if (!isTroubled())
            return false;
        sleepFor(0.06);
        const std::lock_guard guard(mutex);
        if (!replica.isUp())
            return true;
        note("replica " + replica.id() + " crashes as it begins to write "
             + request.header("Request-Id"));
        crashes.emplace_back(now(), replica.id());
        restarts.emplace_back(now() + kDown, &replica);
        replica.crash();
        return true;
    };
    for (int n = 0; n < 8; ++n) {
        const char *zones[] = {"hall-a", "hall-b", "hall-c"};
        replicas.push_back(std::make_unique<Replica>(&bed, "huvo11a", zones[n % 3], 16));
        replicas.back()->setHook(hook);
        replicas.back()->start();
    }
    std::thread keeper([&] {
        while (!isEnding) {
            sleepFor(0.02);
            const std::lock_guard guard(mutex);
            std::erase_if(restarts, [](const auto &it) {
                if (now() < it.first)
                    return false;
                it.second->start();
                note("replica " + it.second->id() + " is back at " + it.second->address().text());
                return true;
            });
        }
    });
    const auto finish = [&](int code) {
        isEnding = true;
        keeper.join();
        return code;
    };
    if (bed.put(manifest(), 20) < 0 || !bed.awaitReady(20)) {
        note("the deployment did not start");
        return finish(2);
    }
    sleepFor(1);
    std::atomic<int> open{0};
    std::atomic<int> sound{0};
    std::atomic<int> lost{0};
    const auto send = [&](bool isDeadly, std::size_t n) {
        ++open;
        std::thread([&, isDeadly, n] {
            const std::string id = newId();
            const Headers headers{
                    {"Host", "ficu95.example"},
                    {"Request-Id", id},
                    {"Deadline-Ms", "10000"},
                    {"Api-Key", kKey},
                    {"Model", "m"},
                    {"Token-Counts", "1460,30"},
                    {"Prompt-Prefix", partsOf(sharedParts, isDeadly ? kDeadlyPart : "")}};
            const Response response = call(bed.entries[n % bed.entries.size()].front, "POST",
                                           "/lohu930/2f", headers, "prompt " + id, 10.5);
            const bool isServed = response.status == 200 && response.isWhole;
            if (isDeadly) {
                note("request " + id + " with the part: " + std::to_string(response.status) + " "
                     + response.end);
            } else {
                ++sound;
                if (!isServed) {
                    note("sound request " + id + ": " + std::to_string(response.status) + " "
                         + response.end);
                    ++lost;
                }
            }
            --open;
        }).detach();
    };
    const double from = now();
    double nextSound = from;
    double nextDeadly = from + 4;
    std::size_t count = 0;
    while (now() < from + 50) {
        if (now() >= nextSound) {
            send(false, count++);
            nextSound += 0.12;
        }
        if (now() >= nextDeadly) {
            send(true, count++);
            nextDeadly += 1.5;
        }
        sleepFor(0.01);
    }
    while (open > 0)
        sleepFor(0.05);
    for (const std::string &end : bed.unexpectedEnds())
        note("a process ended by itself: " + end);
    isEnding = true;
    keeper.join();
    note(std::to_string(crashes.size()) + " crashes, " + std::to_string(deadlyArrivals.size())
         + " requests with the part reached replicas; " + std::to_string(lost) + " of "
         + std::to_string(sound) + " sound requests had no whole answer");
    if (crashes.size() < 5) {
        note("held: BUDGET, fewer than five crashes");
        return 0;
    }
    const double bound = crashes[4].first + kContact;
    const auto late = std::count_if(deadlyArrivals.begin(), deadlyArrivals.end(),
                                    [bound](const auto &it) { return it.first > bound; });
    note(std::to_string(late) + " requests with the part reached replicas over "
         + std::to_string(kContact) + " s after the fifth crash; allowed are 3");
    note(late > 3 ? "BROKEN: BUDGET" : "held: BUDGET");
    return late > 3 ? 1 : 0;
}
