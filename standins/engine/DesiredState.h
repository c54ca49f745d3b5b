#pragma once

#include "base/Base.h"

#include <string>

namespace hyssop::standins {

/// What an engine is to serve.
struct EngineOrder
{
    std::int64_t fencing = 0;
    std::string model;
    std::string adapter;
    std::string version;
    std::string role;

    /// Whether both name the same weights.
    bool hasSameWeights(const EngineOrder &other) const
    {
        return model == other.model && adapter == other.adapter && version == other.version;
    }
};

/// Orders taken and weights loaded. No I/O.
class DesiredState
{
public:
    DesiredState(EngineOrder loaded, bool checksFencing)
        : m_desired(loaded)
        , m_loaded(std::move(loaded))
        , m_checksFencing(checksFencing)
    { }

    /// False: the order carries an older fencing number than one taken before, and this engine
    /// checks.
    bool put(EngineOrder order)
    {
        if (m_checksFencing && order.fencing < m_desired.fencing)
            return false;
        m_loaded.role = order.role;
        m_desired = std::move(order);
        return true;
    }
    bool needsLoad() const { return !m_desired.hasSameWeights(m_loaded); }
    void finishLoad(EngineOrder order)
    {
        order.role = m_desired.role;
        m_loaded = std::move(order);
    }
    const EngineOrder &desired() const { return m_desired; }
    const EngineOrder &loaded() const { return m_loaded; }

private:
    EngineOrder m_desired;
    EngineOrder m_loaded;
    bool m_checksFencing;
};

} // namespace hyssop::standins
