#include "EngineServer.h"

#include "JsonFields.h"
#include "upstream/Upstream.h"

namespace hyssop::standins {

namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t(64) << 20;
constexpr std::string_view kAttempts = "/v1/attempts";
constexpr std::string_view kReservations = "/v1/reservations";
constexpr std::string_view kKv = "/v1/kv";
constexpr std::string_view kResume = "/resume";
/// How often reservations are checked against their limits.
constexpr base::Millis kSettleInterval{20};
constexpr std::size_t kDigestLetters = 8;

using nlohmann::json;

/// What follows \a prefix and a slash, or nothing.
std::string restOf(const std::string &path, std::string_view prefix)
{
    return path.size() > prefix.size() + 1 ? path.substr(prefix.size() + 1) : std::string();
}

/// Owners hold a slash, which callers may send encoded or not.
std::string ownerOf(const http::Request &request)
{
    std::string owner = request.queryValue("owner");
    if (const auto at = owner.find("%2F"); at != std::string::npos)
        owner.replace(at, 3, "/");
    return owner;
}

/// A host's name without an incarnation stands for all of its incarnations.
bool isOwnedBy(const std::string &owner, const std::string &wanted)
{
    return owner == wanted || owner.starts_with(wanted + "/");
}

} // namespace

EngineServer::EngineServer(http::Loop *loop, const EngineSettings &settings,
                           OrderRoutes::OnServing onServing)
    : m_loop(loop)
    , m_model(settings.parameters)
    , m_speed(settings.speed)
    , m_logsWork(settings.logsWork)
    , m_faults(settings.faults, settings.feed.seed)
    , m_streams(loop, &m_faults, settings.keep)
    , m_feed(loop, settings.feed, [this] { return load(); })
    , m_orders(loop, DesiredState(settings.loaded, settings.checksFencing), settings.weightStore,
               settings.loadTime, std::move(onServing))
{ }

tl::expected<base::Endpoint, http::LoopError> EngineServer::listen(const base::Endpoint &address)
{
    http::ServerOptions options;
    options.listen = address;
    options.headers = {"x-attempt-id", "x-owner", "x-remaining-ms", "x-priority", "x-gang"};
    options.maxBodyBytes = kMaxBodyBytes;
    return m_loop->listen(std::move(options), this);
}

bool EngineServer::isIdle() const
{
    return m_model.isIdle() && m_streams.readers() == 0 && m_model.memory().reservations().empty();
}

void EngineServer::respond(http::ExchangeId id, int status, std::string body)
{
    http::Response response;
    response.status = status;
    response.body = std::move(body);
    m_loop->respond(id, std::move(response));
}

void EngineServer::refuse(http::ExchangeId id, int status, const std::string &code)
{
    ++m_refused;
    if (m_logsWork)
        base::logEvent("work_refused", {{"code", code}});
    respond(id, status, errorBody(code, "not_run"));
}

void EngineServer::onRequest(http::ExchangeId id, http::Request request)
{
    if (request.method == http::Method::Post && request.path == "/v1/completions")
        complete(id, request);
    else if (request.path.starts_with(kAttempts))
        serveAttempts(id, request);
    else if (request.path.starts_with(kReservations))
        serveReservations(id, request);
    else if (request.path.starts_with(kKv))
        serveKv(id, request);
    else if (request.path == "/v1/desired")
        m_orders.serve(id, request);
    else if (request.method == http::Method::Get && request.path == "/v1/events")
        m_feed.subscribe(id);
    else if (request.method == http::Method::Get && request.path == "/v1/stats")
        stats(id);
    else
        refuse(id, 404, "unknown_path");
}

void EngineServer::onPeerClosed(http::ExchangeId id)
{
    m_feed.drop(id);
    m_streams.readerGone(id);
    std::erase_if(m_waitingReservations, [id](const auto &it) { return it.second == id; });
}

// Attempts.

