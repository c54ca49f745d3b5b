#include "Manifests.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssop::platformsoak {

namespace {

/// Between two changes.
constexpr base::Millis kInterval{1'500};
/// Tries of one change before the next.
constexpr base::Millis kPutLimit{20'000};
constexpr base::Millis kReadLimit{1'000};
/// Versions rise in uneven steps.
constexpr std::int64_t kLongestStep = 4;

std::string route(const std::string &prefix, const std::string &kind, const std::string &service,
                  int attempts, bool isStream)
{
    return fmt::format(R"({{"Name":"{0}","Host":"site.example","PathPrefix":"/{0}/","Kind":"{1}",)"
                       R"("TimeoutMs":{2},"TargetLatencyMs":300,"Priority":1,"Service":"{3}",)"
                       R"("MaxAttempts":{4},"NoAuth":false,"Sticky":{5},"Resumable":{5},)"
                       R"("GapTargetMs":{6}}})",
                       prefix, kind, isStream ? 6'000 : 2'000, service, attempts, isStream,
                       isStream ? 250 : 0);
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

std::string Operator::textOf(std::int64_t version)
{
    const auto team = [](std::int64_t number) {
        return fmt::format(R"({{"Name":"{}","ApiKeys":["{}"],"Priority":1}})", teamOf(number),
                           keyOf(number));
    };
    return fmt::format(
            R"({{"Version":{},"Routes":[{},{},{},{}],"Services":[)"
            R"({{"Name":"booking","HealthPath":"/health","MaxConns":100}},)"
            R"({{"Name":"model","HealthPath":"/health","MaxConns":100,"Engine":{{"Slots":16,)"
            R"("KvCapacityTokens":315000,"Stride":51,"step_ms":0.85,"per_seq_ms":0.00425,)"
            R"("context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,)"
            R"("report_lag_ms":200.0,"usual":{{"prompt":5000,"answer":500}}}}}}],)"
            R"("Tenants":[{},{}]}})",
            version, route("book", "non_idempotent", "booking", 1, false),
            route("look", "idempotent", "booking", 2, false),
            route("chat", "streaming", "model", 2, true),
            route("digest", "streaming", "model", 2, true), team(0), team(version));
}

Operator::Operator(const harness::PlatformBed *bed, History *history, std::uint64_t seed)
    : m_bed(bed)
    , m_history(history)
    , m_rng(seed)
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

void Operator::work()
{
    std::uniform_int_distribution<std::int64_t> step(1, kLongestStep);
    std::int64_t version = 0;
    while (!m_isStopping) {
        version += step(m_rng);
        const std::string text = textOf(version);
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
        const base::TimePoint until = base::monotonicNow() + kInterval;
        while (!m_isStopping && base::monotonicNow() < until) {
            read();
            std::this_thread::sleep_for(base::Millis(100));
        }
    }
}

} // namespace hyssop::platformsoak
