#pragma once

#include "EngineModel.h"
#include "EventFeed.h"
#include "Responder.h"

#include <nlohmann/json_fwd.hpp>

namespace hyssop::standins {

/// What callers ask of KV caches that are handed from engine to engine.
class KvRoutes
{
public:
    /// All that is handed in must outlive this object.
    KvRoutes(Responder *responder, EngineModel *model, EventFeed *feed,
             std::function<void()> onMemoryChanged);

    void serve(http::ExchangeId id, const http::Request &request);

private:
    void exportKv(http::ExchangeId id, const nlohmann::json &body);
    void importKv(http::ExchangeId id, const nlohmann::json &body);
    void list(http::ExchangeId id, const std::string &owner);

    Responder *m_responder;
    EngineModel *m_model;
    EventFeed *m_feed;
    std::function<void()> m_onMemoryChanged;
};

} // namespace hyssop::standins
