#include "AnswerEstimator.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

constexpr double kWeight = 0.05; // of a new sample, once there are enough

} // namespace

void AnswerEstimator::observe(std::int64_t tokens, base::Tokens maxOutput, base::Micros duration)
{
    if (tokens < 2 || maxOutput.count() < tokens)
        return;
    const double used = static_cast<double>(tokens) / static_cast<double>(maxOutput.count());
    const double gap =
            std::chrono::duration<double>(duration).count() / static_cast<double>(tokens);
    // The first samples replace what was taken for granted.
    const double weight = std::max(kWeight, 1.0 / ++m_samples);
    m_usedShare += weight * (used - m_usedShare);
    m_gap += weight * (gap - m_gap);
}

base::Micros AnswerEstimator::timeFor(base::Tokens maxOutput) const
{
    const double seconds = static_cast<double>(maxOutput.count()) * m_usedShare * m_gap;
    return base::Micros(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace hyssop::routing
