#pragma once

#include "http/Http.h"

#include <set>

namespace hyssop::standins {

/// Many idle engines behind one address: each reader of /v1/events gets load reports at an
/// interval.
class CrowdServer final : public http::ServerHandler
{
public:
    CrowdServer(http::Loop *loop, base::Millis loadInterval);

    tl::expected<base::Endpoint, http::LoopError> listen(const base::Endpoint &address);

private:
    void onRequest(http::ExchangeId id, http::Request request) override;
    void onPeerClosed(http::ExchangeId id) override { m_readers.erase(id); }
    void onRejected(http::RejectReason) override { }
    void report();

    http::Loop *m_loop;
    base::Millis m_loadInterval;
    std::set<http::ExchangeId> m_readers;
};

} // namespace hyssop::standins
