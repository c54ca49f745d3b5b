#pragma once

#include "base/Base.h"

namespace hyssop::routing {

/// Limits how many engines of a pool long prompts may use, based on the mix of arriving prompts.
///
/// Uses the mix of arriving prompts, not of outstanding ones, so that all entry hosts behind one
/// load balancer compute about the same limit without coordination.
class LongPromptShare
{
public:
    /// Counts an arriving prompt, admitted or not.
    void observe(base::Tokens prompt, bool isLong);
    /// How many of \a engines long prompts may use: at least one, and never all unless there is
    /// only one.
    std::size_t engineLimit(std::size_t engines) const;

private:
    double m_longTokens = 0; ///< Decayed sum of the tokens of long prompts.
    double m_allTokens = 0;
};

} // namespace hyssop::routing
