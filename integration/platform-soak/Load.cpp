#include "Load.h"

#include <fmt/format.h>

namespace hyssop::platformsoak {

namespace {

/// Callers give up a little after the time that they grant.
constexpr base::Millis kPatience{3'000};
constexpr base::Millis kPauseAfterFailure{50};
/// Part of the requests that come with a key which a version took away; in percent.
constexpr int kFormerKeys = 20;
/// Callers that pause before they use a connection again, in percent; and the longest pause, in
/// percent of the limit of idle connections.
constexpr int kPauses = 6;
constexpr int kMostIdle = 80;
constexpr std::int64_t kMostPauseMs = 2'000;
constexpr int kEvents = 12;
/// Chats whose streams last for longer, in percent.
constexpr int kLongStreams = 30;
constexpr int kLongEvents = 50;
constexpr base::Millis kStep{10};
/// Part of the calls of the deadly kind that crash replicas; in percent.
constexpr int kDeadlyCalls = 4;
/// Chats share one part with all others and one with some of them.
constexpr int kCommonParts = 4;

/// Events 1 to n, the last of them maybe cut short unless \a isWhole.
bool isStreamOf(const std::string &body, int last, bool isWhole)
{
    std::string expected;
    for (int n = 1; n <= last; ++n)
        expected += fmt::format("id: {0}\ndata: {0}\n\n", n);
    return isWhole ? body == expected : expected.starts_with(body);
}

struct Request
{
    Kind kind;
    std::string method;
    std::string target;
    base::Millis deadline{0};
    int promptTokens = 0; ///< 0 for a plain service.
    int events = 0;
};

Request drawRequest(base::Rng &rng)
{
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<int> chatTokens(500, 20'000);
    std::uniform_int_distribution<int> digestTokens(90'000, 450'000);
    const int drawn = percent(rng);
    if (drawn < 30)
        return {Kind::Booking, "POST", "/book/1", base::Millis(1'500)};
    if (drawn < 50)
        return {Kind::Lookup, "GET", "/look/1", base::Millis(1'500)};
    const bool isLong = drawn >= 92;
    return {isLong ? Kind::Digest : Kind::Chat,
            "POST",
            isLong ? "/digest/1" : "/chat/1",
            base::Millis(5'000),
            isLong ? digestTokens(rng) : chatTokens(rng),
            kEvents};
}

bool isOwnAnswer(const CallRecord &record, const harness::Reply &reply, const std::string &sent,
                 int events)
{
    if (reply.status != 200)
        return true;
    if (record.kind == Kind::Chat || record.kind == Kind::Digest)
        return isStreamOf(reply.body, events, reply.isWhole);
    const std::string expected = record.id + " " + sent;
    return reply.isWhole ? reply.body == expected : expected.starts_with(reply.body);
}

} // namespace

Load::Load(const harness::PlatformBed *bed, const Operator *manifests, History *history,
           std::uint64_t seed, std::size_t callers)
    : m_bed(bed)
    , m_manifests(manifests)
    , m_history(history)
    , m_deadlyKind(seed % 2 == 0 ? Kind::Lookup : Kind::Chat)
{
    for (std::size_t n = 0; n < callers; ++n)
        m_threads.emplace_back([this, n, seed] { work(n, seed + n); });
}

Load::~Load()
{
    stop();
}

void Load::stop()
{
    m_isStopping = true;
    for (std::thread &it : m_threads) {
        if (it.joinable())
            it.join();
    }
}

void Load::pause(base::Rng &rng, std::unique_ptr<harness::Caller> &caller)
{
    const auto usable = [this] { return m_manifests->leastIdleTimeout() * kMostIdle / 100; };
    const std::int64_t most = std::min<std::int64_t>(kMostPauseMs, usable().count());
    const base::Millis pause(std::uniform_int_distribution<std::int64_t>(0, most)(rng));
    const base::TimePoint from = base::monotonicNow();
    while (!m_isStopping && base::monotonicNow() < from + pause)
        std::this_thread::sleep_for(kStep);
    if (base::monotonicNow() - from > usable())
        caller.reset();
}

void Load::work(std::size_t number, std::uint64_t seed)
{
    base::Rng rng(seed);
    base::Rng deadlyRng(seed); // Apart, so that the other draws of a seed stay as they are.
    base::Rng pauseRng(~seed); // Likewise, for pauses and the length of streams.
    std::unique_ptr<harness::Caller> caller;
    std::size_t entry = 0;
    for (std::int64_t count = 0; !m_isStopping; ++count) {
        if (caller && std::uniform_int_distribution<int>(0, 99)(pauseRng) < kPauses)
            pause(pauseRng, caller);
        if (!caller || !caller->isOpen()) {
            entry = std::uniform_int_distribution<std::size_t>(0, m_bed->entries.size() - 1)(rng);
            caller = std::make_unique<harness::Caller>(m_bed->entries[entry].outside);
        }
        Request request = drawRequest(rng);
        if (request.kind == Kind::Chat
            && std::uniform_int_distribution<int>(0, 99)(pauseRng) < kLongStreams)
            request.events = kLongEvents;
        // Team 0 is in every version; the others come and go.
        const bool isOwnTeam = std::uniform_int_distribution<int>(0, 99)(rng) >= kFormerKeys;
        const std::int64_t version = isOwnTeam ? 0 : m_manifests->acknowledged();
        const bool isDeadly = std::uniform_int_distribution<int>(0, 99)(deadlyRng) < kDeadlyCalls
                              && !m_areCrashesOver && request.kind == m_deadlyKind
                              && (isOwnTeam || request.kind == Kind::Chat);
        if (isDeadly && request.kind == Kind::Lookup)
            request.target = kDeadlyTarget;
        CallRecord record;
        record.id = fmt::format("c{}-{}", number, count);
        record.kind = request.kind;
        record.isDeadly = isDeadly;
        record.entry = m_bed->entries[entry].name;
        record.team = teamOf(version);
        record.deadline = request.deadline;
        record.isConnected = caller->isOpen();
        harness::CallOptions options;
        options.body = request.method == "POST" ? "for " + record.id : "";
        options.closes = false;
        options.limit = request.deadline + kPatience;
        options.fields = fmt::format("Request-Id: {}\r\nApi-Key: {}\r\nDeadline-Ms: {}\r\n",
                                     record.id, keyOf(version), request.deadline.count());
        if (request.promptTokens > 0)
            options.fields +=
                    fmt::format("Token-Counts: {},{}\r\nPrompt-Prefix: aa:40,b{}:100,{}c{}:300\r\n",
                                request.promptTokens, request.events, count % kCommonParts,
                                isDeadly ? std::string(kDeadlyPart) + ":100," : "", record.id);
        record.sentAt = base::monotonicNow();
        const harness::Reply reply = caller->call(request.method, request.target, options);
        record.endedAt = base::monotonicNow();
        record.status = reply.status;
        record.isWhole = reply.isWhole;
        record.isTimedOut = reply.isTimedOut;
        record.isOwn = isOwnAnswer(record, reply, options.body, request.events);
        const bool isFailure = record.status != 200;
        m_history->add(std::move(record));
        if (isFailure)
            std::this_thread::sleep_for(kPauseAfterFailure);
    }
}

} // namespace hyssop::platformsoak
