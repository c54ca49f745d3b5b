#pragma once

#include "base/Base.h"

namespace hyssop::routing {

/// How long answers take from their first token to their last, from those that ended.
class DecodeTimeEstimator
{
public:
    void observe(std::int64_t tokens, base::Tokens maxOutput, base::Micros duration);
    /// Time from first to last token of an answer bounded to \a maxOutput.
    base::Micros timeFor(base::Tokens maxOutput) const;

private:
    double m_usedFraction = 0.25; ///< Part of the bound that answers use.
    double m_tokenInterval = 0.010; ///< Seconds between tokens.
    int m_samples = 0;
};

} // namespace hyssop::routing
