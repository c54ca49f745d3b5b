#pragma once

#include "Standin.h"

#include <map>
#include <set>
#include <string>

namespace hyssop::standins {

struct ServiceSettings
{
    base::Millis delay{0}; ///< From a request to its answer.
    int refusePercent = 0; ///< Calls refused with "not run".
    int losePercent = 0; ///< Calls that run and are never answered.
    std::int64_t callsPerMinute = 0; ///< Calls beyond are refused with "not run"; 0: no bound.
    std::uint64_t seed = 1;
    bool logsWork = false; ///< A line for each call run or refused; outlives the process.
};

/// A plain service that counts every run by idempotency key.
class ServiceServer final : public StandinServer
{
public:
    ServiceServer(http::Loop *loop, ServiceSettings settings);

    tl::expected<base::Endpoint, http::LoopError> listen(const base::Endpoint &address);
    void refuseNewWork() override { m_isLeaving = true; }
    bool isIdle() const override { return m_open.empty(); }

private:
    void onRequest(http::ExchangeId id, http::Request request) override;
    void onPeerClosed(http::ExchangeId id) override { m_open.erase(id); }
    void onRejected(http::RejectReason) override { }
    void run(http::ExchangeId id, const http::Request &request);
    void refuse(http::ExchangeId id, int status, const std::string &code);
    void report(http::ExchangeId id);
    bool isOverRate(base::TimePoint now);
    bool happens(int percent);

    http::Loop *m_loop;
    ServiceSettings m_settings;
    base::Rng m_rng;
    std::map<std::string, std::int64_t> m_runs; ///< By idempotency key.
    std::set<http::ExchangeId> m_open; ///< Run, not yet answered.
    std::int64_t m_total = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_lost = 0;
    double m_permits = 0; ///< Calls that may still come at once.
    base::TimePoint m_refilled;
    bool m_isLeaving = false;
};

} // namespace hyssop::standins
