#pragma once

#include "base/Base.h"

namespace hyssop::routing {

/// How many of a pool's engines long prompts may use, from the mix of prompts offered.
///
/// The mix is what callers offer, not what is outstanding, so that all entry hosts behind one
/// balancer come to about the same share without telling each other.
class LongPromptShare
{
public:
    void observe(base::Tokens prompt, bool isLong);
    /// Of \a engines: at least one, and not all but for a single one.
    std::size_t engineLimit(std::size_t engines) const;

private:
    double m_longTokens = 0; ///< Decayed tokens of long prompts.
    double m_allTokens = 0;
};

} // namespace hyssop::routing
