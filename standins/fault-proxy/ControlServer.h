#pragma once

#include "Forwarder.h"
#include "http/Http.h"

#include <nlohmann/json_fwd.hpp>

namespace hyssop::standins {

/// Control port of the proxy: GET /v1/links shows every link; POST /v1/links/N with
/// {"action": "rules" | "reset" | "half-close" | "heal", "direction": "forward" | "backward" |
/// "both", "delayMs", "drop", "bytesPerSecond", "refuse"} acts on link N.
class ControlServer final : public http::ServerHandler
{
public:
    ControlServer(http::Loop *loop, Forwarder *forwarder);

    tl::expected<base::Endpoint, http::LoopError> listen(const base::Endpoint &address);

private:
    void onRequest(http::ExchangeId id, http::Request request) override;
    void onPeerClosed(http::ExchangeId) override { }
    void onRejected(http::RejectReason) override { }
    /// Answers on the loop's thread with the state of every link.
    void answer(http::ExchangeId id, int status, Forwarder &forwarder);

    http::Loop *m_loop;
    Forwarder *m_forwarder;
};

/// Carries out one order; false when it is malformed.
bool applyOrder(Forwarder &forwarder, std::size_t link, const nlohmann::json &order);

} // namespace hyssop::standins
