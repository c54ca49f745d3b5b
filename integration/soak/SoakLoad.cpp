#include "SoakLoad.h"

#include <fmt/format.h>

namespace hyssop::soak {

using harness::Answer;
using harness::Completed;
using harness::Host;
using harness::Promise;
using harness::Role;
using nlohmann::json;

namespace {

/// Beyond its deadline a request may take this long to be seen as ended on a busy machine.
constexpr base::Millis kGrace{5'000};
constexpr std::int64_t kShortTokens = 1'000;
constexpr std::int64_t kLongTokens = 20'000;
constexpr std::int64_t kMaxOutput = 200;
/// Answers of some seconds, so that stops and kills meet calls in flight.
constexpr std::int64_t kMaxLongOutput = 2'000;
constexpr int kLongOutputPercent = 20;
constexpr std::int64_t kMaxVanishMs = 400;
constexpr std::int64_t kMaxResendMs = 3'000;
constexpr int kVanishPercent = 8;
/// Calls whose time is hardly enough or too short: many are refused or run out of time.
constexpr int kHurriedPercent = 8;
constexpr std::int64_t kMaxHurriedMs = 150;
constexpr int kResendPercent = 25;
/// Calls that are due at once when the driver was held up.
constexpr int kMaxBurst = 20;

json errorOf(const json &body)
{
    return body.is_object() ? body.value("error", json()) : json();
}

} // namespace

SoakLoad::SoakLoad(harness::System *system, harness::Scorecard *scorecard, LoadOptions options)
    : m_system(system)
    , m_scorecard(scorecard)
    , m_options(options)
    , m_rng(options.seed)
    , m_jobs(system, scorecard)
    , m_log(system->folder() / "calls.log")
{
    for (const Host *entry : system->hosts(Role::Entry)) {
        std::string &prefix = m_homePrefixes[entry->dataCentre];
        if (prefix.empty())
            prefix = harness::askScope(*system, *entry).json().value("key_prefix", "");
    }
}

std::int64_t SoakLoad::draw(std::int64_t below)
{
    return static_cast<std::int64_t>(m_rng() % static_cast<std::uint64_t>(below));
}

const char *SoakLoad::nameOf(Kind kind)
{
    constexpr std::array<const char *, 8> kNames{"short", "long",  "huge", "oversized",
                                                 "job",   "keyed", "home", "plain"};
    return kNames.at(static_cast<std::size_t>(kind));
}

void SoakLoad::tick(base::TimePoint now)
{
    const base::Micros interval(1'000'000 / m_options.ratePerSecond);
    m_nextStart = std::max(m_nextStart, now - kMaxBurst * interval);
    while (!m_isPaused && m_nextStart <= now) {
        startOne(now);
        m_nextStart += interval;
    }
    std::erase_if(m_resends, [&](const Resend &it) {
        if (it.at > now)
            return false;
        sendServiceCall(it.kind, it.name, now);
        return true;
    });
    std::erase_if(m_open, [&](const Call &call) {
        const bool hasEnded = call.pending.now().hasEnded();
        const bool vanishes = !hasEnded && call.vanishes && *call.vanishes <= now;
        if (hasEnded)
            finish(call);
        else if (vanishes)
            vanish(call);
        return hasEnded || vanishes;
    });
    m_jobs.tick(now);
}

void SoakLoad::giveUp()
{
    for (const Call &call : m_open)
        m_scorecard->check(Promise::EndsInTime, false, call.name + " never ended, " + call.entry);
    m_open.clear();
    m_jobs.giveUp();
}

void SoakLoad::putBack(const Host &entry)
{
    m_out.erase(entry.name);
    m_breaking.erase(entry.name);
    m_stopping.erase(entry.name);
}

void SoakLoad::expectBreaks(const Host &entry)
{
    m_breaking.insert(entry.name);
    for (Call &call : m_open)
        call.mayBreak = call.mayBreak || call.entry == entry.name;
}

void SoakLoad::expectGracefulStop(const Host &entry)
{
    m_stopping.insert(entry.name);
    for (Call &call : m_open) {
        call.wasThereAtStop = call.wasThereAtStop || call.entry == entry.name;
        call.isAtStopping = call.isAtStopping || call.entry == entry.name;
    }
}

// Starting calls.

SoakLoad::Kind SoakLoad::drawKind()
{
    // Refused for certain, so that a short run has a "not run" to check, too.
    if (m_started == 1)
        return Kind::Oversized;
    const std::int64_t percent = draw(100);
    if (percent < 48)
        return Kind::Short;
    if (percent < 58)
        return Kind::Long;
    if (percent < 62)
        return Kind::Huge;
    if (percent < 63)
        return Kind::Oversized;
    if (percent < 67)
        return Kind::Job;
    if (percent < 82)
        return Kind::KeyedCall;
    return percent < 88 ? Kind::HomeCall : Kind::PlainCall;
}

base::Millis SoakLoad::drawDeadline(base::Millis usual)
{
    return happens(kHurriedPercent) ? base::Millis(1 + draw(kMaxHurriedMs)) : usual;
}

const Host *SoakLoad::drawEntry(const std::string &dataCentre)
{
    std::vector<Host *> entries = m_system->hosts(Role::Entry, dataCentre);
    std::erase_if(entries, [this](const Host *it) { return m_out.contains(it->name); });
    const std::int64_t drawn = draw(1'000'000);
    return entries.empty() ? nullptr : entries[static_cast<std::size_t>(drawn) % entries.size()];
}

void SoakLoad::startOne(base::TimePoint now)
{
    const std::string name = fmt::format("s{}-{}", m_options.seed, m_started++);
    const Kind kind = drawKind();
    if (kind == Kind::KeyedCall || kind == Kind::HomeCall || kind == Kind::PlainCall)
        startServiceCall(kind, name, now);
    else
        startModelCall(kind, name, now);
}

void SoakLoad::startModelCall(Kind kind, const std::string &name, base::TimePoint now)
{
    const Host *entry = drawEntry();
    if (!entry)
        return;
    std::int64_t tokens = kShortTokens;
    if (kind == Kind::Long)
        tokens = kLongTokens;
    else if (kind == Kind::Huge)
        tokens = m_options.hugeTokens;
    else if (kind == Kind::Oversized)
        tokens = m_options.oversizedTokens;
    Call call;
    call.kind = kind;
    call.name = name;
    call.completion.prompt = harness::longPrompt(name, tokens);
    call.completion.maxTokens = 1 + draw(happens(kLongOutputPercent) ? kMaxLongOutput : kMaxOutput);
    call.completion.wantsStream = kind != Kind::Job && happens(50);
    call.completion.urgency = kind == Kind::Short ? "urgent" : "batch";
    const bool isJob = kind == Kind::Job;
    const base::Millis deadline = isJob ? m_options.jobDeadline : m_options.deadline;
    call.completion.deadlineMs = drawDeadline(deadline).count();
    call.pending = isJob ? harness::startJob(*m_system, *entry, call.completion)
                         : harness::startCompletion(*m_system, *entry, call.completion);
    open(std::move(call), *entry, now);
}

void SoakLoad::startServiceCall(Kind kind, const std::string &name, base::TimePoint now)
{
    Once once;
    once.path = "check/" + name;
    if (kind == Kind::HomeCall) {
        const Host *entry = drawEntry();
        if (!entry)
            return;
        once.dataCentre = entry->dataCentre;
        once.key = m_homePrefixes[once.dataCentre] + name;
    } else if (kind == Kind::KeyedCall) {
        once.key = name;
    }
    m_once[name] = once;
    sendServiceCall(kind, name, now);
    if (!once.key.empty() && happens(kResendPercent))
        m_resends.push_back({now + base::Millis(draw(kMaxResendMs)), kind, name});
}

void SoakLoad::sendServiceCall(Kind kind, const std::string &name, base::TimePoint now)
{
    const Once &once = m_once[name];
    const Host *entry = drawEntry(once.dataCentre);
    if (!entry)
        return;
    Call call;
    call.kind = kind;
    call.name = name;
    call.pending = harness::startBooking(*m_system, *entry, once.key, "{\"bikes\":2}", once.path,
                                         drawDeadline(m_options.deadline).count());
    open(std::move(call), *entry, now);
}

void SoakLoad::open(Call call, const Host &entry, base::TimePoint now)
{
    call.entry = entry.name;
    call.started = now;
    call.mayBreak = m_breaking.contains(entry.name);
    call.isAtStopping = m_stopping.contains(entry.name);
    if (call.kind != Kind::Oversized && happens(kVanishPercent))
        call.vanishes = now + base::Millis(draw(kMaxVanishMs));
    m_open.push_back(std::move(call));
}

// Ends of calls.

void SoakLoad::vanish(const Call &call)
{
    m_system->client().drop(call.pending);
    ++m_endings[std::string(nameOf(call.kind)) + " vanished"];
    if (const auto it = m_once.find(call.name); it != m_once.end())
        it->second.isUnsure = true;
}

void SoakLoad::finish(const Call &call)
{
    const Answer answer = call.pending.now();
    const auto took = std::chrono::duration_cast<base::Millis>(answer.ended - call.started);
    m_scorecard->check(Promise::EndsInTime, took <= m_options.deadline + kGrace,
                       fmt::format("{} at {} took {} ms", call.name, call.entry, took.count()));
    Ending ending;
    if (call.kind == Kind::Job)
        ending = readJob(call, answer);
    else if (m_once.contains(call.name))
        ending = readServiceCall(call, answer);
    else
        ending = readModelCall(call, answer);
    checkEnding(call, ending, answer);
    record(call, ending, answer);
}

SoakLoad::Ending SoakLoad::readModelCall(const Call &call, const Answer &answer)
{
    const Completed completed = harness::readCompletion(answer, call.completion);
    const std::string whole =
            harness::expectedText(call.completion.prompt, call.completion.maxTokens);
    Ending ending;
    ending.code = completed.isWhole ? "" : completed.code();
    ending.outcome = completed.outcome();
    ending.isToldAll = !completed.isBrokenOff;
    ending.isOwn = completed.isWhole ? completed.text == whole : whole.starts_with(completed.text);
    if (ending.outcome == "not_run")
        m_notRun.insert(base::sha256Hex(call.completion.prompt));
    return ending;
}

SoakLoad::Ending SoakLoad::readJob(const Call &call, const Answer &answer)
{
    const json body = answer.json();
    const json error = errorOf(body);
    Ending ending;
    const bool isAccepted = answer.isDone && answer.status == 202 && body.contains("id");
    ending.isToldAll = isAccepted || error.is_object();
    if (error.is_object()) {
        ending.code = error.value("code", "");
        ending.outcome = error.value("outcome", "");
    }
    if (isAccepted)
        m_jobs.add(body.value("id", ""), m_system->host(call.entry), call.completion);
    if (ending.outcome == "not_run")
        m_notRun.insert(base::sha256Hex(call.completion.prompt));
    return ending;
}

SoakLoad::Ending SoakLoad::readServiceCall(const Call &call, const Answer &answer)
{
    const json body = answer.json();
    const json error = errorOf(body);
    Once &once = m_once[call.name];
    Ending ending;
    const bool isAnswered = answer.isDone && answer.status == 200 && body.is_object();
    ending.isToldAll = isAnswered || error.is_object();
    if (isAnswered) {
        ending.isOwn = body.value("key", "") == once.key
                       && body.value("path", "").ends_with("/" + once.path);
    } else if (error.is_object()) {
        ending.code = error.value("code", "");
        ending.outcome = error.value("outcome", "");
    }
    once.wasAnswered = once.wasAnswered || isAnswered;
    if (ending.outcome == "not_run")
        ++once.refused;
    else
        once.isUnsure = true;
    return ending;
}

void SoakLoad::checkEnding(const Call &call, const Ending &ending, const Answer &answer)
{
    const std::string what = fmt::format(
            "{} ({}) at {}: {}", call.name, nameOf(call.kind), call.entry,
            answer.error ? std::string(http::callFailureName(answer.error->failure)) : ending.code);
    const bool isToldAll = ending.isToldAll || call.mayBreak;
    m_scorecard->check(Promise::OwnWholeAnswer, ending.isOwn && isToldAll, what);
    if (!call.isAtStopping || call.mayBreak)
        return;
    // Only what came after the stop was asked for may be refused for it.
    const bool isRefused = call.wasThereAtStop && ending.code == "stopping";
    m_scorecard->check(Promise::GracefulStop, ending.isToldAll && !isRefused, what);
}

void SoakLoad::record(const Call &call, const Ending &ending, const Answer &answer)
{
    const std::string code = !ending.isToldAll        ? "broken_off"
                             : ending.code.empty()    ? "answered"
                             : ending.outcome.empty() ? ending.code
                                                      : ending.code + "/" + ending.outcome;
    ++m_endings[std::string(nameOf(call.kind)) + " " + code];
    if (code == "answered")
        return;
    const auto took = std::chrono::duration_cast<base::Millis>(answer.ended - call.started);
    const auto at = std::chrono::system_clock::now().time_since_epoch();
    m_log << "at_ms=" << std::chrono::duration_cast<base::Millis>(at).count()
          << " call=" << call.name << " kind=" << nameOf(call.kind) << " entry=" << call.entry
          << " code=" << code << " took_ms=" << took.count() << " may_break=" << call.mayBreak
          << std::endl;
}

// The upstreams' side.

void SoakLoad::checkAgainst(const Witness &witness)
{
    for (const std::string &digest : m_notRun) {
        m_scorecard->check(Promise::NotRunIsTrue, witness.startsOf(digest) == 0,
                           "prompt " + digest + " was started");
    }
    for (const auto &[name, once] : m_once) {
        const std::int64_t runs = witness.startsOf("/" + once.path);
        m_scorecard->check(Promise::AtMostOnce, runs <= 1,
                           fmt::format("{} ran {} times", name, runs));
        if (once.wasAnswered)
            m_scorecard->check(Promise::OwnWholeAnswer, runs > 0, name + " answered, never run");
        if (once.refused > 0 && !once.isUnsure)
            m_scorecard->check(Promise::NotRunIsTrue, runs == 0, name + " ran after \"not run\"");
    }
    for (const Witness::Leaving &leaving : witness.leavings()) {
        m_scorecard->check(Promise::LeavingGetsNothing, leaving.lateWork == 0,
                           fmt::format("{} leaving since {} got {} from {}", leaving.upstream,
                                       leaving.since, leaving.lateWork, leaving.firstLate));
    }
}

std::string SoakLoad::text() const
{
    std::string text;
    for (const auto &[ending, n] : m_endings)
        text += fmt::format("{:<40} {:>6}\n", ending, n);
    text += fmt::format("{:<40} {:>6}\n{:<40} {:>6}\n", "jobs done", m_jobs.done(), "jobs failed",
                        m_jobs.failed());
    return text;
}

} // namespace hyssop::soak