void EngineServer::serveAttempts(http::ExchangeId id, const http::Request &request)
{
    std::string attempt = restOf(request.path, kAttempts);
    if (request.method == http::Method::Get && attempt.empty()) {
        listAttempts(id, ownerOf(request));
    } else if (request.method == http::Method::Delete && !attempt.empty()) {
        cancel(id, attempt);
    } else if (request.method == http::Method::Post && attempt.ends_with(kResume)) {
        attempt.resize(attempt.size() - kResume.size());
        resume(id, attempt, request);
    } else {
        refuse(id, 404, "unknown_path");
    }
}

std::optional<std::pair<int, std::string>> EngineServer::refusal(const std::string &attempt,
                                                                 const json &body,
                                                                 const AttemptFaults &faults) const
{
    if (m_isLeaving)
        return std::pair(503, "leaving");
    if (faults.isRefused)
        return std::pair(503, "busy");
    if (m_streams.wasCancelled(attempt))
        return std::pair(410, "cancelled");
    const std::string model = textOf(body, "model");
    if (!model.empty() && model != m_orders.loaded().model)
        return std::pair(404, "model_not_loaded");
    return std::nullopt;
}

void EngineServer::complete(http::ExchangeId id, const http::Request &request)
{
    const auto body = base::parseJson(request.body);
    if (!body || !body->is_object() || !body->contains("prompt")) {
        refuse(id, 400, "bad_request");
        return;
    }
    const std::string attempt(request.header("x-attempt-id"));
    if (m_streams.knows(attempt)) {
        respond(id, 409, errorBody("duplicate_attempt", "failed"));
        return;
    }
    const AttemptFaults faults = m_faults.drawAttempt();
    if (const auto reason = refusal(attempt, *body, faults)) {
        refuse(id, reason->first, reason->second);
        return;
    }
    const std::string prompt = textOf(*body, "prompt");
    Sequence sequence;
    sequence.attempt = attempt;
    sequence.owner = request.header("x-owner");
    sequence.priority = std::atoi(std::string(request.header("x-priority")).c_str());
    sequence.promptTokens = std::max<std::int64_t>(1, upstream::countTokens(prompt).count());
    sequence.maxTokens = std::max<std::int64_t>(1, numberOf(*body, "max_tokens", 16));
    sequence.isGang = !request.header("x-gang").empty();
    sequence.blocks = upstream::prefixBlocks(prompt);
    if (!m_model.add(std::move(sequence))) {
        refuse(id, 413, "too_large");
        return;
    }
    ++m_started;
    const std::string digest = base::sha256Hex(prompt);
    if (m_logsWork)
        base::logEvent("work_started", {{"work", digest}});
    m_streams.start(attempt, digest.substr(0, kDigestLetters), faults, id);
    schedule(base::Micros(0));
}

void EngineServer::resume(http::ExchangeId id, const std::string &attempt,
                          const http::Request &request)
{
    const auto body = base::parseJson(request.body);
    const std::int64_t offset = body && body->is_object() ? numberOf(*body, "offset", -1) : -1;
    switch (m_streams.resume(attempt, offset, id)) {
    case AttemptStreams::Resumed::Yes:
        break;
    case AttemptStreams::Resumed::Unknown:
        refuse(id, 404, "unknown_attempt");
        break;
    case AttemptStreams::Resumed::BadOffset:
        refuse(id, 400, "bad_offset");
        break;
    }
}

void EngineServer::listAttempts(http::ExchangeId id, const std::string &owner)
{
    json attempts = json::array();
    for (const Sequence &sequence : m_model.sequences()) {
        if (isOwnedBy(sequence.owner, owner))
            attempts.push_back({{"id", sequence.attempt}, {"owner", sequence.owner}});
    }
    respond(id, 200, json{{"attempts", attempts}}.dump());
}

void EngineServer::cancel(http::ExchangeId id, const std::string &attempt)
{
    const bool wasRunning = m_model.cancel(attempt);
    const bool wasKept = m_streams.cancel(attempt);
    memoryChanged();
    respond(id, wasRunning || wasKept ? 200 : 404, "{}");
}

// Reservations.

