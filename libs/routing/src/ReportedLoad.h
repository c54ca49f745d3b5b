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
    void recordKnown(base::Tokens known, base::TimePoint now);
    void update(const LoadReported &event, base::Tokens known, base::TimePoint now);
    /// What is left of the unknown work at \a rate tokens a second.
    base::Tokens unattributed(double rate, base::TimePoint now) const;

private:
    void advanceWindow(base::TimePoint now);

    base::Tokens m_unattributed;
    base::TimePoint m_sampledAt{};
    base::TimePoint m_windowStart{};
    base::Tokens m_windowPeak; ///< Most known in this window,
    base::Tokens m_previousWindowPeak; ///< and in the one before.
};

} // namespace hyssop::routing
