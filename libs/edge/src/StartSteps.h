#pragma once

#include "base/Base.h"

#include <set>

namespace hyssop::edge {

/// Steps from the start of this host to its first response.
enum class StartStep {
    FirstContact, ///< First reply of any control host.
    LeaderKnown, ///< First reply of a control host that has confirmed its leadership.
    ConfigurationConfirmed,
    DirectoryUsable, ///< An upstream is known.
    Ready,
    FirstResponse, ///< First response of an upstream that was passed on to a caller.
};

/// Logs each step once, with the time since the start.
class StartSteps
{
public:
    explicit StartSteps(base::TimePoint startedAt)
        : m_startedAt(startedAt)
    { }

    /// Returns whether this is the first time.
    bool reach(StartStep step, base::TimePoint now);
    base::Millis elapsed(base::TimePoint now) const
    {
        return std::chrono::floor<base::Millis>(now - m_startedAt);
    }
    bool wasReached(StartStep step) const { return m_reached.contains(step); }

private:
    base::TimePoint m_startedAt;
    std::set<StartStep> m_reached;
};

} // namespace hyssop::edge
