#pragma once

#include "base/Base.h"

namespace hyssop::routing {

/// Estimates an engine's prefill rate in prompt tokens per second, as a moving average over
/// measured times to first token.
class PrefillRateEstimator
{
public:
    /// Adds a sample: the engine prefilled \a work tokens, including the request's own, in \a
    /// elapsed.
    void observe(base::Tokens work, base::Micros elapsed);
    /// Current rate in tokens per second: kInitialRate until isMeasured().
    double rate() const { return m_rate; }
    /// Estimated time to prefill \a work tokens.
    base::Micros timeFor(base::Tokens work) const;
    bool isMeasured() const { return m_samples >= kMinSamples; }

    /// Tokens per second, used until there are kMinSamples samples.
    static constexpr double kInitialRate = 30'000;
    static constexpr int kMinSamples = 5;

private:
    double m_rate = kInitialRate;
    double m_mean = 0;
    int m_samples = 0;
};

} // namespace hyssop::routing
