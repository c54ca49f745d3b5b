// A request whose prompt holds one part twice is answered after two replicas crashed under it. The
// front machine that served it ends, and with it the requests of its other consumers.

#include "../kit2/Kit.h"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

constexpr auto kKey = "n2ctnfzs989anu6wsjnb";
constexpr std::size_t kFronts = 6; ///< As kyklos-notes has.
constexpr int kEngines = 14;
constexpr int kAuxReplicas = 3;
constexpr int kConsumers = 10; ///< On kept channels of the front machine.
/// A replica crashes this long after it began to run the request.
constexpr Millis kUntilCrash{250};
constexpr std::size_t kAskedFronts = 3;
constexpr Millis kAskedFor{9'000};
/// LOST: "more than three times".
constexpr int kMostClosed = 3;

std::string manifest()
{
    return std::string("{\"Version\":1,\"Routes\":[")
           + "{\"Name\":\"drafts\",\"Host\":\"notes.example\",\"PathPrefix\":\"/draft/\",\"Kind\":"
             "\"streaming\",\"TimeoutMs\":10000,\"TargetLatencyMs\":300,\"Priority\":1,\"Service\":"
             "\"notes-model\",\"MaxAttempts\":2,\"NoAuth\":false,\"Sticky\":true,\"Resumable\":"
             "true,"
             "\"GapTargetMs\":250},"
             "{\"Name\":\"tags\",\"Host\":\"notes.example\",\"PathPrefix\":\"/tag/\",\"Kind\":"
             "\"idempotent\",\"TimeoutMs\":2000,\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":"
             "\"publish-aux\",\"MaxAttempts\":2,\"NoAuth\":false}],\"Services\":["
             "{\"Name\":\"notes-model\",\"HealthPath\":\"/health\",\"MaxConns\":354,\"Protocol\":"
             "\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":16,\"KvCapacityTokens\":315000,\"Stride\":"
             "51,\"step_ms\":0.85,\"per_seq_ms\":0.00425,\"context_per_k\":0.00285,\"read_per_s\":"
             "177000.0,\"pairs_per_m\":0.184,\"chunk\":2048,\"report_lag_ms\":200.0,\"usual\":{"
             "\"prompt\":11108,\"answer\":1622},\"HopMs\":0.05}},"
             "{\"Name\":\"publish-aux\",\"HealthPath\":\"/health\",\"MaxConns\":96}],"
             "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":"
             "3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"desk\",\"ApiKeys\":[\""
           + kKey + "\"],\"Priority\":1}]}";
}

/// The same shared part stands twice in the prompt, before the request's own part.
constexpr auto kPromptFields =
        "Model: m\r\nToken-Counts: 5000,1600\r\n"
        "Prompt-Prefix: 5c1e07a2:40,91bd3f06:2000,91bd3f06:2000,e4402b7d:960\r\n";

} // namespace

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    Deployment deployment(&record, kFronts);
    Machine &front = deployment.fronts[0];
    const std::string zones[] = {"hall-a", "hall-b", "hall-c"};
    std::vector<std::unique_ptr<Replica>> engines;
    std::vector<std::unique_ptr<Replica>> auxReplicas;
    const auto add = [&](std::vector<std::unique_ptr<Replica>> &to, const std::string &service,
                         int n) {
        Replica::Options options;
        options.id = "i-" + service + "-" + std::to_string(n);
        options.service = service;
        options.zone = zones[n % 3];
        options.work = Millis(300);
        to.push_back(std::make_unique<Replica>(&record, options, deployment.controlAddresses()));
    };
    for (int n = 0; n < kEngines; ++n)
        add(engines, "notes-model", n);
    for (int n = 0; n < kAuxReplicas; ++n)
        add(auxReplicas, "publish-aux", n);
    if (deployment.put(manifest(), Millis(20'000)) < 0 || !deployment.awaitReady(Millis(20'000))) {
        record.line("the deployment did not become ready");
        return 2;
    }
    std::this_thread::sleep_for(Millis(4'000));

    std::atomic<int> lastId{0};
    const auto nextId = [&] {
        return "r" + std::to_string(::getpid()) + "-" + std::to_string(++lastId);
    };
    const auto fieldsOf = [](const std::string &id, int deadlineMs) {
        return "Host: notes.example\r\nRequest-Id: " + id
               + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nApi-Key: " + kKey + "\r\n";
    };

    // Consumers with plain requests on kept channels.
    struct Lost
    {
        std::string id;
        std::int64_t at = 0;
    };
    std::mutex mutex;
    std::vector<Lost> lost;
    std::atomic<bool> isOver{false};
    std::vector<std::thread> consumers;
    for (int n = 0; n < kConsumers; ++n) {
        consumers.emplace_back([&] {
            while (!isOver) {
                Channel channel(front.listen);
                if (!channel.isOpen())
                    std::this_thread::sleep_for(Millis(100));
                while (!isOver && channel.isOpen()) {
                    const std::string id = nextId();
                    record.line("sent request=" + id + " to=" + front.name);
                    const Reply reply =
                            channel.call("GET", "/tag/v1", fieldsOf(id, 4'000), "", Millis(4'000));
                    record.line("answer request=" + id + " status=" + std::to_string(reply.status));
                    const std::lock_guard guard(mutex);
                    if (reply.status == 0)
                        lost.push_back({id, record.now()});
                }
            }
        });
    }
    std::this_thread::sleep_for(Millis(1'500));

    /// Sends the draft to \a to; with \a crashes, as many replicas crash while they run it.
    const auto draft = [&](const Machine &to, int crashes) {
        const std::string id = nextId();
        std::thread disruption([&] {
            int done = 0;
            eventually(Millis(6'000), [&] {
                for (const auto &it : engines) {
                    const std::vector<Run> runs = it->runs();
                    const bool isNew = !runs.empty() && runs.back().request == id
                                       && runs.back().at + kUntilCrash.count() <= record.now()
                                       && !runs.back().isAnswered;
                    if (done >= crashes || !isNew || it->isCrashed())
                        continue;
                    it->crash();
                    ++done;
                }
                return done >= crashes;
            });
        });
        record.line("sent request=" + id + " to=" + to.name + " (draft)");
        const Reply reply = call(to.listen, "POST", "/draft/one",
                                 fieldsOf(id, 10'000) + kPromptFields, "a draft", Millis(10'000));
        record.line(
                "answer request=" + id + " status=" + std::to_string(reply.status)
                + " whole=" + std::to_string(reply.message.isWhole) + " events="
                + std::to_string(
                        std::count(reply.message.body.begin(), reply.message.body.end(), ':') / 2));
        disruption.join();
        return reply.status;
    };
    // Two replicas crash one after the other while they run the same request.
    draft(front, hasTrouble() ? 2 : 0);
    std::this_thread::sleep_for(Millis(400));
    // It is asked for again, at one front machine after the other, and once more where it is
    // refused as not run. No replica crashes any more.
    int ended = 0;
    for (std::size_t n = 0; n < kAskedFronts; ++n) {
        Machine &it = deployment.fronts[n];
        const Clock::time_point until = Clock::now() + kAskedFor;
        while (Clock::now() < until && draft(it, 0) == 503)
            std::this_thread::sleep_for(Millis(500));
        const bool hasEnded =
                eventually(Millis(500), [&] { return !deployment.ownEnd(it).empty(); });
        ended += hasEnded ? 1 : 0;
    }
    isOver = true;
    for (std::thread &it : consumers)
        it.join();

    int closed = 0;
    for (const auto &replica : auxReplicas) {
        for (const Run &run : replica->runs()) {
            const bool isLost = std::any_of(lost.begin(), lost.end(), [&run](const Lost &it) {
                return it.id == run.request;
            });
            if (!isLost)
                continue;
            ++closed;
            record.line("BROKEN request=" + run.request + " was passed on to the sound replica "
                        + replica->options().id
                        + ", and its kept channel was closed without an answer");
        }
    }
    record.line("judged ended_by_themselves=" + std::to_string(ended)
                + " closed=" + std::to_string(closed));
    return closed > kMostClosed ? 1 : 0;
}
