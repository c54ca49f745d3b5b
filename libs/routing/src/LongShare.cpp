#include "LongShare.h"

#include <algorithm>
#include <cmath>

namespace hyssop::routing {

namespace {

constexpr double kMaxShare = 0.5;
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
    const double share = m_all > 0 ? std::min(kMaxShare, kHeadroom * m_long / m_all) : 0;
    const auto wanted = static_cast<std::size_t>(std::ceil(share * static_cast<double>(engines)));
    const auto most = static_cast<std::size_t>(kMaxShare * static_cast<double>(engines));
    return std::max<std::size_t>(1, std::min(wanted, most));
}

} // namespace hyssop::routing
