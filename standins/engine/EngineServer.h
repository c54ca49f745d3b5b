#pragma once

#include "AttemptStreams.h"
#include "EngineModel.h"
#include "EventFeed.h"
#include "OrderRoutes.h"

#include <nlohmann/json_fwd.hpp>

namespace hyssop::standins {

struct EngineSettings
{
    EngineParameters parameters;
    double speed = 1; ///< Model time over real time.
    base::Millis keep{30'000}; ///< How long an ended attempt can still be resumed.
    FeedSettings feed;
    FaultSettings faults;
    EngineOrder loaded;
    bool checksFencing = true;
    base::Millis loadTime{0};
    std::optional<base::Endpoint> weightStore;
    bool logsWork = false; ///< A line for each attempt started or refused; outlives the process.
};

/// Serves an EngineModel over the engines' HTTP interface; model time runs at a given speed.
class EngineServer final : public http::ServerHandler
{
public:
    EngineServer(http::Loop *loop, const EngineSettings &settings,
                 OrderRoutes::OnServing onServing);

    tl::expected<base::Endpoint, http::LoopError> listen(const base::Endpoint &address);
    /// New attempts and reservations are refused from here on.
    void refuseNewWork() { m_isLeaving = true; }
    /// Whether nothing is running, reserved or still being read.
    bool isIdle() const;

private:
    void onRequest(http::ExchangeId id, http::Request request) override;
    void onPeerClosed(http::ExchangeId id) override;
    void onRejected(http::RejectReason) override { }

    void serveAttempts(http::ExchangeId id, const http::Request &request);
    void complete(http::ExchangeId id, const http::Request &request);
    /// Code of the reason to refuse an attempt, and its status; nothing when it may start.
    std::optional<std::pair<int, std::string>> refusal(const std::string &attempt,
                                                       const nlohmann::json &body,
                                                       const AttemptFaults &faults) const;
    void resume(http::ExchangeId id, const std::string &attempt, const http::Request &request);
    void listAttempts(http::ExchangeId id, const std::string &owner);
    void cancel(http::ExchangeId id, const std::string &attempt);

    void serveReservations(http::ExchangeId id, const http::Request &request);
    void reserve(http::ExchangeId id, const http::Request &request);
    void listReservations(http::ExchangeId id, const std::string &owner);
    void unreserve(const std::string &reservation);
    void settleReservations();

    void serveKv(http::ExchangeId id, const http::Request &request);
    void exportKv(http::ExchangeId id, const nlohmann::json &body);
    void importKv(http::ExchangeId id, const nlohmann::json &body);
    void listKv(http::ExchangeId id, const std::string &owner);

    void stats(http::ExchangeId id);
    LoadSnapshot load() const;
    void respond(http::ExchangeId id, int status, std::string body);
    void refuse(http::ExchangeId id, int status, const std::string &code);
    void schedule(base::Micros modelTime);
    void step();
    void memoryChanged();

    http::Loop *m_loop;
    EngineModel m_model;
    double m_speed;
    bool m_logsWork;
    FaultPlan m_faults;
    AttemptStreams m_streams;
    EventFeed m_feed;
    OrderRoutes m_orders;
    std::map<std::string, http::ExchangeId> m_waitingReservations;
    bool m_isScheduled = false;
    bool m_isSettling = false;
    bool m_isLeaving = false;
    std::int64_t m_refused = 0;
    std::int64_t m_started = 0;
};

} // namespace hyssop::standins
