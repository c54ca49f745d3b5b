#include "ServiceServer.h"

#include <nlohmann/json.hpp>

namespace hyssop::standins {

ServiceServer::ServiceServer(http::Loop *loop, ServiceSettings settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_rng(settings.seed)
    , m_permits(static_cast<double>(settings.callsPerMinute))
    , m_refilled(base::monotonicNow())
{ }

tl::expected<base::Endpoint, http::LoopError> ServiceServer::listen(const base::Endpoint &address)
{
    http::ServerOptions options;
    options.listen = address;
    options.headers = {"idempotency-key", "x-attempt-id"};
    return m_loop->listen(std::move(options), this);
}

void ServiceServer::onRequest(http::ExchangeId id, http::Request request)
{
    if (request.path == "/v1/runs")
        report(id);
    else if (m_isLeaving)
        refuse(id, 503, "leaving");
    else if (happens(m_settings.refusePercent))
        refuse(id, 503, "busy");
    else if (isOverRate(base::monotonicNow()))
        refuse(id, 429, "rate_limit");
    else
        run(id, request);
}

void ServiceServer::report(http::ExchangeId id)
{
    http::Response response;
    response.body = nlohmann::json{
            {"total", m_total},
            {"runs", m_runs},
            {"refused", m_refused},
            {"lost",
             m_lost}}.dump();
    m_loop->respond(id, std::move(response));
}

void ServiceServer::refuse(http::ExchangeId id, int status, const std::string &code)
{
    ++m_refused;
    if (m_settings.logsWork)
        base::logEvent("work_refused", {{"code", code}});
    http::Response response;
    response.status = status;
    response.headers = {{"x-outcome", "not_run"}};
    response.body = nlohmann::json{{"error", {{"code", code}, {"outcome", "not_run"}}}}.dump();
    m_loop->respond(id, std::move(response));
}

void ServiceServer::run(http::ExchangeId id, const http::Request &request)
{
    const std::string key(request.header("idempotency-key"));
    ++m_total;
    if (!key.empty())
        ++m_runs[key];
    if (m_settings.logsWork)
        base::logEvent("work_started", {{"work", request.path}});
    if (happens(m_settings.losePercent)) {
        ++m_lost;
        return;
    }
    http::Response response;
    response.body = nlohmann::json{{"run", m_total}, {"key", key}, {"path", request.path}}.dump();
    m_open.insert(id);
    m_loop->after(m_settings.delay, [this, id, response = std::move(response)] {
        m_open.erase(id);
        m_loop->respond(id, response);
    });
}

bool ServiceServer::isOverRate(base::TimePoint now)
{
    if (m_settings.callsPerMinute == 0)
        return false;
    const auto bound = static_cast<double>(m_settings.callsPerMinute);
    const std::chrono::duration<double> passed = now - m_refilled;
    m_refilled = now;
    m_permits = std::min(bound, m_permits + passed.count() * bound / 60);
    if (m_permits < 1)
        return true;
    m_permits -= 1;
    return false;
}

bool ServiceServer::happens(int percent)
{
    return std::uniform_int_distribution<int>(0, 99)(m_rng) < percent;
}

} // namespace hyssop::standins
