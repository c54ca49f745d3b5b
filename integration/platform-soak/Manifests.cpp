#include "Manifests.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace hyssop::platformsoak {

namespace {

/// Between two changes.
constexpr base::Millis kInterval{1'500};
/// The same in a series.
constexpr std::int64_t kLeastShortIntervalMs = 20;
constexpr std::int64_t kMostShortIntervalMs = 300;
/// Changes that begin a series, in percent, and its length.
constexpr int kSeries = 25;
constexpr int kLeastInSeries = 2;
constexpr int kMostInSeries = 5;
/// A version may be in force that long after a later one was sent.
constexpr base::Millis kInForce{3'000};
/// Of which each version draws.
constexpr std::array<int, 4> kIdleTimeoutsMs{1'000, 2'000, 5'000, 15'000};
constexpr std::array<int, 3> kStreamTimeoutsMs{4'500, 6'000, 9'000};
constexpr std::array<int, 3> kCallTimeoutsMs{1'200, 2'000, 4'000};
constexpr std::array<int, 3> kBookingWeights{100, 80, 50};
/// Tries of one change before the next.
constexpr base::Millis kPutLimit{20'000};
constexpr base::Millis kReadLimit{1'000};
/// Versions rise in uneven steps.
constexpr std::int64_t kLongestStep = 4;

/// What a version sets besides teams.
struct Settings
{
    int idleTimeoutMs;
    int streamTimeoutMs;
    int callTimeoutMs;
    int bookingWeight; ///< Of 100; the rest of the bookings goes to the other service.
};

Settings settingsOf(std::int64_t version)
{
    base::Rng rng(static_cast<std::uint64_t>(version));
    const auto draw = [&rng](const auto &list) {
        return list.at(std::uniform_int_distribution<std::size_t>(0, list.size() - 1)(rng));
    };
    Settings settings{};
    settings.idleTimeoutMs = draw(kIdleTimeoutsMs);
    settings.streamTimeoutMs = draw(kStreamTimeoutsMs);
    settings.callTimeoutMs = draw(kCallTimeoutsMs);
    settings.bookingWeight = draw(kBookingWeights);
    return settings;
}

std::string split(const std::vector<std::pair<std::string, int>> &services)
{
    std::string text;
    for (const auto &[service, weight] : services)
        text += fmt::format(R"({}{{"Service":"{}","Weight":{}}})", text.empty() ? "" : ",", service,
                            weight);
    return "[" + text + "]";
}

std::string route(const std::string &prefix, const std::string &kind, const std::string &split,
                  int attempts, bool isStream, int timeoutMs)
{
    return fmt::format(R"({{"Name":"{0}","Host":"site.example","PathPrefix":"/{0}/","Kind":"{1}",)"
                       R"("TimeoutMs":{2},"TargetLatencyMs":300,"Priority":1,"Split":{3},)"
                       R"("MaxAttempts":{4},"NoAuth":false,"Sticky":{5},"Resumable":{5},)"
                       R"("GapTargetMs":{6}}})",
                       prefix, kind, timeoutMs, split, attempts, isStream, isStream ? 250 : 0);
}

} // namespace

std::string teamOf(std::int64_t version)
{
    return "team-" + std::to_string(version);
}

std::string keyOf(std::int64_t version)
{
    return "key-" + std::to_string(version);
}

std::int64_t versionIn(const std::string &manifest)
{
    const auto json = nlohmann::json::parse(manifest, nullptr, false);
    return json.is_object() ? json.value("Version", std::int64_t(0)) : 0;
}

base::Millis leastTimeout(Kind kind)
{
    const bool isStream = kind == Kind::Chat || kind == Kind::Digest;
    const auto &list = isStream ? kStreamTimeoutsMs : kCallTimeoutsMs;
    return base::Millis(*std::min_element(list.begin(), list.end()));
}

std::string Operator::textOf(std::int64_t version)
{
    const auto team = [](std::int64_t number) {
        return fmt::format(R"({{"Name":"{}","ApiKeys":["{}"],"Priority":1}})", teamOf(number),
                           keyOf(number));
    };
    const Settings settings = settingsOf(version);
    const std::string bookings =
            split({{"booking", settings.bookingWeight}, {"model", 100 - settings.bookingWeight}});
    return fmt::format(
            R"({{"Version":{},"Routes":[{},{},{},{}],"Services":[)"
            R"({{"Name":"booking","HealthPath":"/health","MaxConns":100}},)"
            R"({{"Name":"model","HealthPath":"/health","MaxConns":100,"Engine":{{"Slots":16,)"
            R"("KvCapacityTokens":315000,"Stride":51,"step_ms":0.85,"per_seq_ms":0.00425,)"
            R"("context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,)"
            R"("report_lag_ms":200.0,"usual":{{"prompt":5000,"answer":500}}}}}}],)"
            R"("Limits":{{"IdleTimeoutMs":{}}},"Tenants":[{},{}]}})",
            version, route("book", "non_idempotent", bookings, 1, false, settings.callTimeoutMs),
            route("look", "idempotent", split({{"booking", 100}}), 2, false,
                  settings.callTimeoutMs),
            route("chat", "streaming", split({{"model", 100}}), 2, true, settings.streamTimeoutMs),
            route("digest", "streaming", split({{"model", 100}}), 2, true,
                  settings.streamTimeoutMs),
            settings.idleTimeoutMs, team(0), team(version));
}

Operator::Operator(const harness::PlatformBed *bed, History *history, std::uint64_t seed)
    : m_bed(bed)
    , m_history(history)
    , m_rng(seed)
    , m_pauseRng(seed + 7)
    , m_thread([this] { work(); })
{ }

Operator::~Operator()
{
    stop();
}

void Operator::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void Operator::read()
{
    const std::size_t from =
            std::uniform_int_distribution<std::size_t>(0, m_bed->controls.size() - 1)(m_rng);
    harness::CallOptions options;
    options.limit = kReadLimit;
    ReadRecord record;
    record.askedAt = base::monotonicNow();
    const harness::Reply reply =
            harness::callOnce(m_bed->controls[from].outside, "GET", "/api/config/get", options);
    if (reply.status == 200 && reply.isWhole)
        record.version = versionIn(reply.body);
    m_history->add(record);
}

base::Millis Operator::leastIdleTimeout() const
{
    const std::lock_guard guard(m_mutex);
    const base::TimePoint now = base::monotonicNow();
    int least = kIdleTimeoutsMs.back();
    for (std::size_t n = 0; n < m_sent.size(); ++n) {
        const bool isOvertaken = n + 1 < m_sent.size() && m_sent[n + 1].first + kInForce <= now;
        if (!isOvertaken)
            least = std::min(least, settingsOf(m_sent[n].second).idleTimeoutMs);
    }
    return base::Millis(least);
}

void Operator::work()
{
    std::uniform_int_distribution<std::int64_t> step(1, kLongestStep);
    std::int64_t version = 0;
    std::int64_t left = 0; ///< Changes of a series.
    while (!m_isStopping) {
        version += step(m_rng);
        const std::string text = textOf(version);
        {
            const std::lock_guard guard(m_mutex);
            m_sent.emplace_back(base::monotonicNow(), version);
        }
        // The same order is sent again, to any control host, until it is acknowledged.
        const bool isPut = harness::eventually(kPutLimit, [&] {
            const std::size_t to = std::uniform_int_distribution<std::size_t>(
                    0, m_bed->controls.size() - 1)(m_rng);
            return m_isStopping || m_bed->put(to, text, base::Millis(300));
        });
        if (isPut && !m_isStopping) {
            m_history->add(AckRecord{version, base::monotonicNow()});
            m_acknowledged = version;
        }
        const auto draw = [this](std::int64_t least, std::int64_t most) {
            return std::uniform_int_distribution<std::int64_t>(least, most)(m_pauseRng);
        };
        if (left == 0 && draw(0, 99) < kSeries)
            left = draw(kLeastInSeries, kMostInSeries);
        const base::Millis shortInterval(draw(kLeastShortIntervalMs, kMostShortIntervalMs));
        const base::TimePoint until = base::monotonicNow() + (left > 0 ? shortInterval : kInterval);
        left = std::max<std::int64_t>(0, left - 1);
        while (!m_isStopping && base::monotonicNow() < until) {
            read();
            std::this_thread::sleep_for(base::Millis(100));
        }
    }
}

} // namespace hyssop::platformsoak
