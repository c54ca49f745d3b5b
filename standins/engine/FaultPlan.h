#pragma once

#include "base/Base.h"

namespace hyssop::standins {

/// What an engine does wrong on purpose; percentages of attempts or events, drawn by seed.
struct FaultSettings
{
    int refusePercent = 0; ///< Attempts refused with "not run".
    int stallPercent = 0; ///< Attempts that send nothing more after stallAfter tokens.
    std::int64_t stallAfter = 0;
    int closePercent = 0; ///< Attempts whose connection is closed after closeAfter tokens.
    std::int64_t closeAfter = 0;
    base::Millis delay{0}; ///< Every event is sent so much later.
    int crossPercent = 0; ///< Events that are also sent to another reader.
    int duplicatePercent = 0; ///< Events that are sent twice.
};

/// Faults of one attempt.
struct AttemptFaults
{
    bool isRefused = false;
    bool stalls = false;
    bool closes = false;
};

/// Draws faults. Deterministic for its seed.
class FaultPlan
{
public:
    FaultPlan(FaultSettings settings, std::uint64_t seed)
        : m_settings(settings)
        , m_rng(seed)
    { }

    const FaultSettings &settings() const { return m_settings; }
    AttemptFaults drawAttempt()
    {
        return {happens(m_settings.refusePercent), happens(m_settings.stallPercent),
                happens(m_settings.closePercent)};
    }
    bool crosses() { return happens(m_settings.crossPercent); }
    bool duplicates() { return happens(m_settings.duplicatePercent); }
    bool happens(int percent) { return std::uniform_int_distribution<int>(0, 99)(m_rng) < percent; }

private:
    FaultSettings m_settings;
    base::Rng m_rng;
};

} // namespace hyssop::standins
