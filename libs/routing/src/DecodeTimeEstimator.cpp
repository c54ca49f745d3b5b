#include "DecodeTimeEstimator.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

constexpr double kWeight = 0.05; // minimum weight of a new sample

} // namespace

void DecodeTimeEstimator::observe(std::int64_t tokens, base::Tokens maxOutput,
                                  base::Micros duration)
{
    if (tokens < 2 || maxOutput.count() < tokens)
        return;
    const double usedFraction =
            static_cast<double>(tokens) / static_cast<double>(maxOutput.count());
    const double tokenInterval =
            std::chrono::duration<double>(duration).count() / static_cast<double>(tokens);
    // The first samples replace the initial values.
    const double weight = std::max(kWeight, 1.0 / ++m_samples);
    m_usedFraction += weight * (usedFraction - m_usedFraction);
    m_tokenInterval += weight * (tokenInterval - m_tokenInterval);
}

base::Micros DecodeTimeEstimator::timeFor(base::Tokens maxOutput) const
{
    const double seconds =
            static_cast<double>(maxOutput.count()) * m_usedFraction * m_tokenInterval;
    return base::Micros(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace hyssop::routing
