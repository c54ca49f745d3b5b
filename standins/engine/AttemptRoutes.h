#pragma once

#include "AttemptStreams.h"
#include "EngineModel.h"
#include "OrderRoutes.h"
#include "Responder.h"

#include <nlohmann/json_fwd.hpp>

namespace hyssop::standins {

/// What callers ask of attempts: to start, resume, list and cancel them.
class AttemptRoutes
{
public:
    struct Hooks
    {
        std::function<void()> onStarted; ///< The model has a new sequence.
        std::function<void()> onMemoryChanged;
    };

    /// All that is handed in must outlive this object.
    AttemptRoutes(Responder *responder, EngineModel *model, AttemptStreams *streams,
                  FaultPlan *faults, const OrderRoutes *orders, bool logsWork, Hooks hooks);

    /// POST of a completion.
    void complete(http::ExchangeId id, const http::Request &request);
    /// Requests below the path of attempts.
    void serve(http::ExchangeId id, const http::Request &request);
    void refuseNewWork() { m_isLeaving = true; }
    std::int64_t started() const { return m_started; }

private:
    /// Code of the reason to refuse an attempt, and its status; nothing when it may start.
    std::optional<std::pair<int, std::string>> refusal(const std::string &attempt,
                                                       const nlohmann::json &body,
                                                       const AttemptFaults &faults) const;
    void resume(http::ExchangeId id, const std::string &attempt, const http::Request &request);
    void list(http::ExchangeId id, const std::string &owner);
    void cancel(http::ExchangeId id, const std::string &attempt);

    Responder *m_responder;
    EngineModel *m_model;
    AttemptStreams *m_streams;
    FaultPlan *m_faults;
    const OrderRoutes *m_orders;
    bool m_logsWork;
    Hooks m_hooks;
    bool m_isLeaving = false;
    std::int64_t m_started = 0;
};

} // namespace hyssop::standins
