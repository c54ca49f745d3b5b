#pragma once

#include "routing/Routing.h"

namespace hyssop::routing {

/// Estimates prompt tokens queued at an engine that no host of the data centre accounts for, from
/// the engine's delayed load reports.
///
/// A report is compared with the recent peak of the known outstanding tokens, because work that
/// ended after the sample was taken must not count as unattributed.
class ReportedLoad
{
public:
    /// Records the known outstanding tokens. Must be called after each increase and before each
    /// decrease.
    void recordKnown(base::Tokens known, base::TimePoint now);
    /// Applies a report; \a known is the currently known outstanding tokens.
    void update(const LoadReported &event, base::Tokens known, base::TimePoint now);
    /// Unattributed tokens that are left at \a now, at a prefill rate of \a rate tokens per second.
    base::Tokens unattributed(double rate, base::TimePoint now) const;

private:
    void advanceWindow(base::TimePoint now);

    base::Tokens m_unattributed;
    base::TimePoint m_sampledAt{};
    base::TimePoint m_windowStart{};
    base::Tokens m_windowPeak; ///< Peak of the known tokens in this window.
    base::Tokens m_previousWindowPeak; ///< Peak in the previous window.
};

} // namespace hyssop::routing
