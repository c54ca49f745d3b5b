#include "LongPromptShare.h"

#include <algorithm>
#include <cmath>

namespace hyssop::routing {

namespace {

/// Part of the engines that long prompts leave alone whatever the mix; short ones pass long ones at
/// every engine, so it need not be large.
constexpr double kMinReservedFraction = 0.2;
/// Engines over the share of the tokens, for prompts come in bursts.
constexpr double kHeadroom = 1.25;
/// Tokens offered after which a part of 1/e of the old mix is left.
constexpr double kDecayTokens = 20e6;

} // namespace

void LongPromptShare::observe(base::Tokens prompt, bool isLong)
{
    const auto tokens = static_cast<double>(prompt.count());
    const double keep = std::exp(-tokens / kDecayTokens);
    m_longTokens = m_longTokens * keep + (isLong ? tokens : 0);
    m_allTokens = m_allTokens * keep + tokens;
}

std::size_t LongPromptShare::engineLimit(std::size_t engines) const
{
    const auto count = static_cast<double>(engines);
    const double share = m_allTokens > 0 ? kHeadroom * m_longTokens / m_allTokens : 0;
    const double most = count - std::ceil(kMinReservedFraction * count);
    return static_cast<std::size_t>(std::max(1.0, std::min(std::ceil(share * count), most)));
}

} // namespace hyssop::routing
