#include "PrefillRateEstimator.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

constexpr double kMinRate = 100; // tokens per second
constexpr double kMaxRate = 10e6; // tokens per second
/// Smaller samples are ignored: the fixed cost of a call dominates them.
constexpr base::Tokens kMinWork{2'048};
constexpr double kWeight = 0.1; // minimum weight of a new sample

} // namespace

void PrefillRateEstimator::observe(base::Tokens work, base::Micros elapsed)
{
    if (work < kMinWork || elapsed.count() <= 0)
        return;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double sample =
            std::clamp(static_cast<double>(work.count()) / seconds, kMinRate, kMaxRate);
    ++m_samples;
    const double weight = std::max(kWeight, 1.0 / m_samples);
    m_mean += weight * (sample - m_mean);
    if (isMeasured())
        m_rate = m_mean;
}

base::Micros PrefillRateEstimator::timeFor(base::Tokens work) const
{
    return base::Micros(
            static_cast<std::int64_t>(static_cast<double>(work.count()) * 1e6 / m_rate));
}

} // namespace hyssop::routing