void EngineServer::serveReservations(http::ExchangeId id, const http::Request &request)
{
    const std::string reservation = restOf(request.path, kReservations);
    if (request.method == http::Method::Post && reservation.empty()) {
        reserve(id, request);
    } else if (request.method == http::Method::Get && reservation.empty()) {
        listReservations(id, ownerOf(request));
    } else if (request.method == http::Method::Delete && !reservation.empty()) {
        const bool wasThere = m_model.memory().reservation(reservation);
        unreserve(reservation);
        respond(id, wasThere ? 200 : 404, "{}");
    } else {
        refuse(id, 404, "unknown_path");
    }
}

void EngineServer::reserve(http::ExchangeId id, const http::Request &request)
{
    const auto body = base::parseJson(request.body);
    if (!body || !body->is_object()) {
        refuse(id, 400, "bad_request");
        return;
    }
    const base::TimePoint now = base::monotonicNow();
    Reservation reservation;
    reservation.id = textOf(*body, "id");
    reservation.owner = textOf(*body, "owner");
    reservation.tokens = numberOf(*body, "tokens", 0);
    reservation.gangTokens = numberOf(*body, "gangTokens", reservation.tokens);
    reservation.ttl = base::Millis(numberOf(*body, "ttlMs", 0));
    reservation.waitUntil = now + base::Millis(numberOf(*body, "waitMs", 0));
    const std::string name = reservation.id;
    const bool isValid = !name.empty() && reservation.tokens > 0 && reservation.ttl.count() > 0;
    const bool isNew = !m_model.memory().reservation(name);
    if (!isValid || (m_isLeaving && isNew)) {
        refuse(id, isValid ? 503 : 400, isValid ? "leaving" : "bad_request");
        return;
    }
    switch (m_model.memory().reserve(std::move(reservation), now)) {
    case KvMemory::Verdict::Held:
        m_model.shrinkCache();
        respond(id, 200, "{}");
        break;
    case KvMemory::Verdict::Waiting:
        m_waitingReservations[name] = id;
        break;
    case KvMemory::Verdict::TooLarge:
        refuse(id, 409, "too_large");
        break;
    }
    settleReservations();
}

void EngineServer::listReservations(http::ExchangeId id, const std::string &owner)
{
    json all = json::array();
    for (const Reservation &it : m_model.memory().reservations()) {
        if (isOwnedBy(it.owner, owner))
            all.push_back({{"id", it.id}, {"owner", it.owner}, {"tokens", it.held}});
    }
    respond(id, 200, json{{"reservations", all}}.dump());
}

void EngineServer::unreserve(const std::string &reservation)
{
    if (const auto it = m_waitingReservations.find(reservation);
        it != m_waitingReservations.end()) {
        refuse(it->second, 409, "released");
        m_waitingReservations.erase(it);
    }
    m_model.memory().unreserve(reservation);
    // An attempt that lives in reserved memory ends with it.
    if (const Sequence *sequence = m_model.find(reservation); sequence && sequence->isGang) {
        m_model.cancel(reservation);
        m_streams.cancel(reservation);
    }
    memoryChanged();
}

void EngineServer::settleReservations()
{
    const base::TimePoint now = base::monotonicNow();
    const auto answer = [this](const std::string &name, bool isHeld) {
        const auto it = m_waitingReservations.find(name);
        if (it == m_waitingReservations.end())
            return;
        const http::ExchangeId id = it->second;
        m_waitingReservations.erase(it);
        if (isHeld)
            respond(id, 200, "{}");
        else
            refuse(id, 409, "no_memory");
    };
    for (const std::string &name : m_model.memory().expire(now))
        answer(name, false);
    for (const std::string &name : m_model.memory().gather(now))
        answer(name, true);
    m_model.shrinkCache();
    if (m_model.memory().reservations().empty() || std::exchange(m_isSettling, true))
        return;
    m_loop->after(kSettleInterval, [this] {
        m_isSettling = false;
        memoryChanged();
    });
}

// KV caches handed from engine to engine.

