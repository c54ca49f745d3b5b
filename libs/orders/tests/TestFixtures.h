#pragma once

#include "orders/Orders.h"

#include <nlohmann/json.hpp>

namespace hyssop::orders {

inline const base::DataCentreId kDataCentre{"floro-sal"};

inline records::Record deploymentRecord(const std::string &name, nlohmann::json spec)
{
    spec.emplace("dataCentre", kDataCentre.text());
    spec.emplace("loadsPerMinute", 600);
    return {records::Kind::Deployment, name, 1, records::Version(1), spec.dump()};
}

inline records::Record routeRecord(const std::string &name, const nlohmann::json &spec)
{
    return {records::Kind::Route, name, 1, records::Version(1), spec.dump()};
}

inline std::shared_ptr<const records::Catalogue> catalogueOf(
        const std::vector<records::Record> &records)
{
    return records::Catalogue::build(records, nullptr);
}

/// An engine that serves \a model and has it as its desired target.
inline EngineView convergedEngine(const std::string &id, const std::string &model)
{
    const EngineTarget target{model, "", "", ""};
    return {{base::UpstreamId(id), base::Incarnation(1), "", {model}, true, false}, target, target};
}

/// Simulated engine that handles orders like a real one. finishLoad() completes a load.
struct FakeEngine
{
    Engine engine;
    EngineTarget desired;
    EngineTarget loaded;
    std::int64_t fencing = 0;

    OrderResult receiveOrder(const SendOrder &order)
    {
        if (engine.checksFencing && order.fencingToken < fencing)
            return OrderResult::OldFencing;
        fencing = order.fencingToken;
        desired = order.assignment.target;
        loaded.role = engine.role = desired.role;
        return OrderResult::Accepted;
    }
    void finishLoad()
    {
        loaded = desired;
        engine.models = {loaded.model};
    }
    ReportedState state() const { return {desired, loaded}; }
};

inline FakeEngine makeFakeEngine(const std::string &id, const std::string &model,
                                 bool checks = true)
{
    const EngineTarget target{model, "", "", ""};
    return {{base::UpstreamId(id), base::Incarnation(1), "", {model}, checks, false},
            target,
            target,
            0};
}

} // namespace hyssop::orders
