#pragma once

#include "routing/Routing.h"

namespace hyssop::routing {

/// Work at an engine that no host of the data centre has told of, from its lagging load reports.
///
/// A report is compared with the most that was known to be outstanding lately, so that work which
/// has ended since the report was taken is not counted again.
class ReportedLoad
{
public:
    /// To be called before each change of what is known to be outstanding.
    void noteKnown(base::Tokens known, base::TimePoint now);
    void report(const LoadReported &event, base::Tokens known, base::TimePoint now);
    /// What is left of the unknown work at \a rate tokens a second.
    base::Tokens unknown(double rate, base::TimePoint now) const;

private:
    void roll(base::TimePoint now);

    base::Tokens m_unknown;
    base::TimePoint m_takenAt{};
    base::TimePoint m_windowStart{};
    base::Tokens m_mostNow; ///< Most known in this window,
    base::Tokens m_mostBefore; ///< and in the one before.
};

} // namespace hyssop::routing
