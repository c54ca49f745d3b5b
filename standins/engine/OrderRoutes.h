#pragma once

#include "DesiredState.h"
#include "WeightLoader.h"

namespace hyssop::standins {

/// Serves /v1/desired: takes orders, loads what they name and reports what is in force.
class OrderRoutes
{
public:
    /// Told of the model and role in force whenever they change.
    using OnServing = std::function<void(const EngineOrder &)>;

    OrderRoutes(http::Loop *loop, DesiredState state, std::optional<base::Endpoint> weightStore,
                base::Millis loadTime, OnServing onServing);

    void serve(http::ExchangeId id, const http::Request &request);
    const EngineOrder &loaded() const { return m_state.loaded(); }
    std::int64_t refusedByStore() const { return m_weights.refusedByStore(); }

private:
    http::Response put(const http::Request &request);
    http::Response get() const;
    void load();

    http::Loop *m_loop;
    DesiredState m_state;
    WeightLoader m_weights;
    OnServing m_onServing;
};

} // namespace hyssop::standins
