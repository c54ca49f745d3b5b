#include "LongShare.h"

#include <algorithm>
#include <cmath>

namespace hyssop::routing {

namespace {

/// Part of the engines that long prompts leave alone whatever the mix; short ones pass long ones at
/// every engine, so it need not be large.
constexpr double kLeastReserve = 0.2;
/// Engines over the share of the tokens, for prompts come in bursts.
constexpr double kHeadroom = 1.25;
/// Tokens offered after which a part of 1/e of the old mix is left.
constexpr double kMemoryTokens = 20e6;

} // namespace

void LongShare::offer(base::Tokens prompt, bool isLong)
{
    const auto tokens = static_cast<double>(prompt.count());
    const double keep = std::exp(-tokens / kMemoryTokens);
    m_long = m_long * keep + (isLong ? tokens : 0);
    m_all = m_all * keep + tokens;
}

std::size_t LongShare::enginesFor(std::size_t engines) const
{
    const auto count = static_cast<double>(engines);
    const double share = m_all > 0 ? kHeadroom * m_long / m_all : 0;
    const double most = count - std::ceil(kLeastReserve * count);
    return static_cast<std::size_t>(std::max(1.0, std::min(std::ceil(share * count), most)));
}

} // namespace hyssop::routing
