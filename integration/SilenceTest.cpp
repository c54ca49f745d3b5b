// Sound replicas that fall silent for a while and go on, with real processes.

#include "PlatformBed.h"
#include "Replica.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <future>

using namespace hyssop;
using namespace hyssop::harness;
using base::Millis;

namespace {

constexpr Millis kSoon{10'000};
/// A sound replica is silent for a second or so.
constexpr Millis kSilence{1'400};
constexpr Millis kTimeout{6'000};
constexpr int kEvents = 60;
constexpr std::size_t kEngines = 2;

std::string manifest()
{
    return R"({"Version":1,"Routes":[{"Name":"chat","Host":"site.example","PathPrefix":"/chat/",)"
           R"("Kind":"streaming","TimeoutMs":6000,"TargetLatencyMs":300,"Priority":0,)"
           R"("Service":"model","MaxAttempts":2,"NoAuth":false,"Sticky":true,"Resumable":true,)"
           R"("GapTargetMs":250}],"Services":[{"Name":"model","HealthPath":"/health",)"
           R"("MaxConns":200,"Engine":{"Slots":16,"KvCapacityTokens":315000,"Stride":51,)"
           R"("step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,)"
           R"("read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,)"
           R"("usual":{"prompt":5000,"answer":500}}}],)"
           R"("Tenants":[{"Name":"team","ApiKeys":["key"],"Priority":1}]})";
}

bool isWholeStream(const Reply &reply)
{
    std::string events;
    for (int n = 1; n <= kEvents; ++n)
        events += fmt::format("id: {0}\ndata: {0}\n\n", n);
    return reply.isWhole && reply.body == events;
}

/// One entry host and two engines.
class SilenceBed : public PlatformBed
{
public:
    SilenceBed()
        : PlatformBed({3, 1, kEngines})
    {
        for (std::size_t n = 0; n < kEngines; ++n)
            engines.push_back(
                    std::make_unique<Replica>("i-" + std::to_string(n), replicaListen[n]));
        REQUIRE(put(0, manifest(), kSoon));
        REQUIRE(eventually(kSoon, [this] {
            announceEngines();
            return isReady(entries.front());
        }));
    }

    void announceEngines()
    {
        ++m_sequence;
        for (std::size_t n = 0; n < kEngines; ++n)
            announce(controls[n].listen, engines[n]->id(), "model", replicaOutside[n], m_sequence,
                     false);
    }

    std::future<Reply> startChat()
    {
        return std::async(std::launch::async, [this] {
            CallOptions options;
            options.body = "prompt";
            options.closes = false;
            options.limit = 2 * kTimeout;
            options.fields = fmt::format("Request-Id: chat\r\nApi-Key: key\r\nDeadline-Ms: {}\r\n"
                                         "Model: m\r\nToken-Counts: 1000,{}\r\n"
                                         "Prompt-Prefix: aa:40,c1:960\r\n",
                                         kTimeout.count(), kEvents);
            const base::TimePoint sentAt = base::monotonicNow();
            Reply reply = callOnce(entries.front().listen, "POST", "/chat/1", options);
            duration = std::chrono::floor<Millis>(base::monotonicNow() - sentAt);
            return reply;
        });
    }

    /// Waits for a run and returns the engine that has it.
    std::size_t engineInUse() const
    {
        std::size_t used = kEngines;
        REQUIRE(eventually(kSoon, [this, &used] {
            for (std::size_t n = 0; n < kEngines; ++n) {
                if (!engines[n]->runs().empty())
                    used = n;
            }
            return used < kEngines;
        }));
        return used;
    }

    std::vector<std::unique_ptr<Replica>> engines;
    Millis duration{0}; ///< Of the chat, once its reply is there.

private:
    std::int64_t m_sequence = 0;
};

/// Plays a chat whose engine falls silent while the other one answers as \a prepare says.
Reply chatBesideSilence(SilenceBed &bed, const std::function<void(Replica &)> &prepare)
{
    auto chat = bed.startChat();
    const std::size_t used = bed.engineInUse();
    std::this_thread::sleep_for(Millis(200));
    prepare(*bed.engines[1 - used]);
    bed.engines[used]->fallSilent(kSilence);
    Reply reply = chat.get();
    CHECK_FALSE(bed.engines[1 - used]->traffic().arrivals.empty());
    return reply;
}

} // namespace

TEST_CASE("a stream whose resumption is answered with an error does not lose its caller")
{
    const int status = GENERATE(500, 404);
    CAPTURE(status);
    SilenceBed bed;
    const Reply reply = chatBesideSilence(bed, [status](Replica &it) { it.answerResumes(status); });
    CHECK(bed.duration < kTimeout);
    CHECK(isWholeStream(reply));
}

TEST_CASE("a stream is not cut when its engine falls silent and no other one takes it")
{
    SilenceBed bed;
    const Reply reply = chatBesideSilence(bed, [](Replica &it) { it.turnAway(Millis(0)); });
    CHECK(isWholeStream(reply));
}

TEST_CASE("a stream is resumed while its engine is silent")
{
    SilenceBed bed;
    const Reply reply = chatBesideSilence(bed, [](Replica &) {});
    CHECK(isWholeStream(reply));
    std::size_t runs = 0;
    for (const auto &it : bed.engines)
        runs += it->runs().size();
    CHECK(runs == 2);
}
