#pragma once

#include "base/Base.h"

namespace hyssop::routing {

/// Prompt tokens that an engine computes in a second: a moving average over measured times to first
/// token.
class PrefillRateEstimator
{
public:
    /// \a work is what the engine computed in \a elapsed, this request's own part included.
    void observe(base::Tokens work, base::Micros elapsed);
    /// Rate in use, in tokens a second.
    double rate() const { return m_rate; }
    /// Time in which the engine computes \a work.
    base::Micros timeFor(base::Tokens work) const;
    bool isMeasured() const { return m_samples >= kMinSamples; }

    /// Rate taken for granted until enough samples are there, in tokens a second.
    static constexpr double kInitialRate = 30'000;
    static constexpr int kMinSamples = 5;

private:
    double m_rate = kInitialRate;
    double m_mean = 0;
    int m_samples = 0;
};

} // namespace hyssop::routing