void EngineServer::serveKv(http::ExchangeId id, const http::Request &request)
{
    const std::string name = restOf(request.path, kKv);
    if (request.method == http::Method::Get && name.empty()) {
        listKv(id, ownerOf(request));
        return;
    }
    if (request.method == http::Method::Delete && !name.empty()) {
        const bool wasThere = m_model.memory().unhold(name);
        memoryChanged();
        respond(id, wasThere ? 200 : 404, "{}");
        return;
    }
    const auto body = base::parseJson(request.body);
    const bool isOrder = request.method == http::Method::Post && body && body->is_object()
                         && !textOf(*body, "id").empty() && !textOf(*body, "owner").empty();
    if (isOrder && name == "exports")
        exportKv(id, *body);
    else if (isOrder && name == "imports")
        importKv(id, *body);
    else
        refuse(id, 400, "bad_request");
}

void EngineServer::exportKv(http::ExchangeId id, const json &body)
{
    const Sequence *sequence = m_model.find(textOf(body, "attempt"));
    if (!sequence) {
        refuse(id, 404, "unknown_attempt");
        return;
    }
    const std::int64_t tokens = sequence->prefilled;
    if (!m_model.memory().hold(textOf(body, "id"), {textOf(body, "owner"), tokens})) {
        refuse(id, 409, "no_memory");
        return;
    }
    m_model.shrinkCache();
    respond(id, 200, json{{"tokens", tokens}, {"blocks", sequence->blocks}}.dump());
}

void EngineServer::importKv(http::ExchangeId id, const json &body)
{
    const std::int64_t tokens = numberOf(body, "tokens", 0);
    const auto blocks = body.find("blocks");
    if (tokens <= 0 || blocks == body.end() || !blocks->is_array()) {
        refuse(id, 400, "bad_request");
        return;
    }
    std::vector<std::uint64_t> wanted;
    for (const json &block : *blocks) {
        if (block.is_number_unsigned())
            wanted.push_back(block.get<std::uint64_t>());
    }
    if (!m_model.memory().hold(textOf(body, "id"), {textOf(body, "owner"), tokens})) {
        refuse(id, 409, "no_memory");
        return;
    }
    m_model.shrinkCache();
    m_model.cache().remember(wanted, m_model.memory().free());
    m_feed.cacheChanged(m_model.cache().takeChanges());
    respond(id, 200, "{}");
}

void EngineServer::listKv(http::ExchangeId id, const std::string &owner)
{
    json all = json::array();
    for (const auto &[name, hold] : m_model.memory().holds()) {
        if (isOwnedBy(hold.owner, owner))
            all.push_back({{"id", name}, {"owner", hold.owner}, {"tokens", hold.tokens}});
    }
    respond(id, 200, json{{"kv", all}}.dump());
}

// Steps.

void EngineServer::stats(http::ExchangeId id)
{
    const KvMemory &memory = m_model.memory();
    respond(id, 200,
            json{{"usedKvTokens", memory.used()},
                 {"reservedTokens", memory.reserved()},
                 {"reservations", memory.reservations().size()},
                 {"exportedTokens", memory.held()},
                 {"exports", memory.holds().size()},
                 {"cachedTokens", m_model.cache().tokens()},
                 {"running", m_model.running()},
                 {"waiting", m_model.waiting()},
                 {"queuedPromptTokens", m_model.queuedPromptTokens()},
                 {"started", m_started},
                 {"refused", m_refused},
                 {"storeRefusals", m_orders.refusedByStore()}}
                    .dump());
}

LoadSnapshot EngineServer::load() const
{
    return {m_model.running(), m_model.waiting(), m_model.queuedPromptTokens(),
            m_model.memory().used()};
}

void EngineServer::memoryChanged()
{
    settleReservations();
    m_feed.cacheChanged(m_model.cache().takeChanges());
}

void EngineServer::schedule(base::Micros modelTime)
{
    if (m_isScheduled)
        return;
    m_isScheduled = true;
    const double us = static_cast<double>(modelTime.count()) / m_speed;
    m_loop->after(base::Millis(static_cast<std::int64_t>(us / 1'000)), [this] { step(); });
}

void EngineServer::step()
{
    m_isScheduled = false;
    for (const MadeToken &token : m_model.step())
        m_streams.add(token.attempt, token.offset, token.isLast);
    memoryChanged();
    if (!m_model.isIdle())
        schedule(m_model.stepTime());
}

} // namespace hyssop::standins
