#include "LongPromptShare.h"

#include <algorithm>
#include <cmath>

namespace hyssop::routing {

namespace {

/// Fraction of the engines that long prompts never use. Short prompts overtake long ones at every
/// engine, so it can be small.
constexpr double kMinReservedFraction = 0.2;
/// Extra engines beyond the share of tokens, because prompts arrive in bursts.
constexpr double kHeadroom = 1.25;
/// Arriving tokens after which the weight of the old mix has decayed to 1/e.
constexpr double kDecayTokens = 20e6;

} // namespace

void LongPromptShare::observe(base::Tokens prompt, bool isLong)
{
    const auto tokens = static_cast<double>(prompt.count());
    const double decay = std::exp(-tokens / kDecayTokens);
    m_longTokens = m_longTokens * decay + (isLong ? tokens : 0);
    m_allTokens = m_allTokens * decay + tokens;
}

std::size_t LongPromptShare::engineLimit(std::size_t engines) const
{
    const auto count = static_cast<double>(engines);
    const double share = m_allTokens > 0 ? kHeadroom * m_longTokens / m_allTokens : 0;
    const double maxEngines = count - std::ceil(kMinReservedFraction * count);
    return static_cast<std::size_t>(std::max(1.0, std::min(std::ceil(share * count), maxEngines)));
}

} // namespace hyssop::routing
