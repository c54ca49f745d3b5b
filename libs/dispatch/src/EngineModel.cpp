#include "EngineModel.h"

#include <algorithm>
#include <cmath>

namespace hyssop::dispatch {

double EngineModel::readMs(base::Tokens prompt) const
{
    const auto tokens = static_cast<double>(prompt.count());
    const double millionPairs = tokens * tokens / 2 / 1e6;
    return tokens / m_spec->readPerMs + millionPairs * m_spec->pairsPerMillionMs;
}

double EngineModel::passMs(int writers, base::Tokens context) const
{
    const double thousands = static_cast<double>(context.count()) / 1'000;
    const double step =
            m_spec->stepMs
            + writers * (m_spec->stepPerWriterMs + thousands * m_spec->stepPerThousandMs);
    return step * m_spec->stepsPerPass;
}

double EngineModel::usualWriteMs(int writers, base::Tokens context) const
{
    const double passes = std::ceil(static_cast<double>(m_spec->usualAnswer.count())
                                    / std::max(1, m_spec->stepsPerPass));
    return passes * passMs(writers, context);
}

base::Tokens EngineModel::memoryFor(base::Tokens prompt, base::Tokens maxOutput) const
{
    return prompt + maxOutput;
}

std::int64_t EngineModel::usableMemory(const fleet::EngineSpec &spec, double share)
{
    return static_cast<std::int64_t>(static_cast<double>(spec.kvTokens.count()) * share);
}

int partsFor(double readMs, double partMs, int most)
{
    return std::clamp(static_cast<int>(std::ceil(readMs / partMs)), 1, std::max(1, most));
}

} // namespace hyssop::dispatch
