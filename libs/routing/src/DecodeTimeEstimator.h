#pragma once

#include "base/Base.h"

namespace hyssop::routing {

/// Estimates the time from first to last token, from completed responses.
class DecodeTimeEstimator
{
public:
    /// Adds a sample: \a tokens of at most \a maxOutput, decoded in \a duration.
    void observe(std::int64_t tokens, base::Tokens maxOutput, base::Micros duration);
    /// Estimated time from first to last token of a response limited to \a maxOutput tokens.
    base::Micros timeFor(base::Tokens maxOutput) const;

private:
    double m_usedFraction = 0.25; ///< Average share of maxOutput that responses use.
    double m_tokenInterval = 0.010; ///< Seconds between tokens.
    int m_samples = 0;
};

} // namespace hyssop::routing
