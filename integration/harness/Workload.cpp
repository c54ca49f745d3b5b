#include "Workload.h"

#include <catch2/catch.hpp>

#include <csignal>

namespace hyssop::harness {

namespace {

constexpr base::Millis kRestartLimit{40'000};
/// Beyond its deadline a request may take this long to be seen as ended on a busy machine.
constexpr base::Millis kGrace{5'000};
/// Calls that are due at once when the driver was held up.
constexpr int kMaxBurst = 50;

double upstreamsOf(System &system, const std::string &dataCentre)
{
    double n = 0;
    for (const Role role : {Role::Engine, Role::Service}) {
        for (const Host *host : system.hosts(role))
            n += host->dataCentre == dataCentre ? 1 : 0;
    }
    return n;
}

} // namespace

Workload::Workload(System *system, Scorecard *scorecard, WorkloadOptions options)
    : m_system(system)
    , m_scorecard(scorecard)
    , m_options(options)
    , m_rng(options.seed)
{ }

std::int64_t Workload::draw(std::int64_t below)
{
    return static_cast<std::int64_t>(m_rng() % static_cast<std::uint64_t>(below));
}

void Workload::tick(base::TimePoint now)
{
    if (m_nextStart == base::TimePoint())
        m_nextStart = now;
    const base::Micros interval(static_cast<std::int64_t>(1e6 / m_options.ratePerSecond));
    for (int i = 0; i < kMaxBurst && !m_isPaused && m_nextStart <= now; ++i) {
        startOne(now);
        m_nextStart += interval;
    }
    m_nextStart = std::max(m_nextStart, now - base::Millis(100));
    for (auto it = m_open.begin(); it != m_open.end();) {
        if (!it->pending.now().hasEnded()) {
            ++it;
            continue;
        }
        finish(*it, now);
        it = m_open.erase(it);
    }
}

void Workload::runFor(base::Millis duration)
{
    runUntil(duration, [] { return false; });
}

void Workload::drain()
{
    m_isPaused = true;
    runUntil(base::Millis(m_options.deadlineMs) + 3 * kGrace, [this] { return m_open.empty(); });
    for (const OpenCall &call : m_open)
        m_scorecard->check(Promise::EndsInTime, false, "never ended at " + call.entry);
    m_open.clear();
    m_isPaused = false;
}

void Workload::restart(Host &host)
{
    INFO(host.name);
    takeOut(host);
    host.process->signal(SIGTERM);
    REQUIRE(runUntil(kRestartLimit, [&] { return !host.process->isRunning(); }));
    const std::optional<Exit> exit = host.process->wait(base::Millis(0));
    REQUIRE(exit);
    CHECK(exit->signal == 0);
    CHECK(exit->code == 0);
    m_system->start(host);
    REQUIRE(runUntil(kRestartLimit, [&] {
        return m_system->client().get(host.platform, "/ready").status == 200;
    }));
    if (host.role == Role::Entry) {
        const double upstreams = upstreamsOf(*m_system, host.dataCentre);
        REQUIRE(runUntil(kRestartLimit,
                         [&] { return metric(*m_system, host, "hyssop_upstreams") >= upstreams; }));
    }
    putBack(host);
}

void Workload::excuse(const Host &entry)
{
    for (OpenCall &call : m_open)
        call.isExcused = call.isExcused || call.entry == entry.name;
}

const Host *Workload::drawEntry()
{
    std::vector<Host *> entries = m_system->hosts(Role::Entry);
    std::erase_if(entries, [this](const Host *it) { return m_out.contains(it->name); });
    return entries.empty() ? nullptr
                           : entries[static_cast<std::size_t>(
                                   draw(static_cast<std::int64_t>(entries.size())))];
}

void Workload::startOne(base::TimePoint now)
{
    const Host *entry = drawEntry();
    if (!entry)
        return;
    const std::int64_t kind = draw(100);
    const std::string name = "w" + std::to_string(m_options.seed) + "-" + std::to_string(m_started);
    OpenCall call;
    call.entry = entry->name;
    call.started = now;
    if (kind < m_options.bookingPercent) {
        call.key = name;
        m_bookings[name] = Told::Unsure;
        call.pending = startBooking(*m_system, *entry, name);
    } else {
        const bool isLong = kind >= 100 - m_options.longPercent;
        Completion &completion = call.completion;
        completion.prompt = longPrompt(name, isLong ? m_options.longTokens : m_options.shortTokens);
        completion.maxTokens = 1 + draw(m_options.maxOutput);
        completion.wantsStream = draw(2) == 0;
        completion.urgency = isLong ? "batch" : "urgent";
        completion.deadlineMs = m_options.deadlineMs;
        call.pending = startCompletion(*m_system, *entry, completion);
    }
    ++m_started;
    m_open.push_back(std::move(call));
}

void Workload::finish(const OpenCall &call, base::TimePoint now)
{
    const Answer answer = call.pending.now();
    const bool isInTime = now - call.started <= base::Millis(m_options.deadlineMs) + kGrace;
    m_scorecard->check(Promise::EndsInTime, isInTime, "late at " + call.entry);
    if (call.key.empty())
        finishCompletion(call, answer);
    else
        finishBooking(call, answer);
}

void Workload::count(int status, const std::string &code, const std::string &outcome)
{
    if (!code.empty())
        ++m_codes[code];
    if (status == 200 && code.empty())
        ++m_answered;
    else if (outcome == "not_run")
        ++m_refused;
    else
        ++m_failed;
}

void Workload::finishCompletion(const OpenCall &call, const Answer &answer)
{
    const Completed completed = readCompletion(answer, call.completion);
    count(completed.isWhole ? 200 : 0, completed.isBrokenOff ? "broken_off" : completed.code(),
          completed.outcome());
    const std::string whole = expectedText(call.completion.prompt, call.completion.maxTokens);
    const bool isRight =
            completed.isWhole ? completed.text == whole : whole.starts_with(completed.text);
    const bool isTold = call.isExcused || !completed.isBrokenOff;
    m_scorecard->check(Promise::OwnWholeAnswer, isRight && isTold,
                       (isRight ? "cut off without a word at " : "wrong answer at ") + call.entry);
}

void Workload::finishBooking(const OpenCall &call, const Answer &answer)
{
    const nlohmann::json body = answer.json();
    const nlohmann::json error =
            body.is_object() ? body.value("error", nlohmann::json()) : nlohmann::json();
    const std::string code = error.is_object() ? error.value("code", "") : "broken_off";
    const bool isAnswered = answer.isDone && answer.status == 200;
    const std::string outcome = error.is_object() ? error.value("outcome", "") : "";
    count(answer.status, isAnswered ? "" : code, outcome);
    const bool isTold = call.isExcused || isAnswered || error.is_object();
    const bool isOwn = !isAnswered || (body.is_object() && body.value("key", "") == call.key);
    m_scorecard->check(Promise::OwnWholeAnswer, isTold && isOwn, "booking at " + call.entry);
    if (isAnswered)
        m_bookings[call.key] = Told::Ran;
    else if (outcome == "not_run")
        m_bookings[call.key] = Told::NotRun;
}

void Workload::checkBookings()
{
    std::map<std::string, std::int64_t> runs;
    for (Host *service : m_system->hosts(Role::Service)) {
        const nlohmann::json body = m_system->client().get(service->serves, "/v1/runs").json();
        if (!body.contains("runs"))
            continue;
        for (const auto &[key, n] : body["runs"].items())
            runs[key] += n.get<std::int64_t>();
    }
    for (const auto &[key, told] : m_bookings) {
        const std::int64_t n = runs.contains(key) ? runs[key] : 0;
        m_scorecard->check(Promise::AtMostOnce, n <= 1, key + " ran " + std::to_string(n));
        if (told == Told::Ran)
            m_scorecard->check(Promise::OwnWholeAnswer, n == 1, key + " was answered, not run");
        if (told == Told::NotRun)
            m_scorecard->check(Promise::NotRunIsTrue, n == 0, key + " ran after \"not run\"");
    }
}

} // namespace hyssop::harness
