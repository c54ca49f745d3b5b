#include "EngineModel.h"

#include <algorithm>
#include <cmath>

namespace hyssop::dispatch {

double EngineModel::prefillMs(base::Tokens promptTokens) const
{
    const auto count = static_cast<double>(promptTokens.count());
    const double millionPairs = count * count / 2 / 1e6;
    return count / m_spec->prefillTokensPerMs + millionPairs * m_spec->msPerMillionPairs;
}

double EngineModel::passMs(int requests, base::Tokens contextTokens) const
{
    const double contextThousands = static_cast<double>(contextTokens.count()) / 1'000;
    const double stepMs = m_spec->stepMs
                          + requests
                                    * (m_spec->stepPerRequestMs
                                       + contextThousands * m_spec->stepPerThousandContextMs);
    return stepMs * m_spec->stepsPerPass;
}

double EngineModel::answerMs(base::Tokens outputTokens, base::Tokens contextTokens) const
{
    const double passes = std::ceil(static_cast<double>(outputTokens.count())
                                    / std::max(1, m_spec->stepsPerPass));
    return passes * passMs(1, contextTokens);
}

base::Tokens EngineModel::maxKvTokens(base::Tokens promptTokens, base::Tokens maxOutputTokens) const
{
    return promptTokens + maxOutputTokens;
}

std::int64_t EngineModel::usableKvTokens(const fleet::EngineSpec &spec, double share)
{
    return static_cast<std::int64_t>(static_cast<double>(spec.kvTokens.count()) * share);
}

int partCount(double prefillMs, double maxPartMs, int maxParts)
{
    return std::clamp(static_cast<int>(std::ceil(prefillMs / maxPartMs)), 1, std::max(1, maxParts));
}

} // namespace hyssop::dispatch
