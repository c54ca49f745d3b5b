#include "OrderRoutes.h"

#include "JsonFields.h"

namespace hyssop::standins {

namespace {

using nlohmann::json;

json toJson(const EngineOrder &order)
{
    return {{"fencing", order.fencing},
            {"model", order.model},
            {"adapter", order.adapter},
            {"version", order.version},
            {"role", order.role}};
}

http::Response answer(int status, std::string body)
{
    http::Response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

} // namespace

OrderRoutes::OrderRoutes(http::Loop *loop, DesiredState state,
                         std::optional<base::Endpoint> weightStore, base::Millis loadTime,
                         OnServing onServing)
    : m_loop(loop)
    , m_state(std::move(state))
    , m_weights(loop, std::move(weightStore), loadTime)
    , m_onServing(std::move(onServing))
{ }

void OrderRoutes::serve(http::ExchangeId id, const http::Request &request)
{
    m_loop->respond(id, request.method == http::Method::Put ? put(request) : get());
}

http::Response OrderRoutes::get() const
{
    json body = toJson(m_state.desired());
    body["loaded"] = toJson(m_state.loaded());
    body["state"] = m_state.needsLoad() ? "loading" : "ready";
    return answer(200, body.dump());
}

http::Response OrderRoutes::put(const http::Request &request)
{
    const auto body = base::parseJson(request.body);
    if (!body || !body->is_object() || textOf(*body, "model").empty())
        return answer(400, errorBody("bad_request", "not_run"));
    EngineOrder order;
    order.fencing = numberOf(*body, "fencing", 0);
    order.model = textOf(*body, "model");
    order.adapter = textOf(*body, "adapter");
    order.version = textOf(*body, "version");
    order.role = textOf(*body, "role");
    if (!m_state.put(std::move(order)))
        return answer(409, errorBody("old_fencing", "not_run"));
    m_onServing(m_state.loaded());
    load();
    return answer(200, "{}");
}

void OrderRoutes::load()
{
    if (!m_state.needsLoad() || m_weights.isLoading())
        return;
    const EngineOrder order = m_state.desired();
    m_weights.load(order.model + '/' + order.adapter + '/' + order.version, [this, order] {
        m_state.finishLoad(order);
        m_onServing(m_state.loaded());
        load();
    });
}

} // namespace hyssop::standins
