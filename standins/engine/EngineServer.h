#pragma once

#include "AttemptRoutes.h"
#include "KvRoutes.h"
#include "ReservationRoutes.h"
#include "Standin.h"

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
class EngineServer final : public StandinServer
{
public:
    EngineServer(http::Loop *loop, const EngineSettings &settings,
                 OrderRoutes::OnServing onServing);

    tl::expected<base::Endpoint, http::LoopError> listen(const base::Endpoint &address);
    /// New attempts and reservations are refused from here on.
    void refuseNewWork() override;
    /// Whether nothing is running, reserved or still being read.
    bool isIdle() const override;

private:
    void onRequest(http::ExchangeId id, http::Request request) override;
    void onPeerClosed(http::ExchangeId id) override;
    void onRejected(http::RejectReason) override { }

    void stats(http::ExchangeId id);
    LoadSnapshot load() const;
    void schedule(base::Micros modelTime);
    void step();
    void memoryChanged();

    http::Loop *m_loop;
    EngineModel m_model;
    double m_speed;
    FaultPlan m_faults;
    AttemptStreams m_streams;
    EventFeed m_feed;
    OrderRoutes m_orders;
    Responder m_responder;
    AttemptRoutes m_attempts;
    ReservationRoutes m_reservations;
    KvRoutes m_kv;
    bool m_isScheduled = false;
};

} // namespace hyssop::standins
