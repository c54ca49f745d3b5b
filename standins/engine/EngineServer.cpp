#include "EngineServer.h"

#include <nlohmann/json.hpp>

namespace hyssop::standins {

namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t(64) << 20;
constexpr std::string_view kAttempts = "/v1/attempts";
constexpr std::string_view kReservations = "/v1/reservations";
constexpr std::string_view kKv = "/v1/kv";

using nlohmann::json;

} // namespace

EngineServer::EngineServer(http::Loop *loop, const EngineSettings &settings,
                           OrderRoutes::OnServing onServing)
    : m_loop(loop)
    , m_model(settings.parameters)
    , m_speed(settings.speed)
    , m_faults(settings.faults, settings.feed.seed)
    , m_streams(loop, &m_faults, settings.keep)
    , m_feed(loop, settings.feed, [this] { return load(); })
    , m_orders(loop, DesiredState(settings.loaded, settings.checksFencing), settings.weightStore,
               settings.loadTime, std::move(onServing))
    , m_responder(loop, settings.logsWork)
    , m_attempts(&m_responder, &m_model, &m_streams, &m_faults, &m_orders, settings.logsWork,
                 {[this] { schedule(base::Micros(0)); }, [this] { memoryChanged(); }})
    , m_reservations(loop, &m_responder, &m_model, &m_streams, [this] { memoryChanged(); })
    , m_kv(&m_responder, &m_model, &m_feed, [this] { memoryChanged(); })
{ }

tl::expected<base::Endpoint, http::LoopError> EngineServer::listen(const base::Endpoint &address)
{
    http::ServerOptions options;
    options.listen = address;
    options.headers = {"x-attempt-id", "x-owner", "x-remaining-ms", "x-priority", "x-gang"};
    options.maxBodyBytes = kMaxBodyBytes;
    return m_loop->listen(std::move(options), this);
}

void EngineServer::refuseNewWork()
{
    m_attempts.refuseNewWork();
    m_reservations.refuseNewWork();
}

bool EngineServer::isIdle() const
{
    return m_model.isIdle() && m_streams.readers() == 0 && m_model.memory().reservations().empty();
}

void EngineServer::onRequest(http::ExchangeId id, http::Request request)
{
    if (request.method == http::Method::Post && request.path == "/v1/completions")
        m_attempts.complete(id, request);
    else if (request.path.starts_with(kAttempts))
        m_attempts.serve(id, request);
    else if (request.path.starts_with(kReservations))
        m_reservations.serve(id, request);
    else if (request.path.starts_with(kKv))
        m_kv.serve(id, request);
    else if (request.path == "/v1/desired")
        m_orders.serve(id, request);
    else if (request.method == http::Method::Get && request.path == "/v1/events")
        m_feed.subscribe(id);
    else if (request.method == http::Method::Get && request.path == "/v1/stats")
        stats(id);
    else
        m_responder.refuse(id, 404, "unknown_path");
}

void EngineServer::onPeerClosed(http::ExchangeId id)
{
    m_feed.drop(id);
    m_streams.readerGone(id);
    m_reservations.drop(id);
}

void EngineServer::stats(http::ExchangeId id)
{
    const KvMemory &memory = m_model.memory();
    m_responder.respond(id, 200,
                        json{{"usedKvTokens", memory.used()},
                             {"reservedTokens", memory.reserved()},
                             {"reservations", memory.reservations().size()},
                             {"exportedTokens", memory.held()},
                             {"exports", memory.holds().size()},
                             {"cachedTokens", m_model.cache().tokens()},
                             {"running", m_model.running()},
                             {"waiting", m_model.waiting()},
                             {"queuedPromptTokens", m_model.queuedPromptTokens()},
                             {"started", m_attempts.started()},
                             {"refused", m_responder.refused()},
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
    m_reservations.settle();
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
