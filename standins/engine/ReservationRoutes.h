#pragma once

#include "AttemptStreams.h"
#include "EngineModel.h"
#include "Responder.h"

#include <map>

namespace hyssop::standins {

/// What callers ask of reservations of KV memory; a question may wait for memory.
class ReservationRoutes
{
public:
    /// All that is handed in must outlive this object; \a onMemoryChanged calls settle().
    ReservationRoutes(http::Loop *loop, Responder *responder, EngineModel *model,
                      AttemptStreams *streams, std::function<void()> onMemoryChanged);

    void serve(http::ExchangeId id, const http::Request &request);
    /// Answers what waits and can be answered, and ends what has outlived its limit.
    void settle();
    /// Nobody waits for an answer any more.
    void drop(http::ExchangeId id);
    void refuseNewWork() { m_isLeaving = true; }

private:
    void reserve(http::ExchangeId id, const http::Request &request);
    void list(http::ExchangeId id, const std::string &owner);
    void unreserve(const std::string &reservation);

    http::Loop *m_loop;
    Responder *m_responder;
    EngineModel *m_model;
    AttemptStreams *m_streams;
    std::function<void()> m_onMemoryChanged;
    std::map<std::string, http::ExchangeId> m_waiting;
    bool m_isSettling = false;
    bool m_isLeaving = false;
};

} // namespace hyssop::standins
